package model

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of the checks (section 1.5 of the design page).
const (
	minUrgentGoodput         = 0.99 // relative to the goodput without the flood
	maxUrgentLatencyRatio    = 1.5  // relative to the 99th percentile without the flood
	minKeptShare             = 0.95 // relative to the guaranteed share
	minTotalGoodput          = 0.95 // relative to the capacity
	maxRecoveredLatencyRatio = 1.5  // relative to the 99th percentile before the flood
	maxImbalance             = 1.10 // ratio of the busiest upstream to the mean
	minSteadyGoodput         = 0.99
	maxSlotExcess            = 0.5 // mean effective slots above the real slots; at times a scheduler probes one slot more
)

// Offered loads of the scenarios, as parts of all slots.
const (
	floodLoad = 10.0
	// saturatingDemand is the demand of the other classes relative to their guaranteed shares
	// during a flood of the most urgent class. It is far above 1 so that no queue runs empty by
	// chance: at 1.2 an M/M/1 queue with a limit of 8 is empty for 5% of the time.
	saturatingDemand = 2.0
)

// Lengths of the phases.
const (
	warmUpTime     = 15 * time.Second
	steadyTime     = 30 * time.Second
	longFloodTime  = 20 * time.Second
	shortFloodTime = 8 * time.Second
	onsetTime      = time.Second     // start of a flood, while queues fill and estimates adapt
	settlingTime   = 2 * time.Second // allowed time until the latency is normal again
	afterFloodTime = 10 * time.Second
	measuredTime   = 60 * time.Second
	// balanceTime is long because the work of some 300 exponential pulls per minute and
	// upstream varies by 4%, which alone makes the busiest of 14 upstreams 6% busier than the mean.
	balanceTime = 180 * time.Second
	// coolDownTime is the time in which the requests of the last measured phase complete.
	coolDownTime = 6 * time.Second
)

// Scenario is a run with checks on its result.
type Scenario struct {
	Name   string
	Config func(d Deployment) Config
	Checks func(r *Result) []Check
}

// Scenarios returns all scenarios in the order of the documentation.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Config: steadyConfig, Checks: steadyChecks},
		{Name: "flood-least-urgent", Config: leastUrgentConfig, Checks: leastUrgentChecks},
		{Name: "flood-most-urgent", Config: mostUrgentConfig, Checks: mostUrgentChecks},
		{Name: "flood-while-busy", Config: busyFloodConfig, Checks: busyFloodChecks},
		{Name: "recovery", Config: recoveryConfig, Checks: recoveryChecks},
		{Name: "misleading-load", Config: misleadingConfig, Checks: misleadingChecks},
		{Name: "wrong-slots", Config: wrongSlotsConfig, Checks: wrongSlotsChecks},
		{Name: "spill-over", Config: spillConfig, Checks: spillChecks},
	}
}

// Comparisons returns scenarios without bounds that show differences between policies which
// the scenarios with bounds do not show.
func Comparisons() []Scenario {
	return []Scenario{
		{Name: "misleading-load-95", Config: highLoadConfig, Checks: highLoadChecks},
	}
}

