package totals

import (
	"maps"
	"slices"
	"time"
)

const (
	// FoldAfter is how long after its last change an incarnation may be folded, once a
	// later one of its daemon is known. It exceeds the longest partition between regions
	// that the design expects, an hour. A report of the folded incarnation that is still
	// under way then is refused: its increase over earlier reports is lost.
	FoldAfter = 2 * time.Hour

	// closeDays is how many days after its date a day is closed. Increases that daemons
	// report later are lost; it is long enough for a daemon that no replica could be
	// reached from over a weekend.
	closeDays = 4

	// maxOpen bounds the incarnations of a daemon and day that are not folded. It holds a
	// daemon that restarts over and over; the oldest are folded early.
	maxOpen = 32
)

// Compact folds incarnations that have ended, closes days, and drops those beyond the
// retention. It is called every few minutes.
func (b *Book) Compact(now time.Time) {
	today := DayOf(now.UTC())
	b.forgetDaemons()
	for day, book := range b.days {
		if int(today-day) > b.retention {
			delete(b.days, day)
			continue
		}
		if today-day > closeDays && !book.closed {
			b.close(book)
		}
		for name, d := range book.daemons {
			if d.foldEnded(now, b.latest[name]) {
				b.changes++
				d.changed = b.changes
			}
		}
	}
}

// close sums the counters of all daemons.
func (b *Book) close(d *dayBook) {
	d.sum = d.total()
	d.closed = true
	d.daemons = map[string]*daemonDay{}
	b.changes++
	d.changed = b.changes
}

// foldEnded folds the incarnations that have ended, oldest first, up to the first that may
// still be reported on.
func (d *daemonDay) foldEnded(now time.Time, latest uint64) bool {
	folded := false
	for _, number := range d.sortedOpen() {
		ended := number < latest && now.Sub(d.open[number].updated) >= FoldAfter
		if !ended && len(d.open) <= maxOpen {
			break
		}
		d.fold(number)
		folded = true
	}
	return folded
}

// fold sums the incarnations up to a number.
func (d *daemonDay) fold(through uint64) {
	for number, i := range d.open {
		if number <= through {
			d.folded.add(i.counts)
			delete(d.open, number)
		}
	}
	d.through = max(d.through, through)
}

// forgetDaemons drops daemons that no open day mentions.
func (b *Book) forgetDaemons() {
	for name := range b.latest {
		if !b.mentions(name) {
			delete(b.latest, name)
		}
	}
}

func (b *Book) mentions(daemon string) bool {
	for _, d := range b.days {
		if d.daemons[daemon] != nil {
			return true
		}
	}
	return false
}

func (d *daemonDay) sortedOpen() []uint64 { return slices.Sorted(maps.Keys(d.open)) }

func (b *Book) sortedDays() []Day { return slices.Sorted(maps.Keys(b.days)) }
