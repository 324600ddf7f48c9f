package model

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
)

// TestReport prints the scenario named by MODEL_REPORT ("all" for every one) as a table that
// compares the policies over all seeds.
func TestReport(t *testing.T) {
	scenarioName := os.Getenv("MODEL_REPORT")
	if scenarioName == "" {
		t.Skip("MODEL_REPORT is not set to a scenario or to all")
	}
	for _, s := range append(Scenarios(), Comparisons()...) {
		if scenarioName != "all" && scenarioName != s.Name {
			continue
		}
		for _, d := range []Deployment{Karri(), Guild()} {
			fmt.Print(scenarioTable(s, d))
		}
	}
}

func scenarioTable(s Scenario, d Deployment) string {
	policies := []Policy{Ours, Naive, Bounded}
	if s.Name == "spill-over" {
		policies = append(policies, Threshold)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "\n### %s, %s\n\n| figure | bound |", s.Name, d.Name)
	columns := make([][]seedValues, len(policies))
	for i, p := range policies {
		columns[i] = runSeeds(s, d, p)
		fmt.Fprintf(&b, " %s |", p)
	}
	fmt.Fprintf(&b, "\n| --- | --- |%s\n", strings.Repeat(" --- |", len(policies)))
	for i, f := range columns[0] {
		fmt.Fprintf(&b, "| %s | %s |", f.Name, boundText(f.Check))
		for _, c := range columns {
			fmt.Fprintf(&b, " %s |", cellText(&c[i]))
		}
		b.WriteString("\n")
	}
	return b.String()
}

func boundText(c Check) string {
	text := "none"
	switch {
	case math.IsNaN(c.Bound):
	case c.IsLowerBound:
		text = fmt.Sprintf("at least %.4g", c.Bound)
	default:
		text = fmt.Sprintf("at most %.4g", c.Bound)
	}
	if c.AppliesToMean {
		text += ", mean"
	}
	return text
}

// cellText returns the mean, the range and the number of runs within the bound.
func cellText(f *seedValues) string {
	text := fmt.Sprintf("%.4g (%.4g to %.4g)", f.mean(), slices.Min(f.values), slices.Max(f.values))
	if math.IsNaN(f.Bound) || f.AppliesToMean {
		return text
	}
	return fmt.Sprintf("%s, %d of %d", text, f.withinBound, len(f.values))
}
