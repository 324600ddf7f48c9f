package totals

import (
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
	// maxNameSize is the length of a user, service or reason in bytes.
	maxNameSize = 128
)

// incarnation holds the counters of one incarnation of a daemon on one day.
type incarnation struct {
	updated time.Time
	counts  Counts
}

// daemonDay holds the counters of one daemon on one day.
type daemonDay struct {
	through uint64 // incarnations up to this one are summed in folded
	folded  Counts
	open    map[uint64]*incarnation
	changed uint64 // the book's change number
}

// dayBook holds the counters of one day.
type dayBook struct {
	daemons map[string]*daemonDay
	closed  bool
	sum     Counts // of all daemons once closed
	changed uint64 // the book's change number of the sum
}

// Book merges the counters that daemons report to a replica. Every value in it is at most
// the true count, and merging never lowers a value. It is not safe for concurrent use.
type Book struct {
	retention int // days
	days      map[Day]*dayBook
	latest    map[string]uint64 // latest incarnation of each daemon that was seen
	changes   uint64
	refused   Refused
}

// Refused counts the counters that were not merged, by reason.
type Refused struct {
	Folded    uint64 // the incarnation was summed already
	Closed    uint64 // the day was closed or is older than the retention
	Future    uint64 // the day lies in the future
	Malformed uint64 // a name is empty or too long, or the report is too large
}

// NewBook returns a book that keeps a number of days.
func NewBook(retentionDays int) *Book {
	return &Book{retention: retentionDays, days: map[Day]*dayBook{}, latest: map[string]uint64{}}
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
	b.latest[r.GetDaemon()] = max(b.latest[r.GetDaemon()], r.GetIncarnation())
	left := MaxCounters
	for _, d := range r.GetDays() {
		counts := b.wellFormed(d.GetServices(), &left)
		if b.acceptDay(now, Day(d.GetDay()), uint64(len(counts))) {
			b.merge(now, Day(d.GetDay()), r.GetDaemon(), r.GetIncarnation(), counts)
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
	case int(today-day) > b.retention, b.days[day] != nil && b.days[day].closed, today-day > closeDays:
		b.refused.Closed += counters
	default:
		return true
	}
	return false
}

func (b *Book) merge(now time.Time, day Day, daemon string, number uint64, counts Counts) {
	d := b.day(day).daemon(daemon)
	if number <= d.through {
		b.refused.Folded += uint64(len(counts))
		return
	}
	i := d.incarnation(number)
	i.updated = now
	for k := range counts {
		if _, known := i.counts[k]; !known && len(i.counts)+len(counts) > MaxCounters {
			b.refused.Malformed++
			delete(counts, k)
		}
	}
	if i.counts.keepMax(counts) {
		b.changes++
		d.changed = b.changes
	}
}

func (b *Book) day(day Day) *dayBook {
	d := b.days[day]
	if d == nil {
		d = newDayBook()
		b.days[day] = d
	}
	return d
}

func (d *dayBook) daemon(name string) *daemonDay {
	found := d.daemons[name]
	if found == nil {
		found = &daemonDay{folded: Counts{}, open: map[uint64]*incarnation{}}
		d.daemons[name] = found
	}
	return found
}

func (d *daemonDay) incarnation(number uint64) *incarnation {
	i := d.open[number]
	if i == nil {
		i = &incarnation{counts: Counts{}}
		d.open[number] = i
	}
	return i
}

// total returns the counters of all incarnations.
func (d *daemonDay) total() Counts {
	out := Counts{}
	out.add(d.folded)
	for _, i := range d.open {
		out.add(i.counts)
	}
	return out
}

// total returns the counters of all daemons.
func (d *dayBook) total() Counts {
	out := Counts{}
	out.add(d.sum)
	for _, daemon := range d.daemons {
		out.add(daemon.total())
	}
	return out
}

// Totals returns the counters of the days from one to another, inclusive; of all users if
// user is empty.
func (b *Book) Totals(from, to Day, user string) []*controlpb.DayCounters {
	var out []*controlpb.DayCounters
	for _, day := range b.sortedDays() {
		if day < from || day > to {
			continue
		}
		counts := b.days[day].total()
		for k := range counts {
			if user != "" && k.User != user {
				delete(counts, k)
			}
		}
		if len(counts) > 0 {
			out = append(out, &controlpb.DayCounters{Day: int32(day), Services: counts.encode()})
		}
	}
	return out
}

func newDayBook() *dayBook {
	return &dayBook{daemons: map[string]*daemonDay{}, sum: Counts{}}
}
