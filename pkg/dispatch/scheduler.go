package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Scheduler admits and dispatches the requests of one upstream. The slices that its
// methods return are valid until the next call. It is not safe for concurrent use.
type Scheduler struct {
	classes         []class
	order           []int // class indexes, most urgent first
	slab            itemSlab
	limiter         limiter
	tierLimits      []int // by tier
	tierUses        []tierUse
	maxTier         int
	running         int
	queued          int
	draining        bool
	base            time.Time
	now             int64   // nanoseconds since base; never decreases
	longestService  float64 // largest mean service time of a class
	classifiedAt    int64
	baselineLongUse float64 // baseline slot use of long requests
	longAllowance   float64 // slots that long requests may occupy on average
	longCredit      float64 // unused slot-nanoseconds of the allowance
	longThrottled   bool    // the allowance has delayed a long request since the last classify
	run             []Request
	refused         []Refusal
}

// NewScheduler returns an idle scheduler for one upstream.
func NewScheduler(l Limits) *Scheduler {
	s := &Scheduler{slab: newSlab(), limiter: newLimiter(l.Slots)}
	s.baselineLongUse = initialBaselineShare * float64(s.limiter.slots())
	s.setClasses(l.Classes)
	return s
}

// setClasses replaces the classes and keeps the state of those with the same name. It
// returns the new index of each old class, or -1 if it was removed.
func (s *Scheduler) setClasses(declared []Class) []int32 {
	old := s.classes
	newIndexes := make([]int32, len(old))
	for i := range newIndexes {
		newIndexes[i] = -1
	}
	total := 0.0
	for _, c := range declared {
		total += max(0, c.Share)
	}
	s.classes = make([]class, len(declared))
	s.order = make([]int, len(declared))
	for i, c := range declared {
		c.Share = max(0, c.Share) / max(1, total)
		s.order[i] = i
		s.classes[i] = newClass(c)
		oldIndex := slices.IndexFunc(old, func(o class) bool { return o.Name == c.Name })
		if oldIndex < 0 || newIndexes[oldIndex] >= 0 {
			continue
		}
		s.classes[i] = old[oldIndex]
		s.classes[i].Class = c
		newIndexes[oldIndex] = int32(i)
	}
	slices.SortStableFunc(s.order, func(a, b int) int { return s.classes[a].Priority - s.classes[b].Priority })
	s.classify()
	return newIndexes
}

// advanceTo advances the scheduler time and the credits, and clears the result buffers.
func (s *Scheduler) advanceTo(now time.Time) {
	s.run = s.run[:0]
	s.refused = s.refused[:0]
	if s.base.IsZero() {
		s.base = now
	}
	schedulerNow := int64(now.Sub(s.base))
	if schedulerNow <= s.now {
		return
	}
	dt := float64(schedulerNow - s.now)
	s.now = schedulerNow
	s.limiter.addTime(s.running, dt)
	slots := float64(s.limiter.slots())
	for i := range s.classes {
		if c := &s.classes[i]; !c.isIdle() {
			c.accrueCredit(dt, slots, s.longestService)
		}
	}
	s.accrueAllowance(dt)
	if schedulerNow-s.classifiedAt >= int64(classifyInterval) {
		s.classify()
	}
}

// dispatchQueued dispatches queued requests while slots are free.
func (s *Scheduler) dispatchQueued() {
	for s.queued > 0 && s.running < s.limiter.slots() {
		ci := s.nextClass()
		if ci < 0 {
			return
		}
		c := &s.classes[ci]
		i := c.queue.head
		s.dequeue(i)
		it := &s.slab.items[i]
		if it.deadline <= s.now {
			s.refuseItem(i, ReasonExpired)
			continue
		}
		if s.missesDeadline(c, it.arrived, it.deadline) {
			if !c.isEstimateStale(s.now) {
				s.refuseItem(i, ReasonDeadline)
				continue
			}
			c.observedAt = s.now
		}
		s.startItem(i)
	}
}

// nextClass returns the class whose first queued request gets a free slot, or -1.
func (s *Scheduler) nextClass() int {
	slots := float64(s.limiter.slots())
	underserved, maxLag := -1, 0.0
	mostUrgent := -1
	for _, ci := range s.order {
		c := &s.classes[ci]
		if c.queue.length == 0 {
			continue
		}
		lag := c.guaranteeLag(slots, s.longestService)
		if lag >= maxLag && s.mayRun(c, true) && (underserved < 0 || lag > maxLag) {
			underserved, maxLag = ci, lag
		}
		if mostUrgent < 0 && s.mayRun(c, false) {
			mostUrgent = ci
		}
	}
	if underserved >= 0 {
		return underserved
	}
	return mostUrgent
}

func (s *Scheduler) dequeue(i int32) {
	c := &s.classes[s.slab.items[i].class]
	c.queue.unlink(&s.slab, i)
	if c.queue.length == 0 {
		c.minDeadline = noDeadline
	}
	s.queued--
}

// refuseItem refuses an item that has been removed from its queue.
func (s *Scheduler) refuseItem(i int32, reason Reason) {
	s.refuseRequest(s.slab.items[i].req.ID, reason)
	s.slab.remove(i)
}

