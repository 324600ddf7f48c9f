package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Scheduler admits and dispatches the requests of one upstream. The slices that its
// methods return are valid until the next call. It is not safe for concurrent use.
type Scheduler struct {
	classes      []class
	order        []int // class indexes, most urgent first
	slab         slab
	limit        limiter
	caps         []int // by tier
	tiers        []tierUse
	maxTier      int
	running      int
	queued       int
	draining     bool
	base         time.Time
	now          int64   // nanoseconds since base; never decreases
	longest      float64 // largest mean service time of a class
	classifiedAt int64
	usual        float64 // usual slot use of long requests
	allowance    float64 // slots that long requests may occupy on average
	longCredit   float64 // slot-nanoseconds left of the allowance
	throttled    bool    // the allowance held a long request back since the last classify
	run          []Request
	refused      []Refusal
}

// NewScheduler returns an idle scheduler for one upstream.
func NewScheduler(l Limits) *Scheduler {
	s := &Scheduler{slab: newSlab(), limit: newLimiter(l.Slots)}
	s.usual = firstUsual * float64(s.limit.slots())
	s.setClasses(l.Classes)
	return s
}

// setClasses replaces the classes and keeps the state of those with the same name. It
// returns the new index of each old class, or -1.
func (s *Scheduler) setClasses(declared []Class) []int32 {
	old := s.classes
	moved := make([]int32, len(old))
	for i := range moved {
		moved[i] = -1
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
		at := slices.IndexFunc(old, func(o class) bool { return o.Name == c.Name })
		if at < 0 || moved[at] >= 0 {
			continue
		}
		s.classes[i] = old[at]
		s.classes[i].Class = c
		moved[at] = int32(i)
	}
	slices.SortStableFunc(s.order, func(a, b int) int { return s.classes[a].Priority - s.classes[b].Priority })
	s.classify()
	return moved
}

// begin advances the clock and the guarantees, and clears the result buffers.
func (s *Scheduler) begin(now time.Time) {
	s.run = s.run[:0]
	s.refused = s.refused[:0]
	if s.base.IsZero() {
		s.base = now
	}
	t := int64(now.Sub(s.base))
	if t <= s.now {
		return
	}
	dt := float64(t - s.now)
	s.now = t
	s.limit.spend(s.running, dt)
	slots := float64(s.limit.slots())
	for i := range s.classes {
		if c := &s.classes[i]; !c.idle() {
			c.accrue(dt, slots, s.longest)
		}
	}
	s.accrueAllowance(dt)
	if t-s.classifiedAt >= int64(classifyEvery) {
		s.classify()
	}
}

// fill dispatches queued requests while a slot is free.
func (s *Scheduler) fill() {
	for s.queued > 0 && s.running < s.limit.slots() {
		ci := s.next()
		if ci < 0 {
			return
		}
		c := &s.classes[ci]
		i := c.queue.head
		s.unqueue(i)
		it := &s.slab.items[i]
		if it.deadline <= s.now {
			s.drop(i, ReasonExpired)
			continue
		}
		if s.misses(c, it.arrived, it.deadline) {
			if !c.stale(s.now) {
				s.drop(i, ReasonDeadline)
				continue
			}
			c.observedAt = s.now
		}
		s.start(i)
	}
}

// next returns the class whose first queued request gets a free slot, or -1.
func (s *Scheduler) next() int {
	slots := float64(s.limit.slots())
	owed, longest := -1, 0.0
	urgent := -1
	for _, ci := range s.order {
		c := &s.classes[ci]
		if c.queue.n == 0 {
			continue
		}
		late := c.overdue(slots, s.longest)
		if late >= longest && s.mayRun(c, true) && (owed < 0 || late > longest) {
			owed, longest = ci, late
		}
		if urgent < 0 && s.mayRun(c, false) {
			urgent = ci
		}
	}
	if owed >= 0 {
		return owed
	}
	return urgent
}

func (s *Scheduler) unqueue(i int32) {
	c := &s.classes[s.slab.items[i].class]
	c.queue.unlink(&s.slab, i)
	if c.queue.n == 0 {
		c.minDeadline = noDeadline
	}
	s.queued--
}

// drop refuses an item that has left its queue.
func (s *Scheduler) drop(i int32, reason Reason) {
	s.refuse(s.slab.items[i].req.ID, reason)
	s.slab.remove(i)
}

func (s *Scheduler) start(i int32) {
	it := &s.slab.items[i]
	c := &s.classes[it.class]
	it.running = true
	it.started = s.now
	it.charged = c.service
	c.credit -= c.service
	if it.long = c.tier > 0; it.long {
		s.longCredit -= c.service
	}
	s.count(c, 1)
	s.run = append(s.run, it.req)
}

