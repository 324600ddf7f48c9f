package distribution

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/folder"
	"rosemarygate/pkg/control/state"
)

var start = time.Unix(1_800_000_000, 0)

// changeLog applies changes to a state machine as a committed log would.
type changeLog struct {
	machine *state.Machine
	index   uint64
}

func newChangeLog() *changeLog {
	return &changeLog{machine: state.New(state.Rules{
		Validate:         func([]*folder.File) error { return nil },
		LongestKeepAlive: func([]*folder.File) time.Duration { return 0 },
	})}
}

func (l *changeLog) apply(t assert.TestingT, e *controlpb.Entry) *state.View {
	l.index++
	e.ChangeId = fmt.Sprint(l.index)
	e.TimeUnixMs = int64(l.index) * time.Hour.Milliseconds()
	data, err := proto.Marshal(e)
	assert.NilError(t, err)
	reply, err := l.machine.Apply(l.index, data)
	assert.NilError(t, err)
	assert.NilError(t, state.ReplyError(reply))
	return l.machine.View()
}

func (l *changeLog) pushFile(t assert.TestingT, name, data string) *state.View {
	change := &controlpb.FileChange{Name: name, Data: []byte(data)}
	return l.pushFiles(t, change)
}

func (l *changeLog) pushFiles(t assert.TestingT, changes ...*controlpb.FileChange) *state.View {
	push := &controlpb.Push{BaseVersion: l.machine.View().Version, Files: changes}
	return l.apply(t, &controlpb.Entry{Body: &controlpb.Entry_Push{Push: push}})
}

func (l *changeLog) rotateKey(t assert.TestingT) *state.View {
	rotation := &controlpb.KeyRotation{Secret: []byte("0123456789abcdef")}
	return l.apply(t, &controlpb.Entry{Body: &controlpb.Entry_Rotation{Rotation: rotation}})
}

func receive(t *testing.T, r *Receiver, u *controlpb.Update, wantErr ErrorKind) {
	t.Helper()
	_, err := r.Receive(u)
	var updateErr *UpdateError
	if wantErr == 0 {
		assert.NilError(t, err)
		return
	}
	assert.Assert(t, errors.As(err, &updateErr))
	assert.Equal(t, updateErr.Kind, wantErr, err.Error())
}

// Guards against a daemon that returns to an older version, applies a difference to the wrong
// version, or accepts content that was damaged in transit.
func TestReceiverRejectsUpdates(t *testing.T) {
	l := newChangeLog()
	v1 := l.pushFile(t, "1.yaml", "a")
	v2 := l.pushFile(t, "2.yaml", "b")
	v3 := l.pushFile(t, "1.yaml", "c")
	r, err := NewReceiver(nil)
	assert.NilError(t, err)
	receive(t, r, NewUpdate(v3, v2.Version), Gap)
	receive(t, r, NewUpdate(v1, 0), 0)
	receive(t, r, NewUpdate(v3, v2.Version), Gap)
	damaged := NewUpdate(v2, v1.Version)
	damaged.Files = []*controlpb.File{{Name: "2.yaml", Data: []byte("x")}}
	receive(t, r, damaged, DigestMismatch)
	receive(t, r, NewUpdate(v3, v1.Version), 0)
	receive(t, r, NewUpdate(v2, 0), Stale)
	receive(t, r, NewUpdate(v3, 0), Stale)
	other := newChangeLog()
	other.pushFile(t, "1.yaml", "other")
	other.pushFile(t, "2.yaml", "other")
	receive(t, r, NewUpdate(other.pushFile(t, "3.yaml", "other"), 0), ContentConflict)
	assert.Equal(t, r.Held().Digest, v3.Digest())
}

