package agreement

import (
	"math/rand/v2"

	"rosemarygate/pkg/ident"
)

const (
	entryOverhead           = 32      // bytes counted for an entry besides its data
	defaultElectionTicks    = 10      // ticks
	defaultHeartbeatTicks   = 1       // ticks
	defaultInflightBytes    = 1 << 20 // bytes sent to one replica and not yet acknowledged
	defaultMessageBytes     = 256 << 10
	defaultUncommittedBytes = 4 << 20 // bytes
	defaultRetainEntries    = 1000    // entries
)

// Config holds the settings of a node; zero values select the defaults.
type Config struct {
	ElectionTicks       int              // a follower waits between this and twice this many ticks for its leader
	HeartbeatTicks      int              // ticks between a leader's heartbeats
	MaxInflightBytes    int              // bytes sent to one replica and not yet acknowledged
	MaxMessageBytes     int              // bytes of entries in one message and of data in one proposal
	MaxUncommittedBytes int              // bytes of proposals that are not yet committed
	RetainEntries       uint64           // entries before a snapshot that stay in memory for slow followers
	Peers               []ident.DaemonID // configured replicas: receive requests to join, and may themselves join until SetJoinable is called
	// ManualMembership switches off automatic addition and promotion of learners; ProposeChange does both.
	ManualMembership bool

	withoutPreVote bool // tests only: shows that the test detects the disruption that pre-vote prevents
}

func (c Config) withDefaults() (Config, error) {
	setDefault(&c.ElectionTicks, defaultElectionTicks)
	setDefault(&c.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&c.MaxInflightBytes, defaultInflightBytes)
	setDefault(&c.MaxMessageBytes, defaultMessageBytes)
	setDefault(&c.MaxUncommittedBytes, defaultUncommittedBytes)
	if c.RetainEntries == 0 {
		c.RetainEntries = defaultRetainEntries
	}
	if c.HeartbeatTicks >= c.ElectionTicks || c.HeartbeatTicks < 0 {
		return c, ErrBadConfig
	}
	return c, nil
}

func setDefault(value *int, def int) {
	if *value == 0 {
		*value = def
	}
}

// Node runs the protocol for one replica. Its methods must not be called concurrently, and
// no other method may be called between Ready and the Advance that follows it.
type Node struct {
	cfg  Config
	rng  *rand.Rand
	self Replica

	joinable []ident.DaemonID // replicas that are added when they request to join

	term           uint64
	vote           Replica
	group          uint64
	savedHardState HardState // last hard state that Ready returned and the caller saved
	log            *memLog
	role           Role
	leader         Replica

	electionElapsed  int // ticks since the last message of a leader; on the leader, since the last quorum check
	heartbeatElapsed int
	electionTimeout  int // ticks, randomised

	votes            map[Replica]statement
	progress         map[Replica]*progress
	uncommittedBytes int     // bytes of this leader's entries that are not yet committed
	transferTarget   Replica // target of a leadership transfer, None if there is none
	reads            readQueue

	lost map[ident.DaemonID]ident.Incarnation // latest copies that are known to be lost

	pendingSnapshot *Snapshot // received, but not yet handled by the caller
	pendingMessages []Message
	releasedReads   []ReadState
	superseded      bool
	removedByLeader bool // a leader sent MsgRemoved and none has sent to this replica as a member since
	diverged        bool
}

// New returns a node that starts from durable state.
func New(cfg Config, st State, rng *rand.Rand) (*Node, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	if st.Self.ID == 0 || st.Self.Incarnation == 0 {
		return nil, ErrBadConfig
	}
	log, err := newMemLog(&st)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, rng: rng, self: st.Self, log: log, joinable: cfg.Peers,
		term: st.HardState.Term, vote: st.HardState.Vote, group: st.HardState.Group,
		savedHardState: st.HardState,
	}
	n.becomeFollower(n.term, None)
	return n, nil
}

// Status returns the node's current state.
func (n *Node) Status() Status {
	return Status{
		Self: n.self, Role: n.role, Leader: n.leader, Term: n.term,
		Commit: n.log.committed, Applied: n.log.applied, LastIndex: n.log.lastIndex(),
		Membership: n.membership(), Superseded: n.superseded, Removed: n.removed(),
	}
}

// membership returns the membership in effect: the latest in the log.
func (n *Node) membership() Membership { return n.log.latestMembership().membership }

// Tick advances the node's logical time by one tick.
func (n *Node) Tick() {
	if n.diverged {
		return
	}
	n.forgetReplaced()
	n.electionElapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.electionElapsed < n.electionTimeout {
		return
	}
	n.electionElapsed = 0
	n.resetElectionTimeout()
	n.leader = None
	switch {
	case n.removed():
	case n.mayCampaign():
		n.campaign(false)
	default:
		n.requestJoin()
	}
}

