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

// assignBench records what an assignment asks for.
type assignBench struct {
	*assignment
	connects, drops []ident.UpstreamID
	handovers       []ident.DaemonID
	alive           bool
	now             time.Time
}

const otherDaemon = ident.DaemonID(2)

func newAssignBench() *assignBench {
	b := &assignBench{alive: true, now: time.Unix(1000, 0)}
	b.assignment = newAssignment(membership.Member{ID: 1, DataCentre: "dc", Incarnation: 1}, nil)
	b.connect = func(r registration.Registration) { b.connects = append(b.connects, r.Upstream) }
	b.drop = func(r registration.Registration) { b.drops = append(b.drops, r.Upstream) }
	b.handOver = func(_ ident.UpstreamID, m membership.Member) { b.handovers = append(b.handovers, m.ID) }
	b.connected = func(ident.UpstreamID) bool { return b.alive }
	return b
}

func (b *assignBench) viewChanged(now time.Time, v *membership.View) {
	b.assignment.viewChanged(now, v, ownership.NewTable(v, nil))
}

func (b *assignBench) view(states ...membership.State) {
	v := &membership.View{}
	for i, s := range states {
		v.Members = append(v.Members, membership.Member{ID: ident.DaemonID(i + 1), DataCentre: "dc", Incarnation: 1, State: s})
	}
	b.viewChanged(b.now, v)
}

// ownedBy returns a registration that the given daemon owns when both serve.
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

func (b *assignBench) hears(r registration.Registration, announced bool) {
	b.changed(b.now, []registration.Registration{r}, nil, announced)
}

// Guards against two owners: a joining daemon waits for the flows of the live owner, but
// not for those of a dead one, and not for ever.
func TestJoiningOwnerWaitsForLivePredecessor(t *testing.T) {
	b := newAssignBench()
	b.view(membership.Serving, membership.Serving)
	b.hears(ownedBy(1), false)
	assert.Equal(t, len(b.connects), 0)
	b.now = b.now.Add(handoverWait + time.Second)
	b.tick(b.now)
	assert.Equal(t, len(b.connects), 1)
}

// Guards against an upstream that is served by nobody after its owner crashed.
func TestCrashedOwnersUpstreamIsTakenAtOnce(t *testing.T) {
	b := newAssignBench()
	b.view(membership.Serving, membership.Serving)
	b.hears(ownedBy(otherDaemon), false)
	assert.Equal(t, len(b.connects), 0)
	b.view(membership.Serving, membership.Dead)
	assert.Equal(t, len(b.connects), 1)
}

// Guards against flows that stay at a daemon that is leaving.
func TestLeavingDaemonHandsOver(t *testing.T) {
	b := newAssignBench()
	b.view(membership.Serving, membership.Serving)
	b.hears(ownedBy(1), true)
	assert.Equal(t, len(b.connects), 1)
	b.view(membership.Leaving, membership.Serving)
	assert.DeepEqual(t, b.handovers, []ident.DaemonID{otherDaemon})
	b.now = b.now.Add(handoverRetry)
	b.tick(b.now)
	assert.Equal(t, len(b.handovers), 2, "a handover that failed is tried again")
}

// Guards against feeds that are cut because only the upstream's announcements were lost.
func TestLapsedLeaseKeepsConnectedUpstream(t *testing.T) {
	b := newAssignBench()
	b.view(membership.Serving, membership.Serving)
	reg := ownedBy(1)
	b.hears(reg, true)
	b.changed(b.now, nil, []ident.UpstreamID{reg.Upstream}, false)
	assert.Equal(t, len(b.drops), 0)
	assert.Assert(t, b.known[reg.Upstream].Draining)

	b.alive = false
	b.now = b.now.Add(retireGrace + time.Second)
	b.tick(b.now)
	assert.Equal(t, len(b.drops), 1)
}

// Guards against upstreams of a data centre that nobody serves after its last daemon died, and
// against a second connection when a later view leaves their owners alone.
func TestUpstreamsOfLostDataCentreAreTaken(t *testing.T) {
	b := newAssignBench()
	view := func(far, joining membership.State) {
		b.viewChanged(b.now, &membership.View{Members: []membership.Member{
			{ID: 1, DataCentre: "dc", Incarnation: 1, State: membership.Serving},
			{ID: 2, DataCentre: "far", Incarnation: 1, State: far},
			{ID: 3, DataCentre: "dc", Incarnation: 1, State: joining},
		}})
	}
	view(membership.Serving, membership.Dead)
	b.hears(registration.Registration{Upstream: 9, DataCentre: "far", Incarnation: 1}, false)
	assert.Equal(t, len(b.connects), 0)
	view(membership.Dead, membership.Dead)
	assert.Equal(t, len(b.connects), 1)
	view(membership.Dead, membership.Joining)
	assert.Equal(t, len(b.connects), 1)
}

// Guards against candidates of a service that stay after its last upstream left or moved to
// another service.
func TestConcernedServices(t *testing.T) {
	b := newAssignBench()
	b.view(membership.Serving, membership.Serving)
	reg := ownedBy(otherDaemon)
	reg.Service = 7
	b.hears(reg, false)
	b.hears(reg, false)
	assert.Equal(t, len(b.registrations(7)), 1)
	reg.Service = 8
	services := map[ident.ServiceID]bool{}
	b.concerned(registration.Changed{Set: []registration.Registration{reg}}, services)
	assert.Assert(t, services[7] && services[8])
	b.hears(reg, false)
	assert.Equal(t, len(b.registrations(7)), 0)
	clear(services)
	ch := registration.Changed{Removed: []ident.UpstreamID{reg.Upstream}}
	b.concerned(ch, services)
	b.changed(b.now, nil, ch.Removed, false)
	assert.Assert(t, services[8])
	assert.Equal(t, len(b.registrations(8)), 0)
}

// Measures a new view of 18,000 daemons in 28 data centres in which one daemon of another data
// centre changes, and the memory of the assignment, by upstreams known. 7,860 are those of two
// data centres, which a daemon keeps; the other sizes are spread over all data centres.
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
			a := newAssignBench()
			a.viewChanged(a.now, states[0])
			before := liveHeap()
			for u := range upstreams {
				a.hears(registration.Registration{
					Service: ident.ServiceID(u % services), Upstream: ident.UpstreamID(u), DataCentre: names[u%centres], Incarnation: 1,
				}, false)
			}
			held := float64(liveHeap() - before)
			for i := 0; b.Loop(); i++ {
				a.viewChanged(a.now, states[(i+1)%2])
			}
			b.ReportMetric(held, "live-bytes")
		})
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against an upstream that is never connected because its registration came before
// the configuration of its service.
func TestHeldUpstreamsAreConnectedAgain(t *testing.T) {
	b := newAssignBench()
	b.view(membership.Serving, membership.Serving)
	b.hears(ownedBy(1), true)
	b.hears(ownedBy(otherDaemon), true)
	b.connectHeld()
	assert.Equal(t, len(b.connects), 2, "the own upstream twice, the other never")
}
