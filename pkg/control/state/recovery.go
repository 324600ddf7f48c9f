package state

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"rosemarygate/api/control/v1"
)

// Recover turns the state into that of a new group whose log begins at a later index. Content, keys,
// replies and history are kept. A replacement in progress ends, because its replicas belong to the
// previous group.
func (m *Machine) Recover(recovery *controlpb.Recovery, operator, host string, at time.Time) {
	m.applied = recovery.GetFirstIndex()
	m.recoveries = append(m.recoveries, proto.CloneOf(recovery))
	m.replacement = nil
	m.record(recovery.GetFirstIndex(), &controlpb.Entry{
		ChangeId: fmt.Sprintf("recovery at %d", recovery.GetFirstIndex()), Operator: operator, TimeUnixMs: at.UnixMilli(),
		Summary: "replicas recovered from the copy of " + host,
	}, &controlpb.HistoryRecord{})
}

// lostInRecovery reports whether a version may have been accepted by an earlier group without being
// in the copy from which the next group was recovered.
func (m *Machine) lostInRecovery(version uint64) bool {
	for _, recovery := range m.recoveries {
		if version > recovery.GetLastIndex() && version < recovery.GetFirstIndex() {
			return true
		}
	}
	return false
}

// lostBaseReply refuses a push that is based on a lost version: the content that the operator saw
// may no longer be the accepted one.
func lostBaseReply(current uint64) *controlpb.Reply {
	return refusedReply(&controlpb.Refusal{
		Kind: controlpb.Refusal_KIND_BASE_UNKNOWN, CurrentVersion: current,
		Detail: "it was lost when the replicas were recovered from an older copy",
	})
}
