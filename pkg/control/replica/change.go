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
	// decisionTimeout bounds the wait for a majority, so that a replica that is cut off refuses
	// within a few seconds. It covers an election, which took up to 3 s in tests.
	decisionTimeout = 5 * time.Second
	forwardTimeout  = 2 * time.Second        // then the leader is looked for again
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
	r.validator.prepare(e.GetPush()) // decoding here keeps it off the goroutine of the cores
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

// atLeader runs a change here if this replica leads, or passes it to the leader. Changes carry a
// change id, so one whose outcome is unknown is sent again, to the next leader too.
func (r *Replica) atLeader(ctx context.Context, local func(context.Context) (*controlpb.Reply, error),
	remote remoteCall,
) (*controlpb.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	lost := false
	for ctx.Err() == nil {
		var reply *controlpb.Reply
		err := errNotHere
		if st := r.Status(); st.Role == agreement.Leader && !r.stalled() {
			reply, err = local(ctx)
		} else if address, ok := r.leaderAddress(ctx, st.Leader); ok {
			reply, err = r.forward(ctx, st.Leader, address, remote)
		} else if forwarded(ctx) {
			return nil, noMajority() // the sender looks for the leader
		}
		lost = lost || err != nil && undecided(err)
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

// remoteCall makes a change at another replica.
type remoteCall func(context.Context, controlpb.OperatorClient) (*controlpb.Reply, error)

// forward makes a change at the leader, until another one is elected. A connection on which
// nothing was answered is made anew, since TCP may need minutes after a partition.
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
		r.transport.Drop(address)
	}
	return reply, err
}

// cancelOnNewLeader ends the wait for a leader that was replaced meanwhile; cancel ends ctx.
func (r *Replica) cancelOnNewLeader(ctx context.Context, leader agreement.Replica, cancel context.CancelFunc) {
	_ = supervise.Every(ctx, leaderPoll, func() {
		if now := r.Status().Leader; now != agreement.None && now != leader {
			cancel()
		}
	})
}

// forwarded reports whether another replica passed the request on.
func forwarded(ctx context.Context) bool {
	in, _ := metadata.FromIncomingContext(ctx)
	return len(in.Get(forwardedKey)) > 0
}

var errNotHere = errors.New("the leader is not known")

// leaderAddress returns the address of the leader if a request may be passed to it.
func (r *Replica) leaderAddress(ctx context.Context, leader agreement.Replica) (string, bool) {
	if leader == agreement.None || leader.ID == r.id || forwarded(ctx) {
		return "", false
	}
	return r.address(leader.ID)
}
