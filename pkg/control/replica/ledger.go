package replica

import (
	"encoding/binary"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/totals"
	"rosemarygate/pkg/storage"
)

const (
	filePermission   = 0o600
	folderPermission = 0o700
	checksumSize     = 8  // bytes, before the content of a file
	crowdedDays      = 64 // while days are restored
)

// ledger is the book of totals with one file for each day. Days that are not open any more are
// only on the disk.
type ledger struct {
	name string
	dir  string

	mu       sync.Mutex
	book     *totals.Book
	sent     map[string]uint64 // change number that each holder of copies has
	restores restores
	saving   sync.Mutex // held while files are written
}

func newLedger(name, dir string, retentionDays int, now time.Time) (*ledger, error) {
	if err := os.MkdirAll(dir, folderPermission); err != nil {
		return nil, errors.Wrap(err, "folder of the totals cannot be created: check data_dir")
	}
	l := &ledger{name: name, dir: dir, book: totals.NewBook(name, retentionDays), sent: map[string]uint64{}}
	days, err := l.files()
	if err != nil {
		return nil, err
	}
	for _, day := range days {
		if day < totals.OldestUncopied(now) {
			continue
		}
		t, err := l.read(day)
		if err != nil {
			return nil, err
		}
		l.book.Merge(now, &controlpb.TotalsExchange{Days: []*controlpb.DayTotals{t}})
	}
	l.restores, err = loadRestores(filepath.Join(dir, restoredFile), days)
	return l, err
}

// files returns the days that have a file, sorted.
func (l *ledger) files() ([]totals.Day, error) {
	entries, err := os.ReadDir(l.dir)
	if err != nil {
		return nil, errors.Wrap(err, "totals cannot be read: check the data folder")
	}
	var days []totals.Day
	for _, e := range entries {
		if day, err := totals.ParseDay(e.Name()); err == nil {
			days = append(days, day)
		}
	}
	return days, nil // ReadDir sorts, and so do the names
}

func (l *ledger) path(day totals.Day) string { return filepath.Join(l.dir, day.String()) }

// read returns the content of a day's file, nil if there is none.
func (l *ledger) read(day totals.Day) (*controlpb.DayTotals, error) {
	data, err := os.ReadFile(l.path(day))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "totals cannot be read: check the data folder")
	}
	t := new(controlpb.DayTotals)
	if len(data) < checksumSize || xxhash.Sum64(data[checksumSize:]) != binary.BigEndian.Uint64(data) || proto.Unmarshal(data[checksumSize:], t) != nil {
		return nil, errors.Errorf("totals %s are damaged: stop the daemon, delete this file and %s, and start it again; the other replicas return what they have of it",
			l.path(day), filepath.Join(l.dir, restoredFile))
	}
	return t, nil
}

// load takes days from their files into the book.
func (l *ledger) load(days []totals.Day, now time.Time) error {
	for _, day := range days {
		if l.book.Holds(day) {
			continue
		}
		t, err := l.read(day)
		if err != nil {
			return err
		}
		if t != nil {
			l.book.Merge(now, &controlpb.TotalsExchange{Days: []*controlpb.DayTotals{t}})
		}
	}
	return nil
}

func daysOf[D interface{ GetDay() int32 }](list []D) []totals.Day {
	var days []totals.Day
	for _, d := range list {
		days = append(days, totals.Day(d.GetDay()))
	}
	return days
}

// report merges a daemon's report. It fails if a closed day's file cannot be read.
func (l *ledger) report(q *controlpb.ReportRequest, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.load(daysOf(q.GetDays()), now); err != nil {
		return err
	}
	l.book.Report(now, q)
	return nil
}

// merge merges counters of another replica.
func (l *ledger) merge(x *controlpb.TotalsExchange, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.load(daysOf(x.GetDays()), now); err != nil {
		return err
	}
	l.book.Merge(now, x)
	return nil
}

// changes returns what a holder of copies does not have yet.
func (l *ledger) changes(holder string) (*controlpb.TotalsExchange, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.ReportedSince(l.sent[holder])
}

func (l *ledger) delivered(holder string, change uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[holder] = change
}

// collect calls send with the chosen part of each day, in order.
func (l *ledger) collect(q totals.Query, send func(*controlpb.DayTotals) error) error {
	l.mu.Lock()
	days, err := l.files()
	days = append(days, l.book.Days()...)
	l.mu.Unlock()
	if err != nil {
		return err
	}
	slices.Sort(days)
	for _, day := range slices.Compact(days) {
		if day < q.From || day > q.To {
			continue
		}
		t, err := l.chosen(day, q)
		if err != nil {
			return err
		}
		if len(t.GetDaemons()) == 0 {
			continue
		}
		if err := send(t); err != nil {
			return err
		}
	}
	return nil
}

func (l *ledger) chosen(day totals.Day, q totals.Query) (*controlpb.DayTotals, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.book.Holds(day) {
		return l.book.Choose(l.book.Day(day), q), nil
	}
	t, err := l.read(day)
	if err != nil || t == nil {
		return nil, err
	}
	return l.book.Choose(t, q), nil
}

// save writes the days that changed, and drops days from memory that are closed and copied to
// all holders.
func (l *ledger) save(now time.Time, holders []string) error {
	l.saving.Lock()
	defer l.saving.Unlock()
	l.mu.Lock()
	days, change := l.book.Unsaved(), l.book.Changes()
	var content []*controlpb.DayTotals
	for _, day := range days {
		content = append(content, l.book.Day(day))
	}
	l.mu.Unlock()
	for _, t := range content {
		if err := l.write(t); err != nil {
			return err
		}
	}
	if len(days) > 0 {
		if err := (storage.OS{}).SyncDir(l.dir); err != nil {
			return errors.WithStack(err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.Saved(days, change)
	l.book.Evict(now, l.copied(holders))
	return l.removeOld(now)
}

func (l *ledger) write(t *controlpb.DayTotals) error {
	data, err := proto.Marshal(t)
	if err != nil {
		return errors.WithStack(err)
	}
	data = append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(data)), data...)
	return errors.WithStack(renameio.WriteFile(l.path(totals.Day(t.GetDay())), data, filePermission))
}

// copied returns the change number that all holders have.
func (l *ledger) copied(holders []string) uint64 {
	least := uint64(math.MaxUint64)
	for _, h := range holders {
		least = min(least, l.sent[h])
	}
	return least
}

// owed returns the days that another replica has to return, and whether it has to at all.
func (l *ledger) owed(name string, lines map[string]string) (totals.Day, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restores.from(name, lines)
}

// returned records that another replica returned what it owes. The file that says so is written
// after the days.
func (l *ledger) returned(name string, from totals.Day, lines map[string]string, now time.Time, holders []string) error {
	l.mu.Lock()
	complete := l.restores.returned(name, from, lines)
	l.mu.Unlock()
	if !complete {
		return nil
	}
	if err := l.save(now, holders); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restores.write(lines)
}

// dataCentre returns the data centre that a replica had when the totals were restored last.
func (l *ledger) dataCentre(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restores.dataCentre(name)
}

// crowded reports whether so many days are in memory that closed ones have to be written.
func (l *ledger) crowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.book.Days()) > crowdedDays
}

// removeOld removes the files of days beyond the retention.
func (l *ledger) removeOld(now time.Time) error {
	days, err := l.files()
	if err != nil {
		return err
	}
	for _, day := range days {
		if day >= l.book.Oldest(now) {
			break
		}
		if err := os.Remove(l.path(day)); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
