// Package state is the replicated state machine of the control replicas: the accepted
// configuration, its change log, the first replies to recent changes, the token keys and
// the set of replicas.
//
// Applying the same log entries gives the same state and the same snapshot bytes on every
// replica; the package uses no clock and no random numbers.
package state

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/folder"
)

// Rules are the checks that depend on the content of the configuration. They must be
// deterministic, including the texts of their errors. They run on all files for each change;
// files are immutable, so results can be cached by their pointers.
type Rules struct {
	// Validate returns an error if the files are not a valid configuration.
	Validate func(files []*folder.File) error
	// LongestKeepAlive returns the longest keep-alive interval of any flow, in whole
	// milliseconds.
	LongestKeepAlive func(files []*folder.File) time.Duration
}

// View is the content that daemons receive. It is immutable.
type View struct {
	Version     uint64 // index of the last accepted change of the content; 0 before the first
	Folder      *folder.Folder
	Keys        []*controlpb.TokenKey // oldest first, at most two
	KeysVersion uint64                // version of the last key rotation
	// Digest returns the digest of the files and keys. It is computed at the first call,
	// because the replay of a log does not need it.
	Digest func() folder.Sum
}

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	rules       Rules
	applied     uint64
	view        *View
	lastKeyID   uint32
	lastRotated int64 // Unix milliseconds; 0 before the first rotation
	keepAlive   keepAliveMaxima
	history     history
	replies     replyCache
	replicas    []*controlpb.ReplicaHost
	replacement *controlpb.Replacement
	recoveries  []*controlpb.Recovery // oldest first
}

// New returns an empty machine.
func New(rules Rules) *Machine {
	return newMachine(rules, maxHistory, maxReplies)
}

func newMachine(rules Rules, maxHistory, maxReplies int) *Machine {
	return &Machine{
		rules:   rules,
		view:    newView(0, folder.New(nil, nil, 0), nil, 0),
		history: history{limit: maxHistory},
		replies: newReplyCache(maxReplies),
	}
}

func newView(version uint64, f *folder.Folder, keys []*controlpb.TokenKey, keysVersion uint64) *View {
	digest := sync.OnceValue(func() folder.Sum { return f.Digest(keys) })
	return &View{Version: version, Folder: f, Keys: keys, KeysVersion: keysVersion, Digest: digest}
}

// View returns the accepted content.
func (m *Machine) View() *View { return m.view }

// Applied returns the index of the last applied entry.
func (m *Machine) Applied() uint64 { return m.applied }

// Replicas returns the control replicas by name. The caller must not change them.
func (m *Machine) Replicas() []*controlpb.ReplicaHost { return m.replicas }

// Replacement returns the replacement in progress, or nil.
func (m *Machine) Replacement() *controlpb.Replacement { return m.replacement }

// Check evaluates an entry before it is proposed. It returns nil if the entry may be proposed,
// otherwise the final reply to it. It reads the applied state, so a refusal is valid only if
// the replica's state was confirmed to be current.
func (m *Machine) Check(e *controlpb.Entry) *controlpb.Reply {
	if reply := m.precheck(e); reply != nil {
		return reply
	}
	_, reply := m.evaluate(m.applied+1, e)
	if reply.GetRefusal() != nil || reply.GetUnchanged() {
		return reply
	}
	return nil
}

// Apply applies a committed entry. The reply is nil for an entry without data, which a new
// leader appends. After an error the replica cannot apply the log any further and has to stop.
func (m *Machine) Apply(index uint64, data []byte) (*controlpb.Reply, error) {
	if index <= m.applied {
		return nil, errors.Errorf("log entry %d follows entry %d: entries have to be applied once and in order", index, m.applied)
	}
	if len(data) == 0 {
		m.applied = index
		return nil, nil
	}
	var e controlpb.Entry
	if err := proto.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrapf(err, "log entry %d cannot be decoded: replace this replica", index)
	}
	if e.GetBody() == nil {
		return nil, errors.Errorf("log entry %d is of an unknown kind: upgrade this replica", index)
	}
	m.applied = index
	return m.apply(index, &e), nil
}

func (m *Machine) apply(index uint64, e *controlpb.Entry) *controlpb.Reply {
	if reply := m.precheck(e); reply != nil {
		return reply
	}
	execute, reply := m.evaluate(index, e)
	if execute != nil {
		execute()
	}
	// A base that is too old stays too old, so this refusal does not have to be stored. If it
	// were, it would replace the first reply to a change that was accepted long ago.
	if reply.GetRefusal().GetKind() != controlpb.Refusal_KIND_BASE_TOO_OLD {
		m.replies.store(e, index, reply)
	}
	return reply
}

// precheck returns the reply to a malformed or resent change, nil for any other change.
func (m *Machine) precheck(e *controlpb.Entry) *controlpb.Reply {
	if detail := envelopeProblem(e); detail != "" {
		return refusedReply(&controlpb.Refusal{Kind: controlpb.Refusal_KIND_MALFORMED, Detail: detail})
	}
	return m.replies.find(e)
}

// evaluate decides on an entry without changing the machine. It returns the reply and, for an
// accepted entry, the function that changes the machine.
func (m *Machine) evaluate(index uint64, e *controlpb.Entry) (execute func(), reply *controlpb.Reply) {
	switch body := e.GetBody().(type) {
	case *controlpb.Entry_Bootstrap:
		return m.evaluateBootstrap(index, body.Bootstrap)
	case *controlpb.Entry_Push:
		return m.evaluatePush(index, e, body.Push)
	case *controlpb.Entry_Rotation:
		return m.evaluateRotation(index, e, body.Rotation)
	case *controlpb.Entry_Replacement:
		return m.evaluateReplacement(index, e, body.Replacement)
	case *controlpb.Entry_Cancellation:
		return m.evaluateCancellation(index, e, body.Cancellation)
	case *controlpb.Entry_Outcome:
		return m.evaluateOutcome(index, e, body.Outcome)
	default:
		return nil, malformedReply("", "change without a body")
	}
}

func acceptedReply(index uint64) *controlpb.Reply { return &controlpb.Reply{Version: index} }

func refusedReply(r *controlpb.Refusal) *controlpb.Reply { return &controlpb.Reply{Refusal: r} }

func malformedReply(file, detail string) *controlpb.Reply {
	return refusedReply(&controlpb.Refusal{Kind: controlpb.Refusal_KIND_MALFORMED, File: file, Detail: detail})
}
