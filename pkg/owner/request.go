package owner

import (
	"time"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/dispatch"
	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/token"
)

type state uint8

const (
	stateAssembling state = iota + 1
	stateQueued
	stateRunning
	stateElsewhere // runs at the predecessor that handed the flow over
	stateAnswered
	stateNotRun
	stateUnknown
)

// record is the memory of one request. It outlives the request's deadline by the packet
// lifetime, so that no late copy of the request can start it again.
type record struct {
	id         ident.RequestID
	flow       *flow
	state      state
	class      int
	className  string
	idempotent bool
	deadline   time.Time
	expires    time.Time
	assembly   *frame.Assembly
	payload    []byte
	answer     []byte
	transfer   *frame.Transfer // of an answer of several parts
	accounted  int             // bytes counted by account
	reason     wirepb.Reason
	call       uint64
	started    time.Time
	attempts   int       // calls to the upstream so far
	retryAt    time.Time // with stateQueued: not to be submitted before
	// mayHaveRun says that an earlier attempt may have run; the request is idempotent.
	mayHaveRun bool
}

// request handles one part of a request.
func (c *Core) request(f *flow, cl *token.Claims, q *wirepb.Request) {
	id := ident.RequestID(q.RequestId)
	c.dropEnded(f, ident.RequestID(q.EndedBelow))
	if r := f.records[id]; r != nil {
		if r.state != stateAssembling {
			c.count(RequestsRepeated, f.up.service, 0)
		}
		c.repeatedRequest(r, q)
		return
	}
	if id <= f.droppedBelow {
		c.replyOutcome(f, id, wirepb.Outcome_OUTCOME_UNKNOWN, wirepb.Reason_REASON_RECORD_EXPIRED)
		return
	}
	if !c.holdsRecordsOf(f.up, cl) {
		// Also an idempotent request must not run: a refusal as not run whose record is
		// lost would become false. Its caller sends it again as a new request.
		c.count(RequestsUnknown, f.up.service, wirepb.Reason_REASON_OWNER_GONE)
		c.replyOutcome(f, id, wirepb.Outcome_OUTCOME_UNKNOWN, wirepb.Reason_REASON_OWNER_GONE)
		return
	}
	if len(f.records) >= maxRecordsPerFlow || f.up.kept >= maxRecordsPerUpstream {
		// Without a record the request cannot be refused for good: a later copy may run.
		c.replyOutcome(f, id, wirepb.Outcome_OUTCOME_NO_ROUTE, wirepb.Reason_REASON_LIMIT)
		return
	}
	r := c.newRecord(f, q)
	if r.state != stateAssembling {
		return
	}
	c.addPart(r, q)
}

// dropEnded drops the records of requests that have ended at the caller. Late copies of
// them are answered as unknown and never run.
func (c *Core) dropEnded(f *flow, below ident.RequestID) {
	if below == 0 || below-1 <= f.droppedBelow {
		return
	}
	f.droppedBelow = below - 1
	for id, r := range f.records {
		if id < below && r.ended() {
			c.dropRecord(r)
		}
	}
}

// ended reports whether nothing happens any more for the record's request.
func (r *record) ended() bool {
	return r.state == stateAnswered || r.state == stateNotRun || r.state == stateUnknown
}

func (c *Core) newRecord(f *flow, q *wirepb.Request) *record {
	r := &record{
		id: ident.RequestID(q.RequestId), flow: f, state: stateAssembling,
		className: q.Class, idempotent: q.Idempotent,
		deadline: c.now.Add(min(time.Duration(q.DeadlineMs)*time.Millisecond, maxDeadline)),
	}
	c.keepRecord(r)
	svc := c.services.Service(f.up.service)
	if svc == nil {
		c.finishNotRun(r, wirepb.Reason_REASON_NO_UPSTREAM)
		return r
	}
	class, ok := svc.class(q.Class)
	if !ok {
		c.finishNotRun(r, wirepb.Reason_REASON_UNKNOWN_CLASS)
		return r
	}
	r.class, r.className = class, svc.Classes[class].Name
	if limit := svc.Deadlines[class]; limit > 0 && r.deadline.After(c.now.Add(limit)) {
		r.deadline = c.now.Add(limit)
	}
	r.assembly = frame.NewAssembly(int(q.Parts))
	r.account()
	c.refuseOverBudget(r)
	return r
}

// keepRecord stores the record until its deadline and the packet lifetime have passed.
func (c *Core) keepRecord(r *record) {
	f := r.flow
	if f.records == nil {
		f.records = map[ident.RequestID]*record{}
	}
	f.records[r.id] = r
	f.up.kept++
	r.account()
	r.expires = r.deadline.Add(packetLifetime)
	at := bucket(r.expires)
	f.up.records[at] = append(f.up.records[at], r)
}

func (c *Core) addPart(r *record, q *wirepb.Request) {
	added := r.assembly.Add(int(q.Part), int(q.Parts), q.Payload)
	r.account()
	if c.refuseOverBudget(r) {
		return
	}
	if q.Parts > 1 && (!added || r.assembly.Present()%frame.TransferAckEvery == 0) {
		c.ackRequest(r, r.assembly.Held())
	}
	if !r.assembly.Complete() {
		return
	}
	r.payload, r.assembly = r.assembly.Payload(), nil
	r.account()
	c.queue(r)
}

// queue gives a whole request to the scheduler, or holds it while there is no connection.
func (c *Core) queue(r *record) {
	r.state = stateQueued
	u := r.flow.up
	if !u.connected || u.slots <= u.elsewhere {
		u.held = append(u.held, r)
		return
	}
	c.submit(r)
}

