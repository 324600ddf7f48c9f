package replica

import (
	"maps"
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/totals"
)

var (
	noon  = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	today = totals.DayOf(noon)
	key   = totals.Key{User: "karri", Service: "ticket", Kind: controlpb.Counter_KIND_FLOWS_CARRIED}
)

func openLedger(t *testing.T, dir string, now time.Time) *totalsLedger {
	l, err := newTotalsLedger("a", dir, 400, now)
	assert.NilError(t, err)
	return l
}

func (l *totalsLedger) addCount(t *testing.T, now time.Time, count uint64) {
	a := totals.NewAccumulator("d", 1)
	a.Add(now, key, count)
	assert.NilError(t, l.mergeReport(a.Report(0), now))
}

// countsByDay returns the count of each day.
func (l *totalsLedger) countsByDay(t *testing.T) map[totals.Day]uint64 {
	out := map[totals.Day]uint64{}
	assert.NilError(t, l.collect(totals.Query{From: 0, To: math.MaxInt32}, func(d *controlpb.DayTotals) error {
		day := totals.Day(d.GetDay())
		for _, row := range totals.Rows([]*controlpb.DayCounters{totals.Combine(day, []*controlpb.DayTotals{d})}) {
			out[day] += row.Count
		}
		return nil
	}))
	return out
}

// Guards against saved days that are lost in a crash, closed days that stay in memory, a late report
// that overwrites a closed day, and files that outlive the retention period.
func TestLedgerKeepsDays(t *testing.T) {
	dir := t.TempDir()
	l := openLedger(t, dir, noon)
	want := map[totals.Day]uint64{}
	for i := range 40 {
		now := noon.Add(time.Duration(i) * 24 * time.Hour)
		l.addCount(t, now, uint64(i+1))
		want[today+totals.Day(i)] = uint64(i + 1)
		_, change := l.undelivered("b")
		l.setDelivered("b", change)
		assert.NilError(t, l.save(now, []string{"b"}))
		assert.Assert(t, len(l.book.Days()) <= 5)
	}
	assert.DeepEqual(t, l.countsByDay(t), want)
	now := noon.Add(40 * 24 * time.Hour)
	l = openLedger(t, dir, now) // after a crash
	assert.DeepEqual(t, l.countsByDay(t), want)
	l.addCount(t, noon, 100) // a report of a closed day
	want[today] = 100
	assert.NilError(t, l.save(now, nil))
	assert.DeepEqual(t, openLedger(t, dir, now).countsByDay(t), want)
	later := noon.Add(439 * 24 * time.Hour)
	assert.NilError(t, l.save(later, nil))
	delete(want, today)
	maps.DeleteFunc(want, func(day totals.Day, _ uint64) bool { return day < today+39 })
	assert.DeepEqual(t, l.countsByDay(t), want)
}

// Guards against a closed day that is removed from memory before its holder has a copy, also after a
// restart.
func TestLedgerKeepsUncopiedDays(t *testing.T) {
	dir := t.TempDir()
	l := openLedger(t, dir, noon)
	l.addCount(t, noon, 1)
	later := noon.Add(10 * 24 * time.Hour)
	assert.NilError(t, l.save(later, []string{"b"}))
	exchange, _ := l.undelivered("b")
	assert.Equal(t, len(exchange.GetDays()), 1)
	l = openLedger(t, dir, later)
	exchange, change := l.undelivered("b")
	assert.Equal(t, len(exchange.GetDays()), 1)
	l.setDelivered("b", change)
	assert.NilError(t, l.save(later, []string{"b"}))
	assert.Equal(t, len(l.book.Days()), 0)
}

// Guards against totals that are read from a damaged file, and an error about it without a remedy.
func TestDamagedTotals(t *testing.T) {
	dir := t.TempDir()
	l := openLedger(t, dir, noon)
	l.addCount(t, noon, 1)
	assert.NilError(t, l.save(noon, nil))
	path := filepath.Join(dir, today.String())
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	for i := range data {
		data[i] ^= 1
		assert.NilError(t, os.WriteFile(path, data, 0o600))
		_, err := newTotalsLedger("a", dir, 400, noon)
		assert.ErrorContains(t, err, "delete this file")
		data[i] ^= 1
	}
	assert.NilError(t, os.WriteFile(path, nil, 0o600))
	_, err = newTotalsLedger("a", dir, 400, noon)
	assert.ErrorContains(t, err, "delete this file")
}

// Guards against totals that are not requested after a crash, the loss of a disk or a change of the
// replicas, and against requesting all days at each start.
func TestRestoreTracker(t *testing.T) {
	dir := t.TempDir()
	expectedLines := map[string]string{"b": "b\tx\tcopies", "c": "c\ty"}
	allDays := totals.Day(math.MinInt32)
	checkAndReturn := func(l *totalsLedger, name string, want totals.Day) {
		t.Helper()
		day, incomplete := l.firstDayToReturn(name, expectedLines)
		assert.Assert(t, incomplete)
		assert.Equal(t, day, want)
		assert.NilError(t, l.setReturned(name, day, expectedLines, noon, nil))
		_, incomplete = l.firstDayToReturn(name, expectedLines)
		assert.Assert(t, !incomplete)
	}
	l := openLedger(t, dir, noon)
	l.addCount(t, noon, 1)
	checkAndReturn(l, "b", allDays)
	l = openLedger(t, dir, noon)
	l.addCount(t, noon, 1)
	checkAndReturn(l, "b", allDays) // c has not returned anything yet
	checkAndReturn(l, "c", allDays)
	l = openLedger(t, dir, noon)
	assert.Equal(t, l.dataCentre("b"), "x")
	checkAndReturn(l, "b", totals.FirstIncompleteDay(today))
	expectedLines["d"] = "d\tz"
	checkAndReturn(l, "b", allDays)
	checkAndReturn(l, "c", allDays)
	checkAndReturn(l, "d", allDays)
	l = openLedger(t, dir, noon)
	checkAndReturn(l, "d", totals.FirstIncompleteDay(today))
	assert.NilError(t, os.Remove(filepath.Join(dir, today.String())))
	checkAndReturn(openLedger(t, dir, noon), "d", allDays) // the disk was lost
}
