package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	upstreampb "rosemarygate/api/upstream/v1"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/registration"
)

const (
	maxMessageBytes   = 16 << 20 // limit of one gRPC message
	healthCheckPeriod = 500 * time.Millisecond
	minReconnectDelay = 20 * time.Millisecond
	maxReconnectDelay = 500 * time.Millisecond
	maxFeedControls   = 1 << 20 // limit of queued feed controls of one upstream
)

// session is the owner's connection to one upstream.
type session struct {
	reg    registration.Registration
	name   string // "user/service"
	shards *shards
	log    logrus.FieldLogger
	conn   *grpc.ClientConn
	client upstreampb.UpstreamClient
	stop   context.CancelFunc
	ctx    context.Context

	healthy   atomic.Bool
	connected atomic.Bool
	draining  atomic.Bool // as of the upstream's load report
	wg        sync.WaitGroup

	mu          sync.Mutex
	controls    []*upstreampb.FeedControl
	wake        chan struct{}
	cancelCalls map[uint64]context.CancelFunc
}

func newSession(ctx context.Context, reg registration.Registration, name string, sh *shards, log logrus.FieldLogger, dial []grpc.DialOption) (*session, error) {
	conn, err := grpc.NewClient(reg.Addr.String(), append([]grpc.DialOption{
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second, Backoff: reconnectBackoff()}),
	}, dial...)...)
	if err != nil {
		return nil, err
	}
	s := &session{
		reg: reg, name: name, shards: sh, log: log, conn: conn,
		client: upstreampb.NewUpstreamClient(conn),
		wake:   make(chan struct{}, 1), cancelCalls: map[uint64]context.CancelFunc{},
	}
	s.healthy.Store(true)
	s.ctx, s.stop = context.WithCancel(ctx)
	s.wg.Add(2)
	go s.runFeeds()
	go s.runHealthChecks()
	return s, nil
}

// close closes the connection. Calls in progress fail.
func (s *session) close() {
	s.stop()
	s.conn.Close()
	s.wg.Wait()
}

// update applies changed limits of the same incarnation.
func (s *session) update(reg registration.Registration) {
	s.mu.Lock()
	s.reg = reg
	s.mu.Unlock()
	if s.connected.Load() {
		s.postUpstreamUp()
	}
}

func (s *session) registration() registration.Registration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reg
}

// checkDraining stops new work as soon as the upstream's load report states that the upstream is
// draining, which may be before its next announcement.
func (s *session) checkDraining(ctx context.Context) {
	load, err := s.client.Load(ctx, &upstreampb.LoadRequest{})
	if err != nil {
		return
	}
	if s.draining.Swap(load.Draining) != load.Draining && s.connected.Load() {
		s.postUpstreamUp()
	}
}

func (s *session) postUpstreamUp() {
	reg := s.registration()
	s.shards.post(reg.Upstream, owner.UpstreamUp{
		Service: reg.Service, Upstream: reg.Upstream, Incarnation: reg.Incarnation,
		DataCentre: ident.DataCentre(reg.DataCentre),
		Slots:      reg.Slots, FlowLimit: reg.FlowLimit, Draining: reg.Draining || s.draining.Load(),
	})
}

// runFeeds keeps one feed stream to the upstream open until the session is closed.
func (s *session) runFeeds() {
	defer s.wg.Done()
	retry := newFeedBackoff()
	for s.ctx.Err() == nil {
		stream, err := s.client.Feeds(s.ctx)
		if err == nil {
			retry.Reset()
			s.streamOpened()
			s.runStream(stream)
			s.streamLost()
		}
		select {
		case <-time.After(retry.NextBackOff()):
		case <-s.ctx.Done():
		}
	}
}

func newFeedBackoff() *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(minReconnectDelay),
		backoff.WithMaxInterval(maxReconnectDelay),
		backoff.WithMaxElapsedTime(0),
	)
}

func (s *session) streamOpened() {
	reg := s.registration()
	events.UpstreamConnected.Log(s.log, logrus.Fields{"upstream": reg.Name, "service": s.name})
	s.connected.Store(true)
	s.postUpstreamUp()
}

