package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	peerpb "rosemarygate/api/peer/v1"
	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/ident"
)

// handoverChunkFlows is the maximum number of flows in one chunk. It keeps a chunk far below
// the message size limit of gRPC.
const handoverChunkFlows = 256

// handoverRequested freezes the upstream and sends its state to the new owner.
func (c *Core) handoverRequested(ev HandoverRequested) {
	u := c.upstreams[ev.Upstream]
	if u == nil {
		c.emit(ReleaseUpstream{Upstream: ev.Upstream})
		return
	}
	if u.frozen || u.movedTo != 0 {
		return
	}
	u.frozen = true
	c.recallQueued(u)
	c.emit(SendHandover{Upstream: u.id, To: ev.To, Chunks: c.handoverChunks(u)})
}

// recallQueued removes the queued requests from the scheduler and holds them.
func (c *Core) recallQueued(u *upstream) {
	for _, q := range u.scheduler.TakeQueued() {
		if r := c.calls[q.ID]; r != nil {
			delete(c.calls, q.ID)
			u.heldRequests = append(u.heldRequests, r)
		}
	}
}

func (c *Core) handoverEnded(ev HandoverEnded) {
	u := c.upstreams[ev.Upstream]
	if u == nil || !u.frozen {
		return
	}
	u.frozen = false
	ended := u.endedDuringHandover
	u.endedDuringHandover = nil
	if !ev.OK {
		c.submitHeld(u)
		c.resubscribeAll(u)
		return
	}
	u.movedTo, u.heldRequests, u.pendingRetries = ev.To, nil, nil
	for _, f := range sortedValues(u.flows) {
		if f.feed != nil {
			c.emit(SubscribeFeed{Upstream: u.id, Flow: f.id, Unsubscribe: true})
		}
	}
	for _, r := range ended {
		c.reportCompleted(u, r)
	}
	c.releaseIfIdle(u)
}

func (c *Core) releaseIfIdle(u *upstream) {
	if u.runningCalls == 0 {
		u.flows, u.closedFlows = map[ident.FlowID]*flow{}, 0
		c.emit(ReleaseUpstream{Upstream: u.id})
	}
}

// reportCompleted reports to the new owner a request that ended here after the handover began.
func (c *Core) reportCompleted(u *upstream, r *record) {
	c.emit(SendCompleted{To: u.movedTo, Request: &peerpb.CompletedRequest{
		Service: uint64(u.service), Upstream: uint64(u.id), FlowId: uint64(r.flow.id),
		Record: c.encodeRecord(r),
	}})
}

func (c *Core) handoverChunks(u *upstream) []*peerpb.HandoverChunk {
	chunk := c.newHandoverChunk(u)
	out := []*peerpb.HandoverChunk{chunk}
	for _, f := range sortedValues(u.flows) {
		if len(chunk.Flows) == handoverChunkFlows {
			chunk = c.newHandoverChunk(u)
			out = append(out, chunk)
		}
		chunk.Flows = append(chunk.Flows, c.encodeFlow(f))
	}
	out[len(out)-1].Last = true
	return out
}

func (c *Core) newHandoverChunk(u *upstream) *peerpb.HandoverChunk {
	ch := &peerpb.HandoverChunk{
		Service: uint64(u.service), Upstream: uint64(u.id), UpstreamIncarnation: uint64(u.incarnation),
		Owner: uint64(c.cfg.Self), OwnerIncarnation: uint64(c.cfg.Incarnation),
	}
	ch.Predecessors = append(ch.Predecessors, &peerpb.Predecessor{
		Owner: uint64(c.cfg.Self), OwnerIncarnation: uint64(c.cfg.Incarnation), SinceMs: u.ownedSince.UnixMilli(),
	})
	for _, k := range slices.SortedFunc(maps.Keys(u.predecessors), compareOwners) {
		ch.Predecessors = append(ch.Predecessors, &peerpb.Predecessor{
			Owner: uint64(k.owner), OwnerIncarnation: uint64(k.incarnation), SinceMs: u.predecessors[k].UnixMilli(),
		})
	}
	return ch
}

