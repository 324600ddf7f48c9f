package membership_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
)

// Guards against a crash that some member does not detect within 2 s, also with 5% loss and
// clocks that differ by up to 10 s.
func TestDeadMemberIsDetectedWithinTwoSeconds(t *testing.T) {
	for _, c := range []struct{ members, dataCentres, kills int }{{2, 1, 1}, {7, 1, 3}, {7, 4, 3}, {40, 1, 10}, {100, 1, 10}} {
		t.Run(fmt.Sprintf("%d members in %d data centres", c.members, c.dataCentres), func(t *testing.T) {
			var worst time.Duration
			for seed := range uint64(5) {
				n := cluster(t, seed, c.members, c.dataCentres)
				if seed%2 == 1 {
					n.loss = 0.05
					n.skewClocks()
				}
				for k := range c.kills {
					n.run(3 * time.Second)
					n.nodes[1+k].down = true
					took := n.runUntil(5*time.Second, n.deadMembersDetected)
					worst = max(worst, took)
				}
			}
			t.Logf("slowest detection by all members: %v", worst)
			assert.Assert(t, worst < 2*time.Second)
		})
	}
}

// Guards against living members that are declared dead, each of which moves ownership.
func TestNoFalseDeathAtFivePercentLoss(t *testing.T) {
	for _, c := range []struct {
		members, dataCentres int
		seeds                uint64
	}{{7, 1, 4}, {7, 3, 4}, {40, 1, 3}} {
		t.Run(fmt.Sprintf("%d members in %d data centres", c.members, c.dataCentres), func(t *testing.T) {
			suspicions := 0
			for seed := range c.seeds {
				n := cluster(t, seed, c.members, c.dataCentres)
				n.loss = 0.05
				n.onViewChange = func(d *node) {
					suspicions += countInState(d, membership.Suspect)
					assert.Equal(t, 0, countInState(d, membership.Dead), "%s at %v", d.member.Name, n.now)
				}
				n.run(10 * time.Minute)
			}
			t.Logf("suspects in all views of all members: %d", suspicions)
		})
	}
}

func countInState(d *node, s membership.State) int {
	c := 0
	for _, m := range d.view.Members {
		if m.State == s {
			c++
		}
	}
	return c
}

// Guards against data centres that do not serve on their own during a partition, and against
// lists that differ after it.
func TestPartitionOfDataCentresHeals(t *testing.T) {
	for _, c := range []struct{ members, dataCentres int }{{7, 3}, {36, 3}} {
		t.Run(fmt.Sprintf("%d members in %d data centres", c.members, c.dataCentres), func(t *testing.T) {
			for seed := range uint64(3) {
				n := cluster(t, seed, c.members, c.dataCentres)
				n.blocked = func(a, b *node) bool { return a.member.DataCentre != b.member.DataCentre }
				n.run(20 * time.Second)
				for _, d := range n.nodes {
					for _, m := range d.view.Members {
						local := m.DataCentre == d.member.DataCentre
						assert.Equal(t, local, m.State == membership.Serving, "%s lists %s as %v", d.member.Name, m.Name, m.State)
					}
				}
				n.blocked = nil
				took := n.runUntil(time.Minute, n.converged)
				t.Logf("lists converged %v after the partition", took)
				assert.Assert(t, took < 20*time.Second)
				for _, d := range n.nodes {
					assert.Equal(t, d.member.Incarnation, d.core.Self().Incarnation)
				}
			}
		})
	}
}

// Guards against a partition inside a data centre that leaves two different lists after it ends.
func TestPartitionInsideDataCentreHeals(t *testing.T) {
	n := cluster(t, 1, 12, 1)
	inFirstHalf := func(d *node) bool { return d.member.PeerAddr.Addr().As4()[3] < 6 }
	n.blocked = func(a, b *node) bool { return inFirstHalf(a) != inFirstHalf(b) }
	n.run(10 * time.Minute) // beyond RetainFor
	n.blocked = nil
	took := n.runUntil(time.Minute, n.converged)
	t.Logf("lists converged %v after the partition", took)
	assert.Assert(t, n.converged())
}

// Guards against a restarted daemon that is mistaken for its previous process.
func TestRestartedDaemonReplacesFormerProcess(t *testing.T) {
	n := cluster(t, 1, 7, 1)
	n.nodes[3].down = true
	n.run(100 * time.Millisecond)
	n.restart(3, 2)
	took := n.runUntil(5*time.Second, n.converged)
	t.Logf("serving everywhere %v after the restart", took)
	assert.Assert(t, n.converged())
}

