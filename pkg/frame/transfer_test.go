package frame

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a transfer that exceeds its window, resends a part too soon, or never ends under
// loss.
func TestTransferEndsUnderLoss(t *testing.T) {
	const parts = 900
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.UnixMilli(1_700_000_000_000)
	transfer, assembly := NewTransfer(now, parts), NewAssembly(parts)
	sends := 0
	for round := 0; !assembly.Complete(); round++ {
		assert.Assert(t, round < 2000)
		due := transfer.DueParts(now)
		assert.Assert(t, len(due) <= TransferWindow)
		sends += len(due)
		for _, i := range due {
			if rng.Float64() >= 0.02 {
				assembly.Add(i, parts, []byte{1})
			}
		}
		now = now.Add(time.Millisecond)
		transfer.SetPartsHeld(assembly.PartsHeld())
	}
	assert.Assert(t, sends < parts*11/10, "%d sends", sends)
	assert.Equal(t, len(transfer.DueParts(now)), 0)
}
