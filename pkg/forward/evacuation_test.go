package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/control/directory"
)

// newTwoCentreCore returns a core with the same number of upstreams in each of two data centres.
func newTwoCentreCore(upstreams int) *Core {
	c := newCore(upstreams)
	for key := range upstreams {
		c.SetUpstream(testUpstream(directory.Key(100+key), "south", directory.Ready))
	}
	return c
}

// Guards against new flows that reach upstreams of an evacuated data centre, by whatever way, and against open
// flows that leave them.
func TestEvacuatedDataCentreGetsNoNewFlows(t *testing.T) {
	c := newTwoCentreCore(3)
	open := c.HandlePacket(0, synPacket(1, 0))
	assert.Equal(t, open.Upstream.DataCentre, "north")
	open = c.HandlePacket(time.Millisecond, dataPacket(1, 1, open.Cookie))
	halfOpen := c.HandlePacket(time.Millisecond, synPacket(2, 0))
	assert.Equal(t, halfOpen.Upstream.DataCentre, "north")

	assert.Assert(t, c.SetEvacuations(2*time.Millisecond, 5, []string{"north"}))
	for n := 100; n < 200; n++ {
		now := time.Duration(n) * time.Millisecond
		a := c.HandlePacket(now, synPacket(n, 0))
		assert.Equal(t, a.Upstream.DataCentre, "south")
		for _, r := range c.Release(now) { // unanswered handshakes are not placed in the north
			assert.Equal(t, r.Action.Upstream.DataCentre, "south")
		}
		a = c.HandlePacket(now, dataPacket(1, uint32(n), open.Cookie))
		assert.Equal(t, a.Upstream.Key, open.Upstream.Key)
	}
	duplicate := c.HandlePacket(201*time.Millisecond, synPacket(2, 0))
	assert.Equal(t, duplicate, Action{Verdict: Drop, Reason: Evacuated}) // the upstream in the north may answer the first one
	retransmitted := c.HandlePacket(202*time.Millisecond, synPacket(2, 1))
	assert.Assert(t, retransmitted.Upstream == nil || retransmitted.Upstream.DataCentre == "south")

	assert.Assert(t, c.SetEvacuations(300*time.Millisecond, 6, nil))
	assert.Equal(t, c.HandlePacket(time.Second, synPacket(300, 0)).Upstream.DataCentre, "north")
	at, ended := c.evacuationEndedAt("north")
	assert.Assert(t, ended && at == 300*time.Millisecond)
}

// Guards against evacuations that change back when a control host that lags sends an update.
func TestEvacuationRevisionNeverGoesBack(t *testing.T) {
	c := newTwoCentreCore(3)
	assert.Assert(t, c.SetEvacuations(0, 9, []string{"north"}))
	assert.Assert(t, !c.SetEvacuations(0, 7, nil))
	assert.Assert(t, !c.SetEvacuations(0, 9, nil))
	assert.Assert(t, !c.SetEvacuations(0, 0, nil)) // no evacuations in an update
	assert.Equal(t, c.HandlePacket(0, synPacket(1, 0)).Upstream.DataCentre, "south")
}

// Guards against callers that wait for a timeout when no data centre takes their flows, and against resets of a
// flow that another copy of the SYN may have opened.
func TestServiceWithoutDataCentreIsRefusedAtOnce(t *testing.T) {
	c := newTwoCentreCore(3)
	placed := c.HandlePacket(0, synPacket(1, 0))
	opened := c.HandlePacket(time.Millisecond, dataPacket(1, 1, placed.Cookie))
	c.SetEvacuations(2*time.Millisecond, 1, []string{"north", "south"})
	assert.Equal(t, c.HandlePacket(3*time.Millisecond, synPacket(2, 0)), Action{Verdict: Reset, Reason: Evacuated})
	assert.Equal(t, c.HandlePacket(3*time.Millisecond, synPacket(3, 1)), Action{Verdict: Drop, Reason: Evacuated})
	assert.Equal(t, c.HandlePacket(4*time.Millisecond, synPacket(1, 1)).Verdict, Drop)
	assert.Equal(t, c.HandlePacket(5*time.Millisecond, dataPacket(1, 100, opened.Cookie)).Verdict, Forward)

	c.SetUpstream(testUpstream(21, "east", directory.Ready))
	assert.Equal(t, c.HandlePacket(6*time.Millisecond, synPacket(4, 0)).Upstream.DataCentre, "east")
}

// Guards against a daemon that refuses flows because it has only the upstreams of evacuated data centres so far.
func TestUnpreparedDaemonHoldsEvacuatedFlows(t *testing.T) {
	c := New(Config{DataCentre: "north"}, newCore(0).rng)
	c.SetTable(testTable(1, route443))
	c.SetUpstream(testUpstream(1, "north", directory.Ready))
	c.SetEvacuations(0, 1, []string{"north"})
	assert.Equal(t, c.HandlePacket(0, synPacket(1, 0)).Verdict, Hold)
	c.SetUpstream(testUpstream(2, "south", directory.Ready))
	released := c.Release(10 * time.Millisecond)
	assert.Equal(t, len(released), 1)
	assert.Equal(t, released[0].Action.Upstream.DataCentre, "south")
}

// Guards against the reset of a flow by a copy of its SYN that the network has made, while the upstream of the
// first one may answer it.
func TestNetworkCopyOfPlacedSYNIsNotReset(t *testing.T) {
	c := newTwoCentreCore(3)
	placed := c.HandlePacket(0, synPacket(1, 0))
	c.SetEvacuations(time.Millisecond, 1, []string{"north", "south"})
	assert.Equal(t, c.HandlePacket(2*time.Millisecond, synPacket(1, 0)), Action{Verdict: Drop, Reason: Evacuated})
	assert.Equal(t, c.HandlePacket(3*time.Millisecond, dataPacket(1, 1, placed.Cookie)).Verdict, Forward)
}
