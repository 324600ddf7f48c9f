package state

import (
	"fmt"
	"time"

	"rosemarygate/api/control/v1"
)

// RefusedError is the error for a refused change.
type RefusedError struct{ Refusal *controlpb.Refusal }

// ReplyError returns the refusal of a reply as a *RefusedError, or nil if the change was accepted.
func ReplyError(r *controlpb.Reply) error {
	if r.GetRefusal() == nil {
		return nil
	}
	return &RefusedError{r.GetRefusal()}
}

// Error returns the reason and the remedy.
func (e *RefusedError) Error() string {
	r := e.Refusal
	switch r.GetKind() {
	case controlpb.Refusal_KIND_MALFORMED:
		if r.GetFile() != "" {
			return fmt.Sprintf("change is malformed at file %q: %s", r.GetFile(), r.GetDetail())
		}
		return "change is malformed: " + r.GetDetail()
	case controlpb.Refusal_KIND_INVALID_CONFIGURATION:
		return "configuration with this change is not valid: " + r.GetDetail()
	case controlpb.Refusal_KIND_NUMBER_TAKEN:
		return fmt.Sprintf("number of file %q is taken by %q: use the next free number %s", r.GetFile(), r.GetHolder(), r.GetNextFreeNumber())
	case controlpb.Refusal_KIND_CONTENT_CHANGED:
		return fmt.Sprintf("file %q has changed since it was read; the current version is %d: fetch the folder and make the change again", r.GetFile(), r.GetCurrentVersion())
	case controlpb.Refusal_KIND_CHANGE_ID_REUSED:
		return "change id was used for another change: send this one with a new change id"
	case controlpb.Refusal_KIND_BASE_TOO_OLD:
		return fmt.Sprintf("base version is too old to tell whether the change was sent before; the current version is %d: fetch the folder, look for the change in the history, and make it again", r.GetCurrentVersion())
	case controlpb.Refusal_KIND_BASE_UNKNOWN:
		if r.GetDetail() != "" {
			return fmt.Sprintf("base version is unknown, since %s; the current version is %d: fetch the folder and make the change again", r.GetDetail(), r.GetCurrentVersion())
		}
		return fmt.Sprintf("base version is newer than the current version %d: fetch the folder from this system", r.GetCurrentVersion())
	case controlpb.Refusal_KIND_ROTATION_TOO_SOON:
		return fmt.Sprintf("last key rotation is too recent for all flows to have a new token: rotate again after %s", time.UnixMilli(r.GetNotBeforeUnixMs()).UTC().Format(time.RFC3339))
	case controlpb.Refusal_KIND_REPLACEMENT_CONFLICT:
		return "replica cannot be replaced: " + r.GetDetail()
	case controlpb.Refusal_KIND_DAEMONS_AHEAD:
		return fmt.Sprintf("%s, newer than the current version %d, which comes from an older copy: write a daemon's copy into a folder with "+
			"\"config export\", compare it with the accepted folder, and push with --replace-newer", r.GetDetail(), r.GetCurrentVersion())
	case controlpb.Refusal_KIND_NO_MAJORITY:
		return "no majority of the control replicas can be reached; nothing was changed and daemons serve on: " +
			"repair the connection to the other replicas, or send the request to a replica on the side that has the majority"
	case controlpb.Refusal_KIND_OUTCOME_UNKNOWN:
		return "connection to the majority was lost before the change was confirmed, so it may have been accepted: " +
			"send it again with the same change id to learn the outcome"
	default:
		return "change was refused for a reason that this release does not know: upgrade the command"
	}
}
