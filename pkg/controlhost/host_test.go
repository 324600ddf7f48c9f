package controlhost

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/routing"
	"rosemarygate/pkg/storage"
	"rosemarygate/pkg/storage/brokenfs"
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

var lastAddress atomic.Uint32

// freeAddress returns a loopback address of its own for each call. A free port of 127.0.0.1 may be taken by a
// connection of another test before it is used.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	n := lastAddress.Add(1)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(16 + os.Getpid()%200), byte(n >> 8), byte(n)}), 7720)
}

// startHosts starts control hosts that found a group.
func startHosts(t *testing.T, n int) []*Host {
	t.Helper()
	return startHostsWith(t, n, func(*Config) {})
}

// startHostsWith is startHosts with changed settings.
func startHostsWith(t *testing.T, n int, change func(*Config)) []*Host {
	t.Helper()
	log := logrus.New()
	log.SetOutput(testWriter{t})
	var seeds []netip.AddrPort
	for range n {
		seeds = append(seeds, freeAddress(t))
	}
	var hosts []*Host
	for _, peer := range seeds {
		cfg := Config{
			Name: peer.String(), ControlAddress: freeAddress(t), PeerAddress: peer, Seeds: func() []netip.AddrPort { return seeds[:min(n, 3)] }, FirstStart: true,
			DataDir: filepath.Join(t.TempDir(), "data"), ToleratedDisks: min((n-1)/2, 2), AnnouncementInterval: 500 * time.Millisecond, GracePeriod: gracePeriod, FlowLifetime: time.Minute,
			Decode: decodeTestConfig, Handler: func(*Host) http.Handler { return http.NotFoundHandler() }, Log: log, Metrics: telemetry.NewSet(),
		}
		change(&cfg)
		h := New(cfg)
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

// restartedHost returns a host that has restored the registrations of another one's data folder, as after a
// kill, and is not running.
func restartedHost(t *testing.T, dir string) *Host {
	t.Helper()
	log := logrus.New()
	log.SetOutput(testWriter{t})
	h := New(Config{
		Name: "restarted", PeerAddress: freeAddress(t), Seeds: func() []netip.AddrPort { return nil }, DataDir: dir, AnnouncementInterval: 500 * time.Millisecond,
		FlowLifetime: time.Minute, Decode: decodeTestConfig, Log: log, Metrics: telemetry.NewSet(),
	})
	h.restoreRegistrations()
	return h
}

// Guards against upstreams that have left, or take no new flows, being in use again after all control hosts
// were killed right after the reply.
func TestLeftUpstreamsStayAwayAfterKill(t *testing.T) {
	hosts := startHosts(t, 3)
	replaceConfig(t, hosts[0], testConfig(t, 5, "a"))
	eventually(t, "configuration in force", func() bool { return hosts[0].Table().Version == 5 })
	for key := range directory.Key(4) {
		assert.NilError(t, hosts[0].Announce(t.Context(), readyRegistration(key+1, 1, 1)))
	}
	draining := readyRegistration(1, 1, 2)
	draining.State = directory.Draining
	assert.NilError(t, hosts[0].Announce(t.Context(), draining))
	assert.NilError(t, hosts[0].Deregister(t.Context(), 2, 1))
	restarted := restartedHost(t, hosts[0].cfg.DataDir)
	for key, want := range map[directory.Key]directory.State{1: directory.Draining, 2: directory.Draining, 3: directory.Ready, 4: directory.Ready} {
		r, ok := restarted.directory.Get(directory.Incarnation{Key: key, StartUnixMs: 1})
		assert.Assert(t, ok)
		assert.Equal(t, r.State, want, "upstream %d", key)
	}
	// The other hosts store what was shared with them.
	for _, h := range hosts[1:] {
		eventually(t, "the other hosts have stored that the upstream leaves", func() bool {
			r, ok := restartedHost(t, h.cfg.DataDir).directory.Get(directory.Incarnation{Key: 2, StartUnixMs: 1})
			return ok && r.State == directory.Draining
		})
	}
}

// Guards against an upstream that crashed before a restart of the control hosts getting new flows again
// after it.
func TestSilentUpstreamStaysSilentAfterRestart(t *testing.T) {
	h := restartedHost(t, t.TempDir())
	var stored []directory.Registration
	for key := range directory.Key(4) {
		r := readyRegistration(key+1, 1, 1)
		r.Silent = key == 0
		stored = append(stored, r)
	}
	assert.NilError(t, h.writeRegistrations(stored))
	restarted := restartedHost(t, h.cfg.DataDir)
	for i := range stored {
		r, ok := restarted.directory.Get(stored[i].Incarnation)
		assert.Assert(t, ok)
		assert.Equal(t, r.Silent, stored[i].Silent, "upstream %s", r.Name)
	}
	sequence := stored[0]
	sequence.Silent, sequence.Sequence = false, 2
	assert.NilError(t, restarted.Announce(t.Context(), sequence))
	r, _ := restarted.directory.Get(sequence.Incarnation)
	assert.Assert(t, !r.Silent, "it has announced itself")

	// A host that was cut off from most upstreams does not know which of them live.
	for i := range stored[:3] {
		stored[i].Silent = true
	}
	assert.NilError(t, h.writeRegistrations(stored))
	for _, r := range restartedHost(t, h.cfg.DataDir).directory.Changes(0) {
		assert.Assert(t, !r.Silent, "upstream %s", r.Name)
	}
}

// Guards against entry daemons that find a restarted control host late: each host stores the addresses of the
// daemons of all hosts and tells them when it has started and has a configuration.
func TestDaemonsAreNotifiedOfStart(t *testing.T) {
	listener, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	defer listener.Close()
	hosts := startHosts(t, 3)
	replaceConfig(t, hosts[0], testConfig(t, 5, "a"))
	added := hosts[0].learnNotifyAddresses([]string{listener.LocalAddr().String(), "", "no address", listener.LocalAddr().String()})
	assert.DeepEqual(t, added, []string{listener.LocalAddr().String()})
	hosts[0].sharing.shareNotifyAddresses(added)
	var restarted *Host
	eventually(t, "another host has stored the address", func() bool {
		restarted = restartedHost(t, hosts[1].cfg.DataDir)
		return len(restarted.notifyAddresses.texts()) == 1
	})
	restarted.cfg.PeerAddress = netip.MustParseAddrPort("127.0.0.1:7")
	go func() { _ = restarted.notifyDaemons(t.Context(), restarted.notifyAddresses.texts()) }()
	buffer := make([]byte, 256)
	assert.NilError(t, listener.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	_, err = listener.Read(buffer)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "the host has no configuration yet")
	table, err := decodeTestConfig(testConfig(t, 5, "a"))
	assert.NilError(t, err)
	restarted.table.Store(table)
	restarted.notify()
	assert.NilError(t, listener.SetReadDeadline(time.Now().Add(5*time.Second)))
	n, err := listener.Read(buffer)
	assert.NilError(t, err)
	var started entrypb.HostStarted
	assert.NilError(t, proto.Unmarshal(buffer[:n], &started))
	assert.Equal(t, started.GetHost(), "127.0.0.1:7")
}

// Guards against unbounded memory and traffic for daemons that are gone for good.
func TestNotifyAddressesAreBounded(t *testing.T) {
	var n notifyAddresses
	for i := range 2 * maxNotifyAddresses {
		assert.Assert(t, n.add(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)))
	}
	assert.Equal(t, len(n.texts()), maxNotifyAddresses)
	assert.Assert(t, !n.add(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 7, 255}), 1)), "the newest is known")
}

