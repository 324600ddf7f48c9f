package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/control/directory"
)

// Guards against a partition that cuts flows off although their data centre has room.
func TestOwnDataCentreFirst(t *testing.T) {
	c := newCore(2)
	c.SetUpstream(upstream(10, "south", directory.Ready))
	for n := range 10 {
		assert.Equal(t, c.Packet(0, syn(n, 0)).Upstream.DataCentre, "north")
	}
}

// Guards against a data centre that drowns while others idle: the load of one that has lost all but
// one upstream, with a request on each flow.
func TestSpillOver(t *testing.T) {
	c := newCore(1)
	for key := range 5 {
		c.SetUpstream(upstream(directory.Key(10+key), "south", directory.Ready))
	}
	elsewhere := 0
	for n := range 60 {
		a := c.Packet(0, syn(n, 0))
		c.Packet(0, data(n, 1, a.Cookie))
		if a.Upstream.DataCentre == "south" {
			elsewhere++
		}
	}
	// Even load is 10 flows for each of six upstreams; the margin keeps a few more at home.
	assert.Assert(t, elsewhere >= 45 && elsewhere <= 52, "%d of 60 flows", elsewhere)
}

// Guards against the one upstream without suspicion that gets every new flow: callers that open flows
// again after a loss of power while three of four upstreams have not answered yet.
func TestSuspicionDoesNotOverloadTheRest(t *testing.T) {
	c := newCore(4)
	for key := range 3 {
		r := upstream(directory.Key(key+1), "north", directory.Ready)
		r.Silent = true
		c.SetUpstream(r)
	}
	counts := map[directory.Key]int{}
	for n := range 100 {
		a := c.Packet(0, syn(n, 0))
		c.Packet(0, data(n, 1, a.Cookie))
		counts[a.Upstream.Key]++
	}
	// Its queue holds 12 requests for each upstream of the smallest deployment; more would be shed
	// while the others idle.
	most := int(silentMargin*2) + 25
	assert.Assert(t, counts[4] <= most, "%v", counts)
}

// Guards against a cold upstream that gets as many flows as a warm one.
func TestColdUpstreamGetsLess(t *testing.T) {
	c := newCore(3)
	cold := upstream(4, "north", directory.Ready)
	cold.WarmAt = 2 * time.Second
	c.SetUpstream(cold)
	counts := map[directory.Key]int{}
	for n := range 80 {
		a := c.Packet(0, syn(n, 0))
		c.Packet(0, data(n, 1, a.Cookie))
		counts[a.Upstream.Key]++
	}
	assert.Assert(t, counts[4] < 15 && counts[4] > 5, "%v", counts)
}

// Guards against an upstream that fails most of its requests, fast, while its health is good: it is
// never busy and must not attract new flows.
func TestFailingUpstreamGetsFewerFlows(t *testing.T) {
	c := newCore(5)
	rng := rand.New(rand.NewPCG(1, 5))
	counts := map[directory.Key]int{}
	now := time.Duration(0)
	for n := range 2000 {
		now += 10 * time.Millisecond
		a := c.Packet(now, syn(n, 0))
		counts[a.Upstream.Key]++
		p := data(n, 1, a.Cookie)
		p.Ack = 1
		c.Packet(now, p)
		p.Seq, p.Length, p.Ack = 101, 0, 1+answerBytes
		if a.Upstream.Key == 1 && rng.IntN(10) < 6 {
			p.Ack = 1 + rejectionBytes
		}
		c.Packet(now, p)
		p.Flags |= FIN
		c.Packet(now, p)
	}
	assert.Assert(t, counts[1] < 100 && counts[1] > 0, "%v", counts)
}
