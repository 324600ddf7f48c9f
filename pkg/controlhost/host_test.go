package controlhost

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/routing"
	"rosemarygate/pkg/storage/faultfs"
	"rosemarygate/pkg/telemetry"
)

// decodeTest reads the configurations of these tests.
func decodeTest(content []byte) (*routing.Table, error) {
	t := &routing.Table{}
	if err := json.Unmarshal(content, t); err != nil {
		return nil, &routing.InvalidError{Reason: err.Error()}
	}
	return t, t.Validate()
}

func content(t *testing.T, version uint64, service string) []byte {
	t.Helper()
	data, err := json.Marshal(routing.Table{
		Version: version, Services: []string{service},
		Routes: []routing.Route{{Name: "r", Address: netip.MustParseAddrPort("198.18.0.1:443"), Timeout: time.Second, Split: []routing.Share{{Service: service, Weight: 1}}}},
	})
	assert.NilError(t, err)
	return data
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// startHosts runs control hosts that found a group.
func startHosts(t *testing.T, n int) []*Host {
	t.Helper()
	log := logrus.New()
	log.SetOutput(testWriter{t})
	var seeds []netip.AddrPort
	for range n {
		seeds = append(seeds, freeAddress(t))
	}
	var hosts []*Host
	for _, peer := range seeds {
		h := New(Config{
			Name: peer.String(), Control: freeAddress(t), Peer: peer, Seeds: func() []netip.AddrPort { return seeds }, Found: true,
			Dir: t.TempDir(), ToleratedDisks: (n - 1) / 2, Heartbeat: 500 * time.Millisecond, FlowLifetime: time.Minute,
			Decode: decodeTest, Handler: func(*Host) http.Handler { return http.NotFoundHandler() }, Log: log, Metrics: telemetry.NewSet(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- h.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			assert.NilError(t, <-ended)
		})
		hosts = append(hosts, h)
	}
	return hosts
}

type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	if testing.Verbose() {
		w.t.Log(string(p))
	}
	return len(p), nil
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}

func replace(t *testing.T, h *Host, content []byte) {
	t.Helper()
	eventually(t, "configuration acknowledged", func() bool { return h.ReplaceConfig(t.Context(), content) == nil })
}

func ready(key directory.Key, born int64, sequence uint64) directory.Registration {
	return directory.Registration{
		Incarnation: directory.Incarnation{Key: key, Born: born}, Name: key.String(), Service: "a", DataCentre: "north", Slots: 2,
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(key)), Sequence: sequence, State: directory.Ready,
	}
}

