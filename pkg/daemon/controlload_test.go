package daemon_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/control/replica"
)

const acceptedChanges = 10_000

// Guards against a restart whose time grows with the number of accepted changes.
func TestRestartAfterManyChanges(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, "a")
	f.startAll()
	client := f.operator(0)
	ctx := f.contextFor(time.Minute)
	begin := time.Now()
	var all sync.WaitGroup
	const writers = 8
	for w := range writers {
		all.Go(func() {
			version := uint64(0)
			for i := range acceptedChanges / writers {
				name := fmt.Sprintf("%d-service.yaml", 10+w)
				data := fmt.Sprintf("users: {acme: {services: {s%d: {port: %d, credential: credential-%d, classes: {c: {priority: 0}}}}}}", w, 7000+w, i)
				reply, err := client.Push(ctx, change(fmt.Sprint(w, " ", i), version, name, data, 0))
				if err != nil {
					t.Error(replica.RefusalOf(err))
					return
				}
				version = reply.GetReply().GetVersion()
			}
		})
	}
	all.Wait()
	t.Logf("%d changes accepted in %s", acceptedChanges, time.Since(begin))
	version := f.daemons[0].Control().Status().Version
	assert.Assert(t, version > acceptedChanges)
	f.kill(0)

	begin = time.Now()
	f.start(0)
	f.await("the restarted replica ready", func() bool {
		return f.daemons[0].Control().Status().Version == version && f.daemons[0].Status().Version == version
	})
	took := time.Since(begin)
	t.Logf("ready in %s with %d accepted changes", took, acceptedChanges)
	assert.Assert(t, took < time.Second)
	f.await("a leader", func() bool { return f.daemons[0].Control().Status().Role == agreement.Leader })
	history, err := f.operator(0).History(f.context(), &controlpb.HistoryRequest{Limit: 1})
	assert.NilError(t, err)
	assert.Equal(t, history.GetRecords()[0].GetVersion(), version)
}

// Guards against control traffic that exceeds 4 KB/s at a daemon when nothing happens. Membership
// and registration take 2.1 KB/s of that.
func TestIdleControlTraffic(t *testing.T) {
	f := newControlFleet(t, sevenHosts...)
	f.startAll()
	f.mustPush(0, change("first", 0, "10-acme.yaml", serviceFile(1), 5*time.Second))
	time.Sleep(time.Second)
	const period = 4 * time.Second
	before := f.wires.perHost()
	time.Sleep(period)
	after := f.wires.perHost()
	for i := range f.settings {
		rate := float64(after[f.host(i)]-before[f.host(i)]) / period.Seconds()
		t.Logf("host %d (leader: %v): %.0f bytes/s sent and received on control connections", i, i == f.leader(), rate)
		assert.Assert(t, rate < 1900)
	}
}
