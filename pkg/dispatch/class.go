package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// serviceWeight is the weight of a new sample in the mean service time.
	serviceWeight = 1.0 / 32
	// weightSamples is the memory of the long-term mean service time. The short mean is no
	// weight for throughput: it is high just when the concurrency has been high.
	weightSamples = 2048
	// activeWindow is how long slots stay reserved for a class after its last request.
	activeWindow = 30 * time.Second
	// classifyEvery is the interval at which reservations follow the observed load.
	classifyEvery = 50 * time.Millisecond
	// useWeight is the weight of one classifyEvery interval in a class's mean slot use.
	useWeight = 0.05
	// longFactor is the ratio of mean service times from which a class counts as long
	// for a more urgent class: below it waiting for a running request costs little.
	longFactor = 4
	// reservedLoad is the load up to which slots without long requests serve the others
	// almost undelayed: at 0.35 the 99th percentile of the response time of an M/M/1 slot
	// is about 1.5 times that of an idle one.
	reservedLoad = 0.35
	// usualHeadroom is the allowance for long requests relative to their usual slot use.
	usualHeadroom = 1.4
	// firstUsual is the part of the slots assumed as usual before any observation.
	firstUsual = 0.8
	// usualFall and usualRise are the time constants of the usual slot use of long
	// requests. It rises slowly so that a flood does not become usual.
	usualFall = time.Minute
	usualRise = 10 * time.Minute
	// allowanceBurst is the number of long requests that may exceed the allowance.
	allowanceBurst = 4
	// guaranteeDelay is how long a class waits, in longest mean service times, until its
	// guarantee goes before priority. With 1 the requests that queued up behind one long
	// request became owed before it ended, and the p99 of the most urgent class under a
	// flood of the least urgent one was 1.37 instead of 1.15 times that without.
	guaranteeDelay = 2
	// floodRefused is the refused part of a class from which it counts as flooded. A short
	// burst stays below it: with 0 the guarantees took slots from bursts of urgent classes
	// at the onset of a flood of the least urgent one.
	floodRefused = 0.5
	// maxOwed bounds what a class may be owed, in longest mean service times. With 2
	// classes of equal service times lost 6% of their share when several were owed at once.
	maxOwed = 16
	// idleServiceProbe is the age of the last service time after which a request that
	// would miss its deadline by the estimate runs anyway and corrects the estimate.
	idleServiceProbe = time.Second
)

const noDeadline = math.MaxInt64

// tierUse is the use of the slots by the classes of a tier and those above it.
type tierUse struct {
	running int
	share   float64
}

// class is the state of one request class. Times are scheduler times in nanoseconds.
type class struct {
	Class
	queue       fifo
	minDeadline int64   // lower bound of the deadlines in the queue
	running     int     // dispatched requests
	credit      float64 // slot-nanoseconds of guaranteed service not yet received
	service     float64 // mean service time; 0 until observed
	spread      float64 // mean absolute deviation of the service time
	weight      float64 // long-term mean service time, see limiter.completed
	samples     int     // in weight, up to weightSamples
	observedAt  int64   // time of the last service time sample or probe
	arrivedAt   int64   // time of the last request
	arrived     bool
	refused     float64 // part of the latest requests refused for lack of capacity
	patience    float64 // part of the guarantee delay that applies
	use         float64 // mean number of occupied slots
	busy        float64 // slot-nanoseconds since the last classify
	tier        int     // number of reservations that apply to the class
}

func newClass(c Class) class {
	return class{Class: c, queue: fifo{head: none, tail: none}, minDeadline: noDeadline, patience: 1}
}

func (c *class) active(now int64) bool {
	return c.arrived && (c.queue.n > 0 || c.running > 0 || now-c.arrivedAt < int64(activeWindow))
}

// stale reports whether the mean service time is so old that one request may run against
// it. Without this an estimate from a slow period would refuse everything for ever.
func (c *class) stale(now int64) bool {
	return float64(now-c.observedAt) > math.Max(float64(idleServiceProbe), 4*c.service)
}

func (c *class) observe(now int64, d float64) {
	if c.service == 0 {
		c.service = d
	} else {
		c.spread += serviceWeight * (math.Abs(d-c.service) - c.spread)
		c.service += serviceWeight * (d - c.service)
	}
	c.samples = min(c.samples+1, weightSamples)
	c.weight += (d - c.weight) / float64(c.samples)
	c.observedAt = now
}

// accrue adds the guarantee for an interval during which requests of the class waited.
// The bounds keep an unused guarantee from piling up, and use of spare capacity from
// counting against the class later. What is owed outlives a short gap in the queue: a
// class with short requests would otherwise start its wait anew after each.
func (c *class) accrue(dt, slots, longest float64) {
	c.busy += float64(c.running) * dt
	rate := c.Share * slots
	if c.queue.n == 0 {
		c.rest(dt, rate, longest)
		return
	}
	top := c.service + guaranteeDelay*rate*longest + maxOwed*longest
	c.credit = math.Max(-c.service, math.Min(top, c.credit+rate*dt))
}

// rest repays or forgets credit while no request of the class waits.
func (c *class) rest(dt, rate, longest float64) {
	if c.credit < 0 {
		c.credit = math.Min(0, c.credit+rate*dt)
		return
	}
	c.credit -= c.credit * math.Min(1, dt/math.Max(longest, 1))
}

// overdue returns for how long (nanoseconds) the class has been owed the service time of
// one request. It is negative when nothing is owed and during the guarantee delay.
func (c *class) overdue(slots, longest float64) float64 {
	rate := c.Share * slots
	if rate <= 0 {
		return -1
	}
	return (c.credit-c.service)/rate - c.patience*guaranteeDelay*longest
}

// idle reports whether time changes nothing about the class.
func (c *class) idle() bool {
	return c.credit == 0 && c.queue.n == 0 && c.running == 0
}

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
