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

// decodeTestConfig decodes the configurations of these tests.
func decodeTestConfig(content []byte) (*routing.Table, error) {
	t := &routing.Table{}
	if err := json.Unmarshal(content, t); err != nil {
		return nil, &routing.InvalidError{Reason: err.Error()}
	}
	return t, t.Validate()
}

func testConfig(t *testing.T, version uint64, service string) []byte {
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

// startHosts starts control hosts that found a group.
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
			Name: peer.String(), ControlAddress: freeAddress(t), PeerAddress: peer, Seeds: func() []netip.AddrPort { return seeds }, FirstStart: true,
			DataDir: t.TempDir(), ToleratedDisks: (n - 1) / 2, AnnouncementInterval: 500 * time.Millisecond, FlowLifetime: time.Minute,
			Decode: decodeTestConfig, Handler: func(*Host) http.Handler { return http.NotFoundHandler() }, Log: log, Metrics: telemetry.NewSet(),
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

// eventually waits until a condition holds.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition does not hold in time: %s", condition)
}

func replaceConfig(t *testing.T, h *Host, content []byte) {
	t.Helper()
	eventually(t, "configuration acknowledged", func() bool { return h.ReplaceConfig(t.Context(), content) == nil })
}

func readyRegistration(key directory.Key, startUnixMs int64, sequence uint64) directory.Registration {
	return directory.Registration{
		Incarnation: directory.Incarnation{Key: key, StartUnixMs: startUnixMs}, Name: key.String(), Service: "a", DataCentre: "north", Slots: 2,
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(key)), Sequence: sequence, State: directory.Ready,
	}
}

// Guards against changes at one control host that do not reach the other hosts or the daemons
// connected to them, and against reads that do not return the newest configuration.
func TestChangesReachAllHosts(t *testing.T) {
	hosts := startHosts(t, 3)
	replaceConfig(t, hosts[0], testConfig(t, 5, "a"))
	for _, h := range hosts {
		got, err := h.ReadConfig(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, got, testConfig(t, 5, "a"))
	}
	// Older, equal and resent versions are acknowledged and change nothing.
	replaceConfig(t, hosts[1], testConfig(t, 4, "b"))
	replaceConfig(t, hosts[2], testConfig(t, 5, "b"))
	replaceConfig(t, hosts[0], testConfig(t, 5, "a"))
	got, err := hosts[1].ReadConfig(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, testConfig(t, 5, "a"))
	var invalid *routing.InvalidError
	assert.Assert(t, errors.As(hosts[0].ReplaceConfig(t.Context(), []byte(`{"Version":9`)), &invalid))

	conn, err := grpc.NewClient(hosts[2].cfg.PeerAddress.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	defer conn.Close()
	stream, err := entrypb.NewWatcherClient(conn).Watch(t.Context(), &entrypb.WatchRequest{Daemon: "edge"})
	assert.NilError(t, err)
	first, err := stream.Recv()
	assert.NilError(t, err)
	assert.Equal(t, first.GetTable().GetVersion(), uint64(5))
	assert.Assert(t, first.GetSnapshot() && first.GetStatus().GetCurrent())

	assert.NilError(t, hosts[0].Announce(t.Context(), readyRegistration(1, 100, 1)))
	draining := readyRegistration(1, 100, 2)
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
		assert.Assert(t, time.Since(begin) < 3*time.Second, "the update has to reach the daemon within 3 s")
	}
	assert.NilError(t, hosts[2].Deregister(t.Context(), 1, 100))
	assert.NilError(t, hosts[2].Announce(t.Context(), readyRegistration(1, 100, 3)), "the process may announce itself once more before it exits")
	eventually(t, "every host has recorded the end of the upstream", func() bool {
		for _, h := range hosts {
			if !errors.Is(h.Announce(t.Context(), readyRegistration(1, 100, 4)), ErrSuperseded) {
				return false
			}
		}
		return true
	})
}

// Guards against announcements of services that the configuration does not declare, which would
// displace a real upstream.
func TestAnnouncementOfUnknownService(t *testing.T) {
	h := startHosts(t, 1)[0]
	replaceConfig(t, h, testConfig(t, 1, "a"))
	eventually(t, "table in force", func() bool { return h.Table().Version == 1 })
	other := readyRegistration(1, 100, 1)
	other.Service = "b"
	assert.Assert(t, errors.Is(h.Announce(t.Context(), other), ErrUnknownService))
	assert.NilError(t, h.Announce(t.Context(), readyRegistration(1, 100, 1)))
	assert.NilError(t, h.Announce(t.Context(), readyRegistration(1, 100, 1)), "a repeated announcement")
	assert.Assert(t, errors.Is(h.Deregister(t.Context(), 9, 0), ErrUnknownUpstream))
}

// Guards against entry daemons that have no registration for the upstreams of open flows after all
// control hosts lost power: an old state of the registrations came back, because the renamed file was
// not synced with its folder.
func TestRegistrationsSurvivePowerLoss(t *testing.T) {
	disk := faultfs.New(rand.New(rand.NewPCG(1, 2)))
	host := func() *Host {
		return New(Config{
			DataDir: "/data", FS: disk, AnnouncementInterval: time.Second, FlowLifetime: time.Minute, Log: logrus.New(), Metrics: telemetry.NewSet(),
			Seeds: func() []netip.AddrPort { return nil }, PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	before := host()
	before.restoreRegistrations() // nothing is stored yet
	for i := range directory.Key(10) {
		before.directory.Announce(readyRegistration(i+1, 100, 1))
		before.directory.Announce(readyRegistration(i, 101, 1)) // ends the earlier process
		assert.NilError(t, before.writeRegistrations(before.directory.Changes(0)))
		disk.Crash()
		after := host()
		after.restoreRegistrations()
		r, ok := after.directory.Get(directory.Incarnation{Key: i + 1, StartUnixMs: 100})
		assert.Assert(t, ok && r.State == directory.Ready && !r.Silent)
		r, ok = after.directory.Get(directory.Incarnation{Key: i, StartUnixMs: 100})
		assert.Assert(t, i == 0 || ok && r.State == directory.Gone)
	}
	assert.Assert(t, disk.Corrupt("/data/"+registrationsFile, 0))
	damaged := host()
	damaged.restoreRegistrations()
	assert.Equal(t, damaged.directory.Len(), 0)
}

type countingWriter struct{ lines int }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.lines++
	return len(p), nil
}

// Guards against a log that is flooded by a client whose announcements are rejected.
func TestCallLogIsRateLimited(t *testing.T) {
	log, out := logrus.New(), &countingWriter{}
	log.SetOutput(out)
	h := New(Config{
		DataDir: t.TempDir(), AnnouncementInterval: time.Second, FlowLifetime: time.Minute, Log: log, Metrics: telemetry.NewSet(),
		Seeds: func() []netip.AddrPort { return nil }, PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"),
	})
	h.table.Store(&routing.Table{Version: 1, Services: []string{"b"}})
	begin := time.Now()
	for i := range 5000 {
		assert.Assert(t, errors.Is(h.Announce(t.Context(), readyRegistration(1, 100, uint64(i))), ErrUnknownService))
	}
	seconds := int(time.Since(begin)/time.Second) + 2
	assert.Assert(t, out.lines > 0 && out.lines <= seconds*maxLogLinesPerSecond, "%d lines in %d s", out.lines, seconds)
}
