package relaybench

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/token"
)

// source sends datagrams as fast as it can.
type source struct {
	conns  []*net.UDPConn
	target atomic.Pointer[target] // nil pauses the source
	cpu    atomic.Int64           // CPU time of the sending thread in nanoseconds
}

// target is a destination and the datagrams that the source sends to it in turn.
type target struct {
	address   *net.UDPAddr
	datagrams [][]byte
}

func newSource(host netip.Addr, sockets int) (*source, error) {
	s := &source{}
	for range sockets {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, 0)))
		if err != nil {
			s.close()
			return nil, errors.Wrap(err, "source socket cannot be opened")
		}
		s.conns = append(s.conns, conn)
	}
	return s, nil
}

func (s *source) close() {
	for _, c := range s.conns {
		c.Close()
	}
}

func (s *source) run(ctx context.Context) {
	runtime.LockOSThread()
	messages := make([]ipv4.Message, batchSize)
	for batchNumber := 0; ctx.Err() == nil; batchNumber++ {
		current := s.target.Load()
		if current == nil {
			pause()
			continue
		}
		for i := range messages {
			messages[i].Addr, messages[i].Buffers = current.address, [][]byte{current.datagrams[i%len(current.datagrams)]}
		}
		conn := s.conns[batchNumber%len(s.conns)]
		// Packets that do not fit into the buffer of the receiver are lost; only received packets are
		// counted.
		_, _ = ipv4.NewPacketConn(conn).WriteBatch(messages, 0)
		s.cpu.Store(threadCPU())
	}
}

// callerFrames returns requests of several flows, padded to size bytes.
func callerFrames(claims token.Claims, flows, size int) ([][]byte, error) {
	codec := token.NewCodec([]token.Key{{ID: tokenKeyID, Secret: tokenSecret}})
	var out [][]byte
	for id := range ident.FlowID(flows) {
		fr := &wirepb.Frame{
			Token: codec.Append(nil, id+1, &claims), FlowId: uint64(id + 1),
			Body: &wirepb.Frame_Request{Request: &wirepb.Request{RequestId: 1, Parts: 1}},
		}
		b, err := frame.Encode(nil, fr)
		if err != nil {
			return nil, err
		}
		fr.GetRequest().Payload = make([]byte, max(0, size-len(b)))
		if b, err = frame.Encode(nil, fr); err != nil {
			return nil, errors.Wrap(err, "frames are too large: choose a smaller --size")
		}
		out = append(out, b)
	}
	return out, nil
}

// threadCPU returns the CPU time of the calling thread in nanoseconds.
func threadCPU() int64 { return cpuTimeOf(unix.RUSAGE_THREAD) }

// processCPU returns the CPU time of the process in nanoseconds.
func processCPU() int64 { return cpuTimeOf(unix.RUSAGE_SELF) }

func cpuTimeOf(who int) int64 {
	var r unix.Rusage
	if err := unix.Getrusage(who, &r); err != nil {
		return 0
	}
	return r.Utime.Nano() + r.Stime.Nano()
}

func newMessages(n int) []ipv4.Message {
	messages := make([]ipv4.Message, n)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, bufferSize)}
	}
	return messages
}
