package replica

import (
	"context"
	"crypto/rand"
	"math"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/state"
	"rosemarygate/pkg/control/totals"
)

const (
	inForcePoll  = 10 * time.Millisecond
	historyLimit = 1000
	keySize      = 32 // bytes
)

// operator serves the operators' commands.
type operator struct {
	controlpb.UnimplementedOperatorServer
	r *Replica
}

// Push proposes a change of files and waits until it is in force.
func (o *operator) Push(ctx context.Context, q *controlpb.PushRequest) (*controlpb.PushReply, error) {
	reply, err := o.r.atLeader(ctx, func(ctx context.Context) (*controlpb.Reply, error) {
		e := &controlpb.Entry{
			ChangeId: q.GetChangeId(), Operator: q.GetOperator(), Summary: q.GetSummary(),
			Body: &controlpb.Entry_Push{Push: q.GetPush()},
		}
		if err := o.r.checkDaemons(ctx, e, q.GetReplaceNewer()); err != nil {
			return nil, err
		}
		return decided(o.r.change(ctx, e))
	}, func(ctx context.Context, c controlpb.OperatorClient) (*controlpb.Reply, error) {
		reply, err := c.Push(ctx, &controlpb.PushRequest{
			ChangeId: q.GetChangeId(), Operator: q.GetOperator(), Summary: q.GetSummary(), Push: q.GetPush(),
			ReplaceNewer: q.GetReplaceNewer(),
		})
		return reply.GetReply(), err
	})
	if err != nil {
		return nil, err
	}
	return o.r.awaitInForce(ctx, reply, time.Duration(q.GetWaitMs())*time.Millisecond), nil
}

// checkDaemons refuses a change of the configuration while daemons have a version in force that the
// replicas do not have, unless the operator knows of it: the change would undo that version. A daemon
// has only accepted versions, so this happens only after replicas lost some of them. A change that the
// replicated state decides without a new entry, such as a resent one, undoes nothing.
func (r *Replica) checkDaemons(ctx context.Context, e *controlpb.Entry, replaceNewer bool) error {
	newest := r.publish.newest()
	if replaceNewer || newest <= r.Status().Version {
		return nil
	}
	if err := r.current(ctx); err != nil {
		return noMajority()
	}
	var version uint64
	var settled bool
	err := r.do(ctx, func(c *core) {
		version = c.machine.View().Version
		e.TimeUnixMs = time.Now().UnixMilli() // a rotation is decided by it
		settled = c.machine.Check(e) != nil
	})
	if err != nil {
		return noMajority()
	}
	if settled || newest <= version {
		return nil
	}
	return daemonsAhead(newest, version)
}

// decided turns a refusal into a gRPC error.
func decided(reply *controlpb.Reply, err error) (*controlpb.Reply, error) {
	if err == nil && reply.GetRefusal() != nil {
		err = refusal(codes.FailedPrecondition, reply.GetRefusal())
	}
	return reply, err
}

// awaitInForce waits until every daemon has the version of a reply in force, or for the given time.
func (r *Replica) awaitInForce(ctx context.Context, reply *controlpb.Reply, wait time.Duration) *controlpb.PushReply {
	deadline := time.Now().Add(wait)
	for {
		inForce, daemons := r.publish.inForce(reply.GetVersion())
		if inForce == daemons && daemons > 0 || !time.Now().Before(deadline) || ctx.Err() != nil {
			return &controlpb.PushReply{Reply: reply, DaemonsInForce: uint32(inForce), Daemons: uint32(daemons)}
		}
		time.Sleep(inForcePoll)
	}
}

// Show returns the accepted configuration.
func (o *operator) Show(ctx context.Context, _ *controlpb.ShowRequest) (*controlpb.ShowReply, error) {
	var view *state.View
	if err := o.read(ctx, func(c *core) { view = c.machine.View() }); err != nil {
		return nil, err
	}
	digest := view.Digest()
	reply := &controlpb.ShowReply{Version: view.Version, Digest: digest[:]}
	for _, f := range view.Folder.Files() {
		reply.Files = append(reply.Files, &controlpb.File{Name: f.Name, Data: f.Data})
	}
	return reply, nil
}

// read runs a function on state that is current.
func (o *operator) read(ctx context.Context, f func(*core)) error {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	if o.r.current(ctx) != nil || o.r.do(ctx, f) != nil {
		return noMajority()
	}
	return nil
}

