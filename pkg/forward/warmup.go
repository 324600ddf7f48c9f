package forward

import (
	"time"

	"rosemarygate/pkg/routing"
)

// Cold upstreams of services with a bounded warm-up (docs/design/warm-up.md).
//
// When the upstreams of a data centre come back together, they are idle, and every daemon would send its next
// flow there. A cold upstream bears only a few new flows in a second, of all daemons together. So it gets none
// while others have room, and otherwise only those of its sponsor.

const (
	// coldPlacementCost is the cost of the best other upstream from which a cold one is used: that of an
	// upstream that has just rejected a request.
	coldPlacementCost = rejectionPenalty
	// warmupMargin extends a warm-up, because the clock of the upstream may be slower than this one.
	warmupMargin = 100 * time.Millisecond
	// warmupWindow is the span in which the flows of a cold upstream are bounded: a second, and a margin for
	// the clock rate.
	warmupWindow = 1020 * time.Millisecond
	// maxSponsors is the number of sponsors that an upstream may have at the same time, because two control
	// hosts have taken announcements before they heard of each other. Each uses its part of the limit.
	maxSponsors = 2
	// maxSponsorBudget bounds the memory for recent placements. An upstream that bears more needs no warm-up.
	maxSponsorBudget = 1000
	// coldServiceQuiet is the time without a flow for a cold upstream after which a service counts as warm in
	// the log.
	coldServiceQuiet = 2 * time.Second
)

// warmups is the state of this daemon for the warm-ups of upstreams.
type warmups struct {
	services map[string]*coldService
	changes  []ColdServiceChange // not yet taken by the caller
}

// coldService is what a daemon does for a service whose upstreams are cold.
type coldService struct {
	usesBudget, refuses bool // as logged
	latest              time.Duration
}

// ColdServiceChange says that a daemon begins or ends to act on a service because of its cold upstreams.
type ColdServiceChange struct {
	Service string
	// UsesBudget says that the daemon places flows on cold upstreams as their sponsor, and Refuses that it
	// refuses flows because there are only cold upstreams. Neither means that both have ended.
	UsesBudget, Refuses bool
	// Counts are the upstreams of the service, and Budget the flows that this daemon may place on each of those
	// that it sponsors in a second.
	Counts WarmupCounts
	Budget int
}

// TakeColdServiceChanges returns the changes since the last call.
func (c *Core) TakeColdServiceChanges() []ColdServiceChange {
	changes := c.warmups.changes
	c.warmups.changes = nil
	return changes
}

// warmupOf returns the warm-up of a service's upstreams, and false if the flows of cold ones are not bounded.
func (c *Core) warmupOf(service string) (routing.Warmup, bool) {
	if !c.cfg.WarmupTolerance.Bounded || c.routes == nil {
		return routing.Warmup{}, false
	}
	w, ok := c.routes.Table().Warmups[service]
	return w, ok
}

// IsCold reports whether an upstream may be in its warm-up.
func (c *Core) IsCold(now time.Duration, u *Upstream) bool {
	w, bounded := c.warmupOf(u.Service)
	return now < u.WarmupEnd || bounded && c.isCold(now, u, w)
}

// isCold reports whether an upstream of a service with the given warm-up may be in it.
func (c *Core) isCold(now time.Duration, u *Upstream, w routing.Warmup) bool {
	if u.WarmupEnd > 0 && now < u.WarmupEnd+warmupMargin {
		return true
	}
	// Its upstreams may have become cold shortly before the end of an evacuation, and their announcements may
	// still be on the way.
	endedAt, evacuated := c.evacuationEndedAt(u.DataCentre)
	return evacuated && now < endedAt+w.Duration+c.cfg.AnnouncementInterval+warmupMargin
}

// hasBudget reports whether this daemon may place a flow on a cold upstream.
func (c *Core) hasBudget(now time.Duration, u *Upstream, w routing.Warmup) bool {
	if u.WarmupSponsor == "" || u.WarmupSponsor != c.cfg.Name {
		return false
	}
	u.expirePlacements(now)
	return len(u.recentPlacements) < c.sponsorBudget(w)
}

// sponsorBudget returns the number of new flows that a sponsor may place on a cold upstream in warmupWindow.
func (c *Core) sponsorBudget(w routing.Warmup) int {
	return int(min(c.cfg.WarmupTolerance.Limit(w)/maxSponsors, maxSponsorBudget))
}