func (s *session) streamLost() {
	s.connected.Store(false)
	if s.ctx.Err() != nil {
		return
	}
	reg := s.registration()
	events.UpstreamDisconnected.Log(s.log, logrus.Fields{"upstream": reg.Name, "service": s.name})
	s.shards.post(reg.Upstream, owner.UpstreamDisconnected{Upstream: reg.Upstream})
}

// runStream sends feed controls and receives feed items until the stream fails.
func (s *session) runStream(stream grpc.BidiStreamingClient[upstreampb.FeedControl, upstreampb.FeedEvent]) {
	failed := make(chan struct{})
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer close(failed)
		s.receiveFeeds(stream)
	}()
	for {
		for _, c := range s.takeControls() {
			if stream.Send(c) != nil {
				<-failed
				return
			}
		}
		select {
		case <-s.wake:
		case <-failed:
			return
		}
	}
}

func (s *session) receiveFeeds(stream grpc.BidiStreamingClient[upstreampb.FeedControl, upstreampb.FeedEvent]) {
	for {
		e, err := stream.Recv()
		if err != nil {
			return
		}
		s.shards.post(s.reg.Upstream, owner.FeedReceived{
			Upstream: s.reg.Upstream, Flow: ident.FlowID(e.FlowId),
			Sequence: e.Sequence, Payload: e.Payload, End: e.End,
		})
	}
}

func (s *session) takeControls() []*upstreampb.FeedControl {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.controls
	s.controls = nil
	return out
}

// subscribe queues a feed control; it does not block.
func (s *session) subscribe(a owner.SubscribeFeed) {
	s.mu.Lock()
	if len(s.controls) < maxFeedControls {
		s.controls = append(s.controls, &upstreampb.FeedControl{
			FlowId: uint64(a.Flow), Topic: a.Topic, LastSequence: a.After, Unsubscribe: a.Unsubscribe,
		})
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// execute starts a call and posts its result to the shard.
func (s *session) execute(a owner.Execute) {
	ctx, cancel := context.WithDeadline(s.ctx, a.Deadline)
	s.mu.Lock()
	s.cancelCalls[a.Call] = cancel
	s.mu.Unlock()
	go func() {
		done := s.call(ctx, a)
		cancel()
		s.mu.Lock()
		delete(s.cancelCalls, a.Call)
		s.mu.Unlock()
		s.shards.post(a.Upstream, done)
	}()
}

func (s *session) call(ctx context.Context, a owner.Execute) owner.ExecuteDone {
	done := owner.ExecuteDone{Upstream: a.Upstream, Call: a.Call}
	reply, err := s.client.Execute(ctx, &upstreampb.ExecuteRequest{
		Service: s.name, FlowId: uint64(a.Flow), RequestId: uint64(a.Request),
		Class: a.Class, Idempotent: a.Idempotent, Payload: a.Payload,
	})
	if err == nil {
		done.Result, done.Payload = owner.Answered, reply.Payload
		return done
	}
	if detail, ok := notBegunDetail(err); ok {
		done.Result, done.Draining = owner.NotBegun, detail.Draining
		return done
	}
	done.Result = owner.Failed
	if status.Code(err) == codes.Canceled {
		done.Result = owner.Cancelled
	}
	return done
}

// notBegunDetail returns the status detail with which an upstream reports that it did not start a
// call.
func notBegunDetail(err error) (*upstreampb.NotBegun, bool) {
	for _, d := range status.Convert(err).Details() {
		if n, ok := d.(*upstreampb.NotBegun); ok {
			return n, true
		}
	}
	return nil, false
}

func (s *session) cancel(call uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.cancelCalls[call]; cancel != nil {
		cancel()
	}
}

// runHealthChecks checks the upstream's health through grpc.health.v1 and whether it is draining. The
// other figures of its load report are not used: the owner has its own counts, and the report may be
// wrong.
func (s *session) runHealthChecks() {
	defer s.wg.Done()
	client := healthpb.NewHealthClient(s.conn)
	for {
		ctx, cancel := context.WithTimeout(s.ctx, healthCheckPeriod)
		reply, err := client.Check(ctx, &healthpb.HealthCheckRequest{})
		s.healthy.Store(err == nil && reply.Status == healthpb.HealthCheckResponse_SERVING)
		s.checkDraining(ctx)
		cancel()
		select {
		case <-time.After(healthCheckPeriod):
		case <-s.ctx.Done():
			return
		}
	}
}
