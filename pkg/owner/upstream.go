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

// upstream is one owned upstream.
type upstream struct {
	id          ident.UpstreamID
	service     ident.ServiceID
	incarnation ident.Incarnation
	dataCentre  ident.DataCentreID
	slots       int
	flowLimit   int
	draining    bool
	since       time.Time // issue time of the first token of this ownership
	connected   bool      // an UpstreamUp for this incarnation was seen

	sched *dispatch.Scheduler
	flows map[ident.FlowID]*flow
	// closed counts the flows that have ended and are kept for their request records.
	closed int
	// predecessors are the owner incarnations whose records were handed over to this core,
	// with the issue time of the earliest token that the records cover.
	predecessors map[ownerKey]time.Time
	// held are requests that wait for a connection or for the end of a handover.
	held []*record
	// disconnected is when the connection was lost, or when the wait for the first one began.
	disconnected time.Time
	// retries are requests that wait before their next attempt.
	retries []*record
	// unacked are flows with feed items that their callers have not acknowledged.
	unacked map[ident.FlowID]*flow
	// expiry holds flows by the second in which they have to be looked at.
	expiry map[int64][]*flow
	// records holds request records by the second in which they have to be looked at.
	records map[int64][]*record

	bytes int // held by the records of all flows
	kept  int // records of all flows

	frozen bool // a handover is in progress
	// finished are requests that ended during the handover.
	finished []*record
	movedTo  ident.DaemonID // new owner after a handover
	running  int            // calls in progress here
	// cutShort is when a call ended last without the upstream's word.
	cutShort time.Time
	// elsewhere counts requests that a predecessor still runs; they occupy slots.
	elsewhere int
}

// keptFlows bounds the flows that an upstream's owner keeps, open or closed, relative to the
// flow limit.
const keptFlows = 8

func (u *upstream) openFlows() int { return len(u.flows) - u.closed }

// full reports whether no further flow may open. A closed flow takes no connection, so it
// does not count against the flow limit, but its memory is bounded.
func (u *upstream) full() bool {
	return u.openFlows() >= u.flowLimit || len(u.flows) >= keptFlows*u.flowLimit
}

type ownerKey struct {
	owner       ident.DaemonID
	incarnation ident.Incarnation
}

func (c *Core) newUpstream(id ident.UpstreamID, service ident.ServiceID) *upstream {
	u := &upstream{
		id: id, service: service, since: nextMilli(later(c.now, c.lastIssue)),
		flows:        map[ident.FlowID]*flow{},
		predecessors: map[ownerKey]time.Time{},
		unacked:      map[ident.FlowID]*flow{},
		expiry:       map[int64][]*flow{},
		records:      map[int64][]*record{},
		disconnected: c.now,
	}
	u.sched = dispatch.NewScheduler(c.limits(u))
	c.upstreams[id] = u
	return u
}

// nextMilli returns the first whole millisecond after t. Tokens carry whole milliseconds, so
// that a token of an earlier ownership is never taken for one of the new ownership.
func nextMilli(t time.Time) time.Time {
	return t.Truncate(time.Millisecond).Add(time.Millisecond)
}

func (c *Core) limits(u *upstream) dispatch.Limits {
	l := dispatch.Limits{Slots: max(1, u.slots-u.elsewhere)}
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
	delete(c.ended, ev.Upstream)
	firstConnect := !u.connected
	u.incarnation, u.dataCentre = ev.Incarnation, ev.DataCentre
	u.slots, u.flowLimit, u.draining, u.connected = ev.Slots, ev.FlowLimit, ev.Draining, true
	u.sched.SetDraining(ev.Draining)
	c.start(u.sched.SetLimits(c.now, c.limits(u)))
	if u.frozen {
		return
	}
	if firstConnect {
		c.resubscribeAll(u)
	}
	c.submitHeld(u)
}

