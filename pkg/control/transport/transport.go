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
	peerQueueLength = 256
	sendTimeout     = 5 * time.Second
	dialTimeout     = time.Second
	redialPause     = 200 * time.Millisecond
	// silenceTimeout is how long a peer may be silent while messages are sent to it before the
	// connection is replaced. After a partition TCP would retransmit its segments only after minutes.
	silenceTimeout = 1500 * time.Millisecond
	// confirmPeriod is the shortest time between two confirmations on a stream. Half of it adds 200
	// B/s to the idle traffic of a leader, which exceeds the bound of that traffic.
	confirmPeriod = time.Second
	// confirmTimeout is the time without a confirmation after which a stream is replaced. It allows
	// for a confirmation, the message that it waits for, and one that was lost.
	confirmTimeout = 2500 * time.Millisecond
	// Metadata keys for the name and the address of the sender of a stream: a joining replica does
	// not have the address of a leader that its settings no longer list, and could otherwise never
	// answer it.
	nameKey    = "rosemarygate-name"
	addressKey = "rosemarygate-address"
)

// FlowControlWindow is the flow control window of control connections in bytes. A fixed window keeps gRPC from
// estimating the bandwidth with a ping for each message, which would be a sixth of the idle traffic.
const FlowControlWindow = 1 << 20

// ErrStopping is returned to the streams of a replica that stops.
var ErrStopping = status.Error(codes.Unavailable, "replica is stopping: connect to another replica")

// MaxMessageBytes is the largest message on control connections in bytes: a snapshot of the largest
// configuration folder that pkg/control/state accepts, with its history and replies.
const MaxMessageBytes = 48 << 20

// Transport sends messages to the other replicas, each over one stream. It drops what a replica does
// not accept in time, since the protocol resends it.
type Transport struct {
	ctx     context.Context
	self    *controlpb.ReplicaHost
	resolve func(ident.DaemonID) (string, bool)
	options []grpc.DialOption

	mu    sync.Mutex
	peers map[ident.DaemonID]*peer
	conns map[string]*grpc.ClientConn // for unary calls, by address
}

type peer struct {
	queue        chan *controlpb.AgreementMessage
	lastReceived atomic.Int64 // Unix nanoseconds of the last message from the peer
}

// New returns a transport that runs until ctx ends. self is the name and address that is sent to the
// other replicas, and resolve returns the address of a replica.
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
	reconnect := backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 500 * time.Millisecond}
	return append([]grpc.DialOption{
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: dialTimeout, Backoff: reconnect}),
		grpc.WithInitialWindowSize(FlowControlWindow), grpc.WithInitialConnWindowSize(FlowControlWindow),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
	}, options...)
}

func (t *Transport) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		c.Close()
	}
}

// Conn returns the connection to an address for unary calls.
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

