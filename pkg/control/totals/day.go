// Package totals counts, for each user, service and reason, the flows carried, the flows
// broken and the requests refused on each day.
//
// A daemon counts in an Accumulator and reports cumulative values of its incarnation. A
// replica merges them in a Book by keeping the maximum, so a report that is sent twice,
// late or to two replicas counts once.
//
// The counters do not pass through the replicated log: taking a maximum needs no order. In the
// log, 18,000 daemons with 30 counters and a report a minute would cost each replica 203 KB/s,
// also when a replica batches the reports of a minute into one entry. Instead the replica that
// took counters copies them to a few others (Holders), and a query collects the counters of all
// replicas and merges them. Every replica keeps the counters of each incarnation apart: sums of
// different replicas could not be merged, since a daemon may report to several of them.
//
// What is lost: counts after the last report of a daemon that crashes; counters of a daemon with
// more than MaxIncarnations a day.
package totals

import (
	"time"

	"github.com/pkg/errors"
)

const dayFormat = time.DateOnly

const hoursOfDay = 24

// Day is a date, in days since 1970-01-01. It carries no time zone: when it begins and
// ends is up to the time zone of the user whose counters it dates.
type Day int32

// DayOf returns the date of a time in the time's own location.
func DayOf(t time.Time) Day {
	y, m, d := t.Date()
	return Day(time.Date(y, m, d, 0, 0, 0, 0, time.UTC).Unix() / int64((hoursOfDay * time.Hour).Seconds()))
}

// ParseDay reads a day as 2006-01-02.
func ParseDay(s string) (Day, error) {
	t, err := time.Parse(dayFormat, s)
	if err != nil {
		return 0, errors.Errorf("day %q is not a date: write it as %s", s, dayFormat)
	}
	return DayOf(t), nil
}

// String returns the day as 2006-01-02.
func (d Day) String() string { return d.midnight(time.UTC).Format(dayFormat) }

// midnight returns the beginning of the day in a location. In a location that skips
// midnight on that day it may be off by the length of the gap.
func (d Day) midnight(loc *time.Location) time.Time {
	return time.Date(1970, time.January, 1+int(d), 0, 0, 0, 0, loc)
}