// Step processes one message. An error says why it was not processed; the node stays usable
// except after ErrDiverged.
func (n *Node) Step(m Message) error {
	if n.diverged {
		return ErrDiverged
	}
	if m.Kind == MsgJoin {
		n.recordIncarnation(m.From)
		return n.stepJoin(m)
	}
	if n.handleRemovedCandidate(m) {
		return nil
	}
	if m.To != n.self {
		n.superseded = n.superseded || m.To.ID == n.self.ID && m.To.Incarnation > n.self.Incarnation
		return ErrOtherReplica
	}
	if n.group != 0 && m.Group != n.group {
		return ErrOtherGroup
	}
	if !m.valid() {
		return ErrInvalidMessage
	}
	n.recordLost(m.Lost...)
	if m.Kind == MsgRemoved {
		n.stepRemoved(m)
		return nil
	}
	if m.Term != n.term && !n.acceptTerm(m) {
		return nil
	}
	n.group = m.Group
	return n.dispatch(m)
}

// acceptTerm handles a message whose term differs from the node's and reports whether to process it.
func (n *Node) acceptTerm(m Message) bool {
	if m.Term < n.term {
		n.replyToStaleTerm(m)
		return false
	}
	switch m.Kind {
	case MsgPreVote, MsgVote:
		if n.inLease() && !m.Force {
			return false
		}
		if m.Kind == MsgVote {
			n.becomeFollower(m.Term, None)
		}
	case MsgPreVoteReply:
		if m.Reject {
			n.becomeFollower(m.Term, None)
		}
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, None)
	}
	return true
}

// replyToStaleTerm sends the current term to a sender with an earlier one. Without this reply a
// replica that reached a higher term could neither follow the leader nor win an election.
func (n *Node) replyToStaleTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true})
	case MsgPreVote:
		n.send(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

// inLease reports whether the node is the leader or has had a message from one within an election timeout.
func (n *Node) inLease() bool {
	return n.leader != None && n.electionElapsed < n.cfg.ElectionTicks
}

func (n *Node) dispatch(m Message) error {
	switch m.Kind {
	case MsgPreVote, MsgVote:
		n.stepVoteRequest(m)
	case MsgPreVoteReply, MsgVoteReply:
		n.stepVoteReply(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		return n.stepFromLeader(m)
	case MsgAppendReply:
		if m.Index > n.log.lastIndex() && n.role == Leader && !m.Reject {
			return ErrInvalidMessage
		}
		n.stepAppendReply(m)
	case MsgHeartbeatReply:
		n.stepHeartbeatReply(m)
	case MsgTimeoutNow:
		n.stepTimeoutNow(m)
	case MsgLeave:
		n.stepLeave(m)
	case MsgReadIndex:
		return n.queueRead(m.From, m.Context)
	case MsgJoinRefused:
		n.superseded = true
	case MsgReadIndexReply:
		n.releasedReads = append(n.releasedReads, ReadState{Context: m.Context, Index: m.Index})
	}
	return nil
}

// send queues a message, with the current term unless it has one.
func (n *Node) send(m Message) {
	m.From = n.self
	m.Group = n.group
	m.Lost = n.knownLost()
	if m.Term == 0 {
		m.Term = n.term
	}
	n.pendingMessages = append(n.pendingMessages, m)
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.committed, Group: n.group}
}

// HasReady reports whether Ready has work to return.
func (n *Node) HasReady() bool {
	l := n.log
	return len(n.pendingMessages) > 0 || len(n.releasedReads) > 0 || n.pendingSnapshot != nil ||
		l.stable < l.lastIndex() || l.applied < l.committed || n.hardState() != n.savedHardState
}

// Ready returns the work since the last Advance.
func (n *Node) Ready() Ready {
	l := n.log
	rd := Ready{
		Snapshot: n.pendingSnapshot,
		Entries:  l.slice(l.stable, l.lastIndex()),
		Messages: n.pendingMessages,
		Reads:    n.releasedReads,
	}
	rd.Committed = l.slice(l.applied, l.committed)
	if hs := n.hardState(); hs != n.savedHardState {
		rd.HardState = &hs
	}
	return rd
}

// Advance confirms that the work in rd is done: saved, synced, sent and applied.
func (n *Node) Advance(rd Ready) {
	n.pendingMessages, n.releasedReads, n.pendingSnapshot = nil, nil, nil
	if rd.HardState != nil {
		n.savedHardState = *rd.HardState
	}
	l := n.log
	if k := len(rd.Committed); k > 0 {
		l.applied = rd.Committed[k-1].Index
	}
	if k := len(rd.Entries); k > 0 {
		l.stable = rd.Entries[k-1].Index
		n.recordLocalSync()
	}
}

// Compact makes data, the caller's state at an applied index, the snapshot of the log and drops the
// entries before it except for RetainEntries. It is called after Advance; the caller must save the
// returned snapshot.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied || index <= n.log.snapshot.Index {
		return Snapshot{}, ErrCompacted
	}
	s := Snapshot{Index: index, Term: term, Membership: n.log.membershipAt(index), Data: data}
	n.log.compact(s, n.cfg.RetainEntries)
	return s, nil
}

// EntriesAfter returns the log entries after an index, which must not be before the snapshot.
func (n *Node) EntriesAfter(index uint64) []Entry { return n.log.slice(index, n.log.lastIndex()) }

// Group returns the group that the node belongs to, 0 until it has joined one.
func (n *Node) Group() uint64 { return n.group }
