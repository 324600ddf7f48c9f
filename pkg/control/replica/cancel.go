package replica

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/ident"
)

// replaced reports whether the leaving replica of a replacement is out of the membership already. A
// host that is replaced by itself is, as soon as its later incarnation is a learner.
func replaced(x *controlpb.Replacement, members agreement.Membership) bool {
	m, present := members.Find(ident.Daemon(x.GetLeaving()))
	if x.GetLeaving() == x.GetJoining().GetName() {
		return present && !m.Voter
	}
	return !present
}

// checkCancellation refuses to cancel a replacement whose leaving replica was removed.
func (r *Replica) checkCancellation(ctx context.Context, leaving string) error {
	var tooLate bool
	err := r.do(ctx, func(c *core) {
		x := c.machine.Replacement()
		tooLate = x.GetLeaving() == leaving && x != nil && replaced(x, c.node.Status().Membership)
	})
	if err != nil {
		return noMajority()
	}
	if !tooLate {
		return nil
	}
	return refusal(codes.FailedPrecondition, &controlpb.Refusal{
		Kind: controlpb.Refusal_KIND_REPLACEMENT_CONFLICT,
		Detail: "replica " + leaving + " was removed already, so the replacement cannot be cancelled: " +
			"wait for its end in config history, then replace the new replica",
	})
}

// cancel takes the next step of a cancelled replacement: the joining replica is removed, then the
// outcome entered. It does nothing and returns false once the leaving replica is removed, which can
// happen just before the cancellation is accepted; the replacement then has to be completed.
func (r *Replica) cancel(ctx context.Context, x *controlpb.Replacement) bool {
	joining := ident.Daemon(x.GetJoining().GetName())
	itself := x.GetJoining().GetName() == x.GetLeaving()
	tooLate, ended := false, false
	err := r.do(ctx, func(c *core) {
		members := c.node.Status().Membership
		m, known := members.Find(joining)
		switch {
		case replaced(x, members):
			tooLate = true
		case !known || itself:
			ended = true
		case joining == r.id:
			c.transfer()
		default:
			// A refusal means that a change is in progress or that voters are silent; the next step tries again.
			_, _ = c.node.ProposeChange(agreement.Change{Kind: agreement.Remove, Replica: m.Replica})
		}
	})
	if err == nil && ended {
		r.enterOutcome(ctx, x, false)
	}
	return !tooLate
}

// enterOutcome ends a replacement in the log. The entry follows the membership change that it
// stands for, so it is accepted only after that one.
func (r *Replica) enterOutcome(ctx context.Context, x *controlpb.Replacement, completed bool) {
	summary, what := "replacement completed", "replaced"
	if !completed {
		summary, what = "replacement cancelled", "cancelled"
	}
	outcome := &controlpb.ReplacementOutcome{Joining: x.GetJoining().GetName(), Completed: completed}
	r.changeOwn(ctx, &controlpb.Entry{
		ChangeId: fmt.Sprintf("%s %s by %s at %d", what, x.GetLeaving(), outcome.GetJoining(), time.Now().UnixNano()),
		Summary:  summary, Body: &controlpb.Entry_Outcome{Outcome: outcome},
	})
}