// expirePlacements forgets placements that no window of warmupWindow contains any more.
func (u *Upstream) expirePlacements(now time.Duration) {
	for len(u.recentPlacements) > 0 && now-u.recentPlacements[0] >= warmupWindow {
		u.recentPlacements = u.recentPlacements[1:]
	}
}

// recordPlacement counts a SYN that is sent to an upstream if that is cold.
func (c *Core) recordPlacement(now time.Duration, u *Upstream) {
	if w, bounded := c.warmupOf(u.Service); bounded && c.isCold(now, u, w) {
		u.expirePlacements(now)
		u.recentPlacements = append(u.recentPlacements, now)
		c.recordColdService(now, u.Service, true)
	}
}

// mayRepeatSYN reports whether an upstream may get another copy of a SYN.
func (c *Core) mayRepeatSYN(now time.Duration, u *Upstream) bool {
	w, bounded := c.warmupOf(u.Service)
	return !bounded || !c.isCold(now, u, w) || c.hasBudget(now, u, w)
}

// hasEnded reports whether an upstream has ended in all likelihood: its announcements are missing, and packets
// of this daemon were not answered. A process that starts in its place may be cold, and announces itself.
func (u *Upstream) hasEnded(now time.Duration) bool { return u.Silent && u.isSuspect(now) }

// isWarmingUp reports whether a service without an upstream for a flow has cold ones that this daemon may not use.
func (c *Core) isWarmingUp(now time.Duration, service string) bool {
	w, bounded := c.warmupOf(service)
	if !bounded {
		return false
	}
	cold := false
	for _, u := range c.placeableByService[service] {
		cold = cold || c.mayTakeFlow(u) && c.isCold(now, u, w)
	}
	return cold
}

// refuseUnplaced refuses a flow for which there is no upstream. While the service has some that this daemon does
// not use, a copy of a SYN is dropped: the sponsor, or an upstream that is slow to answer, may have another copy.
func (c *Core) refuseUnplaced(f *newFlow) *Action {
	reason := NoUpstream
	switch {
	case c.isWarmingUp(f.now, f.service):
		reason = WarmingUp
		c.recordColdService(f.now, f.service, false)
	case c.hasOutageAnywhere(f.now, f.service):
		reason = NoAnswer
	}
	if len(c.placeableByService[f.service]) > 0 && !c.mayBeRefused(f) && c.prepared {
		return &Action{Verdict: Drop, Reason: reason}
	}
	return c.refuse(f, reason)
}

// recordColdService records a placement by budget or a refusal.
func (c *Core) recordColdService(now time.Duration, service string, budget bool) {
	s := c.warmups.services[service]
	if s == nil {
		s = &coldService{}
		if c.warmups.services == nil {
			c.warmups.services = map[string]*coldService{}
		}
		c.warmups.services[service] = s
	}
	s.latest = now
	if budget && s.usesBudget || !budget && s.refuses {
		return
	}
	s.usesBudget, s.refuses = s.usesBudget || budget, s.refuses || !budget
	w, _ := c.warmupOf(service)
	c.warmups.changes = append(c.warmups.changes, ColdServiceChange{service, s.usesBudget, s.refuses, c.countWarmups(now, service), c.sponsorBudget(w)})
}

// sweepWarmups ends what a daemon does for services that are warm again.
func (c *Core) sweepWarmups(now time.Duration) {
	for service, s := range c.warmups.services {
		if now-s.latest > coldServiceQuiet {
			delete(c.warmups.services, service)
			c.warmups.changes = append(c.warmups.changes, ColdServiceChange{Service: service})
		}
	}
}

// WarmupCounts are numbers of upstreams in their warm-up, as this daemon knows them.
type WarmupCounts struct{ Cold, Sponsored int }

// CountWarmups counts the cold upstreams, and those of them whose sponsor is this daemon.
func (c *Core) CountWarmups(now time.Duration) WarmupCounts {
	var total WarmupCounts
	for service := range c.placeableByService {
		n := c.countWarmups(now, service)
		total.Cold, total.Sponsored = total.Cold+n.Cold, total.Sponsored+n.Sponsored
	}
	return total
}

func (c *Core) countWarmups(now time.Duration, service string) WarmupCounts {
	var n WarmupCounts
	for _, u := range c.placeableByService[service] {
		if !c.IsCold(now, u) {
			continue
		}
		n.Cold++
		if u.WarmupSponsor != "" && u.WarmupSponsor == c.cfg.Name {
			n.Sponsored++
		}
	}
	return n
}
