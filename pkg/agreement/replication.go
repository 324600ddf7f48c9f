package agreement

import "slices"

const (
	snapshotRetryHeartbeats = 20 // heartbeats without an acknowledgement before a snapshot is sent again
	// snapshotProbeHeartbeats is the number of heartbeats after which the leader asks a replica whether it has
	// the snapshot. A replica that waits for the retry counts as lost for longer than deployments allow.
	snapshotProbeHeartbeats = 5
)

// syncProgress updates the leader's progress table to the deciding memberships.
func (n *Node) syncProgress() {
	participants := n.participants()
	next := make(map[Replica]*progress, len(participants))
	for _, m := range participants {
		p := n.progress[m.Replica]
		if p == nil {
			p = &progress{next: n.log.lastIndex() + 1}
		}
		next[m.Replica] = p
	}
	n.progress = next
}

func (n *Node) checkCanPropose() error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.transferTarget != None:
		return ErrTransferring
	case !n.membership().IsVoter(n.self):
		return ErrNotLeader // removed by a change that is not yet committed
	}
	return nil
}

// Propose appends data to the leader's log and returns its index. The proposal is accepted when
// Ready returns an entry with this index and the leader's term as committed. Until then it may be
// lost; the caller then proposes it again with the same change id.
func (n *Node) Propose(data []byte) (uint64, error) {
	if err := n.checkCanPropose(); err != nil {
		return 0, err
	}
	if len(data) > n.cfg.MaxMessageBytes {
		return 0, ErrTooLarge
	}
	if n.uncommittedBytes > 0 && n.uncommittedBytes+len(data) > n.cfg.MaxUncommittedBytes {
		return 0, ErrOverloaded
	}
	return n.appendAndReplicate(Entry{Kind: EntryData, Data: data}), nil
}

// appendAndReplicate appends an entry to the leader's log and sends it to the other members.
func (n *Node) appendAndReplicate(e Entry) uint64 {
	e.Term = n.term
	e.Index = n.log.lastIndex() + 1
	n.uncommittedBytes += e.size()
	n.log.appendEntries([]Entry{e})
	if e.Kind == EntryMembership {
		n.syncProgress()
	}
	n.broadcastAppend(false)
	return e.Index
}

// recordLocalSync counts the leader's own synced entries towards the majority.
func (n *Node) recordLocalSync() {
	if n.role != Leader {
		return
	}
	if p := n.progress[n.self]; p != nil {
		p.recordAck(n.log.stable)
	}
	n.maybeCommit()
}

func (n *Node) hasCommittedInTerm() bool {
	t, _ := n.log.term(n.log.committed)
	return t == n.term
}

// committable returns the largest index that a quorum has synced.
func (n *Node) committable() uint64 {
	var candidates []uint64
	for _, p := range n.progress {
		if p.match > n.log.committed {
			candidates = append(candidates, p.match)
		}
	}
	slices.Sort(candidates)
	for _, index := range slices.Backward(slices.Compact(candidates)) {
		synced := func(r Replica) statement {
			p := n.progress[r]
			switch {
			case p == nil:
				return statement{}
			case r == n.self:
				return statement{p.match >= index, n.knownLost()}
			}
			return statement{p.match >= index, p.statedMatch.lostAt(index)}
		}
		if n.isDecided(synced) {
			return index
		}
	}
	return 0
}

// maybeCommit commits the largest index of this term that a quorum has synced.
func (n *Node) maybeCommit() {
	index := n.committable()
	if index <= n.log.committed || !n.log.matches(index, n.term) {
		return
	}
	for _, e := range n.log.slice(n.log.committed, index) {
		n.uncommittedBytes = max(0, n.uncommittedBytes-e.size())
	}
	committedBefore := n.log.committed
	n.log.committed = index
	if membershipIndex := n.log.latestMembership().index; committedBefore < membershipIndex && membershipIndex <= index {
		n.notifyRemoved(committedBefore)
		n.syncProgress()
	}
	n.broadcastAppend(true)
	n.releaseReads()
	if !n.membership().IsVoter(n.self) && n.log.latestMembership().index <= index {
		n.becomeFollower(n.term, None)
	}
}

func (n *Node) broadcastAppend(allowEmpty bool) {
	for _, m := range n.participants() {
		if m.Replica != n.self {
			n.sendAppend(m.Replica, allowEmpty)
		}
	}
}

// sendAppend sends entries while flow control allows it. If there are none and allowEmpty is set, it
// sends an empty append with the commit index.
func (n *Node) sendAppend(to Replica, allowEmpty bool) {
	p := n.progress[to]
	for p != nil && !p.paused(n.cfg.MaxInflightBytes) {
		hasEntries := p.next <= n.log.lastIndex()
		if !hasEntries && !allowEmpty {
			return
		}
		allowEmpty = false
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
		p.recordSent(prev+uint64(len(entries)), bytes)
	}
}

