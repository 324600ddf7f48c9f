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
	"gotest.tools/v3/assert"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/forward"
	"rosemarygate/pkg/telemetry"
)

// fakeHost is a control host whose answers a test sets.
type fakeHost struct {
	entrypb.UnimplementedWatcherServer
	address netip.AddrPort
	current atomic.Bool
	silent  atomic.Bool
	version atomic.Uint64
	watched atomic.Int64
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
	return h
}

func (h *fakeHost) Watch(_ *entrypb.WatchRequest, stream grpc.ServerStreamingServer[entrypb.Update]) error {
	h.watched.Add(1)
	sent := uint64(0)
	for first := true; stream.Context().Err() == nil; first = false {
		if !h.silent.Load() {
			u := &entrypb.Update{Snapshot: first, Status: &entrypb.Status{Current: h.current.Load(), Settled: true}}
			if v := h.version.Load(); v > sent {
				u.Table, sent = &entrypb.RoutingTable{Version: v}, v
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
	var seeds []netip.AddrPort
	for _, h := range hosts {
		seeds = append(seeds, h.address)
	}
	log := logrus.New()
	log.SetLevel(logrus.FatalLevel)
	d := New(Config{
		Name: "edge", DataCentre: "north", Packets: netip.MustParseAddrPort("127.0.0.1:0"), Readiness: netip.MustParseAddrPort("127.0.0.1:0"),
		ReadinessHandler: func(func() bool) http.Handler { return http.NotFoundHandler() }, Seeds: func() []netip.AddrPort { return seeds },
		Grace: time.Second, FlowLifetime: time.Minute, Codec: noCodec{}, Log: log, Metrics: telemetry.NewSet(),
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

// noCodec reads no packets.
type noCodec struct{}

func (noCodec) Decode([]byte, *forward.Packet) error { return net.ErrClosed }
func (noCodec) Encapsulate(dst []byte, _ *forward.Upstream, _ *forward.Packet, _ directory.Cookie) []byte {
	return dst
}
func (noCodec) Reset(dst []byte, _ *forward.Packet) []byte { return dst }

func (d *Daemon) version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Version()
}

// within checks that a condition comes true within a time.
func within(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	begin := time.Now()
	for !ok() {
		if time.Since(begin) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// applyTime is the time within which a change has to be in force on the smallest deployments.
const applyTime = 3 * time.Second

// Guards against daemons that stay with control hosts that went silent, or that lost contact to their
// leader, and so act on an old configuration.
func TestWatchLeavesBadHosts(t *testing.T) {
	spoils := map[string]func(*fakeHost){
		"silent":   func(h *fakeHost) { h.silent.Store(true) },
		"outdated": func(h *fakeHost) { h.current.Store(false) },
	}
	for name, spoil := range spoils {
		t.Run(name, func(t *testing.T) {
			hosts := []*fakeHost{startFakeHost(t), startFakeHost(t), startFakeHost(t), startFakeHost(t)}
			for _, h := range hosts {
				h.current.Store(true)
				h.version.Store(1)
			}
			d := startDaemon(t, hosts...)
			within(t, applyTime, "two watches", func() bool {
				n := 0
				for _, h := range hosts {
					n += int(h.watched.Load())
				}
				return n == watchStreams && d.Ready()
			})
			for _, h := range hosts {
				if h.watched.Load() > 0 {
					spoil(h)
				} else {
					h.version.Store(2)
				}
			}
			within(t, applyTime, "the other hosts' version is in force", func() bool { return d.version() == 2 })
		})
	}
}

// Guards against a daemon that is ready before it knows what a daemon in touch knows, and against one
// that never serves in a data centre that is cut off.
func TestReadiness(t *testing.T) {
	h := startFakeHost(t)
	d := startDaemon(t, h)
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, !d.Ready(), "there is no table")
	h.version.Store(1)
	within(t, applyTime, "table", func() bool { return d.version() == 1 })
	within(t, outdatedTime+time.Second, "ready though the host has no contact to its leader", d.Ready)
}

// Guards against a version that goes back when control hosts differ.
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

// Guards against a start that waits for hosts which are not up yet: a refused connection must lead to
// the next host at once.
func TestRefusedConnectionIsKnownAtOnce(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	refuses := netip.MustParseAddrPort(l.Addr().String())
	assert.NilError(t, l.Close())
	begin := time.Now()
	_, err = dial(context.Background(), refuses, slowConnectTimeout)
	assert.ErrorContains(t, err, "another one is tried")
	assert.Assert(t, time.Since(begin) < slowConnectTimeout/2)
}

// Guards against a handshake that is given up because the processor is slow: a control host that
// accepts the connection and answers late is followed.
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
	time.Sleep(2 * connectTimeout) // the connection waits in the queue of the listener
	go func() { _ = s.Serve(l) }() // ends with Stop
	within(t, applyTime, "table", func() bool { return d.version() == 1 })
	assert.Equal(t, h.watched.Load(), int64(1))
}
