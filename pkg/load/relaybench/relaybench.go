// Package relaybench measures how many caller packets one daemon passes on to another,
// against a bare UDP relay in the same run. An entry daemon, which forwards packets to upstreams, is
// measured beside them.
//
// The daemon is a real one with real sockets; the daemon that it relays to is a stand-in
// that is a member of the cluster and counts. Source and sink have threads of their own,
// whose CPU time is subtracted from that of the process.
package relaybench

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rosemarygate/pkg/config"
	"rosemarygate/pkg/daemon"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/settings"
	"rosemarygate/pkg/token"
)

const (
	peerPort     = 7101
	grpcPort     = 7102
	httpPort     = 7103
	servicePort  = 7104
	dataCentre   = "bench"
	service      = "bench/relay"
	tokenKeyID   = 1
	socketBuffer = 8 << 20 // bytes
	bufferSize   = 2048    // bytes
	batchSize    = 64      // datagrams in one system call
	warmUp       = 200 * time.Millisecond
	startLimit   = 15 * time.Second
	flowCount    = 64
)

var tokenSecret = []byte("0123456789abcdef")

// Options of a run.
type Options struct {
	Rounds  int           // measurements of each relay, taken in turn
	For     time.Duration // length of one measurement
	Size    int           // bytes of a caller frame
	Sockets int           // source sockets, as many caller addresses
}

// Sample is one measurement of one relay.
type Sample struct {
	PacketsPerSecond float64 `json:"packets_per_second"`
	// CPUPerPacket is the CPU time of the relay, in nanoseconds a packet.
	CPUPerPacket float64 `json:"cpu_ns_per_packet"`
}

// Round is one measurement of each relay.
type Round struct {
	Bare   Sample  `json:"bare"`
	Daemon Sample  `json:"daemon"`
	Entry  Sample  `json:"entry"` // the entry daemon
	Ratio  float64 `json:"ratio"` // packet rate of the daemon over that of the bare relay
	// EntryRatio is the packet rate of the entry daemon over that of the bare relay.
	EntryRatio float64 `json:"entry_ratio"`
}

// Report is the result of a run.
type Report struct {
	Size        int     `json:"size"`
	Rounds      []Round `json:"rounds"`
	MedianRatio float64 `json:"median_ratio"`
	MinRatio    float64 `json:"min_ratio"`
	MaxRatio    float64 `json:"max_ratio"`
	// MedianEntryRatio is that of the entry daemon.
	MedianEntryRatio float64 `json:"median_entry_ratio"`
}

// Run measures both relays in turn.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Rounds < 1 || o.Sockets < 1 {
		return nil, errors.New("rounds and sockets must be at least 1")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b, err := start(ctx, o)
	if err != nil {
		return nil, err
	}
	defer b.close()
	return b.measure(ctx, o)
}

// bench is the daemon, the bare relay, the source and the sink.
type bench struct {
	daemon *daemon.Daemon
	cancel context.CancelFunc
	done   chan error
	relay  target // the daemon that relays
	entry  *entryDaemon
	bare   *bareRelay
	peer   *peer
	source *source
}

func start(ctx context.Context, o Options) (*bench, error) {
	// A random network keeps parallel runs apart.
	x, y := byte(16+rand.IntN(200)), byte(rand.IntN(256))
	host := func(i byte) netip.Addr { return netip.AddrFrom4([4]byte{127, x, y, i}) }
	b := &bench{
		done:  make(chan error, 1),
		relay: target{address: net.UDPAddrFromAddrPort(netip.AddrPortFrom(host(1), servicePort))},
	}
	if err := b.startDaemon(host(1)); err != nil {
		return nil, err
	}
	var err error
	if b.peer, err = newPeer(host(2), host(1)); err != nil {
		return b.fail(err)
	}
	go b.peer.run(ctx)
	if b.bare, err = newBareRelay(host(3), b.peer.conn.LocalAddr().(*net.UDPAddr).AddrPort()); err != nil {
		return b.fail(err)
	}
	go b.bare.run()
	if b.entry, err = startEntry(host(5), b.peer.conn.LocalAddr().(*net.UDPAddr).AddrPort()); err != nil {
		return b.fail(err)
	}
	b.relay.frames, err = callerFrames(token.Claims{
		Service: ident.ServiceByName(service), DataCentre: ident.DataCentre(dataCentre), Upstream: 1,
		Owner: ident.Daemon(peerName), OwnerIncarnation: b.peer.incarnation(),
	}, flowCount, o.Size)
	if err != nil {
		return b.fail(err)
	}
	if b.source, err = newSource(host(4), o.Sockets); err != nil {
		return b.fail(err)
	}
	for _, to := range []target{b.relay, b.entryTarget(o)} {
		if err := b.awaitRelay(to); err != nil {
			return b.fail(err)
		}
	}
	go b.source.run(ctx)
	return b, nil
}

