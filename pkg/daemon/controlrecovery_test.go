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

// waitForSummary waits until the latest accepted change has the given summary.
func (f *controlFleet) waitForSummary(summary string) {
	f.t.Helper()
	operator := f.operator(0)
	f.waitFor(summary, func() bool {
		history, err := operator.History(f.context(), &controlpb.HistoryRequest{Limit: 1})
		return err == nil && history.GetRecords()[0].GetSummary() == summary
	})
}

func (f *controlFleet) walDir(i int) string { return filepath.Join(f.settings[i].DataDir, "agreement") }

// recovery opens the data folder of a host in the same way as the command "replicas recover".
func (f *controlFleet) recovery(i int) (*replica.Recovery, error) {
	return replica.OpenRecovery(f.settings[i].Name, f.settings[i].DataDir)
}

// logged returns a function that reports whether an event was logged.
func logged(hook *logtest.Hook, event events.Event) func() bool {
	return func() bool {
		return slices.ContainsFunc(hook.AllEntries(), func(e *logrus.Entry) bool { return e.Data["event"] == event.Number })
	}
}

// recoverHost0 makes the replica of host 0 the only voter of a new group, and checks that a second
// recovery finds it so.
func (f *controlFleet) recoverHost0(version uint64) {
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

// Guards against a group that permanently stays without a majority, against replicas of the old group
// that join the recovered group, and against a daemon that silently goes back to an earlier version
// because the recovery has lost its own.
func TestRecoverFromOneCopy(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, "a", "b", "c", "c")
	hook := logtest.NewLocal(f.log.(*logrus.Logger))
	f.settings[3].DataDir = filepath.Join(t.TempDir(), "data")
	f.startAll()
	first := pushRequest("first", 0, "10-acme.yaml", serviceFile(1), 0)
	version := f.mustPush(0, first)
	f.waitFor("the version everywhere", f.allInForce(version))
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
	newer := f.mustPush(1, pushRequest("second", version, "10-acme.yaml", serviceFile(2), 0))
	f.waitFor("the newer version at the remaining daemons", f.allInForce(newer))
	f.kill(1)
	f.kill(2)
	f.recoverHost0(version)
	f.start(0, 1) // host 1 still has the files of the old group
	f.waitFor("the recovered replica as leader", func() bool { return f.daemons[0].ControlReplica().Status().Role == agreement.Leader })
	f.waitFor("the log event of the old group's replica", logged(hook, events.GroupsDiffer))
	assert.Equal(t, len(f.daemons[0].ControlReplica().Status().Membership), 1)
	f.kill(1)
	for _, i := range []int{1, 2} {
		assert.NilError(t, os.RemoveAll(f.walDir(i)))
	}
	f.start(1, 2)
	f.waitFor("three voters", func() bool { return f.daemons[0].ControlReplica().Status().Membership.Voters() == 3 })
	f.recoverNewer(first, version, newer)
}

// recoverNewer restores a version that only daemons still have.
func (f *controlFleet) recoverNewer(first *controlpb.PushRequest, version, newer uint64) {
	t := f.t
	f.waitFor("a refusal because a daemon is ahead", func() bool {
		_, err := f.push(1, pushRequest("third", version, "20-acme.yaml", "users: {acme: {services: {label: {slots: 2}}}}", 0))
		return err != nil && refusalKind(t, err) == controlpb.Refusal_KIND_DAEMONS_AHEAD
	})
	assert.Equal(t, f.daemons[3].Status().Version, newer)
	reply, err := f.push(1, first)
	assert.NilError(t, err)
	assert.Assert(t, reply.GetReply().GetResent() && reply.GetReply().GetVersion() == version)
	lost := pushRequest("fourth", newer, "10-acme.yaml", serviceFile(3), 0)
	lost.ReplaceNewer = true
	_, err = f.push(1, lost)
	assert.Equal(t, refusalKind(t, err), controlpb.Refusal_KIND_BASE_UNKNOWN)

	exported, err := distribution.ReadCopy(filepath.Join(f.settings[3].DataDir, "accepted.copy"))
	assert.NilError(t, err)
	assert.Equal(t, string(exported.GetFiles()[0].GetData()), serviceFile(2))
	back := pushRequest("back", version, "10-acme.yaml", string(exported.GetFiles()[0].GetData()), 0)
	back.ReplaceNewer = true
	next := f.mustPush(2, back)
	assert.Assert(t, next > agreement.RecoveryIndexStep, "version %d", next)
	f.waitFor("the next version everywhere", f.allInForce(next))
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

// Guards against a replacement that cannot be cancelled while the joining host does not answer, so that
// no other one can be started, and against a cancellation after the old replica was removed.
func TestCancelReplacement(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, "a", "b", "c", "c")
	q := f.prepareReplacement()
	f.start(0, 1, 2)
	f.waitFor("a leader", func() bool { return f.leader() >= 0 })
	before := f.daemons[0].ControlReplica().Status().Membership
	_, err := f.operator(1).ReplaceReplica(f.context(), q)
	assert.NilError(t, err)
	cancel := &controlpb.CancelReplacementRequest{ChangeId: "cancel", Operator: "asha", Leaving: q.GetLeaving()}
	_, err = f.operator(2).CancelReplacement(f.context(), cancel)
	assert.NilError(t, err)
	f.waitForSummary("replacement cancelled")
	assert.DeepEqual(t, f.daemons[0].ControlReplica().Status().Membership, before)

	f.start(3)
	q.ChangeId = "replace again"
	_, err = f.operator(1).ReplaceReplica(f.context(), q)
	assert.NilError(t, err)
	f.waitForSummary("replacement completed")
	cancel.ChangeId = "cancel too late"
	_, err = f.operator(1).CancelReplacement(f.context(), cancel)
	assert.Equal(t, refusalKind(t, replica.RefusalOf(err)), controlpb.Refusal_KIND_REPLACEMENT_CONFLICT)
}

