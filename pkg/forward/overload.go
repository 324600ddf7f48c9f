package forward

import (
	"maps"
	"net/netip"
	"time"

	"rosemarygate/pkg/routing"
)

const (
	// overloadedUpstreamShare is the share of the upstreams that must reject requests for the service to
	// count as overloaded. If only a few upstreams fail, the others still have capacity.
	overloadedUpstreamShare = 1.0 / 3
	// answerRecency is how long an upstream counts as answering after its latest answer.
	answerRecency = 2 * time.Second
	// upstreamCountPeriod is the minimum interval between two counts of the rejecting upstreams.
	upstreamCountPeriod = 50 * time.Millisecond
	// rejectionBackoff is how long an upstream has a penalty for new flows after a rejection. It doubles
	// with each further rejection up to maxRejectionLevel, and each answer that is not a rejection
	// lowers the level by one: an upstream that fails part of its requests still gets a few flows.
	rejectionBackoff  = time.Second
	maxRejectionLevel = 4
)

// OverloadChange reports that the overload of a service began or ended.
type OverloadChange struct {
	Service string
	// Refusing is true if new flows of the service may be refused from now on, false if no longer.
	Refusing bool
	// RejectedShare is the estimated share of new flows whose first request would be rejected.
	RejectedShare float64
}

// TakeOverloadChanges returns the overloads that began or ended since the last call.
func (c *Core) TakeOverloadChanges() []OverloadChange {
	changes := c.overloadChanges
	c.overloadChanges = nil
	return changes
}

// recordAnswer records the size of the first acknowledged part of an answer and the time since its request.
func (c *Core) recordAnswer(now time.Duration, f Flow, s *flowState, bytes uint32, took time.Duration) {
	u := s.upstream
	profile, a := c.profiles[f.Dest], c.admissions[u.Service]
	if profile == nil || a == nil {
		return // the table no longer has the route or the service
	}
	c.releaseDue = true
	rejected := profile.recordSize(bytes)
	if route := c.routes.Route(f.Dest); route != nil {
		c.catchUpOf(u.Service).recordAnswer(now, took, route.Objective)
		c.limitOf(u.Service).recordAnswer(now, float64(took)/float64(max(route.Objective, 1)), rejected || profile.isSlow(took, route.Objective))
	}
	a.upstreams = len(c.placeableByService[u.Service])
	a.recordAnswer(now, rejected)
	if s.placedAt > 0 && !s.hadAnswer && u.firstAnswers != nil {
		u.firstAnswers.record(now, rejected)
	}
	u.recordRejection(now, rejected)
	if !rejected {
		c.recordCost(now, s, u, profile, took)
		u.slowness.recordAnswer(now, profile.recordTime(took))
	}
	c.updateOverload(now, u.Service, a)
}

// recordRequest counts a request that begins on a flow.
func (c *Core) recordRequest(now time.Duration, dest netip.AddrPort, u *Upstream) {
	a := c.admissions[u.Service]
	if a == nil {
		return // there is no table yet, or it does not use the service
	}
	if route := c.routes.Route(dest); route != nil {
		a.recordRequest(now, route.Priority, a.refusing || c.limitOf(u.Service).active)
	}
}

// recordRejection records whether an answer of the upstream was a rejection.
func (u *Upstream) recordRejection(now time.Duration, rejected bool) {
	if !rejected {
		u.rejectionLevel = max(u.rejectionLevel-1, 0)
		return
	}
	u.rejectionLevel = min(u.rejectionLevel+1, maxRejectionLevel)
	u.rejectionBackoffUntil = now + rejectionBackoff<<(u.rejectionLevel-1)
}

// isOverloaded reports whether the service rejects so many requests that new flows may be refused.
func (c *Core) isOverloaded(now time.Duration, service string, a *admission) bool {
	share := a.fullShare(now)
	if a.refusing {
		return share >= overloadEndShare
	}
	if share <= refusalStartShare || !a.hasRetries(now) {
		return false
	}
	if now-a.countedAt >= upstreamCountPeriod {
		a.countedAt, a.widespread = now, c.isWidespread(now, service)
	}
	return a.widespread
}

