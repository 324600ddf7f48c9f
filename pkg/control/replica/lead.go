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

// systemOperator names the changes that the replicas make themselves.
const systemOperator = "rosemarygate"

// lead starts what the leader has to do besides answering requests, one step at a time.
func (c *core) lead() {
	if c.node.Status().Role != agreement.Leader || c.r.driving.Load() {
		return
	}
	var step func(context.Context)
	switch {
	case len(c.machine.Replicas()) == 0:
		step = c.r.bootstrap
	case len(c.machine.View().Keys) == 0:
		step = c.r.firstKey
	case c.machine.Replacement() != nil:
		x := c.machine.Replacement()
		step = func(ctx context.Context) { c.r.replace(ctx, x) }
	default:
		return
	}
	c.r.driving.Store(true)
	go func() {
		defer c.r.driving.Store(false)
		ctx, cancel := context.WithTimeout(c.r.ctx, decisionTimeout)
		defer cancel()
		step(ctx)
	}()
}

// changeOwn makes a change of the replicas' own and logs a refusal.
func (r *Replica) changeOwn(ctx context.Context, e *controlpb.Entry) {
	e.Operator = systemOperator
	if _, err := decided(r.change(ctx, e)); err != nil {
		events.OwnChangeFailed.Log(r.log, logrus.Fields{"change": e.GetChangeId(), "error": err})
	}
}

// bootstrap enters the replicas of the settings into the log.
func (r *Replica) bootstrap(ctx context.Context) {
	body := &controlpb.Entry_Bootstrap{Bootstrap: &controlpb.Bootstrap{Replicas: r.cfg.Replicas}}
	r.changeOwn(ctx, &controlpb.Entry{ChangeId: "bootstrap", Summary: "first replicas", Body: body})
}

// firstKey enters the first token key before any configuration is accepted: a later first key
// would make the tokens that were signed without it invalid.
func (r *Replica) firstKey(ctx context.Context) {
	r.changeOwn(ctx, rotation("first token key", systemOperator))
}

// replace takes the next step of a replacement: the joining replica becomes a learner, the node
// promotes it when it has caught up, then the leaving one is removed and the outcome entered.
func (r *Replica) replace(ctx context.Context, x *controlpb.Replacement) {
	defer time.Sleep(leaderPoll)
	if x.GetCancelled() && r.cancel(ctx, x) {
		return
	}
	joining := ident.Daemon(x.GetJoining().GetName())
	leaving := ident.Daemon(x.GetLeaving())
	answer := r.identify(ctx, x.GetJoining())
	var ended bool
	err := r.do(ctx, func(c *core) {
		members := c.node.Status().Membership
		m, known := members.Find(joining)
		old, present := members.Find(leaving)
		switch {
		case answer == nil:
		case answer.GetGroup() != 0 && answer.GetGroup() != c.group: // its files are those of another group
		case !known || uint64(m.Replica.Incarnation) < answer.GetIncarnation():
			added := agreement.Replica{ID: joining, Incarnation: ident.Incarnation(answer.GetIncarnation())}
			_, _ = c.node.ProposeChange(agreement.Change{Kind: agreement.AddLearner, Replica: added})
		case !m.Voter:
		case present && leaving != joining && leaving == r.id:
			c.transfer()
		case present && leaving != joining:
			// A refusal means that a change is in progress or that voters are silent; the next step tries again.
			_, _ = c.node.ProposeChange(agreement.Change{Kind: agreement.Remove, Replica: old.Replica})
		default:
			ended = true
		}
	})
	if err != nil || !ended {
		return
	}
	r.enterOutcome(ctx, x, true)
}
