package storage_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/storage"
)

// Guards against a recovery that is applied in part after a crash at any change: the folder must hold
// either the old or the new state, also after a second crash while it is opened.
func TestCrashDuringRecovery(t *testing.T) {
	opts := storage.Options{Self: self, SegmentBytes: 500}
	groupCounts := map[uint64]int{}
	for failAt := 1; failAt < 20; failAt++ {
		for seed := range uint64(20) {
			fs := newFS(seed)
			_, err := saveEntries(fs, dir, 1, 10, opts)
			assert.NilError(t, err)
			st, err := storage.Load(fs, dir)
			assert.NilError(t, err)
			recovered := agreement.RecoveredState(&st, agreement.Replica{ID: self.ID, Incarnation: 2}, 4, []byte("state"))
			fs.FailIn(failAt)
			succeeded := storage.Recover(fs, dir, recovered) == nil
			if succeeded {
				_, _, _ = storage.Open(fs, dir, opts)
			}
			fs.Crash()
			fs.FailIn(1 + int(seed)%8)
			_, _, _ = storage.Open(fs, dir, opts)
			fs.Crash()
			_, got, err := storage.Open(fs, dir, opts)
			assert.NilError(t, err, "crash at change %d, seed %d", failAt, seed)
			groupCounts[got.HardState.Group]++
			if succeeded || got.HardState.Group == 4 {
				assert.DeepEqual(t, got, recovered)
				continue
			}
			assert.DeepEqual(t, got, st)
		}
	}
	assert.Assert(t, len(groupCounts) == 2 && groupCounts[3] > 20 && groupCounts[4] > 20, "%v", groupCounts)
	_, err := storage.Load(newFS(1), dir)
	assert.ErrorIs(t, err, storage.ErrEmpty)
}
