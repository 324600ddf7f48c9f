package agreement_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/ident"
)

// newGroupWithLeader returns a group that has elected a leader, and the leader.
func newGroupWithLeader(t *testing.T, cfg agreement.Config, voters, size int) (*memGroup, *agreement.Node) {
	t.Helper()
	g := newMemGroup(t, cfg, voters, size)
	g.tickAll(50)
	leader := g.leader()
	assert.Assert(t, leader != nil)
	return g, leader
}

// follower returns a voter that is not the leader.
func (g *memGroup) follower() *agreement.Node {
	for _, n := range g.nodes {
		if st := n.Status(); st.Role == agreement.Follower && st.Membership.IsVoter(st.Self) {
			return n
		}
	}
	return nil
}

// Guards against a planned stop of the leader after which the group waits for an election timeout.
func TestTransferLeadership(t *testing.T) {
	g, leader := newGroupWithLeader(t, agreement.Config{}, 3, 3)
	target := g.follower().Status().Self
	assert.ErrorIs(t, g.follower().TransferLeadership(target), agreement.ErrNotLeader)
	assert.NilError(t, leader.TransferLeadership(target))
	_, err := leader.Propose(nil)
	assert.ErrorIs(t, err, agreement.ErrTransferring)
	g.exchangeMessages()
	assert.Equal(t, g.leader().Status().Self, target)
}

// Guards against a transfer to an unreachable target that blocks proposals permanently.
func TestTransferTimesOut(t *testing.T) {
	g, leader := newGroupWithLeader(t, agreement.Config{}, 3, 3)
	target := g.follower().Status().Self
	g.disconnected[target.ID] = true
	assert.NilError(t, leader.TransferLeadership(target))
	g.tickAll(11)
	_, err := leader.Propose(nil)
	assert.NilError(t, err)
}

// Guards against an isolated leader that answers reads or remains leader without a majority.
func TestIsolatedLeader(t *testing.T) {
	g, leader := newGroupWithLeader(t, agreement.Config{}, 3, 3)
	assert.NilError(t, leader.ReadIndex(1))
	g.exchangeMessages()
	assert.Equal(t, len(g.reads), 1)
	g.disconnected[leader.Status().Self.ID] = true
	assert.NilError(t, leader.ReadIndex(2))
	g.tickAll(60)
	assert.Equal(t, len(g.reads), 1)
	assert.Assert(t, leader.Status().Role != agreement.Leader)
	assert.ErrorIs(t, leader.ReadIndex(3), agreement.ErrNoLeader)
	assert.Assert(t, g.leader() != nil)
}

// Guards against unbounded in-flight data to a replica that does not answer.
func TestFlowControl(t *testing.T) {
	cfg := agreement.Config{MaxInflightBytes: 1000, MaxMessageBytes: 300, MaxUncommittedBytes: 5000}
	g, leader := newGroupWithLeader(t, cfg, 3, 3)
	slow := g.follower().Status().Self
	g.disconnected[slow.ID], g.recordSent = true, true
	for range 50 {
		_, err := leader.Propose(make([]byte, 100))
		assert.NilError(t, err)
		g.exchangeMessages()
	}
	bytes := 0
	for _, m := range g.sent {
		if m.To != slow {
			continue
		}
		for _, e := range m.Entries {
			bytes += len(e.Data)
		}
	}
	assert.Assert(t, bytes <= cfg.MaxInflightBytes+cfg.MaxMessageBytes, "%d bytes", bytes)
	delete(g.disconnected, slow.ID)
	g.tickAll(20)
	assert.Equal(t, g.applied[slow.ID-1], leader.Status().Commit)
}

// Guards against proposals that grow without limit while no majority answers.
func TestProposalLimits(t *testing.T) {
	cfg := agreement.Config{MaxMessageBytes: 300, MaxUncommittedBytes: 1000}
	g, leader := newGroupWithLeader(t, cfg, 3, 3)
	_, err := leader.Propose(make([]byte, 301))
	assert.ErrorIs(t, err, agreement.ErrTooLarge)
	_, err = g.follower().Propose(nil)
	assert.ErrorIs(t, err, agreement.ErrNotLeader)
	g.disconnected[leader.Status().Self.ID] = true
	for err == agreement.ErrNotLeader || err == nil {
		_, err = leader.Propose(make([]byte, 300))
	}
	assert.ErrorIs(t, err, agreement.ErrOverloaded)
}

