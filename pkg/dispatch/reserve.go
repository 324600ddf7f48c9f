package dispatch

import (
	"math"
	"slices"
)

// classify recomputes how many reservations apply to each class: a class is one tier
// above every more urgent active class whose requests are much shorter than its own.
func (s *Scheduler) classify() {
	dt := float64(s.now - s.classifiedAt)
	s.classifiedAt = s.now
	s.maxTier = 0
	s.longest = 0
	urgent, long, share := 0.0, 0.0, 0.0
	for at, ci := range s.order {
		c := &s.classes[ci]
		if dt > 0 {
			weight := 1 - math.Pow(1-useWeight, dt/float64(classifyEvery))
			c.use += weight * (c.busy/dt - c.use)
			c.busy = 0
		}
		s.longest = max(s.longest, c.service)
		c.tier = s.tierOf(at)
		s.maxTier = max(s.maxTier, c.tier)
		if c.tier == 0 {
			urgent += c.use
			continue
		}
		long += c.use
		share += c.Share
	}
	s.setPatience()
	s.countTiers()
	s.setCaps()
	s.setAllowance(dt, urgent, long, share)
}

// setPatience shortens the guarantee delay of the classes below one that is refused a lot.
// The delay keeps the latency of urgent classes low; a class that floods has none to keep,
// and for the others the delay is service lost at the onset of the flood.
func (s *Scheduler) setPatience() {
	refused, above := 0.0, 0.0 // highest so far, and among the classes of higher priority
	for at, ci := range s.order {
		c := &s.classes[ci]
		if at == 0 || s.classes[s.order[at-1]].Priority != c.Priority {
			above = refused
		}
		c.patience = min(1, (1-above)/(1-floodRefused))
		refused = max(refused, c.refused)
	}
}

// setAllowance computes how many slots long requests may occupy on average beyond what
// they are owed: their usual use, or what leaves enough for the other classes.
func (s *Scheduler) setAllowance(dt, urgent, long, share float64) {
	limit := float64(s.limit.slots())
	// The first minute is averaged as it comes, so that the assumption at the start does
	// not last.
	known := min(float64(usualFall), float64(s.now)/2)
	fall := 1 - math.Exp(-dt/max(known, float64(classifyEvery)))
	rise := 1 - math.Exp(-dt/float64(usualRise))
	if long > s.usual && s.throttled {
		fall = rise
	}
	s.usual += fall * (long - s.usual)
	s.throttled = false
	s.allowance = max(share*limit, limit-urgent/reservedLoad, usualHeadroom*s.usual)
}

// accrueAllowance adds the allowance of an interval. Credit and debt are bounded by a few
// long requests.
func (s *Scheduler) accrueAllowance(dt float64) {
	credit := s.longCredit + s.allowance*dt
	s.longCredit = max(-allowanceBurst*s.longest, min(allowanceBurst*s.longest, credit))
}

func (s *Scheduler) tierOf(at int) int {
	c := &s.classes[s.order[at]]
	tier := 0
	for _, di := range s.order[:at] {
		d := &s.classes[di]
		if d.Priority == c.Priority {
			break
		}
		if !d.active(s.now) {
			continue
		}
		if c.service == 0 || d.service*longFactor < c.service {
			tier = max(tier, d.tier+1)
		}
	}
	return tier
}

// setCaps computes how many slots the classes of each tier and above may occupy together.
// A lower tier always gets one slot more than the tier above it, so that long requests
// cannot occupy every slot that it may use.
func (s *Scheduler) setCaps() {
	limit := s.limit.slots()
	s.caps = slices.Grow(s.caps[:0], s.maxTier+1)[:s.maxTier+1]
	for tier := s.maxTier; tier >= 1; tier-- {
		n := max(1, limit-tier)
		if tier < s.maxTier {
			n = max(n, s.caps[tier+1]+1)
		}
		s.caps[tier] = min(n, limit)
	}
	s.caps[0] = limit
}

// mayRun reports whether the reservations let a class take a free slot. A class that is
// owed service may exceed them up to the slots that the guarantees of its tier need.
func (s *Scheduler) mayRun(c *class, owed bool) bool {
	for tier := c.tier; tier >= 1; tier-- {
		limit := s.caps[tier]
		use := &s.tiers[tier]
		if owed {
			limit = max(limit, int(math.Ceil(use.share*float64(s.limit.slots()))))
		}
		if use.running >= limit {
			return false
		}
	}
	return c.tier == 0 || owed || s.allowed(c)
}

// allowed reports whether the allowance permits one more long request. The whole slots of
// the allowance are used without pause; only the request that would use its fraction
// has to wait for credit. Pacing all of them lets long requests overlap more often, which
// leaves fewer slots to urgent ones at a time.
func (s *Scheduler) allowed(c *class) bool {
	if float64(s.tiers[1].running+1) <= s.allowance {
		return true
	}
	if s.longCredit >= c.service {
		return true
	}
	s.throttled = true
	return false
}

// countTiers recomputes the running requests and shares of each tier and those above it.
func (s *Scheduler) countTiers() {
	n := s.maxTier + 1
	s.tiers = slices.Grow(s.tiers[:0], n)[:n]
	clear(s.tiers)
	for i := range s.classes {
		c := &s.classes[i]
		for tier := range c.tier + 1 {
			s.tiers[tier].running += c.running
			s.tiers[tier].share += c.Share
		}
	}
}

// count adds to the running requests of a class and its tiers.
func (s *Scheduler) count(c *class, n int) {
	c.running += n
	s.running += n
	for tier := range c.tier + 1 {
		s.tiers[tier].running += n
	}
}
