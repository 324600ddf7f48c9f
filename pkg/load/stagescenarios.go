package load

import (
	"context"
	"fmt"
	"slices"
	"time"

	"rosemarygate/pkg/load/model"
)

// Bounds of section 1.5 of the design.
const (
	urgentGoodput   = 0.99 // of the goodput without the flood
	urgentLatency   = 1.5  // times the 99th percentile without the flood
	keptShare       = 0.95 // of the guaranteed share
	totalGoodput    = 0.95 // of capacity
	recoveredFactor = 1.5  // times the 99th percentile before the flood
	evenEnough      = 1.10 // busiest over mean
)

const (
	floodLoad = 10.0
	// pressingLoad is the demand of the other classes relative to their shares, as in the
	// model.
	pressingLoad = 2.0
	floodCallers = 400
	// balanceCallers use 80% of the flow limits of the 14 upstreams that serve.
	balanceCallers = 22_400
	balanceLife    = 40 * time.Second
	// balanceKeepAlive keeps the keep-alives of all flows a small part of the packets.
	balanceKeepAlive = 10 * time.Second
)

func stagedScenarios() []Scenario {
	live := func(name, summary string, p stagePlan) Scenario {
		return Scenario{Name: name, Summary: summary, run: func(ctx context.Context, s Scenario, o Options) (*Report, error) {
			return runStages(ctx, s, o, p)
		}}
	}
	return []Scenario{
		live("live-flood-least-urgent", "flood-least-urgent and the recovery from it on a live fleet", stagePlan{
			sizes: leastUrgentSizes, callers: floodCallers, stages: leastUrgentStages, checks: leastUrgentChecks,
		}),
		live("live-flood-most-urgent", "flood-most-urgent and the recovery from it on a live fleet", stagePlan{
			sizes: mostUrgentSizes, callers: floodCallers, stages: mostUrgentStages, checks: mostUrgentChecks,
		}),
		live("live-misleading-load", "misleading-load on a live fleet at 80% load", stagePlan{
			sizes: balanceSizes, callers: balanceCallers, life: balanceLife, keepAlive: balanceKeepAlive, absent: 1, stalled: 1,
			stages: misleadingStages, checks: misleadingChecks,
		}),
	}
}

// floodStages are a steady part, the flood, and the time after it.
func floodStages(loads []float64) []stage {
	return []stage{
		{name: "warm-up", length: 10 * time.Second},
		{name: "steady", length: 30 * time.Second},
		{name: "onset", length: time.Second, loads: loads},
		{name: "flood", length: 15 * time.Second, loads: loads},
		{name: "settling", length: 2 * time.Second},
		{name: "after", length: 30 * time.Second},
	}
}

func leastUrgentStages(d *staged) []stage {
	loads := make([]float64, len(d.specs))
	for i, c := range d.specs {
		loads[i] = c.Load
	}
	loads[model.Pull] = floodLoad
	return floodStages(loads)
}

func leastUrgentChecks(s *stages) []Check {
	before, onset, flood := s.classes("steady"), s.classes("onset"), s.classes("flood")
	var out []Check
	for i := range before {
		if i == model.Pull {
			continue
		}
		name := before[i].Class
		out = append(out,
			atLeast("goodput "+name, flood[i].Goodput/before[i].Goodput, urgentGoodput),
			atLeast("goodput at onset "+name, onset[i].Goodput/before[i].Goodput, urgentGoodput),
			atMost("p99 ratio "+name, flood[i].P99/before[i].P99, urgentLatency))
	}
	return append(out, s.recoveryChecks()...)
}

// mostUrgentStages have two floods, as the model's scenarios: in the first one the other
// classes press for more than their shares, and the recovery follows one in which they do not.
func mostUrgentStages(d *staged) []stage {
	loads := make([]float64, len(d.specs))
	for i, c := range d.specs {
		loads[i] = pressingLoad * c.Share
	}
	loads[model.Feed] = floodLoad
	second := make([]float64, len(d.specs))
	for i, c := range d.specs {
		second[i] = c.Load
	}
	second[model.Feed] = floodLoad
	list := floodStages(loads)
	end := len(list) - 2
	return slices.Insert(list, end,
		stage{name: "calm", length: 15 * time.Second},
		stage{name: "second flood", length: 8 * time.Second, loads: second})
}

func mostUrgentChecks(s *stages) []Check {
	flood := s.result("flood")
	out := []Check{atLeast("total goodput", s.total(flood), totalGoodput)}
	for i, c := range s.dep.specs {
		if i != model.Feed {
			out = append(out, atLeast("kept share "+c.Name, s.part(flood, i)/c.Share, keptShare))
		}
	}
	return append(out, s.recoveryChecks()...)
}

// recoveryChecks compare the time from 2 s after the flood on with the time before it.
func (s *stages) recoveryChecks() []Check {
	before, after := s.classes("steady"), s.classes("after")
	var out []Check
	for i, b := range before {
		out = append(out,
			atLeast(fmt.Sprintf("goodput %s after the flood", b.Class), after[i].Goodput/b.Goodput, urgentGoodput),
			atMost(fmt.Sprintf("p99 ratio %s after the flood", b.Class), after[i].P99/b.P99, recoveredFactor))
	}
	return out
}

func (s *stages) classes(name string) []Class { return s.result(name).col.result() }

func misleadingStages(*staged) []stage {
	return []stage{
		{name: "warm-up", length: 15 * time.Second},
		{name: "settling", length: 30 * time.Second, begin: disturb},
		{name: "measured", length: 60 * time.Second},
	}
}

func misleadingChecks(s *stages) []Check {
	x := s.result("measured")
	return []Check{
		atMost("flow imbalance", x.flows.imbalance(), evenEnough),
		atMost("busy imbalance", s.busyImbalance(x), evenEnough),
	}
}
