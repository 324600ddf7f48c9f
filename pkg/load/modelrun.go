package load

import (
	"context"
	"maps"
	"math"
	"time"

	"rosemarygate/pkg/load/model"
)

var modelSummaries = map[string]string{
	"steady":             "offered load below capacity: goodput of every class",
	"flood-least-urgent": "the least urgent class offers 10 times the capacity",
	"flood-most-urgent":  "the most urgent class offers 10 times the capacity",
	"flood-while-busy":   "the most urgent class floods while the other classes offer twice their shares",
	"recovery":           "latency after floods of the least and the most urgent class",
	"misleading-load":    "a third of the upstreams report false or old loads, one is cold, one stalls",
	"wrong-slots":        "every upstream declares one slot more than it has",
	"spill-over":         "callers of one data centre offer more load than its upstreams can carry",
}

func modelScenarios() []Scenario {
	var out []Scenario
	for _, m := range model.Scenarios() {
		summary := modelSummaries[m.Name]
		if summary == "" {
			summary = "admission and selection on a virtual clock"
		}
		out = append(out, Scenario{Name: m.Name, Summary: summary + " (model)", hasNaivePolicy: true, run: runModel})
	}
	return out
}

// runModel runs a scenario of the model on the selected deployment, or on both.
func runModel(ctx context.Context, s Scenario, o Options) (*Report, error) {
	m, ok := model.ScenarioByName(s.Name)
	if !ok {
		return nil, usageErrorf("scenario %q is not part of the model: use --list", s.Name)
	}
	deployments, err := modelDeployments(o.Deployment)
	if err != nil {
		return nil, err
	}
	policies := []model.Policy{model.Ours, model.Naive}
	if o.Policy != "" {
		policies = []model.Policy{model.Policy(o.Policy)}
	}
	started := time.Now()
	rep := &Report{Scenario: s.Name, Mode: "model", Seed: o.Seed}
	for _, d := range deployments {
		for _, p := range policies {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			o.Progress(d.Name + ", policy " + string(p))
			result, checks := m.Run(d, p, o.Seed)
			rep.addModelResult(result, checks, p == model.Naive && len(policies) > 1)
		}
	}
	rep.Seconds = time.Since(started).Seconds()
	return rep, nil
}

func modelDeployments(name string) ([]model.Deployment, error) {
	all := []model.Deployment{model.Karri(), model.Guild()}
	if name == "" {
		return all, nil
	}
	for _, d := range all {
		if d.Name == name {
			return []model.Deployment{d}, nil
		}
	}
	return nil, usageErrorf("deployment %q is unknown: use karri or guild", name)
}

func (r *Report) addModelResult(m *model.Result, checks []model.Check, baseline bool) {
	for _, p := range m.Phases {
		r.Results = append(r.Results, modelResult(m, p))
	}
	for _, c := range checks {
		if math.IsNaN(c.Bound) {
			continue // a value without a bound; the results show it
		}
		check := Check{Name: m.Deployment + " " + c.Name, Value: c.Value, Bound: c.Bound, OK: c.IsWithinBound(c.Value)}
		if baseline {
			r.BaselineChecks = append(r.BaselineChecks, check)
		} else {
			r.Checks = append(r.Checks, check)
		}
	}
}

func modelResult(m *model.Result, p *model.PhaseResult) Result {
	out := Result{
		Deployment: m.Deployment, Policy: string(m.Policy), Phase: p.Phase.Name,
		Imbalance: p.FlowImbalance, RetriesByReason: maps.Clone(p.Retries),
		Figures: map[string]float64{"busy_imbalance": p.BusyImbalance, "spill_over": p.SpillOver, "work": p.TotalGoodput()},
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		out.Classes = append(out.Classes, Class{
			Name: c.Class, Offered: c.Offered, Answered: c.AnsweredInTime, MissedDeadline: c.AnsweredLate, Refused: c.Unanswered,
			Goodput: c.Goodput(), P50: milliseconds(c.Quantile(50)), P99: milliseconds(c.Quantile(99)),
			P999: milliseconds(c.Quantile(99.9)), Max: milliseconds(c.Quantile(100)), RefusedByReason: maps.Clone(c.RefusedByReason),
		})
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
