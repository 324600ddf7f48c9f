package forward

import (
	"maps"
	"net/netip"
	"time"

	"rosemarygate/pkg/routing"
)

// Admission by the room on the link of the host.
//
// In a flood an entry daemon takes on more flows than its link carries. Packets are lost in the full queue of the
// link, callers repeat them, and hardly any flow comes to its end although the upstreams are idle. The daemon
// knows the bandwidth from its settings, and the bytes of each packet. It charges the link with the bytes that a
// flow of the route usually takes when it places the flow, and refuses new flows while the charged bytes exceed
// what the link carries within a short time.
//
// What callers send cannot be stopped, and open flows are never refused: both only leave less room for new flows.

const (
	// usableLinkShare is the share of the bandwidth that is used in a flood. Above it, packets that arrive at
	// random wait for tens of milliseconds, several times in the course of a flow, or are lost.
	usableLinkShare = 0.9
	// linkBacklogLimit is the time in which the link must be able to carry what it is charged with. It lets a burst
	// of flows pass, and is below the time after which callers repeat a SYN.
	linkBacklogLimit = 100 * time.Millisecond
	// protectedBacklogLimit is the same for flows of protected priorities.
	protectedBacklogLimit = 2 * linkBacklogLimit
	// maxLinkBacklog bounds the backlog, so that it ends soon after the load.
	maxLinkBacklog = 2 * protectedBacklogLimit
	// flowCostWindow is the part of a flow that is charged in advance. The requests that follow on a long flow
	// are charged when they arrive.
	flowCostWindow = time.Second
	// flowCostWeight is the weight of one flow in the average cost of the flows of its route.
	flowCostWeight = 0.05
	// defaultFlowBytes is the cost of a flow before its route has had one.
	defaultFlowBytes = 1500
	// linkRefusalEnd is the time without a refusal after which the daemon no longer counts as short of link.
	linkRefusalEnd = time.Second
)

// byteCount is a number of bytes that the host has received and sent.
type byteCount struct{ received, sent float64 }

func (b byteCount) plus(other byteCount) byteCount {
	return byteCount{b.received + other.received, b.sent + other.sent}
}

// beyond returns by how much each direction exceeds that of a limit.
func (b byteCount) beyond(limit byteCount) byteCount {
	return byteCount{max(0, b.received-limit.received), max(0, b.sent-limit.sent)}
}

// linkRoom is the room on the link of the host.
type linkRoom struct {
	bytesPerSecond float64 // that may be used in each direction, 0 if the bandwidth is unknown
	backlog        byteCount
	drainedAt      time.Duration
	costs          map[netip.AddrPort]*byteCount // average of a flow, by route address
	charges        map[Flow]*flowCharge
	order          []*flowCharge // in order of time; some may have ended
	refusing       bool
	refusedAt      time.Duration // time of the latest refusal
	changes        []LinkChange  // not yet taken by the caller
}

// flowCharge is what the link is charged with for a flow that was placed recently.
type flowCharge struct {
	flow          Flow
	since         time.Duration
	prepaid, used byteCount
	opened        bool // a packet after the SYN has arrived
}

// LinkChange reports that the daemon begins or ceases to refuse flows for lack of room on its link.
type LinkChange struct {
	Refusing bool
	// Backlog is the time that the link needs for what it is charged with.
	Backlog time.Duration
}

func newLinkRoom(bytesPerSecond float64) linkRoom {
	return linkRoom{
		bytesPerSecond: usableLinkShare * bytesPerSecond, costs: map[netip.AddrPort]*byteCount{}, charges: map[Flow]*flowCharge{},
	}
}

// TakeLinkChanges returns the changes since the last call.
func (c *Core) TakeLinkChanges() []LinkChange {
	changes := c.link.changes
	c.link.changes = nil
	return changes
}

// RecordTraffic charges the link with a packet from a caller and with what was sent because of it. It follows
// each decision.
func (c *Core) RecordTraffic(now time.Duration, p *Packet, a Action, receivedBytes, sentBytes int) {
	if c.link.bytesPerSecond > 0 {
		c.link.record(now, p, a.Reason == Placed, byteCount{float64(receivedBytes), float64(sentBytes)})
	}
}

