package agreement

import (
	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/ident"
)

// ReplicaProto returns the protobuf form of a replica, nil for None.
func ReplicaProto(r Replica) *controlpb.Replica {
	if r == None {
		return nil
	}
	return &controlpb.Replica{Id: uint64(r.ID), Incarnation: uint64(r.Incarnation)}
}

// ReplicaFromProto is the inverse of ReplicaProto.
func ReplicaFromProto(p *controlpb.Replica) Replica {
	return Replica{ID: ident.DaemonID(p.GetId()), Incarnation: ident.Incarnation(p.GetIncarnation())}
}

// MembershipProto returns the protobuf form of a membership.
func MembershipProto(m Membership) *controlpb.ReplicaMembership {
	if m == nil {
		return nil
	}
	out := &controlpb.ReplicaMembership{}
	for _, member := range m {
		out.Members = append(out.Members, &controlpb.ReplicaMember{Replica: ReplicaProto(member.Replica), Voter: member.Voter})
	}
	return out
}

// MembershipFromProto is the inverse of MembershipProto.
func MembershipFromProto(p *controlpb.ReplicaMembership) Membership {
	if len(p.GetMembers()) == 0 {
		return nil
	}
	members := make([]Member, 0, len(p.GetMembers()))
	for _, member := range p.GetMembers() {
		members = append(members, Member{Replica: ReplicaFromProto(member.GetReplica()), Voter: member.GetVoter()})
	}
	return NewMembership(members...)
}

// EntriesProto returns the protobuf form of entries.
func EntriesProto(entries []Entry) []*controlpb.LogEntry {
	out := make([]*controlpb.LogEntry, len(entries))
	for i, e := range entries {
		out[i] = &controlpb.LogEntry{
			Term: e.Term, Index: e.Index, Kind: controlpb.EntryKind(e.Kind),
			Data: e.Data, Membership: MembershipProto(e.Membership),
		}
	}
	return out
}

// EntriesFromProto is the inverse of EntriesProto.
func EntriesFromProto(in []*controlpb.LogEntry) []Entry {
	if len(in) == 0 {
		return nil
	}
	out := make([]Entry, len(in))
	for i, p := range in {
		out[i] = Entry{
			Term: p.GetTerm(), Index: p.GetIndex(), Kind: EntryKind(p.GetKind()),
			Data: p.GetData(), Membership: MembershipFromProto(p.GetMembership()),
		}
	}
	return out
}

// HardStateProto returns the protobuf form of a hard state.
func HardStateProto(h HardState) *controlpb.HardState {
	return &controlpb.HardState{Term: h.Term, Vote: ReplicaProto(h.Vote), Commit: h.Commit, Group: h.Group}
}

// HardStateFromProto is the inverse of HardStateProto.
func HardStateFromProto(p *controlpb.HardState) HardState {
	return HardState{Term: p.GetTerm(), Vote: ReplicaFromProto(p.GetVote()), Commit: p.GetCommit(), Group: p.GetGroup()}
}

// SnapshotProto returns the protobuf form of a snapshot, nil for nil.
func SnapshotProto(s *Snapshot) *controlpb.LogSnapshot {
	if s == nil {
		return nil
	}
	return &controlpb.LogSnapshot{Index: s.Index, Term: s.Term, Membership: MembershipProto(s.Membership), Data: s.Data}
}

// SnapshotFromProto is the inverse of SnapshotProto.
func SnapshotFromProto(p *controlpb.LogSnapshot) *Snapshot {
	if p == nil {
		return nil
	}
	return &Snapshot{
		Index: p.GetIndex(), Term: p.GetTerm(),
		Membership: MembershipFromProto(p.GetMembership()), Data: p.GetData(),
	}
}

// MessageProto returns the protobuf form of a message.
func MessageProto(m *Message) *controlpb.AgreementMessage {
	return &controlpb.AgreementMessage{
		Kind: controlpb.AgreementKind(m.Kind), From: ReplicaProto(m.From), To: ReplicaProto(m.To),
		Term: m.Term, Group: m.Group, Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit,
		Entries: EntriesProto(m.Entries), Reject: m.Reject, Hint: m.Hint,
		Snapshot: SnapshotProto(m.Snapshot), Context: m.Context, Force: m.Force, Lost: replicasProto(m.Lost),
	}
}

func replicasProto(replicas []Replica) []*controlpb.Replica {
	var out []*controlpb.Replica
	for _, r := range replicas {
		out = append(out, ReplicaProto(r))
	}
	return out
}

func replicasFromProto(in []*controlpb.Replica) []Replica {
	var out []Replica
	for _, p := range in {
		out = append(out, ReplicaFromProto(p))
	}
	return out
}

// MessageFromProto is the inverse of MessageProto.
func MessageFromProto(p *controlpb.AgreementMessage) Message {
	return Message{
		Kind: MessageKind(p.GetKind()), From: ReplicaFromProto(p.GetFrom()), To: ReplicaFromProto(p.GetTo()),
		Term: p.GetTerm(), Group: p.GetGroup(), Index: p.GetIndex(), LogTerm: p.GetLogTerm(), Commit: p.GetCommit(),
		Entries: EntriesFromProto(p.GetEntries()), Reject: p.GetReject(), Hint: p.GetHint(),
		Snapshot: SnapshotFromProto(p.GetSnapshot()), Context: p.GetContext(), Force: p.GetForce(), Lost: replicasFromProto(p.GetLost()),
	}
}
