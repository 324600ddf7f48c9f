package daemon_test

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/control/distribution"
	"rosemarygate/pkg/control/replica"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/settings"
)

// prepareReplacement prepares host 3 to replace the replica on host 2.
func (f *controlFleet) prepareReplacement() *controlpb.ReplaceReplicaRequest {
	joining := f.settings[3]
	joining.DataDir = filepath.Join(f.t.TempDir(), "data")
	joining.Control.Replica = true
	host := settings.Replica{Name: joining.Name, Address: joining.Address(testGRPCPort)}
	joining.Control.Replicas = append(slices.Clone(joining.Control.Replicas[:2]), host)
	return &controlpb.ReplaceReplicaRequest{
		ChangeId: "replace", Operator: "asha", Leaving: f.settings[2].Name,
		Joining: &controlpb.ReplicaHost{Name: host.Name, Address: host.Address.String()},
	}
}

// awaitSummary waits until the latest accepted change has a summary.
func (f *controlFleet) awaitSummary(summary string) {
	f.t.Helper()
	operator := f.operator(0)
	f.await(summary, func() bool {
		history, err := operator.History(f.context(), &controlpb.HistoryRequest{Limit: 1})
		return err == nil && history.GetRecords()[0].GetSummary() == summary
	})
}

func (f *controlFleet) wal(i int) string { return filepath.Join(f.settings[i].DataDir, "agreement") }

// recovery opens the data folder of a host as "replicas recover" does.
func (f *controlFleet) recovery(i int) (*replica.Recovery, error) {
	return replica.OpenRecovery(f.settings[i].Name, f.settings[i].DataDir)
}

// logged returns whether an event was logged.
func logged(hook *logtest.Hook, event events.Event) func() bool {
	return func() bool {
		return slices.ContainsFunc(hook.AllEntries(), func(e *logrus.Entry) bool { return e.Data["event"] == event.Number })
	}
}

// recover makes host 0's copy the only voter of a new group, twice.
func (f *controlFleet) recover(version uint64) {
	x, err := f.recovery(0)
	assert.NilError(f.t, err)
	assert.Assert(f.t, !x.IsSoleVoter())
	assert.Equal(f.t, x.Version, version)
	assert.Equal(f.t, x.LatestChange.GetOperator(), "asha")
	assert.NilError(f.t, x.Perform("ravi", time.Now()))
	assert.NilError(f.t, x.Close())
	x, err = f.recovery(0)
	assert.NilError(f.t, err)
	assert.Assert(f.t, x.IsSoleVoter())
	assert.NilError(f.t, x.Close())
}

// Guards against a group that stays without a majority for good, against replicas of the old group
// that join the recovered one, and against a daemon that goes back from a version which the recovery
// lost without anyone noticing.
func TestRecoverFromOneCopy(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, "a", "b", "c", "c")
	hook := logtest.NewLocal(f.log.(*logrus.Logger))
	f.settings[3].DataDir = filepath.Join(t.TempDir(), "data")
	f.startAll()
	first := change("first", 0, "10-acme.yaml", serviceFile(1), 0)
	version := f.mustPush(0, first)
	f.await("the version everywhere", f.allAt(version))
	_, err := f.recovery(0)
	assert.ErrorContains(t, err, "in use by a running replica")

	f.kill(0)
	var hosts []*controlpb.ReplicaHost
	for _, r := range f.settings[0].Control.Replicas {
		hosts = append(hosts, &controlpb.ReplicaHost{Name: r.Name, Address: r.Address.String()})
	}
	running := replica.RunningReplicas(f.context(), f.settings[0].Name, hosts, []grpc.DialOption{f.credentials})
	slices.Sort(running)
	assert.DeepEqual(t, running, []string{f.settings[1].Name, f.settings[2].Name})
	newer := f.mustPush(1, change("second", version, "10-acme.yaml", serviceFile(2), 0))
	f.await("the newer version at the daemons left", f.allAt(newer))
	f.kill(1)
	f.kill(2)
	f.recover(version)
	f.start(0, 1) // host 1 with the files of the old group
	f.await("the recovered replica leads", func() bool { return f.daemons[0].Control().Status().Role == agreement.Leader })
	f.await("the replica of the old group knows", logged(hook, events.GroupsDiffer))
	assert.Equal(t, len(f.daemons[0].Control().Status().Membership), 1)
	f.kill(1)
	for _, i := range []int{1, 2} {
		assert.NilError(t, os.RemoveAll(f.wal(i)))
	}
	f.start(1, 2)
	f.await("three voters", func() bool { return f.daemons[0].Control().Status().Membership.Voters() == 3 })
	f.recoverNewer(first, version, newer)
}

