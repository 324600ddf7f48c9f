package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/control/directory"
)

const (
	urgentPriority = 1
	normalPriority = 2
	answerBytes    = 2400
	rejectionBytes = 120
)

// Guards against refusing new flows because a few upstreams fail: three of 14 reject all their requests,
// and the others have capacity.
func TestFailingUpstreamsRefuseNoFlow(t *testing.T) {
	c := newCore(14)
	rng := rand.New(rand.NewPCG(1, 3))
	now := time.Duration(0)
	for n := range 2000 {
		now += 5 * time.Millisecond
		u := c.upstreams[directory.Incarnation{Key: directory.Key(1 + rng.IntN(14)), StartUnixMs: 1}]
		answered := uint32(answerBytes)
		if u.Key <= 3 {
			answered = rejectionBytes
		}
		request := dataPacket(n, 1, u.cookie)
		request.Ack = 1
		c.HandlePacket(now, request)
		answer := dataPacket(n, 101, u.cookie)
		answer.Length, answer.Ack = 0, 1+answered
		c.HandlePacket(now, answer)
		assert.Equal(t, c.HandlePacket(now, synPacket(10_000+n, 0)).Verdict, Forward)
	}
	assert.Assert(t, c.admissions["a"].rejectedShare(now) > refusalFullShare)
}

// Guards against refusing flows because of a single rejection by a rarely used service, or because of old rejections.
func TestFewOrOldRejectionsRefuseNoFlow(t *testing.T) {
	a := newAdmission()
	a.recordAnswer(10*time.Second, true)
	assert.Equal(t, a.recordFlow(10*time.Second, normalPriority), 0.0)
	for range 20 {
		a.recordAnswer(20*time.Second, true)
	}
	assert.Equal(t, a.recordFlow(20*time.Second, normalPriority), 1.0)
	assert.Equal(t, a.recordFlow(20*time.Second+5*rejectionDecayTime, normalPriority), 0.0)
}

// Guards against a flood of the most urgent flows never being refused because no flows are less urgent.
func TestFloodOfUrgentFlowsIsRefused(t *testing.T) {
	a := newAdmission()
	for range 100 {
		a.recordAnswer(time.Second, true)
		a.recordFlow(time.Second, urgentPriority)
	}
	assert.Equal(t, a.recordFlow(time.Second, urgentPriority), 1.0)
}

// Guards against successes being counted as rejections: long answers whose first acknowledged part
// varies in size, and short successes.
func TestRejectionsAreRecognised(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 4))
	var long, short answerProfile
	for range 1000 {
		assert.Assert(t, !long.recordSize(uint32(segmentBytes+rng.IntN(16*segmentBytes))))
		assert.Assert(t, !short.recordSize(uint32(100+rng.IntN(100))))
	}
	for i := range 200 {
		if i%5 == 0 {
			long.recordSize(20_000)
			continue
		}
		assert.Assert(t, long.recordSize(rejectionBytes))
	}
}

// Guards against frequent overload changes, each of which is logged, while the share of rejections
// fluctuates around the threshold.
func TestOverloadDoesNotFlap(t *testing.T) {
	c := newCore(3)
	rng := rand.New(rand.NewPCG(1, 6))
	now, changes := time.Duration(0), 0
	for range 20_000 {
		now += 2 * time.Millisecond
		for _, u := range c.upstreams {
			u.rejectionBackoffUntil = now + time.Second
		}
		a := c.admissions["a"]
		a.recordFlow(now, normalPriority)
		a.recordAnswer(now, rng.Float64() < 1.1*refusalStartShare)
		c.updateOverload(now, "a", a)
		changes += len(c.TakeOverloadChanges())
	}
	assert.Assert(t, changes > 0 && changes <= 20, "%d changes in 40 s", changes)
}

// Guards against refusing flows because a route has short successes: three of ten answers have no body,
// and the upstreams have capacity.
func TestShortAnswersRefuseNoFlow(t *testing.T) {
	c := newCore(14)
	rng := rand.New(rand.NewPCG(1, 9))
	now := time.Duration(0)
	for n := range 20_000 {
		now += time.Duration(rng.IntN(10)) * time.Millisecond
		u := c.upstreams[directory.Incarnation{Key: directory.Key(1 + rng.IntN(14)), StartUnixMs: 1}]
		caller := n % 500
		request := dataPacket(caller, uint32(n), u.cookie)
		request.Ack = uint32(1 + 10_000*n)
		c.HandlePacket(now, request)
		answer := dataPacket(caller, uint32(n)+100, u.cookie)
		answer.Length, answer.Ack = 0, request.Ack+answerBytes
		if rng.IntN(10) < 3 {
			answer.Ack = request.Ack + rejectionBytes
		}
		c.HandlePacket(now, answer)
		if rng.IntN(40) == 0 {
			assert.Equal(t, c.HandlePacket(now, synPacket(1000+n, 0)).Verdict, Forward)
		}
	}
	assert.Assert(t, c.admissions["a"].rejectedShare(now) > refusalFullShare)
}

// Guards against refusing less urgent callers because more urgent ones flood: the request rate of the
// urgent route grows tenfold, that of the other does not change, and a fifth of all requests is rejected.
func TestFloodingPriorityIsRefusedFirst(t *testing.T) {
	a := newAdmission()
	now := time.Duration(0)
	simulate := func(urgentEvery int, rejected bool) (urgent, normal float64) {
		a.refusing = rejected
		for i := range 1000 {
			now += 10 * time.Millisecond
			a.recordRequest(now, normalPriority, rejected)
			if i%urgentEvery == 0 {
				a.recordRequest(now, urgentPriority, rejected)
			}
			if urgentEvery == 1 {
				for range 2 {
					a.recordRequest(now, urgentPriority, rejected)
				}
			}
			a.recordAnswer(now, rejected && i%5 == 0)
			urgent, normal = a.recordFlow(now, urgentPriority), a.recordFlow(now, normalPriority)
		}
		return urgent, normal
	}
	urgent, normal := simulate(4, false)
	assert.Equal(t, urgent+normal, 0.0)
	urgent, normal = simulate(1, true)
	assert.Assert(t, urgent > 0.5 && normal < 0.2, "%v %v", urgent, normal)
}
