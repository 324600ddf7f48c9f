package agreement

import "slices"

// removed reports whether this replica was a member and no longer is, according to its log or to a
// leader.
func (n *Node) removed() bool {
	if n.removedByLeader {
		return true
	}
	wasMember := slices.ContainsFunc(n.log.memberships, func(c indexedMembership) bool { return c.membership.Contains(n.self) })
	return wasMember && !n.log.membershipAt(n.log.committed).Contains(n.self) && !n.membership().Contains(n.self)
}

// handleRemovedCandidate answers or forwards the vote request of a removed replica, and reports whether
// it did. Leaders send entries to members only, so a replica that was unreachable during its removal
// lacks the entry that removes it. Only former voters send vote requests, and a leader that has
// committed in its term has every committed membership, so its answer is certain. A follower forwards
// the request to its leader, which may not be a voter in the sender's membership.
func (n *Node) handleRemovedCandidate(m Message) bool {
	if m.Kind != MsgPreVote && m.Kind != MsgVote || !m.valid() {
		return false
	}
	// The sender may address an earlier incarnation of this replica.
	if m.To.ID != n.self.ID || m.Group != n.group {
		return false
	}
	_, member := n.membership().Find(m.From.ID)
	_, committed := n.log.membershipAt(n.log.committed).Find(m.From.ID)
	switch {
	case member || committed:
		return false
	case n.role == Leader && n.hasCommittedInTerm():
		n.sendRemoved(m.From)
		return true
	case n.role == Follower && n.inLease() && !m.Force && m.Hint == 0:
		m.To, m.Hint = n.leader, forwardedHint
		n.pendingMessages = append(n.pendingMessages, m)
		return true
	}
	return false
}

// forwardedHint is the Hint of a vote request that a member forwarded to its leader. A request is
// forwarded only once, since two replicas may each take the other for the leader.
const forwardedHint = 1

func (n *Node) sendRemoved(to Replica) {
	n.send(Message{Kind: MsgRemoved, To: to, Index: n.log.committed})
}

// NotifyRemoved repeats the notice to a replica that it is no longer a member. Only a leader that has committed
// in its term knows every committed membership; otherwise nothing is sent.
func (n *Node) NotifyRemoved(to Replica) {
	if n.role != Leader || !n.hasCommittedInTerm() {
		return
	}
	_, member := n.membership().Find(to.ID)
	_, committed := n.log.membershipAt(n.log.committed).Find(to.ID)
	if !member && !committed {
		n.sendRemoved(to)
	}
}

// RequestLeave asks the leader to replace this replica, which is about to stop. The request counts for an
// election timeout, so the caller repeats it until Status shows that the replica is removed, or stops
// without a replacement.
func (n *Node) RequestLeave() error {
	if n.leader == None || n.leader == n.self {
		return ErrNoLeader
	}
	n.send(Message{Kind: MsgLeave, To: n.leader})
	return nil
}

// stepLeave records a member's request to leave. A replica whose removal is already committed gets the
// notice again.
func (n *Node) stepLeave(m Message) {
	if n.role != Leader {
		return
	}
	if p := n.progress[m.From]; p != nil {
		p.leaveTicks = n.cfg.ElectionTicks
		return
	}
	if n.hasCommittedInTerm() && !n.log.membershipAt(n.log.committed).Contains(m.From) {
		n.sendRemoved(m.From)
	}
}

// notifyRemoved sends a notice to the members that the committed entries have removed. Leaders send
// entries to members only, so without it such a replica would find out only after an election timeout.
func (n *Node) notifyRemoved(committedBefore uint64) {
	before, now := n.log.membershipAt(committedBefore), n.log.membershipAt(n.log.committed)
	for _, m := range before {
		if _, member := now.Find(m.Replica.ID); !member && m.Replica != n.self {
			n.sendRemoved(m.Replica)
		}
	}
}

// stepRemoved handles the notice of a leader of any term that the membership committed at m.Index lacks
// this replica. The notice is outdated if the log has a later membership with this replica. The next
// append, heartbeat or snapshot of a leader revokes it, since only members receive those.
func (n *Node) stepRemoved(m Message) {
	latest := n.log.latestMembership()
	addedLater := latest.index > m.Index && latest.membership.Contains(n.self)
	if n.group == 0 || addedLater {
		return
	}
	n.becomeFollower(n.term, None)
	n.removedByLeader = true
}
