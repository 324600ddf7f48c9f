package forward

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/control/directory"
)

// Guards against faults that depend on the order of tables, registrations and packets after the start of
// a daemon. A packet of an open flow must go to the upstream that its cookie identifies, or whose sequence numbers
// it acknowledges, no new flow may be
// reset before the daemon is prepared, or while an upstream has a copy of its SYN, or be placed in an evacuated data
// centre or on a cold upstream beyond its budget, each reset must have an allowed reason, and the load that the
// daemon counts must be that of its flows. Every other seed has a link and a bounded warm-up.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 7))
		cfg := Config{DataCentre: "north"}
		bounded := seed%2 == 1
		if bounded {
			cfg.Name, cfg.LinkBytesPerSecond, cfg.WarmupTolerance, cfg.AnnouncementInterval = "edge", 20_000, testTolerance, testInterval
		}
		c := New(cfg, rand.New(rand.NewPCG(seed, 8)))
		acks := map[Flow][]forwardedAck{}
		handle := func(now time.Duration, p *Packet) {
			var tried []*Upstream
			if s := c.flows[p.Flow()]; s != nil && p.Flags&SYN != 0 && now-s.lastSeen < synRetryWindow {
				tried = s.triedUpstreams
			}
			a := c.HandlePacket(now, p)
			c.RecordTraffic(now, p, a, 300, 300)
			checkAction(t, c, now, p, a, acks)
			if len(tried) > 0 && a.Verdict == Reset {
				assert.Assert(t, a.Reason == NoRoute || a.Reason == NoUpstream && len(c.placeableByService["a"]) == 0, "%v after a copy", a.Reason)
			}
		}
		states := map[directory.Key]directory.State{}
		now, version := time.Duration(0), uint64(0)
		for range 2000 {
			now += time.Duration(rng.IntN(30)) * time.Millisecond
			key := directory.Key(1 + rng.IntN(6))
			switch rng.IntN(40) {
			case 0:
				version++
				table := testTable(version, route443)
				if rng.IntN(2) == 0 {
					table = testTable(version, route443, route80)
				}
				if bounded {
					table.Warmups = warmupTable().Warmups
				}
				c.SetTable(table)
			case 1:
				state := directory.State(1 + rng.IntN(3))
				if states[key] == directory.Gone {
					state = directory.Gone // final
				}
				states[key] = state
				r := testUpstream(key, []string{"north", "south"}[rng.IntN(2)], state)
				r.Silent = rng.IntN(4) == 0
				if bounded && rng.IntN(3) == 0 {
					r.WarmupEnd, r.WarmupSponsor = now+coldTime, []string{"", "edge", "other"}[rng.IntN(3)]
				}
				c.SetUpstream(r)
			case 2:
				c.RemoveUpstream(directory.Incarnation{Key: key, StartUnixMs: 1})
				delete(states, key)
			case 3:
				for _, r := range c.Release(now) {
					c.RecordTraffic(now, &r.Packet, r.Action, 0, 300)
					checkAction(t, c, now, &r.Packet, r.Action, acks)
				}
			case 4:
				if version > 0 && rng.IntN(10) == 0 {
					c.SetPrepared()
				}
			case 6:
				var evacuated []string
				for _, name := range []string{"north", "south"} {
					if rng.IntN(3) == 0 {
						evacuated = append(evacuated, name)
					}
				}
				c.SetEvacuations(now, uint64(rng.IntN(3))+c.EvacuationRevision(), evacuated)
			case 5:
				c.TakeFlowsToReset()
				c.TakeOverloadChanges()
			default:
				p := randomPacket(rng, key)
				handle(now, p)
			}
			checkBudgets(t, c, now)
		}
		checkBalances(t, c)
		now += time.Minute
		c.sweep(now)
		c.RecordTraffic(now, synPacket(1, 0), Action{Reason: LateSYN}, 0, 0)
		checkBalances(t, c)
		assert.Equal(t, len(c.flows)+len(c.link.charges)+len(c.link.order), 0)
		assert.Equal(t, c.link.backlog, byteCount{})
	}
}

// checkBalances checks that each upstream is charged with the flows of the daemon, and with nothing else.
func checkBalances(t *testing.T, c *Core) {
	t.Helper()
	type load struct{ flows, inProgress int }
	loads, limited := map[*Upstream]load{}, 0
	for _, u := range c.upstreams {
		loads[u] = load{}
	}
	for _, s := range c.flows {
		l := loads[s.upstream]
		l.flows++
		if s.halfOpen {
			l.inProgress++
		}
		if s.awaitingAnswer {
			l.inProgress++
		}
		loads[s.upstream] = l
		if s.limited {
			limited++
		}
	}
	for u, l := range loads {
		assert.Equal(t, load{u.flows, u.inProgress}, l)
		assert.Equal(t, len(u.work), u.inProgress)
	}
	if l := c.limits["a"]; l != nil {
		assert.Equal(t, l.inProgress, limited)
	}
	for _, charge := range c.link.charges {
		assert.Assert(t, slices.Contains(c.link.order, charge))
	}
}