// Guards against a follower that stays behind because the entries that it lacks were compacted.
func TestSnapshotToSlowFollower(t *testing.T) {
	g, leader := newGroupWithLeader(t, agreement.Config{RetainEntries: 1}, 3, 3)
	slow := g.follower().Status().Self
	g.disconnected[slow.ID] = true
	for range 20 {
		_, err := leader.Propose([]byte("x"))
		assert.NilError(t, err)
		g.exchangeMessages()
	}
	_, err := leader.Compact(leader.Status().Applied, []byte("state"))
	assert.NilError(t, err)
	_, err = leader.Compact(leader.Status().Applied, nil)
	assert.ErrorIs(t, err, agreement.ErrCompacted)
	delete(g.disconnected, slow.ID)
	g.tickAll(60)
	assert.Equal(t, g.applied[slow.ID-1], leader.Status().Commit)
}

// Guards against a follower that waits for seconds, and counts as lost meanwhile, because one snapshot or its
// acknowledgement was lost.
func TestLostSnapshotOrAcknowledgement(t *testing.T) {
	for _, lostKind := range []agreement.MessageKind{agreement.MsgSnapshot, agreement.MsgAppendReply} {
		g, leader := newGroupWithLeader(t, agreement.Config{RetainEntries: 1}, 3, 3)
		slow := g.follower().Status().Self
		g.disconnected[slow.ID] = true
		for range 20 {
			_, err := leader.Propose([]byte("x"))
			assert.NilError(t, err)
			g.exchangeMessages()
		}
		_, err := leader.Compact(leader.Status().Applied, []byte("state"))
		assert.NilError(t, err)
		delete(g.disconnected, slow.ID)
		snapshots, lost := 0, false
		g.isLost = func(m agreement.Message) bool {
			if m.Kind == agreement.MsgSnapshot {
				snapshots++
			}
			if lost || snapshots == 0 || m.Kind != lostKind || m.From != slow && m.To != slow {
				return false
			}
			lost = true
			return true
		}
		for ticks := 0; !lost; ticks++ {
			assert.Assert(t, ticks < 30, "no snapshot was sent")
			g.tickAll(1)
		}
		g.tickAll(10)
		assert.Equal(t, g.applied[slow.ID-1], leader.Status().Commit, "message of kind %d lost", lostKind)
	}
}

// Guards against a learner that votes or counts towards a majority before its promotion, and against a
// promotion before it has caught up.
func TestLearnerLifecycle(t *testing.T) {
	g, leader := newGroupWithLeader(t, agreement.Config{ManualMembership: true}, 2, 3)
	learner := g.nodes[2].Status().Self
	g.disconnected[learner.ID] = true
	_, err := leader.Propose(nil)
	assert.NilError(t, err)
	g.tickAll(10)
	_, err = leader.ProposeChange(agreement.Change{Kind: agreement.Promote, Replica: learner})
	assert.ErrorIs(t, err, agreement.ErrNotCaughtUp)
	delete(g.disconnected, learner.ID)
	g.tickAll(100)
	assert.Equal(t, g.nodes[2].Status().Role, agreement.Follower)
	// Without the other voter, leader and learner are not a majority of the two voters.
	other := g.follower().Status().Self
	g.disconnected[other.ID] = true
	before := leader.Status().Commit
	_, err = leader.Propose(nil)
	assert.NilError(t, err)
	g.tickAll(5)
	assert.Equal(t, leader.Status().Commit, before)
	delete(g.disconnected, other.ID)
	g.tickAll(5)
	_, err = leader.ProposeChange(agreement.Change{Kind: agreement.Promote, Replica: learner})
	assert.NilError(t, err)
	_, err = leader.ProposeChange(agreement.Change{Kind: agreement.Remove, Replica: other})
	assert.ErrorIs(t, err, agreement.ErrChangePending)
	g.tickAll(5)
	assert.Assert(t, leader.Status().Membership.IsVoter(learner))
	newIncarnation := agreement.Replica{ID: other.ID, Incarnation: 2}
	_, err = leader.ProposeChange(agreement.Change{Kind: agreement.AddLearner, Replica: newIncarnation})
	assert.NilError(t, err)
	members := leader.Status().Membership
	assert.Assert(t, members.Contains(newIncarnation) && !members.IsVoter(newIncarnation) && !members.Contains(other))
}

