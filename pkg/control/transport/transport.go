// Package transport carries the messages of the agreement protocol between control replicas.
package transport

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/ident"
)

const (
	peerQueue   = 256
	sendTimeout = 5 * time.Second
	dialTimeout = time.Second
	redialPause = 200 * time.Millisecond
	// silence is how long a peer may be silent while messages go to it before the connection is
	// made anew. After a partition TCP would repeat its segments only after minutes.
	silence = 1500 * time.Millisecond
	// confirmPeriod is the shortest time between two confirmations of a stream. At half of it the idle
	// traffic of a leader grew by 200 B/s, which broke its bound.
	confirmPeriod = time.Second
	// unconfirmed is the time without a confirmation after which a stream is made anew: a confirmation,
	// the message that it waits for, and one that was lost.
	unconfirmed = 2500 * time.Millisecond
	// The sender of a stream names itself: a joining replica does not know the address of a leader
	// that its settings do not list any more, and would otherwise never answer it.
	nameKey    = "rosemarygate-name"
	addressKey = "rosemarygate-address"
)

// Window is the flow control window of control connections in bytes. A fixed one keeps gRPC from
// measuring the connection with a ping for each message, a sixth of the idle traffic.
const Window = 1 << 20

// ErrStopping ends the streams of a replica that stops.
var ErrStopping = status.Error(codes.Unavailable, "replica is stopping: connect to another replica")

// MaxMessage is the largest message on control connections in bytes: a snapshot of the largest
// folder (state.MaxFolderBytes) with its history and replies.
const MaxMessage = 48 << 20

// Transport sends messages to the other replicas, each over one stream, and drops what a
// replica does not take in time: the protocol repeats it.
type Transport struct {
	ctx     context.Context
	self    *controlpb.ReplicaHost
	resolve func(ident.DaemonID) (string, bool)
	options []grpc.DialOption

	mu    sync.Mutex
	peers map[ident.DaemonID]*peer
	conns map[string]*grpc.ClientConn // of unary calls, by address
}

type peer struct {
	queue chan *controlpb.AgreementMessage
	heard atomic.Int64 // Unix nanoseconds of the last message from the peer
}

// New returns a transport that runs until ctx ends. self is introduced to the other replicas, and
// resolve returns the address of one of them.
func New(ctx context.Context, self *controlpb.ReplicaHost, resolve func(ident.DaemonID) (string, bool), options []grpc.DialOption) *Transport {
	t := &Transport{
		ctx: ctx, self: self, resolve: resolve, options: DialOptions(options),
		peers: map[ident.DaemonID]*peer{}, conns: map[string]*grpc.ClientConn{},
	}
	context.AfterFunc(ctx, t.close)
	return t
}

// DialOptions returns the options of connections to replicas, with quick reconnects.
func DialOptions(options []grpc.DialOption) []grpc.DialOption {
	quick := backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 500 * time.Millisecond}
	return append([]grpc.DialOption{
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: dialTimeout, Backoff: quick}),
		grpc.WithInitialWindowSize(Window), grpc.WithInitialConnWindowSize(Window),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessage), grpc.MaxCallSendMsgSize(MaxMessage)),
	}, options...)
}

func (t *Transport) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		c.Close()
	}
}

// Conn returns the connection for unary calls to an address.
func (t *Transport) Conn(address string) (*grpc.ClientConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.conns[address]; c != nil {
		return c, nil
	}
	c, err := grpc.NewClient(address, t.options...)
	if err != nil {
		return nil, errors.Wrapf(err, "address %s of a replica", address)
	}
	t.conns[address] = c
	return c, nil
}

// Drop closes the connection for unary calls to an address after one of them timed out.
func (t *Transport) Drop(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.conns[address]; c != nil {
		c.Close()
		delete(t.conns, address)
	}
}

func (t *Transport) peer(id ident.DaemonID) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[id]
	if p == nil {
		p = &peer{queue: make(chan *controlpb.AgreementMessage, peerQueue)}
		t.peers[id] = p
		go t.run(id, p)
	}
	return p
}

// Send queues a message, or drops it when the queue is full.
func (t *Transport) Send(m *agreement.Message) {
	select {
	case t.peer(m.To.ID).queue <- agreement.MessageProto(m):
	default:
	}
}

// Received notes that a replica is heard.
func (t *Transport) Received(id ident.DaemonID) {
	if _, known := t.resolve(id); known {
		t.peer(id).heard.Store(time.Now().UnixNano())
	}
}

