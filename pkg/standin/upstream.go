// Package standin implements a stand-in upstream for tests and experiments. It records what it ran,
// and faults can be switched on.
package standin

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	upstreampb "rosemarygate/api/upstream/v1"
)

// Config describes one stand-in upstream.
type Config struct {
	Service    string // "user/service"
	Name       string
	DataCentre string
	Listen     string // IP:port; port 0 selects a free port
	// Registries are the gRPC addresses of daemons to announce to; an announcement to one of them
	// suffices.
	Registries []string
	Slots      int
	FlowLimit  int
	Credential string
	// ServiceTime is the mean service time of a request; service times are exponentially distributed.
	ServiceTime time.Duration
	// ServiceTimes overrides ServiceTime for the request classes that it contains.
	ServiceTimes map[string]time.Duration
	// AnswerSize is the size of an answer in bytes by request class. The answer to a request of
	// another class repeats its payload.
	AnswerSize map[string]int
	// FeedPeriod is the interval between two items of a feed.
	FeedPeriod time.Duration
	Seed       uint64
	Records    *Records
	Faults     *Faults
}

// Upstream is a running stand-in.
type Upstream struct {
	upstreampb.UnimplementedUpstreamServer
	cfg         Config
	incarnation uint64
	server      *grpc.Server
	health      *health.Server
	listener    net.Listener
	started     time.Time

	mu       sync.Mutex
	rng      *rand.Rand
	running  int
	flows    int
	draining bool
}

// Start listens, serves requests and announces the stand-in until ctx ends, also while it is
// draining. Receive from the returned channel before the process exits.
func Start(ctx context.Context, cfg Config) (*Upstream, <-chan error, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, nil, errors.Wrap(err, "stand-in upstream cannot listen: choose a free address")
	}
	if cfg.Records == nil {
		cfg.Records = NewRecords()
	}
	if cfg.Faults == nil {
		cfg.Faults = &Faults{}
	}
	u := &Upstream{
		cfg: cfg, incarnation: uint64(time.Now().UnixNano()), listener: listener, started: time.Now(),
		server: grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageSize), grpc.MaxSendMsgSize(maxMessageSize)),
		health: health.NewServer(),
		rng:    rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	upstreampb.RegisterUpstreamServer(u.server, u)
	healthpb.RegisterHealthServer(u.server, u.health)
	done := make(chan error, 1)
	go func() { done <- u.run(ctx) }()
	return u, done, nil
}

const maxMessageSize = 16 << 20 // bytes

func (u *Upstream) run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- u.server.Serve(u.listener) }()
	u.announceLoop(ctx)
	u.server.Stop()
	return <-served
}

// Address returns the address of the stand-in's gRPC server.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// Drain makes the stand-in announce that it is leaving; open feeds continue.
func (u *Upstream) Drain() {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	u.cfg.Records.recordDrain(u.cfg.Name)
}

func (u *Upstream) isDraining() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.draining
}

// Execute runs one request: it uses a slot for the service time and records the run.
func (u *Upstream) Execute(ctx context.Context, request *upstreampb.ExecuteRequest) (*upstreampb.ExecuteReply, error) {
	if request.Service != u.cfg.Service {
		u.cfg.Records.recordWrongService()
	}
	if err := u.takeSlot(); err != nil {
		return nil, err
	}
	defer u.releaseSlot()
	u.cfg.Records.recordRun(request, u.cfg.Name)
	start := time.Now()
	defer func() { u.cfg.Records.recordSlotTime(request, u.cfg.Name, time.Since(start)) }()
	select {
	case <-time.After(u.serviceTime(request.Class)):
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	return &upstreampb.ExecuteReply{Payload: u.buildAnswer(request)}, nil
}

// takeSlot takes a slot, or returns an error with the detail that the request did not run.
func (u *Upstream) takeSlot() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	shed := u.cfg.Faults.shouldShed(u.rng)
	if !shed && u.running < u.cfg.Slots {
		u.running++
		return nil
	}
	st, err := status.New(codes.ResourceExhausted, "every slot is in use: retry later").
		WithDetails(&upstreampb.NotBegun{Reason: "slots", Draining: u.draining})
	if err != nil {
		return err
	}
	return st.Err()
}

func (u *Upstream) releaseSlot() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

func (u *Upstream) serviceTime(class string) time.Duration {
	mean, ok := u.cfg.ServiceTimes[class]
	if !ok {
		mean = u.cfg.ServiceTime
	}
	u.mu.Lock()
	sample := u.rng.ExpFloat64()
	u.mu.Unlock()
	return time.Duration(sample*float64(mean)*u.cfg.Faults.slowdownFactor(time.Since(u.started))) +
		u.cfg.Faults.addedDelay()
}

