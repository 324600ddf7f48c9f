// Package controlhost runs a control host: it takes announcements of upstreams and configurations
// of operators, agrees on the configuration with the other control hosts, and keeps entry daemons up to date.
package controlhost

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/control/ensemble"
	"rosemarygate/pkg/control/transport"
	"rosemarygate/pkg/decisionlog"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/routing"
	"rosemarygate/pkg/storage"
	"rosemarygate/pkg/supervise"
	"rosemarygate/pkg/telemetry"
)

const (
	// keepAlive is the shortest time between two pings that gRPC sends. keepAliveTimeout also bounds the
	// wait for TCP acknowledgements, so a connection that went silent is found well within the time in
	// which a host has to be back in touch (4 s on the smallest deployments).
	keepAlive        = 10 * time.Second
	keepAliveTimeout = time.Second
	// leastKeepAlive is the time between two pings that a peer may not go below.
	leastKeepAlive = 500 * time.Millisecond
	// missedAnnouncements is the number of announcements that an upstream may miss before it counts
	// as silent: it may need a second to find another host.
	missedAnnouncements = 2.6
	// directoryTick is how often silent upstreams are looked for.
	directoryTick = 200 * time.Millisecond
	// callTimeout bounds calls of operators and upstreams, which try another host after a second.
	callTimeout = 900 * time.Millisecond
	// bytesPerSecond is the rate at which large configurations get more time than callTimeout.
	bytesPerSecond = 400 << 10
	// linesPerSecond bounds the log lines that calls of operators and upstreams cause. 3,000 upstreams
	// that start within a minute stay below it.
	linesPerSecond = 100
	// stopTimeout bounds the hand-over of the leadership at a planned stop.
	stopTimeout = time.Second
)

// Config describes a control host.
type Config struct {
	Name string
	// Control is the address for operators and upstreams, and Peer that for other daemons.
	Control, Peer  netip.AddrPort
	PeerListen     netip.AddrPort          // where Peer is served if an address translation or proxy stands before it
	Seeds          func() []netip.AddrPort // peer addresses of control hosts
	Found          bool                    // the deployment starts for the first time
	Dir            string
	ToleratedDisks int
	Heartbeat      time.Duration // between two announcements of an upstream
	FlowLifetime   time.Duration
	// Decode reads the content of a configuration.
	Decode func(content []byte) (*routing.Table, error)
	// Handler returns the HTTP interface for operators and upstreams.
	Handler func(*Host) http.Handler
	Log     logrus.FieldLogger
	Metrics *telemetry.Set
	// FS keeps the log and the registrations; nil stands for the operating system's file system.
	FS storage.FS
}

// Host is one control host.
type Host struct {
	cfg   Config
	log   logrus.FieldLogger
	group *ensemble.Group
	clock func() time.Duration

	mu        sync.Mutex // guards directory and changed
	directory *directory.Directory
	changed   chan struct{} // closed at the next change of directory or table

	table   atomic.Pointer[routing.Table]
	step    atomic.Pointer[tableStep] // latest difference that was sent
	settled atomic.Bool
	lines   *decisionlog.Limiter // of lines that calls cause
	sharing *sharing
	ctx     context.Context
	stop    context.CancelFunc
}

// New prepares a control host.
func New(cfg Config) *Host {
	begin := time.Now()
	h := &Host{
		cfg: cfg, log: cfg.Log, clock: func() time.Duration { return time.Since(begin) }, changed: make(chan struct{}),
		directory: directory.New(directory.Config{
			SilentAfter: time.Duration(missedAnnouncements * float64(cfg.Heartbeat)), ForgetAfter: cfg.FlowLifetime,
		}),
	}
	if h.cfg.FS == nil {
		h.cfg.FS = storage.OS{}
	}
	h.ctx, h.stop = context.WithCancel(context.Background())
	h.table.Store(&routing.Table{})
	h.lines = decisionlog.NewLimiter(linesPerSecond)
	dial := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepAlive, Timeout: keepAliveTimeout}),
	}
	h.group = ensemble.New(ensemble.Config{
		Self: cfg.Peer, MayFound: cfg.Found, Seeds: cfg.Seeds, DataDir: cfg.Dir, ToleratedDisks: cfg.ToleratedDisks,
		DialOptions: dial, Log: cfg.Log, FS: h.cfg.FS,
	})
	h.sharing = newSharing(h, transport.DialOptions(dial))
	h.registerMetrics()
	return h
}

