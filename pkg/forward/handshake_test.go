package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/control/directory"
)

// answerHandshake completes the handshake of a flow and closes it.
func answerHandshake(c *Core, now time.Duration, n int, cookie directory.Cookie) {
	p := dataPacket(n, 1, cookie)
	p.Ack, p.Length = 1, 0
	c.HandlePacket(now, p)
	p.Flags |= FIN
	c.HandlePacket(now, p)
}

// Guards against many flows that meet an upstream that does not answer. Their SYNs go to no other upstream: the
// daemon cannot tell a dead upstream from a flow that is open there through another daemon.
func TestFewFlowsMeetDeadUpstream(t *testing.T) {
	const (
		gap       = 20 * time.Millisecond
		roundTrip = 8 * time.Millisecond
		dead      = directory.Key(1)
	)
	c := newCore(5)
	metDead := 0
	for n := range 1500 { // 30 s
		now := time.Duration(n) * gap
		a := c.HandlePacket(now, synPacket(n, 0))
		if a.Upstream.Key != dead || now < 2*time.Second {
			answerHandshake(c, now+roundTrip, n, a.Cookie)
		} else {
			metDead++
		}
		if due, ok := c.NextHandshakeCheck(); ok && due <= now+gap {
			for _, r := range c.Release(due) {
				assert.Equal(t, r.Action.Verdict, Drop)
			}
		}
	}
	assert.Assert(t, metDead > 0 && metDead <= 8, "%d flows met the dead upstream in 28 s", metDead)
}

// Guards against a SYN that is sent twice when no upstream answers in time, or the daemon is too slow to see the
// answers.
func TestUnansweredSYNsAreNotRepeated(t *testing.T) {
	c := newCore(20)
	for n := range 500 {
		now := time.Duration(n) * 10 * time.Millisecond
		c.HandlePacket(now, synPacket(n, 0))
		for _, r := range c.Release(now) {
			assert.Equal(t, r.Action.Verdict, Drop)
		}
	}
}

// Guards against a handshake that counts as unanswered after it was completed, or twice.
func TestCompletedHandshakeStays(t *testing.T) {
	c := newCore(5)
	a := c.HandlePacket(0, synPacket(1, 0))
	p := dataPacket(1, 1, a.Cookie)
	p.Ack = 1
	c.HandlePacket(8*time.Millisecond, p)
	_, pending := c.NextHandshakeCheck()
	assert.Assert(t, !pending)
	assert.Equal(t, len(c.Release(time.Second)), 0)

	c.HandlePacket(0, synPacket(2, 0))
	assert.Equal(t, len(c.Release(maxHandshakeLimit)), 1)
	assert.Equal(t, len(c.Release(2*maxHandshakeLimit)), 0)
}

// Guards against the suspicion of an upstream that has answered on an open flow since it got an unanswered SYN. The
// fabric may have moved the flow of the SYN to another daemon.
func TestOpenFlowOutweighsUnansweredSYN(t *testing.T) {
	for _, answers := range []bool{true, false} {
		c := newCore(2)
		open := c.HandlePacket(time.Second, synPacket(1, 0))
		answerFlow := func(now time.Duration, n int, seq uint32, a Action) {
			p := dataPacket(n, seq, a.Cookie)
			p.Ack = 1000 + seq
			c.HandlePacket(now, p)
		}
		answerFlow(time.Second, 1, 1, open)
		moved := c.HandlePacket(2*time.Second, synPacket(2, 0))
		for n := 3; moved.Upstream != open.Upstream; n++ {
			moved = c.HandlePacket(2*time.Second, synPacket(n, 0))
		}
		other := c.HandlePacket(2*time.Second, synPacket(100, 0))
		for n := 101; other.Upstream == open.Upstream; n++ {
			other = c.HandlePacket(2*time.Second, synPacket(n, 0))
		}
		if answers {
			answerFlow(2*time.Second+5*time.Millisecond, 1, 101, open)
		}
		c.handshakes.answeredAt = 2*time.Second + 5*time.Millisecond // the daemon is not cut off
		c.Release(2*time.Second + maxHandshakeLimit)
		assert.Equal(t, open.Upstream.isSuspect(2*time.Second+maxHandshakeLimit), !answers)
	}
}

