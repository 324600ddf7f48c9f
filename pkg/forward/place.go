package forward

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
)

// open places a new flow, or one whose SYN was not answered.
func (c *Core) open(now time.Duration, p *Packet) Action {
	if c.routes == nil {
		return Action{Verdict: Drop, Reason: NoTable}
	}
	route := c.routes.Route(p.Dest)
	if route == nil {
		return c.refuse(p, NoRoute)
	}
	var tried []*Upstream
	if s := c.flows[p.Flow()]; s != nil && now-s.seen < copyLifetime {
		tried = s.tried
		c.suspectTried(now, p, tried)
	}
	u := c.choose(now, route.Service(flowHash(p.Flow())), tried)
	if u == nil {
		return c.refuse(p, NoUpstream)
	}
	s := c.attach(now, p.Flow(), u)
	s.tried = append(tried, u)
	reason := Placed
	if len(tried) > 0 {
		reason = PlacedAgain
	}
	return Action{Verdict: Forward, Reason: reason, Upstream: u, Cookie: u.cookie}
}

// refuse resets a new flow, so that its caller need not wait.
func (c *Core) refuse(p *Packet, reason Reason) Action {
	c.close(p.Flow())
	if !c.prepared {
		return Action{Verdict: Drop, Reason: Unprepared}
	}
	return Action{Verdict: Reset, Reason: reason}
}

// suspectTried holds the missing answer to a SYN against the upstream that got the latest copy.
func (c *Core) suspectTried(now time.Duration, p *Packet, tried []*Upstream) {
	if p.Ack > 0 && len(tried) > 0 {
		tried[len(tried)-1].suspectUntil = now + suspectTime
	}
}

// flowHash is the same on every daemon, so that copies of a SYN get the same service of a split.
func flowHash(f Flow) uint64 {
	b := make([]byte, 0, 12)
	caller, dest := f.Caller.Addr().As4(), f.Dest.Addr().As4()
	b = append(append(b, caller[:]...), dest[:]...)
	b = append(b, byte(f.Caller.Port()>>8), byte(f.Caller.Port()), byte(f.Dest.Port()>>8), byte(f.Dest.Port()))
	return xxhash.Sum64(b)
}

// choose picks the upstream of a service for a new flow: the least loaded of the best tier. nil
// means that no upstream takes new flows.
func (c *Core) choose(now time.Duration, service string, tried []*Upstream) *Upstream {
	var best *Upstream
	bestTier, bestCost, ties := tiers, 0.0, 0
	for _, u := range c.services[service] {
		t, cost := u.tier(now, tried), c.cost(now, u)
		switch {
		case t < bestTier || t == bestTier && cost < bestCost:
			best, bestTier, bestCost, ties = u, t, cost, 1
		case t == bestTier && cost == bestCost:
			ties++
			if c.rng.IntN(ties) == 0 {
				best = u
			}
		}
	}
	return best
}

// Tiers of upstreams, best first.
const (
	tierHealthy = iota
	tierSuspect // packets were not answered lately
	tierSilent  // announcements are missing
	tierTried   // an earlier copy of the same SYN was not answered
	tiers
)

func (u *Upstream) tier(now time.Duration, tried []*Upstream) int {
	switch {
	case slices.Contains(tried, u):
		return tierTried
	case u.Silent:
		return tierSilent
	case u.suspect(now):
		return tierSuspect
	}
	return tierHealthy
}

// cost is the load of an upstream for each of its slots as far as this daemon sees it, and a margin
// for upstreams of other data centres: a partition would cut their flows off.
func (c *Core) cost(now time.Duration, u *Upstream) float64 {
	load := float64(u.inProgress) + idleFlowWeight*float64(u.flows)
	if now < u.WarmAt {
		load = (load + 1) * coldWeight
	}
	load /= float64(max(u.Slots, 1))
	if u.DataCentre != c.cfg.DataCentre {
		load += spillMargin
	}
	return load
}
