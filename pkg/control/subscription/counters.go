package subscription

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/totals"
	"rosemarygate/pkg/events"
)

// counters is the accumulator of the daily counters, which many goroutines add to.
type counters struct {
	mu      sync.Mutex
	core    *totals.Accumulator
	dropped int // days
}

func newCounters(daemon string, incarnation uint64) *counters {
	return &counters{core: totals.NewAccumulator(daemon, incarnation)}
}

// Count adds n to a daily counter.
func (s *Subscription) Count(k totals.Key, n uint64) {
	s.counters.mu.Lock()
	defer s.counters.mu.Unlock()
	s.counters.core.Add(time.Now(), k, n)
}

// SetLocation sets the time zone in which a user's days end.
func (s *Subscription) SetLocation(user string, loc *time.Location) {
	s.counters.mu.Lock()
	defer s.counters.mu.Unlock()
	s.counters.core.SetLocation(user, loc)
}

func (c *counters) report(version uint64) *controlpb.ReportRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Report(version)
}

func (c *counters) acknowledge(sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Acknowledge(time.Now(), sequence)
}

func (c *counters) resendAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.ResendAll()
}

// prune bounds what is kept while no replica answers.
func (c *counters) prune(log logrus.FieldLogger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if dropped := c.core.Prune(time.Now()); dropped > c.dropped {
		c.dropped = dropped
		events.CountersDropped.Log(log, logrus.Fields{"days": dropped})
	}
}
