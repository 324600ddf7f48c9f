package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/metadata"
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
	// The sender of a stream names itself: a joining replica does not know the address of a leader
	// that its settings do not list any more, and would otherwise never answer it.
	nameKey    = "rosemarygate-name"
	addressKey = "rosemarygate-address"
)

// Window is the flow control window of control connections in bytes. A fixed one keeps gRPC from
// measuring the connection with a ping for each message, a sixth of the idle traffic.
const Window = 1 << 20

// MaxMessage is the largest message on control connections in bytes: a snapshot of the largest
// folder (state.MaxFolderSize) with its history and replies.
const MaxMessage = 48 << 20

// transport sends messages to the other replicas, each over one stream, and drops what a
// replica does not take in time: the protocol repeats it.
type transport struct {
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

func newTransport(ctx context.Context, self *controlpb.ReplicaHost, resolve func(ident.DaemonID) (string, bool), options []grpc.DialOption) *transport {
	t := &transport{
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

func (t *transport) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		c.Close()
	}
}

// conn returns the connection for unary calls to an address.
func (t *transport) conn(address string) (*grpc.ClientConn, error) {
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

// drop closes the connection for unary calls to an address after one of them timed out.
func (t *transport) drop(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.conns[address]; c != nil {
		c.Close()
		delete(t.conns, address)
	}
}

func (t *transport) peer(id ident.DaemonID) *peer {
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

// send queues a message, or drops it when the queue is full.
func (t *transport) send(m *agreement.Message) {
	select {
	case t.peer(m.To.ID).queue <- agreement.MessageProto(m):
	default:
	}
}

// received notes that a replica is heard.
func (t *transport) received(id ident.DaemonID) {
	if _, known := t.resolve(id); known {
		t.peer(id).heard.Store(time.Now().UnixNano())
	}
}

func (t *transport) run(id ident.DaemonID, p *peer) {
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
func (t *transport) sendFrom(id ident.DaemonID, p *peer, m *controlpb.AgreementMessage) *controlpb.AgreementMessage {
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
func (t *transport) stream(address string, p *peer, m *controlpb.AgreementMessage) *controlpb.AgreementMessage {
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
		if silent || time.Since(sent) > silence {
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

// agreementServer receives the messages of other replicas.
type agreementServer struct {
	controlpb.UnimplementedAgreementServer
	r *Replica
}

// Exchange takes messages until the stream or the replica ends.
func (s *agreementServer) Exchange(stream grpc.ClientStreamingServer[controlpb.AgreementMessage, controlpb.ExchangeReply]) error {
	s.r.introduce(stream.Context())
	ended := make(chan error, 1)
	go func() {
		var header header
		for {
			m, err := stream.Recv()
			if err != nil {
				ended <- err
				return
			}
			header.complete(m)
			s.r.receive(agreement.MessageFromProto(m))
		}
	}()
	select {
	case err := <-ended:
		return err
	case <-s.r.ctx.Done():
		return errStopping
	}
}

// introduce remembers the address of a replica that neither the settings nor the log name.
func (r *Replica) introduce(ctx context.Context) {
	in, _ := metadata.FromIncomingContext(ctx)
	name, address := in.Get(nameKey), in.Get(addressKey)
	if len(name) != 1 || len(address) != 1 {
		return
	}
	if _, known := r.address(ident.Daemon(name[0])); !known {
		r.know([]*controlpb.ReplicaHost{{Name: name[0], Address: address[0]}})
	}
}

func (r *Replica) receive(m agreement.Message) {
	r.transport.received(m.From.ID)
	select {
	case r.incoming <- m:
	default:
	}
}
