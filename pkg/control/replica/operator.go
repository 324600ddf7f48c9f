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

// operatorServer implements the service for the operators' commands.
type operatorServer struct {
	controlpb.UnimplementedOperatorServer
	r *Replica
}

// Push proposes a change of files and waits, up to the requested time, until all daemons have it in force.
func (o *operatorServer) Push(ctx context.Context, req *controlpb.PushRequest) (*controlpb.PushReply, error) {
	reply, err := o.r.changeAtLeader(ctx, func(ctx context.Context) (*controlpb.Reply, error) {
		e := &controlpb.Entry{
			ChangeId: req.GetChangeId(), Operator: req.GetOperator(), Summary: req.GetSummary(),
			Body: &controlpb.Entry_Push{Push: req.GetPush()},
		}
		if err := o.r.checkDaemonVersions(ctx, e, req.GetReplaceNewer()); err != nil {
			return nil, err
		}
		return refusalAsError(o.r.proposeAndWait(ctx, e))
	}, func(ctx context.Context, c controlpb.OperatorClient) (*controlpb.Reply, error) {
		reply, err := c.Push(ctx, &controlpb.PushRequest{
			ChangeId: req.GetChangeId(), Operator: req.GetOperator(), Summary: req.GetSummary(), Push: req.GetPush(),
			ReplaceNewer: req.GetReplaceNewer(),
		})
		return reply.GetReply(), err
	})
	if err != nil {
		return nil, err
	}
	return o.r.awaitInForce(ctx, reply, time.Duration(req.GetWaitMs())*time.Millisecond), nil
}

// checkDaemonVersions refuses a change while daemons have a newer version in force than the replicas,
// because the change would undo that version, unless the operator sets replaceNewer. Daemons have only
// accepted versions in force, so this happens only after the replicas lost some of them. A change that
// is decided without a new entry, such as a resent one, undoes nothing.
func (r *Replica) checkDaemonVersions(ctx context.Context, e *controlpb.Entry, replaceNewer bool) error {
	newest := r.distributor.newestVersion()
	if replaceNewer || newest <= r.Status().Version {
		return nil
	}
	if err := r.waitUntilCurrent(ctx); err != nil {
		return noMajorityError()
	}
	var version uint64
	var hasFinalReply bool
	err := r.runOnCore(ctx, func(c *core) {
		version = c.machine.View().Version
		e.TimeUnixMs = time.Now().UnixMilli() // Check compares it with the earliest time of a rotation
		hasFinalReply = c.machine.Check(e) != nil
	})
	if err != nil {
		return noMajorityError()
	}
	if hasFinalReply || newest <= version {
		return nil
	}
	return daemonsAheadError(newest, version)
}

// refusalAsError returns a gRPC error if the reply is a refusal.
func refusalAsError(reply *controlpb.Reply, err error) (*controlpb.Reply, error) {
	if err == nil && reply.GetRefusal() != nil {
		err = refusalError(codes.FailedPrecondition, reply.GetRefusal())
	}
	return reply, err
}

// awaitInForce waits until every daemon has the version of the reply in force, at most for the given
// time.
func (r *Replica) awaitInForce(ctx context.Context, reply *controlpb.Reply, wait time.Duration) *controlpb.PushReply {
	deadline := time.Now().Add(wait)
	for {
		inForce, daemons, final := r.distributor.countInForce(reply.GetVersion())
		if final && inForce == daemons && daemons > 0 || !time.Now().Before(deadline) || ctx.Err() != nil {
			return &controlpb.PushReply{Reply: reply, DaemonsInForce: uint32(inForce), Daemons: uint32(daemons)}
		}
		time.Sleep(inForcePoll)
	}
}

// Show returns the accepted configuration.
func (o *operatorServer) Show(ctx context.Context, _ *controlpb.ShowRequest) (*controlpb.ShowReply, error) {
	var view *state.View
	if err := o.readCurrent(ctx, func(c *core) { view = c.machine.View() }); err != nil {
		return nil, err
	}
	digest := view.Digest()
	reply := &controlpb.ShowReply{Version: view.Version, Digest: digest[:]}
	for _, f := range view.Folder.Files() {
		reply.Files = append(reply.Files, &controlpb.File{Name: f.Name, Data: f.Data})
	}
	return reply, nil
}

// readCurrent runs a function on the core after the applied state was confirmed to be current.
func (o *operatorServer) readCurrent(ctx context.Context, f func(*core)) error {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	if o.r.waitUntilCurrent(ctx) != nil || o.r.runOnCore(ctx, f) != nil {
		return noMajorityError()
	}
	return nil
}

