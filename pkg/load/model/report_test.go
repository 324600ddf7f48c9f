package model

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
)

// TestReport prints a scenario as a table with all policies side by side over all seeds
// when MODEL_REPORT names it (or is "all").
func TestReport(t *testing.T) {
	want := os.Getenv("MODEL_REPORT")
	if want == "" {
		t.Skip("MODEL_REPORT is not set to a scenario or to all")
	}
	for _, s := range append(Scenarios(), Comparisons()...) {
		if want != "all" && want != s.Name {
			continue
		}
		for _, d := range []Deployment{Karri(), Guild()} {
			fmt.Print(report(s, d))
		}
	}
}

func report(s Scenario, d Deployment) string {
	policies := []Policy{Ours, Naive, Bounded}
	if s.Name == "spill-over" {
		policies = append(policies, Threshold)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "\n### %s, %s\n\n| figure | bound |", s.Name, d.Name)
	columns := make([][]figure, len(policies))
	for i, p := range policies {
		columns[i] = measure(s, d, p)
		fmt.Fprintf(&b, " %s |", p)
	}
	fmt.Fprintf(&b, "\n| --- | --- |%s\n", strings.Repeat(" --- |", len(policies)))
	for i, f := range columns[0] {
		fmt.Fprintf(&b, "| %s | %s |", f.Name, bound(f.Check))
		for _, c := range columns {
			fmt.Fprintf(&b, " %s |", cell(&c[i]))
		}
		b.WriteString("\n")
	}
	return b.String()
}

func bound(c Check) string {
	text := "none"
	switch {
	case math.IsNaN(c.Bound):
	case c.Least:
		text = fmt.Sprintf("at least %.4g", c.Bound)
	default:
		text = fmt.Sprintf("at most %.4g", c.Bound)
	}
	if c.OfMean {
		text += ", mean"
	}
	return text
}

// cell shows the mean, the spread and how many runs are within the bound.
func cell(f *figure) string {
	text := fmt.Sprintf("%.4g (%.4g to %.4g)", f.mean(), slices.Min(f.values), slices.Max(f.values))
	if math.IsNaN(f.Bound) || f.OfMean {
		return text
	}
	return fmt.Sprintf("%s, %d of %d", text, f.within, len(f.values))
}
