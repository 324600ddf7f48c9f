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

// Contains reports whether the replica is a member with this incarnation.
func (m Membership) Contains(r Replica) bool {
	member, ok := m.Find(r.ID)
	return ok && member.Replica == r
}

// IsVoter reports whether the replica is a voter with this incarnation.
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

// hasQuorum reports whether a majority of the voters satisfies a predicate; an empty group has no quorum.
func (m Membership) hasQuorum(satisfies func(Replica) bool) bool {
	voters, satisfied := 0, 0
	for _, member := range m {
		if !member.Voter {
			continue
		}
		voters++
		if satisfies(member.Replica) {
			satisfied++
		}
	}
	return satisfied > voters/2
}

// without returns the membership without the member with this ID.
func (m Membership) without(id ident.DaemonID) Membership {
	return slices.DeleteFunc(slices.Clone(m), func(x Member) bool { return x.Replica.ID == id })
}

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	// AddLearner adds a learner. In the same step it removes an earlier incarnation of the same ID,
	// voter or not: that copy of the log is lost and must not count.
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
	current, exists := m.Find(c.Replica.ID)
	if c.Kind == AddLearner {
		if exists && current.Replica.Incarnation >= c.Replica.Incarnation {
			return nil, ErrStaleReplica
		}
		return m.without(c.Replica.ID).withMembers(Member{Replica: c.Replica})
	}
	if !exists || current.Replica != c.Replica {
		return nil, ErrUnknownMember
	}
	if c.Kind == Promote {
		return m.without(c.Replica.ID).withMembers(Member{Replica: c.Replica, Voter: true})
	}
	return m.without(c.Replica.ID).withMembers()
}

// withMembers returns the membership with added members, or ErrLastVoter if it has no voter.
func (m Membership) withMembers(added ...Member) (Membership, error) {
	next := NewMembership(append(m, added...)...)
	if next.Voters() == 0 {
		return nil, ErrLastVoter
	}
	return next, nil
}

// ProposeChange appends a membership change to the leader's log and returns its index. The change
// takes effect at once and is permanent once the entry at that index is committed. Only one change
// may be in progress, and the leader must have committed an entry of its own term: otherwise two
// leaders could each act on a change that the other one lacks. Removing a member is refused unless a
// majority of the remaining voters has answered recently, since the change cannot be reverted without
// them: an operator can remove a replica only while the others are healthy.
func (n *Node) ProposeChange(c Change) (uint64, error) {
	if err := n.checkCanPropose(); err != nil {
		return 0, err
	}
	if n.log.latestMembership().index > n.log.committed {
		return 0, ErrChangePending
	}
	if !n.hasCommittedInTerm() {
		return 0, ErrLeaderNotReady
	}
	next, err := n.membership().apply(c)
	if err != nil {
		return 0, err
	}
	if c.Kind == Promote && !n.caughtUp(c.Replica) {
		return 0, ErrNotCaughtUp
	}
	if c.Kind == Remove && !next.hasQuorum(n.isResponsive) {
		return 0, ErrQuorumAtRisk
	}
	return n.appendAndReplicate(Entry{Kind: EntryMembership, Membership: next}), nil
}

const maxUnansweredHeartbeats = 4 // consecutive heartbeats without an answer up to which a replica counts as responsive

// isResponsive reports whether a replica answered one of the latest heartbeats.
func (n *Node) isResponsive(r Replica) bool {
	p := n.progress[r]
	return r == n.self || p != nil && p.recentlyActive && p.unansweredHeartbeats <= maxUnansweredHeartbeats
}

// caughtUp reports whether a member holds every committed entry and is responsive.
func (n *Node) caughtUp(r Replica) bool {
	p := n.progress[r]
	return p != nil && n.isResponsive(r) && p.state == replicating && p.match >= n.log.committed
}

// promoteLearners proposes to promote the first learner that has caught up.
func (n *Node) promoteLearners() {
	if n.cfg.ManualMembership {
		return
	}
	for _, m := range n.membership() {
		if m.Voter || !n.caughtUp(m.Replica) {
			continue
		}
		// An error means that a change is in progress; the next tick retries.
		_, _ = n.ProposeChange(Change{Kind: Promote, Replica: m.Replica})
		return
	}
}

// SetJoinable sets the replicas that are added when they request to join; the default is Peers. The
// caller takes them from its replicated state, because the settings of one host may be outdated: they
// may list a replica that was replaced or one whose addition was cancelled.
func (n *Node) SetJoinable(ids []ident.DaemonID) { n.joinable = ids }

// stepJoin handles a replica's request to be added as a learner.
func (n *Node) stepJoin(m Message) error {
	if n.role != Leader || n.cfg.ManualMembership || m.From.ID == n.self.ID {
		return nil
	}
	if m.Group != 0 && m.Group != n.group {
		return ErrOtherGroup
	}
	if n.membership().Contains(m.From) {
		return nil
	}
	current, known := n.membership().Find(m.From.ID)
	if known && current.Replica.Incarnation > m.From.Incarnation {
		n.send(Message{Kind: MsgJoinRefused, To: m.From})
		return ErrStaleReplica
	}
	if !known && !slices.Contains(n.joinable, m.From.ID) {
		if m.Group != 0 {
			n.sendRemoved(m.From)
		}
		return ErrUnknownMember
	}
	_, err := n.ProposeChange(Change{Kind: AddLearner, Replica: m.From})
	return err
}

// requestJoin requests every configured peer to add this replica as a learner. A replica that already
// holds entries repeats the request, because the change that added it may not have been committed.
func (n *Node) requestJoin() {
	for _, id := range n.cfg.Peers {
		if id != n.self.ID {
			n.pendingMessages = append(n.pendingMessages, Message{Kind: MsgJoin, From: n.self, To: Replica{ID: id}, Group: n.group})
		}
	}
}

// FoundingState returns the durable state of the replicas that found a group. Every founder must
// use the same members and the same group (a random number other than 0). A replica may be founded
// only once, by an explicit command of the operator: a replica whose data folder is empty for any
// other reason starts without state and joins as a learner.
func FoundingState(self Replica, group uint64, members Membership) State {
	first := Entry{Term: 1, Index: 1, Kind: EntryMembership, Membership: members}
	return State{
		Self:      self,
		HardState: HardState{Term: 1, Commit: 1, Group: group},
		Entries:   []Entry{first},
	}
}

// MemberStatus is the status of a member as the leader sees it.
type MemberStatus struct {
	Member
	Responsive bool // answered one of the latest heartbeats
	CaughtUp   bool // holds every committed entry and is responsive
	Leaving    bool // requested to be replaced, since it is about to stop
}

// Members returns the status of the members, nil unless this node is the leader.
func (n *Node) Members() []MemberStatus {
	if n.role != Leader {
		return nil
	}
	out := make([]MemberStatus, 0, len(n.membership()))
	for _, m := range n.membership() {
		self := m.Replica == n.self
		out = append(out, MemberStatus{
			Member: m, Responsive: n.isResponsive(m.Replica), CaughtUp: self || n.caughtUp(m.Replica),
			Leaving: n.progress[m.Replica].leaveTicks > 0,
		})
	}
	return out
}
