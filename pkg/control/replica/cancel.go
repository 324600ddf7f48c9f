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

// isLeavingRemoved reports whether the leaving replica is no longer a member. If a host is replaced by
// itself, this holds as soon as its new incarnation is a learner.
func isLeavingRemoved(replacement *controlpb.Replacement, members agreement.Membership) bool {
	leavingMember, present := members.Find(ident.Daemon(replacement.GetLeaving()))
	if replacement.GetLeaving() == replacement.GetJoining().GetName() {
		return present && !leavingMember.Voter
	}
	return !present
}

// checkCancellation refuses to cancel a replacement whose leaving replica was already removed.
func (r *Replica) checkCancellation(ctx context.Context, leaving string) error {
	var leavingRemoved bool
	err := r.runOnCore(ctx, func(c *core) {
		replacement := c.machine.Replacement()
		leavingRemoved = replacement.GetLeaving() == leaving && replacement != nil && isLeavingRemoved(replacement, c.node.Status().Membership)
	})
	if err != nil {
		return noMajorityError()
	}
	if !leavingRemoved {
		return nil
	}
	return refusalError(codes.FailedPrecondition, &controlpb.Refusal{
		Kind: controlpb.Refusal_KIND_REPLACEMENT_CONFLICT,
		Detail: "replica " + leaving + " was removed already, so the replacement cannot be cancelled: " +
			"wait for its end in config history, then replace the new replica",
	})
}

// advanceCancellation performs the next step of a cancelled replacement: it removes the joining replica,
// then enters the outcome into the log. It does nothing and returns false if the leaving replica was
// removed, which can happen just before the cancellation is accepted; the replacement then has to be
// completed.
func (r *Replica) advanceCancellation(ctx context.Context, replacement *controlpb.Replacement) bool {
	joining := ident.Daemon(replacement.GetJoining().GetName())
	sameHost := replacement.GetJoining().GetName() == replacement.GetLeaving()
	leavingRemoved, joiningRemoved := false, false
	err := r.runOnCore(ctx, func(c *core) {
		members := c.node.Status().Membership
		joiningMember, joiningIsMember := members.Find(joining)
		switch {
		case isLeavingRemoved(replacement, members):
			leavingRemoved = true
		case !joiningIsMember || sameHost:
			joiningRemoved = true
		case joining == r.id:
			c.transferLeadership()
		default:
			// An error means that a membership change is in progress or that voters do not respond; the
			// next step retries.
			_, _ = c.node.ProposeChange(agreement.Change{Kind: agreement.Remove, Replica: joiningMember.Replica})
		}
	})
	if err == nil && joiningRemoved {
		r.enterOutcome(ctx, replacement, false)
	}
	return !leavingRemoved
}

// enterOutcome enters the outcome of a replacement into the log. The entry follows the membership
// change in the log, so it is accepted only after that change.
func (r *Replica) enterOutcome(ctx context.Context, replacement *controlpb.Replacement, completed bool) {
	summary, verb := "replacement completed", "replaced"
	if !completed {
		summary, verb = "replacement cancelled", "cancelled"
	}
	outcome := &controlpb.ReplacementOutcome{Joining: replacement.GetJoining().GetName(), Completed: completed}
	r.changeAsSystem(ctx, &controlpb.Entry{
		ChangeId: fmt.Sprintf("%s %s by %s at %d", verb, replacement.GetLeaving(), outcome.GetJoining(), time.Now().UnixNano()),
		Summary:  summary, Body: &controlpb.Entry_Outcome{Outcome: outcome},
	})
}
