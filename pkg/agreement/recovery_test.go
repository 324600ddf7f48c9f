package agreement_test

import (
	"encoding/binary"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/storage"
)

const (
	recoverySeeds  = 300
	recoveredGroup = testGroup + 1
)

// recover makes the host's copy the only voter of a new group, as the operator's command does. A
// fault of the file system may interrupt it; it is then run again.
func (s *sim) recover(t *testing.T, h *host) agreement.State {
	for {
		h.fs.FailIn(s.rng.IntN(8))
		st, err := storage.Load(h.fs, dataDir)
		assert.NilError(t, err)
		if st.HardState.Group == recoveredGroup {
			h.fs.Restart()
			return st
		}
		reg := newRegister()
		for data := st.Snapshot.Data; len(data) > 0; data = data[8:] {
			reg.append(binary.BigEndian.Uint64(data))
		}
		for _, e := range st.Entries {
			if e.Kind == agreement.EntryData {
				reg.append(binary.BigEndian.Uint64(e.Data))
			}
		}
		h.next++
		next := agreement.RecoveredState(&st, agreement.Replica{ID: h.id, Incarnation: h.next}, recoveredGroup, reg.encode())
		if storage.Recover(h.fs, dataDir, next) != nil {
			h.fs.Crash()
		}
	}
}

// Guards against a recovery that loses entries of the surviving copy, that a crash leaves half done,
// or whose group messages and replicas of the old one disturb.
func TestRecoverRandomly(t *testing.T) {
	recovered := 0
	for seed := range uint64(recoverySeeds) {
		s := newSim(seed, switches{})
		for range 60 + s.rng.IntN(100) {
			s.step(true)
		}
		survivor := s.hosts[s.rng.IntN(len(s.hosts))]
		if s.check.found != nil || survivor.self == agreement.None {
			continue
		}
		old := s.hosts[int(survivor.id)%len(s.hosts)] // keeps the old group's files
		s.crash(old)
		if st, err := storage.Load(old.fs, dataDir); err != nil || st.LatestMembership().Voters() < 2 {
			continue // the old group has lost no majority
		}
		s.crash(survivor)
		kept := s.recover(t, survivor)
		for _, h := range s.hosts {
			h.removed = false // nobody empties its folder
			if h != survivor && h != old {
				s.crash(h)
				h.fs.LoseDisk()
				h.next++
			}
		}
		// The new group's log shares no index with the old one's, but terms may be equal.
		s.check.leaders = map[uint64]agreement.Replica{}
		s.check.committed = confIndex{kept.Snapshot.Index, kept.Snapshot.Membership}
		s.heal()
		for range 200 {
			s.step(false)
		}
		s.expectRecovered(t, seed, kept, survivor, old)
		recovered++
	}
	assert.Assert(t, recovered > recoverySeeds/2, "%d schedules ended in a recovery", recovered)
}

// expectRecovered checks that all hosts but the one of the old group hold the kept state.
func (s *sim) expectRecovered(t *testing.T, seed uint64, kept agreement.State, survivor, old *host) {
	t.Helper()
	if s.check.found != nil {
		t.Fatalf("seed %d: %s: %s", seed, s.check.found.kind, s.check.found.detail)
	}
	members := survivor.node.Status().Membership
	assert.Equal(t, members.Voters(), len(s.hosts)-1, "seed %d: %s", seed, s.describe())
	_, joined := members.Find(old.id)
	assert.Assert(t, !joined, "seed %d: a replica of the old group joined", seed)
	for _, h := range s.hosts {
		if h == old {
			assert.Assert(t, h.reg.applied < kept.Snapshot.Index, "seed %d", seed)
			continue
		}
		assert.Assert(t, members.IsVoter(h.self), "seed %d: %s", seed, s.describe())
		for i, data := 1, kept.Snapshot.Data; len(data) > 0; i, data = i+1, data[8:] {
			id := binary.BigEndian.Uint64(data)
			assert.Equal(t, h.reg.position[id], i, fmt.Sprintf("seed %d, host %d", seed, h.id))
		}
	}
}

// Guards against a removed replica that is not told, which would serve its daemons for ever, and
// against one that a late message keeps out after it was added again.
func TestRemovedIsTold(t *testing.T) {
	g, leader := electedGroup(t, agreement.Config{ManualRepair: true}, 3, 3)
	removed := g.follower()
	self := removed.Status().Self
	g.cut[self.ID] = true
	g.ticks(8)
	_, err := leader.ProposeChange(agreement.Change{Kind: agreement.Remove, Replica: self})
	assert.NilError(t, err)
	g.ticks(30)
	assert.Assert(t, !removed.Status().Removed)
	delete(g.cut, self.ID)
	g.ticks(60)
	assert.Assert(t, removed.Status().Removed)
	assert.Equal(t, removed.Status().Role, agreement.Follower)
	late := agreement.Message{
		Kind: agreement.MsgRemoved, From: leader.Status().Self, To: self, Term: leader.Status().Term,
		Group: testGroup, Index: leader.Status().Commit,
	}
	_, err = leader.ProposeChange(agreement.Change{Kind: agreement.AddLearner, Replica: self})
	assert.NilError(t, err)
	g.ticks(30)
	assert.Assert(t, !removed.Status().Removed)
	assert.NilError(t, removed.Step(late))
	assert.Assert(t, !removed.Status().Removed)
}

// Guards against a request to join from a replica of another group, and a learner whose addition was
// given up and that is not told.
func TestJoinOfOtherReplicas(t *testing.T) {
	_, leader := electedGroup(t, agreement.Config{}, 3, 3)
	join := agreement.Message{Kind: agreement.MsgJoin, From: agreement.Replica{ID: 9, Incarnation: 9}, Group: testGroup + 1}
	assert.ErrorIs(t, leader.Step(join), agreement.ErrOtherGroup)
	join.Group = testGroup
	assert.ErrorIs(t, leader.Step(join), agreement.ErrUnknownMember)
	sent := leader.Ready().Messages
	assert.Equal(t, sent[len(sent)-1].Kind, agreement.MsgRemoved)
	leader.SetJoinable([]ident.DaemonID{9})
	assert.NilError(t, leader.Step(join))
	assert.Assert(t, leader.Status().Membership.Contains(join.From))
}

// Guards against a removed replica that knows the present leader only as a learner, and so asks only
// followers, and against requests that two replicas pass to each other without end.
func TestFollowerPassesOn(t *testing.T) {
	g, leader := electedGroup(t, agreement.Config{}, 3, 3)
	follower := g.follower()
	ask := agreement.Message{
		Kind: agreement.MsgPreVote, From: agreement.Replica{ID: 9, Incarnation: 1}, To: follower.Status().Self,
		Term: leader.Status().Term + 1, Group: testGroup,
	}
	assert.NilError(t, follower.Step(ask))
	sent := follower.Ready().Messages
	assert.Equal(t, len(sent), 1)
	assert.Equal(t, sent[0].To, leader.Status().Self)
	follower.Advance(follower.Ready())
	twice := sent[0]
	twice.To = follower.Status().Self
	assert.NilError(t, follower.Step(twice))
	assert.Assert(t, !follower.HasReady())
	assert.NilError(t, leader.Step(sent[0]))
	told := leader.Ready().Messages
	assert.Equal(t, told[len(told)-1].Kind, agreement.MsgRemoved)
	assert.Equal(t, told[len(told)-1].To, ask.From)
}
