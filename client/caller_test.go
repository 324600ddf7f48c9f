package client

import (
	"testing"

	"gotest.tools/v3/assert"
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
