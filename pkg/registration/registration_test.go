package registration_test

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/ownership"
	"rosemarygate/pkg/registration"
)

func (n *network) owner(r registration.Registration) *node {
	m, ok := ownership.Owner(n.randomDaemon(r.DataCentre).view, r.DataCentre, r.Upstream)
	assert.Assert(n.t, ok)
	return n.byID[m.ID]
}

// ownerInFirstView returns the owner according to the view of the first daemon.
func (n *network) ownerInFirstView(r registration.Registration) *node {
	if v := n.nodes[0].view; n.tableView != v {
		n.tableView = v
		n.table = ownership.NewTable(v, nil)
	}
	m, ok := n.table.Owner(r.DataCentre, r.Upstream)
	assert.Assert(n.t, ok)
	return n.byID[m.ID]
}

func (n *network) withdraw(r registration.Registration) registration.Answer {
	return n.submit(n.randomDaemon(r.DataCentre), registration.Withdraw{
		Upstream: r.Upstream, DataCentre: r.DataCentre, Incarnation: r.Incarnation,
	})
}

// Guards against daemons of the data centre that still give new work to an upstream more than 2 s
// after it started draining, was withdrawn or lost its lease.
func TestEndedRegistrationReachesAllDaemonsWithinTwoSeconds(t *testing.T) {
	for _, members := range []int{7, 100} {
		var slowest time.Duration
		for seed := range uint64(3) {
			n := cluster(t, seed, members, 1)
			n.loss = 0.05
			drained, withdrawn, expired := upstream(1, "dc-0", 1), upstream(2, "dc-0", 1), upstream(3, "dc-0", 1)
			n.renewFor(4*time.Second, drained, withdrawn, expired)
			assert.Equal(t, members, n.countListed(drained))
			assert.Equal(t, members, n.countListed(withdrawn))

			drained.Draining = true
			n.announce(n.randomDaemon("dc-0"), drained)
			assert.Equal(t, registration.Reason(0), n.withdraw(withdrawn).Refusal)
			took := n.runUntil(5*time.Second, func() bool { return n.countListed(withdrawn) == 0 && n.countDraining(drained) == members })
			slowest = max(slowest, took)
			n.renewFor(3*time.Second, drained)
			gone := n.runUntil(5*time.Second, func() bool { return n.countListed(expired) == 0 })
			assert.Assert(t, gone < 2*time.Second, "expired registration removed after %v", gone)
			assert.Equal(t, members, n.countDraining(drained))
		}
		t.Logf("%d members: all daemons updated after %v", members, slowest)
		assert.Assert(t, slowest < 2*time.Second)
	}
}

func (n *network) countDraining(r registration.Registration) int {
	count := 0
	for _, d := range n.nodes {
		if have, ok := d.registry.Find(r.Upstream); ok && have.Draining {
			count++
		}
	}
	return count
}

// Guards against delayed announcements and withdrawals of a previous process of an upstream.
func TestSmallerIncarnationIsRefused(t *testing.T) {
	n := cluster(t, 1, 7, 1)
	first, second := upstream(1, "dc-0", 1), upstream(1, "dc-0", 2)
	assert.Equal(t, registration.Reason(0), n.announce(n.randomDaemon("dc-0"), first).Refusal)
	assert.Equal(t, registration.Reason(0), n.announce(n.randomDaemon("dc-0"), second).Refusal)
	assert.Equal(t, registration.Superseded, n.announce(n.randomDaemon("dc-0"), first).Refusal)
	assert.Equal(t, registration.Superseded, n.withdraw(first).Refusal)
	n.renewFor(2*time.Second, second)
	assert.Equal(t, 7, n.countListed(second))
	assert.Equal(t, registration.Reason(0), n.withdraw(second).Refusal)
	assert.Equal(t, registration.Withdrawn, n.announce(n.randomDaemon("dc-0"), second).Refusal)
	broken := upstream(2, "dc-0", 1)
	broken.Name = ""
	assert.Equal(t, registration.Malformed, n.announce(n.randomDaemon("dc-0"), broken).Refusal)
}

