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
	// NotRun: the request was refused and certainly did not run; it may be sent again.
	NotRun
	// Unknown: the request may have run; only the application can find out.
	Unknown
	// Deadline: an idempotent request had no answer in time; it may be sent again.
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

// Result is the end of a request.
type Result struct {
	ID      uint64
	Outcome Outcome
	Reason  wirepb.Reason
	Answer  []byte
}

// unknownGrace is how long an answer may still arrive after an UNKNOWN: a daemon with an
// old member list may say so while the owner runs the request.
const unknownGrace = 300 * time.Millisecond

// pending is a request in progress.
type pending struct {
	id       uint64
	request  Request
	token    []byte // bound at the first send; only its owner may run the request
	deadline time.Time
	attempt  uint32
	changed  chan struct{}   // capacity 1
	transfer *frame.Transfer // of a request of several parts
	assembly *frame.Assembly
	// progressed says that parts arrived, here or at the owner, since the last resend.
	progressed bool
	answer     []byte
	outcome    *wirepb.RequestOutcome
}

// Do runs one request. ctx must have a deadline; it bounds the request at the upstream as
// well, and its cancellation cancels the request. The error is non-nil only for a request
// that was not sent.
func (f *Flow) Do(ctx context.Context, q Request) (Result, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return Result{}, errors.New("request has no deadline: pass a context with a deadline")
	}
	if len(q.Payload) > frame.MaxPayload {
		return Result{}, errors.Errorf("request has %d bytes: send at most %d", len(q.Payload), frame.MaxPayload)
	}
	if err := f.awaitOwner(ctx); err != nil {
		return Result{}, err
	}
	p, err := f.start(q, deadline)
	if err != nil {
		return Result{}, err
	}
	defer f.finish(p)
	return f.await(ctx, p), nil
}

func (f *Flow) start(q Request, deadline time.Time) (*pending, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return nil, f.err
	}
	f.nextID++
	p := &pending{id: f.nextID, request: q, token: f.token, deadline: deadline, changed: make(chan struct{}, 1)}
	f.requests[p.id] = p
	return p, nil
}

func (f *Flow) finish(p *pending) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.requests, p.id)
}

func (f *Flow) await(ctx context.Context, p *pending) Result {
	wait := firstResend
	resend := time.NewTimer(0)
	defer resend.Stop()
	var unknown <-chan time.Time
	for {
		select {
		case <-resend.C:
			if period, moving := f.resend(p); moving {
				wait = firstResend
				resend.Reset(period)
				continue
			}
			resend.Reset(jitter(wait))
			wait = min(wait*3/2, maxResend)
		case <-p.changed:
			if r, done := f.result(p); done {
				return r
			}
			if unknown == nil && f.saidUnknown(p) {
				unknown = time.After(unknownGrace)
			}
		case <-unknown:
			return f.unanswered(p)
		case <-f.gone:
			return f.unanswered(p)
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.Canceled) {
				f.send(&wirepb.Frame{Token: p.token, Body: &wirepb.Frame_Cancel{Cancel: &wirepb.Cancel{RequestId: p.id}}})
			}
			return f.unanswered(p)
		}
	}
}

// result returns the request's end when it is final.
func (f *Flow) result(p *pending) (Result, bool) {
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

func (f *Flow) saidUnknown(p *pending) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return p.outcome != nil && p.outcome.Outcome == wirepb.Outcome_OUTCOME_UNKNOWN
}

// unanswered is the result of a request that has no final outcome.
func (f *Flow) unanswered(p *pending) Result {
	if r, done := f.result(p); done {
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

// endedBelow returns the smallest id of the requests in progress; f.mu is held.
func (f *Flow) endedBelow() uint64 {
	lowest := f.nextID + 1
	for id := range f.requests {
		lowest = min(lowest, id)
	}
	return lowest
}

func (f *Flow) handleOutcome(o *wirepb.RequestOutcome) {
	f.mu.Lock()
	p := f.requests[o.RequestId]
	final := p != nil && p.outcome != nil && p.outcome.Outcome != wirepb.Outcome_OUTCOME_NO_ROUTE
	if p != nil && (!final || o.Outcome == wirepb.Outcome_OUTCOME_NOT_RUN) {
		p.outcome = o
	}
	f.mu.Unlock()
	if p != nil {
		p.notify()
	}
}

func (p *pending) notify() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}
