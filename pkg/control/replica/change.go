package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/metadata"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/ident"
)

const (
	// decisionTimeout bounds the wait for a majority, so that a replica that is cut off refuses
	// within a few seconds. It covers an election.
	decisionTimeout = 4 * time.Second
	readPeriod      = 300 * time.Millisecond // a read that is not confirmed is repeated
	leaderPoll      = 50 * time.Millisecond
	forwardedKey    = "rosemarygate-forwarded"
)

// current waits until the applied state holds everything that was accepted before the call. A
// replica that cannot reach the majority never gets there.
func (r *Replica) current(ctx context.Context) error {
	for {
		done := make(chan struct{})
		var id uint64
		if err := r.do(ctx, func(c *core) { id = c.startRead(done) }); err != nil {
			return err
		}
		select {
		case <-done:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readPeriod):
			if err := r.do(ctx, func(c *core) { delete(c.reads, id) }); err != nil {
				return err
			}
		}
	}
}

// change proposes an entry at the leader and waits until it is applied.
func (r *Replica) change(ctx context.Context, e *controlpb.Entry) (*controlpb.Reply, error) {
	if err := r.current(ctx); err != nil {
		return nil, noMajority()
	}
	e.TimeUnixMs = time.Now().UnixMilli()
	var reply *controlpb.Reply
	var done chan result
	var proposeErr error
	if err := r.do(ctx, func(c *core) { reply, done, proposeErr = c.propose(e) }); err != nil {
		return nil, outcomeUnknown()
	}
	if reply != nil || proposeErr != nil {
		return reply, proposeErr
	}
	select {
	case res := <-done:
		if res.err != nil {
			return nil, outcomeUnknown()
		}
		return res.reply, nil
	case <-ctx.Done():
		return nil, outcomeUnknown()
	}
}

// atLeader runs a change here if this replica leads, or passes it to the leader once. Changes
// carry a change id, so one whose reply was lost may be sent again.
func (r *Replica) atLeader(ctx context.Context, local func(context.Context) (*controlpb.Reply, error),
	remote func(context.Context, controlpb.OperatorClient) (*controlpb.Reply, error),
) (*controlpb.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	lost := false
	for ctx.Err() == nil {
		var reply *controlpb.Reply
		err := errNotHere
		if st := r.Status(); st.Role == agreement.Leader {
			reply, err = local(ctx)
		} else if client, ok := r.leaderClient(ctx, st.Leader); ok {
			reply, err = remote(metadata.AppendToOutgoingContext(ctx, forwardedKey, r.cfg.Name), client)
			lost = lost || err != nil && unreachable(err)
		}
		if err == nil || isRefusal(err) {
			return reply, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaderPoll):
		}
	}
	if lost {
		return nil, outcomeUnknown()
	}
	return nil, noMajority()
}

var errNotHere = errors.New("the leader is not known")

func (r *Replica) leaderClient(ctx context.Context, leader agreement.Replica) (controlpb.OperatorClient, bool) {
	if in, _ := metadata.FromIncomingContext(ctx); leader == agreement.None || len(in.Get(forwardedKey)) > 0 {
		return nil, false
	}
	address, ok := r.address(leader.ID)
	if !ok || leader.ID == ident.Daemon(r.cfg.Name) {
		return nil, false
	}
	conn, err := r.transport.conn(address)
	if err != nil {
		return nil, false
	}
	return controlpb.NewOperatorClient(conn), true
}
