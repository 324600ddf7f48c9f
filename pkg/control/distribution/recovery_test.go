package distribution

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
)

// Guards against a daemon that applies a difference to a version which the replicas lost in a
// recovery, and against the loss of the copy of that version.
func TestVersionLostInRecovery(t *testing.T) {
	l := newChangeLog()
	l.pushFile(t, "1.yaml", "a")
	lost := newChangeLog()
	lost.pushFile(t, "1.yaml", "a")
	held := lost.pushFile(t, "2.yaml", "lost")
	r, err := NewReceiver(nil)
	assert.NilError(t, err)
	receive(t, r, NewUpdate(held, 0), 0)
	store, err := NewFileStore(filepath.Join(t.TempDir(), "accepted.copy"))
	assert.NilError(t, err)
	assert.NilError(t, store.Save(r.Held().Copy()))

	l.index = agreement.RecoveryIndexStep
	next := l.pushFile(t, "3.yaml", "b")
	u := NewUpdate(next, held.Version)
	assert.Equal(t, u.GetFromVersion(), uint64(0))
	receive(t, r, u, 0)
	path, err := store.PreserveCopy()
	assert.NilError(t, err)
	assert.NilError(t, store.Save(r.Held().Copy()))
	kept, err := ReadCopy(path)
	assert.NilError(t, err)
	assert.Equal(t, kept.GetVersion(), held.Version)
	latest, err := store.Load()
	assert.NilError(t, err)
	assert.Equal(t, latest.GetVersion(), next.Version)
	assert.Equal(t, NewestVersion(&controlpb.Progress{Counts: []*controlpb.VersionCount{{Version: 3}, {Version: 9}}}), uint64(9))
}
