// Package standin implements a stand-in upstream with its own records of what it ran, and
// with faults that tests and experiments switch on.
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
	Listen     string // IP:port; port 0 picks one
	// Registries are gRPC addresses of daemons to announce to; any one suffices.
	Registries []string
	Slots      int
	FlowLimit  int
	Credential string
	// ServiceTime is the mean time of one request; it is exponentially distributed.
	ServiceTime time.Duration
	// ServiceTimes replaces ServiceTime for the request classes that it lists.
	ServiceTimes map[string]time.Duration
	// AnswerSize is the size of an answer in bytes for each request class; classes that
	// are not listed echo their payload.
	AnswerSize map[string]int
	// FeedPeriod is the time between two items of a feed.
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

// Start listens, serves and announces until ctx ends; a draining stand-in goes on serving
// until then. Wait for the returned channel before the process exits.
func Start(ctx context.Context, cfg Config) (*Upstream, <-chan error, error) {
	lis, err := net.Listen("tcp", cfg.Listen)
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
		cfg: cfg, incarnation: uint64(time.Now().UnixNano()), listener: lis, started: time.Now(),
		server: grpc.NewServer(grpc.MaxRecvMsgSize(maxMessage), grpc.MaxSendMsgSize(maxMessage)),
		health: health.NewServer(),
		rng:    rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	upstreampb.RegisterUpstreamServer(u.server, u)
	healthpb.RegisterHealthServer(u.server, u.health)
	done := make(chan error, 1)
	go func() { done <- u.run(ctx) }()
	return u, done, nil
}

const maxMessage = 16 << 20 // bytes

func (u *Upstream) run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- u.server.Serve(u.listener) }()
	u.announceLoop(ctx)
	u.server.Stop()
	return <-served
}

// Address returns the address of the stand-in's gRPC server.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// Drain announces that the upstream is leaving; open feeds stay.
func (u *Upstream) Drain() {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	u.cfg.Records.drained(u.cfg.Name)
}

func (u *Upstream) isDraining() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.draining
}

// Execute runs one request: it takes a slot for the service time and records the run.
func (u *Upstream) Execute(ctx context.Context, q *upstreampb.ExecuteRequest) (*upstreampb.ExecuteReply, error) {
	if q.Service != u.cfg.Service {
		u.cfg.Records.wrongService()
	}
	if err := u.begin(); err != nil {
		return nil, err
	}
	defer u.end()
	u.cfg.Records.ran(q, u.cfg.Name)
	began := time.Now()
	defer func() { u.cfg.Records.worked(q, u.cfg.Name, time.Since(began)) }()
	select {
	case <-time.After(u.serviceTime(q.Class)):
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	return &upstreampb.ExecuteReply{Payload: u.answer(q)}, nil
}

// begin takes a slot, or refuses with the detail that says that nothing ran.
func (u *Upstream) begin() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	shed := u.cfg.Faults.shed(u.rng)
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

func (u *Upstream) end() {
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
	return time.Duration(sample*float64(mean)*u.cfg.Faults.slowdown(time.Since(u.started))) +
		u.cfg.Faults.stallTime()
}

// answer builds an answer that names its request, so that callers can check that it is theirs.
func (u *Upstream) answer(q *upstreampb.ExecuteRequest) []byte {
	size, ok := u.cfg.AnswerSize[q.Class]
	if !ok {
		return append(AnswerHeader(q.FlowId, q.RequestId), q.Payload...)
	}
	out := make([]byte, max(size, answerHeaderSize))
	copy(out, AnswerHeader(q.FlowId, q.RequestId))
	for i := answerHeaderSize; i < len(out); i++ {
		out[i] = byte(uint64(i) + q.RequestId)
	}
	return out
}

const answerHeaderSize = 16 // bytes

// AnswerHeader returns the first bytes of the answer to a request.
func AnswerHeader(flow, request uint64) []byte {
	b := binary.BigEndian.AppendUint64(nil, flow)
	return binary.BigEndian.AppendUint64(b, request)
}

// Load reports the load, or what the faults say instead.
func (u *Upstream) Load(context.Context, *upstreampb.LoadRequest) (*upstreampb.LoadReply, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := &upstreampb.LoadReply{Running: uint32(u.running), Flows: uint32(u.flows), Draining: u.draining}
	u.cfg.Faults.misreport(r)
	return r, nil
}

// Feeds serves many feeds on one stream.
func (u *Upstream) Feeds(stream grpc.BidiStreamingServer[upstreampb.FeedControl, upstreampb.FeedEvent]) error {
	s := &feedStream{up: u, stream: stream, feeds: map[uint64]uint64{}}
	go s.publish(stream.Context())
	for {
		c, err := stream.Recv()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		s.control(c)
	}
}

func (u *Upstream) announceLoop(ctx context.Context) {
	for i := 0; ; i++ {
		renew, err := u.announce(ctx, i)
		if err != nil {
			renew = announceRetry
		}
		select {
		case <-time.After(renew):
		case <-ctx.Done():
			return
		}
	}
}

const (
	announceRetry   = 100 * time.Millisecond
	announceTimeout = 500 * time.Millisecond
)

// announce renews the lease with one of the registries, in turn.
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

// feedStream is one owner's stream of feeds. Item n of every feed has a fixed content, so
// that any owner can resume a feed after any sequence.
type feedStream struct {
	up     *Upstream
	stream grpc.BidiStreamingServer[upstreampb.FeedControl, upstreampb.FeedEvent]
	mu     sync.Mutex
	feeds  map[uint64]uint64 // flow id to the last sequence sent
}

func (s *feedStream) control(c *upstreampb.FeedControl) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Unsubscribe {
		delete(s.feeds, c.FlowId)
		return
	}
	s.feeds[c.FlowId] = c.LastSequence
	s.up.cfg.Records.subscribed(c.FlowId, s.up.cfg.Name)
}

// publish sends every feed the items that are due: item n is due n periods after start.
func (s *feedStream) publish(ctx context.Context) {
	ticker := time.NewTicker(max(s.up.cfg.FeedPeriod, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.send() != nil {
			return
		}
	}
}

const feedBurst = 64 // items of one feed sent at once after a resume

func (s *feedStream) send() error {
	newest := uint64(time.Since(s.up.started) / max(s.up.cfg.FeedPeriod, time.Millisecond))
	s.mu.Lock()
	var events []*upstreampb.FeedEvent
	for flow, last := range s.feeds {
		for range feedBurst {
			if last >= newest {
				break
			}
			last++
			events = append(events, &upstreampb.FeedEvent{FlowId: flow, Sequence: last, Payload: FeedPayload(s.up.cfg.Service, last)})
		}
		s.feeds[flow] = last
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
