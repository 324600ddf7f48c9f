package forward

import (
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

// Guards against requests that are late because their first packet met an upstream that does not answer:
// the SYN is sent to another one before the caller repeats it, and few flows meet the dead one again.
func TestUnansweredHandshakeGoesElsewhere(t *testing.T) {
	const (
		gap       = 20 * time.Millisecond
		roundTrip = 8 * time.Millisecond
		dead      = directory.Key(1)
	)
	c := newCore(5)
	late, metDead := 0, 0
	for n := range 1500 { // 30 s
		now := time.Duration(n) * gap
		a := c.HandlePacket(now, synPacket(n, 0))
		if a.Upstream.Key != dead || now < 2*time.Second {
			answerHandshake(c, now+roundTrip, n, a.Cookie)
			continue
		}
		metDead++
		due, ok := c.NextHandshakeCheck()
		assert.Assert(t, ok)
		released := c.Release(due)
		if len(released) == 0 || due-now > 50*time.Millisecond {
			late++
			continue
		}
		assert.Equal(t, len(released), 1)
		assert.Equal(t, released[0].Action.Reason, PlacedAgain)
		assert.Assert(t, released[0].Action.Upstream.Key != dead)
		answerHandshake(c, due+roundTrip, n, released[0].Action.Cookie)
	}
	assert.Equal(t, late, 0)
	assert.Assert(t, metDead > 0 && metDead <= 8, "%d flows met the dead upstream in 28 s", metDead)
}

// Guards against every SYN being sent twice when no upstream answers in time, or the daemon is too slow to
// see the answers.
func TestReplacementsAreBounded(t *testing.T) {
	c := newCore(20)
	replaced := 0
	for n := range 500 {
		now := time.Duration(n) * 10 * time.Millisecond
		c.HandlePacket(now, synPacket(n, 0))
		replaced += len(c.Release(now))
	}
	assert.Assert(t, replaced <= maxReplacements+500*replacementShare, "%d of 500", replaced)
}

// Guards against a handshake being sent to another upstream after it was completed, or twice.
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
	c.handshakes.budget = maxReplacements
	assert.Equal(t, len(c.Release(maxHandshakeLimit)), 1)
	assert.Equal(t, len(c.Release(2*maxHandshakeLimit)), 0)
}
