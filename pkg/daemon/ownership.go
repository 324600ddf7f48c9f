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

// predecessorTimeout is how long a new owner waits for the handover from a live predecessor before
// it connects to the upstream without the predecessor's flows.
const predecessorTimeout = 3 * time.Second

// assignment decides which upstreams this daemon connects to and which it hands over. It runs in the
// cluster's goroutine.
type assignment struct {
	self  membership.Member
	order ownership.Order

	view         *membership.View
	currentTable *ownership.Table
	// previousTable names the owners that may still hold an upstream's flows. It is the table before
	// the last view or, while this daemon was not serving, the table of the view without it.
	previousTable  *ownership.Table
	knownUpstreams map[ident.UpstreamID]registration.Registration
	// ownerSignatures holds, for each data centre of a known upstream, the signature of the daemons
	// that own its upstreams. Upstreams are reconciled only when it changes: with 110,000 upstreams,
	// looking up all owners for each view takes 0.2 s.
	ownerSignatures map[string]uint64
	// upstreamsByService holds the known upstreams of each service.
	upstreamsByService map[ident.ServiceID][]ident.UpstreamID
	heldUpstreams      map[ident.UpstreamID]bool      // upstreams that this daemon has a session to
	incomingHandovers  map[ident.UpstreamID]time.Time // awaited from predecessors, with their deadlines
	outgoingHandovers  map[ident.UpstreamID]time.Time // in progress, with the time of the next attempt
	// retiredUpstreams are upstreams whose lease has ended while they are still connected, with the
	// time at which they were last connected. They get no new work; open feeds continue.
	retiredUpstreams map[ident.UpstreamID]time.Time

	isConnected   func(ident.UpstreamID) bool
	connect       func(registration.Registration)
	startHandover func(ident.UpstreamID, membership.Member)
	drop          func(registration.Registration)
}

const (
	// handoverRetryPeriod is short because the members' views converge within a few probe periods.
	handoverRetryPeriod = 150 * time.Millisecond
	// retiredGracePeriod is how long a retired upstream may be disconnected before its flows end.
	retiredGracePeriod = 3 * time.Second
)

func newAssignment(self membership.Member, order ownership.Order) *assignment {
	return &assignment{
		self: self, order: order,
		knownUpstreams:     map[ident.UpstreamID]registration.Registration{},
		ownerSignatures:    map[string]uint64{},
		upstreamsByService: map[ident.ServiceID][]ident.UpstreamID{},
		heldUpstreams:      map[ident.UpstreamID]bool{},
		incomingHandovers:  map[ident.UpstreamID]time.Time{},
		outgoingHandovers:  map[ident.UpstreamID]time.Time{},
		retiredUpstreams:   map[ident.UpstreamID]time.Time{},
	}
}

// viewChanged applies a new view with its ownership table.
func (a *assignment) viewChanged(now time.Time, v *membership.View, table *ownership.Table) {
	if a.currentTable != nil && a.isServing() {
		a.previousTable = a.currentTable
	} else {
		a.previousTable = ownership.NewTable(viewWithout(v, a.self.ID), a.order)
	}
	a.view = v
	a.currentTable = table
	changedCentres := map[string]bool{}
	for dataCentre, previous := range a.ownerSignatures {
		if signature, _ := a.currentTable.OwnerSet(dataCentre, a.self.ID); signature != previous {
			a.ownerSignatures[dataCentre] = signature
			changedCentres[dataCentre] = true
		}
	}
	if len(changedCentres) > 0 {
		a.reconcileAll(now, changedCentres)
	}
}

// reconcileAll reconciles the upstreams of the given data centres.
func (a *assignment) reconcileAll(now time.Time, dataCentres map[string]bool) {
	for _, reg := range a.knownUpstreams {
		if dataCentres[reg.DataCentre] {
			a.reconcile(now, reg, false)
		}
	}
}

