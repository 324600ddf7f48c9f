package state

import (
	"slices"

	"rosemarygate/api/control/v1"
)

// maxHistory is the number of accepted changes that the change log keeps.
const maxHistory = 10_000

// history is the change log.
type history struct {
	limit     int
	records   []*controlpb.HistoryRecord // oldest first
	truncated bool                       // records were dropped
}

func (h *history) add(r *controlpb.HistoryRecord) {
	h.records = append(h.records, r)
	if len(h.records) > h.limit {
		h.records = h.records[1:]
		h.truncated = true
	}
}

// record completes the record of an accepted change and adds it to the change log.
func (m *Machine) record(index uint64, e *controlpb.Entry, r *controlpb.HistoryRecord) {
	r.Version = index
	r.ChangeId = e.GetChangeId()
	r.Operator = e.GetOperator()
	r.TimeUnixMs = e.GetTimeUnixMs()
	r.Summary = e.GetSummary()
	m.history.add(r)
}

// History returns up to limit accepted changes before a version, latest first; before 0 means
// from the latest.
func (m *Machine) History(before uint64, limit int) *controlpb.HistoryReply {
	records := m.history.records
	if before > 0 {
		end, _ := slices.BinarySearchFunc(records, before, func(r *controlpb.HistoryRecord, v uint64) int {
			if r.GetVersion() < v {
				return -1
			}
			return 1
		})
		records = records[:end]
	}
	reply := &controlpb.HistoryReply{Truncated: m.history.truncated}
	for i := len(records) - 1; i >= 0 && len(reply.Records) < limit; i-- {
		reply.Records = append(reply.Records, records[i])
	}
	return reply
}