// Run runs the host until ctx ends, then hands its leadership over and stops.
func (h *Host) Run(ctx context.Context) error {
	defer h.stop()
	listen := h.cfg.Peer
	if h.cfg.PeerListen.IsValid() {
		listen = h.cfg.PeerListen
	}
	peerListener, err := net.Listen("tcp4", listen.String())
	if err != nil {
		return errors.Wrap(err, "peer address cannot be used: check that no other process uses the port")
	}
	controlListener, err := net.Listen("tcp4", h.cfg.Control.String())
	if err != nil {
		return errors.Wrap(err, "control address cannot be used: check that no other process uses the port")
	}
	events.DaemonStarted.Log(h.log, logrus.Fields{
		"daemon": h.cfg.Name, "control": h.cfg.Control, "peer": h.cfg.Peer, "seeds": h.cfg.Seeds(), "found": h.cfg.Found,
	})
	h.restore()
	server := grpc.NewServer(grpc.InitialWindowSize(transport.Window), grpc.InitialConnWindowSize(transport.Window),
		grpc.MaxRecvMsgSize(transport.MaxMessage), grpc.MaxSendMsgSize(transport.MaxMessage),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: leastKeepAlive, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepAlive, Timeout: keepAliveTimeout}))
	h.group.Register(server)
	entrypb.RegisterWatcherServer(server, &watchServer{h: h})
	entrypb.RegisterCooperationServer(server, &cooperationServer{h: h})
	web := &http.Server{Handler: h.cfg.Handler(h), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second}

	tree := supervise.New()
	tree.Add(func(inner context.Context) error {
		h.awaitStop(ctx, inner)
		return nil
	})
	for _, part := range []func(context.Context) error{h.group.Run, h.follow, h.watchDirectory, h.sharing.run, h.keep} {
		tree.Add(part)
	}
	tree.AddStoppable(func() error { return server.Serve(peerListener) }, server.Stop)
	tree.Serve(web, controlListener)
	err = tree.Run()
	events.DaemonStopped.Log(h.log, logrus.Fields{"daemon": h.cfg.Name, "error": err})
	return err
}

// awaitStop waits until ctx asks the host to stop, and hands its leadership over. inner ends when
// another part has ended.
func (h *Host) awaitStop(ctx, inner context.Context) {
	select {
	case <-inner.Done():
		return
	case <-ctx.Done():
	}
	events.DaemonStopping.Log(h.log, logrus.Fields{"daemon": h.cfg.Name})
	limited, cancel := context.WithTimeout(inner, stopTimeout)
	defer cancel()
	if err := h.group.TransferLeadership(limited); err != nil {
		events.LeadershipKept.Log(h.log, logrus.Fields{"error": err})
	}
}

// follow decodes each configuration that comes into force.
func (h *Host) follow(ctx context.Context) error {
	for {
		changed := h.group.Changed()
		d := h.group.Document()
		if d.Version > h.table.Load().Version {
			t, err := h.cfg.Decode(d.Content)
			if err != nil {
				// It was valid at the host that took it, so the hosts run different releases.
				events.ConfigRefused.Log(h.log, logrus.Fields{"version": d.Version, "error": err})
			} else {
				h.table.Store(t)
				events.ConfigInForce.Log(h.log, logrus.Fields{"version": t.Version, "routes": len(t.Routes)})
			}
		}
		h.notify()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// watchDirectory finds silent upstreams, and notes when the host has listened for long enough to
// know every live upstream.
func (h *Host) watchDirectory(ctx context.Context) error {
	settledAt := h.clock() + 2*h.cfg.Heartbeat + callTimeout
	ticker := time.NewTicker(directoryTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := h.clock()
		if now >= settledAt && h.settled.CompareAndSwap(false, true) {
			events.DirectorySettled.Log(h.log, logrus.Fields{"by": "listening"})
			h.notify()
		}
		h.mu.Lock()
		silent, exited := h.directory.Tick(now)
		h.mu.Unlock()
		for _, r := range silent {
			events.UpstreamSilent.Log(h.log, logrus.Fields{"upstream": r.Name, "born": r.Born, "age_ms": (now - r.Heard).Milliseconds()})
		}
		for _, r := range exited {
			events.UpstreamExited.Log(h.log, logrus.Fields{"upstream": r.Name, "born": r.Born})
			h.sharing.changed(r)
		}
		if len(silent)+len(exited) > 0 {
			h.notify()
		}
	}
}

// notify wakes everything that waits for a change.
func (h *Host) notify() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *Host) registerMetrics() {
	m := h.cfg.Metrics
	m.Gauge("config_version", func() float64 { return float64(h.table.Load().Version) })
	m.Gauge("group_members", func() float64 { return float64(len(h.group.Status().Membership)) })
	m.Gauge("group_current", func() float64 {
		if h.group.Current() {
			return 1
		}
		return 0
	})
	m.Gauge("registrations", func() float64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return float64(h.directory.Len())
	})
}
