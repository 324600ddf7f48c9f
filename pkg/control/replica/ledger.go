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
	checksumSize     = 8  // bytes, before the content in a file
	maxDaysInMemory  = 64 // while days are restored
)

// totalsLedger stores the totals in one file for each day. Days that are closed and copied to other
// replicas are kept only on disk.
type totalsLedger struct {
	name string
	dir  string

	mu              sync.Mutex
	book            *totals.Book
	deliveredChange map[string]uint64 // change number of the book up to which each holder has copies
	restores        restoreTracker
	saveMu          sync.Mutex // held while files are written
}

func newTotalsLedger(name, dir string, retentionDays int, now time.Time) (*totalsLedger, error) {
	if err := os.MkdirAll(dir, folderPermission); err != nil {
		return nil, errors.Wrap(err, "folder of the totals cannot be created: check data_dir")
	}
	l := &totalsLedger{name: name, dir: dir, book: totals.NewBook(name, retentionDays), deliveredChange: map[string]uint64{}}
	days, err := l.savedDays()
	if err != nil {
		return nil, err
	}
	for _, day := range days {
		if day < totals.OldestUncopiedDay(now) {
			continue
		}
		t, err := l.readDay(day)
		if err != nil {
			return nil, err
		}
		l.book.Merge(now, &controlpb.TotalsExchange{Days: []*controlpb.DayTotals{t}})
	}
	l.restores, err = loadRestoreTracker(filepath.Join(dir, restoredFile), days)
	return l, err
}

// savedDays returns the days that have a file, in order.
func (l *totalsLedger) savedDays() ([]totals.Day, error) {
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
	return days, nil // ReadDir sorts by name, and the order of the names is that of the days
}

func (l *totalsLedger) dayPath(day totals.Day) string { return filepath.Join(l.dir, day.String()) }

// readDay returns the content of a day's file, nil if there is none.
func (l *totalsLedger) readDay(day totals.Day) (*controlpb.DayTotals, error) {
	data, err := os.ReadFile(l.dayPath(day))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "totals cannot be read: check the data folder")
	}
	t := new(controlpb.DayTotals)
	if len(data) < checksumSize || xxhash.Sum64(data[checksumSize:]) != binary.BigEndian.Uint64(data) || proto.Unmarshal(data[checksumSize:], t) != nil {
		return nil, errors.Errorf("totals %s are damaged: stop the daemon, delete this file and %s, and start it again; the other replicas return what they have of it",
			l.dayPath(day), filepath.Join(l.dir, restoredFile))
	}
	return t, nil
}

// loadDays loads days from their files into the book, unless they are in memory.
func (l *totalsLedger) loadDays(days []totals.Day, now time.Time) error {
	for _, day := range days {
		if l.book.HasDay(day) {
			continue
		}
		t, err := l.readDay(day)
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

// mergeReport merges the report of a daemon. It fails if the file of a closed day cannot be read.
func (l *totalsLedger) mergeReport(report *controlpb.ReportRequest, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.loadDays(daysOf(report.GetDays()), now); err != nil {
		return err
	}
	l.book.Report(now, report)
	return nil
}

// mergeExchange merges counters from another replica.
func (l *totalsLedger) mergeExchange(exchange *controlpb.TotalsExchange, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.loadDays(daysOf(exchange.GetDays()), now); err != nil {
		return err
	}
	l.book.Merge(now, exchange)
	return nil
}

// undelivered returns the counters that a holder of copies does not have yet, and the change number
// that it will have with them.
func (l *totalsLedger) undelivered(holder string) (*controlpb.TotalsExchange, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.ReportedSince(l.deliveredChange[holder])
}

// setDelivered records that a holder has copies up to a change number.
func (l *totalsLedger) setDelivered(holder string, change uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliveredChange[holder] = change
}

// collect calls send with the part of each day that matches the query, in the order of the days.
func (l *totalsLedger) collect(query totals.Query, send func(*controlpb.DayTotals) error) error {
	l.mu.Lock()
	days, err := l.savedDays()
	days = append(days, l.book.Days()...)
	l.mu.Unlock()
	if err != nil {
		return err
	}
	slices.Sort(days)
	for _, day := range slices.Compact(days) {
		if day < query.From || day > query.To {
			continue
		}
		t, err := l.selectDay(day, query)
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

// selectDay returns the part of a day that matches the query, from memory or from the day's file.
func (l *totalsLedger) selectDay(day totals.Day, query totals.Query) (*controlpb.DayTotals, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.book.HasDay(day) {
		return l.book.Select(l.book.EncodeDay(day), query), nil
	}
	t, err := l.readDay(day)
	if err != nil || t == nil {
		return nil, err
	}
	return l.book.Select(t, query), nil
}

// save writes the changed days to disk, removes from memory the days that are closed and copied to
// all holders, and deletes expired files.
func (l *totalsLedger) save(now time.Time, holders []string) error {
	l.saveMu.Lock()
	defer l.saveMu.Unlock()
	l.mu.Lock()
	days, change := l.book.UnsavedDays(), l.book.ChangeNumber()
	var contents []*controlpb.DayTotals
	for _, day := range days {
		contents = append(contents, l.book.EncodeDay(day))
	}
	l.mu.Unlock()
	for _, t := range contents {
		if err := l.writeDay(t); err != nil {
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
	l.book.MarkSaved(days, change)
	l.book.Evict(now, l.copiedChange(holders))
	return l.removeExpired(now)
}

func (l *totalsLedger) writeDay(t *controlpb.DayTotals) error {
	data, err := proto.Marshal(t)
	if err != nil {
		return errors.WithStack(err)
	}
	data = append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(data)), data...)
	return errors.WithStack(renameio.WriteFile(l.dayPath(totals.Day(t.GetDay())), data, filePermission))
}

// copiedChange returns the change number up to which all holders have copies.
func (l *totalsLedger) copiedChange(holders []string) uint64 {
	lowest := uint64(math.MaxUint64)
	for _, h := range holders {
		lowest = min(lowest, l.deliveredChange[h])
	}
	return lowest
}

// firstDayToReturn returns the first day that another replica has to return, and false if it has returned
// all of them.
func (l *totalsLedger) firstDayToReturn(name string, expectedLines map[string]string) (totals.Day, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restores.firstDayToReturn(name, expectedLines)
}

// setReturned records that another replica returned all days since from. When all replicas have
// returned all days, it saves the days and then the list of these replicas.
func (l *totalsLedger) setReturned(name string, from totals.Day, expectedLines map[string]string, now time.Time, holders []string) error {
	l.mu.Lock()
	complete := l.restores.setReturned(name, from, expectedLines)
	l.mu.Unlock()
	if !complete {
		return nil
	}
	if err := l.save(now, holders); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restores.writeComplete(expectedLines)
}

// dataCentre returns the data centre that a replica had when the totals were last restored.
func (l *totalsLedger) dataCentre(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restores.dataCentre(name)
}

// tooManyDaysInMemory reports whether there are more than maxDaysInMemory days in memory, so that closed
// ones have to be saved and removed from it.
func (l *totalsLedger) tooManyDaysInMemory() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.book.Days()) > maxDaysInMemory
}

// removeExpired deletes the files of days older than the retention period.
func (l *totalsLedger) removeExpired(now time.Time) error {
	days, err := l.savedDays()
	if err != nil {
		return err
	}
	for _, day := range days {
		if day >= l.book.OldestDay(now) {
			break
		}
		if err := os.Remove(l.dayPath(day)); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
