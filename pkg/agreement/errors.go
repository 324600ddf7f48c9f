package agreement

import "github.com/pkg/errors"

// Errors of this package; each message states the remedy.
var (
	ErrNotLeader      = errors.New("this replica is not the leader: send the request to the leader that Status names")
	ErrNoLeader       = errors.New("no leader is known: retry after an election timeout")
	ErrTransferring   = errors.New("leadership is being transferred: retry at the new leader")
	ErrOverloaded     = errors.New("too many proposals are not yet committed: retry later")
	ErrTooLarge       = errors.New("proposal exceeds the size limit: split the change")
	ErrChangePending  = errors.New("a membership change is in progress: retry when it is committed")
	ErrLeaderNotReady = errors.New("the leader has not committed an entry of its term: retry shortly")
	ErrNotCaughtUp    = errors.New("the learner has not caught up: retry later")
	ErrQuorumAtRisk   = errors.New("too few of the remaining voters have answered recently: repair them first, or retry shortly")
	ErrUnknownMember  = errors.New("the replica is not a member with that incarnation: check the member list")
	ErrStaleReplica   = errors.New("the group has this or a later incarnation of the replica: start it with an empty data folder and a larger incarnation")
	ErrLastVoter      = errors.New("the group's last voter cannot be removed: add another replica first")
	ErrOtherReplica   = errors.New("message is for another replica or incarnation: ignored, the sender receives the new member list from the leader")
	ErrInvalidMessage = errors.New("message is inconsistent in itself or with the log: check that both hosts run compatible versions")
	ErrOtherGroup     = errors.New("message is from another group: check that both hosts have the same replica list")
	ErrDiverged       = errors.New("the log conflicts with committed entries: remove the data folder, the replica then rejoins as a learner")
	ErrBadState       = errors.New("the durable state is inconsistent: remove the data folder, the replica then rejoins as a learner")
	ErrBadConfig      = errors.New("invalid node configuration: correct the settings")
	ErrCompacted      = errors.New("the index is not between the last snapshot and the applied index: take the snapshot at the applied index")
)
