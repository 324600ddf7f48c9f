package client

import (
	"testing"

	"gotest.tools/v3/assert"

	wirepb "rosemarygate/api/wire/v1"
)

type discard struct{}

func (discard) Send([]byte) error           { return nil }
func (discard) Receive([]byte) (int, error) { select {} }
func (discard) Close() error                { return nil }

// Guards against requests whose outcome becomes unknown because another request of the
// same caller was refused by a draining upstream and closed their flow.
func TestLeftFlowStaysOpenForItsOtherRequests(t *testing.T) {
	c := New(discard{}, Config{})
	f := c.newFlow()
	caller := c.NewCaller()
	caller.flow, caller.users[f] = f, 2
	caller.leave(f)
	caller.release(f)
	assert.NilError(t, f.Err())
	caller.release(f)
	assert.Assert(t, f.Err() != nil)
}

// Guards requests that an upstream refuses because its queue is too long for their deadline:
// at 80% load 7% of the archive pulls ended that way without a second attempt.
func TestRefusalForTheDeadlineIsTriedAgain(t *testing.T) {
	caller := New(discard{}, Config{}).NewCaller()
	refused := Result{Outcome: NotRun, Reason: wirepb.Reason_REASON_DEADLINE}
	assert.Assert(t, caller.tryAgain(nil, Request{}, refused))
	late := Result{Outcome: Deadline, Reason: wirepb.Reason_REASON_DEADLINE}
	assert.Assert(t, !caller.tryAgain(nil, Request{Idempotent: true}, late), "the time is over")
}

// Guards the retries of urgent classes while another class floods: with one budget for all
// the flood's refusals used it up.
func TestEachClassHasItsOwnRetryBudget(t *testing.T) {
	c := New(discard{}, Config{})
	for c.takeRetry("archive") {
	}
	assert.Assert(t, c.takeRetry("edit"))
}
