package agreement

import "slices"

const snapshotRetry = 20 // heartbeats without an acknowledgement before a snapshot is sent again

// syncProgress makes the leader's progress table match the membership.
func (n *Node) syncProgress() {
	next := make(map[Replica]*progress, len(n.membership()))
	for _, m := range n.membership() {
		p := n.progress[m.Replica]
		if p == nil {
			p = &progress{next: n.log.lastIndex() + 1}
		}
		next[m.Replica] = p
	}
	n.progress = next
}

func (n *Node) mayPropose() error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.transferTo != None:
		return ErrTransferring
	case !n.membership().IsVoter(n.self):
		return ErrNotLeader // removed by a change that is not yet committed
	}
	return nil
}

// Propose appends data to the leader's log and returns its index. The proposal is accepted when
// Ready returns an entry with this index and the leader's term as committed; until then it may be
// lost, and the caller proposes it again under the same change id.
func (n *Node) Propose(data []byte) (uint64, error) {
	if err := n.mayPropose(); err != nil {
		return 0, err
	}
	if len(data) > n.cfg.MaxMessageBytes {
		return 0, ErrTooLarge
	}
	if n.uncommitted > 0 && n.uncommitted+len(data) > n.cfg.MaxUncommittedBytes {
		return 0, ErrOverloaded
	}
	return n.appendOwn(Entry{Kind: EntryData, Data: data}), nil
}

// appendOwn appends an entry to the leader's own log and sends it to the others.
func (n *Node) appendOwn(e Entry) uint64 {
	e.Term = n.term
	e.Index = n.log.lastIndex() + 1
	n.uncommitted += e.size()
	n.log.push([]Entry{e})
	if e.Kind == EntryMembership {
		n.syncProgress()
	}
	n.broadcastAppend(false)
	return e.Index
}

// ackOwn counts the leader's own synced entries.
func (n *Node) ackOwn() {
	if n.role != Leader {
		return
	}
	if p := n.progress[n.self]; p != nil {
		p.acknowledge(n.log.stable)
	}
	n.maybeCommit()
}

func (n *Node) committedInTerm() bool {
	t, _ := n.log.term(n.log.committed)
	return t == n.term
}

// maybeCommit commits the largest index of this term that a majority of the voters has synced.
func (n *Node) maybeCommit() {
	var acked []uint64
	for _, m := range n.membership() {
		if m.Voter {
			acked = append(acked, n.progress[m.Replica].match)
		}
	}
	if len(acked) == 0 {
		return
	}
	slices.Sort(acked)
	index := acked[(len(acked)-1)/2]
	if index <= n.log.committed || !n.log.matches(index, n.term) {
		return
	}
	for _, e := range n.log.between(n.log.committed, index) {
		n.uncommitted = max(0, n.uncommitted-e.size())
	}
	n.log.committed = index
	n.broadcastAppend(true)
	n.releaseReads()
	if !n.membership().IsVoter(n.self) && n.log.latestConf().index <= index {
		n.becomeFollower(n.term, None)
	}
}

func (n *Node) broadcastAppend(evenEmpty bool) {
	for _, m := range n.membership() {
		if m.Replica != n.self {
			n.sendAppend(m.Replica, evenEmpty)
		}
	}
}

// sendAppend sends entries while flow control allows it, and at least the commit index if evenEmpty.
func (n *Node) sendAppend(to Replica, evenEmpty bool) {
	p := n.progress[to]
	for p != nil && !p.full(n.cfg.MaxInflightBytes) {
		more := p.next <= n.log.lastIndex()
		if !more && !evenEmpty {
			return
		}
		evenEmpty = false
		prev := p.next - 1
		prevTerm, ok := n.log.term(prev)
		if !ok {
			n.sendSnapshot(to, p)
			return
		}
		entries, bytes := n.log.batch(prev, n.cfg.MaxMessageBytes)
		n.send(Message{
			Kind: MsgAppend, To: to, Index: prev, LogTerm: prevTerm,
			Entries: entries, Commit: n.log.committed,
		})
		p.sent(prev+uint64(len(entries)), bytes)
	}
}

