package agreement

// pendingRead is a read that is released when a majority has confirmed the leader in its round or a
// later one.
type pendingRead struct {
	from    Replica
	context uint64
	index   uint64
	round   uint64
}

// readQueue holds the leader's unconfirmed reads in the order of their rounds.
type readQueue struct {
	round   uint64
	pending []pendingRead
}

// ReadIndex starts a linearizable read. Ready later returns a ReadState with the same context;
// once the entry at its index is applied, the caller answers the read from its state. A read can be
// lost; the caller then repeats it. Contexts must be unique across restarts; use random numbers.
func (n *Node) ReadIndex(context uint64) error {
	if n.role == Leader {
		return n.queueRead(n.self, context)
	}
	if n.leader == None {
		return ErrNoLeader
	}
	n.send(Message{Kind: MsgReadIndex, To: n.leader, Context: context})
	return nil
}

// queueRead queues a read. A leader that has not committed an entry of its term refuses, since its
// commit index may be behind.
func (n *Node) queueRead(from Replica, context uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if !n.hasCommittedInTerm() {
		return ErrLeaderNotReady
	}
	n.reads.round++
	n.reads.pending = append(n.reads.pending, pendingRead{from, context, n.log.committed, n.reads.round})
	n.broadcastHeartbeat()
	n.releaseReads()
	return nil
}

// releaseReads releases the reads whose round a quorum has confirmed.
func (n *Node) releaseReads() {
	for len(n.reads.pending) > 0 {
		r := n.reads.pending[0]
		confirmed := func(v Replica) statement {
			p := n.progress[v]
			switch {
			case v == n.self:
				return statement{true, n.knownLost()}
			case p == nil:
				return statement{}
			}
			return statement{p.confirmedReadRound >= r.round, p.statedReadRound.lostAt(r.round)}
		}
		if !n.isDecided(confirmed) {
			return
		}
		n.reads.pending = n.reads.pending[1:]
		n.releaseRead(r)
	}
}

func (n *Node) releaseRead(r pendingRead) {
	if r.from == n.self {
		n.releasedReads = append(n.releasedReads, ReadState{Context: r.context, Index: r.index})
		return
	}
	n.send(Message{Kind: MsgReadIndexReply, To: r.from, Context: r.context, Index: r.index})
}
