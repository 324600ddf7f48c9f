package totals

import (
	"maps"
	"slices"
	"time"

	"rosemarygate/api/control/v1"
)

const (
	// maxFutureDays is the number of days by which a reported day may be ahead of the replica's
	// UTC date: one for time zones east of UTC, one for clock differences.
	maxFutureDays = 2
	// MaxCounters is the limit of counters in a report, and of counters of an incarnation on one
	// day.
	MaxCounters = 10_000
	// MaxIncarnations is the limit of incarnations of a daemon on one day, about one every four
	// seconds. Counters of further incarnations are refused.
	MaxIncarnations = 20_000
	// maxNameBytes is the limit of the length of the name of a daemon, user or service, and of a
	// reason.
	maxNameBytes = 128
)

// incarnation holds the counters of one incarnation of a daemon on one day.
type incarnation struct {
	number uint64
	counts packedCounts
}

// daemonDay holds the counters of one daemon on one day.
type daemonDay struct {
	takenBy      []string      // replicas that received reports from the daemon, sorted
	incarnations []incarnation // by number
	lastReport   uint64        // change number of the book at the last report
}

// dayState holds the counters of one day.
type dayState struct {
	daemons     map[string]*daemonDay
	lastChange  uint64 // change number of the book at the last change
	lastReport  uint64 // change number of the book at the last report
	savedChange uint64 // change number of the book when the day was last saved
}

// Book holds the counters that daemons reported to a replica, and copies of counters that they
// reported to other replicas. Merging keeps the maximum for each daemon, incarnation, day and
// counter, so it can be repeated and reordered. It is not safe for concurrent use.
type Book struct {
	replica       string
	retentionDays int
	days          map[Day]*dayState
	changeNumber  uint64 // incremented by each change
	refused       RefusedCounters
}

// RefusedCounters counts the counters that were not merged, by reason.
type RefusedCounters struct {
	Old       uint64 // the day is past the retention
	Future    uint64 // the day is over maxFutureDays ahead
	Malformed uint64 // a name is empty or too long, or the report is too large
	OverLimit uint64 // beyond MaxIncarnations of a day, or MaxCounters of an incarnation
}

// NewBook returns an empty book of a replica that keeps days for the given retention.
func NewBook(replica string, retentionDays int) *Book {
	return &Book{replica: replica, retentionDays: retentionDays, days: map[Day]*dayState{}}
}

// Refused returns the number of counters that were not merged, by reason.
func (b *Book) Refused() RefusedCounters { return b.refused }

// Report merges a daemon's report. Refused counters are only counted: the report is acknowledged
// nevertheless, since sending it again would not help.
func (b *Book) Report(now time.Time, r *controlpb.ReportRequest) {
	if r.GetDaemon() == "" || len(r.GetDaemon()) > maxNameBytes || r.GetIncarnation() == 0 {
		b.refused.Malformed++
		return
	}
	remaining := MaxCounters
	for _, d := range r.GetDays() {
		counts := b.filterWellFormed(d.GetServices(), &remaining)
		if day := Day(d.GetDay()); len(counts) > 0 && b.acceptDay(now, day, uint64(len(counts))) {
			reported := &daemonDay{takenBy: []string{b.replica}, incarnations: []incarnation{{r.GetIncarnation(), pack(counts)}}}
			if d := b.findOrAddDay(day); b.merge(d, r.GetDaemon(), reported) {
				d.daemons[r.GetDaemon()].lastReport, d.lastReport = b.changeNumber, b.changeNumber
			}
		}
	}
}

// filterWellFormed returns the well-formed counts, at most as many as remaining allows, and
// reduces remaining by their number.
func (b *Book) filterWellFormed(services []*controlpb.ServiceCounters, remaining *int) Counts {
	counts := decode(services)
	for k := range counts {
		if *remaining == 0 || !k.wellFormed() {
			b.refused.Malformed++
			delete(counts, k)
			continue
		}
		*remaining--
	}
	return counts
}

func (k Key) wellFormed() bool {
	return k.User != "" && k.Service != "" &&
		max(len(k.User), len(k.Service), len(k.Reason)) <= maxNameBytes &&
		controlpb.Counter_Kind_name[int32(k.Kind)] != "" && k.Kind != controlpb.Counter_KIND_UNSPECIFIED
}

func (b *Book) acceptDay(now time.Time, day Day, counters uint64) bool {
	today := DayOf(now.UTC())
	switch {
	case day > today+maxFutureDays:
		b.refused.Future += counters
	case day < b.OldestDay(now):
		b.refused.Old += counters
	default:
		return true
	}
	return false
}

// OldestDay returns the oldest day within the retention.
func (b *Book) OldestDay(now time.Time) Day { return DayOf(now.UTC()) - Day(b.retentionDays) }

// merge merges the counters of a daemon into a day. It reports whether anything changed.
func (b *Book) merge(d *dayState, daemon string, other *daemonDay) bool {
	stored := d.daemons[daemon]
	if stored == nil {
		stored = &daemonDay{}
		d.daemons[daemon] = stored
	}
	changed, refused := stored.merge(other)
	b.refused.OverLimit += refused
	if changed {
		b.changeNumber++
		d.lastChange = b.changeNumber
	}
	return changed
}

// merge merges other counters of the same daemon and day. It reports whether anything changed,
// and how many counters were refused because they exceed a limit.
func (d *daemonDay) merge(other *daemonDay) (changed bool, refused uint64) {
	for _, name := range other.takenBy {
		if i, found := slices.BinarySearch(d.takenBy, name); !found {
			d.takenBy = slices.Insert(d.takenBy, i, name)
			changed = true
		}
	}
	for _, o := range other.incarnations {
		i, found := d.findIncarnation(o.number)
		if !found && len(d.incarnations) >= MaxIncarnations {
			refused += uint64(len(o.counts))
			continue
		}
		if !found {
			d.incarnations = slices.Insert(d.incarnations, i, incarnation{number: o.number})
		}
		stored := &d.incarnations[i].counts
		merged, raised := stored.keepMax(o.counts)
		if len(merged) > MaxCounters {
			existing := o.counts.withKeysOf(*stored)
			refused += uint64(len(o.counts) - len(existing))
			merged, raised = stored.keepMax(existing)
		}
		*stored = merged
		changed = changed || raised
	}
	return changed, refused
}

func (d *daemonDay) findIncarnation(number uint64) (int, bool) {
	return slices.BinarySearchFunc(d.incarnations, number, func(i incarnation, n uint64) int {
		switch {
		case i.number < n:
			return -1
		case i.number > n:
			return 1
		}
		return 0
	})
}

func (b *Book) findOrAddDay(day Day) *dayState {
	d := b.days[day]
	if d == nil {
		d = newDayState()
		b.days[day] = d
	}
	return d
}

func newDayState() *dayState { return &dayState{daemons: map[string]*daemonDay{}} }

// total returns the sums of the counters over all daemons and their incarnations.
func (d *dayState) total() Counts {
	out := Counts{}
	for _, daemon := range d.daemons {
		for _, i := range daemon.incarnations {
			for _, c := range i.counts {
				out[c.key.Value()] += c.value
			}
		}
	}
	return out
}

// Days returns the days in the book, in order.
func (b *Book) Days() []Day { return slices.Sorted(maps.Keys(b.days)) }

// HasDay reports whether a day is in the book.
func (b *Book) HasDay(day Day) bool { return b.days[day] != nil }