// ScenarioByName returns the scenario or comparison with the name; it reports false if there is none.
func ScenarioByName(name string) (Scenario, bool) {
	for _, s := range append(Scenarios(), Comparisons()...) {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// Run simulates the scenario on a deployment and returns the result with its checks.
func (s Scenario) Run(d Deployment, p Policy, seed uint64) (*Result, []Check) {
	c := s.Config(d)
	c.Policy = p
	c.Seed = seed
	r := Run(c)
	return r, s.Checks(r)
}

func steadyConfig(d Deployment) Config {
	return Config{Deployment: d, Phases: []Phase{
		{Name: "warm-up", Length: warmUpTime},
		{Name: "steady", Length: measuredTime},
		{Name: "cool-down", Length: coolDownTime},
	}}
}

func steadyChecks(r *Result) []Check {
	p := r.Phase("steady")
	var out []Check
	for i := range p.Classes {
		out = append(out, atLeast("goodput "+p.Classes[i].Class, p.Classes[i].Goodput(), minSteadyGoodput))
	}
	out = append(out, p.latencyValues()...)
	return append(out,
		atLeast("lowest effective slots", float64(r.LowestEffectiveSlots), float64(r.declaredSlots)),
		atMost("flow imbalance", p.FlowImbalance, maxImbalance),
		atMost("slot overruns", float64(r.SlotOverruns), 0))
}

// loadsWithFlood returns the steady loads with a flood of one class.
func loadsWithFlood(d Deployment, class int) []float64 {
	loads := make([]float64, len(d.Classes))
	for i, c := range d.Classes {
		loads[i] = c.OfferedLoad
	}
	loads[class] = floodLoad
	return loads
}

func leastUrgentConfig(d Deployment) Config {
	loads := loadsWithFlood(d, PullClass)
	return Config{Deployment: d, Phases: []Phase{
		{Name: "warm-up", Length: warmUpTime},
		{Name: "steady", Length: steadyTime},
		{Name: "onset", Length: onsetTime, Loads: loads},
		{Name: "flood", Length: longFloodTime, Loads: loads},
		{Name: "cool-down", Length: coolDownTime},
	}}
}

func leastUrgentChecks(r *Result) []Check {
	before, onset, flood := r.Phase("steady"), r.Phase("onset"), r.Phase("flood")
	var out []Check
	for i := range flood.Classes {
		if i == PullClass {
			continue
		}
		b, f, o := &before.Classes[i], &flood.Classes[i], &onset.Classes[i]
		out = append(out,
			atLeast("goodput "+f.Class, f.Goodput()/b.Goodput(), minUrgentGoodput),
			atLeast("goodput at onset "+f.Class, o.Goodput()/b.Goodput(), minUrgentGoodput),
			atMost("p99 ratio "+f.Class, latencyRatio(f.Quantile(99), b.Quantile(99)), maxUrgentLatencyRatio),
			onMean(atMost("p99 ratio at onset "+f.Class, latencyRatio(o.Quantile(99), b.Quantile(99)), maxUrgentLatencyRatio)))
	}
	return append(out,
		atLeast("lowest effective slots", float64(r.LowestEffectiveSlots), float64(r.declaredSlots)),
		atMost("slot overruns", float64(r.SlotOverruns), 0))
}

func mostUrgentConfig(d Deployment) Config {
	loads := loadsWithFlood(d, FeedClass)
	for i, c := range d.Classes {
		if i != FeedClass {
			loads[i] = saturatingDemand * c.Share
		}
	}
	return Config{Deployment: d, Phases: []Phase{
		{Name: "warm-up", Length: warmUpTime},
		{Name: "onset", Length: onsetTime, Loads: loads},
		{Name: "flood", Length: shortFloodTime, Loads: loads},
	}}
}

// busyFloodConfig is mostUrgentConfig, but the high demand of the other classes begins before
// the flood.
func busyFloodConfig(d Deployment) Config {
	c := mostUrgentConfig(d)
	loads := slices.Clone(c.Phases[1].Loads)
	loads[FeedClass] = d.Classes[FeedClass].OfferedLoad
	c.Phases = slices.Insert(c.Phases, 1, Phase{Name: "busy", Length: settlingTime, Loads: loads})
	return c
}

func busyFloodChecks(r *Result) []Check {
	onset := r.Phase("onset")
	out := []Check{onMean(atLeast("total goodput at onset", onset.TotalGoodput(), minTotalGoodput))}
	for i := range onset.Classes {
		if i != FeedClass {
			name := "kept share at onset " + onset.Classes[i].Class
			out = append(out, atLeast(name, onset.keptShare(i, r), minKeptShare))
		}
	}
	return out
}

func mostUrgentChecks(r *Result) []Check {
	onset, flood := r.Phase("onset"), r.Phase("flood")
	out := []Check{
		atLeast("lowest effective slots", float64(r.LowestEffectiveSlots), float64(r.declaredSlots)),
		atLeast("total goodput", flood.TotalGoodput(), minTotalGoodput),
		onMean(atLeast("total goodput at onset", onset.TotalGoodput(), minTotalGoodput)),
		atMost("slot overruns", float64(r.SlotOverruns), 0),
	}
	for i := range flood.Classes {
		if i == FeedClass {
			continue
		}
		name := flood.Classes[i].Class
		out = append(out, atLeast("kept share "+name, flood.keptShare(i, r), minKeptShare))
		if i == PullClass {
			// No bound: if no long request is queued when the flood begins, the next one
			// arrives 0.1 s later on average. Scenario flood-while-busy checks the bound with
			// long requests queued.
			out = append(out,
				withoutBound("slot time at onset "+name, onset.Classes[i].SlotTime/onset.Capacity/r.guaranteedShares[i]),
				withoutBound("kept share at onset "+name, onset.keptShare(i, r)))
			continue
		}
		out = append(out, onMean(atLeast("kept share at onset "+name, onset.keptShare(i, r), minKeptShare)))
	}
	return out
}

// keptShare returns the useful work of a class relative to its guaranteed share.
func (p *PhaseResult) keptShare(class int, r *Result) float64 {
	return p.Classes[class].UsefulWork / p.Capacity / r.guaranteedShares[class]
}

func recoveryConfig(d Deployment) Config {
	var phases []Phase
	phases = append(phases, Phase{Name: "warm-up", Length: warmUpTime}, Phase{Name: "steady", Length: steadyTime})
	for _, class := range []int{PullClass, FeedClass} {
		name := d.Classes[class].Name
		phases = append(phases,
			Phase{Name: "flood " + name, Length: shortFloodTime, Loads: loadsWithFlood(d, class)},
			Phase{Name: "settling " + name, Length: settlingTime},
			Phase{Name: "after " + name, Length: afterFloodTime})
	}
	phases = append(phases, Phase{Name: "cool-down", Length: coolDownTime})
	return Config{Deployment: d, Phases: phases}
}

func recoveryChecks(r *Result) []Check {
	before := r.Phase("steady")
	var out []Check
	for _, flood := range []int{PullClass, FeedClass} {
		after := r.Phase("after " + before.Classes[flood].Class)
		for i := range after.Classes {
			b, a := &before.Classes[i], &after.Classes[i]
			name := fmt.Sprintf(" %s after %s", a.Class, before.Classes[flood].Class)
			out = append(out,
				atLeast("goodput"+name, a.Goodput()/b.Goodput(), minUrgentGoodput),
				atMost("p99 ratio"+name, latencyRatio(a.Quantile(99), b.Quantile(99)), maxRecoveredLatencyRatio))
		}
	}
	return out
}

func misleadingConfig(d Deployment) Config {
	d.DataCentres = 1
	d.Upstreams = 15
	return Config{
		Deployment:        d,
		MisleadingReports: true,
		JoinAt:            warmUpTime,
		StallAt:           warmUpTime,
		Phases: []Phase{
			{Name: "warm-up", Length: warmUpTime},
			{Name: "settling", Length: steadyTime},
			{Name: "measured", Length: balanceTime},
		},
	}
}

func misleadingChecks(r *Result) []Check {
	p := r.Phase("measured")
	out := []Check{
		atMost("flow imbalance", p.FlowImbalance, maxImbalance),
		atMost("busy imbalance", p.BusyImbalance, maxImbalance),
	}
	return append(out, faultValues(r)...)
}

// faultValues returns the effects of the stalled upstream and the highest flow imbalance.
func faultValues(r *Result) []Check {
	before, p := r.Phase("settling"), r.Phase("measured")
	out := []Check{
		withoutBound("highest flow imbalance", p.HighestFlowImbalance),
		withoutBound("new flows on the stalled upstream", fraction(p.StalledOpens, p.FlowOpens)),
		withoutBound("flows that found no upstream", fraction(p.FailedOpens, p.FlowOpens)),
	}
	for i := range p.Classes {
		name := p.Classes[i].Class
		out = append(out,
			withoutBound("goodput right after the stall "+name, before.Classes[i].Goodput()),
			withoutBound("goodput "+name, p.Classes[i].Goodput()))
	}
	return out
}

// highLoad is the load in the comparison misleading-load-95.
const highLoad = 0.95

// highLoadConfig is misleadingConfig with highLoad instead of 80% of flows and requests.
func highLoadConfig(d Deployment) Config {
	c := misleadingConfig(d)
	c.FlowLoad = highLoad
	loads := make([]float64, len(d.Classes))
	for i, class := range d.Classes {
		loads[i] = class.OfferedLoad * highLoad / defaultFlowLoad
	}
	for i := range c.Phases {
		c.Phases[i].Loads = loads
	}
	return c
}

func highLoadChecks(r *Result) []Check {
	p := r.Phase("measured")
	return append([]Check{
		withoutBound("flow imbalance", p.FlowImbalance),
		withoutBound("busy imbalance", p.BusyImbalance),
	}, faultValues(r)...)
}

// wrongSlotsConfig makes every upstream declare one slot more than it has. The offered load
// is 80% of the real slots.
func wrongSlotsConfig(d Deployment) Config {
	realSlots := d.Slots - 1
	loads := make([]float64, len(d.Classes))
	for i, c := range d.Classes {
		loads[i] = c.OfferedLoad * float64(realSlots) / float64(d.Slots)
	}
	return Config{Deployment: d, RealSlots: realSlots, Phases: []Phase{
		{Name: "measured", Length: balanceTime, Loads: loads},
	}}
}

func wrongSlotsChecks(r *Result) []Check {
	return []Check{atMost("mean slots above the real ones", r.MeanEffectiveSlots-float64(r.declaredSlots-1), maxSlotExcess)}
}

// spillConfig overloads the first data centre: the load of its callers is 1.3 times its slots,
// while the other data centres have free slots.
func spillConfig(d Deployment) Config {
	n := float64(d.DataCentres)
	weights := make([]float64, d.DataCentres)
	first := spillSkew / n
	for i := range weights {
		weights[i] = (1 - first) / (n - 1)
	}
	weights[0] = first
	return Config{Deployment: d, DCWeights: weights, Phases: []Phase{
		{Name: "warm-up", Length: warmUpTime},
		{Name: "settling", Length: steadyTime},
		{Name: "measured", Length: measuredTime},
		{Name: "cool-down", Length: coolDownTime},
	}}
}

// spillSkew is the load of the callers in the first data centre relative to the mean.
const spillSkew = 1.6

func spillChecks(r *Result) []Check {
	p := r.Phase("measured")
	var out []Check
	for i := range p.Classes {
		out = append(out, atLeast("goodput "+p.Classes[i].Class, p.Classes[i].Goodput(), minSteadyGoodput))
	}
	out = append(out, p.latencyValues()...)
	return append(out, withoutBound("new flows in another data centre", p.SpillOver))
}
