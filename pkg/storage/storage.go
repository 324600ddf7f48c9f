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
	defaultSegmentBytes = 4 << 20
)

// ErrBroken is returned by a store whose earlier write or sync failed.
var ErrBroken = errors.New("an earlier write to the data folder failed: check the disk and restart the replica")

// CorruptError reports damage of the data folder that a crash cannot have caused.
type CorruptError struct {
	Path   string
	Offset int // in bytes
	Reason string
}

// Error names the file, the offset and the remedy.
func (e *CorruptError) Error() string {
	return errors.Errorf("%s is corrupt at offset %d (%s): check the disk, then remove the data folder; "+
		"the replica rejoins as a learner", e.Path, e.Offset, e.Reason).Error()
}

// OtherReplicaError reports that the data folder belongs to another replica.
type OtherReplicaError struct {
	Dir         string
	Found, Want agreement.Replica
}

// Error names the remedy.
func (e *OtherReplicaError) Error() string {
	return errors.Errorf("data folder %s belongs to replica %s, not %s: correct the daemon's name or its data folder",
		e.Dir, e.Found.ID, e.Want.ID).Error()
}

// Options are the options of Open.
type Options struct {
	// Self is the replica. Its incarnation is used only if the folder is empty; it must then be larger
	// than any former incarnation of the replica, for example the time in nanoseconds.
	Self         agreement.Replica
	SegmentBytes int // bytes after which a new segment starts; 0 selects 4 MiB
	// FoundingState is the initial state of a replica that founds the group (agreement.FoundingState). It is
	// used only if the folder is empty.
	FoundingState *agreement.State
}

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	fs            FS
	dir           string
	opts          Options
	self          agreement.Replica
	hardState     agreement.HardState
	segmentNumber uint64 // of the current segment
	segmentSize   int    // bytes in the current segment
	file          File
	broken        bool
	buf           []byte
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
	if !files.hasAny() {
		st = agreement.State{Self: opts.Self}
		if opts.FoundingState != nil {
			st = *opts.FoundingState
		}
	}
	if st.Self.ID != opts.Self.ID {
		return nil, agreement.State{}, &OtherReplicaError{Dir: dir, Found: st.Self, Want: opts.Self}
	}
	s := &Store{fs: fs, dir: dir, opts: opts, self: st.Self, hardState: st.HardState, segmentNumber: files.lastSegment()}
	if err := s.replaceLog(st.Entries); err != nil {
		return nil, agreement.State{}, errors.Wrap(err, "write first segment")
	}
	if err := s.removeObsolete(st.Snapshot.Index); err != nil {
		return nil, agreement.State{}, errors.Wrap(err, "remove old files")
	}
	return s, st, nil
}

// Save makes a hard state (nil if unchanged) and entries durable. The first entry replaces any
// entry with the same or a larger index.
func (s *Store) Save(hardState *agreement.HardState, entries []agreement.Entry) error {
	if s.broken {
		return ErrBroken
	}
	if hardState == nil && len(entries) == 0 {
		return nil
	}
	err := s.writeRecord(hardState, entries)
	s.broken = err != nil
	return errors.Wrap(err, "save log entries")
}

// writeRecord writes one record. A new segment starts with the previous hard state: the commit index of
// its header must not include entries that only the following record contains.
func (s *Store) writeRecord(hardState *agreement.HardState, entries []agreement.Entry) error {
	if s.segmentSize >= s.opts.SegmentBytes {
		if err := s.startSegment(false, nil); err != nil {
			return err
		}
	}
	if hardState != nil {
		s.hardState = *hardState
	}
	record, err := s.appendFrame(s.buf[:0], entries)
	if err != nil {
		return err
	}
	s.buf = record
	if _, err := s.file.Write(record); err != nil {
		return err
	}
	s.segmentSize += len(record)
	return s.file.Sync()
}

// appendFrame appends the record of a hard state and entries to dst.
func (s *Store) appendFrame(dst []byte, entries []agreement.Entry) ([]byte, error) {
	payload, err := proto.Marshal(&controlpb.LogFrame{
		HardState: agreement.HardStateProto(s.hardState),
		Entries:   agreement.EntriesProto(entries),
	})
	if err != nil {
		return nil, err
	}
	return appendRecord(dst, payload), nil
}

// SaveSnapshot makes a snapshot durable and replaces the log by the entries that follow it: those of
// Node.EntriesAfter(snapshot.Index) after Node.Compact, none for a received snapshot.
func (s *Store) SaveSnapshot(snap agreement.Snapshot, entries []agreement.Entry) error {
	if s.broken {
		return ErrBroken
	}
	err := s.saveSnapshot(snap, entries)
	s.broken = err != nil
	return errors.Wrap(err, "save snapshot")
}

func (s *Store) saveSnapshot(snap agreement.Snapshot, entries []agreement.Entry) error {
	payload, err := proto.Marshal(agreement.SnapshotProto(&snap))
	if err != nil {
		return err
	}
	path := filepath.Join(s.dir, snapshotName(snap.Index))
	if err := WriteAtomic(s.fs, path, appendRecord(nil, payload)); err != nil {
		return err
	}
	s.hardState.Commit = max(s.hardState.Commit, snap.Index)
	if err := s.replaceLog(entries); err != nil {
		return err
	}
	return s.removeObsolete(snap.Index)
}

// replaceLog starts a segment that replaces all earlier ones.
func (s *Store) replaceLog(entries []agreement.Entry) error { return s.startSegment(true, entries) }

// startSegment creates the next segment atomically, so every segment has a complete header.
func (s *Store) startSegment(replacesEarlier bool, entries []agreement.Entry) error {
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return err
		}
		s.file = nil
	}
	header, err := proto.Marshal(&controlpb.SegmentHeader{
		Self: agreement.ReplicaProto(s.self), HardState: agreement.HardStateProto(s.hardState), ReplacesEarlier: replacesEarlier,
	})
	if err != nil {
		return err
	}
	contents := appendRecord(nil, header)
	if len(entries) > 0 {
		if contents, err = s.appendFrame(contents, entries); err != nil {
			return err
		}
	}
	path := filepath.Join(s.dir, segmentName(s.segmentNumber+1))
	if err := WriteAtomic(s.fs, path, contents); err != nil {
		return err
	}
	s.segmentNumber++
	s.segmentSize = len(contents)
	s.file, err = s.fs.Append(path)
	return err
}

// removeObsolete removes all segments and snapshots but the current segment and the snapshot at an
// index. Files that a crash left are removed at the next Open.
func (s *Store) removeObsolete(snapshotIndex uint64) error {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if name == segmentName(s.segmentNumber) || name == snapshotName(snapshotIndex) || !isStoreFile(name) {
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
