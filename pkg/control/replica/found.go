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
	foundPeriod     = 200 * time.Millisecond
	identifyTimeout = time.Second
)

// found decides how a replica whose folder belongs to no group starts.
//
// A group is founded only when every replica of the settings answers in one round that it belongs
// to no group and names the same replicas. A replica that lost its disk therefore never founds a
// second group: a replica that still has the first one answers with it. It starts without state
// instead, under the new incarnation of its folder, and the leader adds it as a learner.
func (r *Replica) found(ctx context.Context, store *storage.Store, st agreement.State) (agreement.State, error) {
	if st.HardState.Group != 0 || len(st.Entries) > 0 || st.Snapshot.Index > 0 {
		return st, nil
	}
	r.identity.Store(&controlpb.IdentifyReply{
		Id: uint64(st.Self.ID), Incarnation: uint64(st.Self.Incarnation), Replicas: r.cfg.Replicas,
	})
	events.ReplicaWaits.Log(r.log, logrus.Fields{"replicas": len(r.cfg.Replicas)})
	for {
		group, members, join := r.survey(ctx, st.Self)
		switch {
		case join:
			events.ReplicaJoins.Log(r.log, logrus.Fields{"incarnation": uint64(st.Self.Incarnation)})
			return st, nil
		case group != 0:
			founded := agreement.FoundingState(st.Self, group, members)
			events.GroupFounded.Log(r.log, logrus.Fields{"group": group})
			return founded, store.Save(&founded.HardState, founded.Entries)
		}
		select {
		case <-ctx.Done():
			return st, ctx.Err()
		case <-time.After(foundPeriod):
		}
	}
}

// survey asks every replica of the settings once. It returns the group to found, or that the
// replica has to join one, or neither.
func (r *Replica) survey(ctx context.Context, self agreement.Replica) (group uint64, members agreement.Membership, join bool) {
	founders := []agreement.Member{{Replica: self, Voter: true}}
	complete := true
	for _, answer := range r.identifyOthers(ctx) {
		switch {
		case answer == nil:
			complete = false
		case answer.GetGroup() != 0:
			return r.foundLate(answer, self)
		case !sameReplicas(answer.GetReplicas(), r.cfg.Replicas):
			if r.listsDiffer.due() {
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
	return groupOf(members), members, false
}

// foundLate handles a replica that has a group. If that group was just founded with this very
// incarnation, the replica founds it as well: without its copy the others may lack a majority.
func (r *Replica) foundLate(answer *controlpb.IdentifyReply, self agreement.Replica) (uint64, agreement.Membership, bool) {
	members := agreement.MembershipFromProto(answer.GetMembers())
	if members.IsVoter(self) && groupOf(members) == answer.GetGroup() {
		return answer.GetGroup(), members, false
	}
	return 0, nil, true
}

// groupOf derives the group from its founders, so that all of them compute the same one.
func groupOf(members agreement.Membership) uint64 {
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

// identifyOthers returns the answers of the other replicas of the settings, nil for those that
// did not answer or are another daemon than the settings say.
func (r *Replica) identifyOthers(ctx context.Context) []*controlpb.IdentifyReply {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	answers := make(chan *controlpb.IdentifyReply)
	n := 0
	for _, h := range r.cfg.Replicas {
		if h.GetName() == r.cfg.Name {
			continue
		}
		n++
		go func() { answers <- r.identify(ctx, h) }()
	}
	var out []*controlpb.IdentifyReply
	for range n {
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
