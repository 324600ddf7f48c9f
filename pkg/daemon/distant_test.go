package daemon_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/client"
	"rosemarygate/pkg/fleet"
)

// Guards against flows that are refused, or open late, because the daemon that receives the open does
// not keep the registrations of the only data centre with upstreams of the service.
func TestFlowsReachADistantService(t *testing.T) {
	var dataCentres []string
	for i := range 8 {
		dataCentres = append(dataCentres, fmt.Sprintf("dc-%d", i))
	}
	f := newHosts(t, dataCentres)
	f.NoNearDataCentres = true
	assert.NilError(t, f.Start())
	// A daemon whose member list does not have all data centres yet keeps registrations for a minute
	// that it does not need afterwards.
	for i := range dataCentres {
		for len(f.Daemon(i).Status().Members) < len(dataCentres) {
			time.Sleep(10 * time.Millisecond)
		}
	}
	time.Sleep(300 * time.Millisecond) // until the views are in force
	startUpstreams(t, f, 2)
	local, err := f.ClientAt(dataCentres[0], testPort, fleet.FabricFaults{}, 1, client.Config{})
	assert.NilError(t, err)
	defer local.Close()
	for i := 0; ; i++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := local.Open(ctx)
		cancel()
		if err == nil {
			break
		}
		assert.Assert(t, i < 100, "no upstream after %d opens: %v", i, err)
		time.Sleep(50 * time.Millisecond)
	}
	var slowest time.Duration
	daemonsWithUpstreams := 0
	for i, name := range dataCentres {
		if len(f.Daemon(i).Status().Upstreams) > 0 {
			daemonsWithUpstreams++
		}
		c, err := f.ClientAt(name, testPort, fleet.FabricFaults{}, uint64(i), client.Config{})
		assert.NilError(t, err)
		defer c.Close()
		for range 3 {
			begin := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			_, err = c.Open(ctx)
			cancel()
			assert.NilError(t, err, "flow from %s", name)
			slowest = max(slowest, time.Since(begin))
		}
	}
	t.Logf("slowest open: %v", slowest)
	assert.Assert(t, daemonsWithUpstreams <= 2, "%d daemons had registrations before their first open", daemonsWithUpstreams)
	assert.Assert(t, slowest < 2*time.Second)
}
