package totals

import (
	"math"
	"slices"
	"time"
)

const (
	// openDays is how many days after its date a day stays in memory. Reports of earlier days
	// are rare: they come from daemons that could not reach a replica over a weekend.
	openDays = 4
	// uncopiedDays is how long a closed day stays in memory for a holder that does not take its
	// copy. When that one starts again it asks for what it lacks.
	uncopiedDays = maxUnreportedDays
)

func oldestOpen(now time.Time) Day { return DayOf(now.UTC()) - openDays }

// OldestUncopied returns the oldest day that may have to be copied to the holders after a start.
func OldestUncopied(now time.Time) Day { return DayOf(now.UTC()) - uncopiedDays }

// FirstIncomplete returns the first day that a replica may lack changes of, by its newest file:
// it may have been down since that was written, and a report may be as late as a daemon keeps
// counters.
func FirstIncomplete(newest Day) Day { return max(newest, math.MinInt32+uncopiedDays) - uncopiedDays }

// Unsaved returns the days that changed after they were saved.
func (b *Book) Unsaved() []Day {
	return slices.DeleteFunc(b.Days(), func(day Day) bool { return b.days[day].changed <= b.days[day].saved })
}

// Changes returns the change number of the book.
func (b *Book) Changes() uint64 { return b.changes }

// Saved records that the days up to a change number are in their files.
func (b *Book) Saved(days []Day, change uint64) {
	for _, day := range days {
		if d := b.days[day]; d != nil {
			d.saved = change
		}
	}
}

// Evict drops closed days that are in their files and whose reports up to a change number were
// copied to the holders, and days beyond the retention.
func (b *Book) Evict(now time.Time, copied uint64) {
	for day, d := range b.days {
		taken := d.reported <= copied || day < OldestUncopied(now)
		closed := day < oldestOpen(now) && d.changed <= d.saved && taken
		if closed || day < b.Oldest(now) {
			delete(b.days, day)
		}
	}
}
