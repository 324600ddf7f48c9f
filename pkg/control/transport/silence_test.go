package transport

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/ident"
)

// swallowing is a proxy that keeps connections open but drops what the caller sends on those that were
// open when it was told to.
type swallowing struct {
	listener net.Listener
	target   string
	epoch    atomic.Int64
}

func (s *swallowing) serve() {
	for {
		in, err := s.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp4", s.target)
		if err != nil {
			in.Close()
			continue
		}
		epoch := s.epoch.Load()
		pass := func(dst, src net.Conn, swallow bool) {
			defer dst.Close()
			buf := make([]byte, 4096)
			for {
				n, err := src.Read(buf)
				if err != nil {
					return
				}
				if swallow && s.epoch.Load() != epoch {
					continue
				}
				if _, err := dst.Write(buf[:n]); err != nil {
					return
				}
			}
		}
		go pass(out, in, true)
		go pass(in, out, false)
	}
}

// Guards against a connection that went silent in one direction for good: the peer is heard over its
// own connection meanwhile, so the silence of the peer does not show it. Two of three replicas elected
// no leader for 14 s.
func TestConnectionSilentInOneDirection(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	server := grpc.NewServer()
	var received atomic.Int64
	controlpb.RegisterAgreementServer(server, &Server{
		Context: ctx, Introduce: func(string, string) {}, Receive: func(agreement.Message) { received.Add(1) },
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }() // ends with Stop
	defer server.Stop()
	front, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer front.Close()
	proxy := &swallowing{listener: front, target: listener.Addr().String()}
	go proxy.serve()

	const peer = ident.DaemonID(7)
	resolve := func(ident.DaemonID) (string, bool) { return front.Addr().String(), true }
	x := New(ctx, &controlpb.ReplicaHost{Name: "a", Address: "a"}, resolve, []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())})
	send := func(d time.Duration) int64 {
		before := received.Load()
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			x.Received(peer)
			x.Send(&agreement.Message{Kind: agreement.MsgHeartbeat, From: agreement.Replica{ID: 1, Incarnation: 1}, To: agreement.Replica{ID: peer, Incarnation: 1}, Term: 1})
		}
		return received.Load() - before
	}
	assert.Assert(t, send(time.Second) > 0)
	proxy.epoch.Add(1)
	send(4 * time.Second)
	assert.Assert(t, send(time.Second) > 0, "no message arrives 4 s after the connection went silent")
}
