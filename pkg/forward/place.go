package forward

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemarygate/pkg/control/directory"
)

const (
	// copyLifetime is how long copies of a SYN may follow the first one: callers send the last copy
	// after 600 ms and give up after 1.4 s.
	copyLifetime = 2 * time.Second
	// idleFlowWeight is the load of an open flow without a request in progress, in requests.
	idleFlowWeight = 0.1
	// coldWeight multiplies the load of an upstream that is still slow after its start.
	coldWeight = 2
	// spillMargin is the load for each slot by which the own data centre may exceed another one
	// before new flows go there.
	spillMargin = 1.0
	// suspectMargin is the additional load for each slot of an upstream that did not answer packets
	// lately, and silentMargin of one whose announcements are missing: about what its queue holds.
	suspectMargin = 3.0
	silentMargin  = 6.0
	// rejectionMargin is the additional load for each slot of an upstream that has rejected a request
	// lately: about half of a full queue.
	rejectionMargin = 3.0
	// triedMargin keeps copies of a SYN from an upstream that did not answer the SYN before.
	triedMargin = 1000.0
)

// open places a new flow, or one whose SYN was not answered.
func (c *Core) open(now time.Duration, p *Packet) Action {
	if c.routes == nil {
		return Action{Verdict: Hold, Reason: NoTable}
	}
	route := c.routes.Route(p.Dest)
	if route == nil {
		return c.refuse(p, NoRoute)
	}
	var tried []*Upstream
	var suspected *Upstream
	if s := c.flows[p.Flow()]; s != nil && now-s.seen < copyLifetime {
		tried = s.tried
		if len(tried) > 0 && p.Ack <= s.copy && s.upstream.State == directory.Ready {
			// The network has duplicated the packet; a second upstream must not answer it.
			return Action{Verdict: Forward, Reason: Placed, Upstream: s.upstream, Cookie: s.upstream.cookie}
		}
		if last := len(tried) - 1; last >= 0 && tried[last].distrust(now) {
			suspected = tried[last]
		}
	}
	service := route.Service(flowHash(p.Flow()))
	if p.Ack == 0 { // an earlier copy may be answered yet
		if ok, share := c.admit(now, service, route.Priority); !ok {
			c.close(p.Flow())
			return Action{Verdict: Reset, Reason: Overloaded, RejectedShare: share}
		}
	}
	u := c.choose(now, service, tried)
	if u == nil {
		return c.refuse(p, NoUpstream)
	}
	s := c.attach(now, p.Flow(), u)
	s.tried, s.copy = append(tried, u), p.Ack
	reason := Placed
	if len(tried) > 0 {
		reason = PlacedAgain
	}
	return Action{Verdict: Forward, Reason: reason, Upstream: u, Cookie: u.cookie, Suspected: suspected}
}

// refuse resets a new flow, so that its caller need not wait. A daemon that has just started holds it:
// what the daemon lacks arrives within milliseconds, while the caller's next copy takes 200 ms.
func (c *Core) refuse(p *Packet, reason Reason) Action {
	c.close(p.Flow())
	if !c.prepared {
		return Action{Verdict: Hold, Reason: Unprepared}
	}
	return Action{Verdict: Reset, Reason: reason}
}

// flowHash is the same on every daemon, so that copies of a SYN get the same service of a split.
func flowHash(f Flow) uint64 {
	b := make([]byte, 0, 12)
	caller, dest := f.Caller.Addr().As4(), f.Dest.Addr().As4()
	b = append(append(b, caller[:]...), dest[:]...)
	b = append(b, byte(f.Caller.Port()>>8), byte(f.Caller.Port()), byte(f.Dest.Port()>>8), byte(f.Dest.Port()))
	return xxhash.Sum64(b)
}

// choose picks the upstream of a service for a new flow, the one with the lowest cost. nil means that
// no upstream takes new flows.
func (c *Core) choose(now time.Duration, service string, tried []*Upstream) *Upstream {
	var best *Upstream
	lowest, ties := math.Inf(1), 0
	for _, u := range c.services[service] {
		cost := c.cost(now, u, tried)
		switch {
		case cost < lowest:
			best, lowest, ties = u, cost, 1
		case cost == lowest:
			ties++
			if c.rng.IntN(ties) == 0 {
				best = u
			}
		}
	}
	return best
}

// cost is the load of an upstream for each of its slots as far as this daemon sees it. What speaks
// against an upstream counts as additional load and does not exclude it: when most upstreams are under
// suspicion, the others must not get all flows.
func (c *Core) cost(now time.Duration, u *Upstream, tried []*Upstream) float64 {
	load := float64(u.inProgress) + idleFlowWeight*float64(u.flows)
	if now < u.WarmAt {
		load = (load + 1) * coldWeight
	}
	load /= float64(max(u.Slots, 1))
	if u.DataCentre != c.cfg.DataCentre {
		load += spillMargin // a partition would cut the flow off
	}
	if u.suspect(now) {
		load += suspectMargin
	}
	load += u.slowness.load(now)
	if now < u.rejectedUntil {
		load += rejectionMargin
	}
	if u.Silent {
		load += silentMargin
	}
	if slices.Contains(tried, u) {
		load += triedMargin
	}
	return load
}
