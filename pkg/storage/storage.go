// Package storage keeps a control replica's log and snapshots below one data folder.
//
// The folder holds segments of a write-ahead log (wal-NUMBER.log) and one snapshot
// (snapshot-INDEX.bin). Invariants:
//   - Save and SaveSnapshot return only after everything they were given is synced, the directory
//     included. After an error the store refuses further use; opening it again shows what survived.
//   - One Save is one record. So at most the last record of the last segment can be incomplete
//     after a crash, and only that record is dropped on open.
//   - A segment whose header says reset replaces all earlier segments. Open and SaveSnapshot write
//     such a segment, so old segments can be removed and disk use stays bounded.
//   - A snapshot file that an operator's recovery wrote (Recover) names the replica and the hard state
//     of a new group, and replaces the segments of any other group.
//   - Opening never trusts contents of the page cache: it writes what it read into a new, synced
//     segment, because a failed sync may have left records that are readable but not durable.
package storage

import (
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
)

const (
	tmpSuffix           = ".tmp"
	defaultSegmentBytes = 4 << 20 // bytes
)

// ErrBroken is returned by a store after an earlier write or sync failed.
var ErrBroken = errors.New("an earlier write to the data folder failed: check the disk and restart the replica")

// CorruptError says that the data folder holds something that no crash explains.
type CorruptError struct {
	Path   string
	Offset int // bytes
	Reason string
}

// Error names the place and the remedy.
func (e *CorruptError) Error() string {
	return errors.Errorf("%s is corrupt at offset %d (%s): check the disk, then remove the data folder; "+
		"the replica rejoins as a learner", e.Path, e.Offset, e.Reason).Error()
}

// OtherReplicaError says that the data folder belongs to another replica.
type OtherReplicaError struct {
	Dir         string
	Found, Want agreement.Replica
}

// Error names the remedy.
func (e *OtherReplicaError) Error() string {
	return errors.Errorf("data folder %s belongs to replica %s, not %s: correct the daemon's name or its data folder",
		e.Dir, e.Found.ID, e.Want.ID).Error()
}

// Options of Open.
type Options struct {
	// Self names the replica. Its incarnation is used only if the folder is empty; it must then be
	// larger than any that the replica had before, for example the time in nanoseconds.
	Self         agreement.Replica
	SegmentBytes int // bytes after which a new segment starts; 0 selects 4 MiB
	// Founding is the state of a founder (agreement.FoundingState), used only if the folder is empty.
	Founding *agreement.State
}

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	fs     FS
	dir    string
	opts   Options
	self   agreement.Replica
	hard   agreement.HardState
	number uint64 // of the current segment
	size   int    // bytes in the current segment
	file   File
	broken bool
	buf    []byte
}

// Open opens a data folder, creating it if needed, and returns the durable state. Errors are
// *CorruptError, *OtherReplicaError, or those of the file system.
func Open(fs FS, dir string, opts Options) (*Store, agreement.State, error) {
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = defaultSegmentBytes
	}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, agreement.State{}, errors.Wrap(err, "create data folder")
	}
	if err := fs.SyncDir(filepath.Dir(dir)); err != nil {
		return nil, agreement.State{}, errors.Wrap(err, "sync parent of data folder")
	}
	st, files, err := load(fs, dir)
	if err != nil {
		return nil, agreement.State{}, err
	}
	if !files.any() {
		st = agreement.State{Self: opts.Self}
		if opts.Founding != nil {
			st = *opts.Founding
		}
	}
	if st.Self.ID != opts.Self.ID {
		return nil, agreement.State{}, &OtherReplicaError{Dir: dir, Found: st.Self, Want: opts.Self}
	}
	s := &Store{fs: fs, dir: dir, opts: opts, self: st.Self, hard: st.HardState, number: files.lastSegment()}
	if err := s.reset(st.Entries); err != nil {
		return nil, agreement.State{}, errors.Wrap(err, "write first segment")
	}
	if err := s.removeExcept(st.Snapshot.Index); err != nil {
		return nil, agreement.State{}, errors.Wrap(err, "remove old files")
	}
	return s, st, nil
}

