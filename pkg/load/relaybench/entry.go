package relaybench

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/edge"
	"rosemarygate/pkg/forward"
	"rosemarygate/pkg/routing"
	"rosemarygate/pkg/telemetry"
)

const (
	entryPort        = 7105
	readinessPort    = 7106
	controlPort      = 7107
	statusPeriod     = 500 * time.Millisecond // between two status updates of the control host
	upstreamKey      = 1
	flowNumberOffset = 0
	cookieOffset     = 8
	headerBytes      = 12 // flow number and cookie
)

// entryDaemon is an entry daemon with a stand-in control host that announces one upstream, the sink.
type entryDaemon struct {
	address *net.UDPAddr
	cancel  context.CancelFunc
	done    chan error
	control *grpc.Server
}

func startEntry(host netip.Addr, upstream netip.AddrPort) (*entryDaemon, error) {
	e := &entryDaemon{address: net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, entryPort)), done: make(chan error, 1), control: grpc.NewServer()}
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(host, controlPort).String())
	if err != nil {
		return nil, errors.Wrap(err, "control host of the benchmark cannot listen")
	}
	entrypb.RegisterWatcherServer(e.control, &controlStandIn{upstream: upstream})
	go func() { _ = e.control.Serve(listener) }() // returns after Stop
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := edge.New(edge.Config{
		Name: "entry", DataCentre: dataCentre, PacketAddress: e.address.AddrPort(), ReadinessAddress: netip.AddrPortFrom(host, readinessPort),
		ReadinessHandler: func(func() bool) http.Handler { return http.NotFoundHandler() },
		Seeds:            func() []netip.AddrPort { return []netip.AddrPort{netip.AddrPortFrom(host, controlPort)} },
		GracePeriod:      time.Second, FlowLifetime: time.Minute, Codec: benchCodec{}, Log: log, Metrics: telemetry.NewSet(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go func() { e.done <- d.Run(ctx) }()
	return e, nil
}

func (e *entryDaemon) close() {
	e.cancel()
	<-e.done
	e.control.Stop()
}

// controlStandIn is a control host that sends one table with one route, and one upstream.
type controlStandIn struct {
	entrypb.UnimplementedWatcherServer
	upstream netip.AddrPort
}

var benchRoute = netip.MustParseAddrPort("198.18.0.1:443")

func (s *controlStandIn) registration() directory.Registration {
	return directory.Registration{
		Incarnation: directory.Incarnation{Key: upstreamKey, StartUnixMs: 1}, Name: "sink", Service: service, Address: s.upstream,
		DataCentre: dataCentre, Slots: 1, State: directory.Ready,
	}
}

// Watch implements entrypb.WatcherServer.
func (s *controlStandIn) Watch(_ *entrypb.WatchRequest, stream grpc.ServerStreamingServer[entrypb.Update]) error {
	table := routing.Table{Version: 1, Routes: []routing.Route{{
		Name: "bench", Address: benchRoute, Timeout: time.Second, Split: []routing.Share{{Service: service, Weight: 1}},
	}}}
	r := s.registration()
	u := &entrypb.Update{Snapshot: true, Status: &entrypb.Status{Current: true, Settled: true}, Table: table.Proto(), Registrations: []*entrypb.Registration{r.Proto(0)}}
	for {
		if err := stream.Send(u); err != nil {
			return err
		}
		u = &entrypb.Update{Status: u.GetStatus()}
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-time.After(statusPeriod):
		}
	}
}

// benchCodec reads and writes packets with a short header.
type benchCodec struct{}

// Decode implements edge.Codec.
func (benchCodec) Decode(raw []byte, p *forward.Packet) error {
	if len(raw) < headerBytes {
		return io.ErrUnexpectedEOF
	}
	number := binary.BigEndian.Uint64(raw[flowNumberOffset:])
	*p = forward.Packet{
		Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(number >> 8), byte(number)}), 1), Dest: benchRoute,
		Flags: forward.ACK, Length: len(raw) - headerBytes, Cookie: directory.Cookie(binary.BigEndian.Uint32(raw[cookieOffset:])), Raw: raw,
	}
	return nil
}

// Encapsulate implements edge.Codec.
func (benchCodec) Encapsulate(dst []byte, u *forward.Upstream, p *forward.Packet, cookie directory.Cookie) []byte {
	dst = append(binary.BigEndian.AppendUint64(dst, uint64(u.Key)), p.Raw...)
	binary.BigEndian.PutUint32(dst[8+cookieOffset:], uint32(cookie))
	return dst
}

// Reset implements edge.Codec; no flow of the benchmark is reset.
func (benchCodec) Reset(dst []byte, _ *forward.Packet) []byte { return dst }

// entryPackets returns packets of several open flows.
func entryPackets(flows, size int) [][]byte {
	cookie := directory.Incarnation{Key: upstreamKey, StartUnixMs: 1}.Cookie()
	var out [][]byte
	for n := range flows {
		b := make([]byte, max(size, headerBytes))
		binary.BigEndian.PutUint64(b[flowNumberOffset:], uint64(n+1))
		binary.BigEndian.PutUint32(b[cookieOffset:], uint32(cookie))
		out = append(out, b)
	}
	return out
}
