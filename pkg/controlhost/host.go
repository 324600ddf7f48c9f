// Package controlhost runs a control host. It accepts announcements from upstreams and configurations
// from operators, agrees on the configuration with the other control hosts, and keeps entry daemons
// up to date.
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
	// keepAliveTime is the shortest time between two pings that gRPC sends. keepAliveTimeout also
	// limits the wait for TCP acknowledgements, so a silent connection is detected well within the
	// time in which a host has to be connected again (4 s on the smallest deployments).
	keepAliveTime    = 10 * time.Second
	keepAliveTimeout = time.Second
	// minKeepAliveTime is the shortest time between two pings that is allowed to a peer.
	minKeepAliveTime = 500 * time.Millisecond
	// maxMissedAnnouncements is the number of announcements that an upstream may miss before it
	// counts as silent: it may need a second to find another host.
	maxMissedAnnouncements = 2.6
	// directoryScanInterval is the time between two searches for silent upstreams.
	directoryScanInterval = 200 * time.Millisecond
	// callTimeout limits calls of operators and upstreams, which try another host after a second.
	callTimeout = 900 * time.Millisecond
	// contentBytesPerSecond is the rate by which the size of a configuration adds to callTimeout.
	contentBytesPerSecond = 400 << 10
	// maxLogLinesPerSecond limits the log lines caused by calls of operators and upstreams. 3,000
	// upstreams that start within a minute stay below it.
	maxLogLinesPerSecond = 100
	// leadershipTransferTimeout limits the transfer of the leadership at a planned stop.
	leadershipTransferTimeout = time.Second
	// stopReserve is the part of the grace period that is left for the end of the process.
	stopReserve = time.Second
)

// Config describes a control host.
type Config struct {
	Name string
	// ControlAddress is the address for operators and upstreams, PeerAddress that for other daemons.
	ControlAddress, PeerAddress netip.AddrPort
	PeerListenAddress           netip.AddrPort          // listen address if PeerAddress is that of an address translation or a proxy in front
	Seeds                       func() []netip.AddrPort // peer addresses of control hosts
	FirstStart                  bool                    // set at the first start of the deployment
	DataDir                     string
	ToleratedDisks              int
	AnnouncementInterval        time.Duration // time between two announcements of an upstream
	GracePeriod                 time.Duration // from the stop signal to the end of the process
	FlowLifetime                time.Duration
	DataCentres                 []string // all of the deployment
	// Decode decodes the content of a configuration.
	Decode func(content []byte) (*routing.Table, error)
	// Handler returns the HTTP interface for operators and upstreams.
	Handler func(*Host) http.Handler
	Log     logrus.FieldLogger
	Metrics *telemetry.Set
	// FS stores the log and the registrations; nil stands for the file system of the operating
	// system.
	FS storage.FS
}

// Host is one control host.
type Host struct {
	cfg   Config
	log   logrus.FieldLogger
	group *ensemble.Group
	clock func() time.Duration // time since New

	mu         sync.Mutex // guards directory, unverified and changed
	directory  *directory.Directory
	unverified map[directory.Incarnation]unverifiedRegistration
	changed    chan struct{} // closed at the next change of the directory or the table

	table            atomic.Pointer[routing.Table]
	latestDifference atomic.Pointer[tableDifference] // latest one sent
	settled          atomic.Bool                     // the directory contains every live upstream
	oldReleases      atomic.Int64                    // connected control hosts of releases without evacuations
	callLogLimiter   *decisionlog.Limiter            // for the log lines of calls
	sharing          *sharing
	saver            *registrationSaver
	notifyAddresses  notifyAddresses
	watchingDaemons  watchingDaemons
	watchers         watchers // of this host
	remoteWatchers   watchers // of the other control hosts
	snapshots        snapshotCache
	ctx              context.Context
	stop             context.CancelFunc
}

// New returns a control host that Run starts.
func New(cfg Config) *Host {
	begin := time.Now()
	h := &Host{
		cfg: cfg, log: cfg.Log, clock: func() time.Duration { return time.Since(begin) }, changed: make(chan struct{}),
		unverified: map[directory.Incarnation]unverifiedRegistration{},
		directory: directory.New(directory.Config{
			SilentAfter: time.Duration(maxMissedAnnouncements * float64(cfg.AnnouncementInterval)), RetainFor: cfg.FlowLifetime,
		}),
	}
	if h.cfg.FS == nil {
		h.cfg.FS = storage.OS{}
	}
	h.saver = newRegistrationSaver()
	h.ctx, h.stop = context.WithCancel(context.Background())
	h.table.Store(&routing.Table{})
	h.callLogLimiter = decisionlog.NewLimiter(maxLogLinesPerSecond)
	dialOptions := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepAliveTime, Timeout: keepAliveTimeout}),
	}
	h.group = ensemble.New(ensemble.Config{
		PeerAddress: cfg.PeerAddress, MayFound: cfg.FirstStart, Seeds: cfg.Seeds, DataDir: cfg.DataDir, ToleratedDisks: cfg.ToleratedDisks,
		DialOptions: dialOptions, Log: cfg.Log, FS: h.cfg.FS,
	})
	h.sharing = newSharing(h, transport.DialOptions(dialOptions))
	h.registerMetrics()
	return h
}

