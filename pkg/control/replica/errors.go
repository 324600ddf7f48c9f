package replica

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/state"
)

var (
	errLeadershipEnded = errors.New("leadership ended before the change was confirmed")
	errRemoved         = status.Error(codes.Unavailable, "replica was removed from its group and gets no changes: watch another replica, and correct control.replicas in the daemon's settings")
	errStalled         = status.Error(codes.Unavailable, "disk of the replica does not answer, so it gets no changes: watch another replica, and check the disk of its data folder")
	errLeaderless      = status.Error(codes.Unavailable, "replica has no leader and gets no changes: watch another replica, or wait until a majority of the replicas runs")
)

// refusalError returns a gRPC error with the refusal as a detail.
func refusalError(code codes.Code, r *controlpb.Refusal) error {
	st := status.New(code, (&state.RefusedError{Refusal: r}).Error())
	if detailed, err := st.WithDetails(r); err == nil {
		st = detailed
	}
	return st.Err()
}

func daemonsAheadError(newest, current uint64) error {
	return refusalError(codes.FailedPrecondition, &controlpb.Refusal{
		Kind: controlpb.Refusal_KIND_DAEMONS_AHEAD, CurrentVersion: current,
		Detail: fmt.Sprintf("daemons have version %d in force", newest),
	})
}

func noMajorityError() error {
	return refusalError(codes.Unavailable, &controlpb.Refusal{Kind: controlpb.Refusal_KIND_NO_MAJORITY})
}

func outcomeUnknownError() error {
	return refusalError(codes.DeadlineExceeded, &controlpb.Refusal{Kind: controlpb.Refusal_KIND_OUTCOME_UNKNOWN})
}

// RefusalOf returns the refusal in the details of a gRPC error as a *state.RefusedError. It returns
// other errors unchanged.
func RefusalOf(err error) error {
	if st, ok := status.FromError(err); ok {
		for _, d := range st.Details() {
			if r, ok := d.(*controlpb.Refusal); ok {
				return &state.RefusedError{Refusal: r}
			}
		}
	}
	return err
}

// isFinalRefusal reports whether an error is a final decision, so that a retry is useless.
func isFinalRefusal(err error) bool {
	switch refusalKind(err) {
	case controlpb.Refusal_KIND_UNSPECIFIED, controlpb.Refusal_KIND_NO_MAJORITY, controlpb.Refusal_KIND_OUTCOME_UNKNOWN:
		return false
	}
	return true
}

func refusalKind(err error) controlpb.Refusal_Kind {
	var refused *state.RefusedError
	if !errors.As(RefusalOf(err), &refused) {
		return controlpb.Refusal_KIND_UNSPECIFIED
	}
	return refused.Refusal.GetKind()
}

// isOutcomeUncertain reports whether a change may have been accepted despite the error.
func isOutcomeUncertain(err error) bool {
	if kind := refusalKind(err); kind != controlpb.Refusal_KIND_UNSPECIFIED {
		return kind == controlpb.Refusal_KIND_OUTCOME_UNKNOWN
	}
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		return true
	}
	return errors.Is(err, context.DeadlineExceeded)
}