func compareOwners(a, b ownerKey) int {
	return cmp.Or(cmp.Compare(a.owner, b.owner), cmp.Compare(a.incarnation, b.incarnation))
}

func (c *Core) encodeFlow(f *flow) *peerpb.FlowState {
	s := &peerpb.FlowState{
		FlowId: uint64(f.id), Caller: frame.AppendAddr(nil, f.caller),
		Confirmed: f.confirmed, DroppedRequestId: uint64(f.droppedUpTo),
	}
	if f.feed != nil {
		s.Topic, s.AckedSequence, s.Subscribed = f.feed.topic, f.feed.acked, true
	}
	for _, r := range sortedValues(f.records) {
		s.Requests = append(s.Requests, c.encodeRecord(r))
	}
	return s
}

func (c *Core) encodeRecord(r *record) *peerpb.RequestRecord {
	p := &peerpb.RequestRecord{
		RequestId: uint64(r.id), Class: r.className, Idempotent: r.idempotent,
		DeadlineMs: remainingMillis(c.now, r.deadline), ExpireMs: remainingMillis(c.now, r.expires),
		Payload: r.payload, Answer: r.answer, Reason: uint32(r.reason),
		MayHaveRun: r.mayHaveRun, Attempts: uint32(r.attempts),
	}
	switch r.state {
	case stateAssembling:
		// The parts are not handed over: the caller retransmits every part of a request that
		// has not been answered.
		p.State = peerpb.RequestRecord_STATE_ASSEMBLING
	case stateQueued:
		p.State = peerpb.RequestRecord_STATE_QUEUED
	case stateRunning, stateRunningAtPredecessor:
		p.State, p.Payload = peerpb.RequestRecord_STATE_RUNNING, nil
	case stateAnswered:
		p.State = peerpb.RequestRecord_STATE_ANSWERED
	case stateNotRun:
		p.State = peerpb.RequestRecord_STATE_NOT_RUN
	default:
		p.State = peerpb.RequestRecord_STATE_UNKNOWN
	}
	return p
}

func remainingMillis(now, t time.Time) uint32 {
	return uint32(max(0, t.Sub(now).Milliseconds()))
}

// handoverReceived installs a predecessor's flows and records.
func (c *Core) handoverReceived(ev HandoverReceived) {
	if len(ev.Chunks) == 0 {
		return
	}
	first := ev.Chunks[0]
	u := c.upstreamForHandover(first)
	if u == nil {
		return
	}
	for _, p := range first.Predecessors {
		u.addPredecessor(p)
	}
	for _, ch := range ev.Chunks {
		for _, s := range ch.Flows {
			c.installFlow(u, s)
		}
	}
	c.applyDecisions(u.scheduler.SetLimits(c.now, c.schedulerLimits(u)))
	c.submitHeld(u)
}

// addPredecessor records that the request records of a predecessor are held here for tokens
// issued at or after SinceMs.
func (u *upstream) addPredecessor(p *peerpb.Predecessor) {
	k := ownerKey{ident.DaemonID(p.Owner), ident.Incarnation(p.OwnerIncarnation)}
	since := time.UnixMilli(p.SinceMs)
	if old, ok := u.predecessors[k]; !ok || since.Before(old) {
		u.predecessors[k] = since
	}
}

// upstreamForHandover returns the upstream entry that receives the flows, creating it if
// needed, or nil when this core has another incarnation of the upstream.
func (c *Core) upstreamForHandover(ch *peerpb.HandoverChunk) *upstream {
	id, incarnation := ident.UpstreamID(ch.Upstream), ident.Incarnation(ch.UpstreamIncarnation)
	u := c.upstreams[id]
	if u != nil && u.movedTo != 0 {
		c.dropUpstream(u)
		u = nil
	}
	if u == nil {
		u = c.newUpstream(id, ident.ServiceID(ch.Service))
		u.incarnation = incarnation
	}
	if u.incarnation != incarnation {
		return nil
	}
	return u
}

