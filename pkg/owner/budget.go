package owner

import wirepb "rosemarygate/api/wire/v1"

const (
	// maxFlowBytes and maxUpstreamBytes bound the payloads, answers and incomplete requests
	// held for one flow and for one upstream. The size of an answer is known only when it
	// arrives, so answers to calls in progress may exceed the bound.
	maxFlowBytes     = 8 << 20
	maxUpstreamBytes = 64 << 20
	// maxRecordsPerUpstream bounds the request records of one upstream. Records of ended
	// requests hold no payload, so the byte limits do not bound their number.
	maxRecordsPerUpstream = 1 << 18
)

// heldBytes returns the size of the record's payload, answer and incomplete request.
func (r *record) heldBytes() int {
	n := len(r.payload) + len(r.answer)
	if r.assembly != nil {
		n += r.assembly.Size()
	}
	return n
}

// updateByteCounts adds the change of the record's size since the last call to the byte
// counts of its flow and upstream.
func (r *record) updateByteCounts() {
	change := r.heldBytes() - r.countedBytes
	r.countedBytes += change
	r.flow.recordBytes += change
	r.flow.upstream.recordBytes += change
}

// releaseBuffers drops the record's payload, answer, assembly and transfer.
func (r *record) releaseBuffers() {
	r.payload, r.answer, r.assembly, r.answerTransfer = nil, nil, nil, nil
	r.updateByteCounts()
}

// overMemoryLimit reports whether the flow or its upstream holds more than its byte limit.
func (f *flow) overMemoryLimit() bool {
	return f.recordBytes > maxFlowBytes || f.upstream.recordBytes > maxUpstreamBytes
}

// refuseOverMemoryLimit refuses an incomplete request when a byte limit is exceeded, and
// reports whether it did. The record stays, so that a late copy of the request does not run.
func (c *Core) refuseOverMemoryLimit(r *record) bool {
	if !r.flow.overMemoryLimit() {
		return false
	}
	c.finishNotRun(r, wirepb.Reason_REASON_LIMIT)
	return true
}

// dropRecord removes the record of a request. Its call sites also raise droppedUpTo, so
// that copies of this and of earlier requests get the outcome UNKNOWN.
func (c *Core) dropRecord(r *record) {
	f := r.flow
	if f.records[r.id] != r {
		return
	}
	delete(f.records, r.id)
	f.upstream.recordCount--
	r.releaseBuffers()
}
