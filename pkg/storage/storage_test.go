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

// write opens the folder and saves entries one at a time until an error; it returns the number saved.
func write(fs storage.FS, folder string, first, count uint64, opts storage.Options) (uint64, error) {
	s, _, err := storage.Open(fs, folder, opts)
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

// Guards against acknowledged entries that are lost, or a folder that cannot be opened, after a
// crash at any change of the file system, and against a second crash right after the first.
func TestCrashAtAnyChange(t *testing.T) {
	opts := storage.Options{Self: self, SegmentBytes: 500}
	for at := 1; at < 80; at++ {
		for seed := range uint64(20) {
			fs := newFS(seed)
			fs.FailIn(at)
			saved, err := write(fs, dir, 1, 15, opts)
			if at < 30 {
				assert.ErrorIs(t, err, faultfs.ErrInjected)
			}
			fs.Crash()
			fs.FailIn(1 + int(seed)%8)
			_, _, _ = storage.Open(fs, dir, opts)
			fs.Crash()
			_, st, err := storage.Open(fs, dir, opts)
			assert.NilError(t, err, "crash at change %d, seed %d", at, seed)
			n := uint64(len(st.Entries))
			assert.Assert(t, n == saved || n == saved+1, "crash at change %d, seed %d: %d entries, %d saved", at, seed, n, saved)
		}
	}
}

// Guards against a snapshot or the log after it that is lost when a crash hits at any change.
func TestCrashDuringSnapshot(t *testing.T) {
	opts := storage.Options{Self: self, SegmentBytes: 500}
	for at := 1; at < 20; at++ {
		for seed := range uint64(20) {
			fs := newFS(seed)
			_, err := write(fs, dir, 1, 10, opts)
			assert.NilError(t, err)
			s, st, err := storage.Open(fs, dir, opts)
			assert.NilError(t, err)
			fs.FailIn(at)
			snap := agreement.Snapshot{Index: 6, Term: 1, Data: []byte("state")}
			if s.SaveSnapshot(snap, st.Entries[6:]) != nil {
				assert.ErrorIs(t, s.Save(nil, st.Entries[:1]), storage.ErrBroken)
			}
			fs.Crash()
			_, got, err := storage.Open(fs, dir, opts)
			assert.NilError(t, err)
			last := got.Snapshot.Index + uint64(len(got.Entries))
			assert.Equal(t, last, uint64(10), "crash at change %d, seed %d", at, seed)
			assert.Equal(t, got.HardState.Vote, self)
		}
	}
}

// Guards against a received snapshot after which obsolete entries of the old log come back.
func TestReceivedSnapshotReplacesLog(t *testing.T) {
	for at := range 20 {
		fs := newFS(uint64(at))
		_, err := write(fs, dir, 1, 10, storage.Options{Self: self})
		assert.NilError(t, err)
		s, _, err := storage.Open(fs, dir, storage.Options{Self: self})
		assert.NilError(t, err)
		fs.FailIn(at)
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

// Guards against corruption that is taken for an interrupted write: any inverted byte of a synced
// record is an error that names the remedy.
func TestCorruptionIsReported(t *testing.T) {
	fs := newFS(1)
	_, err := write(fs, dir, 1, 5, storage.Options{Self: self})
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

// Guards against files that are missing without notice.
func TestMissingFiles(t *testing.T) {
	fs := newFS(1)
	opts := storage.Options{Self: self, SegmentBytes: 300}
	_, err := write(fs, dir, 1, 9, opts)
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

// Guards against a folder that keeps its identity only in the process, and one that gets a new
// incarnation although its disk is intact.
func TestIncarnation(t *testing.T) {
	fs := newFS(1)
	later := agreement.Replica{ID: 1, Incarnation: 2}
	_, err := write(fs, dir, 1, 1, storage.Options{Self: self})
	assert.NilError(t, err)
	_, st, err := storage.Open(fs, dir, storage.Options{Self: later})
	assert.NilError(t, err)
	assert.Equal(t, st.Self, self)
	fs.LoseDisk()
	_, st, err = storage.Open(fs, dir, storage.Options{Self: later})
	assert.NilError(t, err)
	assert.Equal(t, st.Self, later)
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

// tenThousand writes 10,000 entries to the real file system, one hundred in a record.
func tenThousand(tb testing.TB, folder string) {
	tb.Helper()
	s, _, err := storage.Open(storage.OS{}, folder, storage.Options{Self: self})
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

// Guards against a restart that takes long after many changes.
func TestOpenTenThousandEntries(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "replica")
	tenThousand(t, folder)
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
	tenThousand(b, folder)
	for b.Loop() {
		s, st, err := storage.Open(storage.OS{}, folder, storage.Options{Self: self})
		assert.NilError(b, err)
		node, err := agreement.New(agreement.Config{}, st, rand.New(rand.NewPCG(1, 1)))
		assert.NilError(b, err)
		assert.Equal(b, len(node.Ready().Committed), 9_900) // the last record's entries are not yet known as committed
		assert.NilError(b, s.Close())
	}
}
