// Package model is a discrete-event experiment on a virtual clock that drives the pure
// cores of dispatch, selection and retry with open-loop Poisson arrivals, and compares
// them with the naive baselines. A run is determined by its seed.
//
// The model covers admission, selection and retries only. Packets, tokens, owner changes
// and configuration are outside of it.
package model

import (
	"time"

	"rosemarygate/pkg/dispatch"
)

// ClassSpec is a request class with the load that callers offer. Service times are
// exponential, which is a worst case for delay behind long requests.
type ClassSpec struct {
	dispatch.Class
	Service    time.Duration // mean service time
	Load       float64       // offered part of all slots in the steady state
	Deadline   time.Duration // from arrival
	Idempotent bool
}

// Deployment describes the fleet of one user.
type Deployment struct {
	Name        string
	DataCentres int
	Daemons     int
	Upstreams   int
	Slots       int           // of each upstream
	FlowLimit   int           // of each upstream
	Hop         time.Duration // between data centres, one way
	FlowLife    time.Duration // mean
	Classes     []ClassSpec
}

// Class indexes of both deployments.
const (
	Feed = iota // feed control: subscribe, resume, acknowledge
	Post        // non-idempotent post or edit
	Pull        // large idempotent pull
)

// Karri is the ticket-and-tally service of Karri Bend Rackworks: short feed control
// requests and weld counts, and label sheets that take about 60 ms.
func Karri() Deployment {
	return Deployment{
		Name: "karri", DataCentres: 3, Daemons: 7, Upstreams: 15, Slots: 3,
		FlowLimit: 2000, Hop: time.Millisecond, FlowLife: 40 * time.Second,
		Classes: []ClassSpec{
			spec("feed", 0, 0.25, 4*time.Millisecond, 0.20, 100*time.Millisecond, true),
			spec("post", 1, 0.35, 8*time.Millisecond, 0.30, 400*time.Millisecond, false),
			spec("label", 2, 0.35, 60*time.Millisecond, 0.30, 3*time.Second, true),
		},
	}
}

// Guild is the speech delivery service of the Gujarat Speechwriters' Guild: two slots and
// archive pulls that take about 150 ms.
func Guild() Deployment {
	return Deployment{
		Name: "guild", DataCentres: 4, Daemons: 7, Upstreams: 15, Slots: 2,
		FlowLimit: 2000, Hop: time.Millisecond, FlowLife: 40 * time.Second,
		Classes: []ClassSpec{
			spec("cue", 0, 0.25, 4*time.Millisecond, 0.20, 100*time.Millisecond, true),
			spec("edit", 1, 0.30, 10*time.Millisecond, 0.25, 400*time.Millisecond, false),
			spec("archive", 2, 0.40, 150*time.Millisecond, 0.35, 5*time.Second, true),
		},
	}
}

func spec(name string, priority int, share float64, service time.Duration, load float64, deadline time.Duration, idempotent bool) ClassSpec {
	return ClassSpec{
		Class:      dispatch.Class{Name: name, Share: share, Priority: priority, QueueLimit: 64},
		Service:    service,
		Load:       load,
		Deadline:   deadline,
		Idempotent: idempotent,
	}
}

func (d Deployment) limits() dispatch.Limits {
	l := dispatch.Limits{Slots: d.Slots}
	for _, c := range d.Classes {
		l.Classes = append(l.Classes, c.Class)
	}
	return l
}

// rate returns the arrivals per second of a class that offer load times the capacity of
// the given number of upstreams.
func (d Deployment) rate(class int, load float64, upstreams int) float64 {
	return load * float64(upstreams*d.Slots) / d.Classes[class].Service.Seconds()
}
