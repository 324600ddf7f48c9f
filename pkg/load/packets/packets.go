// Package packets is a discrete-event experiment on a virtual clock that drives the packet decisions
// of pkg/forward with load patterns of callers and upstreams, beside plain ways of placing flows. A
// run is determined by its seed.
//
// Each entry daemon sees only the callers' packets of its own flows. Upstreams work on a few requests,
// queue a few more and reject the rest. Loss, control and changes of the configuration are outside of
// the experiment.
package packets

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Deployment is a service with its entry daemons and upstreams.
type Deployment struct {
	Name      string
	Daemons   int
	Upstreams int
	Slots     int           // requests that an upstream works on at once
	Queue     int           // requests that wait at an upstream
	Work      time.Duration // mean of a request; exponential
	Objective time.Duration // latency within which a request is to be answered
	// UrgentShare of the requests belongs to the most urgent route.
	UrgentShare float64
}

// Karri is the ticket-and-tally service of Karri Bend Rackworks.
func Karri() Deployment {
	return Deployment{
		Name: "karri", Daemons: 7, Upstreams: 14, Slots: 3, Queue: 12,
		Work: 43 * time.Millisecond, Objective: 200 * time.Millisecond, UrgentShare: 0.22,
	}
}

// Guild is the speech delivery service of the Gujarat Speechwriters' Guild.
func Guild() Deployment {
	return Deployment{
		Name: "guild", Daemons: 7, Upstreams: 14, Slots: 2, Queue: 8,
		Work: 16 * time.Millisecond, Objective: 100 * time.Millisecond, UrgentShare: 0.22,
	}
}

// Placement is a way of placing new flows.
type Placement string

// Placements. Unrefused is ours, blind to rejections: it refuses no flow and keeps none from an
// upstream that rejects requests.
const (
	Ours        Placement = "ours"
	Unrefused   Placement = "unrefused"
	Random      Placement = "random"
	FewestFlows Placement = "fewest-flows"
)

// Phase is a part of a pattern with constant load.
type Phase struct {
	Name string
	For  time.Duration
	// Load is the offered load in parts of what healthy upstreams can work on.
	Load float64
	// UrgentShare of the requests is urgent, 0 for that of the deployment.
	UrgentShare float64
	// FailingShare of the upstreams reject FailedRequests of their requests without work, and
	// SlowShare of them work SlowFactor times as long.
	FailingShare, FailedRequests float64
	SlowShare, SlowFactor        float64
}

// Pattern is a load that the placements are compared on.
type Pattern struct {
	Name    string
	Summary string
	Phases  []Phase
	// Baselines are compared with ours.
	Baselines []Placement
}

// Class counts what became of the requests of a route.
type Class struct {
	Asked    int
	InTime   int
	Late     int
	Unserved int // rejected or refused in every try
	Latency  *hdrhistogram.Histogram
}

// Served returns the requests that were answered.
func (c *Class) Served() int { return c.InTime + c.Late }

// UnservedShare returns the unserved part of the requests.
func (c *Class) UnservedShare() float64 { return float64(c.Unserved) / float64(max(c.Asked, 1)) }

// PhaseResult is the outcome of one phase. Requests count in the phase in which they were asked.
type PhaseResult struct {
	Phase   Phase
	Urgent  Class
	Usual   Class
	Failed  int // tries that an upstream rejected
	Refused int // tries that an entry daemon refused
	// Imbalance is the runs of the busiest upstream over the mean.
	Imbalance float64
}

// InTime returns the requests of both classes that were answered within the objective.
func (p *PhaseResult) InTime() int { return p.Urgent.InTime + p.Usual.InTime }

// Served returns the requests of both classes that were answered.
func (p *PhaseResult) Served() int { return p.Urgent.Served() + p.Usual.Served() }

// Asked returns the requests of both classes.
func (p *PhaseResult) Asked() int { return p.Urgent.Asked + p.Usual.Asked }

// Result is the outcome of a run.
type Result struct {
	Deployment string
	Placement  Placement
	Phases     []*PhaseResult
}

// Phase returns the result of a phase, nil if the pattern has none of this name.
func (r *Result) Phase(name string) *PhaseResult {
	for _, p := range r.Phases {
		if p.Phase.Name == name {
			return p
		}
	}
	return nil
}
