package storage

import (
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
)

// ErrEmpty is returned by Load for a folder without state.
var ErrEmpty = errors.New("the data folder holds no state of a replica: name the settings of a replica that still has its disk")

// Load reads the durable state of a folder that no process has open, and changes nothing.
func Load(fs FS, dir string) (agreement.State, error) {
	st, files, err := load(fs, dir)
	if err == nil && !files.any() {
		err = ErrEmpty
	}
	return st, err
}

// Recover replaces the state of a folder that no process has open by a state without entries that
// begins a new group (agreement.RecoveredState). One renamed file makes the change: a crash before
// leaves the old state, and after it Open completes the change.
func Recover(fs FS, dir string, st agreement.State) error {
	snap := agreement.SnapshotProto(&st.Snapshot)
	snap.Recovered = &controlpb.SegmentHeader{
		Self: agreement.ReplicaProto(st.Self), HardState: agreement.HardStateProto(st.HardState),
	}
	payload, err := proto.Marshal(snap)
	if err != nil {
		return errors.WithStack(err)
	}
	path := filepath.Join(dir, snapshotName(st.Snapshot.Index))
	return errors.Wrap(WriteAtomic(fs, path, appendRecord(nil, payload)), "write recovered state")
}

// startsGroup reports whether a recovered snapshot begins a group to which the segments do not
// belong: they are those of the group before the recovery.
func startsGroup(recovered *controlpb.SegmentHeader, segments []segment) bool {
	if recovered == nil {
		return false
	}
	last := segments[len(segments)-1].header
	return last.GetHardState().GetGroup() != recovered.GetHardState().GetGroup()
}