// Guards against a replica that keeps its vote after its disk was lost: the new incarnation replaces the
// old one, which cannot be added again, and is promoted automatically once it has caught up.
func TestReplacedDisk(t *testing.T) {
	cfg := agreement.Config{Peers: []ident.DaemonID{1, 2, 3}}
	g, leader := newGroupWithLeader(t, cfg, 3, 3)
	old := g.follower().Status().Self
	newIncarnation := agreement.Replica{ID: old.ID, Incarnation: 2}
	emptyNode, err := agreement.New(cfg, agreement.State{Self: newIncarnation}, rand.New(rand.NewPCG(9, 9)))
	assert.NilError(t, err)
	g.nodes[old.ID-1] = emptyNode
	vote := agreement.Message{Kind: agreement.MsgVote, From: leader.Status().Self, To: old, Term: 99, Group: testGroup}
	assert.ErrorIs(t, emptyNode.Step(vote), agreement.ErrOtherReplica)
	g.tickAll(100)
	st := g.leader().Status()
	assert.Assert(t, st.Membership.IsVoter(newIncarnation) && !st.Membership.Contains(old))
	_, err = g.leader().ProposeChange(agreement.Change{Kind: agreement.AddLearner, Replica: old})
	assert.ErrorIs(t, err, agreement.ErrStaleReplica)
}

// Guards against an empty replica with too small an incarnation that requests to join forever without
// reporting why it is refused.
func TestStaleIncarnationIsSuperseded(t *testing.T) {
	cfg := agreement.Config{Peers: []ident.DaemonID{1, 2, 3}}
	g, _ := newGroupWithLeader(t, cfg, 3, 3)
	replica := agreement.Replica{ID: g.follower().Status().Self.ID}
	for _, incarnation := range []ident.Incarnation{9, 5} {
		replica.Incarnation = incarnation
		emptyNode, err := agreement.New(cfg, agreement.State{Self: replica}, rand.New(rand.NewPCG(9, 9)))
		assert.NilError(t, err)
		g.nodes[replica.ID-1] = emptyNode
		g.tickAll(100)
		assert.Equal(t, emptyNode.Status().Superseded, incarnation == 5)
	}
}

// Guards against a removal that leaves the group without a majority, and a removed leader that does not
// step down.
func TestRemoveMember(t *testing.T) {
	g, leader := newGroupWithLeader(t, agreement.Config{ManualMembership: true}, 3, 3)
	self, other := leader.Status().Self, g.follower().Status().Self
	g.disconnected[other.ID] = true
	g.tickAll(8)
	third := agreement.Replica{ID: 6 - self.ID - other.ID, Incarnation: 1}
	_, err := leader.ProposeChange(agreement.Change{Kind: agreement.Remove, Replica: third})
	assert.ErrorIs(t, err, agreement.ErrQuorumAtRisk)
	delete(g.disconnected, other.ID)
	g.tickAll(5)
	_, err = leader.ProposeChange(agreement.Change{Kind: agreement.Remove, Replica: self})
	assert.NilError(t, err)
	g.tickAll(60)
	assert.Equal(t, leader.Status().Role, agreement.Follower)
	assert.Assert(t, g.leader() != nil && !g.leader().Status().Membership.Contains(self))
	_, err = agreement.New(agreement.Config{ElectionTicks: 1}, agreement.State{Self: self}, nil)
	assert.ErrorIs(t, err, agreement.ErrBadConfig)
}

// Guards against two groups that merge because their replicas have the same IDs.
func TestMessageFromOtherGroup(t *testing.T) {
	g, leader := newGroupWithLeader(t, agreement.Config{}, 3, 3)
	m := agreement.Message{Kind: agreement.MsgAppend, From: g.nodes[1].Status().Self, To: leader.Status().Self, Term: 99, Group: 5}
	assert.ErrorIs(t, leader.Step(m), agreement.ErrOtherGroup)
}

