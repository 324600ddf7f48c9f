package agreement

// RecoveryIndexStep separates the log indices of a recovered group from those of the original group: the
// log of a recovered group starts at the next multiple. Lost copies may hold higher indices than the
// surviving one, but at 44,000 changes a day it takes 60 years to reach the next multiple.
const RecoveryIndexStep = 1_000_000_000

// Epoch returns the number of recoveries before a log index. A version of a later epoch need not
// build on every version of an earlier one, since the recovery may have lost some of them.
func Epoch(index uint64) uint64 { return index / RecoveryIndexStep }

// LastIndex returns the index of the last entry of a state.
func (st *State) LastIndex() uint64 { return st.Snapshot.Index + uint64(len(st.Entries)) }

// LastTerm returns the term of the last entry. Of two copies the one with the larger last term is
// newer; if the terms are equal, the one with the larger last index.
func (st *State) LastTerm() uint64 {
	if n := len(st.Entries); n > 0 {
		return st.Entries[n-1].Term
	}
	return st.Snapshot.Term
}

// LatestMembership returns the membership in effect: the latest one, committed or not.
func (st *State) LatestMembership() Membership {
	m := st.Snapshot.Membership
	for i := range st.Entries {
		if st.Entries[i].Kind == EntryMembership {
			m = st.Entries[i].Membership
		}
	}
	return m
}

// RecoveredIndex returns the snapshot index at which the log of a group recovered from a state starts.
func RecoveredIndex(st *State) uint64 { return (Epoch(st.LastIndex()) + 1) * RecoveryIndexStep }

// RecoveredState returns the state that makes the copy st, whose group has permanently lost its
// majority, the only voter of a new group. self is the replica with a new incarnation, group a unique
// number, and data the caller's state after every entry of st, committed or not: entries above this
// copy's commit index may have been accepted.
//
// Replicas of the old group can neither join nor outvote the new one: their messages carry the old
// group and address this replica by its old incarnation.
func RecoveredState(st *State, self Replica, group uint64, data []byte) State {
	index, term := RecoveredIndex(st), st.HardState.Term
	return State{
		Self:      self,
		HardState: HardState{Term: term + 1, Commit: index, Group: group},
		Snapshot: Snapshot{
			Index: index, Term: term, Data: data, Membership: NewMembership(Member{Replica: self, Voter: true}),
		},
	}
}
