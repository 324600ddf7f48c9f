package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/dispatch"
	"rosemarygate/pkg/ident"
)

// upstream is the state of one owned upstream.
type upstream struct {
	id          ident.UpstreamID
	service     ident.ServiceID
	incarnation ident.Incarnation
	dataCentre  ident.DataCentreID
	slots       int
	flowLimit   int
	draining    bool
	ownedSince  time.Time // issue time of the first token of this ownership
	connected   bool      // UpstreamUp was received and no UpstreamDisconnected after it

	scheduler *dispatch.Scheduler
	flows     map[ident.FlowID]*flow
	// closedFlows counts the closed flows, which are kept for their request records.
	closedFlows int
	// predecessors holds the owner incarnations whose records were handed over to this core,
	// with the earliest issue time of a token that the records cover.
	predecessors map[ownerKey]time.Time
	// heldRequests are complete requests that are not submitted to the scheduler: there is no
	// connection, a handover is in progress, or a predecessor still uses all slots.
	heldRequests []*record
	// disconnectedAt is when the connection was lost or, before the first connection, when this
	// ownership began.
	disconnectedAt time.Time
	// pendingRetries are requests that wait for their next attempt.
	pendingRetries []*record
	// unackedFlows are flows with feed items that their callers have not acknowledged.
	unackedFlows map[ident.FlowID]*flow
	// flowsByExpiry holds the flows by the second in which their expiry is checked.
	flowsByExpiry map[int64][]*flow
	// recordsByExpiry holds the request records by the second in which they expire.
	recordsByExpiry map[int64][]*record

	recordBytes int // sum over the records of all flows
	recordCount int // number of records of all flows

	frozen bool // a handover is in progress
	// endedDuringHandover are the requests that ended during the handover.
	endedDuringHandover []*record
	movedTo             ident.DaemonID // new owner after a handover
	runningCalls        int            // calls in progress at this core
	// lastAbortedAt is when a call last ended without a reply from the upstream.
	lastAbortedAt time.Time
	// runningAtPredecessor counts the requests that still run at a predecessor; they occupy
	// slots.
	runningAtPredecessor int
}

// maxKeptFlowsFactor bounds the flows that are kept for an upstream, open or closed, to this
// multiple of its flow limit.
const maxKeptFlowsFactor = 8

func (u *upstream) openFlows() int { return len(u.flows) - u.closedFlows }

// full reports whether no further flow may open. Closed flows use no connection and do not count
// against the flow limit, but their number is bounded because they use memory.
func (u *upstream) full() bool {
	return u.openFlows() >= u.flowLimit || len(u.flows) >= maxKeptFlowsFactor*u.flowLimit
}

type ownerKey struct {
	owner       ident.DaemonID
	incarnation ident.Incarnation
}

func (c *Core) newUpstream(id ident.UpstreamID, service ident.ServiceID) *upstream {
	u := &upstream{
		id: id, service: service, ownedSince: nextMillisecond(laterTime(c.now, c.lastIssuedAt)),
		flows:           map[ident.FlowID]*flow{},
		predecessors:    map[ownerKey]time.Time{},
		unackedFlows:    map[ident.FlowID]*flow{},
		flowsByExpiry:   map[int64][]*flow{},
		recordsByExpiry: map[int64][]*record{},
		disconnectedAt:  c.now,
	}
	u.scheduler = dispatch.NewScheduler(c.schedulerLimits(u))
	c.upstreams[id] = u
	return u
}

// nextMillisecond returns the first whole millisecond after t. Issue times in tokens are whole
// milliseconds; an ownership that starts at a later one never covers a token of an earlier
// ownership.
func nextMillisecond(t time.Time) time.Time {
	return t.Truncate(time.Millisecond).Add(time.Millisecond)
}

func (c *Core) schedulerLimits(u *upstream) dispatch.Limits {
	l := dispatch.Limits{Slots: max(1, u.slots-u.runningAtPredecessor)}
	if s := c.services.Service(u.service); s != nil {
		l.Classes = s.Classes
	}
	return l
}

func (c *Core) upstreamUp(ev UpstreamUp) {
	u := c.upstreams[ev.Upstream]
	if u != nil && u.incarnation != 0 && u.incarnation > ev.Incarnation {
		return
	}
	if u != nil && u.movedTo != 0 {
		c.dropUpstream(u)
		u = nil
	}
	if u != nil && u.incarnation != 0 && u.incarnation != ev.Incarnation {
		c.breakFlows(u, wirepb.Reason_REASON_UPSTREAM_GONE)
		u = nil
	}
	if u == nil {
		u = c.newUpstream(ev.Upstream, ev.Service)
	}
	delete(c.endedIncarnations, ev.Upstream)
	firstConnect := !u.connected
	u.incarnation, u.dataCentre = ev.Incarnation, ev.DataCentre
	u.slots, u.flowLimit, u.draining, u.connected = ev.Slots, ev.FlowLimit, ev.Draining, true
	u.scheduler.SetDraining(ev.Draining)
	c.applyDecisions(u.scheduler.SetLimits(c.now, c.schedulerLimits(u)))
	if u.frozen {
		return
	}
	if firstConnect {
		c.resubscribeAll(u)
	}
	c.submitHeld(u)
}