// Guards against a field that is lost in the conversion between a message and its protobuf form.
func TestMessageProtoRoundTrip(t *testing.T) {
	r := agreement.Replica{ID: 1, Incarnation: 2}
	members := agreement.NewMembership(agreement.Member{Replica: r, Voter: true}, agreement.Member{Replica: agreement.Replica{ID: 3, Incarnation: 4}})
	want := agreement.Message{
		Kind: agreement.MsgSnapshot, From: r, To: agreement.Replica{ID: 5, Incarnation: 6},
		Term: 7, Group: 8, Index: 9, LogTerm: 10, Commit: 11, Reject: true, Hint: 12, Context: 13, Force: true,
		Entries:  []agreement.Entry{{Term: 1, Index: 2, Kind: agreement.EntryData, Data: []byte("d")}, {Term: 1, Index: 3, Kind: agreement.EntryMembership, Membership: members}},
		Snapshot: &agreement.Snapshot{Index: 1, Term: 2, Membership: members, Data: []byte("s")},
	}
	wire, err := proto.Marshal(agreement.MessageProto(&want))
	assert.NilError(t, err)
	var p controlpb.AgreementMessage
	assert.NilError(t, proto.Unmarshal(wire, &p))
	assert.DeepEqual(t, agreement.MessageFromProto(&p), want)
}

// Guards against a panic on random messages, which a faulty peer may send.
func TestRandomMessages(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for range 300 {
		g := newMemGroup(t, agreement.Config{}, 3, 3)
		g.tickAll(rng.IntN(40))
		n := g.nodes[0]
		for range 300 {
			_ = n.Step(randomMessage(rng, n.Status()))
			if rng.IntN(4) == 0 {
				g.tickAll(1)
			}
		}
	}
}

func randomMessage(rng *rand.Rand, st agreement.Status) agreement.Message {
	smallNumber := func() uint64 { return rng.Uint64N(6) }
	term := st.Term + smallNumber() - min(st.Term, 2)
	m := agreement.Message{
		Kind: agreement.MessageKind(rng.IntN(16)), To: st.Self, Term: term, Group: testGroup,
		From:  agreement.Replica{ID: ident.DaemonID(1 + rng.IntN(4)), Incarnation: 1},
		Index: smallNumber(), LogTerm: smallNumber(), Commit: smallNumber(), Hint: smallNumber(), Context: smallNumber(),
		Reject: rng.IntN(2) == 0, Force: rng.IntN(2) == 0,
	}
	for i := range rng.IntN(4) {
		m.Entries = append(m.Entries, agreement.Entry{
			Term: smallNumber(), Index: m.Index + uint64(i) + smallNumber()/5, Kind: agreement.EntryKind(1 + rng.IntN(3)),
		})
	}
	if rng.IntN(3) == 0 {
		m.Snapshot = &agreement.Snapshot{Index: smallNumber(), Term: smallNumber(), Membership: st.Membership}
	}
	return m
}

// newVoterWithLog returns one of three voters, with log entries of the given terms after the founding entry.
func newVoterWithLog(t *testing.T, terms ...uint64) *agreement.Node {
	t.Helper()
	var members []agreement.Member
	for id := range ident.DaemonID(3) {
		members = append(members, agreement.Member{Replica: agreement.Replica{ID: id + 1, Incarnation: 1}, Voter: true})
	}
	st := agreement.FoundingState(members[0].Replica, testGroup, agreement.NewMembership(members...))
	for i, term := range terms {
		st.Entries = append(st.Entries, agreement.Entry{Term: term, Index: uint64(i) + 2, Kind: agreement.EntryData})
		st.HardState.Term = term
	}
	n, err := agreement.New(agreement.Config{}, st, rand.New(rand.NewPCG(1, 1)))
	assert.NilError(t, err)
	return n
}

func messageFromReplica2(kind agreement.MessageKind, term, index uint64) agreement.Message {
	return agreement.Message{
		Kind: kind, Term: term, Index: index, Group: testGroup,
		From: agreement.Replica{ID: 2, Incarnation: 1}, To: agreement.Replica{ID: 1, Incarnation: 1},
	}
}