func (c *Core) submit(r *record) {
	c.nextCall++
	r.call = c.nextCall
	c.calls[r.call] = r
	c.start(r.flow.up.sched.Submit(c.now, dispatch.Request{
		ID: r.call, Class: r.class, Deadline: r.deadline, Idempotent: r.idempotent,
	}))
}

func (c *Core) submitHeld(u *upstream) {
	if !u.connected || u.slots <= u.elsewhere {
		return
	}
	held := u.held
	u.held = nil
	for _, r := range held {
		if r.state == stateQueued {
			c.submit(r)
		}
	}
}

func (c *Core) execute(r *record) {
	r.state, r.started = stateRunning, c.now
	r.attempts++
	r.flow.up.running++
	c.count(RequestsRun, r.flow.up.service, 0)
	c.emit(Execute{
		Upstream: r.flow.up.id, Call: r.call, Service: r.flow.up.service, Flow: r.flow.id,
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
	u := r.flow.up
	u.running--
	if ev.Result != NotBegun { // lack of capacity is no failure
		c.emit(ObserveCall{
			Service: u.service, Upstream: u.id,
			OK: ev.Result == Answered, Duration: c.now.Sub(r.started),
		})
	}
	if ev.Result == Failed || ev.Result == Cancelled {
		u.cutShort = c.now
	}
	if r.state == stateRunning && !c.retry(r, ev) {
		c.finishCall(r, ev)
	}
	if u.movedTo != 0 {
		c.reportCompleted(u, r)
		c.releaseIfIdle(u)
		return
	}
	if u.frozen {
		u.finished = append(u.finished, r)
	}
	if c.upstreams[u.id] == u {
		c.start(u.sched.Done(c.now, ev.Call, c.schedulerOutcome(u, ev)))
	}
}

// slotSettles is how long an upstream may go on with a call that ended here at its deadline
// or by cancellation. Until then a refusal for lack of a slot says nothing about how many
// slots it has.
const slotSettles = 100 * time.Millisecond

func (c *Core) schedulerOutcome(u *upstream, ev ExecuteDone) dispatch.Outcome {
	switch ev.Result {
	case Answered:
		return dispatch.Answered
	case NotBegun:
		if c.now.Sub(u.cutShort) < slotSettles {
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
		r.account()
		c.budget(r.flow.up.service).Success()
		c.count(RequestsOK, r.flow.up.service, 0)
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

// finishNotRun refuses a request, unless an earlier attempt of it may have run.
func (c *Core) finishNotRun(r *record, reason wirepb.Reason) {
	if r.mayHaveRun {
		c.finishUnknown(r, reason)
		return
	}
	r.state, r.reason = stateNotRun, reason
	r.release()
	c.count(RequestsNotRun, r.flow.up.service, reason)
	c.replyOutcome(r.flow, r.id, wirepb.Outcome_OUTCOME_NOT_RUN, reason)
}

func (c *Core) finishUnknown(r *record, reason wirepb.Reason) {
	r.state, r.reason = stateUnknown, reason
	r.release()
	c.count(RequestsUnknown, r.flow.up.service, reason)
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

// repeatedRequest answers a copy of a request that has a record.
func (c *Core) repeatedRequest(r *record, q *wirepb.Request) {
	switch r.state {
	case stateAssembling:
		c.addPart(r, q)
	case stateQueued, stateRunning:
		if q.Parts > 1 {
			c.ackRequest(r, frame.AllHeld(int(q.Parts)))
		}
	case stateAnswered:
		c.sendAnswer(r, q.AnswerPartsHeld)
	case stateNotRun:
		c.replyOutcome(r.flow, r.id, wirepb.Outcome_OUTCOME_NOT_RUN, r.reason)
	case stateUnknown:
		c.replyOutcome(r.flow, r.id, wirepb.Outcome_OUTCOME_UNKNOWN, r.reason)
	}
}

func (c *Core) cancel(f *flow, id ident.RequestID) {
	r := f.records[id]
	if r == nil {
		return
	}
	switch r.state {
	case stateAssembling:
		c.finishNotRun(r, wirepb.Reason_REASON_CANCELLED)
	case stateRunning:
		c.emit(CancelExecute{Upstream: f.up.id, Call: r.call})
	case stateQueued:
		c.cancelQueued(r)
	}
}

func (c *Core) cancelQueued(r *record) {
	if _, submitted := c.calls[r.call]; submitted {
		_, run, refused := r.flow.up.sched.Cancel(c.now, r.call)
		delete(c.calls, r.call)
		c.start(run, refused)
	}
	if r.state == stateQueued {
		c.finishNotRun(r, wirepb.Reason_REASON_CANCELLED)
	}
}

func (c *Core) expireRecords(u *upstream, second int64) {
	for _, r := range due(u.records, second) {
		switch r.state {
		case stateAssembling, stateQueued:
			c.finishNotRun(r, wirepb.Reason_REASON_DEADLINE)
		case stateElsewhere:
			c.finishUnknown(r, wirepb.Reason_REASON_OWNER_GONE)
			c.elsewhereEnded(u)
		case stateRunning:
			at := bucket(c.now.Add(packetLifetime))
			u.records[at] = append(u.records[at], r)
			continue
		}
		f := r.flow
		c.dropRecord(r)
		f.droppedBelow = max(f.droppedBelow, r.id)
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
