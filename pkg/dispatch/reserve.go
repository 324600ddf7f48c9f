package dispatch

import (
	"math"
	"slices"
)

// classify recomputes the tier of each class, which is the number of reservations that apply to
// it: one more than that of any more urgent active class whose requests are much shorter.
func (s *Scheduler) classify() {
	dt := float64(s.now - s.classifiedAt)
	s.classifiedAt = s.now
	s.maxTier = 0
	s.longestService = 0
	urgentUse, longUse, longShare := 0.0, 0.0, 0.0
	for position, ci := range s.order {
		c := &s.classes[ci]
		if dt > 0 {
			weight := 1 - math.Pow(1-slotUseWeight, dt/float64(classifyInterval))
			c.slotUse += weight * (c.busyTime/dt - c.slotUse)
			c.busyTime = 0
		}
		s.longestService = max(s.longestService, c.meanService)
		c.tier = s.tierOf(position)
		s.maxTier = max(s.maxTier, c.tier)
		if c.tier == 0 {
			urgentUse += c.slotUse
			continue
		}
		longUse += c.slotUse
		longShare += c.Share
	}
	s.setGuaranteeDelayFactors()
	s.countTiers()
	s.setTierLimits()
	s.setAllowance(dt, urgentUse, longUse, longShare)
}

// setGuaranteeDelayFactors shortens the guarantee delay of classes that are less urgent than one
// with many refusals. The delay protects the latency of urgent classes. A flooding class has no low
// latency to protect, and at the onset of the flood the delay would cost the others service.
func (s *Scheduler) setGuaranteeDelayFactors() {
	maxRefused, maxRefusedAbove := 0.0, 0.0 // highest refused share so far, and of the more urgent classes
	for position, ci := range s.order {
		c := &s.classes[ci]
		if position == 0 || s.classes[s.order[position-1]].Priority != c.Priority {
			maxRefusedAbove = maxRefused
		}
		c.guaranteeDelayFactor = min(1, (1-maxRefusedAbove)/(1-floodRefusedShare))
		maxRefused = max(maxRefused, c.refusedShare)
	}
}

// setAllowance computes how many slots long requests may occupy on average beyond their
// guarantees: their baseline use, or what leaves enough slots for the other classes.
func (s *Scheduler) setAllowance(dt, urgentUse, longUse, longShare float64) {
	limit := float64(s.limiter.slots())
	// Until it reaches baselineFallTime, the time constant is half of the elapsed time, so that
	// the average follows the observed use and the initial value soon loses its weight.
	fallTime := min(float64(baselineFallTime), float64(s.now)/2)
	fallWeight := 1 - math.Exp(-dt/max(fallTime, float64(classifyInterval)))
	riseWeight := 1 - math.Exp(-dt/float64(baselineRiseTime))
	if longUse > s.baselineLongUse && s.longThrottled {
		fallWeight = riseWeight
	}
	s.baselineLongUse += fallWeight * (longUse - s.baselineLongUse)
	s.longThrottled = false
	s.longAllowance = max(longShare*limit, limit-urgentUse/reservedLoad, baselineHeadroom*s.baselineLongUse)
}

// accrueAllowance adds the allowance of an interval. The credit is limited to a few long
// requests in both directions.
func (s *Scheduler) accrueAllowance(dt float64) {
	credit := s.longCredit + s.longAllowance*dt
	s.longCredit = max(-allowanceBurstRequests*s.longestService, min(allowanceBurstRequests*s.longestService, credit))
}

func (s *Scheduler) tierOf(position int) int {
	c := &s.classes[s.order[position]]
	tier := 0
	for _, di := range s.order[:position] {
		d := &s.classes[di]
		if d.Priority == c.Priority {
			break
		}
		if !d.isActive(s.now) {
			continue
		}
		if c.meanService == 0 || d.meanService*longServiceRatio < c.meanService {
			tier = max(tier, d.tier+1)
		}
	}
	return tier
}

// setTierLimits computes how many slots the classes of each tier and above may occupy together.
// A lower tier always has one slot more than the next higher one, so that long requests cannot
// occupy every slot that it may use.
func (s *Scheduler) setTierLimits() {
	limit := s.limiter.slots()
	s.tierLimits = slices.Grow(s.tierLimits[:0], s.maxTier+1)[:s.maxTier+1]
	for tier := s.maxTier; tier >= 1; tier-- {
		n := max(1, limit-tier)
		if tier < s.maxTier {
			n = max(n, s.tierLimits[tier+1]+1)
		}
		s.tierLimits[tier] = min(n, limit)
	}
	s.tierLimits[0] = limit
}

// mayRun reports whether the reservations allow a class to use a free slot. A class that is
// behind its guaranteed share may exceed them, up to the slots that the guarantees of its tier need.
func (s *Scheduler) mayRun(c *class, underserved bool) bool {
	for tier := c.tier; tier >= 1; tier-- {
		limit := s.tierLimits[tier]
		use := &s.tierUses[tier]
		if underserved {
			limit = max(limit, int(math.Ceil(use.share*float64(s.limiter.slots()))))
		}
		if use.running >= limit {
			return false
		}
	}
	return c.tier == 0 || underserved || s.allowanceAvailable(c)
}

// allowanceAvailable reports whether the allowance permits one more long request. Whole slots of
// the allowance are used without a pause, and only a request in the fractional slot waits for
// credit. Pacing all of them would make long requests overlap more often, which leaves fewer
// slots for urgent requests at a time.
func (s *Scheduler) allowanceAvailable(c *class) bool {
	if float64(s.tierUses[1].running+1) <= s.longAllowance {
		return true
	}
	if s.longCredit >= c.meanService {
		return true
	}
	s.longThrottled = true
	return false
}

// countTiers recomputes the running requests and shares of each tier including all higher tiers.
func (s *Scheduler) countTiers() {
	n := s.maxTier + 1
	s.tierUses = slices.Grow(s.tierUses[:0], n)[:n]
	clear(s.tierUses)
	for i := range s.classes {
		c := &s.classes[i]
		for tier := range c.tier + 1 {
			s.tierUses[tier].running += c.running
			s.tierUses[tier].share += c.Share
		}
	}
}

// addRunning adds n to the running requests of a class and of its tiers.
func (s *Scheduler) addRunning(c *class, n int) {
	c.running += n
	s.running += n
	for tier := range c.tier + 1 {
		s.tierUses[tier].running += n
	}
}
