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
	maxMessage        = 16 << 20 // bytes of one gRPC message
	healthPeriod      = 500 * time.Millisecond
	reconnectFirst    = 20 * time.Millisecond
	reconnectMax      = 500 * time.Millisecond
	feedControlsLimit = 1 << 20 // queued controls of one upstream
)

// session is the connection of an owner to one upstream.
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
	draining  atomic.Bool // the upstream's own report says so
	wg        sync.WaitGroup

	mu       sync.Mutex
	controls []*upstreampb.FeedControl
	wake     chan struct{}
	calls    map[uint64]context.CancelFunc
}

func newSession(ctx context.Context, reg registration.Registration, name string, sh *shards, log logrus.FieldLogger, dial []grpc.DialOption) (*session, error) {
	conn, err := grpc.NewClient(reg.Addr.String(), append([]grpc.DialOption{
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second, Backoff: fastBackoff()}),
	}, dial...)...)
	if err != nil {
		return nil, err
	}
	s := &session{
		reg: reg, name: name, shards: sh, log: log, conn: conn,
		client: upstreampb.NewUpstreamClient(conn),
		wake:   make(chan struct{}, 1), calls: map[uint64]context.CancelFunc{},
	}
	s.healthy.Store(true)
	s.ctx, s.stop = context.WithCancel(ctx)
	s.wg.Add(2)
	go s.feeds()
	go s.probe()
	return s, nil
}

// close ends the connection. Calls in progress fail.
func (s *session) close() {
	s.stop()
	s.conn.Close()
	s.wg.Wait()
}

// update takes changed limits of the same incarnation over.
func (s *session) update(reg registration.Registration) {
	s.mu.Lock()
	s.reg = reg
	s.mu.Unlock()
	if s.connected.Load() {
		s.announceUp()
	}
}

func (s *session) registration() registration.Registration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reg
}

// probeDrain ends new work as soon as the upstream's load report says that it drains, which
// may be before its next announcement.
func (s *session) probeDrain(ctx context.Context) {
	load, err := s.client.Load(ctx, &upstreampb.LoadRequest{})
	if err != nil {
		return
	}
	if s.draining.Swap(load.Draining) != load.Draining && s.connected.Load() {
		s.announceUp()
	}
}

func (s *session) announceUp() {
	reg := s.registration()
	s.shards.post(reg.Upstream, owner.UpstreamUp{
		Service: reg.Service, Upstream: reg.Upstream, Incarnation: reg.Incarnation,
		DataCentre: ident.DataCentre(reg.DataCentre),
		Slots:      reg.Slots, FlowLimit: reg.FlowLimit, Draining: reg.Draining || s.draining.Load(),
	})
}

// feeds keeps one feed stream open.
func (s *session) feeds() {
	defer s.wg.Done()
	retry := newRetry()
	for s.ctx.Err() == nil {
		stream, err := s.client.Feeds(s.ctx)
		if err == nil {
			retry.Reset()
			s.up()
			s.pump(stream)
			s.lost()
		}
		select {
		case <-time.After(retry.NextBackOff()):
		case <-s.ctx.Done():
		}
	}
}

func newRetry() *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(reconnectFirst),
		backoff.WithMaxInterval(reconnectMax),
		backoff.WithMaxElapsedTime(0),
	)
}

func (s *session) up() {
	reg := s.registration()
	events.UpstreamConnected.Log(s.log, logrus.Fields{"upstream": reg.Name, "service": s.name})
	s.connected.Store(true)
	s.announceUp()
}

func (s *session) lost() {
	s.connected.Store(false)
	if s.ctx.Err() != nil {
		return
	}
	reg := s.registration()
	events.UpstreamDisconnected.Log(s.log, logrus.Fields{"upstream": reg.Name, "service": s.name})
	s.shards.post(reg.Upstream, owner.UpstreamDisconnected{Upstream: reg.Upstream})
}

// pump sends controls and receives items until the stream fails.
func (s *session) pump(stream grpc.BidiStreamingClient[upstreampb.FeedControl, upstreampb.FeedEvent]) {
	failed := make(chan struct{})
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer close(failed)
		s.receive(stream)
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

func (s *session) receive(stream grpc.BidiStreamingClient[upstreampb.FeedControl, upstreampb.FeedEvent]) {
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
	if len(s.controls) < feedControlsLimit {
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

// execute starts a call; its end is posted to the shard.
func (s *session) execute(a owner.Execute) {
	ctx, cancel := context.WithDeadline(s.ctx, a.Deadline)
	s.mu.Lock()
	s.calls[a.Call] = cancel
	s.mu.Unlock()
	go func() {
		done := s.call(ctx, a)
		cancel()
		s.mu.Lock()
		delete(s.calls, a.Call)
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
	if detail, ok := notBegun(err); ok {
		done.Result, done.Draining = owner.NotBegun, detail.Draining
		return done
	}
	done.Result = owner.Failed
	if status.Code(err) == codes.Canceled {
		done.Result = owner.Cancelled
	}
	return done
}

// notBegun returns the upstream's statement that a refused call did not begin.
func notBegun(err error) (*upstreampb.NotBegun, bool) {
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
	if cancel := s.calls[call]; cancel != nil {
		cancel()
	}
}

// probe asks for the upstream's health through grpc.health.v1, and whether it drains. Its
// other load figures are not used: the owner counts them itself, and they may mislead.
func (s *session) probe() {
	defer s.wg.Done()
	client := healthpb.NewHealthClient(s.conn)
	for {
		ctx, cancel := context.WithTimeout(s.ctx, healthPeriod)
		reply, err := client.Check(ctx, &healthpb.HealthCheckRequest{})
		s.healthy.Store(err == nil && reply.Status == healthpb.HealthCheckResponse_SERVING)
		s.probeDrain(ctx)
		cancel()
		select {
		case <-time.After(healthPeriod):
		case <-s.ctx.Done():
			return
		}
	}
}
