package totals

import (
	"slices"
	"time"

	"rosemarygate/api/control/v1"
)

const (
	// retainedDays is how many ended days a daemon keeps after their acknowledgement, so that it
	// can report them again to a replica that lost them.
	retainedDays = 2
	// maxUnreportedDays limits the days that a daemon keeps while no replica answers. It drops
	// the oldest days beyond the limit.
	maxUnreportedDays = 31
)

// counter is one cumulative counter of a day.
type counter struct {
	value        uint64
	lastSent     uint64 // value in the last report
	acknowledged uint64 // value in the last acknowledged report
}

// userDay caches the current date of a user, so that a count does not have to compute it.
type userDay struct {
	timeZone   *time.Location
	begin, end time.Time // the date is day from begin until end
	day        Day
}

// Accumulator holds the counters of one incarnation of a daemon. A crash of the daemon loses what
// was counted after the last acknowledged report. It is not safe for concurrent use.
type Accumulator struct {
	daemon            string
	incarnation       uint64
	userDays          map[string]*userDay
	days              map[Day]map[Key]*counter
	firstDay          Day // earlier days were dropped; their counts go to this day
	droppedUnreported int
	sequence          uint64
}

// NewAccumulator returns an empty accumulator for an incarnation of a daemon.
func NewAccumulator(daemon string, incarnation uint64) *Accumulator {
	return &Accumulator{
		daemon:      daemon,
		incarnation: incarnation,
		userDays:    map[string]*userDay{},
		days:        map[Day]map[Key]*counter{},
	}
}

// SetLocation sets the time zone of a user, at whose midnight the days of the user end. The
// default is UTC.
func (a *Accumulator) SetLocation(user string, loc *time.Location) {
	a.userDays[user] = &userDay{timeZone: loc}
}

// Add adds n to a counter on the current day of the user. When the clock was set back to a day
// that was dropped, the count goes to the first day that was not dropped.
func (a *Accumulator) Add(now time.Time, k Key, n uint64) {
	if n == 0 {
		return
	}
	day := max(a.currentDay(now, k.User), a.firstDay)
	counters := a.days[day]
	if counters == nil {
		counters = map[Key]*counter{}
		a.days[day] = counters
	}
	c := counters[k]
	if c == nil {
		c = &counter{}
		counters[k] = c
	}
	c.value += n
}

func (a *Accumulator) currentDay(now time.Time, user string) Day {
	current := a.userDays[user]
	if current == nil {
		current = &userDay{timeZone: time.UTC}
		a.userDays[user] = current
	}
	if now.Before(current.begin) || !now.Before(current.end) {
		current.day = DayOf(now.In(current.timeZone))
		current.begin = now
		current.end = (current.day + 1).midnight(current.timeZone)
	}
	return current.day
}

// Report returns the cumulative values of the counters that changed since the last acknowledged
// report.
func (a *Accumulator) Report(versionInForce uint64) *controlpb.ReportRequest {
	a.sequence++
	r := &controlpb.ReportRequest{
		Daemon:         a.daemon,
		Incarnation:    a.incarnation,
		VersionInForce: versionInForce,
		Sequence:       a.sequence,
	}
	for _, day := range a.sortedDays() {
		changed := Counts{}
		for k, c := range a.days[day] {
			c.lastSent = c.value
			if c.value != c.acknowledged {
				changed[k] = c.value
			}
		}
		if len(changed) > 0 {
			r.Days = append(r.Days, &controlpb.DayCounters{Day: int32(day), Services: changed.encode()})
		}
	}
	return r
}

// Acknowledge records that a replica stored a report. It ignores acknowledgements of any report
// but the last one.
func (a *Accumulator) Acknowledge(now time.Time, sequence uint64) {
	if sequence != a.sequence {
		return
	}
	for _, counters := range a.days {
		for _, c := range counters {
			c.acknowledged = c.lastSent
		}
	}
	a.prune(now)
}

// ResendAll makes the next report contain all counters. It is called when the daemon connects to
// a replica, which may have lost or never received earlier reports.
func (a *Accumulator) ResendAll() {
	a.sequence++ // an acknowledgement in flight comes from the previous replica
	for _, counters := range a.days {
		for _, c := range counters {
			c.acknowledged = 0
		}
	}
}

// prune drops days that are acknowledged and past retainedDays, and the oldest days beyond
// maxUnreportedDays.
func (a *Accumulator) prune(now time.Time) {
	oldestRetained := DayOf(now.UTC()) - retainedDays
	for _, day := range a.sortedDays() {
		overLimit := len(a.days) > maxUnreportedDays
		if day >= oldestRetained && !overLimit {
			return
		}
		if !a.acknowledged(day) {
			if !overLimit {
				continue
			}
			a.droppedUnreported++
		}
		delete(a.days, day)
		a.firstDay = day + 1
	}
}

func (a *Accumulator) acknowledged(day Day) bool {
	for _, c := range a.days[day] {
		if c.acknowledged != c.value {
			return false
		}
	}
	return true
}

// Prune limits the days that are kept while no replica answers. It returns the number of days
// that the accumulator has dropped without an acknowledged report.
func (a *Accumulator) Prune(now time.Time) int {
	a.prune(now)
	return a.droppedUnreported
}

func (a *Accumulator) sortedDays() []Day {
	days := make([]Day, 0, len(a.days))
	for day := range a.days {
		days = append(days, day)
	}
	slices.Sort(days)
	return days
}
