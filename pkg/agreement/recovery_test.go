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

// recoverHost makes the host's copy the only voter of a new group, as the operator's command does. If
// a fault of the file system interrupts it, it is repeated.
func (s *sim) recoverHost(t *testing.T, h *host) agreement.State {
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
		h.nextIncarnation++
		next := agreement.RecoveredState(&st, agreement.Replica{ID: h.id, Incarnation: h.nextIncarnation}, recoveredGroup, reg.encode())
		if storage.Recover(h.fs, dataDir, next) != nil {
			h.fs.Crash()
		}
	}
}

// Guards against a recovery that loses entries of the surviving copy, that a crash leaves incomplete,
// or whose group is affected by messages and replicas of the old group.
func TestRandomRecoveries(t *testing.T) {
	recovered := 0
	for seed := range uint64(recoverySeeds) {
		s := newSim(seed, disabledProtections{})
		for range 60 + s.rng.IntN(100) {
			s.step(true)
		}
		survivor := s.hosts[s.rng.IntN(len(s.hosts))]
		if s.checker.violation != nil || survivor.self == agreement.None {
			continue
		}
		oldGroupHost := s.hosts[int(survivor.id)%len(s.hosts)] // keeps the files of the old group
		s.crash(oldGroupHost)
		if st, err := storage.Load(oldGroupHost.fs, dataDir); err != nil || st.LatestMembership().Voters() < 2 {
			continue // the old group has not lost its majority
		}
		s.crash(survivor)
		recoveredState := s.recoverHost(t, survivor)
		for _, h := range s.hosts {
			h.removalProposed = false // its folder is not emptied
			if h != survivor && h != oldGroupHost {
				s.crash(h)
				h.fs.LoseDisk()
				h.nextIncarnation++
			}
		}
		// The logs of the new and the old group share no index, but may share terms.
		s.checker.leaders = map[uint64]agreement.Replica{}
		s.checker.committedMembership = indexedMembership{recoveredState.Snapshot.Index, recoveredState.Snapshot.Membership}
		s.endFaults()
		for range 200 {
			s.step(false)
		}
		s.checkRecovered(t, seed, recoveredState, survivor, oldGroupHost)
		recovered++
	}
	assert.Assert(t, recovered > recoverySeeds/2, "%d schedules ended in a recovery", recovered)
}

// checkRecovered checks that all hosts except the one of the old group have the recovered state.
func (s *sim) checkRecovered(t *testing.T, seed uint64, recoveredState agreement.State, survivor, oldGroupHost *host) {
	t.Helper()
	if s.checker.violation != nil {
		t.Fatalf("seed %d: %s: %s", seed, s.checker.violation.kind, s.checker.violation.detail)
	}
	members := survivor.node.Status().Membership
	assert.Equal(t, members.Voters(), len(s.hosts)-1, "seed %d: %s", seed, s.describe())
	_, joined := members.Find(oldGroupHost.id)
	assert.Assert(t, !joined, "seed %d: a replica of the old group joined", seed)
	for _, h := range s.hosts {
		if h == oldGroupHost {
			assert.Assert(t, h.reg.applied < recoveredState.Snapshot.Index, "seed %d", seed)
			continue
		}
		assert.Assert(t, members.IsVoter(h.self), "seed %d: %s", seed, s.describe())
		for i, data := 1, recoveredState.Snapshot.Data; len(data) > 0; i, data = i+1, data[8:] {
			id := binary.BigEndian.Uint64(data)
			assert.Equal(t, h.reg.position[id], i, fmt.Sprintf("seed %d, host %d", seed, h.id))
		}
	}
}

// Guards against a removed replica that is not notified and serves its daemons forever, and against a
// replica that a delayed notice marks as removed after it was added again.
func TestRemovedReplicaIsNotified(t *testing.T) {
	g, leader := newGroupWithLeader(t, agreement.Config{ManualMembership: true}, 3, 3)
	removed := g.follower()
	self := removed.Status().Self
	g.disconnected[self.ID] = true
	g.tickAll(8)
	_, err := leader.ProposeChange(agreement.Change{Kind: agreement.Remove, Replica: self})
	assert.NilError(t, err)
	g.tickAll(30)
	assert.Assert(t, !removed.Status().Removed)
	delete(g.disconnected, self.ID)
	g.tickAll(60)
	assert.Assert(t, removed.Status().Removed)
	assert.Equal(t, removed.Status().Role, agreement.Follower)
	delayed := agreement.Message{
		Kind: agreement.MsgRemoved, From: leader.Status().Self, To: self, Term: leader.Status().Term,
		Group: testGroup, Index: leader.Status().Commit,
	}
	_, err = leader.ProposeChange(agreement.Change{Kind: agreement.AddLearner, Replica: self})
	assert.NilError(t, err)
	g.tickAll(30)
	assert.Assert(t, !removed.Status().Removed)
	assert.NilError(t, removed.Step(delayed))
	assert.Assert(t, !removed.Status().Removed)
}

// Guards against accepting a replica of another group, and against a learner that is not notified that
// its addition was cancelled.
func TestJoinOfUnknownReplicas(t *testing.T) {
	_, leader := newGroupWithLeader(t, agreement.Config{}, 3, 3)
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

// Guards against a removed replica that is never notified because the current leader is a learner in its
// membership, so that only followers get its vote requests; and against two replicas that forward a
// request to each other endlessly.
func TestFollowerForwardsVoteRequest(t *testing.T) {
	g, leader := newGroupWithLeader(t, agreement.Config{}, 3, 3)
	follower := g.follower()
	request := agreement.Message{
		Kind: agreement.MsgPreVote, From: agreement.Replica{ID: 9, Incarnation: 1}, To: follower.Status().Self,
		Term: leader.Status().Term + 1, Group: testGroup,
	}
	assert.NilError(t, follower.Step(request))
	sent := follower.Ready().Messages
	assert.Equal(t, len(sent), 1)
	assert.Equal(t, sent[0].To, leader.Status().Self)
	follower.Advance(follower.Ready())
	forwardedAgain := sent[0]
	forwardedAgain.To = follower.Status().Self
	assert.NilError(t, follower.Step(forwardedAgain))
	assert.Assert(t, !follower.HasReady())
	assert.NilError(t, leader.Step(sent[0]))
	replies := leader.Ready().Messages
	assert.Equal(t, replies[len(replies)-1].Kind, agreement.MsgRemoved)
	assert.Equal(t, replies[len(replies)-1].To, request.From)
}
