// Package daemon runs one entry daemon: its supervised goroutines and the runners that do the I/O of
// the deterministic cores.
package daemon

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/ipv4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	peerpb "rosemarygate/api/peer/v1"
	upstreampb "rosemarygate/api/upstream/v1"
	"rosemarygate/pkg/config"
	"rosemarygate/pkg/control/transport"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/security"
	"rosemarygate/pkg/settings"
	"rosemarygate/pkg/storage"
	"rosemarygate/pkg/telemetry"
)

// Daemon is one entry daemon.
type Daemon struct {
	settings  *settings.Daemon
	identity  *security.Identity
	log       logrus.FieldLogger
	metrics   *telemetry.Set
	counters  *counters
	clock     func() time.Time
	blocked   func(netip.Addr) bool // nil unless an experiment cuts connections
	misreport Misreport             // nil unless an experiment misreports loads

	services atomic.Pointer[serviceIndex]
	shards   atomic.Pointer[shards]
	datapath *datapath
	sessions *sessions
	cluster  *cluster
	peers    *peers
	control  *control // nil when the configuration comes from a folder
	// dialControl connects to control replicas; nil for gRPC's default dialer.
	dialControl  DialControl
	controlFS    storage.FS // nil for the operating system's file system
	grpcListener net.Listener
	httpListener net.Listener

	ctx              context.Context
	stop             context.CancelFunc
	ready            chan struct{} // closed when the daemon starts to serve
	pendingCompleted atomic.Int64  // completed requests that are being reported to new owners
	startedAt        time.Time
}

// New prepares a daemon and binds its ports, so that an address in use is reported before anything
// starts.
//
// The configuration is nil when the settings name control replicas: the daemon then starts with
// the stored copy, or without services, and receives versions from the replicas.
func New(s *settings.Daemon, cfg *config.Config, log logrus.FieldLogger, options ...Option) (*Daemon, error) {
	key, err := clusterKey(s)
	if err != nil {
		return nil, err
	}
	index, err := indexServices(initialConfig(s, cfg), key)
	if err != nil {
		return nil, err
	}
	identity, err := security.LoadIdentity(s.TLS)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: s, identity: identity, log: log.WithField("daemon", s.Name), metrics: telemetry.NewSet(),
		clock: monotonicClock(), startedAt: time.Now(),
		ready: make(chan struct{}),
	}
	for _, o := range options {
		o(d)
	}
	d.ctx, d.stop = context.WithCancel(context.Background())
	d.counters = newCounters(d.metrics)
	d.counters.setIndex(index)
	d.services.Store(index)
	if err := d.bind(key); err != nil {
		d.closeListeners()
		return nil, err
	}
	if d.control, err = newControl(d, d.dialControl); err != nil {
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

// monotonicClock returns a clock that does not go back when the host's clock is set.
func monotonicClock() func() time.Time {
	start := time.Now()
	wall := start.Round(0)
	return func() time.Time { return wall.Add(time.Since(start)) }
}

// clusterKey reads the key that authenticates datagrams between daemons. It is optional on loopback.
func clusterKey(s *settings.Daemon) ([]byte, error) {
	if s.ClusterKey != "" {
		key, err := os.ReadFile(s.ClusterKey)
		return key, errors.Wrap(err, "cluster key cannot be read: name an existing file in cluster_key")
	}
	if !s.Host.IsLoopback() {
		return nil, errors.New("setting cluster_key is empty: name a key file that all daemons share")
	}
	return nil, nil
}

func (d *Daemon) bind(key []byte) error {
	s := d.settings
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.Address(s.Ports.Peer)))
	if err != nil {
		return errors.Wrap(err, "peer port cannot be bound: free it or change ports.peer")
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	d.datapath = &datapath{clock: d.clock, blocked: d.blocked, clusterKey: key, peerConn: conn, peerBatchConn: ipv4.NewPacketConn(conn), counters: newPacketCounters(d.metrics)}
	if d.grpcListener, err = net.Listen("tcp", s.Address(s.Ports.GRPC).String()); err != nil {
		return errors.Wrap(err, "gRPC port cannot be bound: free it or change ports.grpc")
	}
	if d.httpListener, err = net.Listen("tcp", s.Address(s.Ports.HTTP).String()); err != nil {
		return errors.Wrap(err, "HTTP port cannot be bound: free it or change ports.http")
	}
	d.connectParts(key)
	return nil
}

