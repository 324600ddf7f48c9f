package load

import (
	"context"
	"slices"
	"strings"
	"time"

	"rosemarygate/pkg/load/packets"
)

// Targets of the experiments on packet forwarding.
const (
	// minBurstInTimeRatio bounds the requests served in time during a burst, relative to placement
	// without refusals: in one run, and minMeanBurstInTimeRatio in the mean of ten.
	// minBurstServedRatio is the same for all served requests.
	minBurstInTimeRatio     = 1.0
	minMeanBurstInTimeRatio = 1.25
	minBurstServedRatio     = 0.95
	// maxUrgentUnservedRatio bounds the unserved share of urgent requests, relative to that of the
	// others.
	maxUrgentUnservedRatio = 0.5
	// minKeptInFlood bounds the share of the other requests that are served during a flood of urgent
	// ones, in one run and, with minMeanKeptInFlood, in the mean of ten.
	minKeptInFlood     = 0.90
	minMeanKeptInFlood = 0.95
	// minAfterBurstRatio bounds the share of requests served in time after a burst, relative to that
	// before it.
	minAfterBurstRatio = 0.99
	// maxRejectedRatio bounds the rejected attempts with failing upstreams, and maxLateRatio the late
	// requests with slow ones, both relative to random placement.
	maxRejectedRatio = 0.5
	maxLateRatio     = 0.75
	// maxUnservedAtPeak bounds the unserved share of the requests while a data centre is full and others have
	// room, and maxRefusedRatio the refused attempts, relative to refusals by all rejections.
	maxUnservedAtPeak = 0.005
	maxRefusedRatio   = 0.5
)

// Names of the checks that also have a bound for the mean over seeds.
const (
	inTimeCheckName      = "in time, over every flow placed"
	keptInFloodCheckName = "others served in the flood"
	byRejectionsName     = "in time, over admission by rejections"
)

func packetScenarios() []Scenario {
	var out []Scenario
	for _, p := range packets.Patterns() {
		out = append(out, Scenario{Name: p.Name, Summary: p.Summary + " (model)", run: runPackets})
	}
	return out
}

// runPackets simulates a load pattern with our placement and with the baselines.
func runPackets(ctx context.Context, s Scenario, o Options) (*Report, error) {
	p, ok := packets.PatternByName(s.Name)
	if !ok {
		return nil, usageErrorf("scenario %q is not a load pattern for packets: use --list", s.Name)
	}
	deployments, err := packetDeployments(p, o.Deployment)
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
			rep.addPacketsResult(results[placement])
		}
		rep.Checks = append(rep.Checks, packetChecks(d.Name, results)...)
	}
	rep.Seconds = time.Since(started).Seconds()
	return rep, nil
}

func packetDeployments(p packets.Pattern, name string) ([]packets.Deployment, error) {
	all := p.Deployments
	if all == nil {
		all = []packets.Deployment{packets.Karri(), packets.Guild(), packets.Magnolia()}
	}
	if name == "" {
		return all, nil
	}
	var names []string
	for _, d := range all {
		names = append(names, d.Name)
		if d.Name == name {
			return []packets.Deployment{d}, nil
		}
	}
	return nil, usageErrorf("deployment %q is unknown: the pattern has %s", name, strings.Join(names, ", "))
}

func (r *Report) addPacketsResult(m *packets.Result) {
	for _, p := range m.Phases {
		out := Result{
			Deployment: m.Deployment, Policy: string(m.Placement), Phase: p.Phase.Name, Imbalance: p.Imbalance,
			RetriesByReason: map[string]int{"rejected": p.RejectedAttempts, "refused": p.RefusedAttempts},
			Figures:         map[string]float64{"in_time": float64(p.ServedInTime())},
		}
		for _, c := range []struct {
			name  string
			class *packets.Class
		}{{"urgent", &p.Urgent}, {"usual", &p.Usual}} {
			q := func(quantile float64) float64 { return float64(c.class.Latency.ValueAtQuantile(quantile)) / 1000 }
			out.Classes = append(out.Classes, Class{
				Name: c.name, Offered: c.class.Offered, Answered: c.class.Served(), Refused: c.class.Unserved,
				Goodput: float64(c.class.ServedInTime) / float64(max(c.class.Offered, 1)), P50: q(50), P99: q(99), P999: q(99.9), Max: q(100),
			})
		}
		r.Results = append(r.Results, out)
	}
}

