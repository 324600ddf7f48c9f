package daemon_test

import (
	"context"
	"encoding/binary"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/client"
	"rosemarygate/pkg/fleet"
)

// Guards against large answers that overflow the socket buffers on their way, or that become complete
// only through resends of the caller's request when parts are lost.
func TestLargeAnswersThroughDaemon(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	faults := fleet.FabricFaults{Loss: 0.02, Duplicate: 0.02, Reorder: 0.02, ReorderDelay: 5 * time.Millisecond}
	c, err := f.Client(quietPort, faults, 1, client.Config{})
	assert.NilError(t, err)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	flow, err := c.Open(ctx)
	assert.NilError(t, err)
	const pulls = 5
	began := time.Now()
	for range pulls {
		r, err := flow.Do(ctx, client.Request{Class: "sheet", Idempotent: true, Payload: []byte("pull")})
		assert.NilError(t, err)
		assert.Equal(t, r.Outcome, client.Answered)
		assert.Equal(t, len(r.Answer), sheetSize)
		assert.Equal(t, binary.BigEndian.Uint64(r.Answer[8:]), r.ID)
	}
	each := time.Since(began) / pulls
	t.Logf("1 MB answer with 2%% loss: %s", each)
	assert.Assert(t, each < 3*time.Second, "%s", each)
}
