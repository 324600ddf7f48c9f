package totals

import (
	"math"
	"slices"
	"time"
)

const (
	// openDays is the number of days after its date for which a day stays in memory. Later
	// reports are rare: they come from daemons that could not reach a replica over a weekend.
	openDays = 4
	// maxCopyDays is the number of days after its date for which a day stays in memory at most while
	// a holder has not received its copy. A holder that starts again requests what it lacks.
	maxCopyDays = maxUnreportedDays
)

func oldestOpenDay(now time.Time) Day { return DayOf(now.UTC()) - openDays }

// OldestUncopiedDay returns the oldest day that may still have to be copied to the holders after a
// start.
func OldestUncopiedDay(now time.Time) Day { return DayOf(now.UTC()) - maxCopyDays }

// FirstIncompleteDay returns the first day of which a replica may lack changes, from the newest day
// that it has on file. It may have been down since then, and a daemon may report a day as long as
// it keeps the counters.
func FirstIncompleteDay(newest Day) Day { return max(newest, math.MinInt32+maxCopyDays) - maxCopyDays }

// UnsavedDays returns the days that changed since they were last saved.
func (b *Book) UnsavedDays() []Day {
	return slices.DeleteFunc(b.Days(), func(day Day) bool { return b.days[day].lastChange <= b.days[day].savedChange })
}

// ChangeNumber returns the change number of the book, which each change increments.
func (b *Book) ChangeNumber() uint64 { return b.changeNumber }

// MarkSaved records that the changes of the days up to a change number are on file.
func (b *Book) MarkSaved(days []Day, change uint64) {
	for _, day := range days {
		if d := b.days[day]; d != nil {
			d.savedChange = change
		}
	}
}

// Evict drops closed days that are on file and whose reports were copied to the holders, and days
// past the retention. The holders have copies of all reports up to copiedChange.
func (b *Book) Evict(now time.Time, copiedChange uint64) {
	for day, d := range b.days {
		copiedToHolders := d.lastReport <= copiedChange || day < OldestUncopiedDay(now)
		closed := day < oldestOpenDay(now) && d.lastChange <= d.savedChange && copiedToHolders
		if closed || day < b.OldestDay(now) {
			delete(b.days, day)
		}
	}
}
