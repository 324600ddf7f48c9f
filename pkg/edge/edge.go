// Package edge runs an entry daemon that forwards the packets of flows. It keeps no durable state:
// the routing table and the registrations of upstreams come from control hosts.
package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/decisionlog"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/forward"
	"rosemarygate/pkg/routing"
	"rosemarygate/pkg/supervise"
	"rosemarygate/pkg/telemetry"
)

const (
	// maxFailedChecks is the number of failed readiness checks after which the fabric sends no new flows.
	maxFailedChecks = 2
	// checkPeriod is the time between two readiness checks by the fabric.
	checkPeriod = 500 * time.Millisecond
	// quietPeriod is the time without packets after which the fabric counts as having stopped sending.
	quietPeriod = 400 * time.Millisecond
	// shutdownReserve is the part of the grace period that is reserved for the shutdown of the process.
	shutdownReserve = time.Second
	// directoryExpiryPeriod is how often expired registrations are removed.
	directoryExpiryPeriod = 5 * time.Second
	// logLinesPerSecond bounds the log lines about flows, per event. At 20 µs per line they use at most
	// 0.2% of a core.
	logLinesPerSecond = 100
)

// Codec decodes and encodes packets.
type Codec interface {
	// Decode decodes the header of a packet into p.
	Decode(raw []byte, p *forward.Packet) error
	// Encapsulate appends the datagram that carries a packet to an upstream.
	Encapsulate(dst []byte, u *forward.Upstream, p *forward.Packet, cookie directory.Cookie) []byte
	// Reset appends the packet that resets the flow of p.
	Reset(dst []byte, p *forward.Packet) []byte
}

// Config describes an entry daemon.
type Config struct {
	Name       string
	DataCentre string
	// PacketAddress is the UDP address to which the fabric sends packets. Packets to callers go to the same port.
	PacketAddress netip.AddrPort
	// ReadinessAddress is the address of the readiness checks by the fabric.
	ReadinessAddress netip.AddrPort
	// ReadinessHandler answers the readiness checks; ready reports whether the daemon is ready.
	ReadinessHandler func(ready func() bool) http.Handler
	// NotifyAddress is the UDP address at which control hosts tell the daemon that they have started; none if
	// it is not valid.
	NotifyAddress netip.AddrPort
	Seeds         func() []netip.AddrPort // peer addresses of control hosts
	GracePeriod   time.Duration           // from the stop signal to the end of the process
	FlowLifetime  time.Duration
	// LinkBitsPerSecond is the bandwidth of the host's link in each direction, 0 if it is unknown.
	LinkBitsPerSecond int64
	WarmupTolerance   routing.WarmupTolerance
	// AnnouncementInterval is the time between two announcements of an upstream.
	AnnouncementInterval time.Duration
	Codec                Codec
	Log                  logrus.FieldLogger
	Metrics              *telemetry.Set
}

// Daemon is one entry daemon.
type Daemon struct {
	cfg   Config
	log   logrus.FieldLogger
	clock *steadyClock
	conn  *net.UDPConn

	mu                sync.Mutex // guards core and directory
	core              *forward.Core
	directory         *directory.Directory
	directoryRevision uint64 // revision of the directory up to which the core is updated
	loggedEvacuations uint64 // revision of the evacuations up to which changes are logged
	releaseTimer      *time.Timer
	releaseAt         time.Duration // when releaseTimer expires, 0 if it does not run

	watches      *watches
	prepared     atomic.Bool // routing table and registrations are complete enough to serve
	stopping     atomic.Bool
	failedChecks atomic.Int64 // failed readiness checks since the stop began
	lastPacketAt atomic.Int64 // monotonic clock in nanoseconds

	placedLimiter, refusedLimiter *decisionlog.Limiter
	decisionCounters              []*metrics.Counter // by forward.Reason
	trafficCounters               trafficCounters
	malformed                     *metrics.Counter
	heldCounter                   *metrics.Counter // held packets; each is also counted by its later decision
	sendErrors                    *metrics.Counter
	suspicions                    *metrics.Counter
	coldPlacements                *metrics.Counter // flows placed on cold upstreams as their sponsor
	invalidRegistrations          *metrics.Counter
	packetSeconds                 *metrics.Histogram
}

