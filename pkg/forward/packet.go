// Package forward decides what an entry daemon does with each packet of a flow: forward it to an
// upstream, reset the flow, hold the packet for a moment or drop it. It is a pure core: packets,
// tables and the time go in, actions come out.
//
// Invariants:
//   - A packet of an open flow goes to the incarnation that its cookie names, whatever the routing
//     table, the load or the health of that incarnation says.
//   - A flow is reset only if its upstream process has ended for certain or its route was removed.
//     An unknown cookie is no proof: the daemon's registrations may be behind.
//   - A daemon that has just started refuses nothing: what it does not know yet may exist. It holds
//     the packet for a moment and then drops it; the caller repeats it.
//   - New flows are never placed on an upstream that is draining or gone.
package forward

import (
	"net/netip"
	"time"

	"rosemarygate/pkg/control/directory"
)

// Flags of a packet.
type Flags uint8

// Flags of packets, of which a packet may have several.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
)

// Packet is the head of one packet of a caller.
type Packet struct {
	Caller netip.AddrPort
	Dest   netip.AddrPort // address of a route
	Flags  Flags
	Seq    uint32
	// Ack is the acknowledged sequence number, or the number of earlier copies of a SYN.
	Ack    uint32
	Length int // bytes of payload
	Cookie directory.Cookie
	Raw    []byte // the packet as it arrived; valid only during the call
}

// Flow returns the flow of a packet.
func (p *Packet) Flow() Flow { return Flow{p.Caller, p.Dest} }

// Flow names a flow by the addresses of its caller and its route.
type Flow struct {
	Caller, Dest netip.AddrPort
}

// Verdict says what to do with a packet.
type Verdict uint8

// Verdicts on packets.
const (
	Drop Verdict = iota
	Forward
	Reset
	Hold // the core keeps a copy and decides within holdTime
)

// Reason says why a packet got its verdict.
type Reason uint8

// Reasons, each of which has its own counter.
const (
	Placed         Reason = iota // new flow, upstream chosen
	PlacedAgain                  // copy of a SYN, another upstream chosen
	Known                        // cookie of a known incarnation
	KnownFlow                    // packet without a cookie of a flow that this daemon has seen
	NoTable                      // the daemon has no routing table yet
	NoRoute                      // no route has this address
	RouteRemoved                 // the flow's route was removed
	NoUpstream                   // the service has no upstream that takes new flows
	UpstreamGone                 // the flow's upstream process has ended
	UnknownCookie                // no registration has this cookie, and none came in time
	NoCookie                     // packet of an unknown flow without a cookie
	AwaitingCookie               // no registration has this cookie yet
	Unprepared                   // the daemon does not know enough to place or refuse the flow
	HoldBufferFull               // too many packets wait for registrations
	Overloaded                   // the service rejects requests; a new flow would be rejected too
	reasons
)

var reasonNames = [reasons]string{
	"placed", "placed_again", "known", "known_flow", "no_table", "no_route", "route_removed",
	"no_upstream", "upstream_gone", "unknown_cookie", "no_cookie", "awaiting_cookie", "unprepared", "hold_buffer_full",
	"overloaded",
}

// String returns the reason as counters and logs name it.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons.
func Reasons() []Reason {
	out := make([]Reason, reasons)
	for i := range out {
		out[i] = Reason(i)
	}
	return out
}

// Action is what the caller of the core has to do.
type Action struct {
	Verdict Verdict
	Reason  Reason
	// Upstream is the receiver of a forwarded packet, and Cookie what the packet is to carry.
	Upstream *Upstream
	Cookie   directory.Cookie
	// Suspected is an upstream that came under suspicion with this packet, nil if none did.
	Suspected *Upstream
	// RejectedShare of recent answers is why a flow was refused as Overloaded.
	RejectedShare float64
}

// Released is a held packet that was decided.
type Released struct {
	Packet Packet
	Action Action
}

// Upstream is one incarnation of an upstream with what this daemon has seen of it.
type Upstream struct {
	directory.Registration
	cookie        directory.Cookie
	flows         int           // flows that this daemon has seen lately
	inProgress    int           // requests of these flows without an answer yet
	suspectUntil  time.Duration // unanswered packets speak against the upstream until then
	strikes       int           // unanswered packets since the last answer
	slowness      slowness
	rejections    int           // recent ones, less the answers since
	rejectedUntil time.Duration // they speak against new flows until then
}

// Cookie returns the cookie of the upstream's flows.
func (u *Upstream) Cookie() directory.Cookie { return u.cookie }

// Load returns the requests in progress and the flows that this daemon has seen lately.
func (u *Upstream) Load() (inProgress, flows int) { return u.inProgress, u.flows }
