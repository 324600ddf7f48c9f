// Package model is a discrete-event simulation on a virtual clock. It drives the pure cores
// of dispatch, selection and retry with open-loop Poisson arrivals and compares them with
// naive baselines. A run is determined by its seed.
//
// The simulation covers admission, selection and retries only, not packets, tokens, owner
// changes and configuration.
package model

import (
	"time"

	"rosemarygate/pkg/dispatch"
)

// ClassSpec is a request class with its offered load. Service times are exponentially
// distributed, which is a worst case for delay behind long requests.
type ClassSpec struct {
	dispatch.Class
	ServiceTime time.Duration // mean service time
	OfferedLoad float64       // offered load in the steady state, as a part of all slots
	Deadline    time.Duration // time from arrival
	Idempotent  bool
}

// Deployment describes the fleet of one user.
type Deployment struct {
	Name             string
	DataCentres      int
	Daemons          int
	Upstreams        int
	Slots            int           // of each upstream
	FlowLimit        int           // of each upstream
	HopDelay         time.Duration // one-way delay between data centres
	MeanFlowLifetime time.Duration
	Classes          []ClassSpec
}

// Class indexes of both deployments.
const (
	FeedClass = iota // feed control: subscribe, resume, acknowledge
	PostClass        // non-idempotent post or edit
	PullClass        // large idempotent pull
)

// Karri is the ticket-and-tally service of Karri Bend Rackworks: short feed control
// requests and weld counts, and label sheets that take about 60 ms.
func Karri() Deployment {
	return Deployment{
		Name: "karri", DataCentres: 3, Daemons: 7, Upstreams: 15, Slots: 3,
		FlowLimit: 2000, HopDelay: time.Millisecond, MeanFlowLifetime: 40 * time.Second,
		Classes: []ClassSpec{
			classSpec("feed", 0, 0.25, 4*time.Millisecond, 0.20, 100*time.Millisecond, true),
			classSpec("post", 1, 0.35, 8*time.Millisecond, 0.30, 400*time.Millisecond, false),
			classSpec("label", 2, 0.35, 60*time.Millisecond, 0.30, 3*time.Second, true),
		},
	}
}

// Guild is the speech delivery service of the Gujarat Speechwriters' Guild: two slots and
// archive pulls that take about 150 ms.
func Guild() Deployment {
	return Deployment{
		Name: "guild", DataCentres: 4, Daemons: 7, Upstreams: 15, Slots: 2,
		FlowLimit: 2000, HopDelay: time.Millisecond, MeanFlowLifetime: 40 * time.Second,
		Classes: []ClassSpec{
			classSpec("cue", 0, 0.25, 4*time.Millisecond, 0.20, 100*time.Millisecond, true),
			classSpec("edit", 1, 0.30, 10*time.Millisecond, 0.25, 400*time.Millisecond, false),
			classSpec("archive", 2, 0.40, 150*time.Millisecond, 0.35, 5*time.Second, true),
		},
	}
}

func classSpec(name string, priority int, share float64, serviceTime time.Duration, load float64, deadline time.Duration, idempotent bool) ClassSpec {
	return ClassSpec{
		Class:       dispatch.Class{Name: name, Share: share, Priority: priority, QueueLimit: 64},
		ServiceTime: serviceTime,
		OfferedLoad: load,
		Deadline:    deadline,
		Idempotent:  idempotent,
	}
}

func (d Deployment) limits() dispatch.Limits {
	l := dispatch.Limits{Slots: d.Slots}
	for _, c := range d.Classes {
		l.Classes = append(l.Classes, c.Class)
	}
	return l
}

// arrivalRate returns the arrivals per second of a class at which its offered load is the
// given part of the slots of the given number of upstreams.
func (d Deployment) arrivalRate(class int, load float64, upstreams int) float64 {
	return load * float64(upstreams*d.Slots) / d.Classes[class].ServiceTime.Seconds()
}