// Guards against values of a faulty writer, or of the file of another release, that end a host, draw all
// flows or keep the true process away.
func TestImplausibleAnnouncementsChangeNothing(t *testing.T) {
	h := restartedHost(t, t.TempDir())
	h.table.Store(&routing.Table{Version: 1, Services: []string{"a"}})
	good := readyRegistration(1, time.Now().UnixMilli(), 1)
	assert.NilError(t, h.Announce(t.Context(), good))
	future := good
	future.StartUnixMs = 1 << 53
	var invalid *directory.InvalidError
	assert.Assert(t, errors.As(h.Announce(t.Context(), future), &invalid))
	jump := good
	jump.Sequence = 1 << 53
	assert.Assert(t, errors.Is(h.Announce(t.Context(), jump), ErrContradiction))

	odd := good.Proto(0)
	odd.Key, odd.WarmupMs = 2, 1<<62
	port := good.Proto(0)
	port.Key, port.Port = 3, 99_999
	state := good.Proto(0)
	state.Key, state.State = 4, 17
	slots := good.Proto(0)
	slots.Key, slots.Slots = 5, 1<<31
	fine := good.Proto(0)
	fine.Key, fine.Port = 6, 8081
	h.mergeBatch(&entrypb.Batch{Number: 2, Registrations: []*entrypb.Registration{odd, port, state, slots, fine}})
	assert.Equal(t, h.directory.Len(), 2)
	next := good
	next.Sequence = 2
	assert.NilError(t, h.Announce(t.Context(), next))
	restarted := good
	restarted.StartUnixMs, restarted.Sequence = good.StartUnixMs+1, 1
	assert.NilError(t, h.Announce(t.Context(), restarted))
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
			h.mu.Lock()
			r, _ := h.directory.Get(directory.Incarnation{Key: 1, StartUnixMs: 100})
			h.mu.Unlock()
			if r.State != directory.Gone {
				return false
			}
		}
		return true
	})
	for _, h := range hosts {
		assert.ErrorIs(t, h.Announce(t.Context(), readyRegistration(1, 100, 4)), ErrSuperseded)
	}
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

