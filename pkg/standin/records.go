package standin

import (
	"maps"
	"sync"
	"time"

	upstreampb "rosemarygate/api/upstream/v1"
)

// RequestKey identifies a request by its flow and request id.
type RequestKey struct{ Flow, Request uint64 }

// Records is what the stand-ins of one experiment recorded. Checks for requests that ran twice, or
// ran although they were refused, use it as the reference, because it does not depend on the counters
// of daemons.
type Records struct {
	mu                 sync.Mutex
	runsByRequest      map[RequestKey]int
	runsByPayload      map[string]int // of non-idempotent requests; each has a unique payload
	doubledRequests    int            // repeated runs of non-idempotent requests
	wrongServiceCalls  int            // calls for another service than the stand-in's
	runsByUpstream     map[string]int
	drainedAt          map[string]time.Time
	lateRuns           map[string]int    // runs that began after a drain's grace period
	feedUpstreams      map[uint64]string // stand-in of a flow's latest subscription
	flowUpstreams      map[uint64]string // stand-in of a flow's latest request or subscription
	lateFeeds          int               // feeds that began after a drain's grace period
	slotTimeByRequest  map[RequestKey]time.Duration
	slotTimeByUpstream map[string]time.Duration // of ended runs
}

// DrainGrace is how long after the start of a drain new requests and feeds may still arrive.
const DrainGrace = 2 * time.Second

// NewRecords returns empty records.
func NewRecords() *Records {
	return &Records{
		runsByRequest: map[RequestKey]int{}, runsByPayload: map[string]int{}, runsByUpstream: map[string]int{},
		drainedAt: map[string]time.Time{}, lateRuns: map[string]int{},
		feedUpstreams: map[uint64]string{}, flowUpstreams: map[uint64]string{}, slotTimeByRequest: map[RequestKey]time.Duration{}, slotTimeByUpstream: map[string]time.Duration{},
	}
}

func (r *Records) recordRun(request *upstreampb.ExecuteRequest, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runsByRequest[RequestKey{request.FlowId, request.RequestId}]++
	r.runsByUpstream[name]++
	r.flowUpstreams[request.FlowId] = name
	if !request.Idempotent {
		r.runsByPayload[string(request.Payload)]++
		if r.runsByPayload[string(request.Payload)] > 1 {
			r.doubledRequests++
		}
	}
	if at, ok := r.drainedAt[name]; ok && time.Since(at) > DrainGrace {
		r.lateRuns[name]++
	}
}

// recordSlotTime records how long a run used its slot.
func (r *Records) recordSlotTime(request *upstreampb.ExecuteRequest, name string, slotTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slotTimeByRequest[RequestKey{request.FlowId, request.RequestId}] += slotTime
	r.slotTimeByUpstream[name] += slotTime
}

// SlotTime returns how long the ended runs of a request used a slot.
func (r *Records) SlotTime(key RequestKey) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slotTimeByRequest[key]
}

// SlotTimeByUpstream returns the total time for which the ended runs of each stand-in used a slot.
func (r *Records) SlotTimeByUpstream() map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.slotTimeByUpstream)
}

// recordSubscription records a subscription. An owner subscribes again when it resumes a feed; this
// does not count as a new feed.
func (r *Records) recordSubscription(flow uint64, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.drainedAt[name]; ok && r.feedUpstreams[flow] != name && time.Since(at) > DrainGrace {
		r.lateFeeds++
	}
	r.feedUpstreams[flow], r.flowUpstreams[flow] = name, name
}

// FlowUpstream returns the name of the stand-in at which a flow last ran a request or subscribed, or an
// empty name when it did neither.
func (r *Records) FlowUpstream(flow uint64) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flowUpstreams[flow]
}

// FeedUpstream returns the name of the stand-in at which a flow last subscribed.
func (r *Records) FeedUpstream(flow uint64) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.feedUpstreams[flow]
}

// LateFeeds returns how many feeds began at draining stand-ins after DrainGrace.
func (r *Records) LateFeeds() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lateFeeds
}

func (r *Records) recordWrongService() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrongServiceCalls++
}

func (r *Records) recordDrain(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.drainedAt[name]; !ok {
		r.drainedAt[name] = time.Now()
	}
}

// Runs returns how many times a request ran.
func (r *Records) Runs(key RequestKey) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runsByRequest[key]
}

// DoubledRequests returns how many times a non-idempotent request ran again.
func (r *Records) DoubledRequests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.doubledRequests
}

// WrongServiceCalls returns how many calls were for another service than the stand-in's.
func (r *Records) WrongServiceCalls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wrongServiceCalls
}

// LateRuns returns how many requests began at draining stand-ins after DrainGrace.
func (r *Records) LateRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, n := range r.lateRuns {
		total += n
	}
	return total
}

// RunsByUpstream returns the number of runs of each stand-in.
func (r *Records) RunsByUpstream() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(r.runsByUpstream))
	for k, v := range r.runsByUpstream {
		out[k] = v
	}
	return out
}
