package daemon

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"rosemarygate/pkg/events"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/ownership"
	"rosemarygate/pkg/registration"
)

// handoverWait is how long a new owner waits for the flows of a live predecessor before
// it connects to the upstream by itself.
const handoverWait = 3 * time.Second

// assignment decides which upstreams this daemon connects to and which it hands over. It
// runs in the goroutine of the cluster loop.
type assignment struct {
	self  membership.Member
	order ownership.Order

	view    *membership.View
	current *ownership.Table
	// previous is the table before this daemon's own last change of state; it names the
	// daemons that may still hold an upstream's flows.
	previous *ownership.Table
	known    map[ident.UpstreamID]registration.Registration
	// owners are signatures of the daemons that own the upstreams of the data centres of known
	// upstreams. Only a change of a data centre's owners moves its upstreams: with 110,000
	// upstreams, lookups of all owners for each view took 0.2 s.
	owners map[string]uint64
	// services are the known upstreams of each service.
	services map[ident.ServiceID][]ident.UpstreamID
	held     map[ident.UpstreamID]bool      // sessions of this daemon
	waiting  map[ident.UpstreamID]time.Time // until the predecessor's handover is overdue
	leaving  map[ident.UpstreamID]time.Time // handovers in progress, with the time of the next try
	// retired are upstreams whose lease ended while their connection lives, with the time
	// at which the connection was last seen. They get no new work; open feeds stay.
	retired map[ident.UpstreamID]time.Time

	connected func(ident.UpstreamID) bool
	connect   func(registration.Registration)
	handOver  func(ident.UpstreamID, membership.Member)
	drop      func(registration.Registration)
}

const (
	// handoverRetry is short because the members' views agree within a few probe periods.
	handoverRetry = 150 * time.Millisecond
	// retireGrace is how long the connection to a retired upstream may be lost before its
	// flows end.
	retireGrace = 3 * time.Second
)

func newAssignment(self membership.Member, order ownership.Order) *assignment {
	return &assignment{
		self: self, order: order,
		known:    map[ident.UpstreamID]registration.Registration{},
		owners:   map[string]uint64{},
		services: map[ident.ServiceID][]ident.UpstreamID{},
		held:     map[ident.UpstreamID]bool{},
		waiting:  map[ident.UpstreamID]time.Time{},
		leaving:  map[ident.UpstreamID]time.Time{},
		retired:  map[ident.UpstreamID]time.Time{},
	}
}

// viewChanged takes a new view with its ownership table over.
func (a *assignment) viewChanged(now time.Time, v *membership.View, table *ownership.Table) {
	if a.current != nil && a.owns() {
		a.previous = a.current
	} else {
		a.previous = ownership.NewTable(without(v, a.self.ID), a.order)
	}
	a.view = v
	a.current = table
	moved := map[string]bool{}
	for dataCentre, before := range a.owners {
		if owners, _ := a.current.Owners(dataCentre, a.self.ID); owners != before {
			a.owners[dataCentre] = owners
			moved[dataCentre] = true
		}
	}
	if len(moved) > 0 {
		a.reconcileAll(now, moved)
	}
}

// reconcileAll reconciles the upstreams of the given data centres.
func (a *assignment) reconcileAll(now time.Time, dataCentres map[string]bool) {
	for _, reg := range a.known {
		if dataCentres[reg.DataCentre] {
			a.reconcile(now, reg, false)
		}
	}
}

// learn remembers a registration.
func (a *assignment) learn(reg registration.Registration) {
	a.removeRegistration(reg.Upstream) // its data centre may be another one
	a.known[reg.Upstream] = reg
	a.services[reg.Service] = append(a.services[reg.Service], reg.Upstream)
	if _, seen := a.owners[reg.DataCentre]; seen {
		return
	}
	a.owners[reg.DataCentre] = 0
	if a.current != nil {
		a.owners[reg.DataCentre], _ = a.current.Owners(reg.DataCentre, a.self.ID)
	}
}

// concerned adds the services whose upstreams a change adds, changes or removes. Retired
// upstreams are forgotten without a change, so their services are included.
func (a *assignment) concerned(ch registration.Changed, services map[ident.ServiceID]bool) {
	add := func(u ident.UpstreamID) {
		if old, known := a.known[u]; known {
			services[old.Service] = true
		}
	}
	for _, reg := range ch.Set {
		services[reg.Service] = true
		add(reg.Upstream)
	}
	for _, u := range ch.Removed {
		add(u)
	}
	for u := range a.retired {
		add(u)
	}
}

// registrations returns the known upstreams of a service.
func (a *assignment) registrations(s ident.ServiceID) []registration.Registration {
	var out []registration.Registration
	for _, u := range a.services[s] {
		out = append(out, a.known[u])
	}
	return out
}

// removeRegistration removes a registration.
func (a *assignment) removeRegistration(u ident.UpstreamID) {
	reg, known := a.known[u]
	if !known {
		return
	}
	delete(a.known, u)
	left := slices.DeleteFunc(a.services[reg.Service], func(other ident.UpstreamID) bool { return other == u })
	a.services[reg.Service] = left
	if len(left) == 0 {
		delete(a.services, reg.Service)
	}
}

