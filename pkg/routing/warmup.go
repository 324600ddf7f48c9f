package routing

import (
	"maps"
	"slices"
	"time"

	entrypb "rosemarygate/api/entry/v1"
)

// Warmup says what an upstream of a service bears after its start.
type Warmup struct {
	Duration       time.Duration
	FlowsPerSecond float64
}

// WarmupTolerance is by how much the new flows of an upstream in one second may exceed those that it bears
// during its warm-up.
type WarmupTolerance struct {
	// Bounded says that a bound holds at all. Without one, upstreams in their warm-up only get fewer flows.
	Bounded       bool
	Factor, Slack float64
}

// Limit returns the largest number of new flows in one second, of all entry daemons together.
func (t WarmupTolerance) Limit(w Warmup) float64 { return w.FlowsPerSecond*t.Factor + t.Slack }

// warmupsProto returns the protobuf form of the warm-ups, sorted by service.
func (t *Table) warmupsProto() []*entrypb.ServiceWarmup {
	var out []*entrypb.ServiceWarmup
	for _, service := range slices.Sorted(maps.Keys(t.Warmups)) {
		w := t.Warmups[service]
		out = append(out, &entrypb.ServiceWarmup{Service: service, DurationMs: MillisecondsCeil(w.Duration), FlowsPerSecond: w.FlowsPerSecond})
	}
	return out
}

func warmupsFromProto(messages []*entrypb.ServiceWarmup) map[string]Warmup {
	if len(messages) == 0 {
		return nil
	}
	out := make(map[string]Warmup, len(messages))
	for _, p := range messages {
		out[p.GetService()] = Warmup{Duration: time.Duration(p.GetDurationMs()) * time.Millisecond, FlowsPerSecond: p.GetFlowsPerSecond()}
	}
	return out
}

// MillisecondsCeil returns a duration in milliseconds, rounded up: a warm-up must not end early.
func MillisecondsCeil(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