// silentReplica is a joining replica that answers Identify and no other call.
type silentReplica struct {
	controlpb.UnimplementedReplicationServer
	name string
}

func (r *silentReplica) Identify(context.Context, *controlpb.IdentifyRequest) (*controlpb.IdentifyReply, error) {
	return &controlpb.IdentifyReply{Id: uint64(ident.Daemon(r.name)), Incarnation: 7}, nil
}

// Guards against a cancelled replacement whose learner stays in the group.
func TestCancelReplacementWithLearner(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, "a", "b", "c", "c")
	q := f.prepareReplacement()
	listener, err := net.Listen("tcp", q.GetJoining().GetAddress())
	assert.NilError(t, err)
	server := grpc.NewServer()
	controlpb.RegisterReplicationServer(server, &silentReplica{name: q.GetJoining().GetName()})
	go func() { _ = server.Serve(listener) }() // ends with Stop
	t.Cleanup(server.Stop)
	f.start(0, 1, 2)
	f.waitFor("a leader", func() bool { return f.leader() >= 0 })
	_, err = f.operator(1).ReplaceReplica(f.context(), q)
	assert.NilError(t, err)
	members := func() int { return len(f.daemons[0].ControlReplica().Status().Membership) }
	f.waitFor("a learner", func() bool { return members() == 4 })
	cancel := &controlpb.CancelReplacementRequest{ChangeId: "cancel", Operator: "asha", Leaving: q.GetLeaving()}
	_, err = f.operator(2).CancelReplacement(f.context(), cancel)
	assert.NilError(t, err)
	f.waitForSummary("replacement cancelled")
	assert.Equal(t, members(), 3)
	assert.Equal(t, f.daemons[0].ControlReplica().Status().Membership.Voters(), 3)
}

// Guards against a replica that was removed while it was cut off and still distributes its version to
// daemons, and against the loss of its files.
func TestRemovedReplicaDetectsRemoval(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, "a", "b", "c", "c")
	hook := logtest.NewLocal(f.log.(*logrus.Logger))
	q := f.prepareReplacement()
	f.start(0, 1, 2)
	f.waitFor("a leader", func() bool { return f.leader() >= 0 })
	version := f.mustPush(0, pushRequest("first", 0, "10-acme.yaml", serviceFile(1), 0))
	f.waitFor("the version everywhere", f.allInForce(version))
	f.network.isolate(f.host(2), true)
	f.waitFor("another leader", func() bool { return f.leader() >= 0 })
	f.start(3)
	_, err := f.operator(0).ReplaceReplica(f.context(), q)
	assert.NilError(t, err)
	f.waitForSummary("replacement completed")

	f.network.isolate(f.host(2), false)
	removed := f.daemons[2]
	took := f.waitFor("the removal at the removed replica", func() bool { return removed.ControlReplica().Status().Removed })
	t.Logf("removal detected after %s", took)
	assert.Equal(t, removed.Status().Replica.Membership, "removed")
	assert.Assert(t, logged(hook, events.ReplicaRemoved)())
	next := f.mustPush(0, pushRequest("second", version, "10-acme.yaml", serviceFile(2), 0))
	f.waitFor("the next version everywhere", f.allInForce(next))
	files, err := os.ReadDir(f.walDir(2))
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	_, member := f.daemons[0].ControlReplica().Status().Membership.Find(ident.Daemon(f.settings[2].Name))
	assert.Assert(t, !member)
}