func (a *assignment) owns() bool {
	m, ok := a.view.Find(a.self.ID)
	return ok && m.State == membership.Serving
}

// without returns the view as it is for the other members while this one does not serve.
func without(v *membership.View, self ident.DaemonID) *membership.View {
	out := &membership.View{Version: v.Version}
	for _, m := range v.Members {
		if m.ID != self {
			out.Members = append(out.Members, m)
		}
	}
	return out
}

// changed takes changed registrations over. announced says that the upstream has just
// announced itself to this daemon; if it is new, no other daemon holds flows of it.
func (a *assignment) changed(now time.Time, set []registration.Registration, removed []ident.UpstreamID, announced bool) {
	for _, reg := range set {
		old, seen := a.known[reg.Upstream]
		a.learn(reg)
		delete(a.retired, reg.Upstream)
		a.reconcile(now, reg, announced && (!seen || old.Incarnation != reg.Incarnation))
	}
	for _, u := range removed {
		if reg, ok := a.known[u]; ok {
			a.retire(now, reg)
		}
	}
}

// retire ends new work at an upstream whose lease ended. A lease can end because the
// upstream's announcements are lost, so its flows end only when the connection does.
func (a *assignment) retire(now time.Time, reg registration.Registration) {
	u := reg.Upstream
	if !a.held[u] || !a.connected(u) {
		a.forget(reg)
		return
	}
	reg.Draining = true
	a.known[u] = reg
	a.retired[u] = now
	a.connect(reg)
}

func (a *assignment) forget(reg registration.Registration) {
	delete(a.retired, reg.Upstream)
	a.removeRegistration(reg.Upstream)
	delete(a.waiting, reg.Upstream)
	delete(a.leaving, reg.Upstream)
	if a.held[reg.Upstream] {
		delete(a.held, reg.Upstream)
		a.drop(reg)
	}
}

func (a *assignment) reconcile(now time.Time, reg registration.Registration, fresh bool) {
	if a.current == nil {
		return
	}
	u := reg.Upstream
	m, ok := a.current.Owner(reg.DataCentre, u)
	switch {
	case ok && m.ID == a.self.ID:
		delete(a.leaving, u)
		a.take(now, reg, fresh)
	case ok && a.held[u]:
		a.give(now, u, m)
	default:
		delete(a.waiting, u)
	}
}

// take connects to an upstream, or waits for a live predecessor's handover first.
func (a *assignment) take(now time.Time, reg registration.Registration, fresh bool) {
	u := reg.Upstream
	if a.held[u] {
		a.connect(reg)
		return
	}
	if _, waits := a.waiting[u]; waits {
		return
	}
	if !fresh && a.predecessorLives(reg) {
		a.waiting[u] = now.Add(handoverWait)
		return
	}
	a.hold(reg)
}

func (a *assignment) hold(reg registration.Registration) {
	delete(a.waiting, reg.Upstream)
	a.held[reg.Upstream] = true
	a.connect(reg)
}

// connectHeld asks for a connection to every upstream of this daemon again.
func (a *assignment) connectHeld() {
	for u := range a.held {
		a.connect(a.known[u])
	}
}

func (a *assignment) predecessorLives(reg registration.Registration) bool {
	if a.previous == nil {
		return false
	}
	p, ok := a.previous.Owner(reg.DataCentre, reg.Upstream)
	if !ok || p.ID == a.self.ID {
		return false
	}
	m, ok := a.view.Find(p.ID)
	return ok && m.Incarnation == p.Incarnation && m.State != membership.Dead
}

func (a *assignment) give(now time.Time, u ident.UpstreamID, to membership.Member) {
	if next, started := a.leaving[u]; started && now.Before(next) {
		return
	}
	a.leaving[u] = now.Add(handoverRetry)
	a.handOver(u, to)
}

// received says that a predecessor has handed an upstream over.
func (a *assignment) received(reg registration.Registration) {
	if _, ok := a.known[reg.Upstream]; !ok {
		a.learn(reg)
	}
	a.hold(a.known[reg.Upstream])
}

// released says that nothing of an upstream is left here after its handover.
func (a *assignment) released(u ident.UpstreamID) {
	delete(a.held, u)
	delete(a.leaving, u)
	if _, ok := a.retired[u]; ok {
		delete(a.retired, u)
		a.removeRegistration(u)
	}
}

// tick handles overdue handovers in both directions.
func (a *assignment) tick(now time.Time) {
	for u, until := range a.waiting {
		if now.After(until) {
			a.hold(a.known[u])
		}
	}
	a.tickRetired(now)
	for u := range a.leaving {
		a.reconcile(now, a.known[u], false)
	}
}

func (a *assignment) tickRetired(now time.Time) {
	for u, seen := range a.retired {
		switch {
		case a.connected(u):
			a.retired[u] = now
		case now.Sub(seen) > retireGrace:
			a.forget(a.known[u])
		}
	}
}

// logHandover writes the end of a handover to the log.
func logHandover(log logrus.FieldLogger, ev owner.HandoverEnded, flows int, err error) {
	fields := logrus.Fields{"upstream": ev.Upstream, "to": ev.To, "flows": flows}
	if err != nil {
		fields["error"] = err
		events.HandoverFailed.Log(log, fields)
		return
	}
	events.HandoverFinished.Log(log, fields)
}
