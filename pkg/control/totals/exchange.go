package totals

import (
	"maps"
	"slices"
	"time"
	"unique"

	"rosemarygate/api/control/v1"
)

// ReportedSince returns the counters that daemons reported to this replica after a change number,
// and the current change number. The replica copies them to its holders. It does not forward
// copies that it received.
func (b *Book) ReportedSince(change uint64) (*controlpb.TotalsExchange, uint64) {
	out := &controlpb.TotalsExchange{}
	for _, day := range b.Days() {
		if d := b.days[day]; d.lastReport > change {
			out.Days = append(out.Days, d.encode(day, func(d *daemonDay) bool { return d.lastReport > change }))
		}
	}
	return out, b.changeNumber
}

// EncodeDay returns the counters of a day in the format of its file.
func (b *Book) EncodeDay(day Day) *controlpb.DayTotals {
	return b.findOrAddDay(day).encode(day, func(*daemonDay) bool { return true })
}

// Merge merges counters of another replica, or of a file of this replica. Counters that were
// reported to this replica before a start may be missing at its holders, so they count as new
// reports when they are merged again. Days before OldestUncopiedDay are at the holders already.
func (b *Book) Merge(now time.Time, x *controlpb.TotalsExchange) {
	for _, t := range x.GetDays() {
		if day := Day(t.GetDay()); day >= b.OldestDay(now) {
			b.mergeDay(t, day >= OldestUncopiedDay(now))
		}
	}
}

// mergeDay merges a day. With markReported, changed counters that this replica received from daemons
// count as new reports, which are copied to the holders.
func (b *Book) mergeDay(t *controlpb.DayTotals, markReported bool) {
	d := b.findOrAddDay(Day(t.GetDay()))
	names := internKeys(t.GetNames())
	for _, other := range t.GetDaemons() {
		if !b.merge(d, other.GetDaemon(), decodeDaemon(other, names)) || !markReported {
			continue
		}
		if stored := d.daemons[other.GetDaemon()]; stored.isTakenBy(b.replica) {
			stored.lastReport, d.lastReport = b.changeNumber, b.changeNumber
		}
	}
}

func (d *daemonDay) isTakenBy(replica string) bool {
	_, found := slices.BinarySearch(d.takenBy, replica)
	return found
}

// encode returns the included daemons of a day, with the names that their counters refer to.
func (d *dayState) encode(day Day, include func(*daemonDay) bool) *controlpb.DayTotals {
	out := &controlpb.DayTotals{Day: int32(day)}
	nameIndex := map[unique.Handle[Key]]uint32{}
	for _, name := range slices.Sorted(maps.Keys(d.daemons)) {
		daemon := d.daemons[name]
		if !include(daemon) {
			continue
		}
		t := &controlpb.DaemonTotals{Daemon: name, TakenBy: slices.Clone(daemon.takenBy)}
		for _, i := range daemon.incarnations {
			t.Incarnations = append(t.Incarnations, i.encode(nameIndex, out))
		}
		out.Daemons = append(out.Daemons, t)
	}
	return out
}

// encode returns the counters of an incarnation and adds their names to the day.
func (i incarnation) encode(nameIndex map[unique.Handle[Key]]uint32, day *controlpb.DayTotals) *controlpb.IncarnationTotals {
	out := &controlpb.IncarnationTotals{Incarnation: i.number}
	for _, c := range i.counts {
		n, found := nameIndex[c.key]
		if !found {
			n = uint32(len(day.GetNames()))
			nameIndex[c.key] = n
			k := c.key.Value()
			day.Names = append(day.Names, &controlpb.CounterName{User: k.User, Service: k.Service, Kind: k.Kind, Reason: k.Reason})
		}
		out.Names = append(out.Names, n)
		out.Values = append(out.Values, c.value)
	}
	return out
}

func internKeys(names []*controlpb.CounterName) []unique.Handle[Key] {
	out := make([]unique.Handle[Key], len(names))
	for i, n := range names {
		out[i] = unique.Make(Key{n.GetUser(), n.GetService(), n.GetKind(), n.GetReason()})
	}
	return out
}

// decodeDaemon decodes the counters of a daemon. It drops counters without a name.
func decodeDaemon(t *controlpb.DaemonTotals, names []unique.Handle[Key]) *daemonDay {
	out := &daemonDay{takenBy: t.GetTakenBy()}
	for _, i := range t.GetIncarnations() {
		var counts packedCounts
		for position, n := range i.GetNames() {
			if int(n) < len(names) && position < len(i.GetValues()) {
				counts = append(counts, packedCounter{names[n], i.GetValues()[position]})
			}
		}
		slices.SortFunc(counts, func(a, b packedCounter) int { return compareKeys(a.key.Value(), b.key.Value()) })
		out.incarnations = append(out.incarnations, incarnation{i.GetIncarnation(), counts})
	}
	return out
}

// Query selects a part of the counters that a replica holds.
type Query struct {
	From, To Day // inclusive
	// User restricts the query to the counters of one user, unless it is empty.
	User string
	// RestoringReplica is a replica that restores its totals; it is empty in a query for all counters.
	// The query selects the counters that daemons reported to that replica, and with IncludeCopies
	// also those that they reported to the queried replica.
	RestoringReplica string
	IncludeCopies    bool
}

// Select returns the part of a day that a query selects.
func (b *Book) Select(t *controlpb.DayTotals, q Query) *controlpb.DayTotals {
	scratch := NewBook(b.replica, b.retentionDays)
	scratch.mergeDay(t, false)
	d := scratch.days[Day(t.GetDay())]
	if q.User != "" {
		for _, daemon := range d.daemons {
			daemon.keepOnlyUser(q.User)
		}
	}
	return d.encode(Day(t.GetDay()), func(d *daemonDay) bool {
		return q.RestoringReplica == "" || d.isTakenBy(q.RestoringReplica) || q.IncludeCopies && d.isTakenBy(b.replica)
	})
}

func (d *daemonDay) keepOnlyUser(user string) {
	for i := range d.incarnations {
		d.incarnations[i].counts = slices.DeleteFunc(d.incarnations[i].counts, func(c packedCounter) bool { return c.key.Value().User != user })
	}
}

// Combine returns the totals of a day from the answers of several replicas. Counters that several
// replicas hold for the same daemon and incarnation count once.
func Combine(day Day, answers []*controlpb.DayTotals) *controlpb.DayCounters {
	b := NewBook("", 0)
	for _, t := range answers {
		b.mergeDay(t, false)
	}
	return &controlpb.DayCounters{Day: int32(day), Services: b.findOrAddDay(day).total().encode()}
}