// History returns accepted changes, latest first.
func (o *operator) History(ctx context.Context, q *controlpb.HistoryRequest) (*controlpb.HistoryReply, error) {
	limit := int(min(q.GetLimit(), historyLimit))
	if limit == 0 {
		limit = historyLimit
	}
	var reply *controlpb.HistoryReply
	err := o.read(ctx, func(c *core) { reply = c.machine.History(q.GetBeforeVersion(), limit) })
	return reply, err
}

// Totals returns daily counters of all replicas. It names those that did not answer.
func (o *operator) Totals(ctx context.Context, q *controlpb.TotalsRequest) (*controlpb.TotalsReply, error) {
	from, to := totals.Day(math.MinInt32), totals.Day(math.MaxInt32)
	for _, bound := range []struct {
		text string
		day  *totals.Day
	}{{q.GetFromDay(), &from}, {q.GetToDay(), &to}} {
		if bound.text == "" {
			continue
		}
		day, err := totals.ParseDay(bound.text)
		if err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		*bound.day = day
	}
	days, missing := o.r.collect(ctx, totals.Query{From: from, To: to, User: q.GetUser()})
	return &controlpb.TotalsReply{Days: days, MissingReplicas: missing}, nil
}

// RotateKeys adds a token key.
func (o *operator) RotateKeys(ctx context.Context, q *controlpb.RotateKeysRequest) (*controlpb.ChangeReply, error) {
	reply, err := o.r.atLeader(ctx, func(ctx context.Context) (*controlpb.Reply, error) {
		e := rotation(q.GetChangeId(), q.GetOperator())
		if err := o.r.checkDaemons(ctx, e, false); err != nil {
			return nil, err
		}
		return decided(o.r.change(ctx, e))
	}, func(ctx context.Context, c controlpb.OperatorClient) (*controlpb.Reply, error) {
		reply, err := c.RotateKeys(ctx, q)
		return reply.GetReply(), err
	})
	return &controlpb.ChangeReply{Reply: reply}, err
}

func rotation(changeID, operator string) *controlpb.Entry {
	secret := make([]byte, keySize)
	rand.Read(secret) // never fails
	return &controlpb.Entry{
		ChangeId: changeID, Operator: operator, Summary: "rotate token keys",
		Body: &controlpb.Entry_Rotation{Rotation: &controlpb.KeyRotation{Secret: secret}},
	}
}

// ReplaceReplica starts the replacement of a replica; the leader carries it out.
func (o *operator) ReplaceReplica(ctx context.Context, q *controlpb.ReplaceReplicaRequest) (*controlpb.ChangeReply, error) {
	reply, err := o.r.atLeader(ctx, func(ctx context.Context) (*controlpb.Reply, error) {
		return decided(o.r.change(ctx, &controlpb.Entry{
			ChangeId: q.GetChangeId(), Operator: q.GetOperator(), Summary: "replace replica " + q.GetLeaving(),
			Body: &controlpb.Entry_Replacement{Replacement: &controlpb.Replacement{Leaving: q.GetLeaving(), Joining: q.GetJoining()}},
		}))
	}, func(ctx context.Context, c controlpb.OperatorClient) (*controlpb.Reply, error) {
		reply, err := c.ReplaceReplica(ctx, q)
		return reply.GetReply(), err
	})
	return &controlpb.ChangeReply{Reply: reply}, err
}

// CancelReplacement gives up the replacement in progress; the leader takes the joining replica out
// again. It is refused once the leaving one was removed: the group would lose both.
func (o *operator) CancelReplacement(ctx context.Context, q *controlpb.CancelReplacementRequest) (*controlpb.ChangeReply, error) {
	reply, err := o.r.atLeader(ctx, func(ctx context.Context) (*controlpb.Reply, error) {
		if err := o.r.checkCancellation(ctx, q.GetLeaving()); err != nil {
			return nil, err
		}
		return decided(o.r.change(ctx, &controlpb.Entry{
			ChangeId: q.GetChangeId(), Operator: q.GetOperator(), Summary: "cancel the replacement of " + q.GetLeaving(),
			Body: &controlpb.Entry_Cancellation{Cancellation: &controlpb.Cancellation{Leaving: q.GetLeaving()}},
		}))
	}, func(ctx context.Context, c controlpb.OperatorClient) (*controlpb.Reply, error) {
		reply, err := c.CancelReplacement(ctx, q)
		return reply.GetReply(), err
	})
	return &controlpb.ChangeReply{Reply: reply}, err
}
