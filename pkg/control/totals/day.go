package totals

import (
	"time"

	"github.com/pkg/errors"
)

const dayFormat = time.DateOnly

const hoursOfDay = 24

// Day is a date, as days since 1970-01-01. It has no time zone: it begins and ends in the time
// zone of the user whose counters it dates.
type Day int32

// DayOf returns the date of a time in the time's own location.
func DayOf(t time.Time) Day {
	y, m, d := t.Date()
	return Day(time.Date(y, m, d, 0, 0, 0, 0, time.UTC).Unix() / int64((hoursOfDay * time.Hour).Seconds()))
}

// ParseDay parses a day in the format 2006-01-02.
func ParseDay(s string) (Day, error) {
	t, err := time.Parse(dayFormat, s)
	if err != nil {
		return 0, errors.Errorf("day %q is not a date: write it as %s", s, dayFormat)
	}
	return DayOf(t), nil
}

// String returns the day in the format 2006-01-02.
func (d Day) String() string { return d.midnight(time.UTC).Format(dayFormat) }

// midnight returns the start of the day in a time zone. Where the time zone skips midnight on
// that day, the result may be off by the length of the gap.
func (d Day) midnight(loc *time.Location) time.Time {
	return time.Date(1970, time.January, 1+int(d), 0, 0, 0, 0, loc)
}
