package storage_test

import (
	"errors"
	"math/rand/v2"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/storage"
	"rosemarygate/pkg/storage/faultfs"
)

const dir = "/data"

var self = agreement.Replica{ID: 1, Incarnation: 1}

func newFS(seed uint64) *faultfs.FS { return faultfs.New(rand.New(rand.NewPCG(seed, 2))) }

func entry(index uint64, size int) agreement.Entry {
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(index) | 1 // no zero sectors
	}
	return agreement.Entry{Term: 1, Index: index, Kind: agreement.EntryData, Data: data}
}

// saveEntries opens the folder and saves entries one by one until an error. It returns the number of
// saved entries.
func saveEntries(fs storage.FS, dataDir string, first, count uint64, opts storage.Options) (uint64, error) {
	s, _, err := storage.Open(fs, dataDir, opts)
	if err != nil {
		return 0, err
	}
	for i := range count {
		hard := agreement.HardState{Term: 1, Vote: self, Commit: first + i - 1, Group: 3}
		if err := s.Save(&hard, []agreement.Entry{entry(first+i, 100)}); err != nil {
			return i, err
		}
	}
	return count, s.Close()
}

// Guards against lost entries and a folder that cannot be opened after a crash at any change of the
// file system, followed by a second crash while the folder is opened.
func TestCrashAtAnyChange(t *testing.T) {
	opts := storage.Options{Self: self, SegmentBytes: 500}
	for failAt := 1; failAt < 80; failAt++ {
		for seed := range uint64(20) {
			fs := newFS(seed)
			fs.FailIn(failAt)
			saved, err := saveEntries(fs, dir, 1, 15, opts)
			if failAt < 30 {
				assert.ErrorIs(t, err, faultfs.ErrInjected)
			}
			fs.Crash()
			fs.FailIn(1 + int(seed)%8)
			_, _, _ = storage.Open(fs, dir, opts)
			fs.Crash()
			_, st, err := storage.Open(fs, dir, opts)
			assert.NilError(t, err, "crash at change %d, seed %d", failAt, seed)
			n := uint64(len(st.Entries))
			assert.Assert(t, n == saved || n == saved+1, "crash at change %d, seed %d: %d entries, %d saved", failAt, seed, n, saved)
		}
	}
}

// Guards against the loss of a snapshot, or of the entries that follow it, by a crash at any change.
func TestCrashDuringSnapshot(t *testing.T) {
	opts := storage.Options{Self: self, SegmentBytes: 500}
	for failAt := 1; failAt < 20; failAt++ {
		for seed := range uint64(20) {
			fs := newFS(seed)
			_, err := saveEntries(fs, dir, 1, 10, opts)
			assert.NilError(t, err)
			s, st, err := storage.Open(fs, dir, opts)
			assert.NilError(t, err)
			fs.FailIn(failAt)
			snap := agreement.Snapshot{Index: 6, Term: 1, Data: []byte("state")}
			if s.SaveSnapshot(snap, st.Entries[6:]) != nil {
				assert.ErrorIs(t, s.Save(nil, st.Entries[:1]), storage.ErrBroken)
			}
			fs.Crash()
			_, got, err := storage.Open(fs, dir, opts)
			assert.NilError(t, err)
			last := got.Snapshot.Index + uint64(len(got.Entries))
			assert.Equal(t, last, uint64(10), "crash at change %d, seed %d", failAt, seed)
			assert.Equal(t, got.HardState.Vote, self)
		}
	}
}

// Guards against obsolete entries that reappear after a received snapshot.
func TestReceivedSnapshotReplacesLog(t *testing.T) {
	for failAt := range 20 {
		fs := newFS(uint64(failAt))
		_, err := saveEntries(fs, dir, 1, 10, storage.Options{Self: self})
		assert.NilError(t, err)
		s, _, err := storage.Open(fs, dir, storage.Options{Self: self})
		assert.NilError(t, err)
		fs.FailIn(failAt)
		saved := s.SaveSnapshot(agreement.Snapshot{Index: 9, Term: 5}, nil) == nil
		fs.Crash()
		_, st, err := storage.Open(fs, dir, storage.Options{Self: self})
		assert.NilError(t, err)
		if saved || st.Snapshot.Index == 9 {
			assert.Equal(t, len(st.Entries), 0)
		} else {
			assert.Equal(t, len(st.Entries), 10)
		}
	}
}

// Guards against corruption that is mistaken for an interrupted write: any inverted byte of a synced
// record must cause an error that names the remedy.
func TestCorruptionIsReported(t *testing.T) {
	fs := newFS(1)
	_, err := saveEntries(fs, dir, 1, 5, storage.Options{Self: self})
	assert.NilError(t, err)
	path := filepath.Join(dir, "wal-0000000000000001.log")
	for offset := 0; fs.Corrupt(path, offset); offset++ {
		_, _, err := storage.Open(fs, dir, storage.Options{Self: self})
		var corrupt *storage.CorruptError
		assert.Assert(t, errors.As(err, &corrupt), "offset %d: %v", offset, err)
		assert.ErrorContains(t, err, "remove the data folder")
		fs.Corrupt(path, offset)
	}
}

