package distribution

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
)

// Guards against a daemon that applies a difference to a version which a recovery of the replicas
// lost, and against the loss of its copy of that version.
func TestVersionLostInRecovery(t *testing.T) {
	l := newLog()
	l.put(t, "1.yaml", "a")
	lost := newLog()
	lost.put(t, "1.yaml", "a")
	held := lost.put(t, "2.yaml", "lost")
	r, err := NewReceiver(nil)
	assert.NilError(t, err)
	receive(t, r, NewUpdate(held, 0), 0)
	store, err := NewFileStore(filepath.Join(t.TempDir(), "accepted.copy"))
	assert.NilError(t, err)
	assert.NilError(t, store.Save(r.Held().Copy()))

	l.index = agreement.RecoveryStep
	next := l.put(t, "3.yaml", "b")
	u := NewUpdate(next, held.Version)
	assert.Equal(t, u.GetFromVersion(), uint64(0))
	receive(t, r, u, 0)
	path, err := store.Keep()
	assert.NilError(t, err)
	assert.NilError(t, store.Save(r.Held().Copy()))
	kept, err := ReadCopy(path)
	assert.NilError(t, err)
	assert.Equal(t, kept.GetVersion(), held.Version)
	now, err := store.Load()
	assert.NilError(t, err)
	assert.Equal(t, now.GetVersion(), next.Version)
	assert.Equal(t, Newest(&controlpb.Progress{Counts: []*controlpb.VersionCount{{Version: 3}, {Version: 9}}}), uint64(9))
}
