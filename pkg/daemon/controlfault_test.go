package daemon_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/control/replica"
	"rosemarygate/pkg/control/state"
)

func (f *controlFleet) push(i int, q *controlpb.PushRequest) (*controlpb.PushReply, error) {
	reply, err := f.operator(i).Push(f.context(), q)
	return reply, replica.RefusalOf(err)
}

func (f *controlFleet) mustPush(i int, q *controlpb.PushRequest) uint64 {
	f.t.Helper()
	reply, err := f.push(i, q)
	assert.NilError(f.t, err)
	return reply.GetReply().GetVersion()
}

func refusalKind(t *testing.T, err error) controlpb.Refusal_Kind {
	t.Helper()
	var refused *state.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	return refused.Refusal.GetKind()
}

func (f *controlFleet) allInForce(version uint64) func() bool {
	return func() bool {
		for _, d := range f.daemons {
			if d != nil && d.Status().Version != version {
				return false
			}
		}
		return true
	}
}

// Guards against a partitioned leader that accepts a push or returns old state as current, against a
// daemon on its side that stops serving, and against an accepted change that is lost when the
// partition ends.
func TestLeaderCutOff(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, "a", "b", "c", "a", "b")
	f.startAll()
	first := f.mustPush(0, pushRequest("first", 0, "10-acme.yaml", serviceFile(1), 5*time.Second))
	f.waitFor("the first version everywhere", f.allInForce(first))
	old := f.leader()
	f.network.isolate(f.host(old), true)

	begin := time.Now()
	_, err := f.push(old, pushRequest("lost", first, "20-lost.yaml", serviceFile(2), 0))
	assert.Equal(t, refusalKind(t, err), controlpb.Refusal_KIND_NO_MAJORITY)
	_, err = f.operator(old).Show(f.context(), &controlpb.ShowRequest{})
	assert.Equal(t, refusalKind(t, replica.RefusalOf(err)), controlpb.Refusal_KIND_NO_MAJORITY)
	t.Logf("push and read refused after %s", time.Since(begin))
	assert.Equal(t, f.daemons[old].Status().Version, first)

	second := f.mustPush((old+1)%3, pushRequest("second", first, "10-acme.yaml", serviceFile(3), 0))
	assert.Assert(t, second > first)
	assert.Equal(t, f.daemons[old].Status().Version, first)

	f.network.isolate(f.host(old), false)
	took := f.waitFor("the second version everywhere", f.allInForce(second))
	t.Logf("up to date %s after the end of the partition", took)
	assert.Assert(t, took < 3*time.Second)
	shown, err := f.operator(old).Show(f.context(), &controlpb.ShowRequest{})
	assert.NilError(t, err)
	assert.Equal(t, shown.GetVersion(), second)
	assert.Equal(t, len(shown.GetFiles()), 1)
}

// Guards against concurrent pushes that overwrite each other, and against a change that is applied
// twice when it is sent again after its reply was lost.
func TestRacingOperatorsAndResentChange(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, "a", "b", "c")
	f.startAll()
	base := f.mustPush(0, pushRequest("base", 0, "10-acme.yaml", serviceFile(0), 0))
	type outcome struct {
		id      string
		version uint64
		err     error
	}
	outcomes := make(chan outcome)
	race := func(i int) *controlpb.PushRequest {
		return pushRequest(fmt.Sprint("race ", i), base, fmt.Sprintf("20-race-%d.yaml", i), serviceFile(i), 0)
	}
	for i := range 3 {
		go func() {
			reply, err := f.push(i, race(i))
			outcomes <- outcome{fmt.Sprint("race ", i), reply.GetReply().GetVersion(), err}
		}()
	}
	won, winner := 0, outcome{}
	for range 3 {
		o := <-outcomes
		if o.err == nil {
			won, winner = won+1, o
			continue
		}
		assert.Equal(t, refusalKind(t, o.err), controlpb.Refusal_KIND_NUMBER_TAKEN)
		assert.ErrorContains(t, o.err, "use the next free number 21")
	}
	assert.Equal(t, won, 1)
	f.mustPush(1, pushRequest("later", winner.version, "10-acme.yaml", serviceFile(9), 0))
	for i := range 3 {
		if q := race(i); q.GetChangeId() == winner.id {
			reply, err := f.push((i+1)%3, q)
			assert.NilError(t, err)
			assert.Equal(t, reply.GetReply().GetVersion(), winner.version)
			assert.Assert(t, reply.GetReply().GetResent())
		}
	}
}

