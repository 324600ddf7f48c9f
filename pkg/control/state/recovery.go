package state

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"rosemarygate/api/control/v1"
)

// Recover turns the state into that of a new group which begins at a later log index. Content, keys,
// replies and history stay; a replacement in progress ends, because its replicas belong to the
// group before.
func (m *Machine) Recover(x *controlpb.Recovery, operator, host string, at time.Time) {
	m.applied = x.GetFirstIndex()
	m.recoveries = append(m.recoveries, proto.CloneOf(x))
	m.replacement = nil
	m.record(x.GetFirstIndex(), &controlpb.Entry{
		ChangeId: fmt.Sprintf("recovery at %d", x.GetFirstIndex()), Operator: operator, TimeUnixMs: at.UnixMilli(),
		Summary: "replicas recovered from the copy of " + host,
	}, &controlpb.HistoryRecord{})
}

// lost reports whether a version belonged to an earlier group and was not in the copy from which
// a later one was recovered.
func (m *Machine) lost(version uint64) bool {
	for _, x := range m.recoveries {
		if version > x.GetLastIndex() && version < x.GetFirstIndex() {
			return true
		}
	}
	return false
}

// lostBase refuses a push that is based on a lost version: what the operator saw may not be in force.
func lostBase(current uint64) *controlpb.Reply {
	return refuse(&controlpb.Refusal{
		Kind: controlpb.Refusal_KIND_BASE_UNKNOWN, CurrentVersion: current,
		Detail: "it was lost when the replicas were recovered from an older copy",
	})
}
