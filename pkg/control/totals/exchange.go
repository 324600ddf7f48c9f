package totals

import (
	"maps"
	"slices"
	"time"

	"rosemarygate/api/control/v1"
)

// ChangesSince returns what changed after a change number, and the present change number.
// From 0 it returns the whole book, which is also its snapshot on disk.
func (b *Book) ChangesSince(change uint64) (*controlpb.TotalsExchange, uint64) {
	out := &controlpb.TotalsExchange{}
	for _, day := range b.sortedDays() {
		if t := b.days[day].changesSince(change); t != nil {
			t.Day = int32(day)
			out.Days = append(out.Days, t)
		}
	}
	return out, b.changes
}

func (d *dayBook) changesSince(change uint64) *controlpb.DayTotals {
	if d.closed {
		if d.changed <= change {
			return nil
		}
		return &controlpb.DayTotals{Closed: true, Sum: d.sum.encode()}
	}
	t := &controlpb.DayTotals{}
	for _, name := range slices.Sorted(maps.Keys(d.daemons)) {
		if daemon := d.daemons[name]; daemon.changed > change {
			t.Daemons = append(t.Daemons, daemon.encode(name))
		}
	}
	if len(t.Daemons) == 0 {
		return nil
	}
	return t
}

func (d *daemonDay) encode(name string) *controlpb.DaemonTotals {
	out := &controlpb.DaemonTotals{Daemon: name, FoldedThrough: d.through, Folded: d.folded.encode()}
	for _, number := range d.sortedOpen() {
		out.Incarnations = append(out.Incarnations, &controlpb.IncarnationTotals{
			Incarnation:   number,
			UpdatedUnixMs: d.open[number].updated.UnixMilli(),
			Counters:      d.open[number].counts.encode(),
		})
	}
	return out
}

// Merge merges the changes of another replica of the group, or the snapshot of this one.
func (b *Book) Merge(now time.Time, x *controlpb.TotalsExchange) {
	oldest := DayOf(now.UTC()) - Day(b.retention)
	for _, t := range x.GetDays() {
		if Day(t.GetDay()) >= oldest {
			b.mergeDay(b.day(Day(t.GetDay())), t)
		}
	}
}

// mergeDay merges a day. Sums that cover the same daemons, or the same incarnations of a
// daemon, are both at most the true count, so the larger one of each counter is kept.
func (b *Book) mergeDay(d *dayBook, t *controlpb.DayTotals) {
	if t.GetClosed() && !d.closed {
		b.close(d)
	}
	if t.GetClosed() {
		if d.sum.keepMax(decode(t.GetSum())) {
			b.changes++
			d.changed = b.changes
		}
		return
	}
	if d.closed {
		b.mergeIntoClosed(d, t)
		return
	}
	for _, other := range t.GetDaemons() {
		b.mergeDaemon(d.daemon(other.GetDaemon()), other)
	}
}

// mergeIntoClosed merges the daemons of a replica that has not closed the day. The
// counters of some daemons are at most the sum over all of them.
func (b *Book) mergeIntoClosed(d *dayBook, t *controlpb.DayTotals) {
	other := newDayBook()
	scratch := NewBook(b.retention)
	for _, daemon := range t.GetDaemons() {
		scratch.mergeDaemon(other.daemon(daemon.GetDaemon()), daemon)
	}
	if d.sum.keepMax(other.total()) {
		b.changes++
		d.changed = b.changes
	}
}

func (b *Book) mergeDaemon(d *daemonDay, t *controlpb.DaemonTotals) {
	b.latest[t.GetDaemon()] = max(b.latest[t.GetDaemon()], t.GetFoldedThrough())
	other := &daemonDay{through: t.GetFoldedThrough(), folded: decode(t.GetFolded()), open: map[uint64]*incarnation{}}
	for _, i := range t.GetIncarnations() {
		other.open[i.GetIncarnation()] = &incarnation{updated: time.UnixMilli(i.GetUpdatedUnixMs()), counts: decode(i.GetCounters())}
		b.latest[t.GetDaemon()] = max(b.latest[t.GetDaemon()], i.GetIncarnation())
	}
	if d.join(other) {
		b.changes++
		d.changed = b.changes
	}
}

// join merges the counters that another replica has of the same daemon and day.
func (d *daemonDay) join(other *daemonDay) bool {
	changed := other.through > d.through
	through := max(d.through, other.through)
	d.fold(through)
	other.fold(through)
	changed = d.folded.keepMax(other.folded) || changed
	for number, i := range other.open {
		mine := d.incarnation(number)
		if i.updated.After(mine.updated) {
			mine.updated = i.updated
		}
		changed = mine.counts.keepMax(i.counts) || changed
	}
	return changed
}