// Guards against the loss of a registration that its upstream still renews when the owner
// crashes.
func TestNewOwnerTakesRegistrationOver(t *testing.T) {
	for seed := range uint64(3) {
		n := cluster(t, seed, 7, 1)
		kept, lost := upstream(1, "dc-0", 1), upstream(2, "dc-0", 1)
		n.renewFor(3*time.Second, kept, lost)
		n.owner(kept).down = true
		n.onChange = func(d *node) {
			_, ok := d.registry.Find(kept.Upstream)
			assert.Assert(t, ok, "%s dropped the registration", d.member.Name)
		}
		n.renewFor(10*time.Second, kept)
		assert.Equal(t, 6, n.countListed(kept))
		assert.Equal(t, 0, n.countListed(lost))
	}
}

// Guards against a partitioned daemon that keeps registrations whose owners it cannot reach, and
// that ends the leases of other daemons when the partition heals.
func TestPartitionedDaemonDropsRegistrations(t *testing.T) {
	n := cluster(t, 2, 7, 1)
	r := upstream(1, "dc-0", 1)
	n.renewFor(3*time.Second, r)
	owner := n.owner(r)
	isolated := n.nodes[0]
	if isolated == owner {
		isolated = n.nodes[1]
	}
	n.blocked = func(a, b *node) bool { return (a == isolated) != (b == isolated) }
	n.onChange = func(d *node) {
		_, ok := d.registry.Find(r.Upstream)
		assert.Assert(t, ok || d == isolated, "%s dropped the registration", d.member.Name)
	}
	renew := func(d time.Duration) {
		for range int(d / time.Second) {
			n.announce(owner, r)
			n.run(time.Second)
		}
	}
	renew(8 * time.Second)
	assert.Equal(t, 6, n.countListed(r))
	n.blocked = nil
	renew(15 * time.Second)
	assert.Equal(t, 7, n.countListed(r))
}

// Guards against registrations that do not reach other data centres, and against upstreams
// without an owner when their data centre has no daemons.
func TestRegistrationsReachOtherDataCentres(t *testing.T) {
	n := cluster(t, 3, 36, 3)
	r := upstream(1, "dc-1", 1)
	n.renewFor(5*time.Second, r)
	assert.Equal(t, 36, n.countListed(r))
	for _, d := range n.nodes {
		d.down = d.member.DataCentre == "dc-1"
	}
	for range 12 {
		n.announce(n.randomDaemon("dc-0"), r)
		n.run(time.Second)
	}
	assert.Equal(t, 24, n.countListed(r))
	n.run(12 * time.Second)
	assert.Equal(t, 0, n.countListed(r))
}

// Guards against daemons that receive no load samples of an upstream.
func TestLoadIsSampled(t *testing.T) {
	const upstreams = 19
	n := cluster(t, 1, 7, 1)
	var list []registration.Registration
	for i := range upstreams {
		list = append(list, upstream(i, "dc-0", 1))
	}
	for range 10 {
		n.reportLoads(list)
		n.renewFor(time.Second, list...)
	}
	var ages []time.Duration
	for _, d := range n.nodes {
		for _, r := range list {
			if n.owner(r) != d {
				ages = append(ages, n.now.Sub(d.loadTimes[r.Upstream]))
			}
		}
	}
	slices.Sort(ages)
	p95, oldest := ages[len(ages)*95/100], ages[len(ages)-1]
	t.Logf("age of loads at other daemons: median %v, p95 %v, oldest %v", ages[len(ages)/2], p95, oldest)
	assert.Assert(t, p95 < 6*time.Second)
	assert.Assert(t, oldest < 10*time.Second)
}

func (n *network) reportLoads(list []registration.Registration) {
	for i, r := range list {
		d := n.ownerInFirstView(r)
		load := registration.Load{Upstream: r.Upstream, Flows: 1000 + i, Running: 2, Queued: 5, Healthy: true, At: n.now}
		n.stepRegistration(d, registration.LoadReport{Load: load})
	}
}

