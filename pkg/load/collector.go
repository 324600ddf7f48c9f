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

// interval is a time interval of a run.
type interval struct{ from, until time.Time }

// unansweredRequest is a request that ended with an unknown outcome or a missed deadline.
type unansweredRequest struct {
	interval         // from the offer to the end of the request
	lastFlow  uint64 // flow of the last attempt
	firstFlow uint64 // the caller's flow when the request was offered; 0 for none
	caller    int
	reason    string
}

func (i interval) contains(t time.Time) bool { return !t.Before(i.from) && t.Before(i.until) }

func (i interval) overlaps(o interval) bool { return i.from.Before(o.until) && o.from.Before(i.until) }

// collector counts the outcomes that callers see.
type collector struct {
	mu                 sync.Mutex
	classes            []Class
	latencies          []*hdrhistogram.Histogram // microseconds, by class
	retries            map[string]int
	notRunRequests     []standin.RequestKey // attempts that were reported as not run
	unansweredRequests []unansweredRequest
	unansweredReasons  map[string]int // counts of unknown outcomes and missed deadlines
	wrongAnswers       int            // answers that belong to another request
	noFlowRequests     int            // requests without any attempt
}

func newCollector(classes []class) *collector {
	c := &collector{retries: map[string]int{}, unansweredReasons: map[string]int{}}
	for _, k := range classes {
		c.classes = append(c.classes, Class{Name: k.name, RefusedByReason: map[string]int{}})
		c.latencies = append(c.latencies, hdrhistogram.New(1, maxLatency, latencyDigits))
	}
	return c
}

func (c *collector) countOffered(class int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.classes[class].Offered++
}

// recordEnd records the attempts and the outcome of a request. offered is the time of the offer, and
// firstFlow the flow of its caller at that time.
func (c *collector) recordEnd(a arrival, offered time.Time, firstFlow uint64, attempts []client.Attempt) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := &c.classes[a.class]
	for i, attempt := range attempts {
		if attempt.Result.Outcome != client.NotRun {
			continue
		}
		c.notRunRequests = append(c.notRunRequests, standin.RequestKey{Flow: attempt.Flow, Request: attempt.Result.ID})
		counts.RefusedByReason[refusal.Name(attempt.Result.Reason)]++
		if i < len(attempts)-1 {
			c.retries[refusal.Name(attempt.Result.Reason)]++
		}
	}
	if len(attempts) == 0 {
		c.noFlowRequests++
		counts.Refused++
		counts.RefusedByReason["no_flow"]++
		return
	}
	last := attempts[len(attempts)-1]
	switch last.Result.Outcome {
	case client.Answered:
		counts.Answered++
		if !bytes.HasPrefix(last.Result.Answer, standin.AnswerHeader(last.Flow, last.Result.ID)) {
			c.wrongAnswers++
		}
		// The value is clamped to the histogram's range, so it is always recorded.
		_ = c.latencies[a.class].RecordValue(min(max(now.Sub(offered).Microseconds(), 1), maxLatency))
	case client.NotRun:
		counts.Refused++
	case client.Deadline:
		counts.MissedDeadline++
		c.recordUnanswered("deadline ", a, unansweredRequest{interval: interval{offered, now}, firstFlow: firstFlow}, last)
	default:
		counts.Unknown++
		c.recordUnanswered("unknown ", a, unansweredRequest{interval: interval{offered, now}, firstFlow: firstFlow}, last)
	}
}

func (c *collector) recordUnanswered(kind string, a arrival, u unansweredRequest, last client.Attempt) {
	u.lastFlow, u.caller, u.reason = last.Flow, a.caller, kind+refusal.Name(last.Result.Reason)
	c.unansweredRequests = append(c.unansweredRequests, u)
	c.unansweredReasons[u.reason]++
}

// unansweredOutside counts unanswered requests whose lifetime overlaps none of the intervals.
func (c *collector) unansweredOutside(expected []interval) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, u := range c.unansweredRequests {
		if !slices.ContainsFunc(expected, u.overlaps) {
			n++
		}
	}
	return n
}

// countFalseNotRun counts the attempts that were reported as not run although they ran.
func (c *collector) countFalseNotRun(records *standin.Records) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, k := range c.notRunRequests {
		if records.Runs(k) > 0 {
			n++
		}
	}
	return n
}

func (c *collector) sumClasses(f func(*Class) int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for i := range c.classes {
		n += f(&c.classes[i])
	}
	return n
}

// results returns the counts and latencies of each class.
func (c *collector) results() []Class {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Class, len(c.classes))
	for i, k := range c.classes {
		h := c.latencies[i]
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
