package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/metadata"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/supervise"
)

const (
	// decisionTimeout limits the wait for a majority, so that a partitioned replica refuses a request
	// within a few seconds. It covers an election, which can take up to 3 s.
	decisionTimeout = 5 * time.Second
	forwardTimeout  = 2 * time.Second        // after which the request is sent again, to the leader known then
	readRetryPeriod = 300 * time.Millisecond // after which an unconfirmed read is repeated
	leaderPoll      = 50 * time.Millisecond
	forwardedKey    = "rosemarygate-forwarded"
)

// waitUntilCurrent waits until the applied state includes every change accepted before the call. On a
// replica that cannot reach a majority it waits until ctx ends.
func (r *Replica) waitUntilCurrent(ctx context.Context) error {
	for {
		done := make(chan struct{})
		var id uint64
		if err := r.runOnCore(ctx, func(c *core) { id = c.startRead(done) }); err != nil {
			return err
		}
		select {
		case <-done:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readRetryPeriod):
			if err := r.runOnCore(ctx, func(c *core) { delete(c.unconfirmedReads, id) }); err != nil {
				return err
			}
		}
	}
}

// proposeAndWait proposes an entry and waits until it is applied. This replica has to be the leader.
func (r *Replica) proposeAndWait(ctx context.Context, e *controlpb.Entry) (*controlpb.Reply, error) {
	if err := r.waitUntilCurrent(ctx); err != nil {
		return nil, noMajorityError()
	}
	r.validator.prepare(e.GetPush()) // decodes here, so that the core's goroutine does not have to
	e.TimeUnixMs = time.Now().UnixMilli()
	var reply *controlpb.Reply
	var resultChan chan proposalResult
	var proposeErr error
	if err := r.runOnCore(ctx, func(c *core) { reply, resultChan, proposeErr = c.propose(e) }); err != nil {
		return nil, outcomeUnknownError()
	}
	if reply != nil || proposeErr != nil {
		return reply, proposeErr
	}
	select {
	case result := <-resultChan:
		if result.err != nil {
			return nil, outcomeUnknownError()
		}
		return result.reply, nil
	case <-ctx.Done():
		return nil, outcomeUnknownError()
	}
}

// changeAtLeader makes a change on this replica if it leads, otherwise it forwards the change to the
// leader. A change with an unknown outcome is sent again, also to the next leader; its change id
// prevents it from being accepted twice.
func (r *Replica) changeAtLeader(ctx context.Context, local func(context.Context) (*controlpb.Reply, error),
	remote remoteCall,
) (*controlpb.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	uncertain := false
	for ctx.Err() == nil {
		var reply *controlpb.Reply
		err := errLeaderUnknown
		if st := r.Status(); st.Role == agreement.Leader && !r.stalled() {
			reply, err = local(ctx)
		} else if address, ok := r.leaderAddress(ctx, st.Leader); ok {
			reply, err = r.forward(ctx, st.Leader, address, remote)
		} else if isForwarded(ctx) {
			return nil, noMajorityError() // the forwarding replica looks up the leader again
		}
		uncertain = uncertain || err != nil && isOutcomeUncertain(err)
		if err == nil || isFinalRefusal(err) {
			return reply, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaderPoll):
		}
	}
	if uncertain {
		return nil, outcomeUnknownError()
	}
	return nil, noMajorityError()
}

// remoteCall makes a change at another replica.
type remoteCall func(context.Context, controlpb.OperatorClient) (*controlpb.Reply, error)

// forward makes a change at the leader. It stops waiting after forwardTimeout, or when another leader
// is elected. It then drops the connection, because TCP may take minutes to recover after a partition.
func (r *Replica) forward(ctx context.Context, leader agreement.Replica, address string, remote remoteCall) (*controlpb.Reply, error) {
	conn, err := r.transport.Conn(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	go r.cancelOnNewLeader(ctx, leader, cancel)
	reply, err := remote(metadata.AppendToOutgoingContext(ctx, forwardedKey, r.cfg.Name), controlpb.NewOperatorClient(conn))
	if ctx.Err() != nil {
		r.transport.CloseConn(address)
	}
	return reply, err
}

// cancelOnNewLeader calls cancel, which has to end ctx, when another replica becomes the leader.
func (r *Replica) cancelOnNewLeader(ctx context.Context, leader agreement.Replica, cancel context.CancelFunc) {
	_ = supervise.Every(ctx, leaderPoll, func() {
		if now := r.Status().Leader; now != agreement.None && now != leader {
			cancel()
		}
	})
}

// isForwarded reports whether another replica forwarded the request.
func isForwarded(ctx context.Context) bool {
	in, _ := metadata.FromIncomingContext(ctx)
	return len(in.Get(forwardedKey)) > 0
}

var errLeaderUnknown = errors.New("the leader is not known")

// leaderAddress returns the address of the leader if the request may be forwarded to it.
func (r *Replica) leaderAddress(ctx context.Context, leader agreement.Replica) (string, bool) {
	if leader == agreement.None || leader.ID == r.id || isForwarded(ctx) {
		return "", false
	}
	return r.address(leader.ID)
}
