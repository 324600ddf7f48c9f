package totals

import (
	"maps"
	"slices"
	"time"
	"unique"

	"rosemarygate/api/control/v1"
)

// ReportedSince returns the counters that daemons reported to this replica after a change
// number, and the present change number. The replica copies them to its holders; copies are
// not passed on.
func (b *Book) ReportedSince(change uint64) (*controlpb.TotalsExchange, uint64) {
	out := &controlpb.TotalsExchange{}
	for _, day := range b.Days() {
		if d := b.days[day]; d.reported > change {
			out.Days = append(out.Days, d.encode(day, func(d *daemonDay) bool { return d.reported > change }))
		}
	}
	return out, b.changes
}

// Day returns the counters of a day for its file.
func (b *Book) Day(day Day) *controlpb.DayTotals {
	return b.day(day).encode(day, func(*daemonDay) bool { return true })
}

// Merge merges counters of another replica, or of a file of this one. Counters that this replica
// took before a start and gets back may be missing at its holders, so they count as reported;
// of older days the holders have them.
func (b *Book) Merge(now time.Time, x *controlpb.TotalsExchange) {
	for _, t := range x.GetDays() {
		if day := Day(t.GetDay()); day >= b.Oldest(now) {
			b.mergeDay(t, day >= OldestUncopied(now))
		}
	}
}

func (b *Book) mergeDay(t *controlpb.DayTotals, copying bool) {
	d := b.day(Day(t.GetDay()))
	names := uniqueNames(t.GetNames())
	for _, other := range t.GetDaemons() {
		if !b.merge(d, other.GetDaemon(), decodeDaemon(other, names)) || !copying {
			continue
		}
		if mine := d.daemons[other.GetDaemon()]; mine.isTakenBy(b.replica) {
			mine.reported, d.reported = b.changes, b.changes
		}
	}
}

func (d *daemonDay) isTakenBy(replica string) bool {
	_, found := slices.BinarySearch(d.takenBy, replica)
	return found
}

// encode returns the chosen daemons of a day, with the names that their counters use.
func (d *dayBook) encode(day Day, chosen func(*daemonDay) bool) *controlpb.DayTotals {
	out := &controlpb.DayTotals{Day: int32(day)}
	index := map[unique.Handle[Key]]uint32{}
	for _, name := range slices.Sorted(maps.Keys(d.daemons)) {
		daemon := d.daemons[name]
		if !chosen(daemon) {
			continue
		}
		t := &controlpb.DaemonTotals{Daemon: name, TakenBy: slices.Clone(daemon.takenBy)}
		for _, i := range daemon.incarnations {
			t.Incarnations = append(t.Incarnations, i.encode(index, out))
		}
		out.Daemons = append(out.Daemons, t)
	}
	return out
}

func (i incarnation) encode(index map[unique.Handle[Key]]uint32, day *controlpb.DayTotals) *controlpb.IncarnationTotals {
	out := &controlpb.IncarnationTotals{Incarnation: i.number}
	for _, c := range i.counts {
		n, known := index[c.key]
		if !known {
			n = uint32(len(day.GetNames()))
			index[c.key] = n
			k := c.key.Value()
			day.Names = append(day.Names, &controlpb.CounterName{User: k.User, Service: k.Service, Kind: k.Kind, Reason: k.Reason})
		}
		out.Names = append(out.Names, n)
		out.Values = append(out.Values, c.value)
	}
	return out
}

func uniqueNames(names []*controlpb.CounterName) []unique.Handle[Key] {
	out := make([]unique.Handle[Key], len(names))
	for i, n := range names {
		out[i] = unique.Make(Key{n.GetUser(), n.GetService(), n.GetKind(), n.GetReason()})
	}
	return out
}

// decodeDaemon decodes the counters of a daemon; ones without a name are left out.
func decodeDaemon(t *controlpb.DaemonTotals, names []unique.Handle[Key]) *daemonDay {
	out := &daemonDay{takenBy: t.GetTakenBy()}
	for _, i := range t.GetIncarnations() {
		var counts packed
		for at, n := range i.GetNames() {
			if int(n) < len(names) && at < len(i.GetValues()) {
				counts = append(counts, packedCounter{names[n], i.GetValues()[at]})
			}
		}
		slices.SortFunc(counts, func(a, b packedCounter) int { return compareKeys(a.key.Value(), b.key.Value()) })
		out.incarnations = append(out.incarnations, incarnation{i.GetIncarnation(), counts})
	}
	return out
}

// Query chooses a part of what a replica holds.
type Query struct {
	From, To Day // inclusive
	// User is the only one whose counters are chosen, unless it is empty.
	User string
	// OwedTo is a replica that restores its totals, empty for all counters. Chosen are those
	// that it took from daemons, and with Copies also those that the asked replica took.
	OwedTo string
	Copies bool
}

// Choose returns the part of a day that a query chooses.
func (b *Book) Choose(t *controlpb.DayTotals, q Query) *controlpb.DayTotals {
	scratch := NewBook(b.replica, b.retention)
	scratch.mergeDay(t, false)
	d := scratch.days[Day(t.GetDay())]
	if q.User != "" {
		for _, daemon := range d.daemons {
			daemon.keepUser(q.User)
		}
	}
	return d.encode(Day(t.GetDay()), func(d *daemonDay) bool {
		return q.OwedTo == "" || d.isTakenBy(q.OwedTo) || q.Copies && d.isTakenBy(b.replica)
	})
}

func (d *daemonDay) keepUser(user string) {
	for i := range d.incarnations {
		d.incarnations[i].counts = slices.DeleteFunc(d.incarnations[i].counts, func(c packedCounter) bool { return c.key.Value().User != user })
	}
}

// Combine returns the totals of a day from the answers of several replicas. Whatever some of
// them hold of the same daemon and incarnation counts once.
func Combine(day Day, answers []*controlpb.DayTotals) *controlpb.DayCounters {
	b := NewBook("", 0)
	for _, t := range answers {
		b.mergeDay(t, false)
	}
	return &controlpb.DayCounters{Day: int32(day), Services: b.day(day).total().encode()}
}
