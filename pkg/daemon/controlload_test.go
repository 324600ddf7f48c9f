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
	var writersDone sync.WaitGroup
	const writers = 8
	var lastVersion [writers]uint64
	for w := range writers {
		writersDone.Go(func() {
			version := uint64(0)
			defer func() { lastVersion[w] = version }()
			for i := range acceptedChanges / writers {
				name := fmt.Sprintf("%d-service.yaml", 10+w)
				data := fmt.Sprintf("users: {acme: {services: {s%d: {port: %d, credential: credential-%d, classes: {c: {priority: 0}}}}}}", w, 7000+w, i)
				reply, err := client.Push(ctx, pushRequest(fmt.Sprint(w, " ", i), version, name, data, 0))
				if err != nil {
					t.Error(replica.RefusalOf(err))
					return
				}
				version = reply.GetReply().GetVersion()
			}
		})
	}
	writersDone.Wait()
	t.Logf("accepted %d changes in %s", acceptedChanges, time.Since(begin))
	version := slices.Max(lastVersion[:]) // the status may still show the previous version
	assert.Assert(t, version > acceptedChanges)
	f.kill(0)

	begin = time.Now()
	f.start(0)
	f.waitFor("the last version at the restarted replica", func() bool {
		return f.daemons[0].ControlReplica().Status().Version == version && f.daemons[0].Status().Version == version
	})
	took := time.Since(begin)
	t.Logf("restarted in %s with %d accepted changes", took, acceptedChanges)
	assert.Assert(t, took < time.Second)
	f.waitFor("a leader", func() bool { return f.daemons[0].ControlReplica().Status().Role == agreement.Leader })
	history, err := f.operator(0).History(f.context(), &controlpb.HistoryRequest{Limit: 1})
	assert.NilError(t, err)
	assert.Equal(t, history.GetRecords()[0].GetVersion(), version)
}

// controlBound is the limit of the traffic on the control connections of a daemon in bytes a second:
// 4 KB/s less the limit of membership and registration (trafficBound in pkg/registration).
const controlBound = 900

// Guards against control traffic above controlBound at a daemon with 10 changes a minute. The bytes of
// one change are measured with changes in quick succession.
func TestControlTraffic(t *testing.T) {
	f := newControlFleet(t, sevenHosts...)
	f.startAll()
	version := f.mustPush(0, pushRequest("first", 0, "10-acme.yaml", serviceFile(1), 5*time.Second))
	time.Sleep(time.Second)
	const (
		period        = 4 * time.Second
		changes       = 8
		changesPerSec = 10.0 / 60
	)
	start := f.network.bytesPerHost()
	time.Sleep(period)
	idle := f.network.bytesPerHost()
	began := time.Now()
	for i := range changes {
		version = f.mustPush(0, pushRequest(fmt.Sprint("change ", i), version, fmt.Sprintf("%d-more.yaml", 20+i), "users: {}\n", 5*time.Second))
	}
	time.Sleep(time.Second)
	elapsed := time.Since(began).Seconds()
	end := f.network.bytesPerHost()
	for i := range f.settings {
		h := f.host(i)
		rate := float64(idle[h]-start[h]) / period.Seconds()
		each := max(0, float64(end[h]-idle[h])-rate*elapsed) / changes
		t.Logf("host %d (leader: %v): idle %.0f B/s, %.0f B a change, %.0f B/s at 10 changes a minute", i, i == f.leader(), rate, each, rate+each*changesPerSec)
		assert.Assert(t, rate+each*changesPerSec < controlBound)
	}
}
