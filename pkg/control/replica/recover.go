package replica

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/control/state"
	"rosemarygate/pkg/control/transport"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/storage"
	"rosemarygate/pkg/supervise"
)

// groupCheckPeriod is how often a replica without a leader queries the groups of the others.
const groupCheckPeriod = 2 * time.Second

// Recovery is the data folder of a stopped replica whose group permanently lost its majority. The
// folder is locked until Close.
type Recovery struct {
	// Name is the daemon's name, Dir its data folder.
	Name, Dir string
	// State is the state stored in the folder.
	State agreement.State
	// Version is the latest accepted version in this copy, 0 if there is none.
	Version uint64
	// LatestChange is the latest accepted change in this copy, nil if there is none.
	LatestChange *controlpb.HistoryRecord

	machine *state.Machine
	lock    *os.File
}

// RunningReplicas returns the names of the other replicas in the settings that respond and belong to a group.
// A group must not be recovered while any of them is running.
func RunningReplicas(ctx context.Context, name string, hosts []*controlpb.ReplicaHost, dial []grpc.DialOption) []string {
	r := &Replica{cfg: Config{Name: name, Replicas: hosts}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.transport = transport.New(ctx, nil, r.address, dial)
	var running []string
	for _, answer := range r.identifyOthers(ctx) {
		if answer.GetGroup() == 0 {
			continue
		}
		i := slices.IndexFunc(hosts, func(h *controlpb.ReplicaHost) bool {
			return uint64(ident.Daemon(h.GetName())) == answer.GetId()
		})
		running = append(running, hosts[i].GetName())
	}
	return running
}

// runGroupCheck logs when this replica has no leader because the others belong to another group, for
// example after a recovery from the copy of one of them.
func (r *Replica) runGroupCheck(ctx context.Context) error {
	var limiter logLimiter
	leaderlessChecks := 0
	return supervise.Every(ctx, groupCheckPeriod, func() {
		leaderlessChecks++
		group, st := r.identity.Load().GetGroup(), r.Status()
		if !st.Loaded || st.Leader != agreement.None || group == 0 {
			leaderlessChecks = 0
		}
		if leaderlessChecks < 2 { // the first may happen during an election
			return
		}
		for _, answer := range r.identifyOthers(ctx) {
			if other := answer.GetGroup(); other != 0 && other != group && limiter.allow() {
				events.GroupsDiffer.Log(r.log, logrus.Fields{"replica": ident.DaemonID(answer.GetId()), "group": group, "other": other})
			}
		}
	})
}

// OpenRecovery locks and reads the data folder of a stopped replica; it changes none of its state. It
// fails if the replica is running.
func OpenRecovery(name, dir string) (*Recovery, error) {
	if _, err := os.Stat(filepath.Join(dir, walFolder)); err != nil {
		return nil, errors.Wrap(err, "no replica has run in this data folder: name the settings of a replica that still has its disk")
	}
	lock, err := lockFolder(dir)
	if err != nil {
		return nil, err
	}
	recovery := &Recovery{Name: name, Dir: dir, lock: lock}
	if err := recovery.load(); err != nil {
		lock.Close()
		return nil, err
	}
	return recovery, nil
}

func (x *Recovery) load() error {
	st, err := storage.Load(storage.OS{}, x.walDir())
	if err != nil {
		return err
	}
	if id := ident.Daemon(x.Name); st.Self.ID != id {
		return &storage.OtherReplicaError{Dir: x.Dir, Found: st.Self, Want: agreement.Replica{ID: id}}
	}
	if st.LatestMembership().Voters() == 0 {
		return errors.New("this replica has no state of its group yet: name the settings of a replica that has one")
	}
	x.State = st
	if x.machine, err = replay(&st); err != nil {
		return err
	}
	x.Version = x.machine.View().Version
	if records := x.machine.History(0, 1).GetRecords(); len(records) > 0 {
		x.LatestChange = records[0]
	}
	return nil
}

func (x *Recovery) walDir() string { return filepath.Join(x.Dir, walFolder) }

// replay returns the state after all entries of a copy. It includes entries that are not known to be
// committed, because they may have been accepted.
func replay(st *agreement.State) (*state.Machine, error) {
	m := state.New(Rules())
	if st.Snapshot.Index > 0 {
		var err error
		if m, err = state.Restore(Rules(), st.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	for i := range st.Entries {
		if _, err := m.Apply(st.Entries[i].Index, st.Entries[i].Data); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// IsSoleVoter reports whether the replica is already the only voter, so that no recovery is needed.
func (x *Recovery) IsSoleVoter() bool {
	members := x.State.LatestMembership()
	return members.Voters() == 1 && members.IsVoter(x.State.Self)
}

// FirstIndex returns the first log index of the new group, which is also its smallest version.
func (x *Recovery) FirstIndex() uint64 { return agreement.RecoveredIndex(&x.State) }

// Perform makes the replica the only voter of a new group. The result is durable when Perform returns;
// after a crash the recovery is either complete or not begun.
func (x *Recovery) Perform(operator string, at time.Time) error {
	last, first := x.State.LastIndex(), x.FirstIndex()
	x.machine.Recover(&controlpb.Recovery{LastIndex: last, FirstIndex: first}, operator, x.Name, at)
	data, err := x.machine.Snapshot()
	if err != nil {
		return err
	}
	incarnation := max(ident.Incarnation(at.UnixNano()), x.State.Self.Incarnation+1)
	self := agreement.Replica{ID: x.State.Self.ID, Incarnation: incarnation}
	next := agreement.RecoveredState(&x.State, self, max(rand.Uint64(), 1), data)
	if err := storage.Recover(storage.OS{}, x.walDir(), next); err != nil {
		return err
	}
	x.State = next
	return nil
}

// Close unlocks the folder.
func (x *Recovery) Close() error { return x.lock.Close() }
