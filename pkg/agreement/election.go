package agreement

func (n *Node) resetElectionTimeout() {
	n.electionTimeout = n.cfg.ElectionTicks + n.rng.IntN(n.cfg.ElectionTicks)
}

// reset clears the state of the current role, and the vote if the term is new.
func (n *Node) reset(term uint64) {
	if term != n.term {
		n.term = term
		n.vote = None
	}
	n.electionElapsed = 0
	n.heartbeatElapsed = 0
	n.resetElectionTimeout()
	n.votes = nil
	n.progress = nil
	n.uncommittedBytes = 0
	n.transferTarget = None
	n.reads = readQueue{}
}

func (n *Node) becomeFollower(term uint64, leader Replica) {
	n.reset(term)
	n.role = Follower
	n.leader = leader
}

// mayCampaign reports whether the replica is a voter in the latest or in the committed membership.
// Until a change that removes it is committed, the others may need its vote and its log to elect a leader.
func (n *Node) mayCampaign() bool {
	return n.membership().IsVoter(n.self) || n.log.membershipAt(n.log.committed).IsVoter(n.self)
}

// campaign starts an election, with a pre-vote unless the leader itself requested the election.
func (n *Node) campaign(force bool) {
	if force || n.cfg.withoutPreVote {
		n.becomeCandidate(force)
		return
	}
	n.role = PreCandidate
	n.leader = None
	n.requestVotes(MsgPreVote, n.term+1, false)
}

func (n *Node) becomeCandidate(force bool) {
	n.reset(n.term + 1)
	n.role = Candidate
	n.leader = None
	n.vote = n.self
	n.requestVotes(MsgVote, n.term, force)
}

func (n *Node) requestVotes(kind MessageKind, term uint64, force bool) {
	n.votes = map[Replica]statement{n.self: {true, n.knownLost()}}
	for _, m := range n.participants() {
		if m.Replica == n.self || !m.Voter {
			continue
		}
		n.send(Message{
			Kind: kind, To: m.Replica, Term: term, Force: force,
			Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
		})
	}
	n.countVotes()
}

// stepVoteRequest replies to a candidate. A replica grants its vote even if its own log does not show
// it as a voter: it may have been promoted by an entry that it has not received yet, and the
// candidate counts only the voters of its own membership.
func (n *Node) stepVoteRequest(m Message) {
	upToDate := n.log.upToDate(m.Index, m.LogTerm)
	if m.Kind == MsgPreVote {
		// A refusal carries the node's own term, so that the candidate adopts it if it is later.
		reply := Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term}
		if !upToDate || n.inLease() || m.Term <= n.term {
			reply.Term, reply.Reject = n.term, true
		}
		n.send(reply)
		return
	}
	grant := upToDate && (n.vote == None || n.vote == m.From) && (n.leader == None || n.leader == m.From)
	if grant {
		n.role = Follower // ends a pre-vote; a candidate never gets here, it has voted for itself
		n.vote = m.From
		n.electionElapsed = 0
	}
	n.send(Message{Kind: MsgVoteReply, To: m.From, Reject: !grant})
}

func (n *Node) stepVoteReply(m Message) {
	isPreVoteReply := n.role == PreCandidate && m.Kind == MsgPreVoteReply
	if isPreVoteReply && !m.Reject && m.Term != n.term+1 {
		return
	}
	if !isPreVoteReply && (n.role != Candidate || m.Kind != MsgVoteReply) {
		return
	}
	n.votes[m.From] = statement{!m.Reject, m.Lost}
	n.countVotes()
}

// countVotes ends the election when a quorum has granted or a majority has refused.
func (n *Node) countVotes() {
	refused := func(r Replica) bool { v, ok := n.votes[r]; return ok && !v.agrees }
	switch {
	case n.isDecided(func(r Replica) statement { return n.votes[r] }):
		n.winElection()
	case n.membership().hasQuorum(refused):
		n.becomeFollower(n.term, None)
	}
}

func (n *Node) winElection() {
	if n.role == PreCandidate {
		n.becomeCandidate(false)
		return
	}
	n.becomeLeader()
}

func (n *Node) becomeLeader() {
	n.reset(n.term)
	n.role = Leader
	n.leader = n.self
	n.syncProgress()
	n.appendAndReplicate(Entry{Kind: EntryEmpty})
}

// tickLeader sends heartbeats and steps down if no majority answered for an election timeout.
func (n *Node) tickLeader() {
	if n.electionElapsed >= n.cfg.ElectionTicks {
		n.electionElapsed = 0
		n.transferTarget = None
		if !n.checkQuorum() {
			n.becomeFollower(n.term, None)
			return
		}
	}
	for _, p := range n.progress {
		p.leaveTicks = max(0, p.leaveTicks-1)
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.broadcastHeartbeat()
	}
	n.promoteLearners()
}

// checkQuorum reports whether a majority of the voters answered since the last check.
func (n *Node) checkQuorum() bool {
	lost := n.knownLost()
	ok := n.membership().agreesWithout(lost, func(r Replica) statement { return statement{n.isActive(r), lost} })
	for _, p := range n.progress {
		p.recentlyActive = false
	}
	return ok
}

// isActive reports whether a replica answered since the last quorum check.
func (n *Node) isActive(r Replica) bool {
	return r == n.self || n.progress[r] != nil && n.progress[r].recentlyActive
}

// TransferLeadership transfers the leadership to a voter, for a planned stop. The transfer is
// abandoned after an election timeout; Status then still shows this node as leader.
func (n *Node) TransferLeadership(to Replica) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if to == n.self || !n.membership().IsVoter(to) {
		return ErrUnknownMember
	}
	n.transferTarget = to
	n.electionElapsed = 0
	n.continueTransfer()
	return nil
}

// continueTransfer makes the transfer target campaign once it holds the whole log.
func (n *Node) continueTransfer() {
	p := n.progress[n.transferTarget]
	if p != nil && p.match == n.log.lastIndex() {
		n.send(Message{Kind: MsgTimeoutNow, To: n.transferTarget})
	}
}

func (n *Node) stepTimeoutNow(m Message) {
	if n.role == Follower && m.From == n.leader && n.membership().IsVoter(n.self) {
		n.campaign(true)
	}
}
