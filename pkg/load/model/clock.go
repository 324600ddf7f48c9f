package model

import "time"

// kind is the kind of an event.
type kind uint8

const (
	arrival  kind = iota // a request of class a arrives
	openFlow             // a caller of data centre a opens a flow
	endFlow              // flow a, generation b, closes
	finish               // the next running request of upstream a ends; b is a version
	attempt              // request a is sent again
	deliver              // a load report reaches a daemon
	tick                 // all schedulers get a tick
	mark                 // phase a begins
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

// clock delivers events in order of time. The ends of flows have a heap of their own:
// tens of thousands of them are pending for a minute, while all other events are few and
// close, and a common heap would make each of those events pay for its depth.
type clock struct {
	now   int64
	seq   uint32
	soon  eventHeap
	ends  eventHeap
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

func (c *clock) next() (event, bool) {
	h := &c.soon
	if len(c.ends) > 0 && (len(c.soon) == 0 || c.ends[0].before(c.soon[0])) {
		h = &c.ends
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