// Guards against a daemon that serves with a smaller incarnation than its peers list, whether its
// previous process is listed as serving or as dead, or is no longer listed.
func TestDaemonWhoseClockWentBackRaisesIncarnation(t *testing.T) {
	for _, pause := range []time.Duration{0, 5 * time.Second, 7 * time.Minute} {
		n := newNetwork(t, 1)
		for i := range 5 {
			n.add(i, "dc-0", 50)
		}
		n.runUntil(time.Minute, n.converged)
		n.nodes[4].down = true
		n.run(pause)
		n.restart(4, 9)
		d := n.nodes[4]
		n.runUntil(10*time.Second, n.converged)
		assert.Assert(t, n.converged())
		assert.DeepEqual(t, []membership.Action{
			membership.IncarnationRaised{Incarnation: 51},
			membership.Joined{},
		}, d.actions)
	}
}

// Guards against planned stops that are detected only by suspicion.
func TestPlannedStopReachesAllMembersWithinOneSecond(t *testing.T) {
	n := cluster(t, 1, 40, 1)
	d := n.nodes[7]
	n.step(d, membership.Leave{})
	n.run(time.Second)
	for _, o := range n.nodes {
		m, _ := o.view.Find(d.member.ID)
		assert.Equal(t, membership.Leaving, m.State)
	}
	n.step(d, membership.Stop{})
	d.down = true
	took := n.runUntil(5*time.Second, n.deadMembersDetected)
	t.Logf("stop reached all members after %v", took)
	assert.Assert(t, took < time.Second)
}

// Guards against a daemon that declares its peers dead after a pause of its own process.
func TestPausedDaemonDeclaresNoPeerDead(t *testing.T) {
	n := cluster(t, 1, 7, 1)
	d := n.nodes[2]
	n.onViewChange = func(o *node) {
		if o == d {
			assert.Equal(t, 0, countInState(d, membership.Dead))
		}
	}
	for range 5 {
		d.pausedUntil = n.now.Add(3 * time.Second)
		n.run(10 * time.Second)
	}
	assert.Assert(t, n.converged())
}

// Guards against incarnations that decrease in a view and dead members that stale messages
// revive, with any mixture of crashes, restarts, loss and replayed messages.
func TestIncarnationsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := newNetwork(t, rapid.Uint64().Draw(r, "seed"))
		n.loss = rapid.Float64Range(0, 0.2).Draw(r, "loss")
		n.replayShare = 0.05
		for i := range 5 {
			n.add(i, fmt.Sprintf("dc-%d", i%2), 1)
		}
		incarnations := make(map[*node]map[ident.DaemonID]ident.Incarnation)
		deadMembers := make(map[*node]map[ident.DaemonID]membership.Member)
		n.onViewChange = func(d *node) { checkView(r, d, incarnations, deadMembers) }
		n.run(3 * time.Second)
		for step := range rapid.IntRange(1, 8).Draw(r, "steps") {
			i := rapid.IntRange(0, 4).Draw(r, "daemon")
			n.nodes[i].down = true
			n.run(time.Duration(rapid.IntRange(0, 4000).Draw(r, "down ms")) * time.Millisecond)
			n.restart(i, uint64(rapid.IntRange(1, step+3).Draw(r, "incarnation")))
			n.run(time.Duration(rapid.IntRange(0, 4000).Draw(r, "up ms")) * time.Millisecond)
		}
	})
}

func checkView(r *rapid.T, d *node, incarnations map[*node]map[ident.DaemonID]ident.Incarnation, deadMembers map[*node]map[ident.DaemonID]membership.Member) {
	if incarnations[d] == nil {
		incarnations[d] = make(map[ident.DaemonID]ident.Incarnation)
		deadMembers[d] = make(map[ident.DaemonID]membership.Member)
	}
	for _, m := range d.view.Members {
		if m.Incarnation < incarnations[d][m.ID] {
			r.Fatalf("%s lists %s at %d after %d", d.member.Name, m.Name, m.Incarnation, incarnations[d][m.ID])
		}
		incarnations[d][m.ID] = m.Incarnation
		dead, known := deadMembers[d][m.ID]
		if m.State == membership.Dead {
			deadMembers[d][m.ID] = m
		} else if known && m.Incarnation == dead.Incarnation && m.Revision <= dead.Revision {
			r.Fatalf("%s lists %s as %v again at revision %d", d.member.Name, m.Name, m.State, m.Revision)
		}
	}
}

// Guards against two processes with the same name that both serve.
func TestServingDaemonReportsLargerIncarnationOnce(t *testing.T) {
	n := cluster(t, 1, 3, 1)
	d, peer := n.nodes[0], n.nodes[1].member
	m := &peerpb.Membership{Kind: peerpb.Membership_KIND_GOSSIP, From: uint64(peer.ID), Updates: []*peerpb.Member{{
		Id: uint64(d.member.ID), Incarnation: 9, State: peerpb.MemberState_MEMBER_STATE_SERVING,
	}}}
	for range 2 {
		n.step(d, membership.Received{From: peer.PeerAddr, Message: m})
	}
	assert.DeepEqual(t, []membership.Action{membership.Joined{}, membership.Superseded{Incarnation: 9}}, d.actions)
}

