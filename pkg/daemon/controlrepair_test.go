package daemon_test

import (
	"fmt"
	"io"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/client"
	"rosemarygate/pkg/control/totals"
	"rosemarygate/pkg/fleet"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/settings"
	"rosemarygate/pkg/standin"
)

// runRequest runs one request to the service in serviceFile(1), on its own flow and upstream.
func (f *controlFleet) runRequest() {
	ctx := f.context()
	_, _, err := standin.Start(ctx, standin.Config{
		Service: "acme/label", Name: "up", DataCentre: "c", Listen: "127.0.0.1:0", Credential: "credential-1",
		Registries: []string{f.settings[3].Address(testGRPCPort).String()}, Slots: 1, Records: standin.NewRecords(),
	})
	assert.NilError(f.t, err)
	transport, err := fleet.NewFabric([]netip.AddrPort{f.settings[3].Address(7001)}, fleet.FabricFaults{}, 1)
	assert.NilError(f.t, err)
	c := client.New(transport, client.Config{})
	defer c.Close()
	caller := c.NewCaller()
	defer caller.Close()
	f.waitFor("an answer of the upstream", func() bool {
		attempts, err := caller.Do(ctx, client.Request{Class: "sheet", Payload: []byte("x")})
		return err == nil && attempts[len(attempts)-1].Result.Outcome == client.Answered
	})
}

// Guards against a replacement that never ends, or that leaves the old replica with a vote.
func TestReplaceReplica(t *testing.T) {
	for name, dead := range map[string]bool{"of a running host": false, "of a dead host": true} {
		t.Run(name, func(t *testing.T) { testReplaceReplica(t, dead) })
	}
}

func testReplaceReplica(t *testing.T, dead bool) {
	t.Parallel()
	f := newControlFleet(t, "a", "b", "c", "c")
	joining := f.settings[3]
	f.start(0, 1, 2)
	f.waitFor("a leader", func() bool { return f.leader() >= 0 })
	version := f.mustPush(0, pushRequest("first", 0, "10-acme.yaml", serviceFile(1), 0))

	if dead {
		f.kill(2)
	}
	joining.DataDir = filepath.Join(t.TempDir(), "data")
	joining.Control.Replica = true
	host := settings.Replica{Name: joining.Name, Address: joining.Address(testGRPCPort)}
	joining.Control.Replicas = append(slices.Clone(joining.Control.Replicas[:2]), host)
	f.start(3)
	q := &controlpb.ReplaceReplicaRequest{
		ChangeId: "replace", Operator: "asha", Leaving: f.settings[2].Name,
		Joining: &controlpb.ReplicaHost{Name: host.Name, Address: host.Address.String()},
	}
	_, err := f.operator(1).ReplaceReplica(f.context(), q)
	assert.NilError(t, err)
	operator := f.operator(0)
	took := f.waitFor("the end of the replacement", func() bool {
		history, err := operator.History(f.context(), &controlpb.HistoryRequest{Limit: 1})
		return err == nil && history.GetRecords()[0].GetSummary() == "replacement completed"
	})
	t.Logf("replaced a replica in %s", took)
	members := f.daemons[3].ControlReplica().Status().Membership
	_, present := members.Find(ident.Daemon(f.settings[2].Name))
	assert.Assert(t, !present)
	assert.Equal(t, members.Voters(), 3)

	if !dead {
		f.kill(2)
	}
	f.kill(0)
	next := f.mustPush(3, pushRequest("second", version, "10-acme.yaml", serviceFile(2), 0))
	assert.Assert(t, next > version)
}

// flowsCarried returns the sum of the carried flows of all days and services.
func flowsCarried(days []*controlpb.DayCounters) uint64 {
	sum := uint64(0)
	for _, row := range totals.Rows(days) {
		if row.Key.Kind == controlpb.Counter_KIND_FLOWS_CARRIED {
			sum += row.Count
		}
	}
	return sum
}

