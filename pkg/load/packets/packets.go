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
	MeanWorkTime time.Duration // mean processing time of a request
	Work         Work          // distribution of the processing time
	Objective    time.Duration // latency within which a request should be answered
	// UrgentShare is the share of the requests that use the most urgent route.
	UrgentShare float64
	// RequestsPerFlow is the mean number of requests on a flow before its caller closes it.
	RequestsPerFlow int
	// OpenFlows is the number of flows that callers open before they use one again; 0 opens a flow only
	// when none is idle.
	OpenFlows int
	// UrgentFlowEach opens a flow for each urgent request.
	UrgentFlowEach bool
	// LinkBytesPerSecond is the bandwidth of the link of each daemon, 0 if it is not limited. Each request then
	// has a flow of its own.
	LinkBytesPerSecond float64
	// DataCentres is the number of data centres among which the daemons and upstreams are spread, 0 for one.
	DataCentres int
}

// Work is the distribution of the processing time of requests, with the mean of the deployment. The zero
// value is exponential.
type Work struct {
	// Spread is the standard deviation of the logarithm of the time.
	Spread float64
	// A share TailShare of the requests takes TailFactor times as long as the others.
	TailShare, TailFactor float64
	// UrgentFactor is how many times as long urgent requests take; 0 is 1.
	UrgentFactor float64
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

// Guidance is one data centre of a guidance service for drivers: long flows with many requests,
// urgent requests on flows of their own, and one request in thirty that takes seven times as long.
func Guidance() Deployment {
	return Deployment{
		Name: "guidance", Daemons: 9, Upstreams: 40, Slots: 2, QueueLimit: 8,
		MeanWorkTime: 28 * time.Millisecond, Work: Work{Spread: 0.5, TailShare: 0.03, TailFactor: 7, UrgentFactor: 1.27},
		Objective: 400 * time.Millisecond, UrgentShare: 0.22, RequestsPerFlow: 8, OpenFlows: 1200, UrgentFlowEach: true,
	}
}

// Gateway is a service whose entry daemons have links that carry little more than what its upstreams can serve.
func Gateway() Deployment {
	return Deployment{
		Name: "gateway", Daemons: 12, Upstreams: 18, Slots: 2, QueueLimit: 8, MeanWorkTime: 18 * time.Millisecond,
		Objective: 250 * time.Millisecond, UrgentShare: 0.22, RequestsPerFlow: 1, LinkBytesPerSecond: 250_000,
	}
}

// ThreeCentres is a service of long flows: in each of three data centres, a few daemons share 40 upstreams,
// so that each sees few of their requests.
func ThreeCentres() Deployment {
	return Deployment{
		Name: "three-centres", Daemons: 27, Upstreams: 120, Slots: 2, QueueLimit: 8,
		MeanWorkTime: 31 * time.Millisecond, Objective: 400 * time.Millisecond, UrgentShare: 0.22, RequestsPerFlow: 20, DataCentres: 3,
	}
}

// Placement is a way of placing new flows.
type Placement string

// Placements. OursWithoutRefusal is ours, but rejections are hidden from it: it refuses no flow and
// does not avoid upstreams that reject requests. OursByRejections refuses flows only while upstreams reject
// requests. OursByAllRejections takes each rejection as a sign of a full service, and OursWithoutLink does not know the bandwidth of the links.
const (
	Ours                Placement = "ours"
	OursWithoutRefusal  Placement = "unrefused"
	OursByRejections    Placement = "by-rejections"
	OursByAllRejections Placement = "by-all-rejections"
	OursWithoutLink     Placement = "without-link"
	// OursByRequests is ours with each request in progress counted as 1, whatever it costs.
	OursByRequests Placement = "by-requests"
	Random         Placement = "random"
	FewestFlows    Placement = "fewest-flows"
	// Informed sees the requests of all daemons at an upstream at once, which no daemon can.
	Informed Placement = "informed"
)

// Phase is a part of a pattern with constant load.
type Phase struct {
	Name     string
	Duration time.Duration
	// Load is the offered load as a share of the capacity of healthy upstreams.
	Load float64
	// UrgentShare is the share of urgent requests; 0 selects that of the deployment.
	UrgentShare float64
	// Work is the distribution of the processing time; nil selects that of the deployment.
	Work *Work
	// FirstCentreShare is the share of the requests from callers of the first data centre; 0 selects equal shares.
	FirstCentreShare float64
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
	// Deployments are those on which the pattern is played, nil for those without data centres.
	Deployments []Deployment
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
	// InTimeByWindow are the requests served in time, by the WindowDuration of the phase in which they were offered.
	InTimeByWindow []int
	start          time.Duration
}

// WindowDuration is the length of the windows of a phase.
const WindowDuration = 2 * time.Second

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
