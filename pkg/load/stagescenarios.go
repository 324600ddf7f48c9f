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
	minGoodputRatio      = 0.99 // relative to the goodput without the flood
	maxFloodP99Ratio     = 1.5  // relative to the 99th percentile without the flood
	minKeptShare         = 0.95 // relative to the guaranteed share
	minTotalGoodput      = 0.95 // relative to the capacity
	maxRecoveredP99Ratio = 1.5  // relative to the 99th percentile before the flood
	maxImbalance         = 1.10 // busiest upstream over the mean
)

const (
	floodLoad = 10.0
	// saturatingDemand is the demand of the other classes relative to their guaranteed shares, as in
	// the model.
	saturatingDemand = 2.0
	floodCallers     = 400
	// balanceCallers use 80% of the flow limits of the 14 upstreams that do not stall.
	balanceCallers      = 22_400
	balanceFlowLifetime = 40 * time.Second
	// balanceKeepAlive is long, so that keep-alives are only a small part of the packets.
	balanceKeepAlive = 10 * time.Second
)

func stagedScenarios() []Scenario {
	newScenario := func(name, summary string, p stagePlan) Scenario {
		return Scenario{Name: name, Summary: summary, run: func(ctx context.Context, s Scenario, o Options) (*Report, error) {
			return runStages(ctx, s, o, p)
		}}
	}
	return []Scenario{
		newScenario("live-flood-least-urgent", "flood-least-urgent and the recovery from it on a live fleet", stagePlan{
			sizes: leastUrgentSizes, callers: floodCallers, stages: leastUrgentStages, checks: leastUrgentChecks,
		}),
		newScenario("live-flood-most-urgent", "flood-most-urgent and the recovery from it on a live fleet", stagePlan{
			sizes: mostUrgentSizes, callers: floodCallers, stages: mostUrgentStages, checks: mostUrgentChecks,
		}),
		newScenario("live-misleading-load", "misleading-load on a live fleet at 80% load", stagePlan{
			sizes: balanceSizes, callers: balanceCallers, meanFlowLifetime: balanceFlowLifetime, keepAlivePeriod: balanceKeepAlive, absentUpstreams: 1, stalledUpstreams: 1,
			stages: misleadingLoadStages, checks: misleadingLoadChecks,
		}),
	}
}

// floodStages returns a steady part, the flood, and the time after it.
func floodStages(loads []float64) []stage {
	return []stage{
		{name: "warm-up", duration: 10 * time.Second},
		{name: "steady", duration: 30 * time.Second},
		{name: "onset", duration: time.Second, offeredLoads: loads},
		{name: "flood", duration: 15 * time.Second, offeredLoads: loads},
		{name: "settling", duration: 2 * time.Second},
		{name: "after", duration: 30 * time.Second},
	}
}

func leastUrgentStages(d *stagedDeployment) []stage {
	loads := make([]float64, len(d.classSpecs))
	for i, c := range d.classSpecs {
		loads[i] = c.OfferedLoad
	}
	loads[model.PullClass] = floodLoad
	return floodStages(loads)
}

func leastUrgentChecks(s *stageRun) []Check {
	before, onset, flood := s.stageClasses("steady"), s.stageClasses("onset"), s.stageClasses("flood")
	var out []Check
	for i := range before {
		if i == model.PullClass {
			continue
		}
		name := before[i].Name
		out = append(out,
			atLeast("goodput "+name, flood[i].Goodput/before[i].Goodput, minGoodputRatio),
			atLeast("goodput at onset "+name, onset[i].Goodput/before[i].Goodput, minGoodputRatio),
			atMost("p99 ratio "+name, flood[i].P99/before[i].P99, maxFloodP99Ratio))
	}
	return append(out, s.recoveryChecks()...)
}

// mostUrgentStages returns two floods, like the model's scenarios. In the first one the other classes
// offer more than their shares; in the second one, which the recovery follows, they do not.
func mostUrgentStages(d *stagedDeployment) []stage {
	loads := make([]float64, len(d.classSpecs))
	for i, c := range d.classSpecs {
		loads[i] = saturatingDemand * c.Share
	}
	loads[model.FeedClass] = floodLoad
	secondLoads := make([]float64, len(d.classSpecs))
	for i, c := range d.classSpecs {
		secondLoads[i] = c.OfferedLoad
	}
	secondLoads[model.FeedClass] = floodLoad
	list := floodStages(loads)
	end := len(list) - 2
	return slices.Insert(list, end,
		stage{name: "calm", duration: 15 * time.Second},
		stage{name: "second flood", duration: 8 * time.Second, offeredLoads: secondLoads})
}

func mostUrgentChecks(s *stageRun) []Check {
	flood := s.resultOf("flood")
	out := []Check{atLeast("total goodput", s.totalCapacityShare(flood), minTotalGoodput)}
	for i, c := range s.deployment.classSpecs {
		if i != model.FeedClass {
			out = append(out, atLeast("kept share "+c.Name, s.capacityShare(flood, i)/c.Share, minKeptShare))
		}
	}
	return append(out, s.recoveryChecks()...)
}

// recoveryChecks compares the time that starts 2 s after the flood with the time before it.
func (s *stageRun) recoveryChecks() []Check {
	before, after := s.stageClasses("steady"), s.stageClasses("after")
	var out []Check
	for i, b := range before {
		out = append(out,
			atLeast(fmt.Sprintf("goodput %s after the flood", b.Name), after[i].Goodput/b.Goodput, minGoodputRatio),
			atMost(fmt.Sprintf("p99 ratio %s after the flood", b.Name), after[i].P99/b.P99, maxRecoveredP99Ratio))
	}
	return out
}

func (s *stageRun) stageClasses(name string) []Class { return s.resultOf(name).collector.results() }

func misleadingLoadStages(*stagedDeployment) []stage {
	return []stage{
		{name: "warm-up", duration: 15 * time.Second},
		{name: "settling", duration: 30 * time.Second, onStart: startColdAndStall},
		{name: "measured", duration: 60 * time.Second},
	}
}

func misleadingLoadChecks(s *stageRun) []Check {
	result := s.resultOf("measured")
	return []Check{
		atMost("flow imbalance", result.flowSamples.imbalance(), maxImbalance),
		atMost("busy imbalance", s.slotTimeImbalance(result), maxImbalance),
	}
}