// Guards against a burst of changes sent one by one to a slow daemon, an update that is never resent,
// and a lagging replica that sends an older version.
func TestPublisher(t *testing.T) {
	l := newChangeLog()
	v1 := l.pushFile(t, "1.yaml", "a")
	p := NewPublisher(v1)
	sends := p.Subscribe(start, 1, &controlpb.WatchRequest{Daemon: "d"})
	assert.Equal(t, len(sends), 1)
	assert.Equal(t, len(p.SetView(start, l.pushFile(t, "2.yaml", "b"))), 0, "one update is in flight")
	v3 := l.pushFile(t, "3.yaml", "c")
	assert.Equal(t, len(p.SetView(start, v3)), 0)
	sends = p.Acknowledge(start, "d", v1.Version)
	assert.Equal(t, len(sends), 1)
	assert.Equal(t, sends[0].Update.GetFromVersion(), v1.Version)
	assert.Equal(t, sends[0].Update.GetVersion(), v3.Version)
	assert.DeepEqual(t, p.DaemonsBehind(v3.Version, 9), []string{"d"})

	assert.Equal(t, len(p.Tick(start.Add(AcknowledgeTimeout-1))), 0)
	sends = p.Tick(start.Add(AcknowledgeTimeout))
	assert.Equal(t, len(sends), 1)
	assert.Equal(t, sends[0].Update.GetFromVersion(), uint64(0))
	assert.Equal(t, len(p.Tick(start.Add(2*AcknowledgeTimeout))), 0, "the timeout doubles")
	assert.Equal(t, len(p.Tick(start.Add(3*AcknowledgeTimeout))), 1)
	assert.Equal(t, len(p.Acknowledge(start, "d", v3.Version)), 0)
	inForce, daemons := CountInForce(v3.Version, []*controlpb.Progress{p.Progress("r")})
	assert.Equal(t, inForce, 1)
	assert.Equal(t, daemons, 1)

	v4 := l.pushFile(t, "1.yaml", "d")
	sends = p.SetView(start, v4)
	assert.Equal(t, len(sends), 1)
	assert.Equal(t, sends[0].Update.GetFromVersion(), v3.Version)
	assert.Equal(t, len(p.SetView(start, v1)), 0)

	digest := v4.Digest()
	assert.Equal(t, len(p.Subscribe(start, 2, &controlpb.WatchRequest{Daemon: "d", Version: v4.Version, Digest: digest[:], VersionInForce: v3.Version})), 0)
	assert.DeepEqual(t, p.DaemonsBehind(v4.Version, 9), []string{"d"}) // has the version, but cannot put it in force
	assert.Equal(t, len(p.Acknowledge(start, "d", v4.Version)), 0)
	assert.Equal(t, len(p.DaemonsBehind(v4.Version, 9)), 0)
	assert.Equal(t, len(p.Subscribe(start, 3, &controlpb.WatchRequest{Daemon: "ahead", Version: v4.Version + 1})), 0)
	sends = p.Subscribe(start, 4, &controlpb.WatchRequest{Daemon: "ahead", Version: v4.Version})
	assert.Equal(t, len(sends), 1, "the daemon has a different content")
	p.Unsubscribe("d", 1)
	_, daemons = p.CountInForce(1)
	assert.Equal(t, daemons, 2, "the end of a replaced watch does not end the current one")
	p.Unsubscribe("d", 2)
	_, daemons = p.CountInForce(1)
	assert.Equal(t, daemons, 1)
}

// Guards against a daemon whose content differs from that of the replicas in the end, or which
// returns to an older version, when updates are lost, watches break and a lagging replica serves it.
func TestRandomDistribution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newChangeLog()
		replicas := []*Publisher{NewPublisher(l.machine.View()), NewPublisher(l.machine.View())}
		r, err := NewReceiver(nil)
		assert.NilError(t, err)
		now, watch, watched := start, uint64(0), replicas[0]
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			var sends []OutgoingUpdate
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				l.pushFile(t, rapid.SampledFrom([]string{"1.yaml", "2.yaml", "3.yaml"}).Draw(t, "name"), fmt.Sprint(l.index))
			case 1:
				l.rotateKey(t)
			case 2:
				p := rapid.SampledFrom(replicas).Draw(t, "replica")
				if out := p.SetView(now, l.machine.View()); p == watched {
					sends = out
				}
			case 3:
				watch++
				watched = rapid.SampledFrom(replicas).Draw(t, "watch")
				sends = watched.Subscribe(now, watch, r.WatchRequest("d", r.Held().Version, rapid.Bool().Draw(t, "snapshot")))
			case 4:
				now = now.Add(AcknowledgeTimeout)
				sends = watched.Tick(now)
			case 5:
				sends = watched.Acknowledge(now, "d", r.Held().Version)
			}
			if rapid.Bool().Draw(t, "delivered") {
				deliver(t, r, sends)
			}
		}
		watched.SetView(now, l.machine.View())
		deliver(t, r, watched.Subscribe(now, watch+1, r.WatchRequest("d", r.Held().Version, false)))
		assert.Equal(t, r.Held().Version, l.machine.View().Version)
		assert.Equal(t, r.Held().Digest, l.machine.View().Digest())
		again, err := NewReceiver(r.Held().Copy())
		assert.NilError(t, err)
		assert.Equal(t, again.Held().Digest, r.Held().Digest)
	})
}