// checkBudgets checks that cold upstreams have got no more flows than their sponsor may place.
func checkBudgets(t *testing.T, c *Core, now time.Duration) {
	t.Helper()
	for _, u := range c.upstreams {
		recent := 0
		for _, at := range u.recentPlacements {
			if now-at < warmupWindow {
				recent++
			}
		}
		if w, bounded := c.warmupOf(u.Service); bounded {
			assert.Assert(t, recent <= c.sponsorBudget(w), "%d", recent)
		}
	}
}

func randomPacket(rng *rand.Rand, key directory.Key) *Packet {
	n := rng.IntN(40)
	p := dataPacket(n, uint32(rng.IntN(5))*100, directory.Incarnation{Key: key, StartUnixMs: 1}.Cookie())
	p.Ack = sequenceStart(key) + uint32(rng.IntN(20))*150
	if rng.IntN(2) == 0 {
		p.Dest = route80
	}
	switch rng.IntN(8) {
	case 0, 1:
		p.Flags, p.Cookie, p.Length, p.Ack = SYN, 0, 0, uint32(rng.IntN(3))
	case 2:
		p.Flags |= FIN
	case 3:
		p.Length = 0
	case 4:
		p.Cookie = directory.Cookie(rng.IntN(2)) // none, or an unknown one
	case 5:
		p.Cookie = directory.Incarnation{Key: directory.Key(1 + rng.IntN(6)), StartUnixMs: 1}.Cookie() // of a late answer
	}
	return p
}

// sequenceStart returns the first sequence number of an upstream's end of a flow.
func sequenceStart(key directory.Key) uint32 { return uint32(key) << 28 }

// forwardedAck is an acknowledgement that was forwarded, and its receiver.
type forwardedAck struct {
	upstream *Upstream
	ack      uint32
}

// assertRightUpstream checks that a packet goes to the upstream that its cookie identifies, or to the one at
// which its flow opened: if the packet acknowledges what that one has sent, or if the cookie is that of another
// upstream that had got a copy of the SYN.
func assertRightUpstream(t *testing.T, c *Core, p *Packet, a Action, acks map[Flow][]forwardedAck) {
	t.Helper()
	earlier := acks[p.Flow()]
	acks[p.Flow()] = append(earlier, forwardedAck{a.Upstream, p.Ack})
	if a.Upstream.Cookie() == p.Cookie || p.Cookie == 0 {
		if p.Cookie != 0 {
			assert.Equal(t, a.Cookie, p.Cookie)
		}
		return
	}
	assert.Equal(t, a.Cookie, a.Upstream.Cookie())
	if slices.ContainsFunc(earlier, func(e forwardedAck) bool { return e.upstream == a.Upstream && continuesFrom(e.ack, p) }) {
		return
	}
	state := c.flows[p.Flow()]
	if state == nil { // closed by this packet
		assert.Assert(t, p.Flags&(FIN|RST) != 0)
		return
	}
	assert.Assert(t, !state.halfOpen && state.upstream == a.Upstream && a.Cookie == a.Upstream.Cookie())
	assert.Assert(t, slices.Contains(state.triedUpstreams, c.upstreamsByCookie[p.Cookie]))
}

func checkAction(t *testing.T, c *Core, now time.Duration, p *Packet, a Action, acks map[Flow][]forwardedAck) {
	t.Helper()
	switch a.Verdict {
	case Forward:
		assert.Assert(t, a.Upstream != nil)
		if p.Flags&SYN == 0 {
			assertRightUpstream(t, c, p, a, acks)
		}
		if p.Flags&SYN != 0 {
			assert.Equal(t, a.Upstream.State, directory.Ready)
			assert.Assert(t, !c.evacuations.includes(a.Upstream.DataCentre))
			if w, bounded := c.warmupOf(a.Upstream.Service); bounded && c.isCold(now, a.Upstream, w) {
				assert.Equal(t, a.Upstream.WarmupSponsor, c.cfg.Name)
			}
		}
	case Reset:
		if p.Flags&SYN != 0 {
			assert.Assert(t, c.prepared && (a.Reason == NoRoute || a.Reason == NoUpstream || a.Reason == Overloaded || a.Reason == OverLimit || a.Reason == OverLink || a.Reason == WarmingUp || a.Reason == NoAnswer || a.Reason == Evacuated && len(c.evacuations.dataCentres) > 0), "%v", a.Reason)
		} else {
			assert.Assert(t, a.Reason == UpstreamGone || a.Reason == RouteRemoved, "%v", a.Reason)
		}
	}
}