// packetChecks compares our placement with the baselines of a pattern.
func packetChecks(deployment string, results map[packets.Placement]*packets.Result) []Check {
	ours := results[packets.Ours]
	var out []Check
	if burst := ours.Phase(packets.BurstPhase); burst != nil {
		withoutRefusal := results[packets.OursWithoutRefusal].Phase(packets.BurstPhase)
		out = append(out,
			atLeast(inTimeCheckName, share(burst.ServedInTime(), burst.Offered())/share(withoutRefusal.ServedInTime(), withoutRefusal.Offered()), minBurstInTimeRatio),
			overByRejections(packets.BurstPhase, results),
			atLeast("served, over every flow placed", share(burst.Served(), burst.Offered())/share(withoutRefusal.Served(), withoutRefusal.Offered()), minBurstServedRatio),
			atMost("unserved urgent requests, over the others", burst.Urgent.UnservedShare()/burst.Usual.UnservedShare(), maxUrgentUnservedRatio),
		)
	}
	if flood := ours.Phase(packets.FloodPhase); flood != nil {
		withoutRefusal := results[packets.OursWithoutRefusal].Phase(packets.FloodPhase)
		out = append(out,
			overByRejections(packets.FloodPhase, results),
			atLeast(keptInFloodCheckName, share(flood.Usual.Served(), flood.Usual.Offered), minKeptInFlood),
			atLeast(inTimeCheckName, share(flood.ServedInTime(), flood.Offered())/share(withoutRefusal.ServedInTime(), withoutRefusal.Offered()), minBurstInTimeRatio),
		)
	}
	if peak := ours.Phase(packets.PeakPhase); peak != nil {
		byAll := results[packets.OursByAllRejections].Phase(packets.PeakPhase)
		out = append(out,
			atMost("unserved while other data centres have room", share(peak.Offered()-peak.Served(), peak.Offered()), maxUnservedAtPeak),
			atMost("refused, over counting all rejections", share(peak.RefusedAttempts, peak.Offered())/share(max(byAll.RefusedAttempts, 1), byAll.Offered()), maxRefusedRatio),
		)
	}
	if after := ours.Phase(packets.AfterPhase); after != nil {
		calm := ours.Phase(packets.CalmPhase)
		out = append(out,
			atMost("unserved after the burst", float64(after.Offered()-after.Served()), 0),
			atLeast("in time after the burst, over before", share(after.ServedInTime(), after.Offered())/share(calm.ServedInTime(), calm.Offered()), minAfterBurstRatio),
		)
	}
	if fault := ours.Phase(packets.FaultPhase); fault != nil {
		random := results[packets.Random].Phase(packets.FaultPhase)
		if fault.Phase.FailingShare > 0 {
			out = append(out, atMost("rejected tries, over random", share(fault.RejectedAttempts, fault.Offered())/share(random.RejectedAttempts, random.Offered()), maxRejectedRatio))
		} else {
			out = append(out, atMost("late requests, over random", share(fault.Served()-fault.ServedInTime(), fault.Offered())/share(random.Served()-random.ServedInTime(), random.Offered()), maxLateRatio))
		}
	}
	for i := range out {
		out[i].Name = deployment + " " + out[i].Name
	}
	return out
}

// overByRejections compares the requests served in time with those of admission by rejections alone.
func overByRejections(phase string, results map[packets.Placement]*packets.Result) Check {
	ours, byRejections := results[packets.Ours].Phase(phase), results[packets.OursByRejections].Phase(phase)
	return atLeast(byRejectionsName, share(ours.ServedInTime(), ours.Offered())/share(byRejections.ServedInTime(), byRejections.Offered()), minBurstInTimeRatio)
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }
