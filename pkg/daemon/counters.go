package daemon

import (
	"cmp"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/refusal"
	"rosemarygate/pkg/telemetry"
)

// counterNames maps the counters of the owner cores to their metric names.
var counterNames = map[owner.Counter]string{
	owner.FlowsOpened:     "flows_opened",
	owner.FlowsAdopted:    "flows_adopted",
	owner.FlowsConfirmed:  "flows_confirmed",
	owner.FlowsClosed:     "flows_closed",
	owner.FlowsExpired:    "flows_expired",
	owner.FlowsBroken:     "flows_broken",
	owner.OpensRefused:    "opens_refused",
	owner.RequestsStarted: "requests_started",
	owner.RequestsOK:      "requests_answered",
	owner.RequestsNotRun:  "requests_refused",
	owner.RequestsUnknown: "requests_unknown",
	owner.RequestsRetried: "requests_retried",
	owner.RetriesRefused:  "retries_refused",
	owner.FeedItems:       "feed_items",
	owner.FeedResends:     "feed_resends",

	owner.RequestsRepeated:       "requests_repeated",
	owner.FramesFromOtherAddress: "frames_other_address",
	owner.CallersMoved:           "callers_moved",
}

// counters holds the metrics of the owner cores' counters by service and reason.
type counters struct {
	metricSet  *telemetry.Set
	countDaily func(n owner.Count, service string) // nil without control replicas

	mu      sync.RWMutex
	index   *serviceIndex // for the names of the services
	byCount map[owner.Count]*metrics.Counter
}

func newCounters(set *telemetry.Set) *counters {
	return &counters{metricSet: set, index: new(serviceIndex), byCount: map[owner.Count]*metrics.Counter{}}
}

func (c *counters) setIndex(x *serviceIndex) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index = x
	if x.namesChanged {
		clear(c.byCount)
	}
}

func (c *counters) add(n owner.Count) {
	c.mu.RLock()
	counter := c.byCount[n]
	service := c.index.nameOf(n.Service)
	c.mu.RUnlock()
	if c.countDaily != nil {
		c.countDaily(n, service)
	}
	if counter == nil {
		counter = c.create(n)
	}
	counter.Inc()
}

func (c *counters) create(n owner.Count) *metrics.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	labels := []string{"service", c.index.nameOf(n.Service)}
	if n.Reason != 0 {
		labels = append(labels, "reason", refusal.Name(n.Reason))
	}
	counter := c.metricSet.Counter(counterNames[n.Counter], labels...)
	c.byCount[n] = counter
	return counter
}

// refusals returns the counters that have a reason, for the status.
func (c *counters) refusals() []RefusalStatus {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []RefusalStatus
	for n, counter := range c.byCount {
		if n.Reason == 0 {
			continue
		}
		out = append(out, RefusalStatus{
			Service: c.index.nameOf(n.Service), Counter: counterNames[n.Counter],
			Reason: refusal.Name(n.Reason), Count: counter.Get(),
		})
	}
	slices.SortFunc(out, func(a, b RefusalStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Counter, b.Counter), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}
