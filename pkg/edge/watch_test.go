package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/forward"
	"rosemarygate/pkg/telemetry"
)

// fakeHost is a control host whose updates are set by the test.
type fakeHost struct {
	entrypb.UnimplementedWatcherServer
	address    netip.AddrPort
	current    atomic.Bool
	silent     atomic.Bool
	version    atomic.Uint64
	evacuated  atomic.Pointer[entrypb.Evacuations]
	watchCount atomic.Int64
	lastNotify atomic.Value             // notify address in the latest watch request
	listed     atomic.Pointer[[]string] // control hosts, sent after each change
	stop       func()
}

func startFakeHost(t *testing.T) *fakeHost {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &fakeHost{address: netip.MustParseAddrPort(l.Addr().String())}
	s := grpc.NewServer()
	entrypb.RegisterWatcherServer(s, h)
	go func() { _ = s.Serve(l) }() // ends with Stop
	t.Cleanup(s.Stop)
	h.stop = s.Stop
	return h
}

func (h *fakeHost) Watch(request *entrypb.WatchRequest, stream grpc.ServerStreamingServer[entrypb.Update]) error {
	h.watchCount.Add(1)
	h.lastNotify.Store(request.GetNotifyAddress())
	sent, sentList := uint64(0), (*[]string)(nil)
	for first := true; stream.Context().Err() == nil; first = false {
		if !h.silent.Load() {
			u := &entrypb.Update{Snapshot: first, Status: &entrypb.Status{Current: h.current.Load(), Settled: true}}
			if v := h.version.Load(); v > sent {
				u.Table, sent = &entrypb.RoutingTable{Version: v}, v
			}
			u.Evacuations = h.evacuated.Load()
			if l := h.listed.Load(); l != sentList {
				u.Status.ControlHosts, sentList = *l, l
			}
			if err := stream.Send(u); err != nil {
				return err
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

func startDaemon(t *testing.T, hosts ...*fakeHost) *Daemon {
	t.Helper()
	return startDaemonAt(t, netip.AddrPort{}, hosts...)
}

func startDaemonAt(t *testing.T, notifyAddress netip.AddrPort, hosts ...*fakeHost) *Daemon {
	t.Helper()
	var seeds []netip.AddrPort
	for _, h := range hosts {
		seeds = append(seeds, h.address)
	}
	log := logrus.New()
	log.SetLevel(logrus.FatalLevel)
	d := New(Config{
		Name: "edge", DataCentre: "north", PacketAddress: netip.MustParseAddrPort("127.0.0.1:0"), ReadinessAddress: netip.MustParseAddrPort("127.0.0.1:0"),
		ReadinessHandler: func(func() bool) http.Handler { return http.NotFoundHandler() }, Seeds: func() []netip.AddrPort { return seeds },
		GracePeriod: time.Second, FlowLifetime: time.Minute, Codec: fakeCodec{}, Log: log, Metrics: telemetry.NewSet(),
		NotifyAddress: notifyAddress,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	return d
}

// fakeCodec rejects every packet.
type fakeCodec struct{}

func (fakeCodec) Decode([]byte, *forward.Packet) error { return net.ErrClosed }
func (fakeCodec) Encapsulate(dst []byte, _ *forward.Upstream, _ *forward.Packet, _ directory.Cookie) []byte {
	return dst
}
func (fakeCodec) Reset(dst []byte, _ *forward.Packet) []byte { return dst }

func (d *Daemon) version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Version()
}

// eventually fails the test if a condition does not become true within a time limit.
func eventually(t *testing.T, limit time.Duration, condition string, ok func() bool) {
	t.Helper()
	begin := time.Now()
	for !ok() {
		if time.Since(begin) > limit {
			t.Fatalf("condition not met within %v: %s", limit, condition)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// applyTime is the time within which a change must take effect in the smallest deployments.
const applyTime = 3 * time.Second

// Guards against daemons using an outdated configuration because they stay connected to control hosts
// that have become silent or have lost contact with their leader.
func TestWatchLeavesSilentAndOutdatedHosts(t *testing.T) {
	faults := map[string]func(*fakeHost){
		"silent":   func(h *fakeHost) { h.silent.Store(true) },
		"outdated": func(h *fakeHost) { h.current.Store(false) },
	}
	for name, injectFault := range faults {
		t.Run(name, func(t *testing.T) {
			hosts := []*fakeHost{startFakeHost(t), startFakeHost(t), startFakeHost(t), startFakeHost(t)}
			for _, h := range hosts {
				h.current.Store(true)
				h.version.Store(1)
			}
			d := startDaemon(t, hosts...)
			eventually(t, applyTime, "two watches", func() bool {
				n := 0
				for _, h := range hosts {
					n += int(h.watchCount.Load())
				}
				return n == watchStreams && d.Ready()
			})
			for _, h := range hosts {
				if h.watchCount.Load() > 0 {
					injectFault(h)
				} else {
					h.version.Store(2)
				}
			}
			eventually(t, applyTime, "the version of the other hosts takes effect", func() bool { return d.version() == 2 })
		})
	}
}

// Guards against a daemon that loses all control hosts when they are replaced one after the other: it has to know the
// present ones, whichever two it watches, when its streams end.
func TestDaemonFollowsReplacedHosts(t *testing.T) {
	var hosts []*fakeHost
	start := func() {
		h := startFakeHost(t)
		h.current.Store(true)
		h.version.Store(uint64(len(hosts) + 1))
		hosts = append(hosts, h)
	}
	list := func(from int) {
		var addresses []string
		for _, h := range hosts[from:] {
			addresses = append(addresses, h.address.String())
		}
		for _, h := range hosts[from:] {
			h.listed.Store(&addresses)
		}
	}
	start()
	start()
	list(0)
	d := startDaemon(t, hosts...)
	eventually(t, applyTime, "first table", func() bool { return d.version() == 2 })
	for replaced := range 4 {
		start()
		list(replaced)
		time.Sleep(200 * time.Millisecond) // the watched hosts send the new list
		hosts[replaced].stop()
		list(replaced + 1)
		eventually(t, 2*applyTime, "the successor is watched", func() bool { return hosts[replaced+2].watchCount.Load() > 0 })
	}
	assert.Equal(t, d.version(), uint64(len(hosts)))
}

// Guards against a daemon being ready without a routing table, and against one that never becomes ready
// in a partitioned data centre.
func TestReadiness(t *testing.T) {
	h := startFakeHost(t)
	d := startDaemon(t, h)
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, !d.Ready(), "there is no routing table")
	h.version.Store(1)
	eventually(t, applyTime, "table", func() bool { return d.version() == 1 })
	eventually(t, currentHostTimeout+time.Second, "ready although the host has no contact with its leader", d.Ready)
}

// Guards against the routing table version decreasing when control hosts have different versions.
func TestVersionNeverGoesBack(t *testing.T) {
	hosts := []*fakeHost{startFakeHost(t), startFakeHost(t)}
	rng := rand.New(rand.NewPCG(1, 2))
	for _, h := range hosts {
		h.current.Store(true)
	}
	d := startDaemon(t, hosts...)
	highest := uint64(0)
	for range 200 {
		h := hosts[rng.IntN(2)]
		h.version.Store(h.version.Load() + uint64(rng.IntN(3)))
		time.Sleep(5 * time.Millisecond)
		v := d.version()
		assert.Assert(t, v >= highest)
		highest = v
	}
	assert.Assert(t, highest > 1)
}

// Guards against evacuations that come and go with the host that sent the latest update: two watched hosts
// disagree, one has no evacuations, and the other one knows that the evacuation of north has ended.
func TestHigherRevisionOfEvacuationsIsInForce(t *testing.T) {
	evacuations := func(revision uint64, inForce bool) *entrypb.Evacuations {
		return &entrypb.Evacuations{Revision: revision, DataCentres: []*entrypb.Evacuation{{DataCentre: "north", InForce: inForce, Revision: revision}}}
	}
	hosts := []*fakeHost{startFakeHost(t), startFakeHost(t)}
	for _, h := range hosts {
		h.current.Store(true)
		h.version.Store(1)
	}
	d := startDaemon(t, hosts...)
	state := func() (uint64, int) {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.core.EvacuationRevision(), d.core.EvacuationCount()
	}
	isInForce := func(revision uint64, count int) func() bool {
		return func() bool {
			r, n := state()
			return r == revision && n == count
		}
	}
	hosts[0].evacuated.Store(evacuations(5, true))
	eventually(t, applyTime, "begin of the evacuation", isInForce(5, 1))
	hosts[1].evacuated.Store(evacuations(8, false))
	eventually(t, applyTime, "end of the evacuation", isInForce(8, 0))
	for range 20 { // both hosts keep sending their state
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, isInForce(8, 0)())
	}
	hosts[1].silent.Store(true) // the daemon follows the lagging host alone
	time.Sleep(watchSilenceTimeout + 500*time.Millisecond)
	assert.Assert(t, isInForce(8, 0)())
}

// Guards against a slow start while some control hosts are not running yet: a refused connection must
// fail at once so that the next host is tried.
func TestRefusedConnectionFailsAtOnce(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	closedPort := netip.MustParseAddrPort(l.Addr().String())
	assert.NilError(t, l.Close())
	begin := time.Now()
	_, err = dial(context.Background(), closedPort, slowConnectTimeout)
	assert.ErrorContains(t, err, "another one is tried")
	assert.Assert(t, time.Since(begin) < slowConnectTimeout/2)
}

// Guards against abandoning a gRPC handshake on a slow processor: a control host that accepts the
// connection and answers late must be watched.
func TestSlowHandshakeIsAwaited(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &fakeHost{address: netip.MustParseAddrPort(l.Addr().String())}
	h.current.Store(true)
	h.version.Store(1)
	s := grpc.NewServer()
	entrypb.RegisterWatcherServer(s, h)
	t.Cleanup(s.Stop)
	d := startDaemon(t, h)
	time.Sleep(2 * connectTimeout) // the connection waits in the accept queue of the listener
	go func() { _ = s.Serve(l) }() // ends with Stop
	eventually(t, applyTime, "table", func() bool { return d.version() == 1 })
	assert.Equal(t, h.watchCount.Load(), int64(1))
}

// Guards against a daemon that waits for the seeds while another control host has started: after a loss of
// power it knows only the seeds. A datagram that names another host than its sender is ignored.
func TestStartedHostIsWatchedAtOnce(t *testing.T) {
	seed := netip.MustParseAddrPort("192.0.2.1:7") // does not answer
	h := startFakeHost(t)
	h.current.Store(true)
	h.version.Store(1)
	free, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	notify := netip.MustParseAddrPort(free.LocalAddr().String())
	assert.NilError(t, free.Close())
	d := startDaemonAt(t, notify, &fakeHost{address: seed})
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(notify))
	assert.NilError(t, err)
	defer conn.Close()
	send := func(host string) {
		datagram, err := proto.Marshal(&entrypb.HostStarted{Host: host})
		assert.NilError(t, err)
		_, err = conn.Write(datagram)
		assert.NilError(t, err)
	}
	time.Sleep(50 * time.Millisecond) // the daemon listens
	send("192.0.2.2:7")
	send("no address")
	time.Sleep(200 * time.Millisecond)
	d.watches.mu.Lock()
	assert.Equal(t, len(d.watches.startedHosts), 0)
	d.watches.mu.Unlock()
	assert.Equal(t, d.version(), uint64(0))
	send(h.address.String())
	eventually(t, time.Second, "the host that has started is watched", func() bool { return d.version() == 1 })
	assert.Equal(t, h.lastNotify.Load(), notify.String())
}
