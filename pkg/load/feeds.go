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

// minSilence is the shortest time without an item that counts as an interruption of a feed.
const minSilence = 5 * feedPeriod

// brokenFeed is a feed whose flow ended although its caller did not close it.
type brokenFeed struct {
	at       time.Time
	upstream string
	reason   string
	caller   int
}

// feedSet receives the feeds of a run and checks that every item arrives once and in order.
type feedSet struct {
	service string
	records *standin.Records
	wg      sync.WaitGroup

	mu          sync.Mutex
	opened      int
	items       int
	gaps        int
	wrongItems  int
	failedOpens int // feeds that could not be opened
	broken      []brokenFeed
	silences    []interval
}

// startFeed opens a flow with a feed and receives its items until ctx ends. It reopens a broken feed
// on a new flow.
func (s *feedSet) startFeed(ctx context.Context, c *client.Client, n int) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		for ctx.Err() == nil {
			flow, err := c.Open(ctx)
			if err != nil {
				s.recordFailedOpen(ctx)
				continue
			}
			s.withLock(func() { s.opened++ })
			s.receiveItems(ctx, n, flow, flow.Subscribe(fmt.Sprintf("topic-%d", n), 0))
			flow.Close()
		}
	}()
}

func (s *feedSet) recordFailedOpen(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	s.withLock(func() { s.failedOpens++ })
	sleep(ctx, reopenDelay)
}

func (s *feedSet) receiveItems(ctx context.Context, n int, flow *client.Flow, feed *client.Feed) {
	var lastSequence uint64
	lastItemTime := time.Now()
	for {
		select {
		case <-ctx.Done():
			s.recordSilence(lastItemTime, time.Now())
			return
		case <-flow.Gone():
			s.recordBroken(n, flow)
			return
		case item, ok := <-feed.Items():
			if !ok {
				s.recordBroken(n, flow)
				return
			}
			now := time.Now()
			s.recordSilence(lastItemTime, now)
			s.checkItem(item, lastSequence)
			lastItemTime, lastSequence = now, item.Sequence
		}
	}
}

func (s *feedSet) recordBroken(n int, flow *client.Flow) {
	reason := "ended"
	if err := flow.Err(); err != nil {
		reason = err.Error()
	}
	s.withLock(func() {
		s.broken = append(s.broken, brokenFeed{at: time.Now(), upstream: s.records.FeedUpstream(flow.ID()), reason: reason, caller: n})
	})
}

func (s *feedSet) recordSilence(before, now time.Time) {
	if now.Sub(before) < minSilence {
		return
	}
	s.withLock(func() { s.silences = append(s.silences, interval{before, now}) })
}

func (s *feedSet) checkItem(item client.Item, lastSequence uint64) {
	s.withLock(func() {
		s.items++
		if item.Sequence != lastSequence+1 {
			s.gaps++
		}
		if !bytes.Equal(item.Payload, standin.FeedPayload(s.service, item.Sequence)) {
			s.wrongItems++
		}
	})
}

func (s *feedSet) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// countUnexpectedlyBroken counts broken feeds that are not expected to break. The upstream is unknown
// if a flow breaks before its first subscription.
func (s *feedSet) countUnexpectedlyBroken(expected func(brokenFeed) bool) int {
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

// resumeTimes returns the times from a fault to the next item, for each feed that the fault silenced.
func (s *feedSet) resumeTimes(faults []time.Time) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, maxLatency, latencyDigits)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, silence := range s.silences {
		if at, ok := latestFaultBefore(faults, silence.until); ok && at.Add(minSilence).After(silence.from) {
			_ = h.RecordValue(min(max(silence.until.Sub(at).Microseconds(), 1), maxLatency)) // clamped to the range
		}
	}
	return h
}

// latestFaultBefore returns the last fault more than half of minSilence before the given time.
func latestFaultBefore(faults []time.Time, until time.Time) (time.Time, bool) {
	for i := len(faults) - 1; i >= 0; i-- {
		if faults[i].Before(until.Add(-minSilence / 2)) {
			return faults[i], true
		}
	}
	return time.Time{}, false
}

// sleep waits for d and returns true, or false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