func (n *Node) sendSnapshot(to Replica, p *progress) {
	p.state = snapshotting
	p.snapTicks = 0
	s := n.log.snapshot
	n.send(Message{Kind: MsgSnapshot, To: to, Snapshot: &s})
}

func (n *Node) broadcastHeartbeat() {
	for _, m := range n.membership() {
		if m.Replica == n.self {
			continue
		}
		p := n.progress[m.Replica]
		p.quiet++
		n.send(Message{
			Kind: MsgHeartbeat, To: m.Replica,
			Commit: min(p.match, n.log.committed), Context: n.reads.round,
		})
		n.retrySnapshot(p)
	}
}

// retrySnapshot returns to probing when a snapshot was probably lost.
func (n *Node) retrySnapshot(p *progress) {
	if p.state != snapshotting {
		return
	}
	p.snapTicks++
	if p.snapTicks >= snapshotRetry {
		p.probe()
	}
}

// stepFromLeader handles a message of this term's leader.
func (n *Node) stepFromLeader(m Message) error {
	if n.role == Leader {
		return nil
	}
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(n.term, m.From)
	}
	n.electionElapsed = 0
	n.toldRemoved = false
	switch m.Kind {
	case MsgHeartbeat:
		n.commitTo(min(m.Commit, n.log.lastIndex()))
		n.send(Message{Kind: MsgHeartbeatReply, To: m.From, Context: m.Context})
	case MsgAppend:
		return n.followAppend(m)
	case MsgSnapshot:
		n.followSnapshot(m)
	}
	return nil
}

func (n *Node) commitTo(index uint64) { n.log.committed = max(n.log.committed, index) }

func (n *Node) followAppend(m Message) error {
	l := n.log
	if m.Index < l.committed {
		n.send(Message{Kind: MsgAppendReply, To: m.From, Index: l.committed})
		return nil
	}
	if !l.matches(m.Index, m.LogTerm) {
		hint, term := l.conflictHint(m.Index, m.LogTerm)
		n.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Index: m.Index, Hint: hint, LogTerm: term})
		return nil
	}
	if err := l.merge(m.Entries); err != nil {
		n.diverged = true
		return err
	}
	last := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.send(Message{Kind: MsgAppendReply, To: m.From, Index: last})
	return nil
}

// followSnapshot installs a snapshot unless the log already holds what it stands for.
func (n *Node) followSnapshot(m Message) {
	s := m.Snapshot
	if s.Index > n.log.committed {
		if n.log.matches(s.Index, s.Term) {
			n.commitTo(s.Index)
		} else {
			n.log.restore(*s)
			n.pendingSnapshot = s
		}
	}
	n.send(Message{Kind: MsgAppendReply, To: m.From, Index: n.log.committed})
}

func (n *Node) stepAppendReply(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.active = true
	p.quiet = 0
	if m.Reject {
		n.appendRejected(m, p)
		return
	}
	if p.acknowledge(m.Index) || p.state == probing && p.probeSent {
		n.appendAccepted(p)
	}
	n.sendAppend(m.From, false)
	if m.From == n.transferTo {
		n.continueTransfer()
	}
}

// appendAccepted resumes pipelined replication and commits what a majority now holds.
func (n *Node) appendAccepted(p *progress) {
	if p.state != replicating {
		p.probe()
		p.state = replicating
	}
	n.maybeCommit()
}

// appendRejected moves back to the last index at which the logs may agree.
func (n *Node) appendRejected(m Message, p *progress) {
	stale := m.Index <= p.match || p.state == probing && m.Index != p.next-1
	if stale || p.state == snapshotting {
		return
	}
	hint, _ := n.log.conflictHint(m.Hint, m.LogTerm)
	p.probe()
	p.next = max(p.match, min(hint, m.Index-1)) + 1
	n.sendAppend(m.From, true)
}

// stepHeartbeatReply resumes sending to a replica whose acknowledgements stopped: the messages or
// their replies were lost.
func (n *Node) stepHeartbeatReply(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.active = true
	p.quiet = 0
	p.readAck = max(p.readAck, m.Context)
	n.releaseReads()
	stalled := p.heartbeatReply(n.log.lastIndex())
	n.sendAppend(m.From, stalled)
	if m.From == n.transferTo {
		n.continueTransfer()
	}
}
