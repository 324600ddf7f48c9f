package owner

import (
	"time"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/dispatch"
	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/token"
)

type requestState uint8

const (
	stateAssembling requestState = iota + 1
	stateQueued
	stateRunning
	stateRunningAtPredecessor // running at the owner that handed the flow over
	stateAnswered
	stateNotRun
	stateUnknown
)

// record is the state of one request. It is kept for the packet lifetime after the request's
// deadline, so that no late copy can start the request again.
type record struct {
	id             ident.RequestID
	flow           *flow
	state          requestState
	class          int
	className      string
	idempotent     bool
	deadline       time.Time
	expires        time.Time
	assembly       *frame.Assembly
	payload        []byte
	answer         []byte
	answerTransfer *frame.Transfer // of a multi-part answer
	countedBytes   int             // bytes in the counts of flow and upstream
	reason         wirepb.Reason
	callID         uint64
	startedAt      time.Time
	attempts       int       // calls to the upstream so far
	retryAt        time.Time // with stateQueued: earliest time of the next attempt
	// mayHaveRun reports that an earlier attempt may have run; the request is idempotent.
	mayHaveRun bool
}

// handleRequest handles one part of a request.
func (c *Core) handleRequest(f *flow, cl *token.Claims, q *wirepb.Request) {
	id := ident.RequestID(q.RequestId)
	c.dropEndedRecords(f, ident.RequestID(q.EndedBelow))
	if r := f.records[id]; r != nil {
		if r.state != stateAssembling {
			c.count(RequestsRepeated, f.upstream.service, 0)
		}
		c.handleRepeatedRequest(r, q)
		return
	}
	if id <= f.droppedUpTo {
		c.replyOutcome(f, id, wirepb.Outcome_OUTCOME_UNKNOWN, wirepb.Reason_REASON_RECORD_EXPIRED)
		return
	}
	if !c.holdsRecordsOf(f.upstream, cl) {
		// An idempotent request must not run either: if its lost record was in state not
		// run, the caller has got NOT_RUN, which would become false. The caller sends it
		// again as a new request.
		c.count(RequestsUnknown, f.upstream.service, wirepb.Reason_REASON_OWNER_GONE)
		c.replyOutcome(f, id, wirepb.Outcome_OUTCOME_UNKNOWN, wirepb.Reason_REASON_OWNER_GONE)
		return
	}
	if len(f.records) >= maxRecordsPerFlow || f.upstream.recordCount >= maxRecordsPerUpstream {
		// Without a record a later copy may run, so the outcome cannot be NOT_RUN.
		c.replyOutcome(f, id, wirepb.Outcome_OUTCOME_NO_ROUTE, wirepb.Reason_REASON_LIMIT)
		return
	}
	r := c.newRecord(f, q)
	if r.state != stateAssembling {
		return
	}
	c.addPart(r, q)
}

// dropEndedRecords drops the records of ended requests whose ids are below endedBelow; the
// caller no longer needs them. Late copies get the outcome UNKNOWN and never run.
func (c *Core) dropEndedRecords(f *flow, endedBelow ident.RequestID) {
	if endedBelow == 0 || endedBelow-1 <= f.droppedUpTo {
		return
	}
	f.droppedUpTo = endedBelow - 1
	for id, r := range f.records {
		if id < endedBelow && r.ended() {
			c.dropRecord(r)
		}
	}
}

// ended reports whether the request has reached a final state.
func (r *record) ended() bool {
	return r.state == stateAnswered || r.state == stateNotRun || r.state == stateUnknown
}

func (c *Core) newRecord(f *flow, q *wirepb.Request) *record {
	r := &record{
		id: ident.RequestID(q.RequestId), flow: f, state: stateAssembling,
		className: q.Class, idempotent: q.Idempotent,
		deadline: c.now.Add(min(time.Duration(q.DeadlineMs)*time.Millisecond, maxDeadline)),
	}
	c.storeRecord(r)
	svc := c.services.Service(f.upstream.service)
	if svc == nil {
		c.finishNotRun(r, wirepb.Reason_REASON_NO_UPSTREAM)
		return r
	}
	class, ok := svc.classIndex(q.Class)
	if !ok {
		c.finishNotRun(r, wirepb.Reason_REASON_UNKNOWN_CLASS)
		return r
	}
	r.class, r.className = class, svc.Classes[class].Name
	if limit := svc.Deadlines[class]; limit > 0 && r.deadline.After(c.now.Add(limit)) {
		r.deadline = c.now.Add(limit)
	}
	r.assembly = frame.NewAssembly(int(q.Parts))
	r.updateByteCounts()
	c.refuseOverMemoryLimit(r)
	return r
}

// storeRecord stores the record until the packet lifetime after its deadline has passed.
func (c *Core) storeRecord(r *record) {
	f := r.flow
	if f.records == nil {
		f.records = map[ident.RequestID]*record{}
	}
	f.records[r.id] = r
	f.upstream.recordCount++
	r.updateByteCounts()
	r.expires = r.deadline.Add(packetLifetime)
	at := expiryBucket(r.expires)
	f.upstream.recordsByExpiry[at] = append(f.upstream.recordsByExpiry[at], r)
}

