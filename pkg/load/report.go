package load

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
)

// Report is the result of one run of a scenario.
type Report struct {
	Scenario       string   `json:"scenario"`
	Mode           string   `json:"mode"` // "live" or "model"
	Seed           uint64   `json:"seed"`
	Seconds        float64  `json:"seconds"`            // wall-clock time of the run
	ScheduleDigest string   `json:"schedule,omitempty"` // digest of the planned arrivals of a live run
	Results        []Result `json:"results"`
	Checks         []Check  `json:"checks"`
	// BaselineChecks are the checks of the naive policy for comparison; they may fail.
	BaselineChecks []Check `json:"baseline_checks,omitempty"`
}

// Result is the outcome of one policy on one deployment in one phase.
type Result struct {
	Deployment      string             `json:"deployment"`
	Policy          string             `json:"policy"`
	Phase           string             `json:"phase"`
	Classes         []Class            `json:"classes"`
	FlowsBroken     int                `json:"flows_broken"`
	Imbalance       float64            `json:"imbalance"` // busiest upstream over the mean
	RetriesByReason map[string]int     `json:"retries_by_reason"`
	Figures         map[string]float64 `json:"figures,omitempty"`
}

// Class has the outcomes that callers of one request class saw. Latencies cover answered requests.
type Class struct {
	Name            string         `json:"class"`
	Offered         int            `json:"offered"`
	Answered        int            `json:"answered"`
	Refused         int            `json:"refused"` // not run, after all attempts
	Unknown         int            `json:"unknown"`
	MissedDeadline  int            `json:"deadline"` // not answered before the deadline
	Goodput         float64        `json:"goodput"`  // share of offered requests that were answered in time
	P50             float64        `json:"p50_ms"`
	P99             float64        `json:"p99_ms"`
	P999            float64        `json:"p999_ms"`
	Max             float64        `json:"max_ms"`
	RefusedByReason map[string]int `json:"refused_by_reason"` // counts every attempt
}

// Check compares a measured value with a target of section 1.5 of the design.
type Check struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Bound float64 `json:"bound"`
	OK    bool    `json:"ok"`
}

func atMost(name string, value, bound float64) Check {
	return Check{Name: name, Value: value, Bound: bound, OK: value <= bound}
}

func atLeast(name string, value, bound float64) Check {
	return Check{Name: name, Value: value, Bound: bound, OK: value >= bound}
}

// OK reports whether every check holds.
func (r *Report) OK() bool {
	return !slices.ContainsFunc(r.Checks, func(c Check) bool { return !c.OK })
}

// Formats lists the report formats; the first one is the default.
var Formats = []string{"text", "json", "csv"}

// Write writes the report in one of the Formats.
func (r *Report) Write(w io.Writer, format string) error {
	switch format {
	case "json":
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	case "csv":
		return r.writeCSV(w)
	default:
		return r.writeText(w)
	}
}

func (r *Report) writeText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "scenario %s (%s), seed %d, %.1f s\n", r.Scenario, r.Mode, r.Seed, r.Seconds)
	for _, s := range r.Results {
		s.writeText(tw)
	}
	writeChecks(tw, "check", r.Checks)
	writeChecks(tw, "naive baseline", r.BaselineChecks)
	return tw.Flush()
}

func (s *Result) writeText(w io.Writer) {
	fmt.Fprintf(w, "\n%s, policy %s, %s: flows broken %d, imbalance %.3f\n", s.Deployment, s.Policy, s.Phase, s.FlowsBroken, s.Imbalance)
	fmt.Fprintln(w, "class\toffered\tanswered\trefused\tunknown\tdeadline\tgoodput\tp50 ms\tp99 ms\tp99.9 ms\tmax ms")
	for _, c := range s.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.4f\t%.1f\t%.1f\t%.1f\t%.1f\n", c.Name, c.Offered, c.Answered,
			c.Refused, c.Unknown, c.MissedDeadline, c.Goodput, c.P50, c.P99, c.P999, c.Max)
		for _, reason := range slices.Sorted(maps.Keys(c.RefusedByReason)) {
			fmt.Fprintf(w, "  refused %s\t%d\n", reason, c.RefusedByReason[reason])
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(s.RetriesByReason)) {
		fmt.Fprintf(w, "retries %s\t%d\n", reason, s.RetriesByReason[reason])
	}
	for _, name := range slices.Sorted(maps.Keys(s.Figures)) {
		fmt.Fprintf(w, "%s\t%s\n", name, formatNumber(s.Figures[name]))
	}
}

func writeChecks(w io.Writer, title string, checks []Check) {
	if len(checks) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%s\tvalue\tbound\tresult\n", title)
	for _, c := range checks {
		result := "ok"
		if !c.OK {
			result = "FAILED"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", c.Name, formatNumber(c.Value), formatNumber(c.Bound), result)
	}
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }

// writeCSV writes one row for each figure and check.
func (r *Report) writeCSV(w io.Writer) error {
	cw := csv.NewWriter(w)
	rows := [][]string{{"kind", "deployment", "policy", "phase", "class", "name", "value", "bound", "ok"}}
	for _, s := range r.Results {
		rows = append(rows, s.csvRows()...)
	}
	for _, c := range r.Checks {
		rows = append(rows, csvCheckRow("check", c))
	}
	for _, c := range r.BaselineChecks {
		rows = append(rows, csvCheckRow("baseline", c))
	}
	return cw.WriteAll(rows)
}

func csvCheckRow(kind string, c Check) []string {
	return []string{kind, "", "", "", "", c.Name, formatNumber(c.Value), formatNumber(c.Bound), strconv.FormatBool(c.OK)}
}

func (s *Result) csvRows() [][]string {
	var rows [][]string
	add := func(class, name string, value float64) {
		rows = append(rows, []string{"figure", s.Deployment, s.Policy, s.Phase, class, name, formatNumber(value), "", ""})
	}
	for _, c := range s.Classes {
		add(c.Name, "offered", float64(c.Offered))
		add(c.Name, "answered", float64(c.Answered))
		add(c.Name, "refused", float64(c.Refused))
		add(c.Name, "unknown", float64(c.Unknown))
		add(c.Name, "deadline", float64(c.MissedDeadline))
		add(c.Name, "goodput", c.Goodput)
		add(c.Name, "p50_ms", c.P50)
		add(c.Name, "p99_ms", c.P99)
		add(c.Name, "p999_ms", c.P999)
		add(c.Name, "max_ms", c.Max)
		for _, reason := range slices.Sorted(maps.Keys(c.RefusedByReason)) {
			add(c.Name, "refused "+reason, float64(c.RefusedByReason[reason]))
		}
	}
	add("", "flows_broken", float64(s.FlowsBroken))
	add("", "imbalance", s.Imbalance)
	for _, reason := range slices.Sorted(maps.Keys(s.RetriesByReason)) {
		add("", "retries "+reason, float64(s.RetriesByReason[reason]))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Figures)) {
		add("", name, s.Figures[name])
	}
	return rows
}
