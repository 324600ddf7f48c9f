package dispatch

import "time"

const (
	// marginSpreads is the margin of deadline estimates in mean absolute deviations.
	marginSpreads = 2
	// maxWaitShare is the part of its slack that a request may be expected to wait. With
	// the whole slack a flood keeps the queue at the edge of the deadline, where long
	// service times end too late, and the queue outlasts the flood by seconds. A request
	// refused early can still be retried on another upstream.
	maxWaitShare = 0.25
	// floodWaitShare is that part while every request of the class is refused: a queue that
	// stands all the time raises no goodput. With maxWaitShare 1.5 s of long requests were
	// queued at the end of a flood, and at 80% load an upstream took 4 s to work them off.
	floodWaitShare = 0.125
	// refusalWeight is the weight of one request in the refused part of a class.
	refusalWeight = 1.0 / 32
)

// Submit admits, queues or refuses a request. It returns the requests to run now and the
// requests refused, which may include earlier queued ones.
func (s *Scheduler) Submit(now time.Time, r Request) (run []Request, refused []Refusal) {
	if s.surplus(now, r) {
		s.run, s.refused = s.run[:0], append(s.refused[:0], Refusal{ID: r.ID, Reason: ReasonQueueFull})
		return s.run, s.refused
	}
	s.begin(now)
	deadline := s.relative(r.Deadline)
	reason := s.admit(r, deadline)
	s.countAdmission(r.Class, reason)
	if reason != 0 {
		s.refuse(r.ID, reason)
		return s.run, s.refused
	}
	c := &s.classes[r.Class]
	i := s.slab.add(item{req: r, class: int32(r.Class), arrived: s.now, deadline: deadline})
	c.queue.push(&s.slab, i)
	c.minDeadline = min(c.minDeadline, deadline)
	s.queued++
	s.fill()
	return s.run, s.refused
}

// surplus reports whether a request finds its queue full and nothing to gain from time.
// It is the path of a flood and leaves the accounts alone: they are linear in time, so the
// next event brings them up to date.
func (s *Scheduler) surplus(now time.Time, r Request) bool {
	if s.draining || r.Class < 0 || r.Class >= len(s.classes) || s.running < s.limit.slots() {
		return false
	}
	c := &s.classes[r.Class]
	if c.queue.n == 0 || c.queue.n < c.QueueLimit {
		return false
	}
	if _, ok := s.slab.index[r.ID]; ok {
		return false
	}
	t := int64(now.Sub(s.base))
	if c.minDeadline <= t {
		return false
	}
	c.arrivedAt = max(c.arrivedAt, t)
	c.refused += refusalWeight * (1 - c.refused)
	return true
}

func (s *Scheduler) relative(deadline time.Time) int64 {
	if deadline.IsZero() {
		return noDeadline
	}
	return int64(deadline.Sub(s.base))
}

// admit returns the reason to refuse a new request, or 0.
func (s *Scheduler) admit(r Request, deadline int64) Reason {
	if s.draining {
		return ReasonDraining
	}
	if r.Class < 0 || r.Class >= len(s.classes) {
		return ReasonUnknownClass
	}
	if _, ok := s.slab.index[r.ID]; ok {
		return ReasonDuplicate
	}
	c := &s.classes[r.Class]
	wasActive := c.active(s.now)
	c.arrived, c.arrivedAt = true, s.now
	if !wasActive {
		s.classify()
	}
	if c.queue.n >= c.QueueLimit && !s.canStart(c) {
		s.expire(r.Class)
		if c.queue.n >= c.QueueLimit {
			return ReasonQueueFull
		}
	}
	if deadline <= s.now {
		return ReasonDeadline
	}
	wait := s.waitOf(r.Class)
	if wait > c.waitShare()*(float64(deadline-s.now)-c.service) && deadline != noDeadline && wait > 0 {
		return ReasonDeadline
	}
	if wait == 0 && s.misses(c, s.now, deadline) && !c.stale(s.now) {
		return ReasonDeadline
	}
	return 0
}

// canStart reports whether a request of the class would run at once.
func (s *Scheduler) canStart(c *class) bool {
	return c.queue.n == 0 && s.running < s.limit.slots() && s.mayRun(c, c.overdue(float64(s.limit.slots()), s.longest) >= 0)
}

// misses reports whether a request that starts now would probably end after its deadline.
// A request that uses up its slack by waiting has to leave a margin for a long service
// time, since under overload another one would make better use of the slot.
func (s *Scheduler) misses(c *class, arrived, deadline int64) bool {
	if deadline == noDeadline {
		return false
	}
	slack := float64(deadline-arrived) - c.service
	margin := min(marginSpreads*c.spread, slack/2)
	return float64(s.now)+c.service+max(0, margin) > float64(deadline)
}

// waitOf estimates how long (nanoseconds) a new request of a class waits: the queued
// work that goes first, over the slots that its guarantee or its priority give it.
func (s *Scheduler) waitOf(ci int) float64 {
	c := &s.classes[ci]
	if s.canStart(c) {
		return 0
	}
	own := float64(c.queue.n) * c.service
	slots := float64(s.limit.slots())
	byGuarantee := own / max(c.Share*slots, 1e-9)
	ahead, spare := 0.0, slots
	for _, di := range s.order {
		d := &s.classes[di]
		if d.Priority >= c.Priority {
			break
		}
		ahead += float64(d.queue.n) * d.service
		spare -= min(d.use, spare)
	}
	if c.tier > 0 {
		spare = min(spare, float64(s.caps[c.tier]), s.allowance)
	}
	byPriority := (own + ahead) / max(spare, 1e-9)
	return min(byGuarantee, byPriority)
}

func (s *Scheduler) refuse(id uint64, reason Reason) {
	s.refused = append(s.refused, Refusal{ID: id, Reason: reason})
}

// countAdmission keeps the part of the latest requests of a class that were refused for
// lack of capacity.
func (s *Scheduler) countAdmission(ci int, reason Reason) {
	if ci < 0 || ci >= len(s.classes) {
		return
	}
	refused := 0.0
	if reason == ReasonDeadline || reason == ReasonQueueFull {
		refused = 1
	}
	c := &s.classes[ci]
	c.refused += refusalWeight * (refused - c.refused)
}

// waitShare returns the part of its slack that a request of the class may wait: less, the
// more of them are refused anyway.
func (c *class) waitShare() float64 {
	return maxWaitShare - (maxWaitShare-floodWaitShare)*c.refused
}