// Guards against a leader that commits entries of earlier terms by counting copies, although a later
// leader can still replace them, and one that changes the membership or serves reads before it has
// committed an entry of its term.
func TestCommitNeedsEntryOfOwnTerm(t *testing.T) {
	n := newVoterWithLog(t, 2)
	for n.Status().Role != agreement.PreCandidate {
		n.Tick()
	}
	assert.NilError(t, n.Step(messageFromReplica2(agreement.MsgPreVoteReply, 3, 0)))
	assert.NilError(t, n.Step(messageFromReplica2(agreement.MsgVoteReply, 3, 0)))
	assert.Equal(t, n.Status().Role, agreement.Leader)
	n.Advance(n.Ready())
	assert.NilError(t, n.Step(messageFromReplica2(agreement.MsgAppendReply, 3, 2)))
	assert.Equal(t, n.Status().Commit, uint64(1))
	_, err := n.ProposeChange(agreement.Change{Kind: agreement.Remove, Replica: agreement.Replica{ID: 3, Incarnation: 1}})
	assert.ErrorIs(t, err, agreement.ErrLeaderNotReady)
	assert.ErrorIs(t, n.ReadIndex(1), agreement.ErrLeaderNotReady)
	assert.NilError(t, n.Step(messageFromReplica2(agreement.MsgAppendReply, 3, 3)))
	assert.Equal(t, n.Status().Commit, uint64(3))
}

// Guards against a follower that commits its own conflicting entries.
func TestCommitStopsAtMatchedEntries(t *testing.T) {
	n := newVoterWithLog(t, 1, 1, 1)
	m := messageFromReplica2(agreement.MsgAppend, 2, 1)
	m.LogTerm, m.Commit = 1, 4
	assert.NilError(t, n.Step(m))
	assert.Equal(t, n.Status().Commit, uint64(1))
	m.Entries = []agreement.Entry{{Term: 2, Index: 2, Kind: agreement.EntryEmpty}}
	assert.NilError(t, n.Step(m))
	assert.Equal(t, n.Status().Commit, uint64(2))
	assert.Equal(t, n.Status().LastIndex, uint64(2))
	assert.ErrorIs(t, n.Step(messageFromReplica2(agreement.MsgAppend, 3, 9)), nil)
	m = messageFromReplica2(agreement.MsgSnapshot, 3, 0)
	assert.ErrorIs(t, n.Step(m), agreement.ErrInvalidMessage)
}

// leaving reports whether the leader counts a replica as leaving.
func leaving(leader *agreement.Node, r agreement.Replica) bool {
	for _, m := range leader.Members() {
		if m.Replica == r {
			return m.Leaving
		}
	}
	return false
}

// Guards against a host that was told to stop and did not end, but whose vote is given to another one much
// later.
func TestRequestToLeaveExpires(t *testing.T) {
	g, leader := newGroupWithLeader(t, agreement.Config{ManualMembership: true}, 3, 3)
	assert.ErrorIs(t, leader.RequestLeave(), agreement.ErrNoLeader)
	follower := g.follower()
	assert.NilError(t, follower.RequestLeave())
	g.exchangeMessages()
	assert.Assert(t, leaving(leader, follower.Status().Self))
	g.tickAll(10)
	assert.Assert(t, !leaving(leader, follower.Status().Self))
}

// Guards against a removed replica that finds out only after an election timeout, and against a stopping
// one that never does because the notice was lost.
func TestRemovalIsNotifiedAtOnce(t *testing.T) {
	g, leader := newGroupWithLeader(t, agreement.Config{ManualMembership: true}, 4, 4)
	for _, noticeLost := range []bool{false, true} {
		var removed *agreement.Node
		for _, n := range g.nodes {
			if st := n.Status(); n != leader && leader.Status().Membership.IsVoter(st.Self) {
				removed = n
			}
		}
		id := removed.Status().Self.ID
		g.disconnected[id] = noticeLost
		_, err := leader.ProposeChange(agreement.Change{Kind: agreement.Remove, Replica: removed.Status().Self})
		assert.NilError(t, err)
		g.exchangeMessages()
		assert.Equal(t, removed.Status().Removed, !noticeLost)
		g.disconnected[id] = false
		if noticeLost {
			assert.NilError(t, removed.RequestLeave())
			g.exchangeMessages()
		}
		assert.Assert(t, removed.Status().Removed)
		g.disconnected[id] = true
	}
}