func (n *Node) sendSnapshot(to Replica, p *progress) {
	p.state = snapshotting
	s := n.log.snapshot
	p.snapshotHeartbeats, p.snapshotIndex = 0, s.Index
	n.send(Message{Kind: MsgSnapshot, To: to, Snapshot: &s})
}

func (n *Node) broadcastHeartbeat() {
	for _, m := range n.participants() {
		if m.Replica == n.self {
			continue
		}
		p := n.progress[m.Replica]
		p.unansweredHeartbeats++
		n.send(Message{
			Kind: MsgHeartbeat, To: m.Replica,
			Commit: min(p.match, n.log.committed), Context: n.reads.round,
		})
		n.retrySnapshot(m.Replica, p)
	}
}

// retrySnapshot returns to probing if the snapshot was probably lost. Before that it sends an empty append that only
// a replica with the snapshot accepts: the snapshot or its acknowledgement may be lost. On a slow link the append
// waits behind the snapshot.
func (n *Node) retrySnapshot(to Replica, p *progress) {
	if p.state != snapshotting {
		return
	}
	p.snapshotHeartbeats++
	if p.snapshotHeartbeats >= snapshotRetryHeartbeats {
		p.startProbing()
		return
	}
	if term, ok := n.log.term(p.snapshotIndex); ok && p.snapshotHeartbeats%snapshotProbeHeartbeats == 0 {
		n.send(Message{Kind: MsgAppend, To: to, Index: p.snapshotIndex, LogTerm: term, Commit: n.log.committed})
	}
}

// stepFromLeader handles an append, heartbeat or snapshot of this term's leader.
func (n *Node) stepFromLeader(m Message) error {
	if n.role == Leader {
		return nil
	}
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(n.term, m.From)
	}
	n.electionElapsed = 0
	n.removedByLeader = false
	switch m.Kind {
	case MsgHeartbeat:
		n.commitTo(min(m.Commit, n.log.lastIndex()))
		n.send(Message{Kind: MsgHeartbeatReply, To: m.From, Context: m.Context})
	case MsgAppend:
		return n.stepAppend(m)
	case MsgSnapshot:
		n.stepSnapshot(m)
	}
	return nil
}

func (n *Node) commitTo(index uint64) { n.log.committed = max(n.log.committed, index) }

func (n *Node) stepAppend(m Message) error {
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

// stepSnapshot installs a snapshot unless the log already contains its entries.
func (n *Node) stepSnapshot(m Message) {
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
	p.recentlyActive = true
	p.unansweredHeartbeats = 0
	if m.Reject {
		n.appendRejected(m, p)
		return
	}
	p.statedMatch.record(m.Lost, m.Index)
	if p.recordAck(m.Index) || p.state == probing && p.probeSent {
		n.appendAccepted(p)
	} else if len(m.Lost) > 0 {
		n.maybeCommit()
	}
	n.sendAppend(m.From, false)
	if m.From == n.transferTarget {
		n.continueTransfer()
	}
}

// appendAccepted resumes pipelined replication and commits what a majority now holds.
func (n *Node) appendAccepted(p *progress) {
	if p.state != replicating {
		p.startProbing()
		p.state = replicating
	}
	n.maybeCommit()
}

// appendRejected sends again from the last index at which the logs may agree.
func (n *Node) appendRejected(m Message, p *progress) {
	if m.Index <= p.match || p.state == probing && m.Index != p.next-1 || p.state == snapshotting && m.Index != p.snapshotIndex {
		return // an answer to an earlier append
	}
	hint, _ := n.log.conflictHint(m.Hint, m.LogTerm)
	p.startProbing()
	p.next = max(p.match, min(hint, m.Index-1)) + 1
	n.sendAppend(m.From, true)
}

// stepHeartbeatReply records the reply and resumes sending to a replica whose acknowledgements stopped
// because appends or their replies were lost.
func (n *Node) stepHeartbeatReply(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.recentlyActive = true
	p.unansweredHeartbeats = 0
	p.confirmedReadRound = max(p.confirmedReadRound, m.Context)
	p.statedReadRound.record(m.Lost, m.Context)
	n.releaseReads()
	// An acknowledgement from before a loss was known is requested again.
	lost := n.knownLost()
	outdated := len(lost) > 0 && !areLost(p.statedMatch.lostAt(p.match), lost)
	stalled := p.recordHeartbeatReply(n.log.lastIndex())
	n.sendAppend(m.From, stalled || outdated)
	if m.From == n.transferTarget {
		n.continueTransfer()
	}
}
