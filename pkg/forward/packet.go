// Package forward decides what an entry daemon does with each packet of a flow: forward it to an
// upstream, reset the flow, hold the packet for a moment or drop it. It does no I/O and reads
// no clock: packets, tables and the time are inputs, actions are the output.
//
// Invariants:
//   - A packet of an open flow goes to the incarnation that its cookie identifies, regardless of the
//     routing table and of the load and health of that incarnation. If several upstreams have answered
//     copies of the SYN, it goes to the one to which the caller's first packet went, or whose sequence
//     numbers the caller acknowledges.
//   - The cookie of a SYN identifies an upstream only on the packets before the first answer. On later ones it is the
//     answer of an upstream that does not hold the flow.
//   - A SYN goes to a second upstream only if its caller has sent another copy of it.
//   - A SYN is placed only while its caller cannot have sent another copy: that copy may have opened the flow
//     through another daemon, and the late answer of a second upstream would change the cookie of the flow.
//   - A flow is reset only if its upstream process has certainly ended or its route was removed.
//     An unknown cookie is no proof of that: the daemon's registrations may be outdated.
//   - A daemon that has just started refuses no flow, because its routes and upstreams may be
//     incomplete. It holds the packet for a moment and then drops it; the caller retransmits it.
//   - New flows are never placed on an upstream that is draining or gone, or in an evacuated data centre.
package forward

import (
	"net/netip"
	"time"

	"rosemarygate/pkg/control/directory"
)

// Flags of a packet.
type Flags uint8

// Flags of packets. A packet may have several.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
)

// Packet is the header of one packet of a caller.
type Packet struct {
	Caller netip.AddrPort
	Dest   netip.AddrPort // address of a route
	Flags  Flags
	Seq    uint32
	// Ack is the acknowledged sequence number; in a SYN, the number of earlier copies of it.
	Ack    uint32
	Length int // bytes of payload
	Cookie directory.Cookie
	Raw    []byte // the packet as it arrived; valid only during the call
	// Waited is how long a SYN has waited for the daemon since it arrived at the host.
	Waited time.Duration
}

// Flow returns the flow of a packet.
func (p *Packet) Flow() Flow { return Flow{p.Caller, p.Dest} }

// Flow identifies a flow by the addresses of its caller and its route.
type Flow struct {
	Caller, Dest netip.AddrPort
}

// Verdict is what to do with a packet.
type Verdict uint8

// Verdicts on packets.
const (
	Drop Verdict = iota
	Forward
	Reset
	Hold // the core keeps a copy and decides within holdTime
)

// Reason is why a packet got its verdict.
type Reason uint8

// Reasons, each of which has its own counter.
const (
	Placed         Reason = iota // new flow, upstream chosen
	PlacedAgain                  // retransmitted SYN, another upstream chosen
	KnownCookie                  // cookie of a known incarnation
	KnownFlow                    // packet without a cookie, but of a flow that this daemon has seen
	NoTable                      // the daemon has no routing table yet
	NoRoute                      // no route has this address
	RouteRemoved                 // the flow's route was removed
	NoUpstream                   // the service has no upstream that takes new flows
	UpstreamGone                 // the flow's upstream process has ended
	UnknownCookie                // no registration with this cookie arrived in time
	NoCookie                     // packet without a cookie, of an unknown flow
	AwaitingCookie               // no registration has this cookie yet
	Unprepared                   // the daemon's routes or upstreams are incomplete
	HoldBufferFull               // too many packets are held
	Overloaded                   // the service rejects requests; a new flow would be rejected too
	OverLimit                    // answers of the service are slow, and its requests in progress reach their limit
	LateSYN                      // copy of a SYN whose flow has opened
	AwaitingTurn                 // the flow's request is late already; requests that can be in time go first
	Overdue                      // no upstream had capacity for a request that was late already
	Evacuated                    // the upstreams of the service, or the one that got the SYN, are in evacuated data centres
	OverLink                     // the link of this host cannot carry a new flow in time
	UnansweredSYN                // nothing has followed a SYN here
	WarmingUp                    // the service has only cold upstreams, which this daemon may not use
	NoAnswer                     // no data centre's upstreams of the service answer handshakes
	StaleSYN                     // the caller has sent another copy of the SYN since, which may have opened the flow elsewhere
	reasonCount
)

var reasonNames = [reasonCount]string{
	"placed", "placed_again", "known", "known_flow", "no_table", "no_route", "route_removed",
	"no_upstream", "upstream_gone", "unknown_cookie", "no_cookie", "awaiting_cookie", "unprepared", "hold_buffer_full",
	"overloaded", "over_limit", "late_syn", "awaiting_turn", "overdue", "evacuated", "over_link", "unanswered_syn",
	"warming_up", "no_answer", "stale_syn",
}

// String returns the name of the reason in counters and logs.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// Action is the decision on a packet, which the caller of the core carries out.
type Action struct {
	Verdict Verdict
	Reason  Reason
	// Upstream is the receiver of a forwarded packet, and Cookie the cookie to send with it.
	Upstream *Upstream
	Cookie   directory.Cookie
	// Suspected is the upstream that became suspect with this packet, nil if none did.
	Suspected *Upstream
	// ExpectedWait is the expected time until the upstream of a new flow has a free slot, as far as this daemon knows.
	ExpectedWait time.Duration
	// RejectedShare is the estimated share of new flows that the service rejects, if the reason is Overloaded.
	RejectedShare float64
	// Limit describes the limit of the service if the reason is OverLimit.
	Limit LimitStatus
	// LinkBacklog is the time that the link needs for what it is charged with if the reason is OverLink.
	LinkBacklog time.Duration
}

// Released is a formerly held packet with its decision.
type Released struct {
	Packet Packet
	Action Action
}

// Upstream is one incarnation of an upstream with the state that this daemon has observed.
type Upstream struct {
	directory.Registration
	cookie                directory.Cookie
	flows                 int             // recently active flows of this daemon
	inProgress            int             // unanswered requests of these flows
	limit                 *flowLimit      // of the upstream's service
	firstAnswers          *firstAnswers   // of the upstream's service and data centre
	serviceCost           *serviceCost    // of the upstream's service
	work                  []requestWork   // the requests and half-open flows that inProgress counts
	abandoned             []time.Duration // expected ends of requests whose callers have given up
	suspectUntil          time.Duration   // suspect because of unanswered packets until then
	unansweredPackets     int             // unanswered packets since the last answer
	suspicions            int             // suspicions since the last answer
	answeredAt            time.Duration   // time of the last answer
	slowness              slowness
	rejectionLevel        int             // recent rejections minus later successes, sets the backoff
	rejectionBackoffUntil time.Duration   // penalty for new flows until then
	outage                *outage         // of its service in its data centre
	recentPlacements      []time.Duration // of the last warmupWindow, while the upstream is cold
}

// Cookie returns the cookie of the upstream's flows.
func (u *Upstream) Cookie() directory.Cookie { return u.cookie }

// Load returns the requests in progress and the recently active flows of this daemon.
func (u *Upstream) Load() (inProgress, flows int) { return u.inProgress, u.flows }
