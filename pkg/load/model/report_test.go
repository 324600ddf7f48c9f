package model

import (
	"os"
	"sync"
	"testing"
	"time"
)

// TestReport prints the figures of a scenario for every policy over all seeds when
// MODEL_REPORT names it (or is "all").
func TestReport(t *testing.T) {
	want := os.Getenv("MODEL_REPORT")
	if want == "" {
		t.Skip("MODEL_REPORT is not set to a scenario or to all")
	}
	for _, s := range Scenarios() {
		if want != "all" && want != s.Name {
			continue
		}
		for _, d := range []Deployment{Karri(), Guild()} {
			for _, p := range []Policy{Ours, Naive, Threshold} {
				report(t, s, d, p)
			}
		}
	}
}

func report(t *testing.T, s Scenario, d Deployment, p Policy) {
	var results [seeds]*Result
	var checks [seeds][]Check
	var wg sync.WaitGroup
	begin := time.Now()
	for seed := range seeds {
		wg.Go(func() { results[seed], checks[seed] = s.Run(d, p, uint64(seed)) })
	}
	wg.Wait()
	events := 0
	for _, r := range results {
		events += r.Events
	}
	t.Logf("%s %s %s: %d events in %v for %d seeds", s.Name, d.Name, p, events, time.Since(begin).Round(time.Millisecond), seeds)
	for i, c := range checks[0] {
		sum, low, high, ok := 0.0, c.Value, c.Value, 0
		for seed := range checks {
			v := checks[seed][i]
			sum += v.Value / seeds
			low, high = min(low, v.Value), max(high, v.Value)
			if v.OK {
				ok++
			}
		}
		t.Logf("  %-32s mean %.4g, %.4g to %.4g, bound %.4g, %d of %d ok", c.Name, sum, low, high, c.Bound, ok, seeds)
	}
	for i, ph := range results[0].Phases {
		t.Logf("  %s: work %.3f, spill-over %.3f, retries %v", ph.Phase.Name, ph.Work(), ph.SpillOver, ph.Retries)
		for j, c := range ph.Classes {
			goodput := 0.0
			latency := c.Latency
			for _, r := range results[1:] {
				goodput += r.Phases[i].Classes[j].Goodput()
				latency.Merge(r.Phases[i].Classes[j].Latency)
			}
			t.Logf("    %-8s goodput %.4f, p50 %v, p99 %v, refused (seed 0) %v", c.Class, (goodput+c.Goodput())/seeds, c.Quantile(50), c.Quantile(99), c.Refused)
		}
	}
}
