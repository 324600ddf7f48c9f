package registration_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/ownership"
	"rosemarygate/pkg/registration"
)

type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// keeps reports whether a daemon has to keep the registrations of a data centre.
func (n *network) keeps(d *node, dataCentre string) bool {
	limit := 6
	if n.keepAllLimit != 0 {
		limit = n.keepAllLimit
	}
	table := ownership.NewTable(d.view, nil)
	all := table.DataCentreCount() <= limit
	return all || d.member.DataCentre == dataCentre || table.Successor(ident.DataCentre(dataCentre)) == d.member.DataCentre
}

// checkCopies fails unless a registration is stored by exactly the daemons that keep its data
// centre or got a request for its service.
func (n *network) checkCopies(t failer, r registration.Registration) {
	t.Helper()
	for _, d := range n.nodes {
		have, ok := d.registry.Find(r.Upstream)
		if !d.down && (ok != (d.requested[r.Service] || n.keeps(d, r.DataCentre)) || ok && have.Incarnation != r.Incarnation) {
			t.Fatalf("%s in %s: has the registration of %s: %v, incarnation %d", d.member.Name, d.member.DataCentre, r.DataCentre, ok, have.Incarnation)
		}
	}
}

// requestEverywhere requests a service at all running daemons, waits until all of them have the
// registration, and returns the elapsed time.
func (n *network) requestEverywhere(limit time.Duration, r registration.Registration) time.Duration {
	for _, d := range n.nodes {
		if !d.down {
			n.requestService(d, r.Service)
		}
	}
	return n.runUntil(limit, func() bool { return n.countListed(r) == n.countRunning() })
}

func (n *network) requestService(d *node, s ident.ServiceID) {
	n.stepRegistration(d, registration.ServiceRequested{Service: s})
	d.requested[s] = true
}

// repeatRequests repeats the requests of callers: a service counts as wanted only while requests
// arrive.
func (n *network) repeatRequests() {
	for _, d := range n.nodes {
		for s := range d.requested {
			n.stepRegistration(d, registration.ServiceRequested{Service: s})
		}
	}
}

func (n *network) countRunning() int {
	count := 0
	for _, d := range n.nodes {
		if !d.down {
			count++
		}
	}
	return count
}

// setDown pauses or resumes the daemons of a data centre; they keep their memory.
func (n *network) setDown(dataCentre string, down bool) {
	for _, d := range n.nodes {
		if d.member.DataCentre == dataCentre && d.down != down {
			d.down = down
			if !down {
				n.push(delivery{at: n.now, to: d})
			}
		}
	}
}

// renewAnywhereFor is renewFor for upstreams that announce themselves to daemons of other data
// centres when their own has no running daemon.
func (n *network) renewAnywhereFor(d time.Duration, list []registration.Registration) {
	for end := n.now.Add(d); n.now.Before(end); {
		for _, r := range list {
			target := n.nodes[n.rng.IntN(len(n.nodes))]
			for _, d := range n.nodes {
				if !d.down && (target.down || d.member.DataCentre == r.DataCentre) {
					target = d
				}
			}
			n.announce(target, r)
		}
		n.run(min(time.Second, end.Sub(n.now)))
	}
}

const (
	dataCentreCount = 8
	keepAllLimit    = 3
	dropAfter       = 2 * time.Second
	// settleTime is longer than the time between two digests, dropAfter and cleanEvery.
	settleTime = 30 * time.Second
	// lookupBound bounds the time until the upstreams of a service are found: two rounds of
	// queries, of which one may be lost.
	lookupBound = time.Second
)

// upstreamsInAllDataCentres returns two upstreams for each data centre, which has its own
// service.
func upstreamsInAllDataCentres() []registration.Registration {
	var list []registration.Registration
	for i := range 2 * dataCentreCount {
		dc := fmt.Sprintf("dc-%d", i%dataCentreCount)
		list = append(list, upstreamOf("user/"+dc, i, dc, 1))
	}
	return list
}