// Guards against a daemon that never serves because no seed answers.
func TestDaemonWithoutPeersJoinsAlone(t *testing.T) {
	n := newNetwork(t, 1)
	d := n.add(5, "dc-0", 1)
	n.run(2 * time.Second)
	assert.DeepEqual(t, []membership.Action{membership.Joined{Alone: true}}, d.actions)
}

// Guards against two daemons that answer each other with ever more messages, because one does not
// list the other, whose messages lack its entry.
func TestUnknownSenderIsAnsweredOnce(t *testing.T) {
	n := cluster(t, 1, 2, 1)
	d, peer := n.nodes[0], n.nodes[1]
	m := &peerpb.Membership{Kind: peerpb.Membership_KIND_ACK, From: uint64(ident.Daemon("stranger"))}
	sentCount := 0
	for range 5 {
		for _, a := range d.core.Step(n.now, membership.Received{From: address(9), Message: m}) {
			sentCount++
			m := a.(membership.Send).Message
			answers := peer.core.Step(n.now, membership.Received{From: d.member.PeerAddr, Message: m})
			assert.Equal(t, len(answers), 1)
			updates := answers[0].(membership.Send).Message.Updates
			assert.Equal(t, updates[0].Id, uint64(peer.member.ID))
			assert.Equal(t, updates[0].Name, peer.member.Name)
		}
	}
	assert.Equal(t, sentCount, 1)
}

// Guards against a death that one side never receives: the other lists the dead member only as a
// tombstone without a data centre, which no digest covers.
func TestOutdatedListIsCorrected(t *testing.T) {
	n := cluster(t, 1, 2, 2)
	d, peer := n.nodes[0], n.nodes[1]
	gone := &peerpb.Member{Id: uint64(ident.Daemon("gone")), Incarnation: 1, State: peerpb.MemberState_MEMBER_STATE_DEAD}
	list := &peerpb.Membership{Kind: peerpb.Membership_KIND_SYNC, From: uint64(peer.member.ID), Updates: []*peerpb.Member{gone}}
	d.core.Step(n.now, membership.Received{From: peer.member.PeerAddr, Message: list})
	list.Updates = []*peerpb.Member{{Id: gone.Id, Incarnation: 1, State: peerpb.MemberState_MEMBER_STATE_SERVING}}
	answers := d.core.Step(n.now, membership.Received{From: peer.member.PeerAddr, Message: list})
	assert.Equal(t, len(answers), 1)
	correction := answers[0].(membership.Send).Message.Updates[0]
	assert.Equal(t, correction.Id, gone.Id)
	assert.Equal(t, correction.State, gone.State)
}

// Guards against messages of a faulty peer that crash the daemon or make it send oversize ones.
func TestArbitraryMessagesDoNoHarm(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := cluster(t, 1, 3, 2)
		d := n.nodes[0]
		ids := []uint64{uint64(d.member.ID), uint64(n.nodes[1].member.ID), 7}
		for range rapid.IntRange(1, 20).Draw(r, "messages") {
			m := &peerpb.Membership{
				Kind:          peerpb.Membership_Kind(rapid.IntRange(0, 7).Draw(r, "kind")),
				Sequence:      rapid.Uint32().Draw(r, "sequence"),
				From:          rapid.SampledFrom(ids).Draw(r, "from"),
				TargetAddress: rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(r, "target"),
				Pull:          rapid.Bool().Draw(r, "pull"),
				Answer:        rapid.Bool().Draw(r, "answer"),
			}
			for range rapid.IntRange(0, 3).Draw(r, "updates") {
				m.Updates = append(m.Updates, &peerpb.Member{
					Id: rapid.SampledFrom(ids).Draw(r, "id"), Incarnation: rapid.Uint64Range(0, 3).Draw(r, "incarnation"),
					Revision: rapid.Uint32Range(0, 4).Draw(r, "revision"), State: peerpb.MemberState(rapid.IntRange(-1, 6).Draw(r, "state")),
					DataCentre: rapid.String().Draw(r, "data centre"), PeerAddress: rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(r, "address"),
					SuspicionMs: rapid.Uint32().Draw(r, "age"),
				})
			}
			for range rapid.IntRange(0, 2).Draw(r, "digests") {
				m.Digests = append(m.Digests, &peerpb.Digest{
					DataCentre: uint32(ident.DataCentre(rapid.SampledFrom([]string{"dc-0", "dc-1", "x"}).Draw(r, "centre"))),
					Buckets:    make([]byte, rapid.SampledFrom([]int{0, 3, 256}).Draw(r, "buckets")), Mask: rapid.Uint64().Draw(r, "mask"),
				})
			}
			n.step(d, membership.Received{From: n.nodes[1].member.PeerAddr, Message: m})
			n.run(50 * time.Millisecond)
		}
	})
}
