// Package storage stores a control replica's log and snapshot in one data folder.
//
// The folder holds segments of a write-ahead log (wal-NUMBER.log) and one snapshot
// (snapshot-INDEX.bin). Invariants:
//   - Save and SaveSnapshot return after all their data and the directory are synced. After an error
//     the store rejects all further changes; Open then returns the state that is durable.
//   - Each Save writes one record. So only the last record of the last segment can be incomplete after
//     a crash, and Open drops only that record.
//   - A segment with replaces_earlier in its header replaces all earlier segments. Open and SaveSnapshot
//     write such a segment, so old segments can be removed and disk use stays bounded.
//   - A snapshot file that an operator's recovery wrote (Recover) contains the replica and the hard
//     state of a new group, and replaces the segments of any other group.
//   - Open writes the state that it read into a new, synced segment, because a failed sync may have left
//     records in the page cache that are readable but not durable.
package storage