// Guards against kept registrations that differ permanently between the daemons of a data centre,
// registrations that stay where they are not needed, and services that a daemon cannot find
// although an upstream is live in some data centre. Faults are partitions, restarts, lost
// messages and data centres without daemons.
func TestKeptSetsConverge(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := largeCluster(t, rapid.Uint64().Draw(r, "seed"), 2*dataCentreCount, dataCentreCount, keepAllLimit)
		n.loss = rapid.Float64Range(0, 0.2).Draw(r, "loss")
		list := upstreamsInAllDataCentres()
		n.renewAnywhereFor(3*time.Second, list)
		for range rapid.IntRange(1, 5).Draw(r, "steps") {
			n.injectFault(r, list)
		}
		n.loss = 0
		n.renewAnywhereFor(settleTime, list)
		n.repeatRequests()
		n.renewAnywhereFor(lookupBound, list)
		for _, u := range list {
			n.checkCopies(r, u)
		}
		for _, u := range list {
			if took := n.requestEverywhere(lookupBound, u); took >= lookupBound {
				r.Fatalf("registration of the upstream in %s found by %d daemons after %v", u.DataCentre, n.countListed(u), took)
			}
		}
	})
}

func (n *network) injectFault(r *rapid.T, list []registration.Registration) {
	dc := fmt.Sprintf("dc-%d", rapid.IntRange(0, dataCentreCount-1).Draw(r, "data centre"))
	d := n.nodes[rapid.IntRange(1, len(n.nodes)-1).Draw(r, "daemon")]
	pause := time.Duration(rapid.IntRange(0, 6000).Draw(r, "pause ms")) * time.Millisecond
	switch rapid.IntRange(0, 5).Draw(r, "operation") {
	case 0:
		n.blocked = func(a, b *node) bool { return (a.member.DataCentre == dc) != (b.member.DataCentre == dc) }
	case 1:
		n.blocked = func(a, b *node) bool { return (a.member.DataCentre < dc) != (b.member.DataCentre < dc) }
	case 2:
		n.replaceProcess(d)
	case 3:
		n.setDown(dc, true)
	case 4:
		n.requestService(d, list[len(n.nodes)-1].Service)
	case 5:
		i := rapid.IntRange(0, len(list)-1).Draw(r, "upstream")
		list[i].Incarnation++
	}
	n.renewAnywhereFor(pause, list)
	n.blocked = nil
	n.setDown(dc, false)
}

// Guards against an orphaned data centre whose successor has no copy of its registrations when
// its last daemon dies, and against other data centres that cannot find its service or keep it
// after it ended.
func TestOrphanedDataCentreStaysReachable(t *testing.T) {
	n := largeCluster(t, 5, 2*dataCentreCount, dataCentreCount, keepAllLimit)
	list := upstreamsInAllDataCentres()
	n.renewAnywhereFor(20*time.Second, list)
	orphan := list[2]
	n.onChange = func(d *node) {
		_, ok := d.registry.Find(orphan.Upstream)
		assert.Assert(t, ok || !n.keeps(d, orphan.DataCentre), "%s dropped the registration", d.member.Name)
	}
	n.setDown(orphan.DataCentre, true)
	n.renewAnywhereFor(10*time.Second, list)
	n.checkCopies(t, orphan)
	assert.Assert(t, n.requestEverywhere(lookupBound, orphan) < lookupBound)
	n.onChange = nil

	kept := list[2+dataCentreCount]
	gone := n.runUntil(10*time.Second, func() bool { return n.countListed(orphan) == 0 })
	t.Logf("expired registration removed by all daemons after %v", gone)
	assert.Assert(t, gone < 6*time.Second)
	n.renewAnywhereFor(4*time.Second, []registration.Registration{kept})
	assert.Assert(t, n.requestEverywhere(lookupBound, kept) < lookupBound)
	kept.Draining = true
	n.announce(n.randomDaemon("dc-0"), kept)
	took := n.runUntil(5*time.Second, func() bool { return n.countDraining(kept) == n.countRunning() })
	t.Logf("draining state reached all daemons after %v", took)
	assert.Assert(t, took < 2*time.Second)
}

// Guards against traffic for services that callers no longer request, and against a daemon that
// sends queries although it keeps all registrations.
func TestWantedServiceExpires(t *testing.T) {
	n := largeCluster(t, 6, 2*dataCentreCount, dataCentreCount, keepAllLimit)
	r := upstreamsInAllDataCentres()[2]
	n.renewFor(10*time.Second, r)
	assert.Assert(t, n.requestEverywhere(lookupBound, r) < lookupBound)
	n.renewFor(6*time.Minute, r)
	for _, d := range n.nodes {
		clear(d.requested)
	}
	n.checkCopies(t, r)
}
