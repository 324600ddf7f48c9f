package totals

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"rosemarygate/api/control/v1"
)

const (
	flowsCarried    = controlpb.Counter_KIND_FLOWS_CARRIED
	requestsRefused = controlpb.Counter_KIND_REQUESTS_REFUSED
)

var (
	noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	key  = Key{User: "karri", Service: "ticket", Kind: flowsCarried}
)

func valueOf(days []*controlpb.DayCounters, day Day, k Key) uint64 {
	for _, d := range days {
		if Day(d.GetDay()) == day {
			return decode(d.GetServices())[k]
		}
	}
	return 0
}

func (b *Book) value(day Day, k Key) uint64 { return b.findOrAddDay(day).total()[k] }

// allReported returns all counters that daemons reported to a book.
func (b *Book) allReported() *controlpb.TotalsExchange {
	x, _ := b.ReportedSince(0)
	return x
}

// Guards against counts on the wrong day around midnight, on days of 23 and 25 hours, and in time
// zones that skip midnight.
func TestDayBoundaries(t *testing.T) {
	tests := []struct {
		zone, day string
		hours     int
	}{
		{"Australia/Perth", "2026-12-04", 24},
		{"Asia/Kolkata", "2026-12-04", 24},
		{"Europe/Berlin", "2026-03-29", 23},
		{"Europe/Berlin", "2026-10-25", 25},
		{"America/Sao_Paulo", "2018-11-04", 23}, // begins at 01:00
		{"America/Sao_Paulo", "2018-02-17", 25}, // 23:00 occurs twice
	}
	for _, tt := range tests {
		loc, err := time.LoadLocation(tt.zone)
		assert.NilError(t, err)
		day, err := ParseDay(tt.day)
		assert.NilError(t, err)
		a := NewAccumulator("d", 1)
		a.SetLocation(key.User, loc)
		begin := day.midnight(loc).Add(-3 * time.Hour)
		for m := range 32 * 60 {
			a.Add(begin.Add(time.Duration(m)*time.Minute), key, 1)
		}
		days := a.Report(0).GetDays()
		assert.Equal(t, valueOf(days, day, key), uint64(tt.hours*60), "%s in %s", tt.day, tt.zone)
	}
}

// Guards against a count that is lost or doubled when a report or its acknowledgement is lost,
// and against resending counters that did not change.
func TestReportsAreCumulative(t *testing.T) {
	a := NewAccumulator("d", 1)
	b := NewBook("r", 30)
	day := DayOf(noon)
	a.Add(noon, key, 2)
	lost := a.Report(0)
	a.Add(noon, key, 3)
	second := a.Report(0)
	b.Report(noon, second)
	b.Report(noon, lost)
	b.Report(noon, second)
	assert.Equal(t, b.value(day, key), uint64(5))
	a.Acknowledge(noon, lost.GetSequence())
	assert.Equal(t, len(a.Report(0).GetDays()), 1, "only the last report's acknowledgement counts")
	a.Acknowledge(noon, a.sequence)
	assert.Equal(t, len(a.Report(0).GetDays()), 0)
	a.Add(noon, key, 1)
	third := a.Report(0)
	a.Add(noon, key, 1)
	a.Acknowledge(noon, third.GetSequence())
	assert.Equal(t, valueOf(a.Report(0).GetDays(), day, key), uint64(7), "counted after the report was made")

	a.Add(noon.Add(24*time.Hour), key, 1)
	inFlight := a.Report(0)
	a.ResendAll()
	a.Acknowledge(noon, inFlight.GetSequence())
	other := NewBook("r", 30)
	other.Report(noon, a.Report(0))
	assert.Equal(t, other.value(day, key), uint64(7))
	assert.Equal(t, other.value(day+1, key), uint64(1))
}

// Guards against a daemon whose memory grows with the number of days, and against a dropped day
// that is counted from zero again after the clock was set back.
func TestAccumulatorDropsOldDays(t *testing.T) {
	a := NewAccumulator("d", 1)
	b := NewBook("r", 1000)
	for i := range 100 {
		now := noon.Add(time.Duration(i) * 24 * time.Hour)
		a.Add(now, key, 5)
		r := a.Report(0)
		b.Report(now, r)
		a.Acknowledge(now, r.GetSequence())
		assert.Assert(t, len(a.days) <= retainedDays+1)
	}
	a.Add(noon, key, 9)
	b.Report(noon.Add(99*24*time.Hour), a.Report(0))
	assert.Equal(t, b.value(DayOf(noon), key), uint64(5))
	assert.Equal(t, b.sum(), uint64(509))

	a = NewAccumulator("d", 2)
	for i := range 2 * maxUnreportedDays {
		now := noon.Add(time.Duration(i) * 24 * time.Hour)
		a.Add(now, key, 5)
		a.Prune(now)
		assert.Assert(t, len(a.days) <= maxUnreportedDays)
	}
	assert.Equal(t, a.Prune(noon), maxUnreportedDays)
}

