package storage_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/storage"
)

// Guards against a recovery that a crash at any change leaves half done: the folder then holds
// either the whole state before or the whole new one, also after a second crash on opening it.
func TestCrashDuringRecovery(t *testing.T) {
	opts := storage.Options{Self: self, SegmentBytes: 500}
	seen := map[uint64]int{}
	for at := 1; at < 20; at++ {
		for seed := range uint64(20) {
			fs := newFS(seed)
			_, err := write(fs, dir, 1, 10, opts)
			assert.NilError(t, err)
			st, err := storage.Load(fs, dir)
			assert.NilError(t, err)
			next := agreement.RecoveredState(&st, agreement.Replica{ID: self.ID, Incarnation: 2}, 4, []byte("state"))
			fs.FailIn(at)
			done := storage.Recover(fs, dir, next) == nil
			if done {
				_, _, _ = storage.Open(fs, dir, opts)
			}
			fs.Crash()
			fs.FailIn(1 + int(seed)%8)
			_, _, _ = storage.Open(fs, dir, opts)
			fs.Crash()
			_, got, err := storage.Open(fs, dir, opts)
			assert.NilError(t, err, "crash at change %d, seed %d", at, seed)
			seen[got.HardState.Group]++
			if done || got.HardState.Group == 4 {
				assert.DeepEqual(t, got, next)
				continue
			}
			assert.DeepEqual(t, got, st)
		}
	}
	assert.Assert(t, len(seen) == 2 && seen[3] > 20 && seen[4] > 20, "%v", seen)
	_, err := storage.Load(newFS(1), dir)
	assert.ErrorIs(t, err, storage.ErrEmpty)
}