func (c *Core) addPart(r *record, q *wirepb.Request) {
	added := r.assembly.Add(int(q.Part), int(q.Parts), q.Payload)
	r.updateByteCounts()
	if c.refuseOverMemoryLimit(r) {
		return
	}
	if q.Parts > 1 && (!added || r.assembly.PartsPresent()%frame.TransferAckInterval == 0) {
		c.ackRequest(r, r.assembly.PartsHeld())
	}
	if !r.assembly.Complete() {
		return
	}
	r.payload, r.assembly = r.assembly.Payload(), nil
	r.updateByteCounts()
	c.enqueue(r)
}

// enqueue submits a complete request to the scheduler, or holds it while the upstream is
// disconnected or has no slot left beside the requests of a predecessor.
func (c *Core) enqueue(r *record) {
	r.state = stateQueued
	u := r.flow.upstream
	if !u.connected || u.slots <= u.runningAtPredecessor {
		u.heldRequests = append(u.heldRequests, r)
		return
	}
	c.submit(r)
}

func (c *Core) submit(r *record) {
	c.lastCallID++
	r.callID = c.lastCallID
	c.calls[r.callID] = r
	c.applyDecisions(r.flow.upstream.scheduler.Submit(c.now, dispatch.Request{
		ID: r.callID, Class: r.class, Deadline: r.deadline, Idempotent: r.idempotent,
	}))
}

func (c *Core) submitHeld(u *upstream) {
	if !u.connected || u.slots <= u.runningAtPredecessor {
		return
	}
	held := u.heldRequests
	u.heldRequests = nil
	for _, r := range held {
		if r.state == stateQueued {
			c.submit(r)
		}
	}
}

func (c *Core) execute(r *record) {
	r.state, r.startedAt = stateRunning, c.now
	r.attempts++
	r.flow.upstream.runningCalls++
	c.count(RequestsStarted, r.flow.upstream.service, 0)
	c.emit(Execute{
		Upstream: r.flow.upstream.id, Call: r.callID, Service: r.flow.upstream.service, Flow: r.flow.id,
		Request: r.id, Class: r.className, Idempotent: r.idempotent, Deadline: r.deadline,
		Payload: r.payload,
	})
}

func (c *Core) executeDone(ev ExecuteDone) {
	r := c.calls[ev.Call]
	if r == nil {
		return
	}
	delete(c.calls, ev.Call)
	u := r.flow.upstream
	u.runningCalls--
	if ev.Result != NotBegun { // a refusal for lack of capacity is not a failure
		c.emit(ObserveCall{
			Service: u.service, Upstream: u.id,
			OK: ev.Result == Answered, Duration: c.now.Sub(r.startedAt),
		})
	}
	if ev.Result == Failed || ev.Result == Cancelled {
		u.lastAbortedAt = c.now
	}
	if r.state == stateRunning && !c.scheduleRetry(r, ev) {
		c.finishCall(r, ev)
	}
	if u.movedTo != 0 {
		c.reportCompleted(u, r)
		c.releaseIfIdle(u)
		return
	}
	if u.frozen {
		u.endedDuringHandover = append(u.endedDuringHandover, r)
	}
	if c.upstreams[u.id] == u {
		c.applyDecisions(u.scheduler.Done(c.now, ev.Call, c.schedulerOutcome(u, ev)))
	}
}

// abortedCallGrace is how long an upstream may continue a call that has ended here without an
// answer, by its deadline or by cancellation. Until then a refusal for lack of a slot carries
// no information about the number of its slots.
const abortedCallGrace = 100 * time.Millisecond

func (c *Core) schedulerOutcome(u *upstream, ev ExecuteDone) dispatch.Outcome {
	switch ev.Result {
	case Answered:
		return dispatch.Answered
	case NotBegun:
		if c.now.Sub(u.lastAbortedAt) < abortedCallGrace {
			return dispatch.Failed
		}
		return dispatch.Shed
	default:
		return dispatch.Failed
	}
}

func (c *Core) finishCall(r *record, ev ExecuteDone) {
	switch ev.Result {
	case Answered:
		if len(ev.Payload) > frame.MaxPayload {
			c.finishUnknown(r, wirepb.Reason_REASON_LIMIT)
			return
		}
		r.state, r.answer, r.payload = stateAnswered, ev.Payload, nil
		r.updateByteCounts()
		c.retryBudget(r.flow.upstream.service).Success()
		c.count(RequestsOK, r.flow.upstream.service, 0)
		c.sendAnswer(r, nil)
	case NotBegun:
		reason := wirepb.Reason_REASON_UPSTREAM_SHED
		if ev.Draining {
			reason = wirepb.Reason_REASON_UPSTREAM_DRAINING
		}
		c.finishNotRun(r, reason)
	case Cancelled:
		c.finishUnknown(r, wirepb.Reason_REASON_CANCELLED)
	default:
		reason := wirepb.Reason_REASON_UPSTREAM_GONE
		if !c.now.Before(r.deadline) {
			reason = wirepb.Reason_REASON_DEADLINE
		}
		c.finishUnknown(r, reason)
	}
}

