// Package telemetry names the metrics of a daemon and writes them in the Prometheus text format.
package telemetry

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Set holds the metrics of one daemon. Daemons in the same process have separate sets.
type Set struct{ set *metrics.Set }

// NewSet returns an empty set.
func NewSet() *Set { return &Set{metrics.NewSet()} }

// Counter returns the counter rosemarygate_<name>_total. Labels are alternating names and values, here
// and in the other methods.
func (s *Set) Counter(name string, labels ...string) *metrics.Counter {
	return s.set.GetOrCreateCounter(metricName(name+"_total", labels))
}

// Gauge registers the gauge rosemarygate_<name>; value is called whenever the metrics are written.
func (s *Set) Gauge(name string, value func() float64, labels ...string) {
	s.set.GetOrCreateGauge(metricName(name, labels), value)
}

// Histogram returns the histogram rosemarygate_<name>.
func (s *Set) Histogram(name string, labels ...string) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(metricName(name, labels))
}

// Write writes all metrics in the Prometheus text format.
func (s *Set) Write(w io.Writer) { s.set.WritePrometheus(w) }

func metricName(name string, labels []string) string {
	fullName := "rosemarygate_" + name
	for i := 0; i+1 < len(labels); i += 2 {
		separator := ","
		if i == 0 {
			separator = "{"
		}
		fullName += fmt.Sprintf("%s%s=%q", separator, labels[i], labels[i+1])
	}
	if len(labels) > 0 {
		fullName += "}"
	}
	return fullName
}
