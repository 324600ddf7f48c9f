package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/control/directory"
)

// Guards against flows in another data centre, which a partition would break, while the local one has capacity.
func TestLocalDataCentreFirst(t *testing.T) {
	c := newCore(2)
	c.SetUpstream(testUpstream(10, "south", directory.Ready))
	for n := range 10 {
		a := c.HandlePacket(0, synPacket(n, 0))
		assert.Equal(t, a.Upstream.DataCentre, "north")
		handshake := dataPacket(n, 1, a.Cookie)
		handshake.Length = 0
		c.HandlePacket(0, handshake)
	}
}

// Guards against overload in one data centre while others are idle: the local one has only one upstream
// left, and each flow has a request in progress.
func TestSpillOverToOtherDataCentre(t *testing.T) {
	c := newCore(1)
	for key := range 5 {
		c.SetUpstream(testUpstream(directory.Key(10+key), "south", directory.Ready))
	}
	southFlows := 0
	for n := range 60 {
		a := c.HandlePacket(0, synPacket(n, 0))
		c.HandlePacket(0, dataPacket(n, 1, a.Cookie))
		if a.Upstream.DataCentre == "south" {
			southFlows++
		}
	}
	// Even load is 10 flows for each of six upstreams; remotePenalty keeps a few more in the local data centre.
	assert.Assert(t, southFlows >= 45 && southFlows <= 52, "%d of 60 flows", southFlows)
}

// Guards against every new flow going to the only upstream that is not suspect, when callers reopen
// flows after a power loss while three of four upstreams have not answered yet.
func TestSuspicionDoesNotOverloadOtherUpstreams(t *testing.T) {
	c := newCore(4)
	for key := range 3 {
		r := testUpstream(directory.Key(key+1), "north", directory.Ready)
		r.Silent = true
		c.SetUpstream(r)
	}
	counts := map[directory.Key]int{}
	for n := range 100 {
		a := c.HandlePacket(0, synPacket(n, 0))
		c.HandlePacket(0, dataPacket(n, 1, a.Cookie))
		counts[a.Upstream.Key]++
	}
	// In the smallest deployment the queue of an upstream holds 12 requests; more would be shed while
	// the others are idle.
	limit := int(silentPenalty*2) + 25
	assert.Assert(t, counts[4] <= limit, "%v", counts)
}

// Guards against a cold upstream getting as many flows as a warm one.
func TestColdUpstreamGetsLess(t *testing.T) {
	c := newCore(3)
	cold := testUpstream(4, "north", directory.Ready)
	cold.WarmupEnd = 2 * time.Second
	c.SetUpstream(cold)
	counts := map[directory.Key]int{}
	for n := range 80 {
		a := c.HandlePacket(0, synPacket(n, 0))
		c.HandlePacket(0, dataPacket(n, 1, a.Cookie))
		counts[a.Upstream.Key]++
	}
	assert.Assert(t, counts[4] < 15 && counts[4] > 5, "%v", counts)
}

// Guards against new flows going to a healthy-looking upstream that quickly fails most of its requests
// and is therefore never busy.
func TestFailingUpstreamGetsFewerFlows(t *testing.T) {
	c := newCore(5)
	rng := rand.New(rand.NewPCG(1, 5))
	counts := map[directory.Key]int{}
	now := time.Duration(0)
	for n := range 2000 {
		now += 10 * time.Millisecond
		a := c.HandlePacket(now, synPacket(n, 0))
		counts[a.Upstream.Key]++
		p := dataPacket(n, 1, a.Cookie)
		p.Ack = 1
		c.HandlePacket(now, p)
		p.Seq, p.Length, p.Ack = 101, 0, 1+answerBytes
		if a.Upstream.Key == 1 && rng.IntN(10) < 6 {
			p.Ack = 1 + rejectionBytes
		}
		c.HandlePacket(now, p)
		p.Flags |= FIN
		c.HandlePacket(now, p)
	}
	assert.Assert(t, counts[1] < 100 && counts[1] > 0, "%v", counts)
}

// Guards against an announcement with far too many slots drawing the flows of its whole service.
func TestImplausibleSlotsDrawFewFlows(t *testing.T) {
	c := newCore(10)
	odd := testUpstream(11, "north", directory.Ready)
	odd.Slots = directory.MaxSlots
	c.SetUpstream(odd)
	counts := map[directory.Key]int{}
	for n := range 200 {
		a := c.HandlePacket(0, synPacket(n, 0))
		c.HandlePacket(0, dataPacket(n, 1, a.Cookie))
		counts[a.Upstream.Key]++
	}
	// It counts as 16 slots beside 20 of the others.
	assert.Assert(t, counts[11] <= 100, "%v", counts)
}
