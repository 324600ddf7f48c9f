// Package daemon runs one entry daemon: the supervisor tree and the runners that do the
// I/O of the decision cores.
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
	path     *datapath
	sessions *sessions
	cluster  *cluster
	peers    *peers
	control  *control // nil when the configuration comes from a folder
	// dialControl connects to control replicas; nil for the usual way.
	dialControl DialControl
	controlFS   storage.FS // nil for the operating system's
	grpcLis     net.Listener
	httpLis     net.Listener

	ctx        context.Context
	stop       context.CancelFunc
	ready      chan struct{} // closed when the daemon serves
	completing atomic.Int64  // requests being reported to new owners
	started    time.Time
}

// New prepares a daemon and binds its own ports, so that an address in use is reported
// before anything starts.
//
// The configuration is nil when the settings name control replicas: the daemon then starts with
// the stored copy, or without services, and takes versions from the replicas.
func New(s *settings.Daemon, cfg *config.Config, log logrus.FieldLogger, options ...Option) (*Daemon, error) {
	key, err := clusterKey(s)
	if err != nil {
		return nil, err
	}
	index, err := indexServices(initialConfig(s, cfg), key)
	if err != nil {
		return nil, err
	}
	identity, err := security.Load(s.TLS)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: s, identity: identity, log: log.WithField("daemon", s.Name), metrics: telemetry.NewSet(),
		clock: monotonicClock(), started: time.Now(),
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

// clusterKey reads the key of the datagrams between daemons. On loopback it may be left out.
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
	_ = conn.SetReadBuffer(socketBuffer)
	d.path = &datapath{clock: d.clock, blocked: d.blocked, key: key, peerConn: conn, peers: ipv4.NewPacketConn(conn), counters: newPacketCounters(d.metrics)}
	if d.grpcLis, err = net.Listen("tcp", s.Address(s.Ports.GRPC).String()); err != nil {
		return errors.Wrap(err, "gRPC port cannot be bound: free it or change ports.grpc")
	}
	if d.httpLis, err = net.Listen("tcp", s.Address(s.Ports.HTTP).String()); err != nil {
		return errors.Wrap(err, "HTTP port cannot be bound: free it or change ports.http")
	}
	d.assemble(key)
	return nil
}

func (d *Daemon) closeListeners() {
	if d.path != nil {
		d.path.peerConn.Close()
	}
	if d.grpcLis != nil {
		d.grpcLis.Close()
	}
	if d.httpLis != nil {
		d.httpLis.Close()
	}
}

// assemble connects the parts with each other.
func (d *Daemon) assemble(key []byte) {
	d.peers = newPeers(append(blockable(d.blocked), d.identity.Client()))
	d.path.receivers.New = func() any { return d.path.newReceiver() }
	d.path.keys.Store(&keyRing{d.services.Load().keys})
	d.path.sockets = &sockets{
		host: d.settings.Host, byService: map[ident.ServiceID]*serviceSocket{}, unbound: map[ident.ServiceID]uint16{},
		receive: d.path.fromCaller, receivers: &d.path.receivers,
	}
	self := membership.Member{
		ID: ident.Daemon(d.settings.Name), Name: d.settings.Name, DataCentre: d.settings.DataCentre,
		Incarnation: ident.Incarnation(time.Now().UnixMilli()),
		PeerAddr:    addrPort(d.path.peerConn.LocalAddr()), GRPCAddr: addrPort(d.grpcLis.Addr()),
	}
	d.path.opener = newOpener(d.path, self, d.settings.NearDataCentres, d.openRefused)
	d.sessions = &sessions{ctx: d.ctx, log: d.log, dial: append(blockable(d.blocked), grpc.WithTransportCredentials(insecure.NewCredentials())), all: map[ident.UpstreamID]*session{}}
	d.cluster = newCluster(d.clock, d.log, d.path.peerConn, key, self, d.settings.Seeds, d.settings.NearDataCentres)
	d.path.opener.search.ask = d.cluster.ask
	d.cluster.assign = newAssignment(self, nil)
	d.cluster.assign.connect = d.connectUpstream
	d.cluster.assign.connected = d.sessions.connected
	d.cluster.assign.handOver = d.handOver
	d.cluster.assign.drop = d.dropUpstream
	d.cluster.hooks = clusterHooks{
		joined: d.joined, superseded: d.stop, viewed: d.viewed,
		changed: d.registrationsChanged, loaded: d.loadsReceived, loads: d.reportedLoads,
	}
	d.path.membership = d.cluster.deliver
}