func (c *Core) upstreamDisconnected(ev UpstreamDisconnected) {
	u := c.upstreams[ev.Upstream]
	if u == nil || u.movedTo != 0 {
		return
	}
	u.connected, u.disconnectedAt = false, c.now
	c.recallQueued(u)
}

// reconnectTimeout is how long requests are held for a disconnected upstream, which normally
// reconnects within 500 ms. Holding them until the lease ends, after 3 s, leaves requests with
// a deadline of 3 s no time for another upstream.
const reconnectTimeout = time.Second

// refuseHeld refuses the held requests of an upstream that has not reconnected in time.
func (c *Core) refuseHeld(u *upstream) {
	if u.connected || c.now.Sub(u.disconnectedAt) < reconnectTimeout {
		return
	}
	held := u.heldRequests
	u.heldRequests = nil
	for _, r := range held {
		if r.state == stateQueued {
			c.finishNotRun(r, wirepb.Reason_REASON_UPSTREAM_GONE)
		}
	}
}

func (c *Core) upstreamGone(ev UpstreamGone) {
	c.endedIncarnations[ev.Upstream] = max(c.endedIncarnations[ev.Upstream], ev.Incarnation)
	u := c.upstreams[ev.Upstream]
	if u == nil || u.incarnation > ev.Incarnation || u.movedTo != 0 {
		return
	}
	c.breakFlows(u, wirepb.Reason_REASON_UPSTREAM_GONE)
}

// breakFlows ends every flow of an upstream that is gone and drops the upstream. Running
// requests are cancelled and get the outcome UNKNOWN; queued ones get NOT_RUN unless an earlier
// attempt may have run.
func (c *Core) breakFlows(u *upstream, reason wirepb.Reason) {
	for _, f := range sortedValues(u.flows) {
		if !f.confirmed {
			// A retransmitted open may have opened the same flow at another upstream.
			f.removed = true
			continue
		}
		for _, r := range sortedValues(f.records) {
			c.endForGoneUpstream(r, reason)
		}
		c.count(FlowsBroken, u.service, reason)
		c.send(f, &wirepb.Frame{Body: &wirepb.Frame_FlowStatus{
			FlowStatus: &wirepb.FlowStatus{Reason: reason, Gone: true},
		}})
	}
	c.dropUpstream(u)
}

func (c *Core) endForGoneUpstream(r *record, reason wirepb.Reason) {
	switch r.state {
	case stateAssembling, stateQueued:
		c.finishNotRun(r, reason)
	case stateRunning:
		c.emit(CancelExecute{Upstream: r.flow.upstream.id, Call: r.callID})
		c.finishUnknown(r, reason)
	case stateRunningAtPredecessor:
		c.finishUnknown(r, reason)
	}
}

func (c *Core) dropUpstream(u *upstream) {
	if c.upstreams[u.id] == u {
		delete(c.upstreams, u.id)
	}
}

func (c *Core) servicesChanged(ev ServicesChanged) {
	c.services = ev.Services
	for _, u := range sortedValues(c.upstreams) {
		if ev.Changed == nil || slices.Contains(ev.Changed, u.service) {
			c.applyDecisions(u.scheduler.SetLimits(c.now, c.schedulerLimits(u)))
		}
	}
}

// applyDecisions starts and refuses requests as the scheduler decided.
func (c *Core) applyDecisions(run []dispatch.Request, refused []dispatch.Refusal) {
	for _, q := range run {
		if r := c.calls[q.ID]; r != nil {
			c.execute(r)
		}
	}
	for _, refusal := range refused {
		if r := c.calls[refusal.ID]; r != nil {
			delete(c.calls, refusal.ID)
			c.finishNotRun(r, wireReason(refusal.Reason))
		}
	}
}

func (c *Core) tick() {
	second := c.now.Unix()
	for _, u := range sortedValues(c.upstreams) {
		c.resendFeeds(u)
		if u.frozen || u.movedTo != 0 {
			continue // the new owner handles the flows and requests
		}
		c.applyDecisions(u.scheduler.Tick(c.now))
		c.submitRetries(u)
		c.refuseHeld(u)
		c.expireFlows(u, second)
		c.expireRecords(u, second)
	}
}

// takeDue removes and returns the entries of all buckets up to and including a second.
func takeDue[T any](buckets map[int64][]T, second int64) []T {
	var seconds []int64
	for s := range buckets {
		if s <= second {
			seconds = append(seconds, s)
		}
	}
	slices.Sort(seconds)
	var out []T
	for _, s := range seconds {
		out = append(out, buckets[s]...)
		delete(buckets, s)
	}
	return out
}

// sortedValues returns the values of a map in the order of their keys, because the actions of a
// step must not depend on the random order of map iteration.
func sortedValues[K cmp.Ordered, V any](m map[K]V) []V {
	out := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}

func expiryBucket(t time.Time) int64 { return t.Unix() + 1 }
