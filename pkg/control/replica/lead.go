package replica

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/ident"
)

// systemOperator is the operator of changes that the replicas make themselves.
const systemOperator = "rosemarygate"

// startLeaderStep starts the next step of the leader's background work: the first entries of the log
// or a replacement. Only one step runs at a time.
func (c *core) startLeaderStep() {
	if c.node.Status().Role != agreement.Leader || c.r.leaderStepRunning.Load() {
		return
	}
	var step func(context.Context)
	switch {
	case len(c.machine.Replicas()) == 0:
		step = c.r.enterFirstReplicas
	case len(c.machine.View().Keys) == 0:
		step = c.r.enterFirstKey
	case c.machine.Replacement() != nil:
		replacement := c.machine.Replacement()
		step = func(ctx context.Context) { c.r.advanceReplacement(ctx, replacement) }
	default:
		return
	}
	c.r.leaderStepRunning.Store(true)
	go func() {
		defer c.r.leaderStepRunning.Store(false)
		ctx, cancel := context.WithTimeout(c.r.ctx, decisionTimeout)
		defer cancel()
		step(ctx)
	}()
}

// changeAsSystem makes a change on behalf of the replicas themselves and logs a failure.
func (r *Replica) changeAsSystem(ctx context.Context, e *controlpb.Entry) {
	e.Operator = systemOperator
	if _, err := refusalAsError(r.proposeAndWait(ctx, e)); err != nil {
		events.SystemChangeFailed.Log(r.log, logrus.Fields{"change": e.GetChangeId(), "error": err})
	}
}

// enterFirstReplicas enters the replicas in the settings into the log.
func (r *Replica) enterFirstReplicas(ctx context.Context) {
	body := &controlpb.Entry_Bootstrap{Bootstrap: &controlpb.Bootstrap{Replicas: r.cfg.Replicas}}
	r.changeAsSystem(ctx, &controlpb.Entry{ChangeId: "bootstrap", Summary: "first replicas", Body: body})
}

// enterFirstKey enters the first token key before any configuration is accepted. A first key that came
// later would invalidate the tokens signed without it.
func (r *Replica) enterFirstKey(ctx context.Context) {
	r.changeAsSystem(ctx, rotationEntry("first token key", systemOperator))
}

// advanceReplacement performs the next step of a replacement: the joining replica is added as a learner,
// the node promotes it when it has caught up, the leaving replica is removed, and the outcome is
// entered into the log.
func (r *Replica) advanceReplacement(ctx context.Context, replacement *controlpb.Replacement) {
	defer time.Sleep(leaderPoll)
	if replacement.GetCancelled() && r.advanceCancellation(ctx, replacement) {
		return
	}
	joining := ident.Daemon(replacement.GetJoining().GetName())
	leaving := ident.Daemon(replacement.GetLeaving())
	answer := r.identify(ctx, replacement.GetJoining())
	var completed bool
	err := r.runOnCore(ctx, func(c *core) {
		members := c.node.Status().Membership
		joiningMember, joiningIsMember := members.Find(joining)
		leavingMember, leavingIsMember := members.Find(leaving)
		switch {
		case answer == nil:
		case answer.GetGroup() != 0 && answer.GetGroup() != c.group: // its data folder belongs to another group
		case !joiningIsMember || uint64(joiningMember.Replica.Incarnation) < answer.GetIncarnation():
			added := agreement.Replica{ID: joining, Incarnation: ident.Incarnation(answer.GetIncarnation())}
			_, _ = c.node.ProposeChange(agreement.Change{Kind: agreement.AddLearner, Replica: added})
		case !joiningMember.Voter:
		case leavingIsMember && leaving != joining && leaving == r.id:
			c.transferLeadership()
		case leavingIsMember && leaving != joining:
			// An error means that a membership change is in progress or that voters do not respond; the
			// next step retries.
			_, _ = c.node.ProposeChange(agreement.Change{Kind: agreement.Remove, Replica: leavingMember.Replica})
		default:
			completed = true
		}
	})
	if err != nil || !completed {
		return
	}
	r.enterOutcome(ctx, replacement, true)
}
