package load

import (
	"context"
	"slices"
	"time"

	"rosemarygate/pkg/load/packets"
)

// Targets of the experiments on packet forwarding.
const (
	// burstInTime is how many more requests a burst serves in time than with every flow placed, in one
	// run and in the mean of ten. burstServed is what it keeps of all that are served then.
	burstInTime     = 1.0
	meanBurstInTime = 1.25
	burstServed     = 0.95
	// urgentUnserved is the unserved share of urgent requests, relative to that of the others.
	urgentUnserved = 0.5
	// keptInFlood is the share of the other requests that are served in a flood of urgent ones, in one
	// run and in the mean of ten.
	keptInFlood     = 0.90
	meanKeptInFlood = 0.95
	// afterBurst is the share of requests in time after a burst, relative to that before it.
	afterBurst = 0.99
	// failedTries is the share of tries at failing upstreams, relative to random placement, and
	// lateRequests that of late requests beside slow ones.
	failedTries  = 0.5
	lateRequests = 0.75
)

// Names of the checks whose means over seeds have bounds of their own.
const (
	inTimeCheck = "in time, over every flow placed"
	keptCheck   = "others served in the flood"
)

func packetScenarios() []Scenario {
	var out []Scenario
	for _, p := range packets.Patterns() {
		out = append(out, Scenario{Name: p.Name, Summary: p.Summary + " (model)", run: runPackets})
	}
	return out
}

// runPackets plays a load pattern with our placement and with plain ones.
func runPackets(ctx context.Context, s Scenario, o Options) (*Report, error) {
	p, ok := packets.PatternByName(s.Name)
	if !ok {
		return nil, usageErrorf("scenario %q is no load pattern of packets: use --list", s.Name)
	}
	deployments, err := packetDeployments(o.Deployment)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	rep := &Report{Scenario: s.Name, Mode: "model", Seed: o.Seed}
	for _, d := range deployments {
		results := map[packets.Placement]*packets.Result{}
		for _, placement := range slices.Concat([]packets.Placement{packets.Ours}, p.Baselines) {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			o.Progress(d.Name + ", placement " + string(placement))
			results[placement] = packets.Run(d, p, placement, o.Seed)
			rep.addPackets(results[placement])
		}
		rep.Checks = append(rep.Checks, packetChecks(d.Name, results)...)
	}
	rep.Seconds = time.Since(started).Seconds()
	return rep, nil
}

func packetDeployments(name string) ([]packets.Deployment, error) {
	all := []packets.Deployment{packets.Karri(), packets.Guild()}
	if name == "" {
		return all, nil
	}
	for _, d := range all {
		if d.Name == name {
			return []packets.Deployment{d}, nil
		}
	}
	return nil, usageErrorf("deployment %q is unknown: use karri or guild", name)
}

func (r *Report) addPackets(m *packets.Result) {
	for _, p := range m.Phases {
		out := Result{
			Deployment: m.Deployment, Policy: string(m.Placement), Phase: p.Phase.Name, Imbalance: p.Imbalance,
			Retries: map[string]int{"rejected": p.Failed, "refused": p.Refused},
			Figures: map[string]float64{"in_time": float64(p.InTime())},
		}
		for _, c := range []struct {
			name  string
			class *packets.Class
		}{{"urgent", &p.Urgent}, {"usual", &p.Usual}} {
			q := func(quantile float64) float64 { return float64(c.class.Latency.ValueAtQuantile(quantile)) / 1000 }
			out.Classes = append(out.Classes, Class{
				Class: c.name, Offered: c.class.Asked, Answered: c.class.Served(), Refused: c.class.Unserved,
				Goodput: float64(c.class.InTime) / float64(max(c.class.Asked, 1)), P50: q(50), P99: q(99), P999: q(99.9), Max: q(100),
			})
		}
		r.Results = append(r.Results, out)
	}
}

// packetChecks compares our placement with the baselines of a pattern.
func packetChecks(deployment string, results map[packets.Placement]*packets.Result) []Check {
	ours := results[packets.Ours]
	var out []Check
	if burst := ours.Phase(packets.Burst); burst != nil {
		placed := results[packets.Unrefused].Phase(packets.Burst)
		out = append(out,
			atLeast(inTimeCheck, share(burst.InTime(), burst.Asked())/share(placed.InTime(), placed.Asked()), burstInTime),
			atLeast("served, over every flow placed", share(burst.Served(), burst.Asked())/share(placed.Served(), placed.Asked()), burstServed),
			atMost("unserved urgent requests, over the others", burst.Urgent.UnservedShare()/burst.Usual.UnservedShare(), urgentUnserved),
		)
	}
	if flood := ours.Phase(packets.Flood); flood != nil {
		placed := results[packets.Unrefused].Phase(packets.Flood)
		out = append(out,
			atLeast(keptCheck, share(flood.Usual.Served(), flood.Usual.Asked), keptInFlood),
			atLeast(inTimeCheck, share(flood.InTime(), flood.Asked())/share(placed.InTime(), placed.Asked()), burstInTime),
		)
	}
	if after := ours.Phase(packets.After); after != nil {
		calm := ours.Phase(packets.Calm)
		out = append(out,
			atMost("unserved after the burst", float64(after.Asked()-after.Served()), 0),
			atLeast("in time after the burst, over before", share(after.InTime(), after.Asked())/share(calm.InTime(), calm.Asked()), afterBurst),
		)
	}
	if fault := ours.Phase(packets.Fault); fault != nil {
		random := results[packets.Random].Phase(packets.Fault)
		if fault.Phase.FailingShare > 0 {
			out = append(out, atMost("rejected tries, over random", share(fault.Failed, fault.Asked())/share(random.Failed, random.Asked()), failedTries))
		} else {
			out = append(out, atMost("late requests, over random", share(fault.Served()-fault.InTime(), fault.Asked())/share(random.Served()-random.InTime(), random.Asked()), lateRequests))
		}
	}
	for i := range out {
		out[i].Name = deployment + " " + out[i].Name
	}
	return out
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }
