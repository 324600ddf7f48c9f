package model

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of the checks (design, section 1.5).
const (
	urgentGoodput   = 0.99 // of the goodput without the flood
	urgentLatency   = 1.5  // times the 99th percentile without the flood
	keptShare       = 0.95 // of the guaranteed share
	totalGoodput    = 0.95 // of capacity
	recoveredFactor = 1.5  // times the 99th percentile before the flood
	imbalance       = 1.10 // busiest over mean
	steadyGoodput   = 0.99
	slotError       = 0.5 // mean effective slots above the real ones; one more is tried at times
)

// Offered loads of the scenarios, as parts of all slots.
const (
	floodLoad = 10.0
	// pressingLoad is the demand of the other classes relative to their guaranteed shares
	// during a flood of the most urgent class: so far above 1 that no upstream lacks demand
	// by chance. At 1.2 a bounded M/M/1 queue of 8 is empty for 5% of the time.
	pressingLoad = 2.0
)

// Lengths of the phases.
const (
	warmUp     = 15 * time.Second
	steadyTime = 30 * time.Second
	longFlood  = 20 * time.Second
	shortFlood = 8 * time.Second
	onset      = time.Second     // of a flood: queues fill and estimates adapt
	settling   = 2 * time.Second // allowed until latency is back to normal
	afterFlood = 10 * time.Second
	observed   = 60 * time.Second
	// balanced is long because the work of some 300 exponential pulls per minute and
	// upstream varies by 4%, which alone makes the busiest of 14 upstreams 6% busier.
	balanced = 180 * time.Second
	// coolDown lets the requests of the last measured phase end.
	coolDown = 6 * time.Second
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

// Comparisons returns scenarios without bounds, which tell policies apart where the
// scenarios of the targets do not.
func Comparisons() []Scenario {
	return []Scenario{
		{Name: "misleading-load-95", Config: fullConfig, Checks: fullChecks},
	}
}

// ScenarioByName returns a scenario; it reports false when there is none of that name.
func ScenarioByName(name string) (Scenario, bool) {
	for _, s := range append(Scenarios(), Comparisons()...) {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// Run executes the scenario on a deployment and returns the result with its checks.
func (s Scenario) Run(d Deployment, p Policy, seed uint64) (*Result, []Check) {
	c := s.Config(d)
	c.Policy = p
	c.Seed = seed
	r := Run(c)
	return r, s.Checks(r)
}

func steadyConfig(d Deployment) Config {
	return Config{Deployment: d, Phases: []Phase{
		{Name: "warm-up", Length: warmUp},
		{Name: "steady", Length: observed},
		{Name: "cool-down", Length: coolDown},
	}}
}

func steadyChecks(r *Result) []Check {
	p := r.Phase("steady")
	var out []Check
	for i := range p.Classes {
		out = append(out, atLeast("goodput "+p.Classes[i].Class, p.Classes[i].Goodput(), steadyGoodput))
	}
	out = append(out, p.latencyFigures()...)
	return append(out,
		atLeast("lowest effective slots", float64(r.LowestSlots), float64(r.slots)),
		atMost("flow imbalance", p.FlowImbalance, imbalance),
		atMost("slot overruns", float64(r.Overruns), 0))
}

func flooded(d Deployment, class int) []float64 {
	loads := make([]float64, len(d.Classes))
	for i, c := range d.Classes {
		loads[i] = c.Load
	}
	loads[class] = floodLoad
	return loads
}

func leastUrgentConfig(d Deployment) Config {
	loads := flooded(d, Pull)
	return Config{Deployment: d, Phases: []Phase{
		{Name: "warm-up", Length: warmUp},
		{Name: "steady", Length: steadyTime},
		{Name: "onset", Length: onset, Loads: loads},
		{Name: "flood", Length: longFlood, Loads: loads},
		{Name: "cool-down", Length: coolDown},
	}}
}

func leastUrgentChecks(r *Result) []Check {
	before, onset, flood := r.Phase("steady"), r.Phase("onset"), r.Phase("flood")
	var out []Check
	for i := range flood.Classes {
		if i == Pull {
			continue
		}
		b, f, o := &before.Classes[i], &flood.Classes[i], &onset.Classes[i]
		out = append(out,
			atLeast("goodput "+f.Class, f.Goodput()/b.Goodput(), urgentGoodput),
			atLeast("goodput at onset "+f.Class, o.Goodput()/b.Goodput(), urgentGoodput),
			atMost("p99 ratio "+f.Class, ratio(f.Quantile(99), b.Quantile(99)), urgentLatency),
			ofMean(atMost("p99 ratio at onset "+f.Class, ratio(o.Quantile(99), b.Quantile(99)), urgentLatency)))
	}
	return append(out,
		atLeast("lowest effective slots", float64(r.LowestSlots), float64(r.slots)),
		atMost("slot overruns", float64(r.Overruns), 0))
}

func mostUrgentConfig(d Deployment) Config {
	loads := flooded(d, Feed)
	for i, c := range d.Classes {
		if i != Feed {
			loads[i] = pressingLoad * c.Share
		}
	}
	return Config{Deployment: d, Phases: []Phase{
		{Name: "warm-up", Length: warmUp},
		{Name: "onset", Length: onset, Loads: loads},
		{Name: "flood", Length: shortFlood, Loads: loads},
	}}
}

// busyFloodConfig is mostUrgentConfig with the demand of the other classes from before the
// flood on.
func busyFloodConfig(d Deployment) Config {
	c := mostUrgentConfig(d)
	loads := slices.Clone(c.Phases[1].Loads)
	loads[Feed] = d.Classes[Feed].Load
	c.Phases = slices.Insert(c.Phases, 1, Phase{Name: "busy", Length: settling, Loads: loads})
	return c
}

func busyFloodChecks(r *Result) []Check {
	onset := r.Phase("onset")
	out := []Check{ofMean(atLeast("total goodput at onset", onset.Work(), totalGoodput))}
	for i := range onset.Classes {
		if i != Feed {
			name := "kept share at onset " + onset.Classes[i].Class
			out = append(out, atLeast(name, onset.keptShare(i, r), keptShare))
		}
	}
	return out
}

func mostUrgentChecks(r *Result) []Check {
	onset, flood := r.Phase("onset"), r.Phase("flood")
	out := []Check{
		atLeast("lowest effective slots", float64(r.LowestSlots), float64(r.slots)),
		atLeast("total goodput", flood.Work(), totalGoodput),
		ofMean(atLeast("total goodput at onset", onset.Work(), totalGoodput)),
		atMost("slot overruns", float64(r.Overruns), 0),
	}
	for i := range flood.Classes {
		if i == Feed {
			continue
		}
		name := flood.Classes[i].Class
		out = append(out, atLeast("kept share "+name, flood.keptShare(i, r), keptShare))
		if i == Pull {
			// Where no long request waits when the flood comes, the next one arrives 0.1 s
			// later on average. The bound holds in flood-while-busy, where they wait.
			out = append(out,
				plain("slot time at onset "+name, onset.Classes[i].Served/onset.Capacity/r.shares[i]),
				plain("kept share at onset "+name, onset.keptShare(i, r)))
			continue
		}
		out = append(out, ofMean(atLeast("kept share at onset "+name, onset.keptShare(i, r), keptShare)))
	}
	return out
}

// keptShare returns the work that a class got, relative to its guaranteed share.
func (p *PhaseResult) keptShare(class int, r *Result) float64 {
	return p.Classes[class].Work / p.Capacity / r.shares[class]
}

func recoveryConfig(d Deployment) Config {
	var phases []Phase
	phases = append(phases, Phase{Name: "warm-up", Length: warmUp}, Phase{Name: "steady", Length: steadyTime})
	for _, class := range []int{Pull, Feed} {
		name := d.Classes[class].Name
		phases = append(phases,
			Phase{Name: "flood " + name, Length: shortFlood, Loads: flooded(d, class)},
			Phase{Name: "settling " + name, Length: settling},
			Phase{Name: "after " + name, Length: afterFlood})
	}
	phases = append(phases, Phase{Name: "cool-down", Length: coolDown})
	return Config{Deployment: d, Phases: phases}
}

func recoveryChecks(r *Result) []Check {
	before := r.Phase("steady")
	var out []Check
	for _, flood := range []int{Pull, Feed} {
		after := r.Phase("after " + before.Classes[flood].Class)
		for i := range after.Classes {
			b, a := &before.Classes[i], &after.Classes[i]
			name := fmt.Sprintf(" %s after %s", a.Class, before.Classes[flood].Class)
			out = append(out,
				atLeast("goodput"+name, a.Goodput()/b.Goodput(), urgentGoodput),
				atMost("p99 ratio"+name, ratio(a.Quantile(99), b.Quantile(99)), recoveredFactor))
		}
	}
	return out
}

func misleadingConfig(d Deployment) Config {
	d.DataCentres = 1
	d.Upstreams = 15
	return Config{
		Deployment: d,
		Misleading: true,
		ColdAt:     warmUp,
		StallAt:    warmUp,
		Phases: []Phase{
			{Name: "warm-up", Length: warmUp},
			{Name: "settling", Length: steadyTime},
			{Name: "measured", Length: balanced},
		},
	}
}

func misleadingChecks(r *Result) []Check {
	p := r.Phase("measured")
	out := []Check{
		atMost("flow imbalance", p.FlowImbalance, imbalance),
		atMost("busy imbalance", p.BusyImbalance, imbalance),
	}
	return append(out, faultFigures(r)...)
}

// faultFigures returns what a stalled upstream costs and how even the flows are at worst.
func faultFigures(r *Result) []Check {
	before, p := r.Phase("settling"), r.Phase("measured")
	out := []Check{
		plain("highest flow imbalance", p.WorstFlows),
		plain("new flows on the stalled upstream", part(p.StalledOpens, p.Opens)),
		plain("flows that found no upstream", part(p.FailedOpens, p.Opens)),
	}
	for i := range p.Classes {
		name := p.Classes[i].Class
		out = append(out,
			plain("goodput right after the stall "+name, before.Classes[i].Goodput()),
			plain("goodput "+name, p.Classes[i].Goodput()))
	}
	return out
}

// highLoad is the load of the misleading-load-95 comparison.
const highLoad = 0.95

// fullConfig is misleadingConfig with highLoad of flows and requests instead of 80%.
func fullConfig(d Deployment) Config {
	c := misleadingConfig(d)
	c.FlowLoad = highLoad
	loads := make([]float64, len(d.Classes))
	for i, cl := range d.Classes {
		loads[i] = cl.Load * highLoad / usualFlows
	}
	for i := range c.Phases {
		c.Phases[i].Loads = loads
	}
	return c
}

func fullChecks(r *Result) []Check {
	p := r.Phase("measured")
	return append([]Check{
		plain("flow imbalance", p.FlowImbalance),
		plain("busy imbalance", p.BusyImbalance),
	}, faultFigures(r)...)
}

// wrongSlotsConfig lets every upstream declare one slot more than it has. The offered load
// is 80% of the real slots.
func wrongSlotsConfig(d Deployment) Config {
	real := d.Slots - 1
	loads := make([]float64, len(d.Classes))
	for i, c := range d.Classes {
		loads[i] = c.Load * float64(real) / float64(d.Slots)
	}
	return Config{Deployment: d, RealSlots: real, Phases: []Phase{
		{Name: "measured", Length: balanced, Loads: loads},
	}}
}

func wrongSlotsChecks(r *Result) []Check {
	return []Check{atMost("mean slots above the real ones", r.MeanSlots-float64(r.slots-1), slotError)}
}

// spillConfig overloads the first data centre: its callers need 1.3 times its slots while
// the other data centres have room.
func spillConfig(d Deployment) Config {
	n := float64(d.DataCentres)
	weights := make([]float64, d.DataCentres)
	first := spillSkew / n
	for i := range weights {
		weights[i] = (1 - first) / (n - 1)
	}
	weights[0] = first
	return Config{Deployment: d, DCWeights: weights, Phases: []Phase{
		{Name: "warm-up", Length: warmUp},
		{Name: "settling", Length: steadyTime},
		{Name: "measured", Length: observed},
		{Name: "cool-down", Length: coolDown},
	}}
}

// spillSkew is the load of the first data centre's callers relative to the mean.
const spillSkew = 1.6

func spillChecks(r *Result) []Check {
	p := r.Phase("measured")
	var out []Check
	for i := range p.Classes {
		out = append(out, atLeast("goodput "+p.Classes[i].Class, p.Classes[i].Goodput(), steadyGoodput))
	}
	out = append(out, p.latencyFigures()...)
	return append(out, plain("new flows in another data centre", p.SpillOver))
}
