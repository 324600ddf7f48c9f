package agreement

import "slices"

// removed reports whether this replica was a member and is no longer one, by its log or by the
// word of a leader.
func (n *Node) removed() bool {
	if n.toldRemoved {
		return true
	}
	was := slices.ContainsFunc(n.log.confs, func(c confAt) bool { return c.membership.Contains(n.self) })
	return was && !n.log.membershipAt(n.log.committed).Contains(n.self) && !n.membership().Contains(n.self)
}

// tellRemoved answers the vote request of a replica that was removed, and reports whether it did.
// The leader sends its entries to members only, so a replica that was silent when it was removed
// does not have the entry that says so. Only a replica that was a voter sends vote requests, and a
// leader that has committed in its term knows every committed membership, so the answer is certain.
// Other members pass the request on to their leader: the sender may not know it, if it was no voter
// when the sender last heard of it.
func (n *Node) tellRemoved(m Message) bool {
	if m.Kind != MsgPreVote && m.Kind != MsgVote || !m.valid() {
		return false
	}
	// The sender may know only an earlier incarnation of this replica.
	if m.To.ID != n.self.ID || m.Group != n.group {
		return false
	}
	_, member := n.membership().Find(m.From.ID)
	_, committed := n.log.membershipAt(n.log.committed).Find(m.From.ID)
	switch {
	case member || committed:
		return false
	case n.role == Leader && n.committedInTerm():
		n.sayRemoved(m.From)
		return true
	case n.role == Follower && n.inLease() && !m.Force && m.Hint == 0:
		m.To, m.Hint = n.leader, passedOn
		n.msgs = append(n.msgs, m)
		return true
	}
	return false
}

// passedOn is the Hint of a vote request that a member passed on to its leader. It is passed on once
// only, since two replicas may each take the other for the leader.
const passedOn = 1

func (n *Node) sayRemoved(to Replica) {
	n.send(Message{Kind: MsgRemoved, To: to, Index: n.log.committed})
}

// stepRemoved takes the word of a leader, of whatever term, that the membership committed at m.Index
// lacks this replica. A log that has a later membership with it shows that the message is late.
// The next message of a leader, which only members get, revokes it.
func (n *Node) stepRemoved(m Message) {
	latest := n.log.latestConf()
	addedLater := latest.index > m.Index && latest.membership.Contains(n.self)
	if n.group == 0 || addedLater {
		return
	}
	n.becomeFollower(n.term, None)
	n.toldRemoved = true
}