func (t *Transport) run(id ident.DaemonID, p *peer) {
	for t.ctx.Err() == nil {
		select {
		case <-t.ctx.Done():
			return
		case m := <-p.queue:
			for m != nil && t.ctx.Err() == nil {
				m = t.sendFrom(id, p, m)
			}
		}
		select {
		case <-t.ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

// sendFrom sends messages from m on to a peer whose address is known, and returns the first one that
// needs a new stream, nil if there is none.
func (t *Transport) sendFrom(id ident.DaemonID, p *peer, m *controlpb.AgreementMessage) *controlpb.AgreementMessage {
	address, ok := t.resolve(id)
	if !ok {
		return nil
	}
	return t.stream(address, p, m)
}

// stream sends messages over one stream until it fails, the peer stays silent, or nothing was sent
// for a while. It returns the message that it did not send in the last two cases. An idle connection
// may have been lost meanwhile without notice, though the peer is heard over its own: a replica that
// was removed during a partition was never told, because the answer went over the old stream.
func (t *Transport) stream(address string, p *peer, m *controlpb.AgreementMessage) *controlpb.AgreementMessage {
	conn, err := grpc.NewClient(address, t.options...)
	if err != nil {
		return nil
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, nameKey, t.self.GetName(), addressKey, t.self.GetAddress())
	limit := time.AfterFunc(dialTimeout, cancel)
	stream, err := controlpb.NewAgreementClient(conn).Exchange(ctx, grpc.WaitForReady(true))
	if !limit.Stop() || err != nil {
		return nil
	}
	opened := time.Now()
	var confirmed atomic.Int64 // Unix nanoseconds of the latest confirmation
	confirmed.Store(opened.UnixNano())
	go func() {
		for {
			if _, err := stream.Recv(); err != nil {
				cancel()
				return
			}
			confirmed.Store(time.Now().UnixNano())
		}
	}()
	var header header
	for {
		header.shorten(m)
		limit := time.AfterFunc(sendTimeout, cancel)
		err := stream.Send(m)
		limit.Stop()
		if err != nil {
			return nil
		}
		sent := time.Now()
		select {
		case <-stream.Context().Done():
			return nil
		case m = <-p.queue:
		}
		heard := time.Unix(0, p.heard.Load())
		silent := time.Since(opened) > silence && time.Since(heard) > silence
		// The peer may be heard over its own connection while this one has gone silent.
		lost := time.Since(time.Unix(0, confirmed.Load())) > unconfirmed
		if silent || lost || time.Since(sent) > silence {
			return m
		}
	}
}

// header holds the fields that are equal in nearly all messages of a stream. Two thirds of the
// bytes of a heartbeat are saved by sending them only when they change.
type header struct {
	from, to *controlpb.Replica
	group    uint64
}

// shorten removes the header from a message if the message before had the same one.
func (h *header) shorten(m *controlpb.AgreementMessage) {
	if h.from != nil && proto.Equal(h.from, m.GetFrom()) && proto.Equal(h.to, m.GetTo()) && h.group == m.GetGroup() {
		m.From, m.To, m.Group, m.SameHeader = nil, nil, 0, true
		return
	}
	h.from, h.to, h.group = m.GetFrom(), m.GetTo(), m.GetGroup()
}

// complete restores the header of a message.
func (h *header) complete(m *controlpb.AgreementMessage) {
	if m.GetSameHeader() {
		m.From, m.To, m.Group = h.from, h.to, h.group
		return
	}
	h.from, h.to, h.group = m.GetFrom(), m.GetTo(), m.GetGroup()
}

// Server receives the messages of other replicas.
type Server struct {
	controlpb.UnimplementedAgreementServer
	// Context ends the streams.
	Context context.Context
	// Introduce learns the name and the address of a sender.
	Introduce func(name, address string)
	// Receive takes a message; it must not block.
	Receive func(agreement.Message)
}

// Exchange takes messages until the stream or the replica ends.
func (s *Server) Exchange(stream grpc.BidiStreamingServer[controlpb.AgreementMessage, controlpb.ExchangeReply]) error {
	s.introduce(stream.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- s.take(stream)
	}()
	select {
	case err := <-ended:
		return err
	case <-s.Context.Done():
		return ErrStopping
	}
}

// take takes and confirms messages until the stream ends.
func (s *Server) take(stream grpc.BidiStreamingServer[controlpb.AgreementMessage, controlpb.ExchangeReply]) error {
	var header header
	var last time.Time
	for received := uint64(1); ; received++ {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		header.complete(m)
		s.Receive(agreement.MessageFromProto(m))
		if time.Since(last) < confirmPeriod {
			continue
		}
		last = time.Now()
		if err := stream.Send(&controlpb.ExchangeReply{Received: received}); err != nil {
			return err
		}
	}
}

func (s *Server) introduce(ctx context.Context) {
	in, _ := metadata.FromIncomingContext(ctx)
	name, address := in.Get(nameKey), in.Get(addressKey)
	if len(name) == 1 && len(address) == 1 {
		s.Introduce(name[0], address[0])
	}
}
