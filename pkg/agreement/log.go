package agreement

import "slices"

// indexedMembership is a membership and the log index from which it applies.
type indexedMembership struct {
	index      uint64
	membership Membership
}

// memLog is the log in memory. Invariants:
//   - entries are contiguous and start at baseIndex+1;
//   - snapshot.Index >= baseIndex, applied <= committed <= last index, stable <= last index;
//   - entries up to committed never change;
//   - memberships starts with the one in effect at baseIndex, is in index order and never empty.
type memLog struct {
	baseIndex, baseTerm uint64
	entries             []Entry
	stable              uint64
	committed           uint64
	applied             uint64
	snapshot            Snapshot
	memberships         []indexedMembership
}

func newMemLog(st *State) (*memLog, error) {
	s := st.Snapshot
	l := &memLog{
		baseIndex: s.Index, baseTerm: s.Term, snapshot: s,
		stable: s.Index, committed: s.Index, applied: s.Index,
		memberships: []indexedMembership{{s.Index, s.Membership}},
	}
	for i := range st.Entries {
		if st.Entries[i].Index != s.Index+uint64(i)+1 {
			return nil, ErrBadState
		}
	}
	l.appendEntries(slices.Clip(st.Entries))
	l.stable = l.lastIndex()
	if st.HardState.Commit > l.lastIndex() {
		return nil, ErrBadState
	}
	l.committed = max(l.committed, st.HardState.Commit)
	return l, nil
}

func (l *memLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *memLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at an index, and false if the index is not in the log.
func (l *memLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *memLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a candidate's log, given its last index and term, is at least as up to
// date as this one.
func (l *memLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.lastIndex()
}

// slice returns the entries in (after, upTo].
func (l *memLog) slice(after, upTo uint64) []Entry {
	if after >= upTo {
		return nil
	}
	return l.entries[after-l.baseIndex : upTo-l.baseIndex : upTo-l.baseIndex]
}

// batch returns entries after an index and their size. They have at most limit bytes, unless the first
// one alone is larger.
func (l *memLog) batch(after uint64, limit int) ([]Entry, int) {
	all := l.slice(after, l.lastIndex())
	total := 0
	for i := range all {
		size := all[i].size()
		if i > 0 && total+size > limit {
			return all[:i:i], total
		}
		total += size
	}
	return all, total
}

// appendEntries appends entries that follow the last one.
func (l *memLog) appendEntries(entries []Entry) {
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		if e.Kind == EntryMembership {
			l.memberships = append(l.memberships, indexedMembership{e.Index, e.Membership})
		}
	}
}

// merge adds a leader's entries, of which the first follows a matching entry, and removes
// conflicting entries. It returns ErrDiverged if a committed entry conflicts.
func (l *memLog) merge(entries []Entry) error {
	for i := range entries {
		if l.matches(entries[i].Index, entries[i].Term) {
			continue
		}
		if entries[i].Index <= l.committed {
			return ErrDiverged
		}
		l.truncate(entries[i].Index)
		l.appendEntries(entries[i:])
		return nil
	}
	return nil
}

// truncate removes the entries from an index on. Slices of entries that were returned before stay
// intact, because the shortened slice has no spare capacity.
func (l *memLog) truncate(from uint64) {
	kept := from - l.baseIndex - 1
	if kept >= uint64(len(l.entries)) {
		return
	}
	l.entries = l.entries[:kept:kept]
	l.stable = min(l.stable, from-1)
	for l.latestMembership().index >= from {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

func (l *memLog) latestMembership() indexedMembership { return l.memberships[len(l.memberships)-1] }

// membershipAt returns the membership in effect at an index.
func (l *memLog) membershipAt(index uint64) Membership {
	m := l.memberships[0].membership
	for _, c := range l.memberships {
		if c.index <= index {
			m = c.membership
		}
	}
	return m
}

// conflictHint returns the largest index up to index whose term is at most term, and its term.
func (l *memLog) conflictHint(index, term uint64) (uint64, uint64) {
	for i := min(index, l.lastIndex()); i > l.baseIndex; i-- {
		if t, _ := l.term(i); t <= term {
			return i, t
		}
	}
	return l.baseIndex, l.baseTerm
}

// compact installs a snapshot at an applied index and keeps retain entries before it for slow followers.
func (l *memLog) compact(s Snapshot, retain uint64) {
	l.snapshot = s
	if s.Index <= l.baseIndex+retain {
		return
	}
	base := s.Index - retain
	term, _ := l.term(base)
	l.entries = slices.Clone(l.entries[base-l.baseIndex:])
	membership := l.membershipAt(base)
	laterMemberships := slices.DeleteFunc(slices.Clone(l.memberships), func(c indexedMembership) bool { return c.index <= base })
	l.memberships = append([]indexedMembership{{base, membership}}, laterMemberships...)
	l.baseIndex, l.baseTerm = base, term
}

// restore replaces the whole log with a snapshot.
func (l *memLog) restore(s Snapshot) {
	*l = memLog{
		baseIndex: s.Index, baseTerm: s.Term, snapshot: s,
		stable: s.Index, committed: s.Index, applied: s.Index,
		memberships: []indexedMembership{{s.Index, s.Membership}},
	}
}
