package forward

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/control/directory"
)

// Guards against new requests being late after an outage because all waiting callers are placed at once. 28
// slots serve 850 requests a second and 400 arrive; 300 callers wait for a daemon without a table, most of
// them for longer than their objective of 150 ms.
func TestOverdueFlowsYieldAfterOutage(t *testing.T) {
	const (
		slots    = 28
		workTime = 33 * time.Millisecond
		tick     = time.Millisecond
		outage   = 250 * time.Millisecond
	)
	c := New(Config{DataCentre: "north"}, rand.New(rand.NewPCG(1, 2)))
	type job struct {
		caller  int
		cookie  directory.Cookie
		arrived time.Duration
	}
	var queue []job
	var busyUntil [slots]time.Duration
	running := map[int]job{}
	placed := func(now time.Duration, n int, a Action, arrived time.Duration) {
		request := dataPacket(n, 1, a.Cookie)
		request.Ack = 1
		c.HandlePacket(now, request)
		queue = append(queue, job{n, a.Cookie, arrived})
	}
	arrivals := map[int]time.Duration{}
	newInTime, newTotal, overdueServed := 0, 0, 0
	rng := rand.New(rand.NewPCG(7, 7))
	for caller, now := 0, time.Duration(0); now < 2*time.Second; now += tick {
		if now == outage {
			table := testTable(1, route443)
			table.Routes[0].Objective = 150 * time.Millisecond
			c.SetTable(table)
			for key := range directory.Key(14) {
				c.SetUpstream(testUpstream(key+1, "north", directory.Ready))
			}
			c.SetPrepared()
		}
		count := 0
		if now < 100*time.Millisecond {
			count = 3 // callers that come back, with the second copy of their SYN
		} else if rng.IntN(10) < 4 {
			count = 1
		}
		for range count {
			caller++
			copies := uint32(0)
			if now < 100*time.Millisecond {
				copies = 1
			}
			arrivals[caller] = now
			if a := c.HandlePacket(now, synPacket(caller, copies)); a.Verdict == Forward {
				placed(now, caller, a, now)
			}
		}
		if now >= outage && (c.ReleaseDue() || now%(50*time.Millisecond) == 0) {
			for _, r := range c.Release(now) {
				if r.Action.Verdict == Forward {
					n := int(r.Packet.Caller.Addr().As4()[2])<<8 | int(r.Packet.Caller.Addr().As4()[3])
					placed(now, n, r.Action, arrivals[n])
				}
			}
		}
		for i := range busyUntil {
			if j, ok := running[i]; ok && now >= busyUntil[i] {
				delete(running, i)
				last := dataPacket(j.caller, 101, j.cookie)
				last.Length, last.Ack, last.Flags = 0, 1+answerBytes, ACK|FIN
				c.HandlePacket(now, last)
				switch {
				case j.arrived < 100*time.Millisecond:
					overdueServed++
				case j.arrived >= outage && j.arrived < 1800*time.Millisecond && now-j.arrived <= 150*time.Millisecond:
					newInTime++
				}
			}
			if _, busy := running[i]; !busy && len(queue) > 0 {
				running[i], queue = queue[0], queue[1:]
				busyUntil[i] = now + workTime
			}
		}
		if now >= outage && now < 1800*time.Millisecond {
			newTotal += count
		}
	}
	t.Logf("%d of %d new requests in time, %d overdue ones served", newInTime, newTotal, overdueServed)
	assert.Assert(t, float64(newInTime) >= 0.98*float64(newTotal))
	assert.Assert(t, overdueServed > 0)
}

// Guards against a single lost SYN waiting: outside an outage overdue flows are placed at once.
func TestSingleOverdueFlowIsPlacedAtOnce(t *testing.T) {
	c := newLimitCore(4)
	for n := range 20 {
		now := time.Duration(n) * time.Second
		c.HandlePacket(now, synPacket(n, 0))
		assert.Equal(t, c.HandlePacket(now+200*time.Millisecond, synPacket(n, 1)).Reason, PlacedAgain)
		c.closeFlow(synPacket(n, 0).Flow())
	}
}

