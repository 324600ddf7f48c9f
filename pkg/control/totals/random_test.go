package totals

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarygate/api/control/v1"
)

const (
	retention = 60 // days
	replicas  = 5
)

// host is a replica with its files.
type host struct {
	Place
	book   *Book
	disk   map[Day][]byte
	sent   map[string]uint64
	taken  map[string]Counts // what daemons reported to it since its last save or copy
	holder []string
}

// network is a model of daemons, replicas in three data centres and reports on their way.
type network struct {
	now         time.Time
	daemons     []*Accumulator
	incarnation uint64
	reports     []*controlpb.ReportRequest
	hosts       []*host
	counted     map[string]Counts // by daemon, incarnation and day
	delivered   map[string]Counts // the largest delivered values
	safe        map[string]Counts // what no single failure may lose
}

func newNetwork() *network {
	n := &network{now: noon, counted: map[string]Counts{}, delivered: map[string]Counts{}, safe: map[string]Counts{}}
	n.daemons = []*Accumulator{n.start("a"), n.start("b")}
	var places []Place
	for i := range replicas {
		places = append(places, Place{fmt.Sprint("r", i), fmt.Sprint("dc", i/2)})
	}
	for i, p := range places {
		h := &host{Place: p, book: NewBook(p.Name, retention), disk: map[Day][]byte{}, sent: map[string]uint64{}, taken: map[string]Counts{}}
		h.holder = Holders(p, slices.Delete(slices.Clone(places), i, i+1))
		n.hosts = append(n.hosts, h)
	}
	return n
}

func (n *network) start(name string) *Accumulator {
	n.incarnation++
	return NewAccumulator(name, n.incarnation)
}

func raise(model map[string]Counts, at string, counts Counts) {
	if model[at] == nil {
		model[at] = Counts{}
	}
	model[at].keepMax(counts)
}

func place(daemon string, incarnation uint64, day Day) string {
	return fmt.Sprint(daemon, " ", incarnation, " ", day)
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
	for _, d := range b.days {
		for _, v := range d.total() {
			sum += v
		}
	}
	return sum
}

// sum returns what a query of all replicas returns.
func (n *network) sum(t *rapid.T) uint64 {
	answers := map[Day][]*controlpb.DayTotals{}
	for _, h := range n.hosts {
		for day, content := range h.days(t) {
			answers[day] = append(answers[day], h.book.Choose(content, Query{}))
		}
	}
	var sum uint64
	for day, list := range answers {
		for _, r := range Rows([]*controlpb.DayCounters{Combine(day, list)}) {
			sum += r.Count
		}
	}
	return sum
}

// days returns the days of a replica, those in memory before those on the disk.
func (h *host) days(t *rapid.T) map[Day]*controlpb.DayTotals {
	out := map[Day]*controlpb.DayTotals{}
	for day, data := range h.disk {
		out[day] = new(controlpb.DayTotals)
		assert.NilError(t, proto.Unmarshal(data, out[day]))
	}
	for _, day := range h.book.Days() {
		out[day] = h.book.Day(day)
	}
	return out
}

// load takes the days that are about to be merged from the disk.
func (n *network) load(t *rapid.T, h *host, days ...int32) {
	for _, day := range days {
		if data := h.disk[Day(day)]; data != nil && !h.book.Holds(Day(day)) {
			n.mergeDay(t, h, data)
		}
	}
}

func (n *network) mergeDay(t *rapid.T, h *host, data []byte) {
	x := new(controlpb.DayTotals)
	assert.NilError(t, proto.Unmarshal(data, x))
	h.book.Merge(n.now, &controlpb.TotalsExchange{Days: []*controlpb.DayTotals{x}})
}

func (n *network) save(h *host) {
	days := h.book.Unsaved()
	for _, day := range days {
		h.disk[day], _ = proto.Marshal(h.book.Day(day))
	}
	h.book.Saved(days, h.book.Changes())
	h.book.Evict(n.now, min(h.sent[h.holder[0]], h.sent[h.holder[1]]))
	n.keep(h)
}

// keep notes that one failure does not lose what daemons reported to a replica any more.
func (n *network) keep(h *host) {
	for at, counts := range h.taken {
		raise(n.safe, at, counts)
	}
	clear(h.taken)
}

// restart replaces a replica by one that reads its files and asks the others for what they owe it.
func (n *network) restart(t *rapid.T, h *host, lost bool) {
	if lost {
		clear(h.disk)
	}
	newest := Day(math.MinInt32)
	for day := range h.disk {
		newest = max(newest, day)
	}
	h.book = NewBook(h.Name, retention)
	clear(h.sent)
	clear(h.taken)
	for day, data := range h.disk {
		if day >= OldestUncopied(n.now) {
			n.mergeDay(t, h, data)
		}
	}
	for _, other := range n.hosts {
		if other != h {
			n.giveBack(t, other, h, FirstIncomplete(newest))
		}
	}
	n.save(h)
}

func (n *network) giveBack(t *rapid.T, from, to *host, first Day) {
	for day, content := range from.days(t) {
		if day < first {
			continue
		}
		chosen := from.book.Choose(content, Query{OwedTo: to.Name, Copies: slices.Contains(from.holder, to.Name)})
		data, err := proto.Marshal(chosen)
		assert.NilError(t, err)
		n.load(t, to, int32(day))
		n.mergeDay(t, to, data)
	}
}

