package agreement

const stallBeats = 2 // heartbeat replies without progress before entries are sent again

// progressState says how the leader sends entries to a replica.
type progressState uint8

const (
	probing      progressState = iota // one message at a time, until the logs match
	replicating                       // pipelined up to the in-flight limit
	snapshotting                      // waiting until a snapshot is acknowledged
)

// flight is an append that is not yet acknowledged.
type flight struct {
	last  uint64 // index of its last entry
	bytes int
}

// progress is what the leader knows of one replica. Invariant: match < next; match never decreases,
// because a replica keeps what it acknowledged as long as its incarnation lasts.
type progress struct {
	match, next uint64
	state       progressState
	active      bool // answered since the last quorum check
	quiet       int  // heartbeats sent since the last answer
	probeSent   bool // while probing: an append is under way
	flights     []flight
	bytes       int    // of all flights
	beatMatch   uint64 // match at the previous heartbeat reply
	stalls      int    // heartbeat replies in sequence without a larger match
	snapTicks   int    // heartbeats since the snapshot was sent
	readAck     uint64 // latest read round that the replica confirmed
}

func (p *progress) probe() {
	p.state = probing
	p.next = p.match + 1
	p.probeSent = false
	p.flights, p.bytes = nil, 0
}

func (p *progress) full(limit int) bool {
	switch p.state {
	case probing:
		return p.probeSent
	case snapshotting:
		return true
	}
	return p.bytes >= limit
}

// sent records an append that was sent.
func (p *progress) sent(last uint64, bytes int) {
	if p.state == probing {
		p.probeSent = true
		return
	}
	p.next = last + 1
	if bytes > 0 {
		p.flights = append(p.flights, flight{last, bytes})
		p.bytes += bytes
	}
}

// heartbeatReply records a heartbeat reply and reports whether entries are to be sent again, because
// nothing was acknowledged for several replies.
func (p *progress) heartbeatReply(last uint64) bool {
	if p.match >= last || p.beatMatch != p.match || p.state == snapshotting {
		p.beatMatch = p.match
		p.stalls = 0
		return false
	}
	p.stalls++
	if p.stalls < stallBeats {
		return false
	}
	p.stalls = 0
	if p.state == replicating {
		p.probe()
	}
	p.probeSent = false
	return true
}

// acknowledge records that the replica has synced its log up to an index.
func (p *progress) acknowledge(index uint64) bool {
	progressed := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, index+1)
	done := 0
	for done < len(p.flights) && p.flights[done].last <= index {
		p.bytes -= p.flights[done].bytes
		done++
	}
	p.flights = p.flights[done:]
	return progressed
}
