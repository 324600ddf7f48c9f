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
	Loads  []float64 // offered load of each class as a part of all slots; nil for the load of the deployment
}

// ClassResult is the result of one class in one phase. Requests count in the phase of their
// arrival, work counts in the phase of its completion.
type ClassResult struct {
	Class           string
	Offered         int
	AnsweredInTime  int                     // answered within the deadline
	AnsweredLate    int                     // answered after the deadline
	Unanswered      int                     // not answered
	Latency         *hdrhistogram.Histogram // microseconds, answered requests
	UsefulWork      float64                 // slot-seconds of requests answered within the deadline
	SlotTime        float64                 // UsefulWork, plus the slot-seconds used by running requests at the end, minus those at the start
	RefusedByReason map[string]int          // refused attempts by reason
}

// Goodput returns the part of the offered requests that were answered within the deadline.
func (c *ClassResult) Goodput() float64 {
	if c.Offered == 0 {
		return 1
	}
	return float64(c.AnsweredInTime) / float64(c.Offered)
}

// Quantile returns a latency quantile (0 to 100).
func (c *ClassResult) Quantile(q float64) time.Duration {
	return time.Duration(c.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// PhaseResult is the result of one phase.
type PhaseResult struct {
	Phase                Phase
	Classes              []ClassResult
	Capacity             float64        // slot-seconds of the upstreams among which load is compared
	FlowImbalance        float64        // time average of the ratio of the highest to the mean number of open flows per upstream
	HighestFlowImbalance float64        // highest of these ratios in the phase
	BusyImbalance        float64        // ratio of the highest to the mean time average of busy slots per upstream
	Retries              map[string]int // retry decisions by reason
	SpillOver            float64        // part of the new flows placed in another data centre
	FlowOpens            int            // attempts of callers to open a flow
	FailedOpens          int            // of these, attempts that found no upstream
	StalledOpens         int            // of these, flows opened at the stalled upstream
	openedFlows          int
	remoteFlows          int
	imbalanceSum         float64
	samples              int
}

// TotalGoodput returns the part of the capacity that was used for requests answered within the deadline.
func (p *PhaseResult) TotalGoodput() float64 {
	sum := 0.0
	for i := range p.Classes {
		sum += p.Classes[i].UsefulWork
	}
	return sum / p.Capacity
}

// Result is the result of one run.
type Result struct {
	Deployment           string
	Policy               Policy
	Seed                 uint64
	Events               int
	SlotOverruns         int     // starts of a request that exceeded the slots of its upstream
	LowestEffectiveSlots int     // lowest effective slots of any upstream, sampled with its reports
	MeanEffectiveSlots   float64 // effective slots at the end, mean over the upstreams
	Phases               []*PhaseResult
	declaredSlots        int       // declared by each upstream
	guaranteedShares     []float64 // guaranteed share by class
}

// Phase returns the result of the phase with the name, or nil if there is none.
func (r *Result) Phase(name string) *PhaseResult {
	for _, p := range r.Phases {
		if p.Phase.Name == name {
			return p
		}
	}
	return nil
}

const (
	minLatencyMicros         = 1
	maxLatencyMicros         = 60 * 1000 * 1000
	latencySignificantDigits = 3
)

func newPhaseResult(d Deployment, p Phase) *PhaseResult {
	r := &PhaseResult{Phase: p, Retries: make(map[string]int)}
	for _, c := range d.Classes {
		r.Classes = append(r.Classes, ClassResult{
			Class:           c.Name,
			Latency:         hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits),
			RefusedByReason: make(map[string]int),
		})
	}
	return r
}

func (c *ClassResult) recordAnswer(latency time.Duration, inTime bool) {
	v := min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	if err := c.Latency.RecordValue(v); err != nil {
		panic(err) // the value is clamped to the histogram's range
	}
	if inTime {
		c.AnsweredInTime++
	} else {
		c.AnsweredLate++
	}
}

// sampleImbalance records the imbalance of the open flows per upstream.
func (p *PhaseResult) sampleImbalance(flows []float64) {
	x := busiestOverMean(flows)
	p.imbalanceSum += x
	p.samples++
	p.HighestFlowImbalance = math.Max(p.HighestFlowImbalance, x)
	p.FlowImbalance = p.imbalanceSum / float64(p.samples)
}

// fraction returns n / total, or 0 when total is 0.
func fraction(n, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}

// busiestOverMean returns the ratio of the highest load to the mean; 1 is even.
func busiestOverMean(loads []float64) float64 {
	busiest, sum := 0.0, 0.0
	for _, x := range loads {
		busiest = math.Max(busiest, x)
		sum += x
	}
	if sum == 0 {
		return 1
	}
	return busiest / (sum / float64(len(loads)))
}
