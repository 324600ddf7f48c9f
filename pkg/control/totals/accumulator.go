package totals

import (
	"slices"
	"time"

	"rosemarygate/api/control/v1"
)

const (
	// keepDays is how many ended days a daemon keeps after they were acknowledged, so that
	// it can report them again to a replica that lost them.
	keepDays = 2
	// maxUnreportedDays bounds the days that a daemon keeps when no replica answers. It
	// drops the oldest day beyond them.
	maxUnreportedDays = 31
)

// counter is one cumulative counter of a day.
type counter struct {
	value        uint64
	sent         uint64 // value in the last report
	acknowledged uint64
}

// zone is the day of one user; it saves computing the date at each count.
type zone struct {
	location    *time.Location
	from, until time.Time // day holds in between
	day         Day
}

// Accumulator counts in one incarnation of a daemon. What was counted after the last
// acknowledged report is lost when the daemon crashes. It is not safe for concurrent use.
type Accumulator struct {
	daemon      string
	incarnation uint64
	zones       map[string]*zone
	days        map[Day]map[Key]*counter
	floor       Day // earlier days were dropped and are not counted on any more
	dropped     int
	sequence    uint64
}

// NewAccumulator returns an accumulator of a daemon's incarnation.
func NewAccumulator(daemon string, incarnation uint64) *Accumulator {
	return &Accumulator{
		daemon:      daemon,
		incarnation: incarnation,
		zones:       map[string]*zone{},
		days:        map[Day]map[Key]*counter{},
	}
}

// SetLocation sets the time zone in which a user's days end; UTC before it is set.
func (a *Accumulator) SetLocation(user string, loc *time.Location) {
	a.zones[user] = &zone{location: loc}
}

// Add counts n on the day that it is for the user. A count for a day that was dropped,
// after the clock was set back, goes to the first day that was not.
func (a *Accumulator) Add(now time.Time, k Key, n uint64) {
	if n == 0 {
		return
	}
	day := max(a.today(now, k.User), a.floor)
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

func (a *Accumulator) today(now time.Time, user string) Day {
	z := a.zones[user]
	if z == nil {
		z = &zone{location: time.UTC}
		a.zones[user] = z
	}
	if now.Before(z.from) || !now.Before(z.until) {
		z.day = DayOf(now.In(z.location))
		z.from = now
		z.until = (z.day + 1).midnight(z.location)
	}
	return z.day
}

// Report returns the counters that changed since the last acknowledged report, with their
// cumulative values.
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
			c.sent = c.value
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

// Acknowledge records that a replica stored the report. Only the last report's
// acknowledgement has an effect.
func (a *Accumulator) Acknowledge(now time.Time, sequence uint64) {
	if sequence != a.sequence {
		return
	}
	for _, counters := range a.days {
		for _, c := range counters {
			c.acknowledged = c.sent
		}
	}
	a.prune(now)
}

// ResendAll makes the next report carry all counters. It is called when the daemon
// connects to a replica, which may have lost or never had earlier reports.
func (a *Accumulator) ResendAll() {
	a.sequence++ // an acknowledgement on its way comes from the earlier replica
	for _, counters := range a.days {
		for _, c := range counters {
			c.acknowledged = 0
		}
	}
}

// prune drops days that ended long enough ago and were acknowledged, and the oldest ones
// beyond the limit.
func (a *Accumulator) prune(now time.Time) {
	oldest := DayOf(now.UTC()) - keepDays
	for _, day := range a.sortedDays() {
		over := len(a.days) > maxUnreportedDays
		if day >= oldest && !over {
			return
		}
		if !a.acknowledged(day) {
			if !over {
				continue
			}
			a.dropped++
		}
		delete(a.days, day)
		a.floor = day + 1
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

// Prune bounds the days kept while no replica answers. It returns the number of days that
// were dropped unreported since the accumulator was made.
func (a *Accumulator) Prune(now time.Time) int {
	a.prune(now)
	return a.dropped
}

func (a *Accumulator) sortedDays() []Day {
	days := make([]Day, 0, len(a.days))
	for day := range a.days {
		days = append(days, day)
	}
	slices.Sort(days)
	return days
}
