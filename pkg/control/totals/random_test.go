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
	retention    = 60 // days
	replicaCount = 5
)

// replicaModel is a replica with its files.
type replicaModel struct {
	Replica
	book         *Book
	disk         map[Day][]byte
	copiedChange map[string]uint64
	unprotected  map[string]Counts // reports to it since its last save or complete copy
	holders      []string
}

// networkModel is a model of daemons, replicas in three data centres and reports in flight.
type networkModel struct {
	now         time.Time
	daemons     []*Accumulator
	incarnation uint64
	reports     []*controlpb.ReportRequest
	replicas    []*replicaModel
	counted     map[string]Counts // by daemon, incarnation and day (counterID)
	delivered   map[string]Counts // the highest delivered values
	safe        map[string]Counts // counts that no single failure may lose
}

func newNetworkModel() *networkModel {
	n := &networkModel{now: noon, counted: map[string]Counts{}, delivered: map[string]Counts{}, safe: map[string]Counts{}}
	n.daemons = []*Accumulator{n.startDaemon("a"), n.startDaemon("b")}
	var allReplicas []Replica
	for i := range replicaCount {
		allReplicas = append(allReplicas, Replica{fmt.Sprint("r", i), fmt.Sprint("dc", i/2)})
	}
	for i, p := range allReplicas {
		replica := &replicaModel{Replica: p, book: NewBook(p.Name, retention), disk: map[Day][]byte{}, copiedChange: map[string]uint64{}, unprotected: map[string]Counts{}}
		replica.holders = Holders(p, slices.Delete(slices.Clone(allReplicas), i, i+1))
		n.replicas = append(n.replicas, replica)
	}
	return n
}

func (n *networkModel) startDaemon(name string) *Accumulator {
	n.incarnation++
	return NewAccumulator(name, n.incarnation)
}

func raiseCounts(model map[string]Counts, id string, counts Counts) {
	if model[id] == nil {
		model[id] = Counts{}
	}
	model[id].keepMax(counts)
}