// Guards against flows that wait for ever for their turn, and against a reset of a flow that has opened at
// another daemon, which got another copy of the SYN.
func TestTurnWaitIsBounded(t *testing.T) {
	c := newLimitCore(4)
	fillWindow := func(now time.Duration, firstCaller int) { // requests that are never answered
		for n := range 10 {
			a := c.HandlePacket(now, synPacket(firstCaller+n, 0))
			c.HandlePacket(now, dataPacket(firstCaller+n, 1, a.Cookie))
		}
	}
	fillWindow(0, 100)
	assert.Equal(t, c.HandlePacket(0, synPacket(1, 2)), Action{Verdict: Hold, Reason: AwaitingTurn})
	fillWindow(290*time.Millisecond, 200) // earlier requests lose their places after two objectives
	assert.Equal(t, len(c.Release(maxTurnWait-1)), 0)
	released := c.Release(maxTurnWait)
	assert.Equal(t, len(released), 1)
	assert.Equal(t, released[0].Action, Action{Verdict: Drop, Reason: Overdue})
}

// Guards against a reset of a flow that has opened through an earlier copy of its SYN while a later copy waited
// for its turn, or arrived late during a limit.
func TestCopyOfOpenFlowIsNotRefused(t *testing.T) {
	c := newLimitCore(4)
	first := c.HandlePacket(0, synPacket(1, 0))
	for n := range 10 {
		a := c.HandlePacket(190*time.Millisecond, synPacket(100+n, 0))
		c.HandlePacket(190*time.Millisecond, dataPacket(100+n, 1, a.Cookie))
	}
	assert.Equal(t, c.HandlePacket(200*time.Millisecond, synPacket(1, 1)).Verdict, Hold)
	request := dataPacket(1, 1, first.Cookie)
	request.Ack = 1
	c.HandlePacket(210*time.Millisecond, request)
	released := c.Release(time.Second)
	assert.Equal(t, len(released), 1)
	assert.Equal(t, released[0].Action, Action{Verdict: Drop, Reason: LateSYN})

	l := c.limitOf("a")
	l.active, l.size, l.slowShare, l.refusedAt = true, 0, 1, time.Second
	assert.Equal(t, c.HandlePacket(time.Second, synPacket(1, 0)), Action{Verdict: Drop, Reason: LateSYN})
	request.Seq = 101
	assert.Equal(t, c.HandlePacket(time.Second, request).Upstream, first.Upstream)
}

// Guards against a reset of a flow whose SYN this daemon has held for so long that another daemon may have
// placed the caller's next copy. It must not be placed either: the late answer of a second upstream would change the
// cookie of the open flow.
func TestLongHeldSYNIsNotRefused(t *testing.T) {
	c := New(Config{DataCentre: "north"}, rand.New(rand.NewPCG(1, 2)))
	assert.Equal(t, c.HandlePacket(0, synPacket(1, 0)).Verdict, Hold)
	assert.Equal(t, c.HandlePacket(150*time.Millisecond, synPacket(2, 0)).Verdict, Hold)
	c.SetTable(testTable(1, route443))
	c.SetUpstream(testUpstream(1, "north", directory.Ready))
	c.SetPrepared()
	l := c.limitOf("a")
	l.active, l.size, l.slowShare, l.refusedAt = true, 0, 1, 200*time.Millisecond
	actions := map[netip.AddrPort]Action{}
	for _, r := range c.Release(200 * time.Millisecond) {
		actions[r.Packet.Caller] = r.Action
	}
	assert.Equal(t, actions[testCaller(1)], Action{Verdict: Drop, Reason: StaleSYN})
	assert.Equal(t, actions[testCaller(2)].Verdict, Reset, "its caller has sent no other copy")
}
