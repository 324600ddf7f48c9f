// Package packets is a discrete-event simulation on a virtual clock. It runs the packet decisions of
// pkg/forward under load patterns of callers and upstreams, and compares them with simple ways of
// placing flows. The seed determines a run.
//
// Each entry daemon receives only the callers' packets of its own flows. Upstreams process a few
// requests, queue a few more and reject the rest. Packet loss, control hosts and configuration changes
// are not simulated.
package packets

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Deployment is a service with its entry daemons and upstreams.
type Deployment struct {
	Name         string
	Daemons      int
	Upstreams    int
	Slots        int           // requests that an upstream processes at the same time
	QueueLimit   int           // requests that an upstream queues
	MeanWorkTime time.Duration // mean processing time of a request; exponentially distributed
	Objective    time.Duration // latency within which a request should be answered
	// UrgentShare is the share of the requests that use the most urgent route.
	UrgentShare float64
	// RequestsPerFlow is the mean number of requests on a flow before its caller closes it.
	RequestsPerFlow int
}

// Karri is the ticket-and-tally service of Karri Bend Rackworks.
func Karri() Deployment {
	return Deployment{
		Name: "karri", Daemons: 7, Upstreams: 14, Slots: 3, QueueLimit: 12,
		MeanWorkTime: 43 * time.Millisecond, Objective: 200 * time.Millisecond, UrgentShare: 0.22, RequestsPerFlow: 40,
	}
}

// Guild is the speech delivery service of the Gujarat Speechwriters' Guild.
func Guild() Deployment {
	return Deployment{
		Name: "guild", Daemons: 7, Upstreams: 14, Slots: 2, QueueLimit: 8,
		MeanWorkTime: 16 * time.Millisecond, Objective: 100 * time.Millisecond, UrgentShare: 0.22, RequestsPerFlow: 40,
	}
}

// Magnolia is the ordering service of Magnolia Slate, whose callers open a flow for each request.
func Magnolia() Deployment {
	return Deployment{
		Name: "magnolia", Daemons: 9, Upstreams: 14, Slots: 2, QueueLimit: 8,
		MeanWorkTime: 32 * time.Millisecond, Objective: 150 * time.Millisecond, UrgentShare: 0.22, RequestsPerFlow: 1,
	}
}

// Placement is a way of placing new flows.
type Placement string

// Placements. OursWithoutRefusal is ours, but rejections are hidden from it: it refuses no flow and
// does not avoid upstreams that reject requests. OursByRejections refuses flows only while upstreams reject
// requests.
const (
	Ours               Placement = "ours"
	OursWithoutRefusal Placement = "unrefused"
	OursByRejections   Placement = "by-rejections"
	Random             Placement = "random"
	FewestFlows        Placement = "fewest-flows"
)

// Phase is a part of a pattern with constant load.
type Phase struct {
	Name     string
	Duration time.Duration
	// Load is the offered load as a share of the capacity of healthy upstreams.
	Load float64
	// UrgentShare is the share of urgent requests; 0 selects that of the deployment.
	UrgentShare float64
	// The share FailingShare of the upstreams rejects the share RejectedShare of its requests without
	// processing them. The share SlowShare takes SlowFactor times as long for a request.
	FailingShare, RejectedShare float64
	SlowShare, SlowFactor       float64
}

// Pattern is a load pattern on which the placements are compared.
type Pattern struct {
	Name    string
	Summary string
	Phases  []Phase
	// Baselines are the placements that ours is compared with.
	Baselines []Placement
}

// Class counts the outcomes of the requests of a route.
type Class struct {
	Offered      int
	ServedInTime int
	ServedLate   int
	Unserved     int // rejected or refused in every attempt
	Latency      *hdrhistogram.Histogram
}

// Served returns the number of answered requests.
func (c *Class) Served() int { return c.ServedInTime + c.ServedLate }

// UnservedShare returns the share of unserved requests.
func (c *Class) UnservedShare() float64 { return float64(c.Unserved) / float64(max(c.Offered, 1)) }

// PhaseResult is the outcome of one phase. A request counts in the phase in which it was offered.
type PhaseResult struct {
	Phase            Phase
	Urgent           Class
	Usual            Class
	RejectedAttempts int // attempts that an upstream rejected
	RefusedAttempts  int // attempts that an entry daemon refused
	// Imbalance is the number of requests run by the busiest upstream over the mean.
	Imbalance float64
}

// ServedInTime returns the number of requests of both classes that were answered within the
// objective.
func (p *PhaseResult) ServedInTime() int { return p.Urgent.ServedInTime + p.Usual.ServedInTime }

// Served returns the number of answered requests of both classes.
func (p *PhaseResult) Served() int { return p.Urgent.Served() + p.Usual.Served() }

// Offered returns the number of offered requests of both classes.
func (p *PhaseResult) Offered() int { return p.Urgent.Offered + p.Usual.Offered }

// Result is the outcome of a run.
type Result struct {
	Deployment string
	Placement  Placement
	Phases     []*PhaseResult
}

// Phase returns the result of the phase with the given name, or nil if the pattern has no such phase.
func (r *Result) Phase(name string) *PhaseResult {
	for _, p := range r.Phases {
		if p.Phase.Name == name {
			return p
		}
	}
	return nil
}
