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

type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// keeps tells whether a daemon has to keep the registrations of a data centre.
func (n *network) keeps(d *node, dataCentre string) bool {
	limit := 6
	if n.keepAll != 0 {
		limit = n.keepAll
	}
	table := ownership.NewTable(d.view, nil)
	all := table.DataCentres() <= limit
	return all || d.member.DataCentre == dataCentre || table.Successor(ident.DataCentre(dataCentre)) == d.member.DataCentre
}

// checkCopies fails unless exactly the daemons that keep a data centre, or have been asked for
// the service, have its registration.
func (n *network) checkCopies(t fataler, r registration.Registration) {
	t.Helper()
	for _, d := range n.nodes {
		have, ok := d.registry.Find(r.Upstream)
		if !d.down && (ok != (d.asked[r.Service] || n.keeps(d, r.DataCentre)) || ok && have.Incarnation != r.Incarnation) {
			t.Fatalf("%s of %s: registration of %s is there: %v, incarnation %d", d.member.Name, d.member.DataCentre, r.DataCentre, ok, have.Incarnation)
		}
	}
}

// find asks all running daemons for a service until they know the registration.
func (n *network) find(limit time.Duration, r registration.Registration) time.Duration {
	for _, d := range n.nodes {
		if !d.down {
			n.askFor(d, r.Service)
		}
	}
	return n.until(limit, func() bool { return n.listed(r) == n.running() })
}

func (n *network) askFor(d *node, s ident.ServiceID) {
	n.register(d, registration.Asked{Service: s})
	d.asked[s] = true
}

// askAgain repeats what callers ask for: a service counts as wanted only while they do.
func (n *network) askAgain() {
	for _, d := range n.nodes {
		for s := range d.asked {
			n.register(d, registration.Asked{Service: s})
		}
	}
}

func (n *network) running() int {
	count := 0
	for _, d := range n.nodes {
		if !d.down {
			count++
		}
	}
	return count
}

// setDown stops or starts the daemons of a data centre; with their memory, as after a pause.
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

// renewingAnywhere is renewing for upstreams that try daemons of other data centres when theirs
// has none left.
func (n *network) renewingAnywhere(d time.Duration, list []registration.Registration) {
	for end := n.now.Add(d); n.now.Before(end); {
		for _, r := range list {
			near := n.nodes[n.rng.IntN(len(n.nodes))]
			for _, d := range n.nodes {
				if !d.down && (near.down || d.member.DataCentre == r.DataCentre) {
					near = d
				}
			}
			n.announce(near, r)
		}
		n.run(min(time.Second, end.Sub(n.now)))
	}
}

const (
	manyCentres = 8
	fewKept     = 3
	dropAfter   = 2 * time.Second
	// settles is longer than the time between two digests, dropAfter and the time between two
	// cleanings.
	settles = 30 * time.Second
	// foundWithin bounds the time until the upstreams of a service are known: both rounds of
	// questions, of which one may be lost.
	foundWithin = time.Second
)

// manyUpstreams returns two upstreams of a service of its own for each data centre.
func manyUpstreams() []registration.Registration {
	var list []registration.Registration
	for i := range 2 * manyCentres {
		dc := fmt.Sprintf("dc-%d", i%manyCentres)
		list = append(list, upstreamOf("user/"+dc, i, dc, 1))
	}
	return list
}

// Guards against kept registrations that differ for ever between the daemons of a data centre,
// registrations that stay where nobody needs them, and services that a daemon cannot find
// although an upstream lives in some data centre, after partitions, restarts, lost messages and
// data centres without daemons.
func TestKeptSetsConverge(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := largeCluster(t, rapid.Uint64().Draw(r, "seed"), 2*manyCentres, manyCentres, fewKept)
		n.loss = rapid.Float64Range(0, 0.2).Draw(r, "loss")
		list := manyUpstreams()
		n.renewingAnywhere(3*time.Second, list)
		for range rapid.IntRange(1, 5).Draw(r, "steps") {
			n.disturb(r, list)
		}
		n.loss = 0
		n.renewingAnywhere(settles, list)
		n.askAgain()
		n.renewingAnywhere(foundWithin, list)
		for _, u := range list {
			n.checkCopies(r, u)
		}
		for _, u := range list {
			if took := n.find(foundWithin, u); took >= foundWithin {
				r.Fatalf("upstream of %s known to %d daemons after %v", u.DataCentre, n.listed(u), took)
			}
		}
	})
}

