package forward

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// synRetryWindow is how long retransmissions of a SYN may follow the first one: callers send the last
	// one after 600 ms and give up after 1.4 s.
	synRetryWindow = 2 * time.Second
	// idleFlowWeight is the load of an open flow, in requests. A request in progress counts as 1 in addition.
	idleFlowWeight = 0.1
	// coldMultiplier multiplies the load of an upstream that is still slow after its start.
	coldMultiplier = 2
	// remotePenalty is the additional load per slot of upstreams in other data centres. New flows go there
	// only when the load in the local data centre is higher by this amount.
	remotePenalty = 1.0
	// suspectPenalty is the additional load per slot of an upstream that recently did not answer packets,
	// and silentPenalty that of one whose announcements are missing: about the length of its queue.
	suspectPenalty = 3.0
	silentPenalty  = 6.0
	// rejectionPenalty is the additional load per slot of an upstream that recently rejected a request:
	// about half of a full queue.
	rejectionPenalty = 3.0
	// triedPenalty keeps a retransmitted SYN away from upstreams that did not answer an earlier copy.
	triedPenalty = 1000.0
)

// place puts a flow on an upstream.
func (c *Core) place(now time.Duration, p *Packet, u *Upstream, tried []*Upstream) *flowState {
	if u.suspicions > 0 && !u.isSuspect(now) {
		// It has not answered since its latest suspicion. One flow tries it, others wait for the result.
		u.suspectUntil = now + c.handshakes.limit()
	}
	c.refused.remove(p.Flow())
	s := c.attachFlow(now, p.Flow(), u)
	s.triedUpstreams, s.placedAt = append(tried, u), now
	c.recordPlacement(now, u)
	c.recordProbe(now, u)
	s.setHalfOpen(true)
	c.countRequest(now, p.Dest, s)
	return s
}

// refuseFlow resets a new flow so that its caller does not wait for a timeout. A daemon that has just
// started holds the packet instead: the missing routes and registrations arrive within milliseconds,
// while the caller retransmits only after 200 ms.
func (c *Core) refuseFlow(p *Packet, reason Reason) Action {
	c.closeFlow(p.Flow())
	if !c.prepared {
		return Action{Verdict: Hold, Reason: Unprepared}
	}
	return Action{Verdict: Reset, Reason: reason}
}

// flowHash is the same on every daemon, so that all copies of a SYN get the same service of a traffic split.
func flowHash(f Flow) uint64 {
	b := make([]byte, 0, 12)
	caller, dest := f.Caller.Addr().As4(), f.Dest.Addr().As4()
	b = append(append(b, caller[:]...), dest[:]...)
	b = append(b, byte(f.Caller.Port()>>8), byte(f.Caller.Port()), byte(f.Dest.Port()>>8), byte(f.Dest.Port()))
	return xxhash.Sum64(b)
}

// chooseUpstream returns the upstream of a service with the lowest cost for a new flow, or nil if no
// upstream takes new flows. With a bounded warm-up, cold upstreams are used only while the others have no room.
func (c *Core) chooseUpstream(now time.Duration, service string, tried []*Upstream) *Upstream {
	warm, cold := cheapest{cost: math.Inf(1)}, cheapest{cost: math.Inf(1)}
	maxSlots := c.maxPlausibleSlots(service)
	warmup, bounded := c.warmupOf(service)
	for _, u := range c.placeableByService[service] {
		switch {
		case !c.mayTakeFlow(u):
		case !bounded:
			warm.offer(c.rng, u, c.cost(now, u, tried, maxSlots))
		case u.hasEnded(now), c.hasOutage(now, u) && !c.isCold(now, u, warmup):
		case !c.isCold(now, u, warmup):
			warm.offer(c.rng, u, c.cost(now, u, tried, maxSlots))
		case c.hasBudget(now, u, warmup):
			cold.offer(c.rng, u, c.cost(now, u, tried, maxSlots))
		}
	}
	if warm.cost >= coldPlacementCost && cold.cost < warm.cost {
		return cold.upstream
	}
	return warm.upstream
}

// cheapest is the upstream with the lowest cost so far, one of them at random if there are several.
type cheapest struct {
	upstream *Upstream
	cost     float64
	ties     int
}

func (b *cheapest) offer(rng *rand.Rand, u *Upstream, cost float64) {
	switch {
	case cost < b.cost:
		*b = cheapest{u, cost, 1}
	case cost == b.cost:
		b.ties++
		if rng.IntN(b.ties) == 0 {
			b.upstream = u
		}
	}
}

// maxSlotsRatio is how many times the median of its service an upstream's announced slots may count. An entry
// with far more is a fault of its writer and would draw all flows of the service.
const maxSlotsRatio = 8

// maxPlausibleSlots returns the largest number of slots that counts for an upstream of a service.
func (c *Core) maxPlausibleSlots(service string) int {
	limit, known := c.slotLimits[service]
	if !known {
		var slots []int
		for _, u := range c.placeableByService[service] {
			slots = append(slots, u.Slots)
		}
		slices.Sort(slots)
		if len(slots) > 0 {
			limit = maxSlotsRatio * slots[(len(slots)-1)/2]
		}
		c.slotLimits[service] = limit
	}
	return limit
}

// cost returns the load per slot of an upstream as observed by this daemon, plus penalties. Penalties
// do not exclude an upstream: when most upstreams are suspect, the others must not get all flows. At most
// maxSlots of its slots count.
func (c *Core) cost(now time.Duration, u *Upstream, tried []*Upstream, maxSlots int) float64 {
	load := float64(u.inProgress)
	if c.cfg.Placement == ByExpectedWork && len(u.work)+len(u.abandoned) > 0 {
		load = u.expectedWork(now)
	}
	load += idleFlowWeight * float64(u.flows)
	if now < u.WarmupEnd {
		load = (load + 1) * coldMultiplier
	}
	load /= float64(max(min(u.Slots, maxSlots), 1))
	if u.DataCentre != c.cfg.DataCentre {
		load += remotePenalty // a network partition between the data centres would break the flow
	}
	load += u.fullPenalty(now)
	if u.isSuspect(now) {
		load += suspectPenalty
	}
	load += u.slowness.penalty(now)
	if now < u.rejectionBackoffUntil {
		load += rejectionPenalty
	}
	if u.Silent {
		load += silentPenalty
	}
	if slices.Contains(tried, u) {
		load += triedPenalty
	}
	return load
}
