package subscription

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/totals"
	"rosemarygate/pkg/events"
)

// counters is the accumulator of the daily counters; it is safe for concurrent use.
type counters struct {
	mu          sync.Mutex
	accumulator *totals.Accumulator
	droppedDays int
}

func newCounters(daemon string, incarnation uint64) *counters {
	return &counters{accumulator: totals.NewAccumulator(daemon, incarnation)}
}

// Count adds n to a daily counter.
func (s *Subscription) Count(k totals.Key, n uint64) {
	s.counters.mu.Lock()
	defer s.counters.mu.Unlock()
	s.counters.accumulator.Add(time.Now(), k, n)
}

// SetLocation sets the time zone in which a user's days end.
func (s *Subscription) SetLocation(user string, loc *time.Location) {
	s.counters.mu.Lock()
	defer s.counters.mu.Unlock()
	s.counters.accumulator.SetLocation(user, loc)
}

func (c *counters) report(version uint64) *controlpb.ReportRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accumulator.Report(version)
}

func (c *counters) acknowledge(sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accumulator.Acknowledge(time.Now(), sequence)
}

func (c *counters) resendAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accumulator.ResendAll()
}

// prune limits the counters that are stored while no replica answers.
func (c *counters) prune(log logrus.FieldLogger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if dropped := c.accumulator.Prune(time.Now()); dropped > c.droppedDays {
		c.droppedDays = dropped
		events.CountersDropped.Log(log, logrus.Fields{"days": dropped})
	}
}
