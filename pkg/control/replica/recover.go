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

// groupPeriod is how often a replica without a leader asks the others for their group.
const groupPeriod = 2 * time.Second

// Recovery is the data folder of a stopped replica whose group has lost a majority for good. It
// keeps the folder locked until Close.
type Recovery struct {
	// Name is the daemon's name, Dir its data folder.
	Name, Dir string
	// State is what the folder holds.
	State agreement.State
	// Version is the last accepted version that this copy holds, 0 for none.
	Version uint64
	// Last is the latest accepted change of this copy, nil if there is none.
	Last *controlpb.HistoryRecord

	machine *state.Machine
	lock    *os.File
}

// Running returns the names of the other replicas of the settings that answer and belong to a group.
// A group is recovered only while none of them runs.
func Running(ctx context.Context, name string, hosts []*controlpb.ReplicaHost, dial []grpc.DialOption) []string {
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

// watchGroups logs that this replica was left behind by a recovery: it has no leader, because the
// others belong to a later group.
func (r *Replica) watchGroups(ctx context.Context) error {
	var told logLimiter
	without := 0
	return supervise.Every(ctx, groupPeriod, func() {
		without++
		group, st := r.identity.Load().GetGroup(), r.Status()
		if !st.Loaded || st.Leader != agreement.None || group == 0 {
			without = 0
		}
		if without < 2 { // one alone may be an election
			return
		}
		for _, answer := range r.identifyOthers(ctx) {
			if other := answer.GetGroup(); other != 0 && other != group && told.due() {
				events.OtherGroup.Log(r.log, logrus.Fields{"replica": ident.DaemonID(answer.GetId()), "group": group, "other": other})
			}
		}
	})
}

// OpenRecovery reads the data folder of a stopped replica and changes nothing. It refuses the folder
// of a running one.
func OpenRecovery(name, dir string) (*Recovery, error) {
	if _, err := os.Stat(filepath.Join(dir, walFolder)); err != nil {
		return nil, errors.Wrap(err, "no replica has run in this data folder: name the settings of a replica that still has its disk")
	}
	lock, err := lockFolder(dir)
	if err != nil {
		return nil, err
	}
	x := &Recovery{Name: name, Dir: dir, lock: lock}
	if err := x.read(); err != nil {
		lock.Close()
		return nil, err
	}
	return x, nil
}

func (x *Recovery) read() error {
	st, err := storage.Load(storage.OS{}, x.wal())
	if err != nil {
		return err
	}
	if id := ident.Daemon(x.Name); st.Self.ID != id {
		return &storage.OtherReplicaError{Dir: x.Dir, Found: st.Self, Want: agreement.Replica{ID: id}}
	}
	if st.LatestMembership().Voters() == 0 {
		return errors.New("this replica had no state of its group yet: name the settings of a replica that has")
	}
	x.State = st
	if x.machine, err = replay(&st); err != nil {
		return err
	}
	x.Version = x.machine.View().Version
	if records := x.machine.History(0, 1).GetRecords(); len(records) > 0 {
		x.Last = records[0]
	}
	return nil
}

func (x *Recovery) wal() string { return filepath.Join(x.Dir, walFolder) }

// replay returns the state after every entry of a copy. Entries that are not known to be committed
// count: they may have been accepted.
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

// Done reports whether the replica is the only voter already, so that it needs no recovery.
func (x *Recovery) Done() bool {
	members := x.State.LatestMembership()
	return members.Voters() == 1 && members.IsVoter(x.State.Self)
}

// FirstIndex returns the log index, and so the smallest version, with which the new group begins.
func (x *Recovery) FirstIndex() uint64 { return agreement.RecoveredIndex(&x.State) }

// Perform makes the replica the only voter of a new group. It is durable when Perform returns, and
// either whole or not begun after a crash.
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
	if err := storage.Recover(storage.OS{}, x.wal(), next); err != nil {
		return err
	}
	x.State = next
	return nil
}

// Close releases the folder.
func (x *Recovery) Close() error { return x.lock.Close() }
