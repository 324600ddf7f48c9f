package daemon_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var sevenHosts = []string{"a", "a", "a", "b", "b", "c", "c"}

// Guards against a daemon that does not get a pushed configuration, and measures the time from a
// push to its being in force on all daemons.
func TestPushReachesEveryDaemon(t *testing.T) {
	f := newControlFleet(t, sevenHosts...)
	f.startAll()
	replicas := []int{0, 3, 5}
	first := change("first", 0, "10-acme.yaml", serviceFile(1000), 5*time.Second)
	f.await("all daemons watching", func() bool {
		reply, err := f.push(0, first)
		return err == nil && reply.GetDaemonsInForce() == 7
	})
	version := f.mustPush(0, first)
	var took []time.Duration
	for i := range 60 {
		begin := time.Now()
		q := change(fmt.Sprint("push ", i), version, "10-acme.yaml", serviceFile(i), 5*time.Second)
		reply, err := f.operator(replicas[i%3]).Push(f.context(), q)
		assert.NilError(t, err)
		took = append(took, time.Since(begin))
		assert.Equal(t, reply.GetDaemons(), uint32(7))
		assert.Equal(t, reply.GetDaemonsInForce(), uint32(7))
		version = reply.GetReply().GetVersion()
	}
	for i, d := range f.daemons {
		assert.Equal(t, d.Status().Version, version, "host %d", i)
	}
	slices.Sort(took)
	p99 := took[len(took)*99/100]
	t.Logf("push to in force: p50 %s, p99 %s of %d pushes", took[len(took)/2], p99, len(took))
	assert.Assert(t, p99 < 2*time.Second)
}

// Guards against a push that counts daemons twice, or waits for a dead one, after a replica's host was
// killed: the daemons that watched it watch other replicas, which count them.
func TestPushCountsDaemonsOfDeadReplicaOnce(t *testing.T) {
	f := newControlFleet(t, sevenHosts...)
	f.startAll()
	first := change("first", 0, "10-acme.yaml", serviceFile(1), 5*time.Second)
	f.await("all daemons watching", func() bool {
		reply, err := f.push(0, first)
		return err == nil && reply.GetDaemonsInForce() == 7
	})
	version := f.mustPush(0, first)
	f.kill(0)
	f.await("a leader that lives", func() bool { return f.leader() > 0 })
	const wait = 8 * time.Second // less than the lifetime of a silent replica's progress
	begin := time.Now()
	reply, err := f.operator(3).Push(f.contextFor(wait+5*time.Second), change("second", version, "10-acme.yaml", serviceFile(2), wait))
	assert.NilError(t, err)
	assert.Equal(t, reply.GetDaemons(), uint32(6))
	assert.Equal(t, reply.GetDaemonsInForce(), uint32(6))
	assert.Assert(t, time.Since(begin) < wait, "the push waited for the dead daemon")
}
