package relaybench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a benchmark that compares rates of zero: each relay must carry packets.
func TestEveryRelayCarriesPackets(t *testing.T) {
	r, err := Run(t.Context(), Options{Rounds: 1, SampleDuration: 200 * time.Millisecond, FrameBytes: 300, Sockets: 2})
	assert.NilError(t, err)
	assert.Assert(t, r.Rounds[0].Bare.PacketsPerSecond > 0)
	assert.Assert(t, r.Rounds[0].Daemon.PacketsPerSecond > 0)
	assert.Assert(t, r.Rounds[0].Daemon.CPUNanosPerPacket > 0)
	assert.Assert(t, r.Rounds[0].Entry.PacketsPerSecond > 0)
	assert.Assert(t, r.Rounds[0].Entry.CPUNanosPerPacket > 0)
}