// playFlows offers 72 flows a second, each of which its caller completes within 8 ms if answers returns true for
// its upstream. It returns the number of flows that were not answered and of those in the local data centre.
func playFlows(c *Core, from, to time.Duration, answers func(*Upstream) bool) (unanswered, local, flows int) {
	for now := from; now < to; now += 14 * time.Millisecond {
		if due, ok := c.NextHandshakeCheck(); ok && due <= now {
			c.Release(now)
		}
		flows++
		n := int(now/(14*time.Millisecond)) % 60_000
		a := c.HandlePacket(now, synPacket(n, 0))
		if a.Upstream.DataCentre == "north" {
			local++
		}
		if !answers(a.Upstream) {
			unanswered++
			continue
		}
		answerHandshake(c, now+8*time.Millisecond, n, a.Cookie)
	}
	return unanswered, local, flows
}

// Guards against a try for each upstream of a data centre whose upstreams have ended together: they reset the
// callers, and the daemon sees only that nothing follows their SYNs.
func TestFlowsLeaveSilentDataCentre(t *testing.T) {
	c := newTwoCentreCore(40)
	all := func(*Upstream) bool { return true }
	_, local, flows := playFlows(c, 0, 2*time.Second, all)
	assert.Equal(t, local, flows)
	unanswered, _, _ := playFlows(c, 2*time.Second, 4*time.Second, func(u *Upstream) bool { return u.DataCentre == "south" })
	// Without it, about one flow for each upstream.
	assert.Assert(t, unanswered <= 20, "%d flows met upstreams that had ended", unanswered)
	playFlows(c, 4*time.Second, 14*time.Second, all)
	_, local, flows = playFlows(c, 14*time.Second, 16*time.Second, all)
	assert.Equal(t, local, flows)
}

// Guards against flows in another data centre because some callers go away after their SYN.
func TestCallersThatGoAwayMoveNoFlows(t *testing.T) {
	c := newTwoCentreCore(40)
	rng := rand.New(rand.NewPCG(1, 13))
	_, local, flows := playFlows(c, 0, 20*time.Second, func(*Upstream) bool { return rng.IntN(50) > 0 })
	assert.Assert(t, local >= flows*99/100, "%d of %d flows", local, flows)
}

// Guards against a daemon that is cut off taking its upstreams for ended, and against flows in another data
// centre when it is connected again.
func TestCutOffDaemonSuspectsNoDataCentre(t *testing.T) {
	c := newTwoCentreCore(40)
	all := func(*Upstream) bool { return true }
	playFlows(c, 0, time.Second, all)
	playFlows(c, time.Second, 3*time.Second, func(*Upstream) bool { return false })
	for _, r := range c.Release(3 * time.Second) {
		assert.Assert(t, r.Action.Reason != UnansweredSYN)
	}
	playFlows(c, 3*time.Second, 4*time.Second, all)
	_, local, flows := playFlows(c, 4*time.Second, 6*time.Second, all)
	assert.Equal(t, local, flows)
}

// Guards against several flows meeting an upstream that is still gone when its suspicion ends.
func TestOneFlowTriesUpstreamAfterSuspicion(t *testing.T) {
	c := newCore(2)
	for _, u := range c.upstreams {
		if u.Key == 1 {
			u.markSuspect(0)
		}
	}
	now, tries := suspicionDuration, 0
	for n := range 10 {
		if a := c.HandlePacket(now, synPacket(n, 0)); a.Upstream.Key == 1 {
			tries++
		}
	}
	// suspectPenalty is 3 requests for each of two slots: the other upstream takes that many before.
	assert.Assert(t, tries > 0 && tries <= 3, "%d of 10 flows", tries)
}