// Done reports the end of a dispatched request and returns what to run in its place. An
// identifier that is not running changes nothing.
func (s *Scheduler) Done(now time.Time, id uint64, o Outcome) (run []Request, refused []Refusal) {
	s.begin(now)
	i, ok := s.slab.index[id]
	if !ok || !s.slab.items[i].running {
		return s.run, s.refused
	}
	s.finish(i, o)
	s.fill()
	return s.run, s.refused
}

func (s *Scheduler) finish(i int32, o Outcome) {
	it := &s.slab.items[i]
	atOnce := s.running
	took := float64(s.now - it.started)
	if it.class >= 0 {
		c := &s.classes[it.class]
		s.count(c, -1)
		c.credit -= took - it.charged
		if it.long {
			s.longCredit -= took - it.charged
		}
		if o == Answered && !it.cancelled {
			s.learn(c, atOnce, took)
		}
	} else {
		s.running--
	}
	switch o {
	case Shed:
		s.limit.shed(atOnce)
	case Answered:
		s.limit.success(atOnce)
	}
	s.slab.remove(i)
}

func (s *Scheduler) learn(c *class, atOnce int, took float64) {
	c.observe(s.now, took)
	s.limit.completed(atOnce, c.weight)
}

// Cancel removes a queued request, which then has certainly not run and is not reported
// again (queued is true). A running request keeps its slot until Done reports it, because
// the upstream may still work on it; its service time is not learned.
func (s *Scheduler) Cancel(now time.Time, id uint64) (queued bool, run []Request, refused []Refusal) {
	s.begin(now)
	i, ok := s.slab.index[id]
	if !ok {
		return false, s.run, s.refused
	}
	if s.slab.items[i].running {
		s.slab.items[i].cancelled = true
		return false, s.run, s.refused
	}
	s.unqueue(i)
	s.slab.remove(i)
	return true, s.run, s.refused
}

// Tick refuses queued requests whose deadline has passed and dispatches what time alone
// has made eligible. Call it every 10 ms to 100 ms while requests are queued.
func (s *Scheduler) Tick(now time.Time) (run []Request, refused []Refusal) {
	s.begin(now)
	for i := range s.classes {
		s.expire(i)
	}
	s.fill()
	return s.run, s.refused
}

// expire refuses the queued requests of a class whose deadline has passed.
func (s *Scheduler) expire(ci int) {
	c := &s.classes[ci]
	if c.minDeadline > s.now {
		return
	}
	c.minDeadline = noDeadline
	for i := c.queue.head; i != none; {
		it := &s.slab.items[i]
		next := it.next
		if it.deadline <= s.now {
			s.unqueue(i)
			s.drop(i, ReasonExpired)
		} else {
			c.minDeadline = min(c.minDeadline, it.deadline)
		}
		i = next
	}
}

// SetLimits changes the slots and classes. Running requests stay; queued requests of a
// removed class are refused.
func (s *Scheduler) SetLimits(now time.Time, l Limits) (run []Request, refused []Refusal) {
	s.begin(now)
	s.limit.declare(l.Slots)
	moved := s.setClasses(l.Classes)
	for _, i := range s.slab.index {
		it := &s.slab.items[i]
		if it.class >= 0 {
			it.class = moved[it.class]
		}
		if it.class >= 0 {
			it.req.Class = int(it.class)
			continue
		}
		if !it.running {
			s.queued--
			s.drop(i, ReasonClassRemoved)
		}
	}
	slices.SortFunc(s.refused, func(a, b Refusal) int { return cmp.Compare(a.ID, b.ID) })
	s.fill()
	return s.run, s.refused
}

// SetDraining stops or resumes admission. Queued and running requests are not affected.
func (s *Scheduler) SetDraining(draining bool) { s.draining = draining }

// TakeQueued removes and returns the queued requests in the order of urgency and arrival,
// for handing them over to another owner. The requests have not run.
func (s *Scheduler) TakeQueued() []Request {
	var out []Request
	for _, ci := range s.order {
		for s.classes[ci].queue.n > 0 {
			i := s.classes[ci].queue.head
			out = append(out, s.slab.items[i].req)
			s.unqueue(i)
			s.slab.remove(i)
		}
	}
	return out
}

// Load returns the current load and the effective number of slots.
func (s *Scheduler) Load() Load {
	return Load{Running: s.running, Queued: s.queued, Slots: s.limit.slots()}
}
