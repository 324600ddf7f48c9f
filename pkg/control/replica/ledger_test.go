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

func openLedger(t *testing.T, dir string, now time.Time) *ledger {
	l, err := newLedger("a", dir, 400, now)
	assert.NilError(t, err)
	return l
}

func (l *ledger) take(t *testing.T, now time.Time, count uint64) {
	a := totals.NewAccumulator("d", 1)
	a.Add(now, key, count)
	assert.NilError(t, l.report(a.Report(0), now))
}

// values returns the count of each day.
func (l *ledger) values(t *testing.T) map[totals.Day]uint64 {
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

// Guards against days that a crash loses after they were saved, closed days that stay in memory,
// a late report that replaces a closed day, and files beyond the retention.
func TestLedgerKeepsDays(t *testing.T) {
	dir := t.TempDir()
	l := openLedger(t, dir, noon)
	want := map[totals.Day]uint64{}
	for i := range 40 {
		now := noon.Add(time.Duration(i) * 24 * time.Hour)
		l.take(t, now, uint64(i+1))
		want[today+totals.Day(i)] = uint64(i + 1)
		_, change := l.changes("b")
		l.delivered("b", change)
		assert.NilError(t, l.save(now, []string{"b"}))
		assert.Assert(t, len(l.book.Days()) <= 5)
	}
	assert.DeepEqual(t, l.values(t), want)
	now := noon.Add(40 * 24 * time.Hour)
	l = openLedger(t, dir, now) // after a crash
	assert.DeepEqual(t, l.values(t), want)
	l.take(t, noon, 100) // a report of a closed day
	want[today] = 100
	assert.NilError(t, l.save(now, nil))
	assert.DeepEqual(t, openLedger(t, dir, now).values(t), want)
	later := noon.Add(439 * 24 * time.Hour)
	assert.NilError(t, l.save(later, nil))
	delete(want, today)
	maps.DeleteFunc(want, func(day totals.Day, _ uint64) bool { return day < today+39 })
	assert.DeepEqual(t, l.values(t), want)
}

// Guards against a closed day that leaves the memory before its holder has a copy, also after a
// restart.
func TestLedgerKeepsUncopiedDays(t *testing.T) {
	dir := t.TempDir()
	l := openLedger(t, dir, noon)
	l.take(t, noon, 1)
	later := noon.Add(10 * 24 * time.Hour)
	assert.NilError(t, l.save(later, []string{"b"}))
	x, _ := l.changes("b")
	assert.Equal(t, len(x.GetDays()), 1)
	l = openLedger(t, dir, later)
	x, change := l.changes("b")
	assert.Equal(t, len(x.GetDays()), 1)
	l.delivered("b", change)
	assert.NilError(t, l.save(later, []string{"b"}))
	assert.Equal(t, len(l.book.Days()), 0)
}

// Guards against a damaged file that is read as totals, or that ends the daemon without a remedy.
func TestDamagedTotals(t *testing.T) {
	dir := t.TempDir()
	l := openLedger(t, dir, noon)
	l.take(t, noon, 1)
	assert.NilError(t, l.save(noon, nil))
	path := filepath.Join(dir, today.String())
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	for i := range data {
		data[i] ^= 1
		assert.NilError(t, os.WriteFile(path, data, 0o600))
		_, err := newLedger("a", dir, 400, noon)
		assert.ErrorContains(t, err, "delete this file")
		data[i] ^= 1
	}
	assert.NilError(t, os.WriteFile(path, nil, 0o600))
	_, err = newLedger("a", dir, 400, noon)
	assert.ErrorContains(t, err, "delete this file")
}

// Guards against totals that are not asked for after a crash, a lost disk or a change of the
// replicas, and against all days that are asked for at each start.
func TestRestores(t *testing.T) {
	dir := t.TempDir()
	lines := map[string]string{"b": "b\tx\tcopies", "c": "c\ty"}
	all := totals.Day(math.MinInt32)
	from := func(l *ledger, name string, want totals.Day) {
		t.Helper()
		day, owed := l.owed(name, lines)
		assert.Assert(t, owed)
		assert.Equal(t, day, want)
		assert.NilError(t, l.returned(name, day, lines, noon, nil))
		_, owed = l.owed(name, lines)
		assert.Assert(t, !owed)
	}
	l := openLedger(t, dir, noon)
	l.take(t, noon, 1)
	from(l, "b", all)
	l = openLedger(t, dir, noon)
	l.take(t, noon, 1)
	from(l, "b", all) // c has not returned anything yet
	from(l, "c", all)
	l = openLedger(t, dir, noon)
	assert.Equal(t, l.dataCentre("b"), "x")
	from(l, "b", totals.FirstIncomplete(today))
	lines["d"] = "d\tz"
	from(l, "b", all)
	from(l, "c", all)
	from(l, "d", all)
	l = openLedger(t, dir, noon)
	from(l, "d", totals.FirstIncomplete(today))
	assert.NilError(t, os.Remove(filepath.Join(dir, today.String())))
	from(openLedger(t, dir, noon), "d", all) // the disk was lost
}
