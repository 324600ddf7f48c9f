package standin

import (
	"maps"
	"sync"
	"time"

	upstreampb "rosemarygate/api/upstream/v1"
)

// RunKey identifies a request by its flow and request id.
type RunKey struct{ Flow, Request uint64 }

// Records is what the stand-ins of one experiment saw. It is the reference for doubled
// and falsely refused requests: it does not depend on any daemon's counters.
type Records struct {
	mu      sync.Mutex
	runs    map[RunKey]int
	work    map[string]int // non-idempotent requests by payload; callers make them unique
	doubled int            // non-idempotent payloads that ran more than once
	wrong   int            // calls that named another service
	byName  map[string]int
	drains  map[string]time.Time
	late    map[string]int    // runs that began after a drain's grace period
	feeds   map[uint64]string // stand-in of each flow that subscribed
	flows   map[uint64]string // stand-in at which a flow did anything last
	lateFed int               // feeds that began after a drain's grace period
	took    map[RunKey]time.Duration
	busy    map[string]time.Duration // by stand-in
}

// DrainGrace is how long after a drain new work may still arrive.
const DrainGrace = 2 * time.Second

// NewRecords returns empty records.
func NewRecords() *Records {
	return &Records{
		runs: map[RunKey]int{}, work: map[string]int{}, byName: map[string]int{},
		drains: map[string]time.Time{}, late: map[string]int{},
		feeds: map[uint64]string{}, flows: map[uint64]string{}, took: map[RunKey]time.Duration{}, busy: map[string]time.Duration{},
	}
}

func (r *Records) ran(q *upstreampb.ExecuteRequest, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[RunKey{q.FlowId, q.RequestId}]++
	r.byName[name]++
	r.flows[q.FlowId] = name
	if !q.Idempotent {
		r.work[string(q.Payload)]++
		if r.work[string(q.Payload)] > 1 {
			r.doubled++
		}
	}
	if at, ok := r.drains[name]; ok && time.Since(at) > DrainGrace {
		r.late[name]++
	}
}

// worked notes how long a run held its slot.
func (r *Records) worked(q *upstreampb.ExecuteRequest, name string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.took[RunKey{q.FlowId, q.RequestId}] += took
	r.busy[name] += took
}

// Took returns how long the ended runs of a request held a slot.
func (r *Records) Took(k RunKey) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.took[k]
}

// Busy returns how long the ended runs of each stand-in held a slot in all.
func (r *Records) Busy() map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.busy)
}

// subscribed notes a subscription; an owner repeats it when it resumes a feed.
func (r *Records) subscribed(flow uint64, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.drains[name]; ok && r.feeds[flow] != name && time.Since(at) > DrainGrace {
		r.lateFed++
	}
	r.feeds[flow], r.flows[flow] = name, name
}

// FlowAt returns the name of the stand-in at which a flow ran a request or subscribed last,
// empty when it did neither.
func (r *Records) FlowAt(flow uint64) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flows[flow]
}

// FeedAt returns the name of the stand-in that a flow subscribed to last.
func (r *Records) FeedAt(flow uint64) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.feeds[flow]
}

// LateFeeds returns how many feeds began at drained stand-ins after DrainGrace.
func (r *Records) LateFeeds() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lateFed
}

func (r *Records) wrongService() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrong++
}

func (r *Records) drained(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.drains[name]; !ok {
		r.drains[name] = time.Now()
	}
}

// Ran returns how often a request ran.
func (r *Records) Ran(k RunKey) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[k]
}

// Doubled returns how many non-idempotent requests ran again.
func (r *Records) Doubled() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.doubled
}

// WrongService returns how many calls named another service than the stand-in's.
func (r *Records) WrongService() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wrong
}

// LateRuns returns how many requests began at drained stand-ins after DrainGrace.
func (r *Records) LateRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, n := range r.late {
		total += n
	}
	return total
}

// ByUpstream returns the number of runs of each stand-in.
func (r *Records) ByUpstream() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(r.byName))
	for k, v := range r.byName {
		out[k] = v
	}
	return out
}