// Save makes a hard state (nil if unchanged) and entries durable. The first entry replaces any
// entry with the same or a larger index.
func (s *Store) Save(hard *agreement.HardState, entries []agreement.Entry) error {
	if s.broken {
		return ErrBroken
	}
	if hard == nil && len(entries) == 0 {
		return nil
	}
	err := s.append(hard, entries)
	s.broken = err != nil
	return errors.Wrap(err, "save log entries")
}

// append writes one record. A new segment starts under the previous hard state: its header must not
// show entries as committed that only the following record holds.
func (s *Store) append(hard *agreement.HardState, entries []agreement.Entry) error {
	if s.size >= s.opts.SegmentBytes {
		if err := s.startSegment(false, nil); err != nil {
			return err
		}
	}
	if hard != nil {
		s.hard = *hard
	}
	record, err := s.frame(s.buf[:0], entries)
	if err != nil {
		return err
	}
	s.buf = record
	if _, err := s.file.Write(record); err != nil {
		return err
	}
	s.size += len(record)
	return s.file.Sync()
}

// frame appends the record of a hard state and entries to dst.
func (s *Store) frame(dst []byte, entries []agreement.Entry) ([]byte, error) {
	payload, err := proto.Marshal(&controlpb.LogFrame{
		HardState: agreement.HardStateProto(s.hard),
		Entries:   agreement.EntriesProto(entries),
	})
	if err != nil {
		return nil, err
	}
	return appendRecord(dst, payload), nil
}

// SaveSnapshot makes a snapshot durable and replaces the log by the entries that follow it:
// after Node.Compact those of Node.EntriesAfter(snapshot.Index), for a received snapshot none.
func (s *Store) SaveSnapshot(snap agreement.Snapshot, after []agreement.Entry) error {
	if s.broken {
		return ErrBroken
	}
	err := s.saveSnapshot(snap, after)
	s.broken = err != nil
	return errors.Wrap(err, "save snapshot")
}

func (s *Store) saveSnapshot(snap agreement.Snapshot, after []agreement.Entry) error {
	payload, err := proto.Marshal(agreement.SnapshotProto(&snap))
	if err != nil {
		return err
	}
	path := filepath.Join(s.dir, snapshotName(snap.Index))
	if err := WriteAtomic(s.fs, path, appendRecord(nil, payload)); err != nil {
		return err
	}
	s.hard.Commit = max(s.hard.Commit, snap.Index)
	if err := s.reset(after); err != nil {
		return err
	}
	return s.removeExcept(snap.Index)
}

// reset starts a segment that replaces all earlier ones.
func (s *Store) reset(entries []agreement.Entry) error { return s.startSegment(true, entries) }

// startSegment writes the next segment as a whole, so a segment always has a complete header.
func (s *Store) startSegment(reset bool, entries []agreement.Entry) error {
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return err
		}
		s.file = nil
	}
	header, err := proto.Marshal(&controlpb.SegmentHeader{
		Self: agreement.ReplicaProto(s.self), HardState: agreement.HardStateProto(s.hard), ReplacesEarlier: reset,
	})
	if err != nil {
		return err
	}
	contents := appendRecord(nil, header)
	if len(entries) > 0 {
		if contents, err = s.frame(contents, entries); err != nil {
			return err
		}
	}
	path := filepath.Join(s.dir, segmentName(s.number+1))
	if err := WriteAtomic(s.fs, path, contents); err != nil {
		return err
	}
	s.number++
	s.size = len(contents)
	s.file, err = s.fs.Append(path)
	return err
}

// removeExcept removes everything but the current segment and the snapshot at an index. Files that
// survive a crash are removed at the next open.
func (s *Store) removeExcept(snapshot uint64) error {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if name == segmentName(s.number) || name == snapshotName(snapshot) || !ours(name) {
			continue
		}
		if err := s.fs.Remove(filepath.Join(s.dir, name)); err != nil {
			return err
		}
	}
	return s.fs.SyncDir(s.dir)
}

// Close closes the current segment.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}
