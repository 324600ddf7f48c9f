// Package relaybench measures the rate at which one daemon relays caller packets to another daemon, in
// comparison with a bare UDP relay in the same run. It also measures an entry daemon, which forwards
// packets to upstreams.
//
// The measured daemons are real, with real sockets. The daemon that packets are relayed to is a
// stand-in that is a member of the cluster and counts packets. Source and sink have their own threads;
// the CPU time of these threads is subtracted from that of the process.
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
	startTimeout = 15 * time.Second
	flowCount    = 64
)

var tokenSecret = []byte("0123456789abcdef")

// Options of a run.
type Options struct {
	Rounds         int           // measurements of each relay; the relays take turns
	SampleDuration time.Duration // length of one measurement
	FrameBytes     int           // of a caller frame, in bytes
	Sockets        int           // source sockets; each is one caller address
}

// Sample is one measurement of one relay.
type Sample struct {
	PacketsPerSecond float64 `json:"packets_per_second"`
	// CPUNanosPerPacket is the CPU time of the relay in nanoseconds per packet.
	CPUNanosPerPacket float64 `json:"cpu_ns_per_packet"`
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
	// MedianEntryRatio is the median of EntryRatio.
	MedianEntryRatio float64 `json:"median_entry_ratio"`
}

// Run measures the bare relay, the daemon and the entry daemon in turn.
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

// bench holds the relays, the source and the sink.
type bench struct {
	daemon       *daemon.Daemon
	cancel       context.CancelFunc
	done         chan error
	daemonTarget target // the daemon that relays packets
	entry        *entryDaemon
	bare         *bareRelay
	peer         *peer
	source       *source
}

func start(ctx context.Context, o Options) (*bench, error) {
	// A random loopback network avoids address conflicts between parallel runs.
	x, y := byte(16+rand.IntN(200)), byte(rand.IntN(256))
	host := func(i byte) netip.Addr { return netip.AddrFrom4([4]byte{127, x, y, i}) }
	b := &bench{
		done:         make(chan error, 1),
		daemonTarget: target{address: net.UDPAddrFromAddrPort(netip.AddrPortFrom(host(1), servicePort))},
	}
	if err := b.startDaemon(host(1)); err != nil {
		return nil, err
	}
	var err error
	if b.peer, err = newPeer(host(2), host(1)); err != nil {
		return b.closeAndFail(err)
	}
	go b.peer.run(ctx)
	if b.bare, err = newBareRelay(host(3), b.peer.conn.LocalAddr().(*net.UDPAddr).AddrPort()); err != nil {
		return b.closeAndFail(err)
	}
	go b.bare.run()
	if b.entry, err = startEntry(host(5), b.peer.conn.LocalAddr().(*net.UDPAddr).AddrPort()); err != nil {
		return b.closeAndFail(err)
	}
	b.daemonTarget.datagrams, err = callerFrames(token.Claims{
		Service: ident.ServiceByName(service), DataCentre: ident.DataCentre(dataCentre), Upstream: 1,
		Owner: ident.Daemon(peerName), OwnerIncarnation: b.peer.incarnation(),
	}, flowCount, o.FrameBytes)
	if err != nil {
		return b.closeAndFail(err)
	}
	if b.source, err = newSource(host(4), o.Sockets); err != nil {
		return b.closeAndFail(err)
	}
	for _, destination := range []target{b.daemonTarget, b.entryTarget(o)} {
		if err := b.awaitRelay(destination); err != nil {
			return b.closeAndFail(err)
		}
	}
	go b.source.run(ctx)
	return b, nil
}

func (b *bench) closeAndFail(err error) (*bench, error) {
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
	return target{b.entry.address, entryPackets(flowCount, o.FrameBytes)}
}

// awaitRelay waits until the relay at destination forwards packets to the stand-in.
func (b *bench) awaitRelay(destination target) error {
	before := b.peer.receivedPackets.Load()
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if _, err := b.source.conns[0].WriteToUDP(destination.datagrams[0], destination.address); err != nil {
			return err
		}
		pause()
		if b.peer.receivedPackets.Load() > before {
			return nil
		}
	}
	return errors.Errorf("the daemon has not relayed any packet after %s: check that loopback addresses 127.x.y.z can be bound", startTimeout)
}

func (b *bench) measure(ctx context.Context, o Options) (*Report, error) {
	r := &Report{Size: o.FrameBytes}
	var ratios, entryRatios []float64
	for range o.Rounds {
		entry := b.entryTarget(o)
		round := Round{
			Bare: b.measureRelay(target{b.bare.addr(), b.daemonTarget.datagrams}, o.SampleDuration), Daemon: b.measureRelay(b.daemonTarget, o.SampleDuration), Entry: b.measureRelay(entry, o.SampleDuration),
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

// measureRelay measures one relay while the source sends to it.
func (b *bench) measureRelay(destination target, duration time.Duration) Sample {
	b.source.target.Store(&destination)
	time.Sleep(warmUp)
	packets, cpu, startedAt := b.peer.receivedPackets.Load(), b.relayCPU(), time.Now()
	time.Sleep(duration)
	packets, cpu = b.peer.receivedPackets.Load()-packets, b.relayCPU()-cpu
	seconds := time.Since(startedAt).Seconds()
	b.source.target.Store(nil)
	time.Sleep(warmUp) // queued packets must not count for the next relay
	return Sample{
		PacketsPerSecond:  float64(packets) / seconds,
		CPUNanosPerPacket: float64(cpu) / max(1, float64(packets)),
	}
}

// relayCPU returns the CPU time of the process without that of source and sink, in nanoseconds.
func (b *bench) relayCPU() int64 { return processCPU() - b.source.cpu.Load() - b.peer.cpu.Load() }

func pause() { time.Sleep(10 * time.Millisecond) }