func (n *network) disturb(r *rapid.T, list []registration.Registration) {
	dc := fmt.Sprintf("dc-%d", rapid.IntRange(0, manyCentres-1).Draw(r, "data centre"))
	d := n.nodes[rapid.IntRange(1, len(n.nodes)-1).Draw(r, "daemon")]
	pause := time.Duration(rapid.IntRange(0, 6000).Draw(r, "pause ms")) * time.Millisecond
	switch rapid.IntRange(0, 5).Draw(r, "operation") {
	case 0:
		n.cut = func(a, b *node) bool { return (a.member.DataCentre == dc) != (b.member.DataCentre == dc) }
	case 1:
		n.cut = func(a, b *node) bool { return (a.member.DataCentre < dc) != (b.member.DataCentre < dc) }
	case 2:
		n.replaceProcess(d)
	case 3:
		n.setDown(dc, true)
	case 4:
		n.askFor(d, list[len(n.nodes)-1].Service)
	case 5:
		i := rapid.IntRange(0, len(list)-1).Draw(r, "upstream")
		list[i].Incarnation++
	}
	n.renewingAnywhere(pause, list)
	n.cut = nil
	n.setDown(dc, false)
}

// Guards against an orphaned data centre whose successor has no copy of its registrations when
// its last daemon dies, and whose service the others cannot find, or keep after it ended.
func TestOrphanedDataCentreStaysReachable(t *testing.T) {
	n := largeCluster(t, 5, 2*manyCentres, manyCentres, fewKept)
	list := manyUpstreams()
	n.renewingAnywhere(20*time.Second, list)
	orphan := list[2]
	n.onChange = func(d *node) {
		_, ok := d.registry.Find(orphan.Upstream)
		assert.Assert(t, ok || !n.keeps(d, orphan.DataCentre), "%s dropped the registration", d.member.Name)
	}
	n.setDown(orphan.DataCentre, true)
	n.renewingAnywhere(10*time.Second, list)
	n.checkCopies(t, orphan)
	assert.Assert(t, n.find(foundWithin, orphan) < foundWithin)
	n.onChange = nil

	kept := list[2+manyCentres]
	gone := n.until(10*time.Second, func() bool { return n.listed(orphan) == 0 })
	t.Logf("lease ended, known to all daemons after %v", gone)
	assert.Assert(t, gone < 6*time.Second)
	n.renewingAnywhere(4*time.Second, []registration.Registration{kept})
	assert.Assert(t, n.find(foundWithin, kept) < foundWithin)
	kept.Draining = true
	n.announce(n.pick("dc-0"), kept)
	took := n.until(5*time.Second, func() bool { return n.draining(kept) == n.running() })
	t.Logf("draining known to all daemons after %v", took)
	assert.Assert(t, took < 2*time.Second)
}

// Guards against the traffic of services that callers no longer ask for, and against a daemon
// that asks although it keeps everything.
func TestWantedServiceIsForgotten(t *testing.T) {
	n := largeCluster(t, 6, 2*manyCentres, manyCentres, fewKept)
	r := manyUpstreams()[2]
	n.renewing(10*time.Second, r)
	assert.Assert(t, n.find(foundWithin, r) < foundWithin)
	n.renewing(6*time.Minute, r)
	for _, d := range n.nodes {
		clear(d.asked)
	}
	n.checkCopies(t, r)
}
