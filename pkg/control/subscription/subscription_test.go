package subscription

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/distribution"
	"rosemarygate/pkg/control/folder"
)

// memoryStore stores the copy in memory.
type memoryStore struct {
	stored *controlpb.Copy
	err    error
}

func (m *memoryStore) Load() (*controlpb.Copy, error)         { return m.stored, m.err }
func (m *memoryStore) Save(c *controlpb.Copy) error           { m.stored = c; return m.err }
func (m *memoryStore) PreserveCopy() (string, error)          { return "", nil }
func (m *memoryStore) storeConfig(h *distribution.HeldConfig) { m.stored = h.Copy() }
func discardLog() logrus.FieldLogger                          { l := logrus.New(); l.SetOutput(io.Discard); return l }
func noDataCentre(string) string                              { return "" }
func testConfig(v uint64, k ...*controlpb.TokenKey) *distribution.HeldConfig {
	f := folder.New(nil, nil, 0).WithChange(v, []*controlpb.File{{Name: "10-a.yaml", Data: []byte("a")}}, nil)
	return &distribution.HeldConfig{Version: v, Digest: f.Digest(k), Folder: f, Keys: k}
}

// Guards against a new token key that never becomes the signing key at a daemon that cannot reach any
// replica.
func TestKeyActivation(t *testing.T) {
	store := &memoryStore{}
	store.storeConfig(testConfig(7, &controlpb.TokenKey{Id: 1}, &controlpb.TokenKey{Id: 2, SignsFromUnixMs: time.Now().Add(400 * time.Millisecond).UnixMilli()}))
	applied := make(chan uint64, 4)
	s := New(Config{
		Daemon: "d", Incarnation: 1, DataCentreOf: noDataCentre, Store: store, Log: discardLog(),
		Apply: func(h *distribution.HeldConfig) error { applied <- h.Version; return nil },
	})
	assert.Equal(t, <-applied, uint64(7))
	assert.Equal(t, s.InForce(), uint64(7))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	select {
	case v := <-applied:
		assert.Equal(t, v, uint64(7))
	case <-ctx.Done():
		t.Fatal("the configuration was not applied again when the key became the signing key")
	}
	cancel()
	assert.NilError(t, <-done)
}

// Guards against a daemon that uses an older or a damaged configuration, and against one that reports
// a version as in force although it could not put it in force.
func TestReceiveKeepsTheNewest(t *testing.T) {
	store := &memoryStore{}
	store.storeConfig(testConfig(7))
	var applyErr error
	s := New(Config{
		Daemon: "d", Incarnation: 1, DataCentreOf: noDataCentre, Store: store, Log: discardLog(),
		Apply: func(*distribution.HeldConfig) error { return applyErr },
	})
	update := func(v uint64) *controlpb.Update {
		h := testConfig(v)
		return &controlpb.Update{Version: v, Digest: h.Digest[:], Files: h.Copy().GetFiles(), KeysChanged: true}
	}
	assert.NilError(t, s.receive(update(6)))
	assert.Equal(t, s.InForce(), uint64(7))
	damaged := update(8)
	damaged.Files[0].Data = []byte("b")
	assert.ErrorContains(t, s.receive(damaged), "does not have its digest")
	assert.Assert(t, s.needsSnapshot)
	assert.Equal(t, store.stored.GetVersion(), uint64(7))
	applyErr = errors.New("port in use")
	assert.NilError(t, s.receive(update(8)))
	assert.Equal(t, s.InForce(), uint64(7))
	applyErr, store.err = nil, errors.New("disk full")
	assert.NilError(t, s.receive(update(9)))
	assert.Equal(t, s.InForce(), uint64(9))
}

// Guards against a daemon that does not start because its copy is damaged.
func TestDamagedCopy(t *testing.T) {
	store := &memoryStore{err: errors.New("damaged")}
	s := New(Config{Daemon: "d", Incarnation: 1, DataCentreOf: noDataCentre, Store: store, Log: discardLog()})
	assert.Equal(t, s.InForce(), uint64(0))
	assert.Equal(t, s.receiver.Held().Version, uint64(0))
}