func (c *Core) installFlow(u *upstream, s *peerpb.FlowState) {
	id := ident.FlowID(s.FlowId)
	f := u.flows[id]
	if f == nil {
		f = c.addFlow(u, id, frame.DecodeAddr(s.Caller))
	}
	f.confirmed = f.confirmed || s.Confirmed
	f.droppedUpTo = max(f.droppedUpTo, ident.RequestID(s.DroppedRequestId))
	for _, p := range s.Requests {
		c.installRecord(f, p)
	}
	if s.Subscribed && f.feed == nil {
		f.feed = &feed{topic: s.Topic, acked: s.AckedSequence, sent: s.AckedSequence}
		if u.connected {
			c.subscribeUpstream(f)
		}
	}
}

func (c *Core) installRecord(f *flow, p *peerpb.RequestRecord) {
	id := ident.RequestID(p.RequestId)
	if f.records[id] != nil || p.State == peerpb.RequestRecord_STATE_ASSEMBLING {
		return
	}
	r := &record{
		id: id, flow: f, className: p.Class, idempotent: p.Idempotent,
		deadline: c.now.Add(time.Duration(p.DeadlineMs) * time.Millisecond),
		payload:  p.Payload, answer: p.Answer, reason: wirepb.Reason(p.Reason),
		mayHaveRun: p.MayHaveRun, attempts: int(p.Attempts),
	}
	c.storeRecord(r)
	switch p.State {
	case peerpb.RequestRecord_STATE_QUEUED:
		c.installQueued(r)
	case peerpb.RequestRecord_STATE_RUNNING:
		r.state = stateRunningAtPredecessor
		f.upstream.runningAtPredecessor++
	case peerpb.RequestRecord_STATE_ANSWERED:
		r.state = stateAnswered
	case peerpb.RequestRecord_STATE_NOT_RUN:
		r.state = stateNotRun
	default:
		r.state = stateUnknown
	}
}

func (c *Core) installQueued(r *record) {
	r.state = stateQueued
	if s := c.services.Service(r.flow.upstream.service); s != nil {
		if class, ok := s.classIndex(r.className); ok {
			r.class = class
			r.flow.upstream.heldRequests = append(r.flow.upstream.heldRequests, r)
			return
		}
	}
	c.finishNotRun(r, wirepb.Reason_REASON_UNKNOWN_CLASS)
}

// completedReceived records the result of a request that a predecessor ran. The predecessor
// has sent the result to the caller; copies of the request are answered from the record.
func (c *Core) completedReceived(ev CompletedReceived) {
	q := ev.Request
	u := c.upstreams[ident.UpstreamID(q.Upstream)]
	if u == nil {
		return
	}
	if u.movedTo != 0 {
		c.emit(SendCompleted{To: u.movedTo, Request: q})
		return
	}
	f := u.flows[ident.FlowID(q.FlowId)]
	if f == nil {
		return
	}
	r := f.records[ident.RequestID(q.Record.RequestId)]
	if r == nil || r.state != stateRunningAtPredecessor {
		return
	}
	r.answer, r.reason = q.Record.Answer, wirepb.Reason(q.Record.Reason)
	r.updateByteCounts()
	switch q.Record.State {
	case peerpb.RequestRecord_STATE_ANSWERED:
		r.state = stateAnswered
	case peerpb.RequestRecord_STATE_NOT_RUN:
		r.state = stateNotRun
	default:
		r.state = stateUnknown
	}
	c.predecessorRequestEnded(u)
}

func (c *Core) predecessorRequestEnded(u *upstream) {
	u.runningAtPredecessor = max(0, u.runningAtPredecessor-1)
	c.applyDecisions(u.scheduler.SetLimits(c.now, c.schedulerLimits(u)))
	c.submitHeld(u)
}