func deliver(t assert.TestingT, r *Receiver, sends []OutgoingUpdate) {
	for _, s := range sends {
		before := r.Held()
		if _, err := r.Receive(s.Update); err != nil {
			assert.Equal(t, r.Held(), before)
			continue
		}
		assert.Assert(t, r.Held().Version > before.Version)
	}
}

// Guards against a damaged copy that is accepted, a copy that other users can read, and files left by
// an interrupted save.
func TestFileStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "copy")
	assert.NilError(t, os.WriteFile(filepath.Join(filepath.Dir(path), ".copy123"), nil, 0o600))
	s, err := NewFileStore(path)
	assert.NilError(t, err)
	none, err := s.Load()
	assert.Assert(t, none == nil && err == nil)
	l := newChangeLog()
	l.rotateKey(t)
	r, err := NewReceiver(nil)
	assert.NilError(t, err)
	receive(t, r, NewUpdate(l.pushFile(t, "1.yaml", "a"), 0), 0)
	assert.NilError(t, s.Save(r.Held().Copy()))
	got, err := s.Load()
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(got, r.Held().Copy()))
	info, err := os.Stat(path)
	assert.NilError(t, err)
	assert.Equal(t, info.Mode().Perm(), os.FileMode(copyFileMode))
	entries, err := os.ReadDir(filepath.Dir(path))
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 1)

	b, err := os.ReadFile(path)
	assert.NilError(t, err)
	for i := range b {
		damaged := []byte(string(b))
		damaged[i] ^= 1
		assert.NilError(t, os.WriteFile(path, damaged, 0o600))
		_, err = s.Load()
		assert.ErrorContains(t, err, "delete it", "byte %d", i)
	}
}

// Measures the bytes that a change costs a daemon, and the cost for a replica with 320 daemons, which
// is half of a data centre of the target size.
func BenchmarkChange(b *testing.B) {
	for _, files := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(files, " files"), func(b *testing.B) {
			l := newChangeLog()
			var all []*controlpb.FileChange
			for i := range files {
				all = append(all, &controlpb.FileChange{Name: fmt.Sprintf("%05d-service.yaml", i), Data: []byte(strings.Repeat("x", 500))})
			}
			before := l.pushFiles(b, all...)
			p := NewPublisher(before)
			for i := range 320 {
				daemon := fmt.Sprintf("daemon-%03d", i)
				p.Subscribe(start, 1, &controlpb.WatchRequest{Daemon: daemon})
				p.Acknowledge(start, daemon, before.Version)
			}
			view := before
			for b.Loop() {
				view = l.pushFile(b, "00000-service.yaml", fmt.Sprint(l.index, strings.Repeat("y", 500)))
				for _, s := range p.SetView(start, view) {
					p.Acknowledge(start, s.Daemon, view.Version)
				}
			}
			report := &controlpb.ReportRequest{Daemon: "daemon-000", Incarnation: 1 << 60, VersionInForce: view.Version}
			b.ReportMetric(float64(proto.Size(NewUpdate(view, view.Version-1))), "difference-bytes")
			b.ReportMetric(float64(proto.Size(NewUpdate(view, 0))), "snapshot-bytes")
			b.ReportMetric(float64(proto.Size(report)), "acknowledgement-bytes")
		})
	}
}
