package flowbench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a daemon that loses flows while it opens others, and against a benchmark that counts
// flows it did not open.
func TestFlowsAreHeld(t *testing.T) {
	r, err := Run(t.Context(), Options{Flows: 2000, OpenRate: 2000, HoldDuration: time.Second, KeepAlivePeriod: time.Second})
	assert.NilError(t, err)
	assert.Equal(t, r.HeldFlows, 2000)
	assert.Assert(t, r.KeepAlivesPerSec > 0)
}