// admitToLink refuses the flow if the link cannot carry it in time.
func (c *Core) admitToLink(f *newFlow) *Action {
	l := &c.link
	if l.bytesPerSecond <= 0 || c.cfg.Admission == AdmitAll || !c.mayBeRefused(f) || len(f.tried) > 0 {
		return nil
	}
	l.advance(f.now)
	backlog := l.backlogTime()
	if backlog < linkBacklogLimit {
		return nil
	}
	if a := c.admissions[f.service]; a != nil {
		if backlog < protectedBacklogLimit && a.protectedPriorities(f.now)[f.route.Priority] {
			return nil
		}
		a.recordRequest(f.now, f.route.Priority, true) // a refused flow is demand, too
	}
	refusal := c.refuse(f, OverLink)
	if refusal.Verdict == Reset {
		refusal.LinkBacklog = backlog
		l.refusedAt = f.now
		l.setRefusing(true)
	}
	return refusal
}

func (l *linkRoom) setRefusing(refusing bool) {
	if l.refusing != refusing {
		l.refusing = refusing
		l.changes = append(l.changes, LinkChange{refusing, l.backlogTime()})
	}
}

// backlogTime returns the time that the link needs for what it is charged with.
func (l *linkRoom) backlogTime() time.Duration {
	return time.Duration(max(l.backlog.received, l.backlog.sent) / l.bytesPerSecond * float64(time.Second))
}

// advance takes off what the link has carried since the last call, and ends old charges.
func (l *linkRoom) advance(now time.Duration) {
	carried := l.bytesPerSecond * (now - l.drainedAt).Seconds()
	l.backlog, l.drainedAt = l.backlog.beyond(byteCount{carried, carried}), now
	for len(l.order) > 0 && now-l.order[0].since >= flowCostWindow {
		first := l.order[0]
		l.order = l.order[1:]
		if l.charges[first.flow] == first {
			l.settle(first)
		}
	}
	if now-l.refusedAt >= linkRefusalEnd {
		l.setRefusing(false)
	}
}

// charge adds bytes to the backlog and returns those that were below its bound.
func (l *linkRoom) charge(bytes byteCount) byteCount {
	before, limit := l.backlog, l.bytesPerSecond*maxLinkBacklog.Seconds()
	sum := before.plus(bytes)
	l.backlog = byteCount{min(sum.received, limit), min(sum.sent, limit)}
	return l.backlog.beyond(before)
}

// record charges the link with the bytes of a packet, as far as they are not paid in advance.
func (l *linkRoom) record(now time.Duration, p *Packet, placed bool, bytes byteCount) {
	l.advance(now)
	flow := p.Flow()
	f := l.charges[flow]
	if f == nil && placed {
		f = &flowCharge{flow: flow, since: now, prepaid: l.charge(l.costOf(p.Dest))}
		l.charges[flow], l.order = f, append(l.order, f)
	}
	if f == nil {
		l.charge(bytes)
		return
	}
	before := f.used.beyond(f.prepaid)
	f.used = f.used.plus(bytes)
	l.charge(f.used.beyond(f.prepaid).beyond(before))
	f.opened = f.opened || p.Flags&SYN == 0
	if p.Flags&(FIN|RST) != 0 {
		l.settle(f)
	}
}

// keepRoutes forgets the costs of routes that are not in the table.
func (l *linkRoom) keepRoutes(routes *routing.Index) {
	maps.DeleteFunc(l.costs, func(address netip.AddrPort, _ *byteCount) bool { return routes.Route(address) == nil })
}

func (l *linkRoom) costOf(route netip.AddrPort) byteCount {
	if cost := l.costs[route]; cost != nil {
		return *cost
	}
	return byteCount{defaultFlowBytes, defaultFlowBytes}
}

// settle ends the charge of a flow: it takes off what the flow has not used, and learns from the flow. A flow
// that never opened says nothing about the cost of others.
func (l *linkRoom) settle(f *flowCharge) {
	delete(l.charges, f.flow)
	l.backlog = l.backlog.beyond(f.prepaid.beyond(f.used))
	if !f.opened {
		return
	}
	cost := l.costs[f.flow.Dest]
	if cost == nil {
		first := f.used
		l.costs[f.flow.Dest] = &first
		return
	}
	cost.received += flowCostWeight * (f.used.received - cost.received)
	cost.sent += flowCostWeight * (f.used.sent - cost.sent)
}
