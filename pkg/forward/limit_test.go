package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/routing"
)

// newLimitCore returns a core whose route has an objective of 150 ms.
func newLimitCore(upstreams int) *Core {
	c := newCore(upstreams)
	t := testTable(2, route443, route80)
	for i := range t.Routes {
		t.Routes[i].Objective, t.Routes[i].Priority = 150*time.Millisecond, normalPriority
	}
	t.Routes[0].Split = []routing.Share{{Service: "a", Weight: 1}}
	c.SetTable(t)
	return c
}

// serveFlow opens a flow with one request that is answered after a time, and reports whether it was admitted.
func serveFlow(c *Core, now time.Duration, n int, took time.Duration) bool {
	a := c.HandlePacket(now, synPacket(n, 0))
	if a.Verdict != Forward {
		return false
	}
	request := dataPacket(n, 1, a.Cookie)
	request.Ack = 1
	c.HandlePacket(now, request)
	last := dataPacket(n, 101, a.Cookie)
	last.Length, last.Ack, last.Flags = 0, 1+answerBytes, ACK|FIN
	c.HandlePacket(now+took, last)
	return true
}

// Guards against refusing flows of a service whose usual answers take longer than the objective: no queue
// can be shortened there.
func TestSlowServiceIsNotLimited(t *testing.T) {
	c := newLimitCore(4)
	for n := range 2000 {
		assert.Assert(t, serveFlow(c, time.Duration(n)*300*time.Millisecond, n, 250*time.Millisecond))
	}
	assert.Assert(t, !c.limitOf("a").active)
}

// Guards against refusing the few new flows of callers that keep their flows open while the requests on these
// fill the queues.
func TestOpenFlowsAreNotLimited(t *testing.T) {
	c := newLimitCore(4)
	l := c.limitOf("a")
	for n := range 1000 {
		l.recordRequest(n%40 == 0)
		l.recordAnswer(time.Duration(n)*10*time.Millisecond, 0.9, true)
	}
	assert.Assert(t, !l.active)
}

// Guards against queues that stay full in a flood, refusals that last after it, and requests whose caller or
// upstream has gone counting for ever.
func TestLimitFollowsAnswerTimes(t *testing.T) {
	c := newLimitCore(4)
	l := c.limitOf("a")
	now := time.Duration(0)
	for n := range 100 { // usual answers
		now += 20 * time.Millisecond
		assert.Assert(t, serveFlow(c, now, n, 40*time.Millisecond))
	}
	for n := range 12 { // requests that are never answered
		a := c.HandlePacket(now, synPacket(1000+n, 0))
		request := dataPacket(1000+n, 1, a.Cookie)
		request.Ack = 1
		c.HandlePacket(now, request)
	}
	assert.Equal(t, l.inProgress, 12)
	for range 20 { // answers after a queue
		now += 10 * time.Millisecond
		l.recordAnswer(now, 0.9, true)
	}
	assert.Assert(t, l.active && l.size < 12)
	a := c.HandlePacket(now, synPacket(2000, 0))
	assert.Equal(t, a.Verdict, Reset)
	assert.Equal(t, a.Reason, OverLimit)
	assert.Equal(t, a.Limit, l.status())
	now += 2 * maxRequestAge * 150 * time.Millisecond
	assert.Assert(t, c.HandlePacket(now, synPacket(2001, 0)).Verdict == Forward, "old requests take no place")
	refused := 0
	for n := range 200 {
		now += 20 * time.Millisecond
		if !serveFlow(c, now, 3000+n, 40*time.Millisecond) {
			refused++
		}
	}
	assert.Equal(t, refused, 0)
	assert.Assert(t, !l.active)
}
