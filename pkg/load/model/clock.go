package model

import (
	"math"
	"time"
)

// kind is the kind of an event.
type kind uint8

const (
	openFlow   kind = iota // a caller of data centre a opens a flow
	endFlow                // flow a, generation b, closes
	attempt                // request a is sent again
	deliver                // a load report reaches a daemon
	tick                   // all schedulers get a tick
	phaseStart             // phase a begins
	alarm                  // timer a expires
)

// event happens at a virtual time, in nanoseconds since the start.
type event struct {
	at   int64
	seq  uint32 // order of events at the same time
	a, b int32
	kind kind
}

func (e event) before(o event) bool {
	return e.at < o.at || (e.at == o.at && e.seq < o.seq)
}

// never is the time of a timer that is not set.
const never = math.MaxInt64

// clock delivers events in order of time. What happens most often, the next arrival of
// each class and the next end of a request at each upstream, has a timer: the timers are
// few, and looking at all of them costs less than a heap. The ends of flows have a heap of their own:
// tens of thousands of them are pending for a minute, while all other events are few and
// close, and a common heap would make each of those events pay for its depth.
type clock struct {
	now   int64
	seq   uint32
	soon  eventHeap
	ends  eventHeap
	timer []int64
	start time.Time
}

func (c *clock) time() time.Time { return c.start.Add(time.Duration(c.now)) }

func (c *clock) after(d int64, k kind, a, b int) {
	c.seq++
	e := event{at: c.now + max(0, d), seq: c.seq, kind: k, a: int32(a), b: int32(b)}
	if k == endFlow {
		c.ends.push(e)
		return
	}
	c.soon.push(e)
}

// set makes a timer expire after d, instead of when it was to expire.
func (c *clock) set(timer int, d int64) { c.timer[timer] = c.now + max(0, d) }

func (c *clock) stop(timer int) { c.timer[timer] = never }

// firstTimer returns the timer that expires first.
func (c *clock) firstTimer() (timer int, at int64) {
	at = never
	for i, t := range c.timer {
		if t < at {
			timer, at = i, t
		}
	}
	return timer, at
}

func (c *clock) next() (event, bool) {
	h := &c.soon
	if len(c.ends) > 0 && (len(c.soon) == 0 || c.ends[0].before(c.soon[0])) {
		h = &c.ends
	}
	timer, at := c.firstTimer()
	if at < never && (len(*h) == 0 || at < (*h)[0].at) {
		c.now = at
		c.stop(timer)
		return event{at: at, kind: alarm, a: int32(timer)}, true
	}
	if len(*h) == 0 {
		return event{}, false
	}
	first := h.pop()
	c.now = first.at
	return first, true
}

// eventHeap is a heap with four children for each node. container/heap would box each
// event.
type eventHeap []event

func (h *eventHeap) push(e event) {
	*h = append(*h, e)
	s := *h
	i := len(s) - 1
	for i > 0 {
		parent := (i - 1) / 4
		if !e.before(s[parent]) {
			break
		}
		s[i] = s[parent]
		i = parent
	}
	s[i] = e
}

// pop removes the first event; the heap must not be empty.
func (h *eventHeap) pop() event {
	s := *h
	first := s[0]
	last := len(s) - 1
	e := s[last]
	s = s[:last]
	*h = s
	i := 0
	for {
		child := 4*i + 1
		if child >= last {
			break
		}
		least := child
		for other := child + 1; other < min(child+4, last); other++ {
			if s[other].before(s[least]) {
				least = other
			}
		}
		if !s[least].before(e) {
			break
		}
		s[i] = s[least]
		i = least
	}
	if last > 0 {
		s[i] = e
	}
	return first
}
