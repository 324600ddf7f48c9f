package load

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func exampleReport() *Report {
	return &Report{
		Scenario: "example", Mode: "live", Seed: 7, Seconds: 12.5, ScheduleDigest: "00ff",
		Results: []Result{{
			Deployment: "karri", Policy: PolicyOurs, Phase: "run", FlowsBroken: 1, Imbalance: 1.25,
			Classes: []Class{{
				Name: "tally", Offered: 100, Answered: 97, Refused: 1, Unknown: 2, Goodput: 0.97,
				P50: 2.5, P99: 20, P999: 30.25, Max: 31, RefusedByReason: map[string]int{"queue_full": 3, "upstream_shed": 1},
			}},
			RetriesByReason: map[string]int{"queue_full": 2},
			Figures:         map[string]float64{"requests_doubled": 0, "feed_resume_max_s": 1.234567891},
		}},
		Checks:         []Check{atMost("requests doubled", 0, 0), atLeast("requests answered", 97, 100)},
		BaselineChecks: []Check{atMost("requests doubled", 12, 0)},
	}
}

// Guards against changes of the report formats, which scripts read.
func TestReportFormats(t *testing.T) {
	for _, format := range Formats {
		var b bytes.Buffer
		assert.NilError(t, exampleReport().Write(&b, format))
		golden.Assert(t, b.String(), "report."+format+".golden")
	}
}

// Guards against a run that passes although a check failed.
func TestReportIsOKOnlyWhenEveryCheckHolds(t *testing.T) {
	r := exampleReport()
	assert.Assert(t, !r.OK())
	r.Checks = r.Checks[:1]
	assert.Assert(t, r.OK())
}

// Guards against arrivals that depend on anything but the seed.
func TestArrivalsDependOnTheSeedOnly(t *testing.T) {
	digest := func(seed uint64) string { return newArrivalSchedule(seed, 100, karri.classes, 20).digest() }
	assert.Equal(t, digest(1), digest(1))
	assert.Assert(t, digest(1) != digest(2))
}
