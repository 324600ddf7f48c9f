package agreement

import (
	"fmt"

	"rosemarygate/pkg/ident"
)

// Replica identifies one durable copy of the log. A data folder that was lost or replaced gets a
// new, larger incarnation, so votes and acknowledgements of the lost copy do not count for the new one.
type Replica struct {
	ID          ident.DaemonID
	Incarnation ident.Incarnation
}

// None stands for no replica.
var None = Replica{}

// String returns "id/incarnation".
func (r Replica) String() string { return fmt.Sprintf("%s/%d", r.ID, uint64(r.Incarnation)) }

// Member is a replica of the group; a member that is not a voter is a learner.
type Member struct {
	Replica Replica
	Voter   bool
}

// EntryKind is the kind of content of a log entry.
type EntryKind uint8

// Kinds of log entries.
const (
	EntryData       EntryKind = 1 // proposal of the caller
	EntryEmpty      EntryKind = 2 // empty entry that a leader appends at the start of its term
	EntryMembership EntryKind = 3 // membership of the group from this entry on
)

// Entry is one entry of the replicated log. Entries are immutable once appended.
type Entry struct {
	Term       uint64
	Index      uint64
	Kind       EntryKind
	Data       []byte
	Membership Membership // only for EntryMembership
}

// size returns the number of bytes that flow control counts for an entry.
func (e *Entry) size() int { return len(e.Data) + entryOverhead }

// HardState is the durable state other than log and snapshot.
type HardState struct {
	Term   uint64
	Vote   Replica // candidate that received this replica's vote in the term, None if it has not voted
	Commit uint64
	Group  uint64 // identifies the group that the replica belongs to, 0 before it joined
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte // state of the caller at Index
}

// State is the durable state with which a node starts, as pkg/storage returns it.
// Entries are contiguous and start at Snapshot.Index+1.
type State struct {
	Self      Replica
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// MessageKind is the kind of a message.
type MessageKind uint8

// Kinds of messages; the values equal those of controlpb.AgreementKind.
const (
	MsgPreVote        MessageKind = 1
	MsgPreVoteReply   MessageKind = 2
	MsgVote           MessageKind = 3
	MsgVoteReply      MessageKind = 4
	MsgAppend         MessageKind = 5
	MsgAppendReply    MessageKind = 6
	MsgHeartbeat      MessageKind = 7
	MsgHeartbeatReply MessageKind = 8
	MsgSnapshot       MessageKind = 9
	MsgTimeoutNow     MessageKind = 10
	MsgReadIndex      MessageKind = 11
	MsgReadIndexReply MessageKind = 12
	MsgJoin           MessageKind = 13
	MsgJoinRefused    MessageKind = 14
	MsgRemoved        MessageKind = 15 // notifies a replica that it is no longer a member
	MsgLeave          MessageKind = 16 // a voter that is about to stop asks the leader to replace it
)

// Message is one message between replicas. Messages may be lost, duplicated and reordered.
type Message struct {
	Kind     MessageKind
	From, To Replica
	Term     uint64
	Group    uint64
	Index    uint64 // index of the entry before Entries, of a candidate's last entry or of the acknowledged entry; read index; commit index of a removal
	LogTerm  uint64 // term of the entry at Index, or at Hint in a rejected append
	Commit   uint64
	Entries  []Entry
	Reject   bool
	Hint     uint64 // in a rejected append, index up to which the logs may agree; in a forwarded vote request, forwardedHint
	Snapshot *Snapshot
	Context  uint64 // read round of a heartbeat, or the context of a read
	Force    bool   // the leader itself requested the election, so its lease does not block the vote
	// Lost are the latest copies that the sender knew to be lost when it wrote the message, sorted by ID.
	// Earlier incarnations are lost as well.
	Lost []Replica
}

// valid reports whether the fields of a message are consistent with each other.
func (m *Message) valid() bool {
	if m.From == None || m.Term == 0 || m.Kind < MsgPreVote || m.Kind > MsgLeave {
		return false
	}
	for i := range m.Entries {
		e := &m.Entries[i]
		inOrder := e.Index == m.Index+uint64(i)+1 && e.Term >= m.LogTerm && e.Term <= m.Term
		if !inOrder || e.Kind == EntryMembership && e.Membership.Voters() == 0 {
			return false
		}
	}
	s := m.Snapshot
	if m.Kind != MsgSnapshot {
		return s == nil
	}
	return s != nil && s.Index > 0 && s.Term <= m.Term && s.Membership.Voters() > 0
}

// ReadState is a released read: it may be answered once the entry at Index is applied.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is work for the caller, in this order: save Snapshot, save Entries and HardState and sync
// them, send Messages, restore the state from Snapshot, apply Committed, answer Reads, call Advance.
type Ready struct {
	HardState *HardState // nil if unchanged
	Snapshot  *Snapshot  // nil if none was received
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
}

// Role is a node's role in its term.
type Role uint8

// Roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Status is a node's state for display and for routing requests to the leader.
type Status struct {
	Self       Replica
	Role       Role
	Leader     Replica // None if unknown
	Term       uint64
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	Membership Membership
	// Superseded is true if the group has a later incarnation of this replica. This one can no longer
	// take part: the remedy is an empty data folder and a larger incarnation.
	Superseded bool
	// Removed is true if the group has removed this replica, according to its log or to a leader.
	Removed bool
}
