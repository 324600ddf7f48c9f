package replica

import (
	"context"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/storage"
)

const (
	surveyPeriod    = 200 * time.Millisecond
	identifyTimeout = time.Second
)

// foundOrJoin waits until a replica without a group can found one or has to join an existing one.
//
// A group is founded only if every replica in the settings answers in the same round that it belongs
// to no group and has the same list of replicas. A replica that lost its disk therefore never founds
// a second group, because the remaining members answer with theirs. It starts without state under a
// new incarnation, and the leader adds it as a learner.
func (r *Replica) foundOrJoin(ctx context.Context, store *storage.Store, st agreement.State) (agreement.State, error) {
	if st.HardState.Group != 0 || len(st.Entries) > 0 || st.Snapshot.Index > 0 {
		return st, nil
	}
	r.identity.Store(&controlpb.IdentifyReply{
		Id: uint64(st.Self.ID), Incarnation: uint64(st.Self.Incarnation), Replicas: r.cfg.Replicas,
	})
	events.ReplicaWithoutState.Log(r.log, logrus.Fields{"replicas": len(r.cfg.Replicas)})
	for {
		group, members, join := r.survey(ctx, st.Self)
		switch {
		case join:
			events.ReplicaJoining.Log(r.log, logrus.Fields{"incarnation": uint64(st.Self.Incarnation)})
			return st, nil
		case group != 0:
			founded := agreement.FoundingState(st.Self, group, members)
			events.GroupFounded.Log(r.log, logrus.Fields{"group": group})
			return founded, store.Save(&founded.HardState, founded.Entries)
		}
		select {
		case <-ctx.Done():
			return st, ctx.Err()
		case <-time.After(surveyPeriod):
		}
	}
}

// survey queries every replica in the settings once. It returns the group to found with its members,
// or join if there is a group to join. If it returns neither, the caller has to retry.
func (r *Replica) survey(ctx context.Context, self agreement.Replica) (group uint64, members agreement.Membership, join bool) {
	founders := []agreement.Member{{Replica: self, Voter: true}}
	complete := true
	for _, answer := range r.identifyOthers(ctx) {
		switch {
		case answer == nil:
			complete = false
		case answer.GetGroup() != 0:
			return r.completeFounding(answer, self)
		case !sameReplicas(answer.GetReplicas(), r.cfg.Replicas):
			if r.listsDifferLimiter.allow() {
				events.ReplicaListsDiffer.Log(r.log, logrus.Fields{"replica": ident.DaemonID(answer.GetId())})
			}
			complete = false
		default:
			founder := agreement.Replica{ID: ident.DaemonID(answer.GetId()), Incarnation: ident.Incarnation(answer.GetIncarnation())}
			founders = append(founders, agreement.Member{Replica: founder, Voter: true})
		}
	}
	if !complete {
		return 0, nil, false
	}
	members = agreement.NewMembership(founders...)
	return groupID(members), members, false
}

// completeFounding handles the answer of a replica that has a group. If this incarnation is one of the
// founders, it founds the same group: without it the others may lack a majority. Otherwise it joins.
func (r *Replica) completeFounding(answer *controlpb.IdentifyReply, self agreement.Replica) (uint64, agreement.Membership, bool) {
	members := agreement.MembershipFromProto(answer.GetMembers())
	if members.IsVoter(self) && groupID(members) == answer.GetGroup() {
		return answer.GetGroup(), members, false
	}
	return 0, nil, true
}

// groupID derives the identifier of a group from its founders, so that all of them compute the same.
func groupID(members agreement.Membership) uint64 {
	var b []byte
	for _, m := range members {
		b = binary.BigEndian.AppendUint64(b, uint64(m.Replica.ID))
		b = binary.BigEndian.AppendUint64(b, uint64(m.Replica.Incarnation))
	}
	return max(xxhash.Sum64(b), 1)
}

func sameReplicas(a, b []*controlpb.ReplicaHost) bool {
	byName := func(x, y *controlpb.ReplicaHost) int { return strings.Compare(x.GetName(), y.GetName()) }
	a, b = slices.SortedFunc(slices.Values(a), byName), slices.SortedFunc(slices.Values(b), byName)
	return slices.EqualFunc(a, b, func(x, y *controlpb.ReplicaHost) bool { return proto.Equal(x, y) })
}

// identifyOthers queries the other replicas in the settings. The answer is nil for a replica that did
// not respond or whose identity does not match the settings.
func (r *Replica) identifyOthers(ctx context.Context) []*controlpb.IdentifyReply {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	answers := make(chan *controlpb.IdentifyReply)
	queries := 0
	for _, h := range r.cfg.Replicas {
		if h.GetName() == r.cfg.Name {
			continue
		}
		queries++
		go func() { answers <- r.identify(ctx, h) }()
	}
	var out []*controlpb.IdentifyReply
	for range queries {
		out = append(out, <-answers)
	}
	return out
}

func (r *Replica) identify(ctx context.Context, h *controlpb.ReplicaHost) *controlpb.IdentifyReply {
	conn, err := r.transport.Conn(h.GetAddress())
	if err != nil {
		return nil
	}
	answer, err := controlpb.NewReplicationClient(conn).Identify(ctx, &controlpb.IdentifyRequest{})
	if err != nil || ident.DaemonID(answer.GetId()) != ident.Daemon(h.GetName()) {
		return nil
	}
	return answer
}
