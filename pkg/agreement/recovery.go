package agreement

// RecoveryStep separates the log indices of a recovered group from those of the group before it.
// The lost copies may have held indices above the surviving one's; at 44,000 changes a day they
// would need 60 years to reach the next multiple.
const RecoveryStep = 1_000_000_000

// Epoch counts the recoveries before a log index. A version of a later epoch does not follow from
// every version of an earlier one, since the recovery may have lost some of them.
func Epoch(index uint64) uint64 { return index / RecoveryStep }

// LastIndex returns the index of the last entry of a state.
func (st *State) LastIndex() uint64 { return st.Snapshot.Index + uint64(len(st.Entries)) }

// LastTerm returns the term of the last entry. Of two copies the one with the larger last term is
// newer, and with equal ones that with the larger last index.
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

// RecoveredIndex returns the first log index of a group that is recovered from a state.
func RecoveredIndex(st *State) uint64 { return (Epoch(st.LastIndex()) + 1) * RecoveryStep }

// RecoveredState returns the state with which the copy st, whose group has lost a majority for
// good, becomes the only voter of a new group. self is the replica under a new incarnation, group
// a number that no other group has, and data the state of the layer above after every entry of st,
// committed or not: an entry that this copy does not know to be committed may have been accepted.
//
// Replicas of the old group can neither join nor outvote the new one: their messages carry another
// group, and they know this replica under its old incarnation.
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
