package dispatch

import "time"

const (
	// deadlineMarginDeviations is the margin of deadline estimates, in mean absolute deviations of the
	// service time.
	deadlineMarginDeviations = 2
	// maxWaitShare is the share of its slack that the estimated wait of a request may take. If
	// it were 1, a flood would keep the queue so long that requests with long service times
	// miss their deadlines, and the queue would outlast the flood by seconds. A request that
	// is refused early can still be retried on another upstream.
	maxWaitShare = 0.25
	// floodWaitShare replaces maxWaitShare while every request of the class is refused: a
	// standing queue does not raise goodput. With maxWaitShare, 1.5 s of long requests were
	// queued at the end of a flood, and an upstream at 80% load took 4 s to drain them.
	floodWaitShare = 0.125
	// refusedShareWeight is the weight of one request in the refused share of a class.
	refusedShareWeight = 1.0 / 32
)

// Submit admits, queues or refuses a request. It returns the requests to run now and the
// requests refused, which may include earlier queued ones.
func (s *Scheduler) Submit(now time.Time, r Request) (run []Request, refused []Refusal) {
	if s.refuseOnFullQueue(now, r) {
		s.run, s.refused = s.run[:0], append(s.refused[:0], Refusal{ID: r.ID, Reason: ReasonQueueFull})
		return s.run, s.refused
	}
	s.advanceTo(now)
	deadline := s.schedulerTime(r.Deadline)
	reason := s.admit(r, deadline)
	s.countAdmission(r.Class, reason)
	if reason != 0 {
		s.refuseRequest(r.ID, reason)
		return s.run, s.refused
	}
	c := &s.classes[r.Class]
	i := s.slab.add(item{req: r, class: int32(r.Class), arrived: s.now, deadline: deadline})
	c.queue.push(&s.slab, i)
	c.minDeadline = min(c.minDeadline, deadline)
	s.queued++
	s.dispatchQueued()
	return s.run, s.refused
}

// refuseOnFullQueue reports whether a request is refused because its queue is full and no queued
// request can start or expire at this time. It is the fast path of a flood and does not update
// the credits: they are linear in time, so the next event brings them up to date.
func (s *Scheduler) refuseOnFullQueue(now time.Time, r Request) bool {
	if s.draining || r.Class < 0 || r.Class >= len(s.classes) || s.running < s.limiter.slots() {
		return false
	}
	c := &s.classes[r.Class]
	if c.queue.length == 0 || c.queue.length < c.QueueLimit {
		return false
	}
	if _, ok := s.slab.index[r.ID]; ok {
		return false
	}
	schedulerNow := int64(now.Sub(s.base))
	if c.minDeadline <= schedulerNow {
		return false
	}
	c.arrivedAt = max(c.arrivedAt, schedulerNow)
	c.refusedShare += refusedShareWeight * (1 - c.refusedShare)
	return true
}

func (s *Scheduler) schedulerTime(deadline time.Time) int64 {
	if deadline.IsZero() {
		return noDeadline
	}
	return int64(deadline.Sub(s.base))
}

// admit returns the reason to refuse a new request, or 0 if it is admitted.
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
	wasActive := c.isActive(s.now)
	c.arrived, c.arrivedAt = true, s.now
	if !wasActive {
		s.classify()
	}
	if c.queue.length >= c.QueueLimit && !s.canStart(c) {
		s.expireQueued(r.Class)
		if c.queue.length >= c.QueueLimit {
			return ReasonQueueFull
		}
	}
	if deadline <= s.now {
		return ReasonDeadline
	}
	wait := s.estimateWait(r.Class)
	if wait > c.waitShare()*(float64(deadline-s.now)-c.meanService) && deadline != noDeadline && wait > 0 {
		return ReasonDeadline
	}
	if wait == 0 && s.missesDeadline(c, s.now, deadline) && !c.isEstimateStale(s.now) {
		return ReasonDeadline
	}
	return 0
}

// canStart reports whether a request of the class would run at once.
func (s *Scheduler) canStart(c *class) bool {
	return c.queue.length == 0 && s.running < s.limiter.slots() && s.mayRun(c, c.guaranteeLag(float64(s.limiter.slots()), s.longestService) >= 0)
}

// missesDeadline reports whether a request that starts now would probably end after its deadline.
// A request that has used up its slack by waiting needs a margin for a long service time:
// under overload another request would make better use of the slot.
func (s *Scheduler) missesDeadline(c *class, arrived, deadline int64) bool {
	if deadline == noDeadline {
		return false
	}
	slack := float64(deadline-arrived) - c.meanService
	margin := min(deadlineMarginDeviations*c.serviceDeviation, slack/2)
	return float64(s.now)+c.meanService+max(0, margin) > float64(deadline)
}

// estimateWait estimates the wait of a new request of a class in nanoseconds: the queued work
// that is served first, divided by the slots available to it by guarantee or by priority.
func (s *Scheduler) estimateWait(ci int) float64 {
	c := &s.classes[ci]
	if s.canStart(c) {
		return 0
	}
	ownWork := float64(c.queue.length) * c.meanService
	slots := float64(s.limiter.slots())
	waitByGuarantee := ownWork / max(c.Share*slots, 1e-9)
	workAhead, spareSlots := 0.0, slots
	for _, di := range s.order {
		d := &s.classes[di]
		if d.Priority >= c.Priority {
			break
		}
		workAhead += float64(d.queue.length) * d.meanService
		spareSlots -= min(d.slotUse, spareSlots)
	}
	if c.tier > 0 {
		spareSlots = min(spareSlots, float64(s.tierLimits[c.tier]), s.longAllowance)
	}
	waitByPriority := (ownWork + workAhead) / max(spareSlots, 1e-9)
	return min(waitByGuarantee, waitByPriority)
}

func (s *Scheduler) refuseRequest(id uint64, reason Reason) {
	s.refused = append(s.refused, Refusal{ID: id, Reason: reason})
}

// countAdmission updates the share of the latest requests of a class that were refused for
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
	c.refusedShare += refusedShareWeight * (refused - c.refusedShare)
}

// waitShare returns the share of its slack that a request of the class may wait. It decreases
// as more requests of the class are refused.
func (c *class) waitShare() float64 {
	return maxWaitShare - (maxWaitShare-floodWaitShare)*c.refusedShare
}