// isolate connects the nodes with the given IDs with each other only.
func (g *memGroup) isolate(ids ...ident.DaemonID) {
	for _, n := range g.nodes {
		id := n.Status().Self.ID
		g.disconnected[id] = !slices.Contains(ids, id)
	}
}

// evenGroup returns a group of four voters and a learner, its leader, and the IDs of the other voters.
func evenGroup(t *testing.T) (*memGroup, *agreement.Node, []ident.DaemonID) {
	t.Helper()
	g, leader := newGroupWithLeader(t, agreement.Config{ManualMembership: true}, 4, 5)
	var others []ident.DaemonID
	for id := ident.DaemonID(1); id <= 4; id++ {
		if id != leader.Status().Self.ID {
			others = append(others, id)
		}
	}
	return g, leader, others
}

// Guards against a group of four that stops for good when one voter has left without notice and another
// one has lost its disk: the two intact copies have every committed entry.
func TestHalfOfEvenGroupGoesOnAfterLostDisk(t *testing.T) {
	g, leader, others := evenGroup(t)
	_, err := leader.Propose(nil)
	assert.NilError(t, err)
	g.exchangeMessages()
	commit := leader.Status().Commit
	g.isolate(others[1], others[2]) // the leader has left, and the disk of others[0] is lost
	g.tickAll(50)
	assert.Assert(t, g.leader() == nil || g.leader() == leader, "two of four decide although no copy is known to be lost")
	for _, n := range g.nodes {
		if n.Status().Self.ID == others[1] { // only one of them is told
			assert.NilError(t, n.Step(agreement.Message{Kind: agreement.MsgJoin, From: agreement.Replica{ID: others[0], Incarnation: 2}}))
		}
	}
	g.tickAll(50)
	var elected *agreement.Node
	for _, n := range g.nodes {
		if id := n.Status().Self.ID; (id == others[1] || id == others[2]) && n.Status().Role == agreement.Leader {
			elected = n
		}
	}
	assert.Assert(t, elected != nil)
	index, err := elected.Propose(nil)
	assert.NilError(t, err)
	g.exchangeMessages()
	g.tickAll(5)
	assert.Assert(t, index > commit && elected.Status().Commit >= index)
	_, err = elected.ProposeChange(agreement.Change{Kind: agreement.AddLearner, Replica: agreement.Replica{ID: others[0], Incarnation: 2}})
	assert.NilError(t, err)
	g.exchangeMessages()
	g.tickAll(5)
	assert.Equal(t, elected.Status().Membership.Voters(), 3)
}

// Guards against a membership change that a quorum of the new membership commits alone: half of the voters
// before it, with one copy lost, could then decide without it.
func TestChangeNeedsQuorumOfPreviousMembership(t *testing.T) {
	g, leader, others := evenGroup(t)
	g.isolate(leader.Status().Self.ID, others[0], 5)
	index, err := leader.ProposeChange(agreement.Change{Kind: agreement.Promote, Replica: agreement.Replica{ID: 5, Incarnation: 1}})
	assert.NilError(t, err)
	g.exchangeMessages()
	assert.Assert(t, leader.Status().Commit < index, "three of five commit the change, but two of the four before it")
	g.isolate(leader.Status().Self.ID, others[0], others[1], 5)
	g.tickAll(5)
	assert.Assert(t, leader.Status().Commit >= index)
}

// Guards against a group that has no leader after the leader was lost right after it promoted the third
// voter, before the others knew that the change was committed.
func TestLeaderLostRightAfterPromotion(t *testing.T) {
	g, leader := newGroupWithLeader(t, agreement.Config{ManualMembership: true}, 2, 3)
	_, err := leader.ProposeChange(agreement.Change{Kind: agreement.Promote, Replica: agreement.Replica{ID: 3, Incarnation: 1}})
	assert.NilError(t, err)
	index := leader.Status().LastIndex
	for leader.HasReady() { // the change is sent, and no acknowledgement returns
		for i, n := range g.nodes {
			if n == leader {
				g.processReady(i, n)
			}
		}
	}
	g.disconnected[leader.Status().Self.ID] = true
	g.tickAll(50)
	elected := g.leader()
	assert.Assert(t, elected != nil)
	assert.Assert(t, elected.Status().Commit >= index)
}
