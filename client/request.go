package client

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/frame"
)

// Outcome is how a request ended.
type Outcome uint8

// Outcomes of a request.
const (
	// Answered: the whole answer arrived.
	Answered Outcome = iota + 1
	// NotRun: the request was refused and did not run; it may be sent again.
	NotRun
	// Unknown: the request may have run; only the application can check whether it did.
	Unknown
	// Deadline: an idempotent request had no answer before its deadline; it may be sent again.
	Deadline
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not run"
	case Unknown:
		return "unknown, may have run"
	case Deadline:
		return "deadline"
	default:
		return fmt.Sprintf("outcome %d", uint8(o))
	}
}

// Request is one request.
type Request struct {
	Class      string
	Idempotent bool
	Payload    []byte
}

// Result is the outcome of a request, with its answer or reason.
type Result struct {
	ID      uint64
	Outcome Outcome
	Reason  wirepb.Reason
	Answer  []byte
}

// unknownGracePeriod is how long the client waits for an answer after the outcome UNKNOWN, because a
// daemon with an outdated member list may send it while the owner runs the request.
const unknownGracePeriod = 300 * time.Millisecond

// pendingRequest is a request in progress.
type pendingRequest struct {
	id              uint64
	request         Request
	token           []byte // fixed at the first send; only the owner that it names may run the request
	deadline        time.Time
	attempt         uint32
	changed         chan struct{}   // capacity 1; signals a new answer or outcome
	requestTransfer *frame.Transfer // nil for a request of one part
	answerAssembly  *frame.Assembly
	// progressed reports that the client or the owner has received parts since the last resend.
	progressed bool
	answer     []byte
	outcome    *wirepb.RequestOutcome
}

// Do runs one request. ctx must have a deadline, which also applies at the upstream; its cancellation
// cancels the request. The error is non-nil only for a request that was not sent.
func (f *Flow) Do(ctx context.Context, request Request) (Result, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return Result{}, errors.New("request has no deadline: pass a context with a deadline")
	}
	if len(request.Payload) > frame.MaxPayload {
		return Result{}, errors.Errorf("request has %d bytes: send at most %d", len(request.Payload), frame.MaxPayload)
	}
	if err := f.awaitOwner(ctx); err != nil {
		return Result{}, err
	}
	p, err := f.addRequest(request, deadline)
	if err != nil {
		return Result{}, err
	}
	defer f.removeRequest(p)
	return f.awaitResult(ctx, p), nil
}

func (f *Flow) addRequest(request Request, deadline time.Time) (*pendingRequest, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return nil, f.err
	}
	f.lastRequestID++
	p := &pendingRequest{id: f.lastRequestID, request: request, token: f.token, deadline: deadline, changed: make(chan struct{}, 1)}
	f.requests[p.id] = p
	return p, nil
}

func (f *Flow) removeRequest(p *pendingRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.requests, p.id)
}

func (f *Flow) awaitResult(ctx context.Context, p *pendingRequest) Result {
	wait := firstResendDelay
	resend := time.NewTimer(0)
	defer resend.Stop()
	var graceEnd <-chan time.Time
	for {
		select {
		case <-resend.C:
			if period, progressing := f.resend(p); progressing {
				wait = firstResendDelay
				resend.Reset(period)
				continue
			}
			resend.Reset(jitter(wait))
			wait = min(wait*3/2, maxResendDelay)
		case <-p.changed:
			if r, done := f.finalResult(p); done {
				return r
			}
			if graceEnd == nil && f.isOutcomeUnknown(p) {
				graceEnd = time.After(unknownGracePeriod)
			}
		case <-graceEnd:
			return f.resultWithoutAnswer(p)
		case <-f.gone:
			return f.resultWithoutAnswer(p)
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.Canceled) {
				f.send(&wirepb.Frame{Token: p.token, Body: &wirepb.Frame_Cancel{Cancel: &wirepb.Cancel{RequestId: p.id}}})
			}
			return f.resultWithoutAnswer(p)
		}
	}
}

// finalResult returns the request's result if it is final.
func (f *Flow) finalResult(p *pendingRequest) (Result, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.answer != nil {
		return Result{ID: p.id, Outcome: Answered, Answer: p.answer}, true
	}
	if p.outcome != nil && p.outcome.Outcome == wirepb.Outcome_OUTCOME_NOT_RUN {
		return Result{ID: p.id, Outcome: NotRun, Reason: p.outcome.Reason}, true
	}
	return Result{}, false
}

func (f *Flow) isOutcomeUnknown(p *pendingRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return p.outcome != nil && p.outcome.Outcome == wirepb.Outcome_OUTCOME_UNKNOWN
}

// resultWithoutAnswer returns the result of a request for which the client stops waiting.
func (f *Flow) resultWithoutAnswer(p *pendingRequest) Result {
	if r, done := f.finalResult(p); done {
		return r
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r := Result{ID: p.id, Outcome: Unknown, Reason: wirepb.Reason_REASON_DEADLINE}
	if p.request.Idempotent {
		r.Outcome = Deadline
	}
	if p.outcome != nil {
		r.Reason = p.outcome.Reason
	}
	return r
}

// endedBelow returns the smallest id of the requests in progress; the caller holds f.mu.
func (f *Flow) endedBelow() uint64 {
	lowest := f.lastRequestID + 1
	for id := range f.requests {
		lowest = min(lowest, id)
	}
	return lowest
}

func (f *Flow) handleOutcome(outcome *wirepb.RequestOutcome) {
	f.mu.Lock()
	p := f.requests[outcome.RequestId]
	final := p != nil && p.outcome != nil && p.outcome.Outcome != wirepb.Outcome_OUTCOME_NO_ROUTE
	if p != nil && (!final || outcome.Outcome == wirepb.Outcome_OUTCOME_NOT_RUN) {
		p.outcome = outcome
	}
	f.mu.Unlock()
	if p != nil {
		p.notify()
	}
}

func (p *pendingRequest) notify() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}
