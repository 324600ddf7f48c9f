package agreement

// pendingRead is a read that waits until a majority confirms the leader in its round or a later one.
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
// when the entry at its index is applied, the state answers the read. A read can be lost; the
// caller then repeats it. Contexts must not repeat, over restarts too, so they are best random.
func (n *Node) ReadIndex(context uint64) error {
	if n.role == Leader {
		return n.readFor(n.self, context)
	}
	if n.leader == None {
		return ErrNoLeader
	}
	n.send(Message{Kind: MsgReadIndex, To: n.leader, Context: context})
	return nil
}

// readFor queues a read. A leader that has not committed in its term may not know the latest
// committed entry, so it refuses.
func (n *Node) readFor(from Replica, context uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if !n.committedInTerm() {
		return ErrLeaderNotReady
	}
	n.reads.round++
	n.reads.pending = append(n.reads.pending, pendingRead{from, context, n.log.committed, n.reads.round})
	n.broadcastHeartbeat()
	n.releaseReads()
	return nil
}

// releaseReads answers the reads whose round a majority of the voters has confirmed.
func (n *Node) releaseReads() {
	for len(n.reads.pending) > 0 {
		r := n.reads.pending[0]
		confirmed := func(v Replica) bool {
			return v == n.self || n.progress[v] != nil && n.progress[v].readAck >= r.round
		}
		if !n.membership().quorum(confirmed) {
			return
		}
		n.reads.pending = n.reads.pending[1:]
		n.answerRead(r)
	}
}

func (n *Node) answerRead(r pendingRead) {
	if r.from == n.self {
		n.readStates = append(n.readStates, ReadState{Context: r.context, Index: r.index})
		return
	}
	n.send(Message{Kind: MsgReadIndexReply, To: r.from, Context: r.context, Index: r.index})
}
