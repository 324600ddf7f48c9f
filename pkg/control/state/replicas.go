package state

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"rosemarygate/api/control/v1"
)

// evaluateBootstrap sets the first replicas. A second bootstrap is refused.
func (m *Machine) evaluateBootstrap(index uint64, body *controlpb.Bootstrap) (func(), *controlpb.Reply) {
	if len(m.replicas) > 0 {
		return nil, replacementConflictReply("the replicas are set already: replace them one at a time")
	}
	if len(body.GetReplicas()) == 0 {
		return nil, malformedReply("", "bootstrap without replicas")
	}
	seen := make(map[string]bool)
	for _, r := range body.GetReplicas() {
		if incompleteReplica(r) || seen[r.GetName()] {
			return nil, malformedReply("", "each replica needs a name of its own and an address")
		}
		seen[r.GetName()] = true
	}
	return func() { m.setReplicas(body.GetReplicas()) }, acceptedReply(index)
}

// evaluateReplacement starts a replacement. Only one may be in progress, so that a majority of the
// replicas has the whole log at any time.
func (m *Machine) evaluateReplacement(index uint64, e *controlpb.Entry, body *controlpb.Replacement) (func(), *controlpb.Reply) {
	joining := body.GetJoining()
	switch {
	case incompleteReplica(joining):
		return nil, malformedReply("", "the joining replica needs a name and an address")
	case m.replacement != nil:
		return nil, replacementConflictReply("replica " + m.replacement.GetLeaving() + " is being replaced: wait until that has ended, or cancel it")
	case m.replica(body.GetLeaving()) == nil:
		return nil, replacementConflictReply(body.GetLeaving() + " is not a replica: name one of the present replicas")
	case m.replica(joining.GetName()) != nil && joining.GetName() != body.GetLeaving():
		return nil, replacementConflictReply(joining.GetName() + " is a replica already: name another host")
	}
	return func() {
		m.replacement = body
		m.record(index, e, &controlpb.HistoryRecord{})
	}, acceptedReply(index)
}

// evaluateCancellation cancels the replacement in progress. The leader then removes the joining
// replica and records the outcome.
func (m *Machine) evaluateCancellation(index uint64, e *controlpb.Entry, body *controlpb.Cancellation) (func(), *controlpb.Reply) {
	switch {
	case m.replacement == nil || m.replacement.GetLeaving() != body.GetLeaving():
		return nil, replacementConflictReply("no replacement of " + body.GetLeaving() + " is in progress: config history shows how the last one ended")
	case m.replacement.GetCancelled():
		return nil, replacementConflictReply("the replacement of " + body.GetLeaving() + " is being cancelled already: config history shows its end")
	}
	return func() {
		m.replacement = proto.CloneOf(m.replacement)
		m.replacement.Cancelled = true
		m.record(index, e, &controlpb.HistoryRecord{})
	}, acceptedReply(index)
}

// evaluateOutcome ends the replacement in progress, completed or cancelled.
func (m *Machine) evaluateOutcome(index uint64, e *controlpb.Entry, body *controlpb.ReplacementOutcome) (func(), *controlpb.Reply) {
	if m.replacement.GetJoining().GetName() != body.GetJoining() {
		return nil, replacementConflictReply("no replacement by " + body.GetJoining() + " is in progress")
	}
	return func() {
		if body.GetCompleted() {
			leaving := m.replacement.GetLeaving()
			next := slices.DeleteFunc(slices.Clone(m.replicas), func(r *controlpb.ReplicaHost) bool { return r.GetName() == leaving })
			m.setReplicas(append(next, m.replacement.GetJoining()))
		}
		m.replacement = nil
		m.record(index, e, &controlpb.HistoryRecord{})
	}, acceptedReply(index)
}

func (m *Machine) replica(name string) *controlpb.ReplicaHost {
	for _, r := range m.replicas {
		if r.GetName() == name {
			return r
		}
	}
	return nil
}

func (m *Machine) setReplicas(replicas []*controlpb.ReplicaHost) {
	m.replicas = nil
	for _, r := range replicas {
		m.replicas = append(m.replicas, proto.CloneOf(r))
	}
	slices.SortFunc(m.replicas, func(a, b *controlpb.ReplicaHost) int { return strings.Compare(a.GetName(), b.GetName()) })
}

func incompleteReplica(r *controlpb.ReplicaHost) bool {
	return r.GetName() == "" || r.GetAddress() == ""
}

func replacementConflictReply(detail string) *controlpb.Reply {
	return refusedReply(&controlpb.Refusal{Kind: controlpb.Refusal_KIND_REPLACEMENT_CONFLICT, Detail: detail})
}