// Guards against changes at one control host that the others, or the daemons that follow them, do not
// learn of, and reads that are not the newest.
func TestThreeHosts(t *testing.T) {
	hosts := startHosts(t, 3)
	replace(t, hosts[0], content(t, 5, "a"))
	for _, h := range hosts {
		got, err := h.ReadConfig(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, got, content(t, 5, "a"))
	}
	// Older, equal and resent versions are acknowledged and change nothing.
	replace(t, hosts[1], content(t, 4, "b"))
	replace(t, hosts[2], content(t, 5, "b"))
	replace(t, hosts[0], content(t, 5, "a"))
	got, err := hosts[1].ReadConfig(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, content(t, 5, "a"))
	var invalid *routing.InvalidError
	assert.Assert(t, errors.As(hosts[0].ReplaceConfig(t.Context(), []byte(`{"Version":9`)), &invalid))

	conn, err := grpc.NewClient(hosts[2].cfg.Peer.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	defer conn.Close()
	stream, err := entrypb.NewWatcherClient(conn).Watch(t.Context(), &entrypb.WatchRequest{Daemon: "edge"})
	assert.NilError(t, err)
	first, err := stream.Recv()
	assert.NilError(t, err)
	assert.Equal(t, first.GetTable().GetVersion(), uint64(5))
	assert.Assert(t, first.GetSnapshot() && first.GetStatus().GetCurrent())

	assert.NilError(t, hosts[0].Announce(t.Context(), ready(1, 100, 1)))
	draining := ready(1, 100, 2)
	draining.State = directory.Draining
	begin := time.Now()
	assert.NilError(t, hosts[1].Announce(t.Context(), draining))
	t.Logf("draining acknowledged after %v", time.Since(begin))
	for {
		u, err := stream.Recv()
		assert.NilError(t, err)
		if rs := u.GetRegistrations(); len(rs) > 0 && rs[len(rs)-1].GetState() == entrypb.State_STATE_DRAINING {
			break
		}
		assert.Assert(t, time.Since(begin) < 3*time.Second, "the daemon has to know within 3 s")
	}
	assert.NilError(t, hosts[2].Deregister(t.Context(), 1, 100))
	assert.NilError(t, hosts[2].Announce(t.Context(), ready(1, 100, 3)), "the process may announce itself once more before it exits")
	eventually(t, "every host knows the end of the upstream", func() bool {
		for _, h := range hosts {
			if !errors.Is(h.Announce(t.Context(), ready(1, 100, 4)), ErrSuperseded) {
				return false
			}
		}
		return true
	})
}

// Guards against announcements of services that nobody declared, which would displace a real upstream.
func TestAnnouncementOfUnknownService(t *testing.T) {
	h := startHosts(t, 1)[0]
	replace(t, h, content(t, 1, "a"))
	eventually(t, "table in force", func() bool { return h.Table().Version == 1 })
	other := ready(1, 100, 1)
	other.Service = "b"
	assert.Assert(t, errors.Is(h.Announce(t.Context(), other), ErrUnknownService))
	assert.NilError(t, h.Announce(t.Context(), ready(1, 100, 1)))
	assert.NilError(t, h.Announce(t.Context(), ready(1, 100, 1)), "a repeated announcement")
	assert.Assert(t, errors.Is(h.Deregister(t.Context(), 9, 0), ErrUnknownUpstream))
}

// Guards against entry daemons that do not recognise the upstreams of open flows after every control
// host has lost power: the registrations came back as they were long before, because the renamed file
// was not synced with its folder.
func TestRegistrationsOutliveLossOfPower(t *testing.T) {
	disk := faultfs.New(rand.New(rand.NewPCG(1, 2)))
	host := func() *Host {
		return New(Config{
			Dir: "/data", FS: disk, Heartbeat: time.Second, FlowLifetime: time.Minute, Log: logrus.New(), Metrics: telemetry.NewSet(),
			Seeds: func() []netip.AddrPort { return nil }, Peer: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	before := host()
	before.restore() // there is nothing yet
	for i := range directory.Key(10) {
		before.directory.Announce(ready(i+1, 100, 1))
		before.directory.Announce(ready(i, 101, 1)) // ends the earlier process
		assert.NilError(t, before.writeKept(before.directory.Changes(0)))
		disk.Crash()
		after := host()
		after.restore()
		r, ok := after.directory.Get(directory.Incarnation{Key: i + 1, Born: 100})
		assert.Assert(t, ok && r.State == directory.Ready && !r.Silent)
		r, ok = after.directory.Get(directory.Incarnation{Key: i, Born: 100})
		assert.Assert(t, i == 0 || ok && r.State == directory.Gone)
	}
	assert.Assert(t, disk.Corrupt("/data/"+keptFile, 0))
	damaged := host()
	damaged.restore()
	assert.Equal(t, damaged.directory.Len(), 0)
}

// countingWriter counts lines.
type countingWriter struct{ lines int }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.lines++
	return len(p), nil
}

// Guards against another writer's announcements that flood the log.
func TestLogOfCallsIsBounded(t *testing.T) {
	log, out := logrus.New(), &countingWriter{}
	log.SetOutput(out)
	h := New(Config{
		Dir: t.TempDir(), Heartbeat: time.Second, FlowLifetime: time.Minute, Log: log, Metrics: telemetry.NewSet(),
		Seeds: func() []netip.AddrPort { return nil }, Peer: netip.MustParseAddrPort("127.0.0.1:1"),
	})
	h.table.Store(&routing.Table{Version: 1, Services: []string{"b"}})
	begin := time.Now()
	for i := range 5000 {
		assert.Assert(t, errors.Is(h.Announce(t.Context(), ready(1, 100, uint64(i))), ErrUnknownService))
	}
	seconds := int(time.Since(begin)/time.Second) + 2
	assert.Assert(t, out.lines > 0 && out.lines <= seconds*linesPerSecond, "%d lines in %d s", out.lines, seconds)
}
