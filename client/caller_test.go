package client

import (
	"testing"

	"gotest.tools/v3/assert"

	wirepb "rosemarygate/api/wire/v1"
)

type discardTransport struct{}

func (discardTransport) Send([]byte) error           { return nil }
func (discardTransport) Receive([]byte) (int, error) { select {} }
func (discardTransport) Close() error                { return nil }

// Guards against an unknown outcome of a request because a draining upstream refused another request
// of the same caller and their flow was closed.
func TestAbandonedFlowStaysOpenForItsOtherRequests(t *testing.T) {
	c := New(discardTransport{}, Config{})
	f := c.newFlow()
	caller := c.NewCaller()
	caller.flow, caller.requestsInProgress[f] = f, 2
	caller.abandonFlow(f)
	caller.releaseFlow(f)
	assert.NilError(t, f.Err())
	caller.releaseFlow(f)
	assert.Assert(t, f.Err() != nil)
}

// Guards against requests that end without a second attempt when an upstream refuses them because its
// queue is too long for their deadline: at 80% load this happened to 7% of the archive pulls.
func TestDeadlineRefusalIsRetried(t *testing.T) {
	caller := New(discardTransport{}, Config{}).NewCaller()
	refused := Result{Outcome: NotRun, Reason: wirepb.Reason_REASON_DEADLINE}
	assert.Assert(t, caller.shouldRetry(nil, Request{}, refused))
	deadlinePassed := Result{Outcome: Deadline, Reason: wirepb.Reason_REASON_DEADLINE}
	assert.Assert(t, !caller.shouldRetry(nil, Request{Idempotent: true}, deadlinePassed), "the deadline has passed")
}

// Guards against an overloaded class that uses up the retries of urgent classes: with one budget for
// all classes its refusals did so.
func TestEachClassHasItsOwnRetryBudget(t *testing.T) {
	c := New(discardTransport{}, Config{})
	for c.takeRetry("archive") {
	}
	assert.Assert(t, c.takeRetry("edit"))
}
