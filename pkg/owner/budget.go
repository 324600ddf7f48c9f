package owner

import wirepb "rosemarygate/api/wire/v1"

const (
	// maxFlowBytes and maxUpstreamBytes bound the payloads, answers and unfinished requests
	// that are held for one flow and for one upstream. An answer's size is known only when
	// it arrives, so the calls in progress may exceed the bound.
	maxFlowBytes     = 8 << 20
	maxUpstreamBytes = 64 << 20
	// maxRecordsPerUpstream bounds the records of requests that have ended; they hold no
	// payload.
	maxRecordsPerUpstream = 1 << 18
)

// size returns the memory that the record holds besides itself, in bytes.
func (r *record) size() int {
	n := len(r.payload) + len(r.answer)
	if r.assembly != nil {
		n += r.assembly.Size()
	}
	return n
}

// account brings the sums of the flow and the upstream up to date with the record.
func (r *record) account() {
	change := r.size() - r.accounted
	r.accounted += change
	r.flow.bytes += change
	r.flow.up.bytes += change
}

// release forgets the record's payload, answer and assembly.
func (r *record) release() {
	r.payload, r.answer, r.assembly, r.transfer = nil, nil, nil, nil
	r.account()
}

// overBudget reports whether the flow or the upstream may hold no further payload.
func (f *flow) overBudget() bool {
	return f.bytes > maxFlowBytes || f.up.bytes > maxUpstreamBytes
}

// refuseOverBudget refuses an unfinished request that does not fit. Its record stays, so no
// late copy of it runs.
func (c *Core) refuseOverBudget(r *record) bool {
	if !r.flow.overBudget() {
		return false
	}
	c.finishNotRun(r, wirepb.Reason_REASON_LIMIT)
	return true
}

// dropRecord forgets a request. Copies of it and of earlier requests are answered as unknown.
func (c *Core) dropRecord(r *record) {
	f := r.flow
	if f.records[r.id] != r {
		return
	}
	delete(f.records, r.id)
	f.up.kept--
	r.release()
}
