package owner

import (
	"net/netip"
	"time"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/token"
)

const defaultFlowIdle = 30 * time.Second

// flow is one caller's flow on an owned upstream.
type flow struct {
	id        ident.FlowID
	up        *upstream
	caller    netip.AddrPort
	move      *callerMove // nil unless frames come from another address
	lastSeen  time.Time
	confirmed bool
	closed    bool // by its caller; kept for its request records
	gone      bool // removed from its upstream
	feed      *feed
	records   map[ident.RequestID]*record
	// droppedBelow is the highest request id whose record was dropped; requests at or
	// below it may have run.
	droppedBelow ident.RequestID
	bytes        int // held by the flow's records
}

func (c *Core) open(ev OpenReceived) {
	u := c.upstreams[ev.Upstream]
	if u == nil || u.movedTo != 0 || !u.connected || u.service != ev.Service {
		c.passOpen(ev, wirepb.Reason_REASON_NO_UPSTREAM)
		return
	}
	if f := u.flows[ev.Flow]; f != nil {
		if f.caller != ev.Caller {
			c.passOpen(ev, wirepb.Reason_REASON_LIMIT)
			return
		}
		c.sendToken(f, &wirepb.Frame{Body: &wirepb.Frame_Opened{Opened: &wirepb.Opened{}}})
		return
	}
	switch {
	case u.draining:
		c.passOpen(ev, wirepb.Reason_REASON_UPSTREAM_DRAINING)
	case u.frozen:
		// The caller repeats the open after the handover.
	case u.full():
		c.passOpen(ev, wirepb.Reason_REASON_FLOWS_FULL)
	default:
		f := c.addFlow(u, ev.Flow, ev.Caller)
		c.count(FlowsOpened, u.service, 0)
		c.sendToken(f, &wirepb.Frame{Body: &wirepb.Frame_Opened{Opened: &wirepb.Opened{}}})
	}
}

func (c *Core) passOpen(ev OpenReceived, reason wirepb.Reason) {
	c.emit(PassOpen{
		Caller: ev.Caller, Service: ev.Service, Flow: ev.Flow,
		Tried: append(ev.Tried, ev.Upstream), Reason: reason,
	})
}

func (c *Core) addFlow(u *upstream, id ident.FlowID, caller netip.AddrPort) *flow {
	f := &flow{id: id, up: u, caller: caller, lastSeen: c.now}
	u.flows[id] = f
	at := bucket(c.now.Add(unconfirmedLifetime))
	u.expiry[at] = append(u.expiry[at], f)
	return f
}

func (c *Core) sendToken(f *flow, fr *wirepb.Frame) {
	c.sign(f, fr)
	c.send(f, fr)
}

