package forward

import (
	"time"

	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/routing"
)

// newFlow is a SYN on its way through the steps. Each step reads what earlier ones have found out.
type newFlow struct {
	now, arrivedAt time.Duration // the packet may have waited in the socket, and have been held, since its arrival
	packet         *Packet
	route          *routing.Route
	service        string
	tried          []*Upstream // upstreams that got an earlier copy
	suspected      *Upstream   // became suspect because this copy shows that it has not answered
}

// waited returns how long ago the packet arrived.
func (f *newFlow) waited() time.Duration { return f.now - f.arrivedAt }

// isHeld reports whether the packet was held, and so decided before.
func (f *newFlow) isHeld() bool { return f.waited() > f.packet.Waited }

// newFlowSteps is the way of a SYN, in order. The first step that returns an action decides; the last one
// always does.
var newFlowSteps = [...]func(*Core, *newFlow) *Action{
	(*Core).dropStale,       // can the caller have sent another copy since?
	(*Core).findRoute,       // is there a route?
	(*Core).findEarlier,     // is it a copy of a SYN that is placed already?
	(*Core).refuseEvacuated, // are all upstreams in evacuated data centres?
	(*Core).awaitTurn,       // does it yield to requests that can still be in time?
	(*Core).admitToService,  // has the service room?
	(*Core).admitToLink,     // has the link of this host room?
	(*Core).placeCheapest,   // which upstream of those that may take it is the cheapest?
}

// decideSYN places a new flow, or places a flow again whose SYN was not answered.
func (c *Core) decideSYN(now, arrivedAt time.Duration, p *Packet) Action {
	f := &newFlow{now: now, arrivedAt: arrivedAt, packet: p}
	for _, step := range newFlowSteps {
		if a := step(c, f); a != nil {
			a.Suspected = f.suspected
			if a.Verdict == Reset {
				c.refused.add(now, p)
			}
			return *a
		}
	}
	return c.refuseFlow(p, NoUpstream)
}

// dropStale drops a SYN that is so old that its caller has sent another copy. It is not refused: the copy may have
// opened the flow.
func (c *Core) dropStale(f *newFlow) *Action {
	if f.waited() < copyDelay(f.packet.Ack) {
		return nil
	}
	if s := c.flows[f.packet.Flow()]; s != nil && !s.halfOpen {
		return &Action{Verdict: Drop, Reason: LateSYN}
	}
	return &Action{Verdict: Drop, Reason: StaleSYN}
}

// findRoute finds the route and the service of the flow.
func (c *Core) findRoute(f *newFlow) *Action {
	if c.routes == nil {
		return &Action{Verdict: Hold, Reason: NoTable}
	}
	if f.route = c.routes.Route(f.packet.Dest); f.route == nil {
		return c.refuse(f, NoRoute)
	}
	f.service = f.route.Service(flowHash(f.packet.Flow()))
	return nil
}

// findEarlier handles copies of a SYN that this daemon has placed.
func (c *Core) findEarlier(f *newFlow) *Action {
	s := c.flows[f.packet.Flow()]
	if s == nil || f.now-s.lastSeen >= synRetryWindow {
		return nil
	}
	if !s.halfOpen && f.now-s.placedAt < synRetryWindow {
		// Refusing the copy would reset an open flow, and another upstream must not answer it.
		return &Action{Verdict: Drop, Reason: LateSYN}
	}
	f.tried = s.triedUpstreams
	if s.halfOpen && f.packet.Ack <= s.synCopy && s.upstream.State == directory.Ready {
		// The network has duplicated the packet; a second upstream must not answer it.
		if !c.mayTakeFlow(s.upstream) {
			return &Action{Verdict: Drop, Reason: Evacuated}
		}
		if !c.mayRepeatSYN(f.now, s.upstream) {
			return &Action{Verdict: Drop, Reason: WarmingUp}
		}
		c.recordPlacement(f.now, s.upstream)
		return &Action{Verdict: Forward, Reason: Placed, Upstream: s.upstream, Cookie: c.handshakeCookie(s.upstream, f.packet.Seq)}
	}
	if last := len(f.tried) - 1; last >= 0 && f.packet.Ack > s.synCopy && !f.isHeld() && f.tried[last].markSuspect(f.now) {
		f.suspected = f.tried[last]
	}
	return nil
}

// awaitTurn holds a flow whose request is late already until the service has capacity left for it.
func (c *Core) awaitTurn(f *newFlow) *Action {
	if c.isOverdue(f.route, f.packet, f.waited()) && !c.admitsOverdue(f.now, f.service, f.packet.Flow()) {
		return &Action{Verdict: Hold, Reason: AwaitingTurn}
	}
	return nil
}

// mayBeRefused reports whether a reset is safe. A retransmitted SYN is not refused, unless all earlier copies
// were, nor one that was held until the caller has retransmitted it, nor a network copy of one that was placed: an
// upstream may still answer another copy.
func (c *Core) mayBeRefused(f *newFlow) bool {
	return len(f.tried) == 0 && (f.packet.Ack == 0 || c.refused.includesAllBefore(f.now, f.packet)) && f.waited() < synDelays[1]
}

// admitToService refuses the flow if its service is overloaded.
func (c *Core) admitToService(f *newFlow) *Action {
	if !c.mayBeRefused(f) {
		return nil
	}
	refusal := c.admitFlow(f.now, f.service, f.route.Priority)
	if refusal != nil {
		c.closeFlow(f.packet.Flow())
	}
	return refusal
}

// placeCheapest places the flow on the upstream with the lowest cost.
func (c *Core) placeCheapest(f *newFlow) *Action {
	u := c.chooseUpstream(f.now, f.service, f.tried)
	if u == nil {
		return c.refuseUnplaced(f)
	}
	wait := u.expectedWaitAt(f.now)
	s := c.place(f.now, f.packet, u, f.tried)
	s.synCopy = f.packet.Ack
	reason := Placed
	if len(f.tried) > 0 {
		reason = PlacedAgain
	} else {
		c.handshakes.add(f.now, f.packet)
	}
	return &Action{Verdict: Forward, Reason: reason, Upstream: u, Cookie: c.handshakeCookie(u, f.packet.Seq), ExpectedWait: wait}
}

func (c *Core) refuse(f *newFlow, reason Reason) *Action {
	a := c.refuseFlow(f.packet, reason)
	return &a
}

// mayTakeFlow reports whether an upstream may get new flows at all, whatever its load.
func (c *Core) mayTakeFlow(u *Upstream) bool { return !c.evacuations.includes(u.DataCentre) }
