package totals

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarygate/api/control/v1"
)

// network is a model of two daemons, two replicas of one group, and reports on their way.
type network struct {
	now         time.Time
	daemons     []*Accumulator
	incarnation uint64
	reports     []*controlpb.ReportRequest
	books       []*Book
	cursors     [2]uint64         // change number of each book that the other one has
	true        map[string]Counts // by daemon, incarnation and day: all that was counted
	delivered   map[string]Counts // the largest delivered values
}

func newNetwork() *network {
	n := &network{now: noon, books: []*Book{NewBook(30), NewBook(30)}, true: map[string]Counts{}, delivered: map[string]Counts{}}
	n.daemons = []*Accumulator{n.start("a"), n.start("b")}
	return n
}

func (n *network) start(name string) *Accumulator {
	n.incarnation++
	return NewAccumulator(name, n.incarnation)
}

func raise(model map[string]Counts, daemon string, incarnation uint64, day Day, counts Counts) {
	at := fmt.Sprint(daemon, " ", incarnation, " ", day)
	if model[at] == nil {
		model[at] = Counts{}
	}
	model[at].keepMax(counts)
}

func sumOf(model map[string]Counts) uint64 {
	var sum uint64
	for _, counts := range model {
		for _, v := range counts {
			sum += v
		}
	}
	return sum
}

func (b *Book) sum() uint64 {
	var sum uint64
	for _, r := range Rows(b.Totals(0, 1<<30, "")) {
		sum += r.Count
	}
	return sum
}

func (n *network) step(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "daemon")
	switch rapid.IntRange(0, 7).Draw(t, "step") {
	case 0, 1:
		a := n.daemons[i]
		k := key
		k.Reason = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "reason")
		a.Add(n.now, k, rapid.Uint64Range(1, 9).Draw(t, "count"))
		day := DayOf(n.now)
		raise(n.true, a.daemon, a.incarnation, day, Counts{k: a.days[day][k].value})
	case 2:
		n.reports = append(n.reports, n.daemons[i].Report(0))
	case 3, 4:
		if len(n.reports) > 0 {
			n.deliver(rapid.SampledFrom(n.reports).Draw(t, "report"), rapid.IntRange(0, 1).Draw(t, "book"))
		}
	case 5:
		n.daemons[i] = n.start(n.daemons[i].daemon) // a crash: unreported counts are lost
	case 6:
		n.exchange(t, i, 1-i)
	case 7:
		n.restart(i)
	}
}

// restart replaces a replica by one that read its snapshot.
func (n *network) restart(book int) {
	restored := NewBook(30)
	x, _ := n.books[book].ChangesSince(0)
	restored.Merge(n.now, x)
	n.books[book], n.cursors[book] = restored, 0
}

func (n *network) deliver(r *controlpb.ReportRequest, book int) {
	n.books[book].Report(n.now, proto.CloneOf(r))
	for _, d := range r.GetDays() {
		raise(n.delivered, r.GetDaemon(), r.GetIncarnation(), Day(d.GetDay()), decode(d.GetServices()))
	}
	for _, a := range n.daemons {
		if a.daemon == r.GetDaemon() && a.incarnation == r.GetIncarnation() && book == 0 {
			a.Acknowledge(n.now, r.GetSequence())
		}
	}
}

func (n *network) exchange(t *rapid.T, from, to int) {
	var x *controlpb.TotalsExchange
	x, n.cursors[from] = n.books[from].ChangesSince(n.cursors[from])
	data, err := proto.Marshal(x)
	assert.NilError(t, err)
	var received controlpb.TotalsExchange
	assert.NilError(t, proto.Unmarshal(data, &received))
	before := n.books[to].sum()
	n.books[to].Merge(n.now, &received)
	assert.Assert(t, n.books[to].sum() >= before)
}

// Guards against totals that differ from the naive model (the maximum of the delivered
// values of each daemon, incarnation, day and counter) under crashes, lost, doubled and
// reordered reports, partitions between replicas and folding, as long as no report that is
// new to both replicas arrives after its incarnation was folded.
func TestRandomTotalsEqualModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork()
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			for range rapid.IntRange(1, 25).Draw(t, "steps") {
				n.step(t)
			}
			for _, r := range n.reports {
				n.deliver(r, rapid.IntRange(0, 1).Draw(t, "book"))
			}
			n.exchange(t, 0, 1)
			n.exchange(t, 1, 0)
			for _, b := range n.books {
				assert.Equal(t, b.sum(), sumOf(n.delivered))
			}
			n.now = n.now.Add(FoldAfter + time.Hour)
			n.books[rapid.IntRange(0, 1).Draw(t, "compacted")].Compact(n.now)
		}
	})
}

// Guards against a count that appears twice, and a total that falls, when reports arrive at
// any time and replicas fold and close on their own.
func TestRandomTotalsNeverExceedTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			n.step(t)
			if rapid.IntRange(0, 3).Draw(t, "wait") == 0 {
				n.now = n.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "hours")) * time.Hour)
			}
			b := n.books[rapid.IntRange(0, 1).Draw(t, "book")]
			before := b.sum()
			if rapid.Bool().Draw(t, "compact") {
				b.Compact(n.now)
			}
			if DayOf(n.now)-DayOf(noon) < Day(b.retention) {
				assert.Equal(t, b.sum(), before)
			}
			assert.Assert(t, b.sum() <= sumOf(n.true), "%d of %d", b.sum(), sumOf(n.true))
		}
		before := n.books[0].sum()
		n.restart(0)
		assert.Equal(t, n.books[0].sum(), before)
	})
}
