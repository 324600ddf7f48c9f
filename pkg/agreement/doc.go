// Package agreement is the protocol by which control replicas agree on one log. It is a pure state
// machine: the caller passes in messages and ticks, and performs what Ready returns. It has no
// clock, I/O, goroutine or lock, and its only randomness is the injected source.
//
// Invariants:
//   - A replica is an ID together with the incarnation of its data folder. Votes and
//     acknowledgements belong to that pair, and only pairs that are voters of the counting node's
//     membership count. A replica whose disk was lost starts under a larger incarnation, which no
//     member list has as a voter, so it can neither vote again in a term nor count for entries that
//     it lost. It asks to join, becomes a learner in the same step that removes its earlier
//     incarnation, and is a voter again when the leader has promoted it.
//   - A term has at most one leader, because a replica votes once in a term and syncs the vote first.
//   - A leader commits only entries of its own term, and those before them, that a majority of the
//     voters has synced. A committed entry is in the log of every later leader.
//   - The membership of a node is the latest in its log, committed or not. A change adds or removes
//     at most one voter, and the next one waits until it is committed.
//   - A read is released only after a majority has confirmed the leader after the read arrived.
//     Clocks play no part in that.
//   - A replica that a leader tells of its removal neither campaigns nor asks to join until a leader
//     sends to it as a member again.
//   - Messages between groups are refused, requests to join included, so replicas of a group that
//     was recovered from one copy (RecoveredState) and those of the group before it never meet.
//   - A replica with state that hears from a leader refuses vote requests for an election timeout,
//     and a candidate first asks whether it would win, without raising its term. So a replica that
//     was isolated does not force the leader out when it returns.
//
// A runner opens pkg/storage with a new incarnation for the case that the folder is empty, starts a
// node from the state, and then, for each message, tick and request, performs what Ready returns:
//
//	for node.HasReady() {
//		rd := node.Ready()
//		if rd.Snapshot != nil {
//			err = store.SaveSnapshot(*rd.Snapshot, nil)
//		}
//		err = store.Save(rd.HardState, rd.Entries)
//		send(rd.Messages)
//		restore(rd.Snapshot), apply(rd.Committed), release(rd.Reads)
//		node.Advance(rd)
//	}
//
// After an error of the store the runner discards node and store and opens the folder again. After
// Advance it may take a snapshot: Compact, then SaveSnapshot with EntriesAfter(snapshot.Index). A
// replica with an unreadable folder removes it and joins as a learner.
//
// A group is founded once, by an explicit act of the operator (FoundingState). A replica must not
// found a group because its folder is empty: after a lost disk it would start a second group.
//
// The group tolerates the loss of fewer than half of its voters, where a learner counts as a voter
// from the moment it has caught up. Beyond that it accepts no change any more until the operator
// recovers it from one surviving copy, which may lose what that copy does not hold.
//
// Duplicates of a proposal are distinct entries; the layer above recognises them by its change id.
package agreement
