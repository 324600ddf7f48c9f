package storage

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
)

const (
	segmentPrefix, segmentSuffix   = "wal-", ".log"
	snapshotPrefix, snapshotSuffix = "snapshot-", ".bin"
)

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%016x%s", segmentPrefix, number, segmentSuffix)
}

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016x%s", snapshotPrefix, index, snapshotSuffix)
}

// isStoreFile reports whether a file name is that of a segment or a snapshot, temporary or not.
func isStoreFile(name string) bool {
	name = strings.TrimSuffix(name, tmpSuffix)
	_, segment := parseName(name, segmentPrefix, segmentSuffix)
	_, snapshot := parseName(name, snapshotPrefix, snapshotSuffix)
	return segment || snapshot
}

func parseName(name, prefix, suffix string) (uint64, bool) {
	number, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	number, ok = strings.CutSuffix(number, suffix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(number, 16, 64)
	return n, err == nil
}

// dataFiles holds the numbers of the segments and the indices of the snapshots of a data folder, in
// ascending order.
type dataFiles struct{ segments, snapshots []uint64 }

func (f dataFiles) hasAny() bool { return len(f.segments) > 0 || len(f.snapshots) > 0 }

func (f dataFiles) lastSegment() uint64 {
	if len(f.segments) == 0 {
		return 0
	}
	return f.segments[len(f.segments)-1]
}

func listFiles(fs FS, dir string) (dataFiles, error) {
	names, err := fs.ReadDir(dir)
	if err != nil {
		return dataFiles{}, err
	}
	var f dataFiles
	for _, name := range names {
		if n, ok := parseName(name, segmentPrefix, segmentSuffix); ok {
			f.segments = append(f.segments, n)
		}
		if n, ok := parseName(name, snapshotPrefix, snapshotSuffix); ok {
			f.snapshots = append(f.snapshots, n)
		}
	}
	slices.Sort(f.segments)
	slices.Sort(f.snapshots)
	return f, nil
}

// segment is the content of one segment file.
type segment struct {
	path   string
	header *controlpb.SegmentHeader
	frames []*controlpb.LogFrame
}

// load reads the durable state of a data folder without changing it.
func load(fs FS, dir string) (agreement.State, dataFiles, error) {
	files, err := listFiles(fs, dir)
	if err != nil || !files.hasAny() {
		return agreement.State{}, files, err
	}
	if len(files.segments) == 0 {
		path := filepath.Join(dir, snapshotName(files.snapshots[0]))
		return agreement.State{}, files, &CorruptError{Path: path, Reason: "there is a snapshot but no log"}
	}
	var st agreement.State
	var recovered *controlpb.SegmentHeader
	if n := len(files.snapshots); n > 0 {
		snap, err := loadSnapshot(fs, filepath.Join(dir, snapshotName(files.snapshots[n-1])))
		if err != nil {
			return st, files, err
		}
		st.Snapshot = *agreement.SnapshotFromProto(snap)
		recovered = snap.GetRecovered()
	}
	segments, err := loadSegments(fs, dir, files.segments)
	if err != nil {
		return st, files, err
	}
	if startsGroup(recovered, segments) {
		st.Self = agreement.ReplicaFromProto(recovered.GetSelf())
		st.HardState = agreement.HardStateFromProto(recovered.GetHardState())
		return st, files, nil
	}
	return st, files, replay(&st, segments)
}

func loadSnapshot(fs FS, path string) (*controlpb.LogSnapshot, error) {
	data, err := fs.ReadFile(path)
	if err != nil {
		return nil, err
	}
	payload, size, state := readRecord(data, 0)
	if state != recordValid || size != len(data) {
		return nil, &CorruptError{Path: path, Reason: "the length or checksum of the snapshot is wrong"}
	}
	var p controlpb.LogSnapshot
	if err := proto.Unmarshal(payload, &p); err != nil {
		return nil, &CorruptError{Path: path, Reason: err.Error()}
	}
	return &p, nil
}

// loadSegments reads the segments, starting at the last one with replaces_earlier in its header.
func loadSegments(fs FS, dir string, numbers []uint64) ([]segment, error) {
	var segments []segment
	for i := len(numbers) - 1; i >= 0; i-- {
		path := filepath.Join(dir, segmentName(numbers[i]))
		if i+1 < len(numbers) && numbers[i]+1 != numbers[i+1] {
			return nil, &CorruptError{Path: path, Reason: "the next segment is missing"}
		}
		seg, err := loadSegment(fs, path, i == len(numbers)-1)
		if err != nil {
			return nil, err
		}
		segments = append(segments, seg)
		if seg.header.GetReplacesEarlier() {
			slices.Reverse(segments)
			return segments, nil
		}
	}
	path := filepath.Join(dir, segmentName(numbers[0]))
	return nil, &CorruptError{Path: path, Reason: "an earlier segment is missing"}
}

func loadSegment(fs FS, path string, last bool) (segment, error) {
	seg := segment{path: path}
	data, err := fs.ReadFile(path)
	if err != nil {
		return seg, err
	}
	for offset := 0; offset < len(data) || offset == 0; {
		payload, size, state := readRecord(data, offset)
		if state == recordTorn && last && offset > 0 {
			return seg, nil
		}
		if state != recordValid {
			return seg, &CorruptError{Path: path, Offset: offset, Reason: "the length or checksum of a record is wrong"}
		}
		if err := seg.add(payload); err != nil {
			return seg, &CorruptError{Path: path, Offset: offset, Reason: err.Error()}
		}
		offset += size
	}
	return seg, nil
}

// add decodes a record; the first one is the header.
func (seg *segment) add(payload []byte) error {
	if seg.header == nil {
		seg.header = &controlpb.SegmentHeader{}
		return proto.Unmarshal(payload, seg.header)
	}
	frame := &controlpb.LogFrame{}
	seg.frames = append(seg.frames, frame)
	return proto.Unmarshal(payload, frame)
}

// replay applies the records of the segments in order and keeps the entries that follow the snapshot.
func replay(st *agreement.State, segments []segment) error {
	var log []agreement.Entry
	for _, seg := range segments {
		st.Self = agreement.ReplicaFromProto(seg.header.GetSelf())
		st.HardState = agreement.HardStateFromProto(seg.header.GetHardState())
		for _, frame := range seg.frames {
			st.HardState = agreement.HardStateFromProto(frame.GetHardState())
			for _, e := range agreement.EntriesFromProto(frame.GetEntries()) {
				next, ok := overwrite(log, e)
				if !ok {
					return &CorruptError{Path: seg.path, Reason: fmt.Sprintf("entry %d follows a gap", e.Index)}
				}
				log = next
			}
		}
	}
	entries, ok := entriesAfter(log, st.Snapshot)
	if !ok {
		path := segments[0].path
		return &CorruptError{Path: path, Reason: "entries between snapshot and log are missing"}
	}
	st.Entries = entries
	st.HardState.Commit = max(st.HardState.Commit, st.Snapshot.Index)
	if last := st.Snapshot.Index + uint64(len(entries)); st.HardState.Commit > last {
		return &CorruptError{Path: segments[0].path, Reason: "committed entries are missing"}
	}
	return nil
}

// overwrite appends an entry to a log and removes entries with the same or a larger index. It reports
// false if the index does not follow the log.
func overwrite(log []agreement.Entry, e agreement.Entry) ([]agreement.Entry, bool) {
	if len(log) == 0 {
		return append(log, e), true
	}
	first := log[0].Index
	if e.Index < first || e.Index > first+uint64(len(log)) {
		return log, false
	}
	return append(log[:e.Index-first], e), true
}

// entriesAfter returns the entries that follow a snapshot, and false if some are missing. A log that
// conflicts with the snapshot is obsolete: the replica crashed after it had stored a received snapshot
// and before it started the new segment.
func entriesAfter(log []agreement.Entry, s agreement.Snapshot) ([]agreement.Entry, bool) {
	if len(log) == 0 {
		return nil, true
	}
	first, last := log[0].Index, log[len(log)-1].Index
	switch {
	case first == s.Index+1:
		return log, true
	case first > s.Index+1:
		return nil, false
	case last < s.Index || log[s.Index-first].Term != s.Term:
		return nil, true
	}
	return slices.Clone(log[s.Index-first+1:]), true
}