func (b *bench) fail(err error) (*bench, error) {
	b.close()
	return nil, err
}

func (b *bench) close() {
	b.daemon.Kill()
	b.cancel()
	<-b.done
	if b.bare != nil {
		b.bare.conn.Close()
	}
	if b.entry != nil {
		b.entry.close()
	}
	if b.source != nil {
		b.source.close()
	}
}

func (b *bench) startDaemon(host netip.Addr) error {
	folder, err := config.FromFiles([]config.File{{Name: "10-bench.yaml", Data: fmt.Appendf(nil, `token_keys:
  - {id: %d, secret: "%s"}
users:
  bench:
    services:
      relay: {port: %d, credential: bench-credential, classes: {any: {priority: 0, share: 0.5, queue_limit: 64, deadline: 10s}}}
`, tokenKeyID, hex.EncodeToString(tokenSecret), servicePort)}})
	if err != nil {
		return err
	}
	cfg, err := folder.Merge()
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	b.daemon, err = daemon.New(&settings.Daemon{
		Name: "relay", DataCentre: dataCentre, Host: host,
		Ports: settings.Ports{Peer: peerPort, GRPC: grpcPort, HTTP: httpPort},
	}, cfg, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	go func() { b.done <- b.daemon.Run(ctx) }()
	return nil
}

func (b *bench) entryTarget(o Options) target {
	return target{b.entry.address, entryFrames(flowCount, o.Size)}
}

// awaitRelay waits until a daemon passes packets on to the stand-in.
func (b *bench) awaitRelay(to target) error {
	before := b.peer.packets.Load()
	deadline := time.Now().Add(startLimit)
	for time.Now().Before(deadline) {
		if _, err := b.source.conns[0].WriteToUDP(to.frames[0], to.address); err != nil {
			return err
		}
		pause()
		if b.peer.packets.Load() > before {
			return nil
		}
	}
	return errors.Errorf("the daemon relays nothing after %s: check that loopback addresses 127.x.y.z can be bound", startLimit)
}

func (b *bench) measure(ctx context.Context, o Options) (*Report, error) {
	r := &Report{Size: o.Size}
	var ratios, entryRatios []float64
	for range o.Rounds {
		entry := b.entryTarget(o)
		round := Round{
			Bare: b.sample(target{b.bare.addr(), b.relay.frames}, o.For), Daemon: b.sample(b.relay, o.For), Entry: b.sample(entry, o.For),
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		round.Ratio = round.Daemon.PacketsPerSecond / round.Bare.PacketsPerSecond
		round.EntryRatio = round.Entry.PacketsPerSecond / round.Bare.PacketsPerSecond
		r.Rounds = append(r.Rounds, round)
		entryRatios = append(entryRatios, round.EntryRatio)
		ratios = append(ratios, round.Ratio)
	}
	slices.Sort(entryRatios)
	r.MedianEntryRatio = entryRatios[len(entryRatios)/2]
	slices.Sort(ratios)
	r.MinRatio, r.MedianRatio, r.MaxRatio = ratios[0], ratios[len(ratios)/2], ratios[len(ratios)-1]
	return r, nil
}

// sample measures one relay while the source sends to it.
func (b *bench) sample(to target, length time.Duration) Sample {
	b.source.to.Store(&to)
	time.Sleep(warmUp)
	packets, cpu, began := b.peer.packets.Load(), b.relayCPU(), time.Now()
	time.Sleep(length)
	packets, cpu = b.peer.packets.Load()-packets, b.relayCPU()-cpu
	seconds := time.Since(began).Seconds()
	b.source.to.Store(nil)
	time.Sleep(warmUp) // what is still queued does not count for the other relay
	return Sample{
		PacketsPerSecond: float64(packets) / seconds,
		CPUPerPacket:     float64(cpu) / max(1, float64(packets)),
	}
}

// relayCPU returns the CPU time of the process without source and sink, in nanoseconds.
func (b *bench) relayCPU() int64 { return processCPU() - b.source.cpu.Load() - b.peer.cpu.Load() }

func pause() { time.Sleep(10 * time.Millisecond) }