// addRegistration stores a registration.
func (a *assignment) addRegistration(reg registration.Registration) {
	a.removeRegistration(reg.Upstream) // its data centre may be another one
	a.knownUpstreams[reg.Upstream] = reg
	a.upstreamsByService[reg.Service] = append(a.upstreamsByService[reg.Service], reg.Upstream)
	if _, known := a.ownerSignatures[reg.DataCentre]; known {
		return
	}
	a.ownerSignatures[reg.DataCentre] = 0
	if a.currentTable != nil {
		a.ownerSignatures[reg.DataCentre], _ = a.currentTable.OwnerSet(reg.DataCentre, a.self.ID)
	}
}

// addChangedServices adds the services whose upstreams a change adds, changes or removes. It includes
// the services of retired upstreams, which are removed without a change of registrations.
func (a *assignment) addChangedServices(changes registration.RegistrationsChanged, services map[ident.ServiceID]bool) {
	addServiceOf := func(u ident.UpstreamID) {
		if old, known := a.knownUpstreams[u]; known {
			services[old.Service] = true
		}
	}
	for _, reg := range changes.Updated {
		services[reg.Service] = true
		addServiceOf(reg.Upstream)
	}
	for _, u := range changes.Removed {
		addServiceOf(u)
	}
	for u := range a.retiredUpstreams {
		addServiceOf(u)
	}
}

// registrations returns the known upstreams of a service.
func (a *assignment) registrations(s ident.ServiceID) []registration.Registration {
	var out []registration.Registration
	for _, u := range a.upstreamsByService[s] {
		out = append(out, a.knownUpstreams[u])
	}
	return out
}

func (a *assignment) removeRegistration(u ident.UpstreamID) {
	reg, known := a.knownUpstreams[u]
	if !known {
		return
	}
	delete(a.knownUpstreams, u)
	remaining := slices.DeleteFunc(a.upstreamsByService[reg.Service], func(other ident.UpstreamID) bool { return other == u })
	a.upstreamsByService[reg.Service] = remaining
	if len(remaining) == 0 {
		delete(a.upstreamsByService, reg.Service)
	}
}

func (a *assignment) isServing() bool {
	m, ok := a.view.Find(a.self.ID)
	return ok && m.State == membership.Serving
}

// viewWithout returns the view without this daemon, which is how the other members assign upstreams
// while this daemon does not serve.
func viewWithout(v *membership.View, self ident.DaemonID) *membership.View {
	out := &membership.View{Version: v.Version}
	for _, m := range v.Members {
		if m.ID != self {
			out.Members = append(out.Members, m)
		}
	}
	return out
}

// applyRegistrations applies changed and removed registrations. announced is true when the upstream
// has just announced itself to this daemon; if its incarnation is new, no other daemon holds flows
// of it.
func (a *assignment) applyRegistrations(now time.Time, updated []registration.Registration, removed []ident.UpstreamID, announced bool) {
	for _, reg := range updated {
		old, known := a.knownUpstreams[reg.Upstream]
		a.addRegistration(reg)
		delete(a.retiredUpstreams, reg.Upstream)
		a.reconcile(now, reg, announced && (!known || old.Incarnation != reg.Incarnation))
	}
	for _, u := range removed {
		if reg, ok := a.knownUpstreams[u]; ok {
			a.retire(now, reg)
		}
	}
}

// retire stops new work at an upstream whose lease has ended. A lease can end because the upstream's
// announcements are lost, so its flows end only when its connection is lost, too.
func (a *assignment) retire(now time.Time, reg registration.Registration) {
	u := reg.Upstream
	if !a.heldUpstreams[u] || !a.isConnected(u) {
		a.removeUpstream(reg)
		return
	}
	reg.Draining = true
	a.knownUpstreams[u] = reg
	a.retiredUpstreams[u] = now
	a.connect(reg)
}

func (a *assignment) removeUpstream(reg registration.Registration) {
	delete(a.retiredUpstreams, reg.Upstream)
	a.removeRegistration(reg.Upstream)
	delete(a.incomingHandovers, reg.Upstream)
	delete(a.outgoingHandovers, reg.Upstream)
	if a.heldUpstreams[reg.Upstream] {
		delete(a.heldUpstreams, reg.Upstream)
		a.drop(reg)
	}
}