// New returns an entry daemon that is not running yet.
func New(cfg Config) *Daemon {
	d := &Daemon{
		cfg: cfg, log: cfg.Log, clock: newSteadyClock(),
		core: forward.New(forward.Config{
			DataCentre: cfg.DataCentre, LinkBytesPerSecond: float64(cfg.LinkBitsPerSecond) / 8, CostObserver: newCostMetrics(cfg.Metrics).observe,
			Name: cfg.Name, WarmupTolerance: cfg.WarmupTolerance, AnnouncementInterval: cfg.AnnouncementInterval,
		}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		directory:     directory.New(directory.Config{RetainFor: cfg.FlowLifetime}),
		placedLimiter: decisionlog.NewLimiter(logLinesPerSecond), refusedLimiter: decisionlog.NewLimiter(logLinesPerSecond),
	}
	d.releaseTimer = time.AfterFunc(time.Hour, d.releaseHeld)
	d.releaseTimer.Stop()
	d.watches = newWatches(d)
	d.registerMetrics()
	return d
}

func (d *Daemon) registerMetrics() {
	m := d.cfg.Metrics
	for _, r := range forward.Reasons() {
		d.decisionCounters = append(d.decisionCounters, m.Counter("packets", "decision", r.String()))
	}
	d.trafficCounters = newTrafficCounters(m)
	d.malformed = m.Counter("packets", "decision", "malformed")
	d.heldCounter = m.Counter("packets_held")
	d.sendErrors = m.Counter("send_errors")
	d.suspicions = m.Counter("suspicions")
	d.invalidRegistrations = m.Counter("invalid_registrations")
	d.packetSeconds = m.Histogram("packet_seconds")
	locked := func(f func() int) func() float64 {
		return func() float64 {
			d.mu.Lock()
			defer d.mu.Unlock()
			return float64(f())
		}
	}
	m.Gauge("config_version", locked(func() int { return int(d.core.Version()) }))
	m.Gauge("evacuations_in_force", locked(d.core.EvacuationCount))
	m.Gauge("upstreams", locked(d.core.UpstreamCount))
	m.Gauge("flows", locked(d.core.FlowCount))
	m.Gauge("cold_upstreams", locked(func() int { return d.core.CountWarmups(d.clock.now()).Cold }))
	m.Gauge("sponsored_upstreams", locked(func() int { return d.core.CountWarmups(d.clock.now()).Sponsored }))
	d.coldPlacements = m.Counter("cold_placements")
	m.Gauge("ready", func() float64 {
		if d.Ready() {
			return 1
		}
		return 0
	})
}

// hasTable reports whether the daemon has a routing table.
func (d *Daemon) hasTable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Version() > 0
}

// Ready reports whether the fabric may send new flows.
func (d *Daemon) Ready() bool { return d.prepared.Load() && !d.stopping.Load() }

// answerCheck answers a readiness check, and counts it if the daemon is stopping.
func (d *Daemon) answerCheck() bool {
	if d.stopping.Load() {
		d.failedChecks.Add(1)
	}
	return d.Ready()
}

// Run serves until ctx ends and then until the fabric has stopped sending packets.
func (d *Daemon) Run(ctx context.Context) error {
	var err error
	if d.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(d.cfg.PacketAddress)); err != nil {
		return errors.Wrap(err, "packet address cannot be used: check that no other process uses the port")
	}
	if err := enableTimestamps(d.conn); err != nil {
		events.ArrivalTimesUnknown.Log(d.log, logrus.Fields{"error": err})
	}
	listener, err := net.Listen("tcp4", d.cfg.ReadinessAddress.String())
	if err != nil {
		return errors.Wrap(err, "readiness address cannot be used: check that no other process uses the port")
	}
	events.DaemonStarted.Log(d.log, logrus.Fields{
		"daemon": d.cfg.Name, "data_centre": d.cfg.DataCentre, "packets": d.cfg.PacketAddress, "seeds": d.cfg.Seeds(),
	})
	readinessServer := &http.Server{Handler: d.cfg.ReadinessHandler(d.answerCheck), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second}
	tree := supervise.New()
	tree.Add(func(partsCtx context.Context) error {
		d.awaitStop(ctx, partsCtx)
		return nil
	})
	tree.AddStoppable(d.readPackets, func() { d.conn.Close() })
	if d.cfg.NotifyAddress.IsValid() {
		notifications, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(d.cfg.NotifyAddress))
		if err != nil {
			return errors.Wrap(err, "notify address cannot be used: check that no other process uses the port")
		}
		tree.AddStoppable(func() error { return d.watches.readNotifications(notifications) }, func() { notifications.Close() })
	}
	tree.Serve(readinessServer, listener)
	tree.Add(d.watches.run)
	tree.Add(d.expireRegistrations)
	err = tree.Run()
	events.DaemonStopped.Log(d.log, logrus.Fields{"daemon": d.cfg.Name, "error": err})
	return err
}

// awaitStop returns after ctx has ended and the fabric has stopped sending packets, at the latest
// shutdownReserve before the end of the grace period. partsCtx ends when another part of the daemon has ended.
func (d *Daemon) awaitStop(ctx, partsCtx context.Context) {
	select {
	case <-partsCtx.Done():
		return
	case <-ctx.Done():
	}
	d.stopping.Store(true)
	begin := d.clock.now()
	events.DaemonStopping.Log(d.log, logrus.Fields{"daemon": d.cfg.Name})
	for {
		time.Sleep(checkPeriod / 5)
		now := d.clock.now()
		enoughChecks := d.failedChecks.Load() > maxFailedChecks || now-begin > (maxFailedChecks+2)*checkPeriod
		quiet := now-time.Duration(d.lastPacketAt.Load()) > quietPeriod
		if enoughChecks && quiet || now-begin > d.cfg.GracePeriod-shutdownReserve {
			return
		}
	}
}

// expireRegistrations removes registrations that no open flow can use any more.
func (d *Daemon) expireRegistrations(ctx context.Context) error {
	return supervise.Every(ctx, directoryExpiryPeriod, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, i := range d.directory.Expire(d.clock.now()) {
			d.core.RemoveUpstream(i)
		}
	})
}