func counterID(daemon string, incarnation uint64, day Day) string {
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

// sum returns the sum of a query to all replicas.
func (n *networkModel) sum(t *rapid.T) uint64 {
	answers := map[Day][]*controlpb.DayTotals{}
	for _, replica := range n.replicas {
		for day, content := range replica.days(t) {
			answers[day] = append(answers[day], replica.book.Select(content, Query{}))
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

// days returns the days of a replica, from memory if they are there, otherwise from the disk.
func (r *replicaModel) days(t *rapid.T) map[Day]*controlpb.DayTotals {
	out := map[Day]*controlpb.DayTotals{}
	for day, data := range r.disk {
		out[day] = new(controlpb.DayTotals)
		assert.NilError(t, proto.Unmarshal(data, out[day]))
	}
	for _, day := range r.book.Days() {
		out[day] = r.book.EncodeDay(day)
	}
	return out
}

// loadDays loads the days that are about to be merged from the disk.
func (n *networkModel) loadDays(t *rapid.T, replica *replicaModel, days ...int32) {
	for _, day := range days {
		if data := replica.disk[Day(day)]; data != nil && !replica.book.HasDay(Day(day)) {
			n.mergeDay(t, replica, data)
		}
	}
}

func (n *networkModel) mergeDay(t *rapid.T, replica *replicaModel, data []byte) {
	x := new(controlpb.DayTotals)
	assert.NilError(t, proto.Unmarshal(data, x))
	replica.book.Merge(n.now, &controlpb.TotalsExchange{Days: []*controlpb.DayTotals{x}})
}

func (n *networkModel) save(replica *replicaModel) {
	days := replica.book.UnsavedDays()
	for _, day := range days {
		replica.disk[day], _ = proto.Marshal(replica.book.EncodeDay(day))
	}
	replica.book.MarkSaved(days, replica.book.ChangeNumber())
	replica.book.Evict(n.now, min(replica.copiedChange[replica.holders[0]], replica.copiedChange[replica.holders[1]]))
	n.markSafe(replica)
}

// markSafe records that a single failure can no longer lose the counts that daemons reported to a
// replica.
func (n *networkModel) markSafe(replica *replicaModel) {
	for id, counts := range replica.unprotected {
		raiseCounts(n.safe, id, counts)
	}
	clear(replica.unprotected)
}

// restart replaces a replica by one that reads its files and requests its counters from the
// others.
func (n *networkModel) restart(t *rapid.T, replica *replicaModel, lostDisk bool) {
	if lostDisk {
		clear(replica.disk)
	}
	newest := Day(math.MinInt32)
	for day := range replica.disk {
		newest = max(newest, day)
	}
	replica.book = NewBook(replica.Name, retention)
	clear(replica.copiedChange)
	clear(replica.unprotected)
	for day, data := range replica.disk {
		if day >= OldestUncopiedDay(n.now) {
			n.mergeDay(t, replica, data)
		}
	}
	for _, other := range n.replicas {
		if other != replica {
			n.returnTo(t, other, replica, FirstIncompleteDay(newest))
		}
	}
	n.save(replica)
}

// returnTo merges the counters that one replica returns to another that restores its totals.
func (n *networkModel) returnTo(t *rapid.T, from, to *replicaModel, first Day) {
	for day, content := range from.days(t) {
		if day < first {
			continue
		}
		chosen := from.book.Select(content, Query{RestoringReplica: to.Name, IncludeCopies: slices.Contains(from.holders, to.Name)})
		data, err := proto.Marshal(chosen)
		assert.NilError(t, err)
		n.loadDays(t, to, int32(day))
		n.mergeDay(t, to, data)
	}
}

// copyToHolders copies new reports of a replica to one or all of its holders.
func (n *networkModel) copyToHolders(t *rapid.T, replica *replicaModel, holders ...string) {
	for _, name := range holders {
		to := n.replicas[slices.IndexFunc(n.replicas, func(o *replicaModel) bool { return o.Name == name })]
		x, change := replica.book.ReportedSince(replica.copiedChange[name])
		for _, d := range x.GetDays() {
			data, err := proto.Marshal(d)
			assert.NilError(t, err)
			n.loadDays(t, to, d.GetDay())
			n.mergeDay(t, to, data)
		}
		replica.copiedChange[name] = change
	}
	if len(holders) == CopyCount {
		n.markSafe(replica)
	}
}

func (n *networkModel) deliver(t *rapid.T, r *controlpb.ReportRequest, replica *replicaModel) {
	for _, d := range r.GetDays() {
		n.loadDays(t, replica, d.GetDay())
		id := counterID(r.GetDaemon(), r.GetIncarnation(), Day(d.GetDay()))
		raiseCounts(n.delivered, id, decode(d.GetServices()))
		raiseCounts(replica.unprotected, id, decode(d.GetServices()))
	}
	replica.book.Report(n.now, proto.CloneOf(r))
	for _, a := range n.daemons {
		if a.daemon == r.GetDaemon() && a.incarnation == r.GetIncarnation() && replica == n.replicas[0] {
			a.Acknowledge(n.now, r.GetSequence())
		}
	}
}

func (n *networkModel) step(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "daemon")
	replica := n.replicas[rapid.IntRange(0, replicaCount-1).Draw(t, "replica")]
	switch rapid.IntRange(0, 10).Draw(t, "step") {
	case 0, 1:
		a := n.daemons[i]
		k := key
		k.Reason = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "reason")
		a.Add(n.now, k, rapid.Uint64Range(1, 9).Draw(t, "count"))
		day := DayOf(n.now)
		raiseCounts(n.counted, counterID(a.daemon, a.incarnation, day), Counts{k: a.days[day][k].value})
	case 2:
		n.reports = append(n.reports, n.daemons[i].Report(0))
	case 3, 4:
		if len(n.reports) > 0 {
			n.deliver(t, n.reports[rapid.IntRange(0, len(n.reports)-1).Draw(t, "report")], replica)
		}
	case 5:
		n.daemons[i] = n.startDaemon(n.daemons[i].daemon) // a crash: unreported counts are lost
	case 6:
		n.daemons[i].ResendAll() // the daemon connects to another replica
	case 7:
		n.copyToHolders(t, replica, replica.holders[rapid.IntRange(0, 1).Draw(t, "holder")])
	case 8:
		n.copyToHolders(t, replica, replica.holders...)
	case 9:
		n.save(replica)
	case 10:
		n.restart(t, replica, false)
	}
}

// Guards against lost or doubled counts when daemons crash or change their replica, when reports
// are lost, doubled, reordered or days late, when replicas crash before saving or are
// partitioned, and when one loses its disk. The totals must equal those of a naive model: the
// maximum of the delivered values of each daemon, incarnation, day and counter.
func TestRandomTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetworkModel()
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				n.step(t)
				sum := n.sum(t)
				assert.Assert(t, sumOf(n.safe) <= sum, "%d counts found, %d are safe", sum, sumOf(n.safe))
				assert.Assert(t, sum <= sumOf(n.delivered), "%d counts found, %d delivered", sum, sumOf(n.delivered))
			}
			assert.Assert(t, sumOf(n.delivered) <= sumOf(n.counted))
			for _, replica := range n.replicas {
				n.copyToHolders(t, replica, replica.holders...)
			}
			n.restart(t, n.replicas[rapid.IntRange(0, replicaCount-1).Draw(t, "lost disk")], true)
			assert.Assert(t, sumOf(n.safe) <= n.sum(t), "after a lost disk")
			for _, r := range n.reports {
				n.deliver(t, r, n.replicas[rapid.IntRange(0, replicaCount-1).Draw(t, "replica")])
			}
			assert.Equal(t, n.sum(t), sumOf(n.delivered), "all reports delivered again")
			n.now = n.now.Add(time.Duration(rapid.IntRange(0, 4*24).Draw(t, "hours")) * time.Hour)
		}
	})
}