func report(daemon string, incarnation, value uint64, day Day) *controlpb.ReportRequest {
	counts := Counts{key: value}
	return &controlpb.ReportRequest{Daemon: daemon, Incarnation: incarnation, Days: []*controlpb.DayCounters{{Day: int32(day), Services: counts.encode()}}}
}

// Guards against a late report of an ended incarnation that is lost or counted twice, and against
// a book that grows without limit when a daemon restarts repeatedly.
func TestManyIncarnations(t *testing.T) {
	b := NewBook("r", 30)
	day := DayOf(noon)
	for i := range uint64(MaxIncarnations) {
		b.Report(noon, report("d", i+1, 2, day))
	}
	assert.Equal(t, b.value(day, key), uint64(2*MaxIncarnations))
	b.Report(noon.Add(20*time.Hour), report("d", 990, 3, day))
	assert.Equal(t, b.value(day, key), uint64(2*MaxIncarnations+1))
	b.Report(noon, report("d", MaxIncarnations+1, 7, day))
	assert.Equal(t, b.value(day, key), uint64(2*MaxIncarnations+1))
	assert.DeepEqual(t, b.Refused(), RefusedCounters{OverLimit: 1})
}

// Guards against an unlimited number of counters of one incarnation, and against existing
// counters that no longer rise at the limit.
func TestManyCounters(t *testing.T) {
	b := NewBook("r", 30)
	day := DayOf(noon)
	for i := range 2 {
		counts := Counts{key: uint64(1 + i)}
		for j := range MaxCounters - 1 {
			counts[Key{"karri", fmt.Sprint(i, " ", j), flowsCarried, ""}] = 1
		}
		b.Report(noon, &controlpb.ReportRequest{Daemon: "d", Incarnation: 1, Days: []*controlpb.DayCounters{{Day: int32(day), Services: counts.encode()}}})
	}
	assert.Equal(t, len(b.findOrAddDay(day).total()), MaxCounters)
	assert.Equal(t, b.value(day, key), uint64(2))
	assert.Equal(t, b.Refused().OverLimit, uint64(MaxCounters-1))
}

// Guards against closed days that stay in memory or are evicted before they are on the disk and
// at their holders, and against days kept past the retention.
func TestEviction(t *testing.T) {
	b := NewBook("r", 40)
	day := DayOf(noon)
	b.Report(noon, report("d", 1, 2, day))
	b.Report(noon, report("d", 1, 2, day+maxFutureDays+1))
	b.Report(noon, report("d", 1, 2, day-41))
	assert.DeepEqual(t, b.Refused(), RefusedCounters{Old: 1, Future: 1})
	later := noon.Add((openDays + 1) * 24 * time.Hour)
	b.Evict(later, b.changeNumber)
	assert.Assert(t, b.HasDay(day), "not saved")
	b.MarkSaved(b.UnsavedDays(), b.changeNumber)
	b.Evict(later, 0)
	assert.Assert(t, b.HasDay(day), "not copied")
	b.Evict(noon.Add(openDays*24*time.Hour), b.changeNumber)
	assert.Assert(t, b.HasDay(day), "open")
	b.Report(later, report("d", 1, 3, day))
	b.Evict(later, b.changeNumber)
	assert.Assert(t, b.HasDay(day), "changed after it was saved")
	b.MarkSaved(b.UnsavedDays(), b.changeNumber)
	b.Evict(noon.Add((maxCopyDays+1)*24*time.Hour), 0)
	assert.Assert(t, !b.HasDay(day), "not copied within maxCopyDays")
	b.Report(later, report("d", 1, 3, day))
	b.Evict(noon.Add(41*24*time.Hour), 0)
	assert.Equal(t, len(b.days), 0)
}

// Guards against all copies in one data centre, too many copies, copies at the replica itself,
// and copies that all move when one replica leaves.
func TestHolders(t *testing.T) {
	three := []Replica{{"a", "x"}, {"b", "y"}, {"c", "z"}}
	assert.Equal(t, len(Holders(three[0], three[1:])), 2)
	assert.Equal(t, len(Holders(three[0], nil)), 0)
	var all []Replica
	for i := range 55 {
		all = append(all, Replica{fmt.Sprint("host-", i), fmt.Sprint("dc-", i/2)})
	}
	copyCounts := map[string]int{}
	movedCount := 0
	for i, self := range all {
		others := slices.Delete(slices.Clone(all), i, i+1)
		holders := Holders(self, others)
		assert.Equal(t, len(holders), CopyCount)
		if i < 54 {
			assert.Equal(t, holders[0], all[i^1].Name, "the other replica of the data centre")
		}
		for _, h := range holders {
			copyCounts[h]++
		}
		remaining := slices.DeleteFunc(slices.Clone(others), func(r Replica) bool { return r.Name == "host-54" })
		if !slices.Equal(Holders(self, remaining), holders) {
			movedCount++
		}
	}
	for name, n := range copyCounts {
		assert.Assert(t, n <= 8, "%s holds copies of %d replicas", name, n)
	}
	assert.Equal(t, movedCount, copyCounts["host-54"])
}

