package daemon

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/ownership"
	"rosemarygate/pkg/registration"
)

// assignmentRecorder records the connections, drops and handovers that an assignment requests.
type assignmentRecorder struct {
	*assignment
	connects, drops []ident.UpstreamID
	handovers       []ident.DaemonID
	connectionUp    bool
	now             time.Time
}

const otherDaemon = ident.DaemonID(2)

func newAssignmentRecorder() *assignmentRecorder {
	b := &assignmentRecorder{connectionUp: true, now: time.Unix(1000, 0)}
	b.assignment = newAssignment(membership.Member{ID: 1, DataCentre: "dc", Incarnation: 1}, nil)
	b.connect = func(r registration.Registration) { b.connects = append(b.connects, r.Upstream) }
	b.drop = func(r registration.Registration) { b.drops = append(b.drops, r.Upstream) }
	b.startHandover = func(_ ident.UpstreamID, m membership.Member) { b.handovers = append(b.handovers, m.ID) }
	b.isConnected = func(ident.UpstreamID) bool { return b.connectionUp }
	return b
}

func (b *assignmentRecorder) viewChanged(now time.Time, v *membership.View) {
	b.assignment.viewChanged(now, v, ownership.NewTable(v, nil))
}

func (b *assignmentRecorder) setView(states ...membership.State) {
	v := &membership.View{}
	for i, s := range states {
		v.Members = append(v.Members, membership.Member{ID: ident.DaemonID(i + 1), DataCentre: "dc", Incarnation: 1, State: s})
	}
	b.viewChanged(b.now, v)
}

// ownedBy returns the registration of an upstream that the given daemon owns while daemons 1 and 2
// serve.
func ownedBy(id ident.DaemonID) registration.Registration {
	v := &membership.View{Members: []membership.Member{
		{ID: 1, DataCentre: "dc", State: membership.Serving}, {ID: 2, DataCentre: "dc", State: membership.Serving},
	}}
	for u := ident.UpstreamID(1); ; u++ {
		if m, _ := ownership.Owner(v, "dc", u); m.ID == id {
			return registration.Registration{Upstream: u, DataCentre: "dc", Incarnation: 1}
		}
	}
}

func (b *assignmentRecorder) register(r registration.Registration, announced bool) {
	b.applyRegistrations(b.now, []registration.Registration{r}, nil, announced)
}

// Guards against two owners of an upstream: a joining daemon waits for the handover from a live
// predecessor, but no longer than predecessorTimeout.
func TestJoiningOwnerWaitsForLivePredecessor(t *testing.T) {
	b := newAssignmentRecorder()
	b.setView(membership.Serving, membership.Serving)
	b.register(ownedBy(1), false)
	assert.Equal(t, len(b.connects), 0)
	b.now = b.now.Add(predecessorTimeout + time.Second)
	b.tick(b.now)
	assert.Equal(t, len(b.connects), 1)
}

// Guards against an upstream without an owner after its owner crashed.
func TestUpstreamOfCrashedOwnerIsConnectedAtOnce(t *testing.T) {
	b := newAssignmentRecorder()
	b.setView(membership.Serving, membership.Serving)
	b.register(ownedBy(otherDaemon), false)
	assert.Equal(t, len(b.connects), 0)
	b.setView(membership.Serving, membership.Dead)
	assert.Equal(t, len(b.connects), 1)
}

// Guards against flows that stay at a leaving daemon.
func TestLeavingDaemonHandsOver(t *testing.T) {
	b := newAssignmentRecorder()
	b.setView(membership.Serving, membership.Serving)
	b.register(ownedBy(1), true)
	assert.Equal(t, len(b.connects), 1)
	b.setView(membership.Leaving, membership.Serving)
	assert.DeepEqual(t, b.handovers, []ident.DaemonID{otherDaemon})
	b.now = b.now.Add(handoverRetryPeriod)
	b.tick(b.now)
	assert.Equal(t, len(b.handovers), 2, "a handover that failed is tried again")
}

// Guards against feeds that end although only the upstream's announcements were lost.
func TestExpiredLeaseKeepsConnectedUpstream(t *testing.T) {
	b := newAssignmentRecorder()
	b.setView(membership.Serving, membership.Serving)
	reg := ownedBy(1)
	b.register(reg, true)
	b.applyRegistrations(b.now, nil, []ident.UpstreamID{reg.Upstream}, false)
	assert.Equal(t, len(b.drops), 0)
	assert.Assert(t, b.knownUpstreams[reg.Upstream].Draining)

	b.connectionUp = false
	b.now = b.now.Add(retiredGracePeriod + time.Second)
	b.tick(b.now)
	assert.Equal(t, len(b.drops), 1)
}

