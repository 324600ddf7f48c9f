package model

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Phase is a part of a run with its own offered load.
type Phase struct {
	Name   string
	Length time.Duration
	Loads  []float64 // offered part of all slots, for each class; nil keeps the deployment's
}

// ClassResult is what one class got in one phase. Requests count in the phase in which
// they arrived, served work in the phase in which it was completed.
type ClassResult struct {
	Class   string
	Offered int
	Good    int                     // answered within the deadline
	Late    int                     // answered after the deadline
	Lost    int                     // not answered
	Latency *hdrhistogram.Histogram // microseconds, answered requests
	Work    float64                 // slot-seconds of answers within the deadline
	Served  float64                 // Work, with what running requests had got at the end but not with what they had got at the start
	Refused map[string]int          // by reason, each attempt
}

// Goodput returns the part of the offered requests answered within the deadline.
func (c *ClassResult) Goodput() float64 {
	if c.Offered == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.Offered)
}

// Quantile returns a latency quantile (0 to 100).
func (c *ClassResult) Quantile(q float64) time.Duration {
	return time.Duration(c.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// PhaseResult is the measurement of one phase.
type PhaseResult struct {
	Phase         Phase
	Classes       []ClassResult
	Capacity      float64        // slot-seconds of the upstreams that serve
	FlowImbalance float64        // time average of the busiest over the mean number of open flows
	WorstFlows    float64        // highest of these ratios in the phase
	BusyImbalance float64        // busiest over mean, time average of busy slots per upstream
	Retries       map[string]int // decisions by reason
	SpillOver     float64        // part of the new flows placed in another data centre
	Opens         int            // flows that callers tried to open
	FailedOpens   int            // of these, found no upstream
	StalledOpens  int            // of these, placed on the stalled upstream
	opened        int
	remote        int
	imbalanceSum  float64
	samples       int
}

// Work returns the part of the capacity that went into answers within the deadline.
func (p *PhaseResult) Work() float64 {
	sum := 0.0
	for i := range p.Classes {
		sum += p.Classes[i].Work
	}
	return sum / p.Capacity
}

// Result is the measurement of one run.
type Result struct {
	Deployment  string
	Policy      Policy
	Seed        uint64
	Events      int
	Overruns    int     // samples at which an upstream ran more requests than it has slots
	LowestSlots int     // lowest effective slots of an upstream, sampled with the reports
	MeanSlots   float64 // effective slots of an upstream, mean over the upstreams at the end
	Phases      []*PhaseResult
	slots       int       // declared by each upstream
	shares      []float64 // guaranteed share by class
}

// Phase returns the measurement of a phase by name, nil when there is none.
func (r *Result) Phase(name string) *PhaseResult {
	for _, p := range r.Phases {
		if p.Phase.Name == name {
			return p
		}
	}
	return nil
}

const (
	minLatency    = 1                // microseconds
	maxLatency    = 60 * 1000 * 1000 // microseconds
	latencyDigits = 3
)

func newPhaseResult(d Deployment, p Phase) *PhaseResult {
	r := &PhaseResult{Phase: p, Retries: make(map[string]int)}
	for _, c := range d.Classes {
		r.Classes = append(r.Classes, ClassResult{
			Class:   c.Name,
			Latency: hdrhistogram.New(minLatency, maxLatency, latencyDigits),
			Refused: make(map[string]int),
		})
	}
	return r
}

func (c *ClassResult) answered(latency time.Duration, inTime bool) {
	v := min(max(latency.Microseconds(), minLatency), maxLatency)
	if err := c.Latency.RecordValue(v); err != nil {
		panic(err) // the value is clamped to the histogram's range
	}
	if inTime {
		c.Good++
	} else {
		c.Late++
	}
}

// sample takes the current imbalance of the open flows.
func (p *PhaseResult) sample(flows []float64) {
	x := busiestOverMean(flows)
	p.imbalanceSum += x
	p.samples++
	p.WorstFlows = math.Max(p.WorstFlows, x)
	p.FlowImbalance = p.imbalanceSum / float64(p.samples)
}

// part returns n of all as a ratio, 0 for nothing of nothing.
func part(n, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(n) / float64(all)
}

// busiestOverMean returns the imbalance of some loads; 1 is even.
func busiestOverMean(loads []float64) float64 {
	top, sum := 0.0, 0.0
	for _, x := range loads {
		top = math.Max(top, x)
		sum += x
	}
	if sum == 0 {
		return 1
	}
	return top / (sum / float64(len(loads)))
}