// Guards against malformed reports that use memory or appear in an export.
func TestMalformedReports(t *testing.T) {
	b := NewBook("r", 10)
	day := DayOf(noon)
	long := strings.Repeat("x", maxNameBytes+1)
	b.Report(noon, report("", 1, 1, day))
	b.Report(noon, report(long, 1, 1, day))
	b.Report(noon, report("d", 0, 1, day))
	for _, k := range []Key{{}, {User: long, Service: "s", Kind: flowsCarried}, {User: "u", Service: "s"}, {User: "u", Service: "s", Kind: 99}} {
		counts := Counts{k: 1}
		b.Report(noon, &controlpb.ReportRequest{Daemon: "d", Incarnation: 1, Days: []*controlpb.DayCounters{{Day: int32(day), Services: counts.encode()}}})
	}
	assert.Equal(t, b.Refused().Malformed, uint64(7))
	assert.Equal(t, len(b.days), 0)
}

// Guards against exports whose columns move, that run as formulas in a spreadsheet, or that do
// not say that they are incomplete, and against copies that count twice.
func TestExport(t *testing.T) {
	day := DayOf(noon)
	one := Counts{key: 3, {User: "=cmd|' /C calc'!A0", Service: "a,b", Kind: requestsRefused, Reason: "-queue \"full\""}: 1}
	more := Counts{key: 4}
	answer := func(daemon string, c Counts) *controlpb.DayTotals {
		b := NewBook("r", 30)
		b.Report(noon, &controlpb.ReportRequest{Daemon: daemon, Incarnation: 1, Days: []*controlpb.DayCounters{{Day: int32(day), Services: c.encode()}}})
		return b.EncodeDay(day)
	}
	combined := Combine(day, []*controlpb.DayTotals{answer("north", one), answer("north", more), answer("south", more)})
	days := []*controlpb.DayCounters{combined}
	var csv, text strings.Builder
	assert.NilError(t, WriteCSV(&csv, Rows(days)))
	assert.Equal(t, csv.String(), "day,user,service,counter,reason,count\r\n"+
		"2026-12-04,'=cmd|' /C calc'!A0,\"a,b\",requests_refused,\"'-queue \"\"full\"\"\",1\r\n"+
		"2026-12-04,karri,ticket,flows_carried,,8\r\n")
	assert.NilError(t, WriteText(&text, Rows(days), []string{"east", "west"}))
	assert.Assert(t, strings.Contains(text.String(), "totals may be incomplete: no answer from east, west;"))
	for _, cell := range []string{"+1", "@a", "\tx", " =x", "＝x"} {
		assert.Equal(t, escapeFormula(cell), "'"+cell)
	}
	assert.Equal(t, escapeFormula("queue-full"), "queue-full")
}

// Measures a data centre of 640 daemons: the bytes of a report and of a book, and the cost of
// merging a report. Each daemon has 30 counters: 6 services with flows carried, flows broken and
// 3 reasons of refused requests.
func BenchmarkBook(b *testing.B) {
	const daemons = 640
	day := DayOf(noon)
	counts := Counts{}
	for s := range 6 {
		for r := range 5 {
			kind := controlpb.Counter_Kind(min(r+1, 3))
			counts[Key{"karri", "service-" + string(rune('a'+s)), kind, []string{"", "upstream lost", "queue full", "deadline", "draining"}[r]}] = 100_000
		}
	}
	r := &controlpb.ReportRequest{Incarnation: 1 << 60, Sequence: 1000, VersionInForce: 40_000, Days: []*controlpb.DayCounters{{Day: int32(day), Services: counts.encode()}}}
	book := NewBook("r", 62)
	i := 0
	for b.Loop() {
		r.Daemon = "daemon-" + string(rune('a'+i%daemons))
		book.Report(noon, r)
		i++
	}
	for i := range daemons {
		r.Daemon = "daemon-" + string(rune('a'+i))
		book.Report(noon, r)
	}
	b.ReportMetric(float64(proto.Size(r)), "report-bytes")
	b.ReportMetric(float64(proto.Size(book.allReported())), "book-bytes")
}

// Measures one count in the accumulator of a daemon.
func BenchmarkAdd(b *testing.B) {
	a := NewAccumulator("d", 1)
	for b.Loop() {
		a.Add(noon, key, 1)
	}
}