// isWidespread reports whether enough of the upstreams that answer reject requests.
func (c *Core) isWidespread(now time.Duration, service string) bool {
	answering, rejecting := 0, 0
	for _, u := range c.placeableByService[service] {
		if now-u.slowness.answeredAt < answerRecency || now < u.rejectionBackoffUntil {
			answering++
		}
		if now < u.rejectionBackoffUntil {
			rejecting++
		}
	}
	return rejecting > 0 && float64(rejecting) >= overloadedUpstreamShare*float64(answering)
}

func (c *Core) updateOverload(now time.Duration, service string, a *admission) {
	refusing := c.isOverloaded(now, service, a)
	if refusing == a.refusing {
		return
	}
	a.refusing = refusing
	c.overloadChanges = append(c.overloadChanges, OverloadChange{service, refusing, a.fullShare(now)})
}

// admitFlow decides whether a new flow of a service is admitted. It returns the refusal, or nil.
func (c *Core) admitFlow(now time.Duration, service string, priority uint8) *Action {
	a := c.admissions[service]
	if a == nil || c.cfg.Admission == AdmitAll || !c.prepared {
		return nil
	}
	refusalProbability := a.recordFlow(now, priority)
	c.updateOverload(now, service, a)
	l := c.limitOf(service)
	if c.cfg.Admission != AdmitByRejections && !l.admits(now, func() bool { return a.protectedPriorities(now)[priority] }) {
		// A refused flow is demand, too. Without it a flood of flows with one request each would not show.
		a.recordRequest(now, priority, true)
		return &Action{Verdict: Reset, Reason: OverLimit, Limit: l.status()}
	}
	if a.refusing && refusalProbability > 0 && c.rng.Float64() < refusalProbability {
		return &Action{Verdict: Reset, Reason: Overloaded, RejectedShare: a.fullShare(now)}
	}
	return nil
}

// rebuildStatistics keeps the statistics of the routes and services that are in the new table.
func (c *Core) rebuildStatistics(t *routing.Table) {
	profiles, admissions := make(map[netip.AddrPort]*answerProfile, len(t.Routes)), map[string]*admission{}
	for _, r := range t.Routes {
		if profiles[r.Address] = c.profiles[r.Address]; profiles[r.Address] == nil {
			profiles[r.Address] = &answerProfile{}
		}
		for _, s := range r.Split {
			if admissions[s.Service] = c.admissions[s.Service]; admissions[s.Service] == nil {
				admissions[s.Service] = newAdmission()
				if c.cfg.Admission != AdmitByAllRejections {
					admissions[s.Service].firsts = c.firstAnswersOf(s.Service)
				}
			}
		}
	}
	c.profiles, c.admissions = profiles, admissions
	c.forgetUnused()
}

// forgetUnused forgets the statistics of services that are neither in the table nor have upstreams. Configurations
// may rename services for years.
func (c *Core) forgetUnused() {
	used := map[string]bool{}
	for service := range c.admissions {
		used[service] = true
	}
	for _, u := range c.upstreams {
		used[u.Service] = true
	}
	maps.DeleteFunc(c.firstAnswers, func(service string, _ *serviceFirstAnswers) bool { return !used[service] })
	maps.DeleteFunc(c.serviceCosts, func(service string, _ *serviceCost) bool { return !used[service] })
	maps.DeleteFunc(c.limits, func(service string, _ *flowLimit) bool { return !used[service] })
	maps.DeleteFunc(c.catchUps, func(service string, _ *catchUp) bool { return !used[service] })
	maps.DeleteFunc(c.outages, func(place servicePlace, _ *outage) bool { return !used[place.service] })
}