func (a *assignment) reconcile(now time.Time, reg registration.Registration, isNew bool) {
	if a.currentTable == nil {
		return
	}
	u := reg.Upstream
	m, ok := a.currentTable.Owner(reg.DataCentre, u)
	switch {
	case ok && m.ID == a.self.ID:
		delete(a.outgoingHandovers, u)
		a.takeOver(now, reg, isNew)
	case ok && a.heldUpstreams[u]:
		a.requestHandover(now, u, m)
	default:
		delete(a.incomingHandovers, u)
	}
}

// takeOver connects to an upstream, after the handover if there is a live predecessor.
func (a *assignment) takeOver(now time.Time, reg registration.Registration, isNew bool) {
	u := reg.Upstream
	if a.heldUpstreams[u] {
		a.connect(reg)
		return
	}
	if _, isWaiting := a.incomingHandovers[u]; isWaiting {
		return
	}
	if !isNew && a.hasLivePredecessor(reg) {
		a.incomingHandovers[u] = now.Add(predecessorTimeout)
		return
	}
	a.connectUpstream(reg)
}

func (a *assignment) connectUpstream(reg registration.Registration) {
	delete(a.incomingHandovers, reg.Upstream)
	a.heldUpstreams[reg.Upstream] = true
	a.connect(reg)
}

// connectHeld connects again to every upstream that this daemon holds.
func (a *assignment) connectHeld() {
	for u := range a.heldUpstreams {
		a.connect(a.knownUpstreams[u])
	}
}

func (a *assignment) hasLivePredecessor(reg registration.Registration) bool {
	if a.previousTable == nil {
		return false
	}
	p, ok := a.previousTable.Owner(reg.DataCentre, reg.Upstream)
	if !ok || p.ID == a.self.ID {
		return false
	}
	m, ok := a.view.Find(p.ID)
	return ok && m.Incarnation == p.Incarnation && m.State != membership.Dead
}

func (a *assignment) requestHandover(now time.Time, u ident.UpstreamID, to membership.Member) {
	if next, started := a.outgoingHandovers[u]; started && now.Before(next) {
		return
	}
	a.outgoingHandovers[u] = now.Add(handoverRetryPeriod)
	a.startHandover(u, to)
}

// handoverReceived handles the end of a predecessor's handover.
func (a *assignment) handoverReceived(reg registration.Registration) {
	if _, ok := a.knownUpstreams[reg.Upstream]; !ok {
		a.addRegistration(reg)
	}
	a.connectUpstream(a.knownUpstreams[reg.Upstream])
}

// upstreamReleased removes an upstream whose state has been handed over completely.
func (a *assignment) upstreamReleased(u ident.UpstreamID) {
	delete(a.heldUpstreams, u)
	delete(a.outgoingHandovers, u)
	if _, ok := a.retiredUpstreams[u]; ok {
		delete(a.retiredUpstreams, u)
		a.removeRegistration(u)
	}
}

// tick ends the wait for overdue handovers from predecessors, checks retired upstreams and retries
// handovers to new owners.
func (a *assignment) tick(now time.Time) {
	for u, deadline := range a.incomingHandovers {
		if now.After(deadline) {
			a.connectUpstream(a.knownUpstreams[u])
		}
	}
	a.checkRetired(now)
	for u := range a.outgoingHandovers {
		a.reconcile(now, a.knownUpstreams[u], false)
	}
}

func (a *assignment) checkRetired(now time.Time) {
	for u, lastConnected := range a.retiredUpstreams {
		switch {
		case a.isConnected(u):
			a.retiredUpstreams[u] = now
		case now.Sub(lastConnected) > retiredGracePeriod:
			a.removeUpstream(a.knownUpstreams[u])
		}
	}
}

// logHandover logs the end of a handover.
func logHandover(log logrus.FieldLogger, ev owner.HandoverEnded, flows int, err error) {
	fields := logrus.Fields{"upstream": ev.Upstream, "to": ev.To, "flows": flows}
	if err != nil {
		fields["error"] = err
		events.HandoverFailed.Log(log, fields)
		return
	}
	events.HandoverFinished.Log(log, fields)
}
