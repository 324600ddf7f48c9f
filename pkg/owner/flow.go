package owner

import (
	"net/netip"
	"time"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/token"
)

const defaultFlowIdle = 30 * time.Second

// flow is the state of one caller's flow on an owned upstream.
type flow struct {
	id         ident.FlowID
	upstream   *upstream
	caller     netip.AddrPort
	newAddress *unvalidatedAddress // nil unless keep-alives came from another address
	lastSeen   time.Time
	confirmed  bool
	closed     bool // ended; kept for its request records
	removed    bool // removed from its upstream
	feed       *feed
	records    map[ident.RequestID]*record
	// droppedUpTo is the highest request id whose record was dropped. Requests with this or a
	// lower id and without a record may have run.
	droppedUpTo ident.RequestID
	recordBytes int // sum over the flow's records
}

func (c *Core) openReceived(ev OpenReceived) {
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
		c.sendWithToken(f, &wirepb.Frame{Body: &wirepb.Frame_Opened{Opened: &wirepb.Opened{}}})
		return
	}
	switch {
	case u.draining:
		c.passOpen(ev, wirepb.Reason_REASON_UPSTREAM_DRAINING)
	case u.frozen:
		// No reply: the caller retransmits the open, and it is handled after the handover.
	case u.full():
		c.passOpen(ev, wirepb.Reason_REASON_FLOWS_FULL)
	default:
		f := c.addFlow(u, ev.Flow, ev.Caller)
		c.count(FlowsOpened, u.service, 0)
		c.sendWithToken(f, &wirepb.Frame{Body: &wirepb.Frame_Opened{Opened: &wirepb.Opened{}}})
	}
}

func (c *Core) passOpen(ev OpenReceived, reason wirepb.Reason) {
	c.emit(PassOpen{
		Caller: ev.Caller, Service: ev.Service, Flow: ev.Flow,
		Tried: append(ev.Tried, ev.Upstream), Reason: reason,
	})
}

func (c *Core) addFlow(u *upstream, id ident.FlowID, caller netip.AddrPort) *flow {
	f := &flow{id: id, upstream: u, caller: caller, lastSeen: c.now}
	u.flows[id] = f
	at := expiryBucket(c.now.Add(unconfirmedLifetime))
	u.flowsByExpiry[at] = append(u.flowsByExpiry[at], f)
	return f
}

func (c *Core) sendWithToken(f *flow, fr *wirepb.Frame) {
	c.addToken(f, fr)
	c.send(f, fr)
}

// addToken sets the flow id and a new token in a frame.
func (c *Core) addToken(f *flow, fr *wirepb.Frame) {
	issued := laterTime(c.now, f.upstream.ownedSince)
	c.lastIssuedAt = laterTime(c.lastIssuedAt, issued)
	fr.FlowId = uint64(f.id)
	fr.Token = c.codec.Append(nil, f.id, &token.Claims{
		Service:             f.upstream.service,
		DataCentre:          f.upstream.dataCentre,
		Upstream:            f.upstream.id,
		UpstreamIncarnation: f.upstream.incarnation,
		Owner:               c.cfg.Self,
		OwnerIncarnation:    c.cfg.Incarnation,
		IssuedAt:            issued,
	})
}

func laterTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// frameReceived handles a frame with a verified token.
func (c *Core) frameReceived(ev FrameReceived) {
	u := c.upstreams[ev.Claims.Upstream]
	if u != nil && u.movedTo != 0 {
		c.emit(ForwardFrame{To: u.movedTo, Event: ev})
		return
	}
	if u != nil && u.frozen {
		return // callers retransmit; the state being handed over must not change
	}
	if u == nil || u.incarnation != ev.Claims.UpstreamIncarnation || u.service != ev.Claims.Service {
		c.handleUnknownUpstream(u, ev)
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
	c.updateCallerAddress(f, ev)
	if !f.confirmed {
		f.confirmed = true
		c.count(FlowsConfirmed, u.service, 0)
	}
	c.handleFlowFrame(f, ev)
}

// handleUnknownUpstream handles a frame for an upstream incarnation that this core does not
// own: it rejects the frame when the incarnation has ended or was replaced, and forwards it
// otherwise.
func (c *Core) handleUnknownUpstream(u *upstream, ev FrameReceived) {
	incarnation := ev.Claims.UpstreamIncarnation
	replaced := u != nil && u.incarnation > incarnation
	if replaced || c.endedIncarnations[ev.Claims.Upstream] >= incarnation {
		c.rejectFrame(ev, wirepb.Reason_REASON_UPSTREAM_GONE)
		return
	}
	c.emit(ForwardFrame{Event: ev})
}

// adopt creates the flow of a token whose owner has crashed. It returns nil for a token of this
// owner incarnation or of a predecessor that handed its flows over: such a flow has ended.
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

// holdsRecordsOf reports whether this core has every request record of the upstream that the
// owner in the token created. It does not for a token that this core issued before it handed
// the upstream over, when it has taken the upstream back after the other owner crashed.
func (c *Core) holdsRecordsOf(u *upstream, cl *token.Claims) bool {
	since, ok := u.predecessors[ownerKey{cl.Owner, cl.OwnerIncarnation}]
	if ok && !cl.IssuedAt.Before(since) {
		return true
	}
	self := cl.Owner == c.cfg.Self && cl.OwnerIncarnation == c.cfg.Incarnation
	return self && !cl.IssuedAt.Before(u.ownedSince)
}

// rejectFrame replies to a frame whose flow does not exist at this owner.
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

func (c *Core) handleFlowFrame(f *flow, ev FrameReceived) {
	switch body := ev.Frame.Body.(type) {
	case *wirepb.Frame_KeepAlive:
		c.handleKeepAlive(f, ev.Caller)
	case *wirepb.Frame_Subscribe:
		c.handleSubscribe(f, body.Subscribe)
	case *wirepb.Frame_FeedAck:
		c.handleFeedAck(f, body.FeedAck.Sequence)
		if body.FeedAck.MissingNext {
			c.resendMissing(f)
		}
	case *wirepb.Frame_Request:
		c.handleRequest(f, &ev.Claims, body.Request)
	case *wirepb.Frame_AnswerAck:
		c.handleAnswerAck(f, body.AnswerAck)
	case *wirepb.Frame_Cancel:
		c.handleCancel(f, ident.RequestID(body.Cancel.RequestId))
	case *wirepb.Frame_Close:
		c.closeFlow(f)
	}
}

// closeFlow marks a flow as closed and ends its feed. Its request records stay until they
// expire, so that a late copy of a request cannot run.
func (c *Core) closeFlow(f *flow) {
	c.endFeed(f)
	if !f.closed {
		f.close()
		c.count(FlowsClosed, f.upstream.service, 0)
	}
	if len(f.records) == 0 {
		c.removeFlow(f)
	}
}

// breakFlow ends a flow because of an error and notifies its caller.
func (c *Core) breakFlow(f *flow, reason wirepb.Reason) {
	c.count(FlowsBroken, f.upstream.service, reason)
	c.send(f, &wirepb.Frame{Body: &wirepb.Frame_FlowStatus{
		FlowStatus: &wirepb.FlowStatus{Reason: reason, Gone: true},
	}})
	f.close()
	c.closeFlow(f)
}

// close marks the flow as closed.
func (f *flow) close() {
	if !f.closed {
		f.closed = true
		f.upstream.closedFlows++
	}
}

func (c *Core) removeFlow(f *flow) {
	f.removed = true
	if f.closed {
		f.upstream.closedFlows--
	}
	delete(f.upstream.flows, f.id)
	delete(f.upstream.unackedFlows, f.id)
}

func (c *Core) expireFlows(u *upstream, second int64) {
	for _, f := range takeDue(u.flowsByExpiry, second) {
		if f.removed {
			continue
		}
		if at := c.expiresAt(f); at.After(c.now) {
			u.flowsByExpiry[expiryBucket(at)] = append(u.flowsByExpiry[expiryBucket(at)], f)
			continue
		}
		c.endFeed(f)
		c.removeFlow(f)
		if !f.closed {
			c.count(FlowsExpired, u.service, 0)
		}
	}
}

// expiresAt returns when the flow expires if no further frames arrive. A confirmed flow does
// not expire before its request records.
func (c *Core) expiresAt(f *flow) time.Time {
	if !f.confirmed {
		return f.lastSeen.Add(unconfirmedLifetime)
	}
	idle := defaultFlowIdle
	if s := c.services.Service(f.upstream.service); s != nil && s.FlowIdle > 0 {
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