// Guards against more or fewer copies than CopyCount. After the loss of its disk a replica has to
// recover all that it held, closed days included.
func TestRandomCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetworkModel()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n.step(t)
			if rapid.IntRange(0, 9).Draw(t, "wait") == 0 && DayOf(n.now)-DayOf(noon) < maxCopyDays {
				n.now = n.now.Add(24 * time.Hour)
			}
		}
		for _, replica := range n.replicas {
			n.copyToHolders(t, replica, replica.holders...)
		}
		taken := map[string]map[string]bool{} // by daemon and day: replicas that received its reports, and their holders
		held := map[string][]string{}
		for _, replica := range n.replicas {
			for day, content := range replica.days(t) {
				for _, d := range content.GetDaemons() {
					id := fmt.Sprint(d.GetDaemon(), " ", day)
					held[id] = append(held[id], replica.Name)
					if taken[id] == nil {
						taken[id] = map[string]bool{}
					}
					if slices.Contains(d.GetTakenBy(), replica.Name) {
						taken[id][replica.Name], taken[id][replica.holders[0]], taken[id][replica.holders[1]] = true, true, true
					}
				}
			}
		}
		for id, names := range held {
			assert.DeepEqual(t, names, slices.Sorted(maps.Keys(taken[id])))
		}
		replica := n.replicas[rapid.IntRange(0, replicaCount-1).Draw(t, "lost disk")]
		before := replica.days(t)
		n.restart(t, replica, true)
		after := replica.days(t)
		for day, content := range before {
			assert.Equal(t, len(after[day].GetDaemons()), len(content.GetDaemons()), "day %s", day)
		}
	})
}