// finishNotRun ends a request with the outcome NOT_RUN, or with UNKNOWN when an earlier attempt
// may have run.
func (c *Core) finishNotRun(r *record, reason wirepb.Reason) {
	if r.mayHaveRun {
		c.finishUnknown(r, reason)
		return
	}
	r.state, r.reason = stateNotRun, reason
	r.releaseBuffers()
	c.count(RequestsNotRun, r.flow.upstream.service, reason)
	c.replyOutcome(r.flow, r.id, wirepb.Outcome_OUTCOME_NOT_RUN, reason)
}

func (c *Core) finishUnknown(r *record, reason wirepb.Reason) {
	r.state, r.reason = stateUnknown, reason
	r.releaseBuffers()
	c.count(RequestsUnknown, r.flow.upstream.service, reason)
	c.replyOutcome(r.flow, r.id, wirepb.Outcome_OUTCOME_UNKNOWN, reason)
}

func (c *Core) replyOutcome(f *flow, id ident.RequestID, o wirepb.Outcome, reason wirepb.Reason) {
	c.send(f, &wirepb.Frame{Body: outcomeBody(id, o, reason)})
}

func outcomeBody(id ident.RequestID, o wirepb.Outcome, reason wirepb.Reason) *wirepb.Frame_Outcome {
	return &wirepb.Frame_Outcome{Outcome: &wirepb.RequestOutcome{
		RequestId: uint64(id), Outcome: o, Reason: reason,
	}}
}

// handleRepeatedRequest handles a copy of a request that has a record.
func (c *Core) handleRepeatedRequest(r *record, q *wirepb.Request) {
	switch r.state {
	case stateAssembling:
		c.addPart(r, q)
	case stateQueued, stateRunning:
		if q.Parts > 1 {
			c.ackRequest(r, frame.AllPartsHeld(int(q.Parts)))
		}
	case stateAnswered:
		c.sendAnswer(r, q.AnswerPartsHeld)
	case stateNotRun:
		c.replyOutcome(r.flow, r.id, wirepb.Outcome_OUTCOME_NOT_RUN, r.reason)
	case stateUnknown:
		c.replyOutcome(r.flow, r.id, wirepb.Outcome_OUTCOME_UNKNOWN, r.reason)
	}
}

func (c *Core) handleCancel(f *flow, id ident.RequestID) {
	r := f.records[id]
	if r == nil {
		return
	}
	switch r.state {
	case stateAssembling:
		c.finishNotRun(r, wirepb.Reason_REASON_CANCELLED)
	case stateRunning:
		c.emit(CancelExecute{Upstream: f.upstream.id, Call: r.callID})
	case stateQueued:
		c.cancelQueued(r)
	}
}

func (c *Core) cancelQueued(r *record) {
	if _, submitted := c.calls[r.callID]; submitted {
		_, run, refused := r.flow.upstream.scheduler.Cancel(c.now, r.callID)
		delete(c.calls, r.callID)
		c.applyDecisions(run, refused)
	}
	if r.state == stateQueued {
		c.finishNotRun(r, wirepb.Reason_REASON_CANCELLED)
	}
}

func (c *Core) expireRecords(u *upstream, second int64) {
	for _, r := range takeDue(u.recordsByExpiry, second) {
		switch r.state {
		case stateAssembling, stateQueued:
			c.finishNotRun(r, wirepb.Reason_REASON_DEADLINE)
		case stateRunningAtPredecessor:
			c.finishUnknown(r, wirepb.Reason_REASON_OWNER_GONE)
			c.predecessorRequestEnded(u)
		case stateRunning:
			at := expiryBucket(c.now.Add(packetLifetime))
			u.recordsByExpiry[at] = append(u.recordsByExpiry[at], r)
			continue
		}
		f := r.flow
		c.dropRecord(r)
		f.droppedUpTo = max(f.droppedUpTo, r.id)
	}
}

// wireReasons maps the scheduler's reasons to those of the wire protocol.
var wireReasons = map[dispatch.Reason]wirepb.Reason{
	dispatch.ReasonQueueFull:    wirepb.Reason_REASON_QUEUE_FULL,
	dispatch.ReasonDeadline:     wirepb.Reason_REASON_DEADLINE,
	dispatch.ReasonExpired:      wirepb.Reason_REASON_DEADLINE,
	dispatch.ReasonDraining:     wirepb.Reason_REASON_UPSTREAM_DRAINING,
	dispatch.ReasonUnknownClass: wirepb.Reason_REASON_UNKNOWN_CLASS,
	dispatch.ReasonClassRemoved: wirepb.Reason_REASON_UNKNOWN_CLASS,
}

func wireReason(r dispatch.Reason) wirepb.Reason {
	if reason, ok := wireReasons[r]; ok {
		return reason
	}
	return wirepb.Reason_REASON_OVERLOAD
}
