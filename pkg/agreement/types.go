package agreement

import (
	"fmt"

	"rosemarygate/pkg/ident"
)

// Replica names one durable copy of the log. A data folder that was lost or replaced gets a new,
// larger incarnation, so a replica never speaks for votes and entries that it no longer holds.
type Replica struct {
	ID          ident.DaemonID
	Incarnation ident.Incarnation
}

// None is the absent replica.
var None = Replica{}

// String returns "id/incarnation".
func (r Replica) String() string { return fmt.Sprintf("%s/%d", r.ID, uint64(r.Incarnation)) }

// Member is a replica of the group; a member that is no voter is a learner.
type Member struct {
	Replica Replica
	Voter   bool
}

// EntryKind says what a log entry carries.
type EntryKind uint8

// Kinds of log entries.
const (
	EntryData       EntryKind = 1 // proposal of the layer above
	EntryEmpty      EntryKind = 2 // first entry of a leader's term
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

// size is the number of bytes that an entry counts for in flow control.
func (e *Entry) size() int { return len(e.Data) + entryOverhead }

// HardState is the durable state apart from log and snapshot.
type HardState struct {
	Term   uint64
	Vote   Replica // candidate that got the vote of this term, None if no vote was cast
	Commit uint64
	Group  uint64 // identifies the group that the replica belongs to, 0 before it joined
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte // state of the layer above
}

// State is the durable state with which a node starts, as pkg/storage returns it.
// Entries are contiguous and start at Snapshot.Index+1.
type State struct {
	Self      Replica
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// MessageKind says what a message is for.
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
	MsgRemoved        MessageKind = 15 // tells a replica that it is no member any more
)

// Message is one message between replicas. Messages may be lost, duplicated and reordered.
type Message struct {
	Kind     MessageKind
	From, To Replica
	Term     uint64
	Group    uint64
	Index    uint64 // entry before Entries, last entry of a candidate, acknowledged entry, read index, or commit index of a removal
	LogTerm  uint64 // term of the entry at Index, or at Hint in a rejected append
	Commit   uint64
	Entries  []Entry
	Reject   bool
	Hint     uint64 // index up to which the logs may agree, in a rejected append; passedOn in a vote request
	Snapshot *Snapshot
	Context  uint64 // read round of a heartbeat, or the caller's context of a read
	Force    bool   // vote requested by the leader itself, which ends its lease
}

// valid reports whether the parts of a message fit together.
func (m *Message) valid() bool {
	if m.From == None || m.Term == 0 || m.Kind < MsgPreVote || m.Kind > MsgRemoved {
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

// ReadState releases a read: it may be answered once the entry at Index is applied.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is work for the runner, in this order: save Snapshot, save Entries and HardState and sync
// them, send Messages, restore the state from Snapshot, apply Committed, release Reads, call Advance.
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
	// Superseded is true if the group has a later incarnation of this replica. It cannot take part
	// any more: the remedy is an empty data folder and a larger incarnation.
	Superseded bool
	// Removed is true if the group has removed this replica, by its log or by the leader's word.
	Removed bool
}
