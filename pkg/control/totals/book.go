package totals

import (
	"maps"
	"slices"
	"time"

	"rosemarygate/api/control/v1"
)

const (
	// futureDays is how far ahead of the replica's UTC date a reported day may be: one for
	// time zones east of UTC, one for clocks that differ.
	futureDays = 2
	// MaxCounters is the number of counters that a report may carry and that an incarnation
	// may have on one day.
	MaxCounters = 10_000
	// MaxIncarnations is the number of incarnations of one daemon and day, one every four
	// seconds. Counters of further ones are refused.
	MaxIncarnations = 20_000
	// maxNameSize is the length of a user, service or reason in bytes.
	maxNameSize = 128
)

// incarnation holds the counters of one incarnation of a daemon on one day.
type incarnation struct {
	number uint64
	counts packed
}

// daemonDay holds the counters of one daemon on one day.
type daemonDay struct {
	takenBy      []string      // replicas that took counters from the daemon, sorted
	incarnations []incarnation // by number
	reported     uint64        // the book's change number of the last report
}

// dayBook holds the counters of one day.
type dayBook struct {
	daemons  map[string]*daemonDay
	changed  uint64 // the book's change number
	reported uint64 // the book's change number of the last report
	saved    uint64 // the book's change number when the day was saved
}

// Book holds the counters that daemons reported to a replica, and copies of those that they
// reported to others. Merging keeps the maximum for each daemon, incarnation, day and
// counter, so it can be repeated and reordered. It is not safe for concurrent use.
type Book struct {
	replica   string
	retention int // days
	days      map[Day]*dayBook
	changes   uint64
	refused   Refused
}

// Refused counts the counters that were not merged, by reason.
type Refused struct {
	Old       uint64 // the day is older than the retention
	Future    uint64 // the day lies in the future
	Malformed uint64 // a name is empty or too long, or the report is too large
	OverLimit uint64 // more than MaxIncarnations of a day, or MaxCounters of an incarnation
}

// NewBook returns the book of a replica; it keeps a number of days.
func NewBook(replica string, retentionDays int) *Book {
	return &Book{replica: replica, retention: retentionDays, days: map[Day]*dayBook{}}
}

// Refused returns how many counters were not merged.
func (b *Book) Refused() Refused { return b.refused }

// Report merges a daemon's report. Counters that are refused are counted; the report is
// acknowledged all the same, since sending it again would not help.
func (b *Book) Report(now time.Time, r *controlpb.ReportRequest) {
	if r.GetDaemon() == "" || len(r.GetDaemon()) > maxNameSize || r.GetIncarnation() == 0 {
		b.refused.Malformed++
		return
	}
	left := MaxCounters
	for _, d := range r.GetDays() {
		counts := b.wellFormed(d.GetServices(), &left)
		if day := Day(d.GetDay()); len(counts) > 0 && b.acceptDay(now, day, uint64(len(counts))) {
			taken := &daemonDay{takenBy: []string{b.replica}, incarnations: []incarnation{{r.GetIncarnation(), pack(counts)}}}
			if d := b.day(day); b.merge(d, r.GetDaemon(), taken) {
				d.daemons[r.GetDaemon()].reported, d.reported = b.changes, b.changes
			}
		}
	}
}

// wellFormed returns the counts without malformed ones, and at most as many as are left.
func (b *Book) wellFormed(services []*controlpb.ServiceCounters, left *int) Counts {
	counts := decode(services)
	for k := range counts {
		if *left == 0 || !k.wellFormed() {
			b.refused.Malformed++
			delete(counts, k)
			continue
		}
		*left--
	}
	return counts
}

func (k Key) wellFormed() bool {
	return k.User != "" && k.Service != "" &&
		max(len(k.User), len(k.Service), len(k.Reason)) <= maxNameSize &&
		controlpb.Counter_Kind_name[int32(k.Kind)] != "" && k.Kind != controlpb.Counter_KIND_UNSPECIFIED
}

func (b *Book) acceptDay(now time.Time, day Day, counters uint64) bool {
	today := DayOf(now.UTC())
	switch {
	case day > today+futureDays:
		b.refused.Future += counters
	case day < b.Oldest(now):
		b.refused.Old += counters
	default:
		return true
	}
	return false
}

// Oldest returns the oldest day that is kept.
func (b *Book) Oldest(now time.Time) Day { return DayOf(now.UTC()) - Day(b.retention) }

// merge merges counters of a daemon into a day and reports whether anything changed.
func (b *Book) merge(d *dayBook, daemon string, other *daemonDay) bool {
	mine := d.daemons[daemon]
	if mine == nil {
		mine = &daemonDay{}
		d.daemons[daemon] = mine
	}
	changed, refused := mine.join(other)
	b.refused.OverLimit += refused
	if changed {
		b.changes++
		d.changed = b.changes
	}
	return changed
}

// join merges other counters of the same daemon and day. It reports whether anything changed,
// and how many counters belong to too many incarnations.
func (d *daemonDay) join(other *daemonDay) (changed bool, refused uint64) {
	for _, name := range other.takenBy {
		if i, found := slices.BinarySearch(d.takenBy, name); !found {
			d.takenBy = slices.Insert(d.takenBy, i, name)
			changed = true
		}
	}
	for _, o := range other.incarnations {
		i, found := d.find(o.number)
		if !found && len(d.incarnations) >= MaxIncarnations {
			refused += uint64(len(o.counts))
			continue
		}
		if !found {
			d.incarnations = slices.Insert(d.incarnations, i, incarnation{number: o.number})
		}
		mine := &d.incarnations[i].counts
		merged, raised := mine.keepMax(o.counts)
		if len(merged) > MaxCounters {
			known := o.counts.only(*mine)
			refused += uint64(len(o.counts) - len(known))
			merged, raised = mine.keepMax(known)
		}
		*mine = merged
		changed = changed || raised
	}
	return changed, refused
}

func (d *daemonDay) find(number uint64) (int, bool) {
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

func (b *Book) day(day Day) *dayBook {
	d := b.days[day]
	if d == nil {
		d = newDayBook()
		b.days[day] = d
	}
	return d
}

func newDayBook() *dayBook { return &dayBook{daemons: map[string]*daemonDay{}} }

// total returns the sum over all daemons and their incarnations.
func (d *dayBook) total() Counts {
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

// Days returns the days in the book, sorted.
func (b *Book) Days() []Day { return slices.Sorted(maps.Keys(b.days)) }

// Holds reports whether a day is in the book.
func (b *Book) Holds(day Day) bool { return b.days[day] != nil }
