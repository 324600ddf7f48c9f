package storage

import (
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
)

// ErrEmpty is returned by Load for a data folder without state.
var ErrEmpty = errors.New("the data folder has no state of a replica: name the settings file of a replica whose disk is intact")

// Load reads the durable state of a data folder without changing it. No process may have the folder
// open.
func Load(fs FS, dir string) (agreement.State, error) {
	st, files, err := load(fs, dir)
	if err == nil && !files.hasAny() {
		err = ErrEmpty
	}
	return st, err
}

// Recover replaces the state of a data folder by a state without entries that starts a new group
// (agreement.RecoveredState). No process may have the folder open. The change takes effect atomically
// with the renaming of one file; Open then completes it.
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

// startsGroup reports whether a recovered snapshot starts another group than that of the segments,
// which are then those of the group before the recovery.
func startsGroup(recovered *controlpb.SegmentHeader, segments []segment) bool {
	if recovered == nil {
		return false
	}
	last := segments[len(segments)-1].header
	return last.GetHardState().GetGroup() != recovered.GetHardState().GetGroup()
}