// Guards against missing files that are not reported.
func TestMissingFilesAreReported(t *testing.T) {
	fs := newFS(1)
	opts := storage.Options{Self: self, SegmentBytes: 300}
	_, err := saveEntries(fs, dir, 1, 9, opts)
	assert.NilError(t, err)
	names, err := fs.ReadDir(dir)
	assert.NilError(t, err)
	assert.Assert(t, len(names) >= 3)
	for _, name := range names[:len(names)-1] {
		path := filepath.Join(dir, name)
		assert.NilError(t, fs.Rename(path, "/elsewhere"))
		_, _, err := storage.Open(fs, dir, opts)
		var corrupt *storage.CorruptError
		assert.Assert(t, errors.As(err, &corrupt), "%s: %v", name, err)
		assert.NilError(t, fs.Rename("/elsewhere", path))
	}
	_, _, err = storage.Open(fs, dir, storage.Options{Self: agreement.Replica{ID: 2, Incarnation: 1}})
	var other *storage.OtherReplicaError
	assert.Assert(t, errors.As(err, &other), "%v", err)
}

// Guards against an incarnation that is not durable, and one that changes although the disk is intact.
func TestIncarnationIsDurable(t *testing.T) {
	fs := newFS(1)
	nextIncarnation := agreement.Replica{ID: 1, Incarnation: 2}
	_, err := saveEntries(fs, dir, 1, 1, storage.Options{Self: self})
	assert.NilError(t, err)
	_, st, err := storage.Open(fs, dir, storage.Options{Self: nextIncarnation})
	assert.NilError(t, err)
	assert.Equal(t, st.Self, self)
	fs.LoseDisk()
	_, st, err = storage.Open(fs, dir, storage.Options{Self: nextIncarnation})
	assert.NilError(t, err)
	assert.Equal(t, st.Self, nextIncarnation)
	assert.Equal(t, st.HardState, agreement.HardState{})
}

// Guards against disk use that grows with the number of changes.
func TestDiskUseIsBounded(t *testing.T) {
	fs := newFS(1)
	opts := storage.Options{Self: self, SegmentBytes: 4 << 10}
	s, _, err := storage.Open(fs, dir, opts)
	assert.NilError(t, err)
	peak := 0
	for i := uint64(1); i <= 5000; i++ {
		assert.NilError(t, s.Save(&agreement.HardState{Term: 1, Commit: i}, []agreement.Entry{entry(i, 100)}))
		if i%100 == 0 {
			assert.NilError(t, s.SaveSnapshot(agreement.Snapshot{Index: i, Term: 1, Data: make([]byte, 1000)}, nil))
		}
		peak = max(peak, fs.Size())
	}
	assert.Assert(t, peak < 40<<10, "%d bytes", peak)
}

// writeTenThousandEntries writes 10,000 entries to the real file system, 100 in each record.
func writeTenThousandEntries(tb testing.TB, dataDir string) {
	tb.Helper()
	s, _, err := storage.Open(storage.OS{}, dataDir, storage.Options{Self: self})
	assert.NilError(tb, err)
	for i := uint64(0); i < 10_000; i += 100 {
		var batch []agreement.Entry
		for j := range uint64(100) {
			batch = append(batch, entry(i+j+1, 200))
		}
		assert.NilError(tb, s.Save(&agreement.HardState{Term: 1, Commit: i}, batch))
	}
	assert.NilError(tb, s.Close())
}

// Guards against a slow restart with a long log.
func TestOpenTenThousandEntries(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "replica")
	writeTenThousandEntries(t, folder)
	start := time.Now()
	s, st, err := storage.Open(storage.OS{}, folder, storage.Options{Self: self})
	assert.NilError(t, err)
	defer s.Close()
	assert.Equal(t, len(st.Entries), 10_000)
	elapsed := time.Since(start)
	t.Logf("opened in %v", elapsed)
	assert.Assert(t, elapsed < time.Second, "%v", elapsed)
}

// BenchmarkRecoverTenThousandEntries opens the folder, starts a node and returns all entries to apply.
func BenchmarkRecoverTenThousandEntries(b *testing.B) {
	folder := filepath.Join(b.TempDir(), "replica")
	writeTenThousandEntries(b, folder)
	for b.Loop() {
		s, st, err := storage.Open(storage.OS{}, folder, storage.Options{Self: self})
		assert.NilError(b, err)
		node, err := agreement.New(agreement.Config{}, st, rand.New(rand.NewPCG(1, 1)))
		assert.NilError(b, err)
		assert.Equal(b, len(node.Ready().Committed), 9_900) // the commit index does not include the last record's entries
		assert.NilError(b, s.Close())
	}
}