// Guards against changes that are refused, or stay unanswered, after the disks of the control hosts were
// full or stalled one after the other, while documents and registrations were written and snapshots were
// taken. Every size of a group has voters, and some have learners, that the faults reach in turn.
func TestDiskFaultsInTurn(t *testing.T) {
	const (
		faultFor     = 1200 * time.Millisecond
		ackTime      = 5 * time.Second // the smallest ackMs of a deployment
		contentBytes = 400 << 10       // eleven of them make a snapshot
	)
	for _, fault := range []string{brokenfs.Full, brokenfs.Stalled} {
		for _, n := range []int{3, 4, 5, 6, 8} {
			t.Run(fault+"/"+strconv.Itoa(n), func(t *testing.T) {
				t.Parallel()
				hosts := startHostsWith(t, n, func(c *Config) {
					assert.NilError(t, os.MkdirAll(c.DataDir, 0o755))
					c.FS = brokenfs.New(storage.OS{}, c.DataDir)
				})
				replaceConfig(t, hosts[0], testConfig(t, 1, "a"))
				var version, sequence atomic.Uint64
				version.Store(1)
				submit := func(h *Host) error {
					content := append(testConfig(t, version.Add(1), "a"), slices.Repeat([]byte{' '}, contentBytes)...)
					return h.ReplaceConfig(t.Context(), content)
				}
				stop := make(chan struct{})
				writersDone := make(chan struct{})
				go func() {
					defer close(writersDone)
					for i := 0; ; i++ {
						select {
						case <-stop:
							return
						case <-time.After(30 * time.Millisecond):
						}
						h := hosts[i%n]
						_ = submit(h) // may fail while a disk is at fault
						r := readyRegistration(directory.Key(1+i%20), 1, sequence.Add(1))
						if i%3 == 0 {
							r.State = directory.Draining
						}
						_ = h.Announce(t.Context(), r)
					}
				}()
				for _, h := range hosts {
					path := brokenfs.SwitchPath(h.cfg.DataDir)
					assert.NilError(t, os.WriteFile(path, []byte(fault), 0o600))
					time.Sleep(faultFor)
					assert.NilError(t, os.Remove(path))
				}
				close(stop)
				<-writersDone
				end := time.Now().Add(ackTime)
				for i := 0; ; i++ {
					err := submit(hosts[i%n])
					if err == nil {
						break
					}
					assert.Assert(t, time.Now().Before(end), "no change is acknowledged: %v", err)
				}
				for _, h := range hosts {
					for {
						content, err := h.ReadConfig(t.Context())
						if err == nil {
							table, err := decodeTestConfig(content)
							assert.NilError(t, err)
							assert.Equal(t, table.Version, version.Load())
							break
						}
						assert.Assert(t, time.Now().Before(end), "host %s confirms no read: %v", h.cfg.Name, err)
					}
				}
				for _, h := range hosts {
					eventually(t, "a registration is stored", func() bool {
						r := readyRegistration(directory.Key(30), 1, sequence.Add(1))
						return h.Announce(t.Context(), r) == nil && restartedHost(t, h.cfg.DataDir).directory.Len() > 0
					})
				}
			})
		}
	}
}
