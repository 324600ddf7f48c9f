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

// session is one run of the demo. It collects what the callers observe.
type session struct {
	fleet   *fleet.Fleet
	options Options

	mu             sync.Mutex
	report         *Report
	notRunRequests []standin.RequestKey // requests that the client reported as not run
}

// runFeedCaller keeps one feed open and sends non-idempotent requests, which must not run twice.
func (s *session) runFeedCaller(ctx context.Context, ticketClient *client.Client, press int) {
	flow, err := ticketClient.Open(ctx)
	if err != nil {
		return
	}
	s.updateReport(func(r *Report) { r.FlowsOpened++ })
	feed := flow.Subscribe(fmt.Sprintf("press-%d", press), 0)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		s.checkFeed(ctx, flow, feed)
	}()
	s.sendTallies(ctx, ticketClient, press)
	wg.Wait()
	flow.Close()
}

// checkFeed checks until the demo ends that the feed has no gaps and is not interrupted.
func (s *session) checkFeed(ctx context.Context, flow *client.Flow, feed *client.Feed) {
	var lastSequence uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-flow.Gone():
			s.updateReport(func(r *Report) { r.FlowsBroken++ })
			return
		case item, ok := <-feed.Items():
			if !ok {
				s.updateReport(func(r *Report) { r.FlowsBroken++ })
				return
			}
			s.checkItem(item, lastSequence)
			lastSequence = item.Sequence
		}
	}
}

func (s *session) checkItem(item client.Item, lastSequence uint64) {
	s.updateReport(func(r *Report) {
		r.FeedItems++
		if item.Sequence != lastSequence+1 {
			r.FeedGaps++
		}
		if !bytes.Equal(item.Payload, standin.FeedPayload(ticketService, item.Sequence)) {
			r.WrongService++
		}
	})
}

func (s *session) sendTallies(ctx context.Context, ticketClient *client.Client, press int) {
	caller := ticketClient.NewCaller()
	defer caller.Close()
	for i := 0; sleep(ctx, tallyPause); i++ {
		s.runRequest(caller, client.Request{Class: "tally", Payload: fmt.Appendf(nil, "press %d count %d", press, i)})
	}
}

func (s *session) runPuller(ctx context.Context, labelClient *client.Client) {
	caller := labelClient.NewCaller()
	defer caller.Close()
	for sleep(ctx, sheetPause) {
		s.runRequest(caller, client.Request{Class: "sheet", Idempotent: true, Payload: []byte("sheet")})
	}
}

// runRequest runs one request and counts its outcome. The request may end after the demo.
func (s *session) runRequest(caller *client.Caller, request client.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	attempts, err := caller.Do(ctx, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range attempts {
		if a.Result.Outcome == client.NotRun {
			s.notRunRequests = append(s.notRunRequests, standin.RequestKey{Flow: a.Flow, Request: a.Result.ID})
		}
	}
	if err != nil || len(attempts) == 0 {
		s.report.RequestsRefused++
		s.report.RefusedByReason["no_flow"]++
		return
	}
	s.countOutcome(attempts[len(attempts)-1])
}

func (s *session) countOutcome(attempt client.Attempt) {
	reason := refusal.Name(attempt.Result.Reason)
	switch attempt.Result.Outcome {
	case client.Answered:
		s.report.RequestsAnswered++
		if !bytes.HasPrefix(attempt.Result.Answer, standin.AnswerHeader(attempt.Flow, attempt.Result.ID)) {
			s.report.WrongAnswers++
		}
	case client.NotRun:
		s.report.RequestsRefused++
		s.report.RefusedByReason[reason]++
	case client.Deadline:
		s.report.RequestsDeadline++
		s.options.Log.Warnf("request %d of flow %x: deadline (%s)", attempt.Result.ID, attempt.Flow, reason)
	default:
		s.options.Log.Warnf("request %d of flow %x: unknown (%s)", attempt.Result.ID, attempt.Flow, reason)
		s.report.RequestsUnknown++
		s.report.UnknownByReason[reason]++
	}
}

func (s *session) updateReport(f func(*Report)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.report)
}

// completeReport adds the results from the stand-ins' records to the report.
func (s *session) completeReport(elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.fleet.Records
	s.report.Seconds = elapsed.Seconds()
	s.report.RequestsDoubled = records.DoubledRequests()
	s.report.WrongService += records.WrongServiceCalls()
	s.report.LateAfterDrain = records.LateRuns()
	for _, k := range s.notRunRequests {
		if records.Runs(k) > 0 {
			s.report.FalseNotRun++
		}
	}
}
