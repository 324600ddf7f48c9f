package daemon

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"gotest.tools/v3/assert"

	upstreampb "rosemarygate/api/upstream/v1"
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/registration"
)

// drainingUpstream is an upstream that reports draining in its load report only.
type drainingUpstream struct {
	upstreampb.UnimplementedUpstreamServer
}

func (drainingUpstream) Load(context.Context, *upstreampb.LoadRequest) (*upstreampb.LoadReply, error) {
	return &upstreampb.LoadReply{Draining: true}, nil
}

func (drainingUpstream) Feeds(stream grpc.BidiStreamingServer[upstreampb.FeedControl, upstreampb.FeedEvent]) error {
	<-stream.Context().Done()
	return nil
}

// Guards against new work at an upstream whose load report states that it is draining before its
// registration does.
func TestLoadReportEndsNewWork(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	upstreampb.RegisterUpstreamServer(server, drainingUpstream{})
	healthpb.RegisterHealthServer(server, health.NewServer())
	go func() { _ = server.Serve(lis) }()
	t.Cleanup(server.Stop)

	log := logrus.New()
	log.SetOutput(io.Discard)
	sh := &shards{all: []*shard{{events: make(chan queuedEvent, shardQueueSize)}}, stopped: t.Context().Done()}
	s, err := newSession(t.Context(), registration.Registration{
		Upstream: 1, Addr: netip.MustParseAddrPort(lis.Addr().String()), Slots: 1, FlowLimit: 1,
	}, "user/service", sh, log, []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())})
	assert.NilError(t, err)
	t.Cleanup(s.close)
	deadline := time.After(5 * time.Second)
	for {
		select {
		case e := <-sh.all[0].events:
			if up, ok := e.event.(owner.UpstreamUp); ok && up.Draining {
				return
			}
		case <-deadline:
			t.Fatal("the session does not report that the upstream is draining")
		}
	}
}