// Run runs the host until ctx ends, then transfers its leadership and stops.
func (h *Host) Run(ctx context.Context) error {
	defer h.stop()
	listen := h.cfg.PeerAddress
	if h.cfg.PeerListenAddress.IsValid() {
		listen = h.cfg.PeerListenAddress
	}
	peerListener, err := net.Listen("tcp4", listen.String())
	if err != nil {
		return errors.Wrap(err, "peer address cannot be used: check that no other process uses the port")
	}
	controlListener, err := net.Listen("tcp4", h.cfg.ControlAddress.String())
	if err != nil {
		return errors.Wrap(err, "control address cannot be used: check that no other process uses the port")
	}
	events.DaemonStarted.Log(h.log, logrus.Fields{
		"daemon": h.cfg.Name, "control": h.cfg.ControlAddress, "peer": h.cfg.PeerAddress, "seeds": h.cfg.Seeds(), "found": h.cfg.FirstStart,
	})
	h.restoreRegistrations()
	daemonsBefore := h.notifyAddresses.texts()
	grpcServer := grpc.NewServer(grpc.InitialWindowSize(transport.FlowControlWindow), grpc.InitialConnWindowSize(transport.FlowControlWindow),
		grpc.MaxRecvMsgSize(transport.MaxMessageBytes), grpc.MaxSendMsgSize(transport.MaxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepAliveTime, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepAliveTime, Timeout: keepAliveTimeout}))
	h.group.Register(grpcServer)
	entrypb.RegisterWatcherServer(grpcServer, &watchServer{host: h})
	entrypb.RegisterCooperationServer(grpcServer, &cooperationServer{host: h})
	httpServer := &http.Server{
		Handler: recordArrivals(h.cfg.Handler(h)), ConnContext: withCallerConn,
		ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second,
	}

	tree := supervise.New()
	tree.Add(func(treeCtx context.Context) error {
		select {
		case <-treeCtx.Done():
			return nil
		case <-ctx.Done():
		}
		events.DaemonStopping.Log(h.log, logrus.Fields{"daemon": h.cfg.Name})
		stopCtx, cancel := context.WithTimeout(treeCtx, max(h.cfg.GracePeriod-stopReserve, h.cfg.GracePeriod/2))
		defer cancel()
		h.transferLeadership(stopCtx)
		supervise.StopServer(httpServer) // while the group still runs, which the accepted calls need
		h.leaveGroup(stopCtx)
		return nil
	})
	for _, task := range []func(context.Context) error{h.group.Run, h.followGroup, h.watchDirectory, h.sharing.run, h.saveRegistrations} {
		tree.Add(task)
	}
	tree.Add(func(ctx context.Context) error { return h.notifyDaemons(ctx, daemonsBefore) })
	tree.AddStoppable(func() error { return grpcServer.Serve(peerListener) }, grpcServer.Stop)
	tree.Serve(httpServer, controlListener)
	err = tree.Run()
	events.DaemonStopped.Log(h.log, logrus.Fields{"daemon": h.cfg.Name, "error": err})
	return err
}

// transferLeadership gives up the leadership of the group at a planned stop.
func (h *Host) transferLeadership(ctx context.Context) {
	timeoutCtx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
	defer cancel()
	if err := h.group.TransferLeadership(timeoutCtx); err != nil {
		events.LeadershipNotTransferred.Log(h.log, logrus.Fields{"error": err})
	}
}

// leaveGroup gives up this host's vote in the group at a planned stop. The host may not come back, and until
// it was replaced it would count as lost.
func (h *Host) leaveGroup(ctx context.Context) {
	begin := time.Now()
	if err := h.group.Leave(ctx); err != nil {
		events.GroupNotLeft.Log(h.log, logrus.Fields{"error": err})
		return
	}
	events.GroupLeft.Log(h.log, logrus.Fields{"took_ms": time.Since(begin).Milliseconds()})
}

// followGroup decodes each configuration that comes into force, and logs the evacuations.
func (h *Host) followGroup(ctx context.Context) error {
	evacuations := &entrypb.Evacuations{}
	for {
		changed := h.group.Changed()
		d := h.group.Document()
		if d.Version > h.table.Load().Version {
			t, err := h.cfg.Decode(d.Content)
			if err != nil {
				// It was valid at the host that accepted it, so the hosts run different releases.
				events.ConfigRefused.Log(h.log, logrus.Fields{"version": d.Version, "error": err})
			} else {
				h.table.Store(t)
				h.announceVerified(ctx)
				events.ConfigInForce.Log(h.log, logrus.Fields{"version": t.Version, "routes": len(t.Routes)})
			}
		}
		if e := h.group.Evacuations(); e.GetRevision() > evacuations.GetRevision() {
			h.logEvacuations(evacuations, e)
			evacuations = e
		}
		h.notify()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// watchDirectory detects silent upstreams, and marks the directory as settled when the host has run
// for long enough to have received an announcement of every live upstream.
func (h *Host) watchDirectory(ctx context.Context) error {
	settledAt := h.clock() + 2*h.cfg.AnnouncementInterval + callTimeout
	ticker := time.NewTicker(directoryScanInterval)
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
			events.UpstreamSilent.Log(h.log, logrus.Fields{"upstream": r.Name, "born": r.StartUnixMs, "age_ms": (now - r.LastAnnounced).Milliseconds()})
		}
		for _, r := range exited {
			events.UpstreamExited.Log(h.log, logrus.Fields{"upstream": r.Name, "born": r.StartUnixMs})
			h.sharing.shareChange(r)
		}
		if len(silent)+len(exited) > 0 {
			h.notify()
		}
	}
}

// notify wakes all goroutines that wait for a change, and starts a write of changed registrations.
func (h *Host) notify() {
	h.saver.request()
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *Host) registerMetrics() {
	m := h.cfg.Metrics
	m.Gauge("config_version", func() float64 { return float64(h.table.Load().Version) })
	m.Gauge("evacuations_in_force", func() float64 { return float64(evacuationsInForce(h.group.Evacuations())) })
	m.Gauge("group_members", func() float64 { return float64(len(h.group.Status().Membership)) })
	m.Gauge("group_voters", func() float64 { return float64(h.group.Status().Membership.Voters()) })
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
