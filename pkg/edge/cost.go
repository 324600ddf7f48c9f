package edge

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rosemarygate/pkg/telemetry"
)

const (
	// maxCostServices bounds the services with cost metrics of their own; a configuration may rename services for years.
	maxCostServices = 64
	// otherServices is the label of the services beyond.
	otherServices = "other"
)

// costMetrics compares the expected with the actual time of requests.
type costMetrics struct {
	set      *telemetry.Set
	services map[string]*serviceCostMetrics
}

type serviceCostMetrics struct {
	expected, actual *metrics.Counter   // in milliseconds
	ratio            *metrics.Histogram // actual over expected time
}

func newCostMetrics(set *telemetry.Set) *costMetrics {
	return &costMetrics{set, map[string]*serviceCostMetrics{}}
}

// observe counts an answer. Calls are serialised by the lock of the core.
func (m *costMetrics) observe(service string, expected, actual time.Duration) {
	if m.services[service] == nil && len(m.services) >= maxCostServices {
		service = otherServices
	}
	s := m.services[service]
	if s == nil {
		s = &serviceCostMetrics{
			m.set.Counter("request_expected_ms", "service", service), m.set.Counter("request_actual_ms", "service", service),
			m.set.Histogram("request_cost_ratio", "service", service),
		}
		m.services[service] = s
	}
	s.expected.Add(int(expected.Milliseconds()))
	s.actual.Add(int(actual.Milliseconds()))
	s.ratio.Update(float64(actual) / float64(max(expected, 1)))
}
