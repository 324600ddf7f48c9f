package daemon_test

import (
	"fmt"
	"slices"
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
	var last [writers]uint64
	for w := range writers {
		all.Go(func() {
			version := uint64(0)
			defer func() { last[w] = version }()
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
	version := slices.Max(last[:]) // the status may still show the version before
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

// controlBound is what the control connections of a daemon may carry, in bytes a second:
// 4 KB/s less the bound of membership and registration (trafficBound in pkg/registration).
const controlBound = 900

// Guards against control traffic that exceeds 4 KB/s at a daemon, when nothing happens and at
// 10 changes a minute. The bytes of one change are measured with changes in quick succession.
func TestControlTraffic(t *testing.T) {
	f := newControlFleet(t, sevenHosts...)
	f.startAll()
	version := f.mustPush(0, change("first", 0, "10-acme.yaml", serviceFile(1), 5*time.Second))
	time.Sleep(time.Second)
	const (
		period        = 4 * time.Second
		changes       = 8
		changesPerSec = 10.0 / 60
	)
	start := f.wires.perHost()
	time.Sleep(period)
	idle := f.wires.perHost()
	began := time.Now()
	for i := range changes {
		version = f.mustPush(0, change(fmt.Sprint("change ", i), version, fmt.Sprintf("%d-more.yaml", 20+i), "users: {}\n", 5*time.Second))
	}
	time.Sleep(time.Second)
	elapsed := time.Since(began).Seconds()
	end := f.wires.perHost()
	for i := range f.settings {
		h := f.host(i)
		rate := float64(idle[h]-start[h]) / period.Seconds()
		each := max(0, float64(end[h]-idle[h])-rate*elapsed) / changes
		t.Logf("host %d (leader: %v): idle %.0f B/s, %.0f B a change, %.0f B/s at 10 changes a minute", i, i == f.leader(), rate, each, rate+each*changesPerSec)
		assert.Assert(t, rate+each*changesPerSec < controlBound)
	}
}