func addrPort(a net.Addr) netip.AddrPort {
	ap, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

// Ready is closed when the daemon serves.
func (d *Daemon) Ready() <-chan struct{} { return d.ready }

// GRPCAddr returns the address of the daemon's gRPC server.
func (d *Daemon) GRPCAddr() netip.AddrPort { return addrPort(d.grpcLis.Addr()) }

// HTTPAddr returns the address of the daemon's metrics and status.
func (d *Daemon) HTTPAddr() netip.AddrPort { return addrPort(d.httpLis.Addr()) }

// PeerAddr returns the address of the daemon's datagram socket.
func (d *Daemon) PeerAddr() netip.AddrPort { return addrPort(d.path.peerConn.LocalAddr()) }

// Run serves until ctx ends, then stops gracefully: it hands its upstreams over and lets
// running requests end. Kill makes it return at once instead.
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

// Kill stops the daemon at once, as a crash would: nothing is handed over or announced.
func (d *Daemon) Kill() {
	d.path.peerConn.Close()
	d.stop()
}

func (d *Daemon) addShutdown(g *run.Group, ctx context.Context) {
	g.Add(func() error {
		select {
		case <-ctx.Done():
			d.control.leave()
			d.drain()
			d.control.leave() // it may have been elected again meanwhile
			return nil
		case <-d.ctx.Done():
			return nil
		}
	}, func(error) { d.stop() })
}

// addDataPath adds the group of sockets, shards and sessions.
func (d *Daemon) addDataPath(g *run.Group) {
	var data run.Group
	addActor(&data, d.ctx, d.path.sockets.run)
	addActor(&data, d.ctx, d.sessions.run)
	addActor(&data, d.ctx, func(ctx context.Context) error {
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.path.fromPeers()
		}()
		<-ctx.Done()
		d.path.peerConn.Close()
		<-done
		return nil
	})
	g.Add(data.Run, func(error) { d.stop() })
}

func (d *Daemon) addControlPlane(g *run.Group) {
	var control run.Group
	addActor(&control, d.ctx, d.cluster.run)
	d.control.add(&control)
	g.Add(control.Run, func(error) {
		d.stop()
		d.peers.close()
	})
}

func (d *Daemon) addServers(g *run.Group) {
	options := append(d.identity.RequirePeer(append(controlServices(), peerpb.Peer_ServiceDesc.ServiceName)...),
		d.identity.Server(), grpc.InitialWindowSize(transport.Window), grpc.InitialConnWindowSize(transport.Window), grpc.MaxRecvMsgSize(transport.MaxMessage), grpc.MaxSendMsgSize(transport.MaxMessage))
	server := grpc.NewServer(options...)
	upstreampb.RegisterRegistryServer(server, &registry{d: d})
	peerpb.RegisterPeerServer(server, &peerServer{d: d})
	d.control.register(server)
	g.Add(func() error { return server.Serve(d.grpcLis) }, func(error) { server.Stop() })
	web := newWebServer(d)
	g.Add(func() error { return web.serve(d.httpLis) }, func(error) { web.stop() })
}

// addActor adds a function that runs until its context ends.
func addActor(g *run.Group, parent context.Context, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(parent)
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// newShards starts the owner cores under the identity that the members agreed on.
func (d *Daemon) newShards(self membership.Member) *shards {
	sh := &shards{stopped: d.ctx.Done()}
	for range shardCount {
		core := owner.NewCore(owner.Config{Self: self.ID, Incarnation: self.Incarnation, Keys: d.services.Load().keys})
		s := &shard{
			core: core, events: make(chan envelope, shardQueue), packets: newFairQueue(),
			clock: d.clock, recv: d.path.newReceiver(), do: d.do,
		}
		sh.all = append(sh.all, s)
		go s.run(d.ctx)
	}
	sh.broadcast(owner.ServicesChanged{Services: d.services.Load()})
	return sh
}

// joined starts the data path: the daemon's incarnation is final now.
func (d *Daemon) joined(self membership.Member) {
	sh := d.newShards(self)
	d.sessions.shards = sh
	d.path.shards = sh
	d.shards.Store(sh)
}
