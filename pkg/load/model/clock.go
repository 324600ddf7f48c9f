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

// clock is a heap of events ordered by time. container/heap would box each event.
type clock struct {
	now   int64
	seq   uint32
	heap  []event
	start time.Time
}

func (c *clock) time() time.Time { return c.start.Add(time.Duration(c.now)) }

func (c *clock) after(d int64, k kind, a, b int) {
	c.seq++
	c.heap = append(c.heap, event{at: c.now + max(0, d), seq: c.seq, kind: k, a: int32(a), b: int32(b)})
	i := len(c.heap) - 1
	for i > 0 {
		parent := (i - 1) / 4
		if !c.heap[i].before(c.heap[parent]) {
			return
		}
		c.heap[i], c.heap[parent] = c.heap[parent], c.heap[i]
		i = parent
	}
}

func (c *clock) next() (event, bool) {
	if len(c.heap) == 0 {
		return event{}, false
	}
	first := c.heap[0]
	last := len(c.heap) - 1
	c.heap[0] = c.heap[last]
	c.heap = c.heap[:last]
	c.sift()
	c.now = first.at
	return first, true
}

func (c *clock) sift() {
	i := 0
	for {
		least := i
		for child := 4*i + 1; child <= 4*i+4 && child < len(c.heap); child++ {
			if c.heap[child].before(c.heap[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		c.heap[i], c.heap[least] = c.heap[least], c.heap[i]
		i = least
	}
}
