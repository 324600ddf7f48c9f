package model

import (
	"os"
	"testing"
	"time"
)

// TestReport prints the figures of every scenario and policy when MODEL_REPORT is set.
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
				begin := time.Now()
				r, checks := s.Run(d, p, 1)
				t.Logf("%s %s %s: %d events in %v, overruns %d", s.Name, d.Name, p, r.Events, time.Since(begin).Round(time.Millisecond), r.Overruns)
				for _, ph := range r.Phases {
					t.Logf("  %-16s work %.3f flows %.3f busy %.3f spill %.3f retries %v", ph.Phase.Name, ph.Work(), ph.FlowImbalance, ph.BusyImbalance, ph.SpillOver, ph.Retries)
					for i := range ph.Classes {
						c := &ph.Classes[i]
						t.Logf("    %-8s goodput %.4f of %d, p50 %v p99 %v p99.9 %v share %.3f refused %v", c.Class, c.Goodput(), c.Offered, c.Quantile(50), c.Quantile(99), c.Quantile(99.9), c.Work/ph.Capacity, c.Refused)
					}
				}
				for _, c := range checks {
					t.Logf("  check %-28s %8.4f bound %6.3f ok %v", c.Name, c.Value, c.Bound, c.OK)
				}
			}
		}
	}
}
