// Package agreement implements the consensus protocol by which control replicas replicate one log;
// it follows Raft. It is a pure state machine: the caller passes in messages and ticks, and performs
// the work that Ready returns. It has no clock, I/O, goroutine or lock, and its only randomness is
// the injected source.
//
// Invariants:
//   - A replica is an ID together with the incarnation of its data folder. Votes and
//     acknowledgements belong to that pair, and a node counts only those of the voters in its own
//     membership. A replica whose disk was lost starts with a larger incarnation, which is a voter in
//     no membership, so it can neither vote again in a term nor count for entries that it lost. It
//     requests to join, becomes a learner in the same step that removes its earlier incarnation, and
//     is a voter again once the leader has promoted it.
//   - A term has at most one leader, because a replica votes once in a term and syncs the vote first.
//   - A leader commits an entry of its own term, and with it all entries before it, once a majority
//     of the voters has synced it. A committed entry is in the log of every later leader.
//   - Where voters are known to be lost, a majority of the others is enough if it meets every majority of
//     all voters (quorum.go).
//   - The membership of a node is the latest in its log, committed or not. A change adds or removes
//     at most one voter, and the next change is accepted only after it is committed. Until then elections,
//     commits and reads need a quorum of the membership before the change as well.
//   - A read is released only after a majority has confirmed the leader after the read arrived.
//     This does not depend on clocks.
//   - A replica that a leader notified of its removal neither campaigns nor requests to join until a
//     leader sends to it as a member again.
//   - Messages from another group are refused, requests to join included, so replicas of a group that
//     was recovered from one copy (RecoveredState) never interact with those of the original group.
//   - A replica with state that receives messages from a leader refuses vote requests for an election
//     timeout, and a candidate first runs a pre-vote, which does not increase its term. So a replica
//     that was isolated does not force the leader out when it returns.
//
// The caller opens pkg/storage with a new incarnation, which is used if the folder is empty, starts a
// node from the state, and then, after each message, tick and request, performs what Ready returns:
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
// After an error of the store the caller discards node and store and opens the folder again. After
// Advance it may take a snapshot: Compact, then SaveSnapshot with EntriesAfter(snapshot.Index). A
// replica with an unreadable folder removes it and joins as a learner.
//
// A group is founded once, by an explicit command of the operator (FoundingState). A replica must not
// found a group because its folder is empty: after a lost disk it would start a second group.
//
// The group tolerates the loss of fewer than half of its voters, where a learner counts as a voter
// as soon as it has caught up. After a larger loss it accepts no further changes until the operator
// recovers it from one surviving copy; entries that this copy lacks are lost.
//
// Duplicates of a proposal are distinct entries; the caller recognises them by the change id.
package agreement