// Guards against withdrawn registrations that reappear and incarnations that decrease after
// message loss, crashes, partitions and delayed announcements at any daemon.
func TestWithdrawnRegistrationStaysWithdrawn(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := cluster(t, rapid.Uint64().Draw(r, "seed"), 5, 1)
		n.loss = rapid.Float64Range(0, 0.2).Draw(r, "loss")
		monitor := newListingMonitor(r)
		n.onChange = monitor.check
		incarnation := ident.Incarnation(1)
		for range rapid.IntRange(1, 12).Draw(r, "steps") {
			d := n.nodes[rapid.IntRange(0, 4).Draw(r, "daemon")]
			u := upstream(1, "dc-0", ident.Incarnation(rapid.IntRange(1, int(incarnation)).Draw(r, "incarnation")))
			switch rapid.IntRange(0, 4).Draw(r, "operation") {
			case 0:
				n.announce(d, u)
			case 1:
				answer := n.submit(d, registration.Withdraw{Upstream: u.Upstream, DataCentre: "dc-0", Incarnation: u.Incarnation})
				if answer.Refusal == 0 {
					monitor.withdrawn[n.byID[answer.Owner.ID]] = u.Incarnation
				}
			case 2:
				incarnation++
			case 3:
				d.down = true
				n.run(3 * time.Second)
				d.down = false
				n.push(delivery{at: n.now, to: d})
			case 4:
				n.blocked = func(a, b *node) bool { return (a == d) != (b == d) }
				n.run(4 * time.Second)
				n.blocked = nil
			}
			n.run(time.Duration(rapid.IntRange(0, 3000).Draw(r, "pause ms")) * time.Millisecond)
		}
	})
}

// listingMonitor records what each daemon has listed.
type listingMonitor struct {
	r         *rapid.T
	last      map[*node]ident.Incarnation
	withdrawn map[*node]ident.Incarnation // by the daemon that accepted the withdrawal
}

func newListingMonitor(r *rapid.T) *listingMonitor {
	return &listingMonitor{r: r, last: make(map[*node]ident.Incarnation), withdrawn: make(map[*node]ident.Incarnation)}
}

func (m *listingMonitor) check(d *node) {
	u, ok := d.registry.Find(upstream(1, "dc-0", 1).Upstream)
	if !ok {
		return
	}
	if u.Incarnation < m.last[d] {
		m.r.Fatalf("%s lists incarnation %d after %d", d.member.Name, u.Incarnation, m.last[d])
	}
	m.last[d] = u.Incarnation
	if u.Incarnation <= m.withdrawn[d] {
		m.r.Fatalf("%s lists incarnation %d, withdrawn %d", d.member.Name, u.Incarnation, m.withdrawn[d])
	}
}

// Guards against a live copy with a larger version, made by a daemon that did not receive the
// withdrawal, that revives a withdrawn registration.
func TestWithdrawnPrevailsOverLargerVersion(t *testing.T) {
	n := cluster(t, 1, 3, 1)
	u := upstream(1, "dc-0", 1)
	n.renewFor(2*time.Second, u)
	assert.Equal(t, registration.Reason(0), n.withdraw(u).Refusal)
	n.run(time.Second)
	address, err := u.Addr.MarshalBinary()
	assert.NilError(t, err)
	data, err := proto.Marshal(&peerpb.RegistrationUpdate{Records: []*peerpb.RegistrationRecord{{
		Upstream: uint64(u.Upstream), Incarnation: 1, Version: 99, State: peerpb.RegistrationRecord_STATE_LIVE,
		Author: 1, Service: uint64(u.Service), Name: u.Name, DataCentre: u.DataCentre, Address: address, Slots: 3,
	}}})
	assert.NilError(t, err)
	for _, d := range n.nodes {
		n.stepRegistration(d, registration.AttachmentReceived{From: n.nodes[0].member.ID, Data: data})
	}
	assert.Equal(t, 0, n.countListed(u))
}