// recoverNewer brings back what only daemons still have.
func (f *controlFleet) recoverNewer(first *controlpb.PushRequest, version, newer uint64) {
	t := f.t
	f.await("the daemon at a replica", func() bool {
		_, err := f.push(1, change("third", version, "20-acme.yaml", "users: {acme: {services: {label: {slots: 2}}}}", 0))
		return err != nil && refusalKind(t, err) == controlpb.Refusal_KIND_DAEMONS_AHEAD
	})
	assert.Equal(t, f.daemons[3].Status().Version, newer)
	reply, err := f.push(1, first)
	assert.NilError(t, err)
	assert.Assert(t, reply.GetReply().GetResent() && reply.GetReply().GetVersion() == version)
	lost := change("fourth", newer, "10-acme.yaml", serviceFile(3), 0)
	lost.ReplaceNewer = true
	_, err = f.push(1, lost)
	assert.Equal(t, refusalKind(t, err), controlpb.Refusal_KIND_BASE_UNKNOWN)

	exported, err := distribution.ReadCopy(filepath.Join(f.settings[3].DataDir, "accepted.copy"))
	assert.NilError(t, err)
	assert.Equal(t, string(exported.GetFiles()[0].GetData()), serviceFile(2))
	back := change("back", version, "10-acme.yaml", string(exported.GetFiles()[0].GetData()), 0)
	back.ReplaceNewer = true
	next := f.mustPush(2, back)
	assert.Assert(t, next > agreement.RecoveryStep, "version %d", next)
	f.await("the next version everywhere", f.allAt(next))
	kept, err := filepath.Glob(filepath.Join(f.settings[3].DataDir, "accepted.copy.*"))
	assert.NilError(t, err)
	assert.Equal(t, len(kept), 1)
	now, err := distribution.ReadCopy(filepath.Join(f.settings[3].DataDir, "accepted.copy"))
	assert.NilError(t, err)
	assert.DeepEqual(t, now.GetKeys()[0].GetSecret(), exported.GetKeys()[0].GetSecret())
	history, err := f.operator(0).History(f.context(), &controlpb.HistoryRequest{Limit: 2})
	assert.NilError(t, err)
	assert.Equal(t, history.GetRecords()[1].GetOperator(), "ravi")
}

// Guards against a replacement that cannot be given up when the joining host never answers, so that no
// other one can be started, and against one that is given up after the old replica was removed.
func TestCancelReplacement(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, "a", "b", "c", "c")
	q := f.prepareReplacement()
	f.start(0, 1, 2)
	f.await("a leader", func() bool { return f.leader() >= 0 })
	before := f.daemons[0].Control().Status().Membership
	_, err := f.operator(1).ReplaceReplica(f.context(), q)
	assert.NilError(t, err)
	cancel := &controlpb.CancelReplacementRequest{ChangeId: "cancel", Operator: "asha", Leaving: q.GetLeaving()}
	_, err = f.operator(2).CancelReplacement(f.context(), cancel)
	assert.NilError(t, err)
	f.awaitSummary("replacement cancelled")
	assert.DeepEqual(t, f.daemons[0].Control().Status().Membership, before)

	f.start(3)
	q.ChangeId = "replace again"
	_, err = f.operator(1).ReplaceReplica(f.context(), q)
	assert.NilError(t, err)
	f.awaitSummary("replacement completed")
	cancel.ChangeId = "cancel too late"
	_, err = f.operator(1).CancelReplacement(f.context(), cancel)
	assert.Equal(t, refusalKind(t, replica.RefusalOf(err)), controlpb.Refusal_KIND_REPLACEMENT_CONFLICT)
}

