package load

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemarygate/client"
	"rosemarygate/pkg/refusal"
	"rosemarygate/pkg/standin"
)

const (
	maxLatency    = 60 * 1000 * 1000 // microseconds
	latencyDigits = 3
)

// interval is a part of a run.
type interval struct{ from, until time.Time }

// unanswered is a request that ended as unknown or without an answer.
type unanswered struct {
	interval        // its lifetime
	flow     uint64 // of the last attempt
	first    uint64 // flow when the request was offered, 0 for none
	caller   int
	reason   string
}

func (i interval) contains(t time.Time) bool { return !t.Before(i.from) && t.Before(i.until) }

func (i interval) overlaps(o interval) bool { return i.from.Before(o.until) && o.from.Before(i.until) }

// collector counts what callers see.
type collector struct {
	mu      sync.Mutex
	classes []Class
	latency []*hdrhistogram.Histogram // microseconds, by class
	retries map[string]int
	notRun  []standin.RunKey // requests that were refused as not run
	unknown []unanswered
	reasons map[string]int // of unknown outcomes and missed deadlines
	wrong   int            // answers to another request
	noFlow  int            // requests without any attempt
}

func newCollector(classes []class) *collector {
	c := &collector{retries: map[string]int{}, reasons: map[string]int{}}
	for _, k := range classes {
		c.classes = append(c.classes, Class{Class: k.name, Reasons: map[string]int{}})
		c.latency = append(c.latency, hdrhistogram.New(1, maxLatency, latencyDigits))
	}
	return c
}

func (c *collector) offered(class int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.classes[class].Offered++
}

// ended takes the attempts of a request that was offered at the given time, when its caller had
// the flow first.
func (c *collector) ended(a arrival, offered time.Time, first uint64, attempts []client.Attempt) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	k := &c.classes[a.class]
	for i, t := range attempts {
		if t.Result.Outcome != client.NotRun {
			continue
		}
		c.notRun = append(c.notRun, standin.RunKey{Flow: t.Flow, Request: t.Result.ID})
		k.Reasons[refusal.Name(t.Result.Reason)]++
		if i < len(attempts)-1 {
			c.retries[refusal.Name(t.Result.Reason)]++
		}
	}
	if len(attempts) == 0 {
		c.noFlow++
		k.Refused++
		k.Reasons["no_flow"]++
		return
	}
	last := attempts[len(attempts)-1]
	switch last.Result.Outcome {
	case client.Answered:
		k.Answered++
		if !bytes.HasPrefix(last.Result.Answer, standin.AnswerHeader(last.Flow, last.Result.ID)) {
			c.wrong++
		}
		// The value is clamped to the histogram's range, so it is always recorded.
		_ = c.latency[a.class].RecordValue(min(max(now.Sub(offered).Microseconds(), 1), maxLatency))
	case client.NotRun:
		k.Refused++
	case client.Deadline:
		k.Deadline++
		c.unanswered("deadline ", a, unanswered{interval: interval{offered, now}, first: first}, last)
	default:
		k.Unknown++
		c.unanswered("unknown ", a, unanswered{interval: interval{offered, now}, first: first}, last)
	}
}

func (c *collector) unanswered(kind string, a arrival, u unanswered, last client.Attempt) {
	u.flow, u.caller, u.reason = last.Flow, a.caller, kind+refusal.Name(last.Result.Reason)
	c.unknown = append(c.unknown, u)
	c.reasons[u.reason]++
}

// unknownOutside counts unanswered requests whose lifetime overlaps none of the intervals.
func (c *collector) unknownOutside(expected []interval) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, u := range c.unknown {
		if !slices.ContainsFunc(expected, u.overlaps) {
			n++
		}
	}
	return n
}

// falseNotRun counts requests reported as not run that ran.
func (c *collector) falseNotRun(records *standin.Records) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, k := range c.notRun {
		if records.Ran(k) > 0 {
			n++
		}
	}
	return n
}

func (c *collector) sum(f func(*Class) int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for i := range c.classes {
		n += f(&c.classes[i])
	}
	return n
}

// result returns the classes with their latencies.
func (c *collector) result() []Class {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Class, len(c.classes))
	for i, k := range c.classes {
		h := c.latency[i]
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		k.P50, k.P99, k.P999, k.Max = at(50), at(99), at(99.9), float64(h.Max())/1000
		k.Goodput = 1
		if k.Offered > 0 {
			k.Goodput = float64(k.Answered) / float64(k.Offered)
		}
		out[i] = k
	}
	return out
}
