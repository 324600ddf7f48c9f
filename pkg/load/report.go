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
	Scenario string   `json:"scenario"`
	Mode     string   `json:"mode"` // "live" or "model"
	Seed     uint64   `json:"seed"`
	Seconds  float64  `json:"seconds"`            // wall-clock time of the run
	Schedule string   `json:"schedule,omitempty"` // digest of the planned arrivals of a live run
	Results  []Result `json:"results"`
	Checks   []Check  `json:"checks"`
	// Baseline are the checks of the naive policy next to ours; they may fail.
	Baseline []Check `json:"baseline_checks,omitempty"`
}

// Result is what one policy gave one deployment in one phase.
type Result struct {
	Deployment  string             `json:"deployment"`
	Policy      string             `json:"policy"`
	Phase       string             `json:"phase"`
	Classes     []Class            `json:"classes"`
	FlowsBroken int                `json:"flows_broken"`
	Imbalance   float64            `json:"imbalance"` // busiest upstream over mean
	Retries     map[string]int     `json:"retries_by_reason"`
	Figures     map[string]float64 `json:"figures,omitempty"`
}

// Class is what callers of one request class saw. Latencies cover answered requests.
type Class struct {
	Class    string         `json:"class"`
	Offered  int            `json:"offered"`
	Answered int            `json:"answered"`
	Refused  int            `json:"refused"` // not run, after all attempts
	Unknown  int            `json:"unknown"`
	Deadline int            `json:"deadline"` // not answered in time
	Goodput  float64        `json:"goodput"`  // answered in time over offered
	P50      float64        `json:"p50_ms"`
	P99      float64        `json:"p99_ms"`
	P999     float64        `json:"p999_ms"`
	Max      float64        `json:"max_ms"`
	Reasons  map[string]int `json:"refused_by_reason"` // each attempt
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

// Formats are the names of the report formats; the first is the default.
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
	writeChecks(tw, "naive baseline", r.Baseline)
	return tw.Flush()
}

func (s *Result) writeText(w io.Writer) {
	fmt.Fprintf(w, "\n%s, policy %s, %s: flows broken %d, imbalance %.3f\n", s.Deployment, s.Policy, s.Phase, s.FlowsBroken, s.Imbalance)
	fmt.Fprintln(w, "class\toffered\tanswered\trefused\tunknown\tdeadline\tgoodput\tp50 ms\tp99 ms\tp99.9 ms\tmax ms")
	for _, c := range s.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.4f\t%.1f\t%.1f\t%.1f\t%.1f\n", c.Class, c.Offered, c.Answered,
			c.Refused, c.Unknown, c.Deadline, c.Goodput, c.P50, c.P99, c.P999, c.Max)
		for _, reason := range slices.Sorted(maps.Keys(c.Reasons)) {
			fmt.Fprintf(w, "  refused %s\t%d\n", reason, c.Reasons[reason])
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(s.Retries)) {
		fmt.Fprintf(w, "retries %s\t%d\n", reason, s.Retries[reason])
	}
	for _, name := range slices.Sorted(maps.Keys(s.Figures)) {
		fmt.Fprintf(w, "%s\t%s\n", name, number(s.Figures[name]))
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
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", c.Name, number(c.Value), number(c.Bound), result)
	}
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }

// writeCSV writes one row for each figure and check.
func (r *Report) writeCSV(w io.Writer) error {
	cw := csv.NewWriter(w)
	rows := [][]string{{"kind", "deployment", "policy", "phase", "class", "name", "value", "bound", "ok"}}
	for _, s := range r.Results {
		rows = append(rows, s.rows()...)
	}
	for _, c := range r.Checks {
		rows = append(rows, checkRow("check", c))
	}
	for _, c := range r.Baseline {
		rows = append(rows, checkRow("baseline", c))
	}
	return cw.WriteAll(rows)
}

func checkRow(kind string, c Check) []string {
	return []string{kind, "", "", "", "", c.Name, number(c.Value), number(c.Bound), strconv.FormatBool(c.OK)}
}

func (s *Result) rows() [][]string {
	var rows [][]string
	add := func(class, name string, value float64) {
		rows = append(rows, []string{"figure", s.Deployment, s.Policy, s.Phase, class, name, number(value), "", ""})
	}
	for _, c := range s.Classes {
		add(c.Class, "offered", float64(c.Offered))
		add(c.Class, "answered", float64(c.Answered))
		add(c.Class, "refused", float64(c.Refused))
		add(c.Class, "unknown", float64(c.Unknown))
		add(c.Class, "deadline", float64(c.Deadline))
		add(c.Class, "goodput", c.Goodput)
		add(c.Class, "p50_ms", c.P50)
		add(c.Class, "p99_ms", c.P99)
		add(c.Class, "p999_ms", c.P999)
		add(c.Class, "max_ms", c.Max)
		for _, reason := range slices.Sorted(maps.Keys(c.Reasons)) {
			add(c.Class, "refused "+reason, float64(c.Reasons[reason]))
		}
	}
	add("", "flows_broken", float64(s.FlowsBroken))
	add("", "imbalance", s.Imbalance)
	for _, reason := range slices.Sorted(maps.Keys(s.Retries)) {
		add("", "retries "+reason, float64(s.Retries[reason]))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Figures)) {
		add("", name, s.Figures[name])
	}
	return rows
}