func (s *Scheduler) startItem(i int32) {
	it := &s.slab.items[i]
	c := &s.classes[it.class]
	it.running = true
	it.started = s.now
	it.chargedTime = c.meanService
	c.credit -= c.meanService
	if it.usesAllowance = c.tier > 0; it.usesAllowance {
		s.longCredit -= c.meanService
	}
	s.addRunning(c, 1)
	s.run = append(s.run, it.req)
}

// Done records the end of a dispatched request and returns the requests to run in its place. An
// ID that is not running has no effect.
func (s *Scheduler) Done(now time.Time, id uint64, o Outcome) (run []Request, refused []Refusal) {
	s.advanceTo(now)
	i, ok := s.slab.index[id]
	if !ok || !s.slab.items[i].running {
		return s.run, s.refused
	}
	s.finishItem(i, o)
	s.dispatchQueued()
	return s.run, s.refused
}

func (s *Scheduler) finishItem(i int32, o Outcome) {
	it := &s.slab.items[i]
	concurrency := s.running
	took := float64(s.now - it.started)
	if it.class >= 0 {
		c := &s.classes[it.class]
		s.addRunning(c, -1)
		c.credit -= took - it.chargedTime
		if it.usesAllowance {
			s.longCredit -= took - it.chargedTime
		}
		if o == Answered && !it.cancelled {
			s.recordServiceTime(c, concurrency, took)
		}
	} else {
		s.running--
	}
	switch o {
	case Shed:
		s.limiter.recordShed(concurrency)
	case Answered:
		s.limiter.recordSuccess(concurrency)
	}
	s.slab.remove(i)
}

func (s *Scheduler) recordServiceTime(c *class, concurrency int, took float64) {
	c.recordServiceTime(s.now, took)
	s.limiter.recordCompletion(concurrency, c.longTermService)
}

// Cancel removes a queued request, which then has certainly not run and is not reported
// again (queued is true). A running request keeps its slot until Done reports it, because
// the upstream may still work on it; its service time is not recorded.
func (s *Scheduler) Cancel(now time.Time, id uint64) (queued bool, run []Request, refused []Refusal) {
	s.advanceTo(now)
	i, ok := s.slab.index[id]
	if !ok {
		return false, s.run, s.refused
	}
	if s.slab.items[i].running {
		s.slab.items[i].cancelled = true
		return false, s.run, s.refused
	}
	s.dequeue(i)
	s.slab.remove(i)
	return true, s.run, s.refused
}

// Tick refuses queued requests whose deadline has passed and dispatches requests that have become
// eligible since the last call. Call it every 10 ms to 100 ms while requests are queued.
func (s *Scheduler) Tick(now time.Time) (run []Request, refused []Refusal) {
	s.advanceTo(now)
	for i := range s.classes {
		s.expireQueued(i)
	}
	s.dispatchQueued()
	return s.run, s.refused
}

// expireQueued refuses the queued requests of a class whose deadline has passed.
func (s *Scheduler) expireQueued(ci int) {
	c := &s.classes[ci]
	if c.minDeadline > s.now {
		return
	}
	c.minDeadline = noDeadline
	for i := c.queue.head; i != noItem; {
		it := &s.slab.items[i]
		next := it.next
		if it.deadline <= s.now {
			s.dequeue(i)
			s.refuseItem(i, ReasonExpired)
		} else {
			c.minDeadline = min(c.minDeadline, it.deadline)
		}
		i = next
	}
}

// SetLimits changes the slots and classes. Running requests stay; queued requests of a
// removed class are refused.
func (s *Scheduler) SetLimits(now time.Time, l Limits) (run []Request, refused []Refusal) {
	s.advanceTo(now)
	s.limiter.setDeclared(l.Slots)
	newIndexes := s.setClasses(l.Classes)
	for _, i := range s.slab.index {
		it := &s.slab.items[i]
		if it.class >= 0 {
			it.class = newIndexes[it.class]
		}
		if it.class >= 0 {
			it.req.Class = int(it.class)
			continue
		}
		if !it.running {
			s.queued--
			s.refuseItem(i, ReasonClassRemoved)
		}
	}
	slices.SortFunc(s.refused, func(a, b Refusal) int { return cmp.Compare(a.ID, b.ID) })
	s.dispatchQueued()
	return s.run, s.refused
}

// SetDraining stops or resumes admission. Queued and running requests are not affected.
func (s *Scheduler) SetDraining(draining bool) { s.draining = draining }

// TakeQueued removes and returns the queued requests in the order of urgency and arrival,
// so that they can be handed over to another owner. The requests have not run.
func (s *Scheduler) TakeQueued() []Request {
	var requests []Request
	for _, ci := range s.order {
		for s.classes[ci].queue.length > 0 {
			i := s.classes[ci].queue.head
			requests = append(requests, s.slab.items[i].req)
			s.dequeue(i)
			s.slab.remove(i)
		}
	}
	return requests
}

// Load returns the current load and the effective number of slots.
func (s *Scheduler) Load() Load {
	return Load{Running: s.running, Queued: s.queued, Slots: s.limiter.slots()}
}