func (c *Core) upstreamLost(ev UpstreamLost) {
	u := c.upstreams[ev.Upstream]
	if u == nil || u.movedTo != 0 {
		return
	}
	u.connected, u.disconnected = false, c.now
	c.recallQueued(u)
}

// reconnectTime is how long requests wait for an upstream's connection, which is normally made
// anew within 500 ms. Waiting for the end of the lease took 3 s, and requests of that deadline had
// no time left for another upstream.
const reconnectTime = time.Second

// refuseHeld refuses what waits for a connection that is not made anew.
func (c *Core) refuseHeld(u *upstream) {
	if u.connected || c.now.Sub(u.disconnected) < reconnectTime {
		return
	}
	held := u.held
	u.held = nil
	for _, r := range held {
		if r.state == stateQueued {
			c.finishNotRun(r, wirepb.Reason_REASON_UPSTREAM_GONE)
		}
	}
}

func (c *Core) upstreamDown(ev UpstreamDown) {
	c.ended[ev.Upstream] = max(c.ended[ev.Upstream], ev.Incarnation)
	u := c.upstreams[ev.Upstream]
	if u == nil || u.incarnation > ev.Incarnation || u.movedTo != 0 {
		return
	}
	c.breakFlows(u, wirepb.Reason_REASON_UPSTREAM_GONE)
}

// breakFlows ends every flow of an upstream that is gone and forgets the upstream.
// Requests that run end with their ExecuteDone; queued ones did not run.
func (c *Core) breakFlows(u *upstream, reason wirepb.Reason) {
	for _, f := range ordered(u.flows) {
		if !f.confirmed {
			// A repeated open may have given the caller the same flow at another upstream.
			f.gone = true
			continue
		}
		for _, r := range ordered(f.records) {
			c.endForLostUpstream(r, reason)
		}
		c.count(FlowsBroken, u.service, reason)
		c.send(f, &wirepb.Frame{Body: &wirepb.Frame_FlowStatus{
			FlowStatus: &wirepb.FlowStatus{Reason: reason, Gone: true},
		}})
	}
	c.dropUpstream(u)
}

func (c *Core) endForLostUpstream(r *record, reason wirepb.Reason) {
	switch r.state {
	case stateAssembling, stateQueued:
		c.finishNotRun(r, reason)
	case stateRunning:
		c.emit(CancelExecute{Upstream: r.flow.up.id, Call: r.call})
		c.finishUnknown(r, reason)
	case stateElsewhere:
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
	for _, u := range ordered(c.upstreams) {
		if ev.Changed == nil || slices.Contains(ev.Changed, u.service) {
			c.start(u.sched.SetLimits(c.now, c.limits(u)))
		}
	}
}

// start carries out the decisions of a scheduler.
func (c *Core) start(run []dispatch.Request, refused []dispatch.Refusal) {
	for _, q := range run {
		if r := c.calls[q.ID]; r != nil {
			c.execute(r)
		}
	}
	for _, x := range refused {
		if r := c.calls[x.ID]; r != nil {
			delete(c.calls, x.ID)
			c.finishNotRun(r, wireReason(x.Reason))
		}
	}
}

func (c *Core) tick() {
	second := c.now.Unix()
	for _, u := range ordered(c.upstreams) {
		c.resendFeeds(u)
		if u.frozen || u.movedTo != 0 {
			continue // the new owner decides over what was handed over
		}
		c.start(u.sched.Tick(c.now))
		c.submitRetries(u)
		c.refuseHeld(u)
		c.expireFlows(u, second)
		c.expireRecords(u, second)
	}
}

// due removes and returns the entries of all buckets up to the given second.
func due[T any](buckets map[int64][]T, second int64) []T {
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

// ordered returns the values of a map in the order of their keys: the actions of a step
// must not depend on the random order of map iteration.
func ordered[K cmp.Ordered, V any](m map[K]V) []V {
	out := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}

func bucket(t time.Time) int64 { return t.Unix() + 1 }