// mute is a joining host that names its copy of the log and takes no messages.
type mute struct {
	controlpb.UnimplementedReplicationServer
	name string
}

func (m *mute) Identify(context.Context, *controlpb.IdentifyRequest) (*controlpb.IdentifyReply, error) {
	return &controlpb.IdentifyReply{Id: uint64(ident.Daemon(m.name)), Incarnation: 7}, nil
}

// Guards against a cancelled replacement that leaves its learner in the group.
func TestCancelReplacementWithLearner(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, "a", "b", "c", "c")
	q := f.prepareReplacement()
	listener, err := net.Listen("tcp", q.GetJoining().GetAddress())
	assert.NilError(t, err)
	server := grpc.NewServer()
	controlpb.RegisterReplicationServer(server, &mute{name: q.GetJoining().GetName()})
	go func() { _ = server.Serve(listener) }() // ends with Stop
	t.Cleanup(server.Stop)
	f.start(0, 1, 2)
	f.await("a leader", func() bool { return f.leader() >= 0 })
	_, err = f.operator(1).ReplaceReplica(f.context(), q)
	assert.NilError(t, err)
	members := func() int { return len(f.daemons[0].Control().Status().Membership) }
	f.await("a learner that never catches up", func() bool { return members() == 4 })
	cancel := &controlpb.CancelReplacementRequest{ChangeId: "cancel", Operator: "asha", Leaving: q.GetLeaving()}
	_, err = f.operator(2).CancelReplacement(f.context(), cancel)
	assert.NilError(t, err)
	f.awaitSummary("replacement cancelled")
	assert.Equal(t, members(), 3)
	assert.Equal(t, f.daemons[0].Control().Status().Membership.Voters(), 3)
}

// Guards against a replica that was removed while it was cut off and goes on as a source of changes
// for its daemons, and against the loss of its files.
func TestRemovedReplicaIsTold(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, "a", "b", "c", "c")
	hook := logtest.NewLocal(f.log.(*logrus.Logger))
	q := f.prepareReplacement()
	f.start(0, 1, 2)
	f.await("a leader", func() bool { return f.leader() >= 0 })
	version := f.mustPush(0, change("first", 0, "10-acme.yaml", serviceFile(1), 0))
	f.await("the version everywhere", f.allAt(version))
	f.wires.isolate(f.host(2), true)
	f.await("another leader", func() bool { return f.leader() >= 0 })
	f.start(3)
	_, err := f.operator(0).ReplaceReplica(f.context(), q)
	assert.NilError(t, err)
	f.awaitSummary("replacement completed")

	f.wires.isolate(f.host(2), false)
	removed := f.daemons[2]
	took := f.await("the removed replica knows", func() bool { return removed.Control().Status().Removed })
	t.Logf("a removed replica knew of it after %s", took)
	assert.Equal(t, removed.Status().Replica.Membership, "removed")
	assert.Assert(t, logged(hook, events.ReplicaRemoved)())
	next := f.mustPush(0, change("second", version, "10-acme.yaml", serviceFile(2), 0))
	f.await("the next version everywhere", f.allAt(next))
	files, err := os.ReadDir(f.wal(2))
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	_, member := f.daemons[0].Control().Status().Membership.Find(ident.Daemon(f.settings[2].Name))
	assert.Assert(t, !member)
}
