package daemon_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var sevenHosts = []string{"a", "a", "a", "b", "b", "c", "c"}

// Guards against daemons that do not receive a pushed configuration, and measures the time from a push
// until the configuration is in force at all daemons.
func TestPushReachesEveryDaemon(t *testing.T) {
	f := newControlFleet(t, sevenHosts...)
	f.startAll()
	replicas := []int{0, 3, 5}
	first := pushRequest("first", 0, "10-acme.yaml", serviceFile(1000), 5*time.Second)
	f.waitFor("all daemons watching", func() bool {
		reply, err := f.push(0, first)
		return err == nil && reply.GetDaemonsInForce() == 7
	})
	version := f.mustPush(0, first)
	var took []time.Duration
	for i := range 60 {
		begin := time.Now()
		q := pushRequest(fmt.Sprint("push ", i), version, "10-acme.yaml", serviceFile(i), 5*time.Second)
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
	t.Logf("time from push to in force: p50 %s, p99 %s of %d pushes", took[len(took)/2], p99, len(took))
	assert.Assert(t, p99 < 2*time.Second)
}

// Guards against a push that counts daemons twice, or waits for a dead one, after the host of a replica
// was killed. The daemons that watched this replica then watch other replicas, which count them.
func TestPushCountsDaemonsOfDeadReplicaOnce(t *testing.T) {
	f := newControlFleet(t, sevenHosts...)
	f.startAll()
	first := pushRequest("first", 0, "10-acme.yaml", serviceFile(1), 5*time.Second)
	f.waitFor("all daemons watching", func() bool {
		reply, err := f.push(0, first)
		return err == nil && reply.GetDaemonsInForce() == 7
	})
	version := f.mustPush(0, first)
	f.kill(0)
	f.waitFor("a live leader", func() bool { return f.leader() > 0 })
	const wait = 8 * time.Second // less than the time after which a silent replica's progress expires
	begin := time.Now()
	reply, err := f.operator(3).Push(f.contextFor(wait+5*time.Second), pushRequest("second", version, "10-acme.yaml", serviceFile(2), wait))
	assert.NilError(t, err)
	assert.Equal(t, reply.GetDaemons(), uint32(6))
	assert.Equal(t, reply.GetDaemonsInForce(), uint32(6))
	assert.Assert(t, time.Since(begin) < wait, "push waited for the dead daemon")
}
