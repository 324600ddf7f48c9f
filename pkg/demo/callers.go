package demo

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"rosemarygate/client"
	"rosemarygate/pkg/fleet"
	"rosemarygate/pkg/refusal"
	"rosemarygate/pkg/standin"
)

const (
	requestDeadline = 5 * time.Second
	tallyPause      = 50 * time.Millisecond
	sheetPause      = 20 * time.Millisecond
)

// session collects what the callers see.
type session struct {
	fleet *fleet.Fleet
	opts  Options

	mu     sync.Mutex
	report *Report
	notRun []standin.RunKey // requests that were refused as not run
}

// terminal keeps one feed open and posts counts that must not run twice.
func (s *session) terminal(ctx context.Context, c *client.Client, n int) {
	flow, err := c.Open(ctx)
	if err != nil {
		return
	}
	s.update(func(r *Report) { r.FlowsOpened++ })
	feed := flow.Subscribe(fmt.Sprintf("press-%d", n), 0)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		s.follow(ctx, flow, feed)
	}()
	s.postCounts(ctx, c, n)
	wg.Wait()
	flow.Close()
}

// follow checks that the feed comes without gaps until the demo ends.
func (s *session) follow(ctx context.Context, flow *client.Flow, feed *client.Feed) {
	var last uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-flow.Gone():
			s.update(func(r *Report) { r.FlowsBroken++ })
			return
		case item, ok := <-feed.Items():
			if !ok {
				s.update(func(r *Report) { r.FlowsBroken++ })
				return
			}
			s.checkItem(item, last)
			last = item.Sequence
		}
	}
}

func (s *session) checkItem(item client.Item, last uint64) {
	s.update(func(r *Report) {
		r.FeedItems++
		if item.Sequence != last+1 {
			r.FeedGaps++
		}
		if !bytes.Equal(item.Payload, standin.FeedPayload(ticketService, item.Sequence)) {
			r.WrongService++
		}
	})
}

func (s *session) postCounts(ctx context.Context, c *client.Client, n int) {
	caller := c.NewCaller()
	defer caller.Close()
	for i := 0; sleep(ctx, tallyPause); i++ {
		s.run(caller, client.Request{Class: "tally", Payload: fmt.Appendf(nil, "press %d count %d", n, i)})
	}
}

func (s *session) puller(ctx context.Context, c *client.Client) {
	caller := c.NewCaller()
	defer caller.Close()
	for sleep(ctx, sheetPause) {
		s.run(caller, client.Request{Class: "sheet", Idempotent: true, Payload: []byte("sheet")})
	}
}

// run runs one request to its end, also past the end of the demo, and counts its outcome.
func (s *session) run(caller *client.Caller, q client.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	attempts, err := caller.Do(ctx, q)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range attempts {
		if a.Result.Outcome == client.NotRun {
			s.notRun = append(s.notRun, standin.RunKey{Flow: a.Flow, Request: a.Result.ID})
		}
	}
	if err != nil || len(attempts) == 0 {
		s.report.RequestsRefused++
		s.report.RefusedByReason["no_flow"]++
		return
	}
	s.countOutcome(attempts[len(attempts)-1])
}

func (s *session) countOutcome(a client.Attempt) {
	reason := refusal.Name(a.Result.Reason)
	switch a.Result.Outcome {
	case client.Answered:
		s.report.RequestsAnswered++
		if !bytes.HasPrefix(a.Result.Answer, standin.AnswerHeader(a.Flow, a.Result.ID)) {
			s.report.WrongAnswers++
		}
	case client.NotRun:
		s.report.RequestsRefused++
		s.report.RefusedByReason[reason]++
	case client.Deadline:
		s.report.RequestsDeadline++
		s.opts.Log.Warnf("request %d of flow %x: deadline (%s)", a.Result.ID, a.Flow, reason)
	default:
		s.opts.Log.Warnf("request %d of flow %x: unknown (%s)", a.Result.ID, a.Flow, reason)
		s.report.RequestsUnknown++
		s.report.UnknownByReason[reason]++
	}
}

func (s *session) update(f func(*Report)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.report)
}

// finish takes the stand-ins' records into the report.
func (s *session) finish(elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.fleet.Records
	s.report.Seconds = elapsed.Seconds()
	s.report.RequestsDoubled = records.Doubled()
	s.report.WrongService += records.WrongService()
	s.report.LateAfterDrain = records.LateRuns()
	for _, k := range s.notRun {
		if records.Ran(k) > 0 {
			s.report.FalseNotRun++
		}
	}
}