// buildAnswer returns an answer that starts with the ids of its flow and request, so that callers can
// verify that it belongs to their request.
func (u *Upstream) buildAnswer(request *upstreampb.ExecuteRequest) []byte {
	size, ok := u.cfg.AnswerSize[request.Class]
	if !ok {
		return append(AnswerHeader(request.FlowId, request.RequestId), request.Payload...)
	}
	out := make([]byte, max(size, answerHeaderSize))
	copy(out, AnswerHeader(request.FlowId, request.RequestId))
	for i := answerHeaderSize; i < len(out); i++ {
		out[i] = byte(uint64(i) + request.RequestId)
	}
	return out
}

const answerHeaderSize = 16 // bytes

// AnswerHeader returns the first bytes of the answer to a request: the ids of its flow and of the
// request.
func AnswerHeader(flow, request uint64) []byte {
	b := binary.BigEndian.AppendUint64(nil, flow)
	return binary.BigEndian.AppendUint64(b, request)
}

// Load reports the actual load, or the load that the faults specify instead.
func (u *Upstream) Load(context.Context, *upstreampb.LoadRequest) (*upstreampb.LoadReply, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := &upstreampb.LoadReply{Running: uint32(u.running), Flows: uint32(u.flows), Draining: u.draining}
	u.cfg.Faults.overrideLoad(r)
	return r, nil
}

// Feeds serves many feeds on one stream.
func (u *Upstream) Feeds(stream grpc.BidiStreamingServer[upstreampb.FeedControl, upstreampb.FeedEvent]) error {
	s := &feedStream{upstream: u, stream: stream, lastSent: map[uint64]uint64{}}
	go s.publish(stream.Context())
	for {
		c, err := stream.Recv()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		s.handleControl(c)
	}
}

func (u *Upstream) announceLoop(ctx context.Context) {
	for attempt := 0; ; attempt++ {
		interval, err := u.announce(ctx, attempt)
		if err != nil {
			interval = announceRetryInterval
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return
		}
	}
}

const (
	announceRetryInterval = 100 * time.Millisecond
	announceTimeout       = 500 * time.Millisecond
)

// announce renews the lease at one of the registries; successive attempts use them in turn.
func (u *Upstream) announce(ctx context.Context, attempt int) (time.Duration, error) {
	if len(u.cfg.Registries) == 0 {
		return 0, errors.New("no registry: name at least one daemon to announce to")
	}
	target := u.cfg.Registries[attempt%len(u.cfg.Registries)]
	conn, err := grpc.NewClient(target, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return 0, errors.Wrapf(err, "registry %s", target)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	reply, err := upstreampb.NewRegistryClient(conn).Announce(ctx, &upstreampb.AnnounceRequest{
		Service: u.cfg.Service, Upstream: u.cfg.Name, DataCentre: u.cfg.DataCentre,
		Incarnation: u.incarnation, Address: u.Address(),
		Slots: uint32(u.cfg.Slots), FlowLimit: uint32(u.cfg.FlowLimit),
		Draining: u.isDraining(), Credential: u.cfg.Credential,
	})
	if err != nil {
		return 0, errors.Wrapf(err, "announcement to %s", target)
	}
	return time.Duration(reply.RenewMs) * time.Millisecond, nil
}

// feedStream is one owner's stream of feeds. The content of item n depends only on the service and n,
// so that any owner can resume a feed after any sequence.
type feedStream struct {
	upstream *Upstream
	stream   grpc.BidiStreamingServer[upstreampb.FeedControl, upstreampb.FeedEvent]
	mu       sync.Mutex
	lastSent map[uint64]uint64 // sequence of the last item sent, by flow id
}

func (s *feedStream) handleControl(c *upstreampb.FeedControl) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Unsubscribe {
		delete(s.lastSent, c.FlowId)
		return
	}
	s.lastSent[c.FlowId] = c.LastSequence
	s.upstream.cfg.Records.recordSubscription(c.FlowId, s.upstream.cfg.Name)
}

// publish sends the items that are due on every feed: item n is due n periods after the stand-in's
// start.
func (s *feedStream) publish(ctx context.Context) {
	ticker := time.NewTicker(max(s.upstream.cfg.FeedPeriod, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.sendDueItems() != nil {
			return
		}
	}
}

const maxFeedBurst = 64 // items of one feed that are sent at once after a resume

func (s *feedStream) sendDueItems() error {
	newest := uint64(time.Since(s.upstream.started) / max(s.upstream.cfg.FeedPeriod, time.Millisecond))
	s.mu.Lock()
	var events []*upstreampb.FeedEvent
	for flow, last := range s.lastSent {
		for range maxFeedBurst {
			if last >= newest {
				break
			}
			last++
			events = append(events, &upstreampb.FeedEvent{FlowId: flow, Sequence: last, Payload: FeedPayload(s.upstream.cfg.Service, last)})
		}
		s.lastSent[flow] = last
	}
	s.mu.Unlock()
	for _, e := range events {
		if err := s.stream.Send(e); err != nil {
			return err
		}
	}
	return nil
}

// FeedPayload returns the content of a feed's item.
func FeedPayload(service string, sequence uint64) []byte {
	return fmt.Appendf(nil, "%s item %d", service, sequence)
}
