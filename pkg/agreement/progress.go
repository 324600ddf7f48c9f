package agreement

const resendAfterReplies = 2 // heartbeat replies without progress before entries are sent again

// progressState is the way in which the leader sends entries to a replica.
type progressState uint8

const (
	probing      progressState = iota // one append at a time, until the logs match
	replicating                       // pipelined up to the in-flight limit
	snapshotting                      // waiting until a snapshot is acknowledged
)

// inflightAppend is an append that was sent and not yet acknowledged.
type inflightAppend struct {
	last  uint64 // index of its last entry
	bytes int
}

// progress is the leader's replication state of one replica. match is the largest acknowledged index
// and next the index to send next. Invariant: match < next; match never decreases, because an
// incarnation of a replica keeps every entry that it acknowledged.
type progress struct {
	match, next          uint64
	state                progressState
	recentlyActive       bool // answered since the last quorum check
	unansweredHeartbeats int  // heartbeats sent since the last answer
	probeSent            bool // while probing: an append is in flight
	inflight             []inflightAppend
	inflightBytes        int            // of all in-flight appends
	matchAtLastReply     uint64         // match at the previous heartbeat reply
	stalledReplies       int            // consecutive heartbeat replies without a larger match
	snapshotHeartbeats   int            // heartbeats since the snapshot was sent
	snapshotIndex        uint64         // of the snapshot sent
	confirmedReadRound   uint64         // latest read round that the replica confirmed
	statedMatch          statedProgress // match
	statedReadRound      statedProgress // confirmedReadRound
	leaveTicks           int            // ticks for which the latest request to leave still counts
}

func (p *progress) startProbing() {
	p.state = probing
	p.next = p.match + 1
	p.probeSent = false
	p.inflight, p.inflightBytes = nil, 0
}

func (p *progress) paused(limit int) bool {
	switch p.state {
	case probing:
		return p.probeSent
	case snapshotting:
		return true
	}
	return p.inflightBytes >= limit
}

// recordSent records an append that was sent.
func (p *progress) recordSent(last uint64, bytes int) {
	if p.state == probing {
		p.probeSent = true
		return
	}
	p.next = last + 1
	if bytes > 0 {
		p.inflight = append(p.inflight, inflightAppend{last, bytes})
		p.inflightBytes += bytes
	}
}

// recordHeartbeatReply records a heartbeat reply and reports whether to send entries again, because
// several replies came without a new acknowledgement.
func (p *progress) recordHeartbeatReply(lastIndex uint64) bool {
	if p.match >= lastIndex || p.matchAtLastReply != p.match || p.state == snapshotting {
		p.matchAtLastReply = p.match
		p.stalledReplies = 0
		return false
	}
	p.stalledReplies++
	if p.stalledReplies < resendAfterReplies {
		return false
	}
	p.stalledReplies = 0
	if p.state == replicating {
		p.startProbing()
	}
	p.probeSent = false
	return true
}

// recordAck records that the replica has synced its log up to an index, and reports whether that is new.
func (p *progress) recordAck(index uint64) bool {
	progressed := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, index+1)
	acked := 0
	for acked < len(p.inflight) && p.inflight[acked].last <= index {
		p.inflightBytes -= p.inflight[acked].bytes
		acked++
	}
	p.inflight = p.inflight[acked:]
	return progressed
}