// Guards against a replica without its disk that votes before it has caught up or never becomes a voter
// again, and against the loss of accepted changes when a second replica fails right after the repair.
func TestLostDiskThenSecondFailure(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, "a", "b", "c")
	f.startAll()
	version := uint64(0)
	for i := range 20 {
		version = f.mustPush(i%3, pushRequest(fmt.Sprint("push ", i), version, "10-acme.yaml", serviceFile(i), 0))
	}
	lost := (f.leader() + 1) % 3
	f.kill(lost)
	assert.NilError(t, os.RemoveAll(f.settings[lost].DataDir))
	f.start(lost)
	voter := func() bool {
		st := f.daemons[lost].ControlReplica().Status()
		return st.Membership.IsVoter(st.Self) && st.Applied >= version
	}
	took := f.waitFor("a voter again", voter)
	t.Logf("voter again %s after the disk was lost", took)

	f.kill(f.leader())
	f.waitFor("another leader", func() bool { return f.leader() >= 0 })
	next := f.mustPush(lost, pushRequest("after repair", version, "10-acme.yaml", serviceFile(99), 0))
	shown, err := f.operator(lost).Show(f.context(), &controlpb.ShowRequest{})
	assert.NilError(t, err)
	assert.Equal(t, shown.GetVersion(), next)
	history, err := f.operator(lost).History(f.context(), &controlpb.HistoryRequest{})
	assert.NilError(t, err)
	assert.Equal(t, len(history.GetRecords()), 22) // 21 pushes and the creation of the first key
}

// Guards against a planned stop of the leader after which there is no leader for an election timeout,
// and against a restarted replica that has lost accepted changes.
func TestPlannedStopAndRestart(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, "a", "b", "c")
	f.startAll()
	version := f.mustPush(0, pushRequest("first", 0, "10-acme.yaml", serviceFile(1), 0))
	old := f.leader()
	begin := time.Now()
	f.cancel[old]()
	f.waitFor("another leader", func() bool { l := f.leader(); return l >= 0 && l != old })
	t.Logf("leadership transferred in %s", time.Since(begin))
	assert.Assert(t, time.Since(begin) < time.Second)
	assert.NilError(t, <-f.done[old])
	f.start(old)
	f.waitFor("the current version at the restarted replica", func() bool {
		return f.daemons[old].ControlReplica().Status().Version == version && f.daemons[old].Status().Version == version
	})
}

// Guards against a daemon that does not start from its stored copy when no other replica is reachable,
// and against a replica that creates a second group after its disk was lost.
func TestStartWithoutOtherReplicas(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, "a", "b", "c")
	f.startAll()
	version := f.mustPush(0, pushRequest("first", 0, "10-acme.yaml", serviceFile(1), 0))
	f.waitFor("the version everywhere", f.allInForce(version))
	for i := range 3 {
		f.kill(i)
	}
	f.start(0)
	assert.Equal(t, f.daemons[0].Status().Version, version)
	f.kill(0)
	assert.NilError(t, os.RemoveAll(filepath.Join(f.settings[0].DataDir, "agreement")))
	f.start(0)
	time.Sleep(time.Second)
	assert.Equal(t, f.daemons[0].ControlReplica().Status().Role, agreement.Follower)
	assert.Assert(t, !f.daemons[0].ControlReplica().Status().Loaded)
	f.start(1, 2)
	f.waitFor("a voter again", func() bool {
		st := f.daemons[0].ControlReplica().Status()
		return st.Membership.IsVoter(st.Self)
	})
}
