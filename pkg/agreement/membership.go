package agreement

import (
	"cmp"
	"slices"

	"rosemarygate/pkg/ident"
)

// Membership lists the members of the group, sorted by ID, at most one for each ID. It is immutable.
type Membership []Member

// NewMembership returns the membership with the given members.
func NewMembership(members ...Member) Membership {
	m := slices.Clone(members)
	slices.SortFunc(m, func(a, b Member) int { return cmp.Compare(a.Replica.ID, b.Replica.ID) })
	return m
}

// Find returns the member with an ID.
func (m Membership) Find(id ident.DaemonID) (Member, bool) {
	for _, member := range m {
		if member.Replica.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Contains reports whether exactly this replica, with this incarnation, is a member.
func (m Membership) Contains(r Replica) bool {
	member, ok := m.Find(r.ID)
	return ok && member.Replica == r
}

// IsVoter reports whether exactly this replica is a voter.
func (m Membership) IsVoter(r Replica) bool {
	member, ok := m.Find(r.ID)
	return ok && member.Voter && member.Replica == r
}

// Voters returns the number of voters.
func (m Membership) Voters() int {
	n := 0
	for _, member := range m {
		if member.Voter {
			n++
		}
	}
	return n
}

// quorum reports whether a majority of the voters satisfies ok; an empty group has no quorum.
func (m Membership) quorum(ok func(Replica) bool) bool {
	voters, agree := 0, 0
	for _, member := range m {
		if !member.Voter {
			continue
		}
		voters++
		if ok(member.Replica) {
			agree++
		}
	}
	return agree > voters/2
}

// without returns the membership without the member that has this ID.
func (m Membership) without(id ident.DaemonID) Membership {
	return slices.DeleteFunc(slices.Clone(m), func(x Member) bool { return x.Replica.ID == id })
}

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	// AddLearner adds a learner. It replaces an earlier incarnation of the same ID, voter or not,
	// in the same step: the old copy of the log is gone and must not count.
	AddLearner ChangeKind = 1
	Promote    ChangeKind = 2 // makes a learner that has caught up a voter
	Remove     ChangeKind = 3
)

// Change is one membership change. Any change adds or removes at most one voter, so a majority
// before it and a majority after it have a member in common.
type Change struct {
	Kind    ChangeKind
	Replica Replica
}

// apply returns the membership after a change.
func (m Membership) apply(c Change) (Membership, error) {
	old, exists := m.Find(c.Replica.ID)
	if c.Kind == AddLearner {
		if exists && old.Replica.Incarnation >= c.Replica.Incarnation {
			return nil, ErrStaleReplica
		}
		return m.without(c.Replica.ID).with(Member{Replica: c.Replica})
	}
	if !exists || old.Replica != c.Replica {
		return nil, ErrUnknownMember
	}
	if c.Kind == Promote {
		return m.without(c.Replica.ID).with(Member{Replica: c.Replica, Voter: true})
	}
	return m.without(c.Replica.ID).with()
}

// with returns the membership with more members, unless no voter is left.
func (m Membership) with(more ...Member) (Membership, error) {
	next := NewMembership(append(m, more...)...)
	if next.Voters() == 0 {
		return nil, ErrLastVoter
	}
	return next, nil
}

// ProposeChange appends a membership change to the leader's log and returns its index. The change
// takes effect at once and lasts if the entry at that index is committed. Only one change may be
// in progress, and the leader must have committed an entry of its own term: otherwise two leaders
// could each act on a change that the other does not know. Removing a member is refused unless a
// majority of the remaining voters has answered recently: the change cannot be taken back without
// them, so the operator removes a replica only while the others are healthy.
func (n *Node) ProposeChange(c Change) (uint64, error) {
	if err := n.mayPropose(); err != nil {
		return 0, err
	}
	if n.log.latestConf().index > n.log.committed {
		return 0, ErrChangePending
	}
	if !n.committedInTerm() {
		return 0, ErrLeaderNotReady
	}
	next, err := n.membership().apply(c)
	if err != nil {
		return 0, err
	}
	if c.Kind == Promote && !n.caughtUp(c.Replica) {
		return 0, ErrNotCaughtUp
	}
	if c.Kind == Remove && !next.quorum(n.answersNow) {
		return 0, ErrQuorumAtRisk
	}
	return n.appendOwn(Entry{Kind: EntryMembership, Membership: next}), nil
}

const maxQuiet = 4 // heartbeats without an answer after which a replica is not counted on for a change

// answersNow reports whether a replica answered one of the latest heartbeats.
func (n *Node) answersNow(r Replica) bool {
	p := n.progress[r]
	return r == n.self || p != nil && p.active && p.quiet <= maxQuiet
}

// caughtUp reports whether a member holds every committed entry and answers.
func (n *Node) caughtUp(r Replica) bool {
	p := n.progress[r]
	return p != nil && n.answersNow(r) && p.state == replicating && p.match >= n.log.committed
}

// promoteLearners proposes to promote the first learner that has caught up.
func (n *Node) promoteLearners() {
	if n.cfg.ManualRepair {
		return
	}
	for _, m := range n.membership() {
		if m.Voter || !n.caughtUp(m.Replica) {
			continue
		}
		// A refusal means that a change is in progress; the next tick tries again.
		_, _ = n.ProposeChange(Change{Kind: Promote, Replica: m.Replica})
		return
	}
}

// SetJoinable names the replicas that are added when they ask to join; at first those are Peers. The
// layer above knows better than the settings of one host, which may still list a replica that was
// replaced, or already one whose addition was cancelled.
func (n *Node) SetJoinable(ids []ident.DaemonID) { n.joinable = ids }

// stepJoin handles the request of a replica without state to become a learner.
func (n *Node) stepJoin(m Message) error {
	if n.role != Leader || n.cfg.ManualRepair || m.From.ID == n.self.ID {
		return nil
	}
	if m.Group != 0 && m.Group != n.group {
		return ErrOtherGroup
	}
	if n.membership().Contains(m.From) {
		return nil
	}
	old, known := n.membership().Find(m.From.ID)
	if known && old.Replica.Incarnation > m.From.Incarnation {
		n.send(Message{Kind: MsgJoinRefused, To: m.From})
		return ErrStaleReplica
	}
	if !known && !slices.Contains(n.joinable, m.From.ID) {
		if m.Group != 0 {
			n.sayRemoved(m.From)
		}
		return ErrUnknownMember
	}
	_, err := n.ProposeChange(Change{Kind: AddLearner, Replica: m.From})
	return err
}

// requestJoin asks every configured peer to add this replica as a learner. A replica that already
// holds entries asks again, because the change that added it may not have been committed.
func (n *Node) requestJoin() {
	for _, id := range n.cfg.Peers {
		if id != n.self.ID {
			n.msgs = append(n.msgs, Message{Kind: MsgJoin, From: n.self, To: Replica{ID: id}, Group: n.group})
		}
	}
}

// FoundingState returns the durable state of the replicas that found a group. Every founder must
// use the same members and the same group (a random number other than 0). A replica may be founded
// once only, by an explicit act of the operator: a replica whose data folder is empty for any other
// reason starts without state and joins as a learner.
func FoundingState(self Replica, group uint64, members Membership) State {
	first := Entry{Term: 1, Index: 1, Kind: EntryMembership, Membership: members}
	return State{
		Self:      self,
		HardState: HardState{Term: 1, Commit: 1, Group: group},
		Entries:   []Entry{first},
	}
}

// MemberStatus is what a leader knows of a member.
type MemberStatus struct {
	Member
	Answers  bool // answered one of the latest heartbeats
	CaughtUp bool // holds every committed entry and answers
}

// Members returns the status of the members; empty unless this node leads.
func (n *Node) Members() []MemberStatus {
	if n.role != Leader {
		return nil
	}
	out := make([]MemberStatus, 0, len(n.membership()))
	for _, m := range n.membership() {
		self := m.Replica == n.self
		out = append(out, MemberStatus{Member: m, Answers: n.answersNow(m.Replica), CaughtUp: self || n.caughtUp(m.Replica)})
	}
	return out
}
