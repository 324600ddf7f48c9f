package model

import (
	"math"
	"time"
)

// eventKind defines what an event does and what its two arguments mean.
type eventKind uint8

const (
	eventOpenFlow   eventKind = iota // a caller of data centre arg1 opens a flow; an extra flow when arg2 is 1
	eventCloseFlow                   // flow arg1 closes if its generation is arg2
	eventRetry                       // request arg1 is sent again
	eventLoadReport                  // report arg1 of upstream arg2 is delivered, or taken when arg1 is -1
	eventTick                        // periodic work of the simulation and of the policy
	eventPhaseStart                  // phase arg1 begins
	eventTimer                       // timer arg1 expires
)

// event is an entry of the event queue.
type event struct {
	at         int64
	sequence   uint32 // order of creation, decides between events at the same time
	arg1, arg2 int32
	kind       eventKind
}

func (e event) before(o event) bool {
	return e.at < o.at || (e.at == o.at && e.sequence < o.sequence)
}

// never is the time of a timer that is not set.
const never = math.MaxInt64

// clock is the virtual clock with its queue of events. The most frequent events, the next
// arrival of each class and the next completion at each upstream, are timers: they are few,
// and a linear search costs less than a heap. Closes of flows have a separate heap: tens of
// thousands of them are pending for a minute, while all other events are few and soon due,
// and a common heap would make each of these pay for its depth.
type clock struct {
	now         int64
	sequence    uint32
	otherEvents eventHeap
	flowCloses  eventHeap
	timers      []int64
	start       time.Time
}

func (c *clock) currentTime() time.Time { return c.start.Add(time.Duration(c.now)) }

func (c *clock) scheduleAfter(delay int64, k eventKind, arg1, arg2 int) {
	c.sequence++
	e := event{at: c.now + max(0, delay), sequence: c.sequence, kind: k, arg1: int32(arg1), arg2: int32(arg2)}
	if k == eventCloseFlow {
		c.flowCloses.push(e)
		return
	}
	c.otherEvents.push(e)
}

// setTimer makes a timer expire after delay and replaces its earlier time.
func (c *clock) setTimer(timer int, delay int64) { c.timers[timer] = c.now + max(0, delay) }

func (c *clock) stopTimer(timer int) { c.timers[timer] = never }

// firstTimer returns the timer that expires first; at is never when none is set.
func (c *clock) firstTimer() (timer int, at int64) {
	at = never
	for i, t := range c.timers {
		if t < at {
			timer, at = i, t
		}
	}
	return timer, at
}

// nextEvent removes the next event and advances the clock to it. It reports false when there
// is none.
func (c *clock) nextEvent() (event, bool) {
	h := &c.otherEvents
	if len(c.flowCloses) > 0 && (len(c.otherEvents) == 0 || c.flowCloses[0].before(c.otherEvents[0])) {
		h = &c.flowCloses
	}
	timer, at := c.firstTimer()
	if at < never && (len(*h) == 0 || at < (*h)[0].at) {
		c.now = at
		c.stopTimer(timer)
		return event{at: at, kind: eventTimer, arg1: int32(timer)}, true
	}
	if len(*h) == 0 {
		return event{}, false
	}
	first := h.pop()
	c.now = first.at
	return first, true
}

// eventHeap is a heap with four children for each node. container/heap would allocate an
// interface value for each event.
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
