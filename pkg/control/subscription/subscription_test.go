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

// memory is a store in memory.
type memory struct {
	copy *controlpb.Copy
	err  error
}

func (m *memory) Load() (*controlpb.Copy, error) { return m.copy, m.err }
func (m *memory) Save(c *controlpb.Copy) error   { m.copy = c; return m.err }
func (m *memory) Keep() (string, error)          { return "", nil }
func (m *memory) hold(h *distribution.Held)      { m.copy = h.Copy() }
func quiet() logrus.FieldLogger                  { l := logrus.New(); l.SetOutput(io.Discard); return l }
func noDataCentre(string) string                 { return "" }
func held(v uint64, k ...*controlpb.TokenKey) *distribution.Held {
	f := folder.New(nil, nil, 0).With(v, []*controlpb.File{{Name: "10-a.yaml", Data: []byte("a")}}, nil)
	return &distribution.Held{Version: v, Digest: f.Digest(k), Folder: f, Keys: k}
}

// Guards against a new token key that never begins to sign at a daemon that no replica can reach.
func TestKeyActivation(t *testing.T) {
	store := &memory{}
	store.hold(held(7, &controlpb.TokenKey{Id: 1}, &controlpb.TokenKey{Id: 2, SignsFromUnixMs: time.Now().Add(400 * time.Millisecond).UnixMilli()}))
	applied := make(chan uint64, 4)
	s := New(Config{
		Daemon: "d", Incarnation: 1, DataCentreOf: noDataCentre, Store: store, Log: quiet(),
		Apply: func(h *distribution.Held) error { applied <- h.Version; return nil },
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
		t.Fatal("the key was not put in force when its time came")
	}
	cancel()
	assert.NilError(t, <-done)
}

// Guards against a daemon that acts on an older or a damaged configuration, and against one that
// reports a version as in force that it could not put in force.
func TestReceiveKeepsTheNewest(t *testing.T) {
	store := &memory{}
	store.hold(held(7))
	var refuse error
	s := New(Config{
		Daemon: "d", Incarnation: 1, DataCentreOf: noDataCentre, Store: store, Log: quiet(),
		Apply: func(*distribution.Held) error { return refuse },
	})
	update := func(v uint64) *controlpb.Update {
		h := held(v)
		return &controlpb.Update{Version: v, Digest: h.Digest[:], Files: h.Copy().GetFiles(), KeysChanged: true}
	}
	assert.NilError(t, s.receive(update(6)))
	assert.Equal(t, s.InForce(), uint64(7))
	damaged := update(8)
	damaged.Files[0].Data = []byte("b")
	assert.ErrorContains(t, s.receive(damaged), "does not have its digest")
	assert.Assert(t, s.snapshot)
	assert.Equal(t, store.copy.GetVersion(), uint64(7))
	refuse = errors.New("port in use")
	assert.NilError(t, s.receive(update(8)))
	assert.Equal(t, s.InForce(), uint64(7))
	refuse, store.err = nil, errors.New("disk full")
	assert.NilError(t, s.receive(update(9)))
	assert.Equal(t, s.InForce(), uint64(9))
}

// Guards against a damaged copy that keeps a daemon from starting.
func TestDamagedCopy(t *testing.T) {
	store := &memory{err: errors.New("damaged")}
	s := New(Config{Daemon: "d", Incarnation: 1, DataCentreOf: noDataCentre, Store: store, Log: quiet()})
	assert.Equal(t, s.InForce(), uint64(0))
	assert.Equal(t, s.receiver.Held().Version, uint64(0))
}