// CloseConn closes the connection to an address for unary calls after one of them timed out.
func (t *Transport) CloseConn(address string) {
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
		p = &peer{queue: make(chan *controlpb.AgreementMessage, peerQueueLength)}
		t.peers[id] = p
		go t.runPeer(id, p)
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

// RecordReceived records that a message from a replica has arrived.
func (t *Transport) RecordReceived(id ident.DaemonID) {
	if _, known := t.resolve(id); known {
		t.peer(id).lastReceived.Store(time.Now().UnixNano())
	}
}

func (t *Transport) runPeer(id ident.DaemonID, p *peer) {
	for t.ctx.Err() == nil {
		select {
		case <-t.ctx.Done():
			return
		case m := <-p.queue:
			for m != nil && t.ctx.Err() == nil {
				m = t.resolveAndSend(id, p, m)
			}
		}
		select {
		case <-t.ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

// resolveAndSend sends m and the messages queued after it to a peer whose address is known. It
// returns the first message that needs a new stream, nil if there is none.
func (t *Transport) resolveAndSend(id ident.DaemonID, p *peer, m *controlpb.AgreementMessage) *controlpb.AgreementMessage {
	address, ok := t.resolve(id)
	if !ok {
		return nil
	}
	return t.sendOnStream(address, p, m)
}

// sendOnStream sends messages over one stream until the stream fails, the peer is silent, no
// confirmation arrives, or the stream was idle for silenceTimeout. Except for a failed stream it
// returns the message that it did not send. An idle connection may have been lost without notice
// although messages from the peer arrive over the connection of the peer: a replica that was removed
// during a partition never received the answer, which was sent over the old stream.
func (t *Transport) sendOnStream(address string, p *peer, m *controlpb.AgreementMessage) *controlpb.AgreementMessage {
	conn, err := grpc.NewClient(address, t.options...)
	if err != nil {
		return nil
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, nameKey, t.self.GetName(), addressKey, t.self.GetAddress())
	dialTimer := time.AfterFunc(dialTimeout, cancel)
	stream, err := controlpb.NewAgreementClient(conn).Exchange(ctx, grpc.WaitForReady(true))
	if !dialTimer.Stop() || err != nil {
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
	var header messageHeader
	for {
		header.omitRepeated(m)
		sendTimer := time.AfterFunc(sendTimeout, cancel)
		err := stream.Send(m)
		sendTimer.Stop()
		if err != nil {
			return nil
		}
		sent := time.Now()
		select {
		case <-stream.Context().Done():
			return nil
		case m = <-p.queue:
		}
		lastReceived := time.Unix(0, p.lastReceived.Load())
		silent := time.Since(opened) > silenceTimeout && time.Since(lastReceived) > silenceTimeout
		// Messages of the peer may arrive over its own connection although this one is broken.
		lost := time.Since(time.Unix(0, confirmed.Load())) > confirmTimeout
		if silent || lost || time.Since(sent) > silenceTimeout {
			return m
		}
	}
}

// messageHeader holds the fields that are equal in nearly all messages of a stream. Sending them only
// when they change saves two thirds of the bytes of a heartbeat.
type messageHeader struct {
	from, to *controlpb.Replica
	group    uint64
}

// omitRepeated removes the header from a message if the previous message had the same one.
func (h *messageHeader) omitRepeated(m *controlpb.AgreementMessage) {
	if h.from != nil && proto.Equal(h.from, m.GetFrom()) && proto.Equal(h.to, m.GetTo()) && h.group == m.GetGroup() {
		m.From, m.To, m.Group, m.SameHeader = nil, nil, 0, true
		return
	}
	h.from, h.to, h.group = m.GetFrom(), m.GetTo(), m.GetGroup()
}

// restore sets the header of a message that was sent without it.
func (h *messageHeader) restore(m *controlpb.AgreementMessage) {
	if m.GetSameHeader() {
		m.From, m.To, m.Group = h.from, h.to, h.group
		return
	}
	h.from, h.to, h.group = m.GetFrom(), m.GetTo(), m.GetGroup()
}

// Server receives the messages from other replicas.
type Server struct {
	controlpb.UnimplementedAgreementServer
	// Context ends the streams.
	Context context.Context
	// RecordSender is called with the name and the address of the sender of a new stream.
	RecordSender func(name, address string)
	// Receive is called with each message; it must not block.
	Receive func(agreement.Message)
}

// Exchange receives messages until the stream or the replica ends.
func (s *Server) Exchange(stream grpc.BidiStreamingServer[controlpb.AgreementMessage, controlpb.ExchangeReply]) error {
	s.recordSender(stream.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- s.receiveMessages(stream)
	}()
	select {
	case err := <-ended:
		return err
	case <-s.Context.Done():
		return ErrStopping
	}
}

// receiveMessages receives and confirms messages until the stream ends.
func (s *Server) receiveMessages(stream grpc.BidiStreamingServer[controlpb.AgreementMessage, controlpb.ExchangeReply]) error {
	var header messageHeader
	var lastConfirmed time.Time
	for received := uint64(1); ; received++ {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		header.restore(m)
		s.Receive(agreement.MessageFromProto(m))
		if time.Since(lastConfirmed) < confirmPeriod {
			continue
		}
		lastConfirmed = time.Now()
		if err := stream.Send(&controlpb.ExchangeReply{Received: received}); err != nil {
			return err
		}
	}
}

func (s *Server) recordSender(ctx context.Context) {
	in, _ := metadata.FromIncomingContext(ctx)
	name, address := in.Get(nameKey), in.Get(addressKey)
	if len(name) == 1 && len(address) == 1 {
		s.RecordSender(name[0], address[0])
	}
}
