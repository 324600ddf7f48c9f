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
	"rosemarygate/pkg/supervise"
	"rosemarygate/pkg/telemetry"
)

const (
	// missedChecks is the number of failed checks after which the fabric sends no new flows.
	missedChecks = 2
	// checkPeriod is the time between two checks of the fabric.
	checkPeriod = 500 * time.Millisecond
	// quietTime without packets shows that the fabric has turned away.
	quietTime = 400 * time.Millisecond
	// stopReserve is the part of the grace that is kept for the end of the process.
	stopReserve = time.Second
	// directoryTick is how often old registrations are forgotten.
	directoryTick = 5 * time.Second
	// linesPerSecond bounds the log lines that flows cause, for each event. At 20 µs a line they take
	// at most 0.2% of a core.
	linesPerSecond = 100
)

// Codec reads and writes packets.
type Codec interface {
	// Decode reads the head of a packet into p.
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
	// Packets is the UDP address to which the fabric sends. Packets to callers go to the same port.
	Packets netip.AddrPort
	// Readiness is the address at which the fabric asks whether the daemon is ready.
	Readiness netip.AddrPort
	// ReadinessHandler answers the fabric; ready reports the state of the daemon.
	ReadinessHandler func(ready func() bool) http.Handler
	Seeds            func() []netip.AddrPort // peer addresses of control hosts
	Grace            time.Duration           // between the signal to stop and the end of the process
	FlowLifetime     time.Duration
	Codec            Codec
	Log              logrus.FieldLogger
	Metrics          *telemetry.Set
}

// Daemon is one entry daemon.
type Daemon struct {
	cfg   Config
	log   logrus.FieldLogger
	clock func() time.Duration
	conn  *net.UDPConn

	mu        sync.Mutex // guards core and directory
	core      *forward.Core
	directory *directory.Directory
	revision  uint64 // of the directory that the core has
	release   *time.Timer

	watches    *watches
	prepared   atomic.Bool // the daemon knows enough to serve
	stopping   atomic.Bool
	failedAsks atomic.Int64 // readiness checks refused since the stop began
	lastPacket atomic.Int64 // steady clock in nanoseconds

	placed, refused *decisionlog.Limiter
	counters        []*metrics.Counter // by forward.Reason
	malformed       *metrics.Counter
	held            *metrics.Counter // packets, each of which is counted by its decision later
	sendErrors      *metrics.Counter
	suspicions      *metrics.Counter
	latency         *metrics.Histogram
}

// New prepares an entry daemon.
func New(cfg Config) *Daemon {
	begin := time.Now()
	d := &Daemon{
		cfg: cfg, log: cfg.Log, clock: func() time.Duration { return time.Since(begin) },
		core:      forward.New(forward.Config{DataCentre: cfg.DataCentre}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		directory: directory.New(directory.Config{ForgetAfter: cfg.FlowLifetime}),
		placed:    decisionlog.NewLimiter(linesPerSecond), refused: decisionlog.NewLimiter(linesPerSecond),
	}
	d.release = time.AfterFunc(time.Hour, d.releaseHeld)
	d.release.Stop()
	d.watches = newWatches(d)
	d.registerMetrics()
	return d
}

func (d *Daemon) registerMetrics() {
	m := d.cfg.Metrics
	for _, r := range forward.Reasons() {
		d.counters = append(d.counters, m.Counter("packets", "decision", r.String()))
	}
	d.malformed = m.Counter("packets", "decision", "malformed")
	d.held = m.Counter("packets_held")
	d.sendErrors = m.Counter("send_errors")
	d.suspicions = m.Counter("suspicions")
	d.latency = m.Histogram("packet_seconds")
	locked := func(f func() int) func() float64 {
		return func() float64 {
			d.mu.Lock()
			defer d.mu.Unlock()
			return float64(f())
		}
	}
	m.Gauge("config_version", locked(func() int { return int(d.core.Version()) }))
	m.Gauge("upstreams", locked(d.core.Upstreams))
	m.Gauge("flows", locked(d.core.Flows))
	m.Gauge("ready", func() float64 {
		if d.Ready() {
			return 1
		}
		return 0
	})
}

// Ready reports whether the fabric may send new flows.
func (d *Daemon) Ready() bool { return d.prepared.Load() && !d.stopping.Load() }

// answerCheck reports readiness to the fabric.
func (d *Daemon) answerCheck() bool {
	if d.stopping.Load() {
		d.failedAsks.Add(1)
	}
	return d.Ready()
}

// Run serves until ctx ends, and then what still arrives until the fabric has turned away.
func (d *Daemon) Run(ctx context.Context) error {
	var err error
	if d.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(d.cfg.Packets)); err != nil {
		return errors.Wrap(err, "packet address cannot be used: check that no other process uses the port")
	}
	listener, err := net.Listen("tcp4", d.cfg.Readiness.String())
	if err != nil {
		return errors.Wrap(err, "readiness address cannot be used: check that no other process uses the port")
	}
	events.DaemonStarted.Log(d.log, logrus.Fields{
		"daemon": d.cfg.Name, "data_centre": d.cfg.DataCentre, "packets": d.cfg.Packets, "seeds": d.cfg.Seeds(),
	})
	web := &http.Server{Handler: d.cfg.ReadinessHandler(d.answerCheck), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second}
	tree := supervise.New()
	tree.Add(func(inner context.Context) error {
		d.awaitStop(ctx, inner)
		return nil
	})
	tree.AddStoppable(d.readPackets, func() { d.conn.Close() })
	tree.Serve(web, listener)
	tree.Add(d.watches.run)
	tree.Add(d.forgetOld)
	err = tree.Run()
	events.DaemonStopped.Log(d.log, logrus.Fields{"daemon": d.cfg.Name, "error": err})
	return err
}

// awaitStop returns after ctx has ended and the fabric has turned away, at the latest shortly before
// the grace ends. inner ends when another part has ended.
func (d *Daemon) awaitStop(ctx, inner context.Context) {
	select {
	case <-inner.Done():
		return
	case <-ctx.Done():
	}
	d.stopping.Store(true)
	begin := d.clock()
	events.DaemonStopping.Log(d.log, logrus.Fields{"daemon": d.cfg.Name})
	for {
		time.Sleep(checkPeriod / 5)
		now := d.clock()
		asked := d.failedAsks.Load() > missedChecks || now-begin > (missedChecks+2)*checkPeriod
		quiet := now-time.Duration(d.lastPacket.Load()) > quietTime
		if asked && quiet || now-begin > d.cfg.Grace-stopReserve {
			return
		}
	}
}

// forgetOld removes registrations that no flow can have any more.
func (d *Daemon) forgetOld(ctx context.Context) error {
	return supervise.Every(ctx, directoryTick, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, i := range d.directory.Expire(d.clock()) {
			d.core.Forget(i)
		}
	})
}
