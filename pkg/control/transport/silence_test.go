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

// droppingProxy is a proxy that keeps connections open. After an increment of epoch it drops what the
// caller sends on the connections that were open before.
type droppingProxy struct {
	listener net.Listener
	target   string
	epoch    atomic.Int64
}

func (s *droppingProxy) serve() {
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
		relay := func(dst, src net.Conn, drop bool) {
			defer dst.Close()
			buf := make([]byte, 4096)
			for {
				n, err := src.Read(buf)
				if err != nil {
					return
				}
				if drop && s.epoch.Load() != epoch {
					continue
				}
				if _, err := dst.Write(buf[:n]); err != nil {
					return
				}
			}
		}
		go relay(out, in, true)
		go relay(in, out, false)
	}
}

// Guards against a connection that is permanently broken in one direction. Messages from the peer
// still arrive over its own connection, so the silence timeout of the peer does not detect it. In
// this state two of three replicas elected no leader for 14 s.
func TestConnectionSilentInOneDirection(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	server := grpc.NewServer()
	var received atomic.Int64
	controlpb.RegisterAgreementServer(server, &Server{
		Context: ctx, RecordSender: func(string, string) {}, Receive: func(agreement.Message) { received.Add(1) },
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }() // ends with Stop
	defer server.Stop()
	front, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer front.Close()
	proxy := &droppingProxy{listener: front, target: listener.Addr().String()}
	go proxy.serve()

	const peer = ident.DaemonID(7)
	resolve := func(ident.DaemonID) (string, bool) { return front.Addr().String(), true }
	sender := New(ctx, &controlpb.ReplicaHost{Name: "a", Address: "a"}, resolve, []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())})
	send := func(d time.Duration) int64 {
		before := received.Load()
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			sender.RecordReceived(peer)
			sender.Send(&agreement.Message{Kind: agreement.MsgHeartbeat, From: agreement.Replica{ID: 1, Incarnation: 1}, To: agreement.Replica{ID: peer, Incarnation: 1}, Term: 1})
		}
		return received.Load() - before
	}
	assert.Assert(t, send(time.Second) > 0)
	proxy.epoch.Add(1)
	send(4 * time.Second)
	assert.Assert(t, send(time.Second) > 0, "no message arrives 4 s after the connection broke")
}