func (d *Daemon) closeListeners() {
	if d.datapath != nil {
		d.datapath.peerConn.Close()
	}
	if d.grpcListener != nil {
		d.grpcListener.Close()
	}
	if d.httpListener != nil {
		d.httpListener.Close()
	}
}

// connectParts creates the parts of the daemon and connects them with each other.
func (d *Daemon) connectParts(key []byte) {
	d.peers = newPeers(append(cuttableDialOptions(d.blocked), d.identity.DialOption()))
	d.datapath.receivers.New = func() any { return d.datapath.newReceiver() }
	d.datapath.keys.Store(&keyRing{d.services.Load().keys})
	d.datapath.sockets = &sockets{
		host: d.settings.Host, byService: map[ident.ServiceID]*serviceSocket{}, unbound: map[ident.ServiceID]uint16{},
		receive: d.datapath.handleCallerDatagram, receivers: &d.datapath.receivers,
	}
	self := membership.Member{
		ID: ident.Daemon(d.settings.Name), Name: d.settings.Name, DataCentre: d.settings.DataCentre,
		Incarnation: ident.Incarnation(time.Now().UnixMilli()),
		PeerAddr:    addrPort(d.datapath.peerConn.LocalAddr()), GRPCAddr: addrPort(d.grpcListener.Addr()),
	}
	d.datapath.opener = newOpener(d.datapath, self, d.settings.NearDataCentres, d.countRefusedOpen)
	d.sessions = &sessions{ctx: d.ctx, log: d.log, dialOptions: append(cuttableDialOptions(d.blocked), grpc.WithTransportCredentials(insecure.NewCredentials())), byUpstream: map[ident.UpstreamID]*session{}}
	d.cluster = newCluster(d.clock, d.log, d.datapath.peerConn, key, self, d.settings.Seeds, d.settings.NearDataCentres)
	d.datapath.opener.search.queryService = d.cluster.queryService
	d.cluster.assignment = newAssignment(self, nil)
	d.cluster.assignment.connect = d.connectUpstream
	d.cluster.assignment.isConnected = d.sessions.isConnected
	d.cluster.assignment.startHandover = d.startHandover
	d.cluster.assignment.drop = d.dropUpstream
	d.cluster.hooks = clusterHooks{
		joined: d.startShards, superseded: d.stop, viewInForce: d.applyView,
		registrationsChanged: d.updateCandidates, loadsReceived: d.recordLoads, reportedLoads: d.reportedLoads,
	}
	d.datapath.handleMembership = d.cluster.deliver
}

