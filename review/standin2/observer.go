package main

import (
	"net/netip"
	"sync"
	"time"
)

// observer judges the rule FLOW from what targets and clients see.
type observer struct {
	f  *fleet
	mu sync.Mutex
	// flows are the open flows, by key.
	flows  map[flowKey]*observedFlow
	broken int
	// excused counts resets that the rule does not count.
	excused int
}

// observedFlow is an open flow as its target has taken it.
type observedFlow struct {
	target    *target
	openedAt  time.Time
	resetFrom *target  // other target that has reset the flow
	takenBy   *process // edge that took the packet which was answered with that reset
	calm      bool     // that edge was in touch
}

func newObserver(f *fleet) *observer { return &observer{f: f, flows: map[flowKey]*observedFlow{}} }

func (f *fleet) nameOf(a netip.Addr) string {
	if p := f.edgeAt(a); p != nil {
		return p.name
	}
	return a.String()
}

// opened records that a target has got the end of the handshake of a flow.
func (o *observer) opened(t *target, key flowKey, from netip.Addr) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.flows[key] = &observedFlow{target: t, openedAt: time.Now()}
	o.f.record.note("flow %v opens at %s through %s", key, t.id, o.f.nameOf(from))
}

// resetByTarget records that a target answers a packet of a flow that it does not hold with a reset.
func (o *observer) resetByTarget(t *target, key flowKey, p *packet, from netip.Addr, halfOpen bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.flows[key]
	if s == nil || s.target == t || !s.target.isRunning() {
		return
	}
	edge := o.f.edgeAt(from)
	s.resetFrom, s.takenBy, s.calm = t, edge, edge != nil && edge.calm()
	o.f.record.note("flow %v is open at %s, but %s gets a packet of it from %s (in touch: %v, %d bytes, half-open there: %v) and resets it",
		key, s.target.id, t.id, edge.name, s.calm, len(p.data), halfOpen)
}

// clientReset records that a client has got a reset on a flow.
func (o *observer) clientReset(fl *flow, bySystem bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.flows[fl.key]
	if s == nil || !fl.open || !s.target.isRunning() {
		return
	}
	switch {
	case bySystem:
		o.broken++
		o.f.record.note("BROKEN FLOW (a): %v gets a reset of the system while its target %s lives", fl.key, s.target.id)
	case s.resetFrom == nil:
	case s.calm:
		o.broken++
		o.f.record.note("BROKEN FLOW (a): %v, open at %s for %v, gets a reset of %s, to which %s sent its packet", fl.key, s.target.id,
			time.Since(s.openedAt).Round(time.Millisecond), s.resetFrom.id, s.takenBy.name)
	default:
		o.excused++
		o.f.record.note("not counted: %v gets a reset of %s through %s, which is not in touch", fl.key, s.resetFrom.id, s.takenBy.name)
	}
}

// closed forgets a flow that its client has closed.
func (o *observer) closed(key flowKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.flows, key)
}

func (o *observer) result() (broken, excused int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.broken, o.excused
}
