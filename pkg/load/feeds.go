package load

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemarygate/client"
	"rosemarygate/pkg/standin"
)

// silenceFrom is the pause of a feed that counts as an interruption.
const silenceFrom = 5 * feedPeriod

// brokenFeed is a feed whose flow ended although its caller did not close it.
type brokenFeed struct {
	at       time.Time
	upstream string
	reason   string
	caller   int
}

// feeds follows the feeds of a run and checks that every item comes once, in order.
type feeds struct {
	service string
	records *standin.Records
	wg      sync.WaitGroup

	mu       sync.Mutex
	open     int
	items    int
	gaps     int
	wrong    int
	failed   int // feeds that could not be opened
	broken   []brokenFeed
	silences []interval
}

// start opens a flow with a feed and follows it until ctx ends. A broken feed is opened
// again on a new flow.
func (s *feeds) start(ctx context.Context, c *client.Client, n int) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		for ctx.Err() == nil {
			flow, err := c.Open(ctx)
			if err != nil {
				s.openFailed(ctx)
				continue
			}
			s.update(func() { s.open++ })
			s.follow(ctx, n, flow, flow.Subscribe(fmt.Sprintf("topic-%d", n), 0))
			flow.Close()
		}
	}()
}

func (s *feeds) openFailed(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	s.update(func() { s.failed++ })
	sleep(ctx, retryOpen)
}

func (s *feeds) follow(ctx context.Context, n int, flow *client.Flow, feed *client.Feed) {
	var last uint64
	heard := time.Now()
	for {
		select {
		case <-ctx.Done():
			s.heard(heard, time.Now())
			return
		case <-flow.Gone():
			s.lost(n, flow)
			return
		case item, ok := <-feed.Items():
			if !ok {
				s.lost(n, flow)
				return
			}
			now := time.Now()
			s.heard(heard, now)
			s.check(item, last)
			heard, last = now, item.Sequence
		}
	}
}

func (s *feeds) lost(n int, flow *client.Flow) {
	reason := "ended"
	if err := flow.Err(); err != nil {
		reason = err.Error()
	}
	s.update(func() {
		s.broken = append(s.broken, brokenFeed{at: time.Now(), upstream: s.records.FeedAt(flow.ID()), reason: reason, caller: n})
	})
}

func (s *feeds) heard(before, now time.Time) {
	if now.Sub(before) < silenceFrom {
		return
	}
	s.update(func() { s.silences = append(s.silences, interval{before, now}) })
}

func (s *feeds) check(item client.Item, last uint64) {
	s.update(func() {
		s.items++
		if item.Sequence != last+1 {
			s.gaps++
		}
		if !bytes.Equal(item.Payload, standin.FeedPayload(s.service, item.Sequence)) {
			s.wrong++
		}
	})
}

func (s *feeds) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// brokenElsewhere counts broken feeds that are not expected to break. A flow may break before
// its first subscription, when its upstream is not known.
func (s *feeds) brokenElsewhere(expected func(brokenFeed) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, b := range s.broken {
		if !expected(b) {
			n++
		}
	}
	return n
}

// resumed returns the times from each fault to the next item of the feeds that were silent
// after it.
func (s *feeds) resumed(faults []time.Time) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, maxLatency, latencyDigits)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, silence := range s.silences {
		if at, ok := latestBefore(faults, silence.until); ok && at.Add(silenceFrom).After(silence.from) {
			_ = h.RecordValue(min(max(silence.until.Sub(at).Microseconds(), 1), maxLatency)) // clamped to the range
		}
	}
	return h
}

// latestBefore returns the last fault that leaves time for a silence until the given time.
func latestBefore(faults []time.Time, until time.Time) (time.Time, bool) {
	for i := len(faults) - 1; i >= 0; i-- {
		if faults[i].Before(until.Add(-silenceFrom / 2)) {
			return faults[i], true
		}
	}
	return time.Time{}, false
}

// sleep waits for d; it reports false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