// Guards against upstreams without an owner after the last daemon of their data centre failed, and
// against a second connection when a later view does not change their owners.
func TestUpstreamsOfLostDataCentreAreTaken(t *testing.T) {
	b := newAssignmentRecorder()
	view := func(far, joining membership.State) {
		b.viewChanged(b.now, &membership.View{Members: []membership.Member{
			{ID: 1, DataCentre: "dc", Incarnation: 1, State: membership.Serving},
			{ID: 2, DataCentre: "far", Incarnation: 1, State: far},
			{ID: 3, DataCentre: "dc", Incarnation: 1, State: joining},
		}})
	}
	view(membership.Serving, membership.Dead)
	b.register(registration.Registration{Upstream: 9, DataCentre: "far", Incarnation: 1}, false)
	assert.Equal(t, len(b.connects), 0)
	view(membership.Dead, membership.Dead)
	assert.Equal(t, len(b.connects), 1)
	view(membership.Dead, membership.Joining)
	assert.Equal(t, len(b.connects), 1)
}

// Guards against candidates of a service that remain after its last upstream left or moved to another
// service.
func TestAddChangedServices(t *testing.T) {
	b := newAssignmentRecorder()
	b.setView(membership.Serving, membership.Serving)
	reg := ownedBy(otherDaemon)
	reg.Service = 7
	b.register(reg, false)
	b.register(reg, false)
	assert.Equal(t, len(b.registrations(7)), 1)
	reg.Service = 8
	services := map[ident.ServiceID]bool{}
	b.addChangedServices(registration.RegistrationsChanged{Updated: []registration.Registration{reg}}, services)
	assert.Assert(t, services[7] && services[8])
	b.register(reg, false)
	assert.Equal(t, len(b.registrations(7)), 0)
	clear(services)
	changes := registration.RegistrationsChanged{Removed: []ident.UpstreamID{reg.Upstream}}
	b.addChangedServices(changes, services)
	b.applyRegistrations(b.now, nil, changes.Removed, false)
	assert.Assert(t, services[8])
	assert.Equal(t, len(b.registrations(8)), 0)
}

// Measures, by number of known upstreams, the time to apply a new view of 18,000 daemons in 28 data
// centres in which one daemon of another data centre changes, and the memory of the assignment. The
// 7,860 upstreams are those of the two data centres whose registrations a daemon keeps; the other
// numbers are spread over all data centres.
func BenchmarkViewChanged(b *testing.B) {
	var states [2]*membership.View
	var names []string
	for i := range 28 {
		names = append(names, fmt.Sprint(i))
	}
	for i := range states {
		states[i] = &membership.View{}
		for id := range 18_000 {
			m := membership.Member{ID: ident.DaemonID(id + 1), DataCentre: names[id%28], Incarnation: 1, State: membership.Serving}
			states[i].Members = append(states[i].Members, m)
		}
	}
	states[1].Members[1].State = membership.Leaving
	for _, upstreams := range []int{7_860, 10_000, 40_000, 110_000} {
		centres, services := 28, 24_000
		if upstreams == 7_860 {
			centres, services = 2, 2*860
		}
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			a := newAssignmentRecorder()
			a.viewChanged(a.now, states[0])
			before := liveHeap()
			for u := range upstreams {
				a.register(registration.Registration{
					Service: ident.ServiceID(u % services), Upstream: ident.UpstreamID(u), DataCentre: names[u%centres], Incarnation: 1,
				}, false)
			}
			heldBytes := float64(liveHeap() - before)
			for i := 0; b.Loop(); i++ {
				a.viewChanged(a.now, states[(i+1)%2])
			}
			b.ReportMetric(heldBytes, "live-bytes")
		})
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against an upstream that is never connected because its registration arrived before the
// configuration of its service.
func TestHeldUpstreamsAreReconnected(t *testing.T) {
	b := newAssignmentRecorder()
	b.setView(membership.Serving, membership.Serving)
	b.register(ownedBy(1), true)
	b.register(ownedBy(otherDaemon), true)
	b.connectHeld()
	assert.Equal(t, len(b.connects), 2, "one upstream is owned and connected twice; the other is never connected")
}