// share copies to one holder, or to all.
func (n *network) share(t *rapid.T, h *host, names ...string) {
	for _, name := range names {
		to := n.hosts[slices.IndexFunc(n.hosts, func(o *host) bool { return o.Name == name })]
		x, change := h.book.ReportedSince(h.sent[name])
		for _, d := range x.GetDays() {
			data, err := proto.Marshal(d)
			assert.NilError(t, err)
			n.load(t, to, d.GetDay())
			n.mergeDay(t, to, data)
		}
		h.sent[name] = change
	}
	if len(names) == Copies {
		n.keep(h)
	}
}

func (n *network) deliver(t *rapid.T, r *controlpb.ReportRequest, h *host) {
	for _, d := range r.GetDays() {
		n.load(t, h, d.GetDay())
		at := place(r.GetDaemon(), r.GetIncarnation(), Day(d.GetDay()))
		raise(n.delivered, at, decode(d.GetServices()))
		raise(h.taken, at, decode(d.GetServices()))
	}
	h.book.Report(n.now, proto.CloneOf(r))
	for _, a := range n.daemons {
		if a.daemon == r.GetDaemon() && a.incarnation == r.GetIncarnation() && h == n.hosts[0] {
			a.Acknowledge(n.now, r.GetSequence())
		}
	}
}

func (n *network) step(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "daemon")
	h := n.hosts[rapid.IntRange(0, replicas-1).Draw(t, "replica")]
	switch rapid.IntRange(0, 10).Draw(t, "step") {
	case 0, 1:
		a := n.daemons[i]
		k := key
		k.Reason = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "reason")
		a.Add(n.now, k, rapid.Uint64Range(1, 9).Draw(t, "count"))
		day := DayOf(n.now)
		raise(n.counted, place(a.daemon, a.incarnation, day), Counts{k: a.days[day][k].value})
	case 2:
		n.reports = append(n.reports, n.daemons[i].Report(0))
	case 3, 4:
		if len(n.reports) > 0 {
			n.deliver(t, n.reports[rapid.IntRange(0, len(n.reports)-1).Draw(t, "report")], h)
		}
	case 5:
		n.daemons[i] = n.start(n.daemons[i].daemon) // a crash: unreported counts are lost
	case 6:
		n.daemons[i].ResendAll() // it changes the replica that it reports to
	case 7:
		n.share(t, h, h.holder[rapid.IntRange(0, 1).Draw(t, "holder")])
	case 8:
		n.share(t, h, h.holder...)
	case 9:
		n.save(h)
	case 10:
		n.restart(t, h, false)
	}
}

// Guards against totals that differ from the naive model (the maximum of the delivered values of
// each daemon, incarnation, day and counter): lost or doubled counts when daemons crash or change
// their replica, reports are lost, doubled, reordered or late by days, replicas crash before they
// saved, or are partitioned, and one loses its disk.
func TestRandomTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork()
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				n.step(t)
				sum := n.sum(t)
				assert.Assert(t, sumOf(n.safe) <= sum, "%d of %d", sum, sumOf(n.safe))
				assert.Assert(t, sum <= sumOf(n.delivered), "%d of %d", sum, sumOf(n.delivered))
			}
			assert.Assert(t, sumOf(n.delivered) <= sumOf(n.counted))
			for _, h := range n.hosts {
				n.share(t, h, h.holder...)
			}
			n.restart(t, n.hosts[rapid.IntRange(0, replicas-1).Draw(t, "lost disk")], true)
			assert.Assert(t, sumOf(n.safe) <= n.sum(t), "after a lost disk")
			for _, r := range n.reports {
				n.deliver(t, r, n.hosts[rapid.IntRange(0, replicas-1).Draw(t, "replica")])
			}
			assert.Equal(t, n.sum(t), sumOf(n.delivered), "all reports delivered again")
			n.now = n.now.Add(time.Duration(rapid.IntRange(0, 4*24).Draw(t, "hours")) * time.Hour)
		}
	})
}

// Guards against more copies than planned, and against fewer: after a lost disk the replica holds
// again what it held, closed days included.
func TestRandomCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n.step(t)
			if rapid.IntRange(0, 9).Draw(t, "wait") == 0 && DayOf(n.now)-DayOf(noon) < uncopiedDays {
				n.now = n.now.Add(24 * time.Hour)
			}
		}
		for _, h := range n.hosts {
			n.share(t, h, h.holder...)
		}
		taken := map[string]map[string]bool{} // by daemon and day: replicas that took its counters, and their holders
		held := map[string][]string{}
		for _, h := range n.hosts {
			for day, content := range h.days(t) {
				for _, d := range content.GetDaemons() {
					at := fmt.Sprint(d.GetDaemon(), " ", day)
					held[at] = append(held[at], h.Name)
					if taken[at] == nil {
						taken[at] = map[string]bool{}
					}
					if slices.Contains(d.GetTakenBy(), h.Name) {
						taken[at][h.Name], taken[at][h.holder[0]], taken[at][h.holder[1]] = true, true, true
					}
				}
			}
		}
		for at, names := range held {
			assert.DeepEqual(t, names, slices.Sorted(maps.Keys(taken[at])))
		}
		h := n.hosts[rapid.IntRange(0, replicas-1).Draw(t, "lost disk")]
		before := h.days(t)
		n.restart(t, h, true)
		after := h.days(t)
		for day, content := range before {
			assert.Equal(t, len(after[day].GetDaemons()), len(content.GetDaemons()), "day %s", day)
		}
	})
}