func addrPort(a net.Addr) netip.AddrPort {
	ap, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

// Ready returns a channel that is closed when the daemon starts to serve.
func (d *Daemon) Ready() <-chan struct{} { return d.ready }

// GRPCAddr returns the address of the daemon's gRPC server.
func (d *Daemon) GRPCAddr() netip.AddrPort { return addrPort(d.grpcListener.Addr()) }

// HTTPAddr returns the address of the HTTP server with the daemon's metrics and status.
func (d *Daemon) HTTPAddr() netip.AddrPort { return addrPort(d.httpListener.Addr()) }

// PeerAddr returns the address of the daemon's datagram socket.
func (d *Daemon) PeerAddr() netip.AddrPort { return addrPort(d.datapath.peerConn.LocalAddr()) }

// Run serves until ctx ends, then stops gracefully: it hands its upstreams over and waits until
// running requests end. After Kill it returns without that.
func (d *Daemon) Run(ctx context.Context) error {
	var g run.Group
	d.addShutdown(&g, ctx)
	d.addDataPath(&g)
	d.addControlPlane(&g)
	d.addServers(&g)
	events.DaemonStarted.Log(d.log, logrus.Fields{
		"data_centre": d.settings.DataCentre, "peer": d.PeerAddr(), "grpc": d.GRPCAddr(), "http": d.HTTPAddr(),
	})
	err := g.Run()
	if err != nil && !errors.Is(err, context.Canceled) {
		events.ComponentFailed.Log(d.log, logrus.Fields{"error": err})
		return err
	}
	events.DaemonStopped.Log(d.log, nil)
	return nil
}

// Kill stops the daemon at once, as a crash does: it hands no upstream over and does not announce
// that it leaves.
func (d *Daemon) Kill() {
	d.datapath.peerConn.Close()
	d.stop()
}

func (d *Daemon) addShutdown(g *run.Group, ctx context.Context) {
	g.Add(func() error {
		select {
		case <-ctx.Done():
			d.control.transferLeadership()
			d.drain()
			d.control.transferLeadership() // the replica may have been elected again during the drain
			return nil
		case <-d.ctx.Done():
			return nil
		}
	}, func(error) { d.stop() })
}

// addDataPath adds the group of service sockets, sessions and readers of the peer socket.
func (d *Daemon) addDataPath(g *run.Group) {
	var data run.Group
	addActor(&data, d.ctx, d.datapath.sockets.run)
	addActor(&data, d.ctx, d.sessions.run)
	addActor(&data, d.ctx, func(ctx context.Context) error {
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.datapath.readPeers()
		}()
		<-ctx.Done()
		d.datapath.peerConn.Close()
		<-done
		return nil
	})
	g.Add(data.Run, func(error) { d.stop() })
}

func (d *Daemon) addControlPlane(g *run.Group) {
	var control run.Group
	addActor(&control, d.ctx, d.cluster.run)
	d.control.addActors(&control)
	g.Add(control.Run, func(error) {
		d.stop()
		d.peers.close()
	})
}

func (d *Daemon) addServers(g *run.Group) {
	options := append(d.identity.RequireClientCertificate(append(controlServices(), peerpb.Peer_ServiceDesc.ServiceName)...),
		d.identity.ServerOption(), grpc.InitialWindowSize(transport.FlowControlWindow), grpc.InitialConnWindowSize(transport.FlowControlWindow), grpc.MaxRecvMsgSize(transport.MaxMessageBytes), grpc.MaxSendMsgSize(transport.MaxMessageBytes))
	server := grpc.NewServer(options...)
	upstreampb.RegisterRegistryServer(server, &registry{daemon: d})
	peerpb.RegisterPeerServer(server, &peerServer{daemon: d})
	d.control.registerServices(server)
	g.Add(func() error { return server.Serve(d.grpcListener) }, func(error) { server.Stop() })
	web := newWebServer(d)
	g.Add(func() error { return web.serve(d.httpListener) }, func(error) { web.stop() })
}

// addActor adds a function that runs until its context ends.
func addActor(g *run.Group, parent context.Context, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(parent)
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// newShards starts the owner cores with the identity under which the daemon has joined.
func (d *Daemon) newShards(self membership.Member) *shards {
	sh := &shards{stopped: d.ctx.Done()}
	for range shardCount {
		core := owner.NewCore(owner.Config{Self: self.ID, Incarnation: self.Incarnation, Keys: d.services.Load().keys})
		s := &shard{
			core: core, events: make(chan queuedEvent, shardQueueSize), packets: newFairQueue(),
			clock: d.clock, receiver: d.datapath.newReceiver(), perform: d.perform,
		}
		sh.all = append(sh.all, s)
		go s.run(d.ctx)
	}
	sh.broadcast(owner.ServicesChanged{Services: d.services.Load()})
	return sh
}

// startShards starts the shards. It runs after the daemon has joined, when its incarnation no longer
// changes.
func (d *Daemon) startShards(self membership.Member) {
	sh := d.newShards(self)
	d.sessions.shards = sh
	d.datapath.shards = sh
	d.shards.Store(sh)
}
