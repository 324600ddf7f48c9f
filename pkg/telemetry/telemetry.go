// Package telemetry names the daemon's counters and serves them over HTTP.
package telemetry

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Set holds the counters of one daemon, so that several daemons can run in one process.
type Set struct{ set *metrics.Set }

// NewSet returns an empty set.
func NewSet() *Set { return &Set{metrics.NewSet()} }

// Counter returns the counter rosemarygate_<name>_total, with labels given as
// alternating names and values.
func (s *Set) Counter(name string, labels ...string) *metrics.Counter {
	return s.set.GetOrCreateCounter(metricName(name+"_total", labels))
}

// Gauge registers a gauge that is computed by f when the metrics are read.
func (s *Set) Gauge(name string, f func() float64, labels ...string) {
	s.set.GetOrCreateGauge(metricName(name, labels), f)
}

// Histogram returns the histogram rosemarygate_<name>.
func (s *Set) Histogram(name string, labels ...string) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(metricName(name, labels))
}

// Write writes all metrics in the Prometheus text format.
func (s *Set) Write(w io.Writer) { s.set.WritePrometheus(w) }

func metricName(name string, labels []string) string {
	out := "rosemarygate_" + name
	for i := 0; i+1 < len(labels); i += 2 {
		sep := ","
		if i == 0 {
			sep = "{"
		}
		out += fmt.Sprintf("%s%s=%q", sep, labels[i], labels[i+1])
	}
	if len(labels) > 0 {
		out += "}"
	}
	return out
}