// sign puts the flow's id and a new token into a frame.
func (c *Core) sign(f *flow, fr *wirepb.Frame) {
	issued := later(c.now, f.up.since)
	c.lastIssue = later(c.lastIssue, issued)
	fr.FlowId = uint64(f.id)
	fr.Token = c.codec.Append(nil, f.id, &token.Claims{
		Service:             f.up.service,
		DataCentre:          f.up.dataCentre,
		Upstream:            f.up.id,
		UpstreamIncarnation: f.up.incarnation,
		Owner:               c.cfg.Self,
		OwnerIncarnation:    c.cfg.Incarnation,
		IssuedAt:            issued,
	})
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// frame handles a frame with a verified token.
func (c *Core) frame(ev FrameReceived) {
	u := c.upstreams[ev.Claims.Upstream]
	if u != nil && u.movedTo != 0 {
		c.emit(ForwardFrame{To: u.movedTo, Event: ev})
		return
	}
	if u != nil && u.frozen {
		return // callers repeat; the state being handed over must not change
	}
	if u == nil || u.incarnation != ev.Claims.UpstreamIncarnation || u.service != ev.Claims.Service {
		c.unknownUpstream(u, ev)
		return
	}
	f := u.flows[ident.FlowID(ev.Frame.FlowId)]
	if f == nil {
		f = c.adopt(u, ev)
	}
	if f == nil {
		c.rejectFrame(ev, wirepb.Reason_REASON_OWNER_GONE)
		return
	}
	f.lastSeen = c.now
	c.checkCaller(f, ev)
	if !f.confirmed {
		f.confirmed = true
		c.count(FlowsConfirmed, u.service, 0)
	}
	c.flowFrame(f, ev)
}

// unknownUpstream answers a frame for an upstream incarnation that is not owned here: it
// has ended, or its handover has not arrived yet.
func (c *Core) unknownUpstream(u *upstream, ev FrameReceived) {
	incarnation := ev.Claims.UpstreamIncarnation
	replaced := u != nil && u.incarnation > incarnation
	if replaced || c.ended[ev.Claims.Upstream] >= incarnation {
		c.rejectFrame(ev, wirepb.Reason_REASON_UPSTREAM_GONE)
		return
	}
	c.emit(ForwardFrame{Event: ev})
}

// adopt creates the flow of a token whose owner crashed. A token of this incarnation, or
// of a predecessor that handed its flows over, names a flow that has ended.
func (c *Core) adopt(u *upstream, ev FrameReceived) *flow {
	if c.holdsRecordsOf(u, &ev.Claims) {
		return nil
	}
	if _, closing := ev.Frame.Body.(*wirepb.Frame_Close); closing {
		return nil
	}
	f := c.addFlow(u, ident.FlowID(ev.Frame.FlowId), ev.Caller)
	f.confirmed = true
	c.count(FlowsAdopted, u.service, 0)
	return f
}

// holdsRecordsOf reports whether this core has every request record that the owner named
// in the token made for the upstream. Tokens that this core issued before it handed the
// upstream over, and took it back after the other owner crashed, are not covered.
func (c *Core) holdsRecordsOf(u *upstream, cl *token.Claims) bool {
	since, ok := u.predecessors[ownerKey{cl.Owner, cl.OwnerIncarnation}]
	if ok && !cl.IssuedAt.Before(since) {
		return true
	}
	self := cl.Owner == c.cfg.Self && cl.OwnerIncarnation == c.cfg.Incarnation
	return self && !cl.IssuedAt.Before(u.since)
}

// rejectFrame answers a frame whose flow does not exist here.
func (c *Core) rejectFrame(ev FrameReceived, reason wirepb.Reason) {
	fr := &wirepb.Frame{FlowId: ev.Frame.FlowId}
	switch body := ev.Frame.Body.(type) {
	case *wirepb.Frame_Request:
		c.count(RequestsUnknown, ev.Claims.Service, reason)
		fr.Body = outcomeBody(ident.RequestID(body.Request.RequestId), wirepb.Outcome_OUTCOME_UNKNOWN, reason)
	case *wirepb.Frame_KeepAlive, *wirepb.Frame_Subscribe:
		fr.Body = &wirepb.Frame_FlowStatus{FlowStatus: &wirepb.FlowStatus{Reason: reason, Gone: true}}
	default:
		return
	}
	c.emit(SendFrame{Caller: ev.Caller, Service: ev.Claims.Service, Frame: fr})
}

func (c *Core) flowFrame(f *flow, ev FrameReceived) {
	switch body := ev.Frame.Body.(type) {
	case *wirepb.Frame_KeepAlive:
		c.keepAlive(f, ev.Caller)
	case *wirepb.Frame_Subscribe:
		c.subscribe(f, body.Subscribe)
	case *wirepb.Frame_FeedAck:
		c.feedAck(f, body.FeedAck.Sequence)
		if body.FeedAck.MissingNext {
			c.resendMissing(f)
		}
	case *wirepb.Frame_Request:
		c.request(f, &ev.Claims, body.Request)
	case *wirepb.Frame_AnswerAck:
		c.answerAck(f, body.AnswerAck)
	case *wirepb.Frame_Cancel:
		c.cancel(f, ident.RequestID(body.Cancel.RequestId))
	case *wirepb.Frame_Close:
		c.closeFlow(f)
	}
}

// closeFlow ends the flow's feed. Its request records stay until they expire, so that a
// late copy of a request cannot run.
func (c *Core) closeFlow(f *flow) {
	c.endFeed(f)
	if !f.closed {
		f.close()
		c.count(FlowsClosed, f.up.service, 0)
	}
	if len(f.records) == 0 {
		c.removeFlow(f)
	}
}

// breakFlow ends a flow that cannot go on and tells its caller.
func (c *Core) breakFlow(f *flow, reason wirepb.Reason) {
	c.count(FlowsBroken, f.up.service, reason)
	c.send(f, &wirepb.Frame{Body: &wirepb.Frame_FlowStatus{
		FlowStatus: &wirepb.FlowStatus{Reason: reason, Gone: true},
	}})
	f.close()
	c.closeFlow(f)
}

// close marks the flow as ended by its caller or its service.
func (f *flow) close() {
	if !f.closed {
		f.closed = true
		f.up.closed++
	}
}

func (c *Core) removeFlow(f *flow) {
	f.gone = true
	if f.closed {
		f.up.closed--
	}
	delete(f.up.flows, f.id)
	delete(f.up.unacked, f.id)
}

func (c *Core) expireFlows(u *upstream, second int64) {
	for _, f := range due(u.expiry, second) {
		if f.gone {
			continue
		}
		if at := c.expiresAt(f); at.After(c.now) {
			u.expiry[bucket(at)] = append(u.expiry[bucket(at)], f)
			continue
		}
		c.endFeed(f)
		c.removeFlow(f)
		if !f.closed {
			c.count(FlowsExpired, u.service, 0)
		}
	}
}

// expiresAt returns when the flow ends without further packets. A flow with request
// records outlives them.
func (c *Core) expiresAt(f *flow) time.Time {
	if !f.confirmed {
		return f.lastSeen.Add(unconfirmedLifetime)
	}
	idle := defaultFlowIdle
	if s := c.services.Service(f.up.service); s != nil && s.FlowIdle > 0 {
		idle = s.FlowIdle
	}
	at := f.lastSeen.Add(idle)
	for _, r := range f.records {
		if r.expires.After(at) {
			at = r.expires
		}
	}
	return at
}