// History returns accepted changes, latest first.
func (o *operatorServer) History(ctx context.Context, req *controlpb.HistoryRequest) (*controlpb.HistoryReply, error) {
	limit := int(min(req.GetLimit(), historyLimit))
	if limit == 0 {
		limit = historyLimit
	}
	var reply *controlpb.HistoryReply
	err := o.readCurrent(ctx, func(c *core) { reply = c.machine.History(req.GetBeforeVersion(), limit) })
	return reply, err
}

// Totals returns the daily counters of all replicas, and the names of the replicas that failed to
// answer.
func (o *operatorServer) Totals(ctx context.Context, req *controlpb.TotalsRequest) (*controlpb.TotalsReply, error) {
	from, to := totals.Day(math.MinInt32), totals.Day(math.MaxInt32)
	for _, bound := range []struct {
		text string
		day  *totals.Day
	}{{req.GetFromDay(), &from}, {req.GetToDay(), &to}} {
		if bound.text == "" {
			continue
		}
		day, err := totals.ParseDay(bound.text)
		if err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		*bound.day = day
	}
	days, missing := o.r.collectTotals(ctx, totals.Query{From: from, To: to, User: req.GetUser()})
	return &controlpb.TotalsReply{Days: days, MissingReplicas: missing}, nil
}

// RotateKeys adds a token key.
func (o *operatorServer) RotateKeys(ctx context.Context, req *controlpb.RotateKeysRequest) (*controlpb.ChangeReply, error) {
	reply, err := o.r.changeAtLeader(ctx, func(ctx context.Context) (*controlpb.Reply, error) {
		e := rotationEntry(req.GetChangeId(), req.GetOperator())
		if err := o.r.checkDaemonVersions(ctx, e, false); err != nil {
			return nil, err
		}
		return refusalAsError(o.r.proposeAndWait(ctx, e))
	}, func(ctx context.Context, c controlpb.OperatorClient) (*controlpb.Reply, error) {
		reply, err := c.RotateKeys(ctx, req)
		return reply.GetReply(), err
	})
	return &controlpb.ChangeReply{Reply: reply}, err
}

func rotationEntry(changeID, operator string) *controlpb.Entry {
	secret := make([]byte, keySize)
	rand.Read(secret) // never fails
	return &controlpb.Entry{
		ChangeId: changeID, Operator: operator, Summary: "rotate token keys",
		Body: &controlpb.Entry_Rotation{Rotation: &controlpb.KeyRotation{Secret: secret}},
	}
}

// ReplaceReplica starts the replacement of a replica, which the leader then performs.
func (o *operatorServer) ReplaceReplica(ctx context.Context, req *controlpb.ReplaceReplicaRequest) (*controlpb.ChangeReply, error) {
	reply, err := o.r.changeAtLeader(ctx, func(ctx context.Context) (*controlpb.Reply, error) {
		return refusalAsError(o.r.proposeAndWait(ctx, &controlpb.Entry{
			ChangeId: req.GetChangeId(), Operator: req.GetOperator(), Summary: "replace replica " + req.GetLeaving(),
			Body: &controlpb.Entry_Replacement{Replacement: &controlpb.Replacement{Leaving: req.GetLeaving(), Joining: req.GetJoining()}},
		}))
	}, func(ctx context.Context, c controlpb.OperatorClient) (*controlpb.Reply, error) {
		reply, err := c.ReplaceReplica(ctx, req)
		return reply.GetReply(), err
	})
	return &controlpb.ChangeReply{Reply: reply}, err
}

// CancelReplacement cancels the replacement in progress; the leader then removes the joining replica.
// It is refused if the leaving replica was already removed, because the group would lose both.
func (o *operatorServer) CancelReplacement(ctx context.Context, req *controlpb.CancelReplacementRequest) (*controlpb.ChangeReply, error) {
	reply, err := o.r.changeAtLeader(ctx, func(ctx context.Context) (*controlpb.Reply, error) {
		if err := o.r.checkCancellation(ctx, req.GetLeaving()); err != nil {
			return nil, err
		}
		return refusalAsError(o.r.proposeAndWait(ctx, &controlpb.Entry{
			ChangeId: req.GetChangeId(), Operator: req.GetOperator(), Summary: "cancel the replacement of " + req.GetLeaving(),
			Body: &controlpb.Entry_Cancellation{Cancellation: &controlpb.Cancellation{Leaving: req.GetLeaving()}},
		}))
	}, func(ctx context.Context, c controlpb.OperatorClient) (*controlpb.Reply, error) {
		reply, err := c.CancelReplacement(ctx, req)
		return reply.GetReply(), err
	})
	return &controlpb.ChangeReply{Reply: reply}, err
}