// flowsAtReplica returns the carried flows in the totals of one replica, including copies of the totals
// of other replicas.
func (f *controlFleet) flowsAtReplica(i int) uint64 {
	conn, err := grpc.NewClient(f.settings[i].Address(testGRPCPort).String(), f.credentials)
	assert.NilError(f.t, err)
	defer conn.Close()
	stream, err := controlpb.NewReplicationClient(conn).Collect(f.context(), &controlpb.CollectRequest{FromDay: 0, ToDay: math.MaxInt32})
	assert.NilError(f.t, err)
	sum := uint64(0)
	for {
		day, err := stream.Recv()
		if err == io.EOF {
			return sum
		}
		assert.NilError(f.t, err)
		sum += flowsCarried([]*controlpb.DayCounters{totals.Combine(totals.Day(day.GetDay()), []*controlpb.DayTotals{day})})
	}
}

// Guards against daily counters that do not reach the totals or the other two replicas, that count
// twice when a daemon reports to two replicas, or that are lost with a disk, and against a query that
// does not list unreachable replicas.
func TestTotalsReachTheOperator(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, "a", "b", "c", "c")
	f.startAll()
	f.mustPush(0, pushRequest("first", 0, "10-acme.yaml", serviceFile(1), 5*time.Second))
	f.runRequest()
	total := func(i int, missing ...string) uint64 {
		reply, err := f.operator(i).Totals(f.context(), &controlpb.TotalsRequest{User: "acme"})
		assert.NilError(t, err)
		assert.Assert(t, slices.Equal(reply.GetMissingReplicas(), missing), "%v", reply.GetMissingReplicas())
		return flowsCarried(reply.GetDays())
	}
	f.waitFor("the flow in the totals", func() bool { return total(0) == 1 })
	f.waitFor("copies at all replicas", func() bool { return f.flowsAtReplica(0) == 1 && f.flowsAtReplica(1) == 1 && f.flowsAtReplica(2) == 1 })
	f.kill(2) // the daemon repeats its reports to another replica
	time.Sleep(3 * time.Second)
	assert.Equal(t, total(0, f.settings[2].Name), uint64(1))
	f.network.isolate(f.host(1), true)
	assert.Equal(t, total(0, f.settings[1].Name, f.settings[2].Name), uint64(1))
	f.network.isolate(f.host(1), false)

	assert.NilError(t, os.RemoveAll(f.settings[2].DataDir))
	f.start(2)
	f.waitFor("the totals from before the disk was lost", func() bool { return f.flowsAtReplica(2) == 1 })
	assert.Equal(t, total(2), uint64(1))
}

// Guards against a replica with a failed disk whose daemons stay at an old version, and against changes
// that are no longer accepted although the other replicas work.
func TestBrokenDisk(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, "a", "b", "c", "a")
	f.startAll()
	version := f.mustPush(0, pushRequest("first", 0, "10-acme.yaml", serviceFile(1), 0))
	f.waitFor("the version everywhere", f.allInForce(version))
	broken := f.leader()
	wal := filepath.Join(f.settings[broken].DataDir, "agreement")
	assert.NilError(t, os.RemoveAll(wal))
	assert.NilError(t, os.WriteFile(wal, nil, 0o600))
	other := (broken + 1) % 3
	padding := "\n#" + strings.Repeat("x", 800_000)
	for i := range 6 { // enough bytes for a snapshot, which detects the missing folder
		version = f.mustPush(other, pushRequest(fmt.Sprint("push ", i), version, "10-acme.yaml", serviceFile(i)+padding, 0))
	}
	f.waitFor("the version everywhere", f.allInForce(version))
	assert.Assert(t, !f.daemons[broken].ControlReplica().Status().Loaded)
	_, err := f.push(broken, pushRequest("refused", version, "10-acme.yaml", serviceFile(1), 0))
	assert.Equal(t, refusalKind(t, err), controlpb.Refusal_KIND_NO_MAJORITY)

	assert.NilError(t, os.Remove(wal))
	f.waitFor("the repaired replica as a voter", func() bool {
		st := f.daemons[broken].ControlReplica().Status()
		return st.Membership.IsVoter(st.Self) && st.Version == version
	})
}
