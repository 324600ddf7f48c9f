package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	peerpb "rosemarygate/api/peer/v1"
	upstreampb "rosemarygate/api/upstream/v1"
	"rosemarygate/pkg/membership"
)

const peerTimeout = 2 * time.Second

// peers holds the gRPC connections to other daemons.
type peers struct {
	dialOptions []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func newPeers(dial []grpc.DialOption) *peers {
	return &peers{dialOptions: dial, conns: map[string]*grpc.ClientConn{}}
}

func (p *peers) client(m membership.Member) (peerpb.PeerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target := m.GRPCAddr.String()
	conn := p.conns[target]
	if conn == nil {
		var err error
		conn, err = grpc.NewClient(target, append([]grpc.DialOption{
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
			grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second, Backoff: reconnectBackoff()}),
		}, p.dialOptions...)...)
		if err != nil {
			return nil, errors.Wrapf(err, "daemon %s", m.Name)
		}
		p.conns[target] = conn
	}
	return peerpb.NewPeerClient(conn), nil
}

// handover sends an upstream's flows to its new owner and waits until they are installed there.
func (p *peers) handover(ctx context.Context, to membership.Member, chunks []*peerpb.HandoverChunk) error {
	client, err := p.client(to)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	stream, err := client.Handover(ctx)
	if err != nil {
		return errors.Wrapf(err, "handover to %s", to.Name)
	}
	for _, ch := range chunks {
		if err := stream.Send(ch); err != nil {
			break // CloseAndRecv returns the status of the call
		}
	}
	_, err = stream.CloseAndRecv()
	return errors.Wrapf(err, "handover to %s", to.Name)
}

// reportCompleted reports a request that ended after a handover. While the new owner is unreachable,
// it waits for a connection until peerTimeout.
func (p *peers) reportCompleted(ctx context.Context, to membership.Member, q *peerpb.CompletedRequest) error {
	client, err := p.client(to)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	_, err = client.Completed(ctx, q, grpc.WaitForReady(true))
	return errors.Wrapf(err, "completed request to %s", to.Name)
}

func (p *peers) announce(ctx context.Context, to membership.Member, q *upstreampb.AnnounceRequest) (*upstreampb.AnnounceReply, error) {
	client, err := p.client(to)
	if err != nil {
		return nil, err
	}
	return client.Announce(ctx, q)
}

func (p *peers) withdraw(ctx context.Context, to membership.Member, q *upstreampb.WithdrawRequest) (*upstreampb.WithdrawReply, error) {
	client, err := p.client(to)
	if err != nil {
		return nil, err
	}
	return client.Withdraw(ctx, q)
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = map[string]*grpc.ClientConn{}
}
