package daemon_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"rosemarygate/client"
	"rosemarygate/pkg/config"
	"rosemarygate/pkg/fleet"
	"rosemarygate/pkg/standin"
)

const testPort = 4301

// startHosts starts daemons in the given data centres, and upstreams in the first one.
func startHosts(t *testing.T, upstreams int, dataCentres ...string) *fleet.Fleet {
	t.Helper()
	f := newHosts(t, dataCentres)
	assert.NilError(t, f.Start())
	startUpstreams(t, f, upstreams)
	assert.NilError(t, f.WaitUpstreams(upstreams, 10*time.Second))
	return f
}

// newHosts prepares a fleet with one daemon for each entry of dataCentres.
func newHosts(t *testing.T, dataCentres []string) *fleet.Fleet {
	t.Helper()
	folder, err := config.FromFiles([]config.File{{Name: "10-test.yaml", Data: []byte(`users:
  user:
    time_zone: UTC
    services:
      service:
        port: 4301
        credential: test-credential
        slots: 3
        flow_limit: 100
        classes:
          post: {priority: 0, share: 0.5, queue_limit: 64, deadline: 10s}
`)}})
	assert.NilError(t, err)
	cfg, err := folder.Merge()
	assert.NilError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := fleet.New(cfg, dataCentres, log)
	t.Cleanup(f.Close)
	return f
}

// startUpstreams starts upstreams in the first data centre.
func startUpstreams(t *testing.T, f *fleet.Fleet, upstreams int) {
	t.Helper()
	for n := range upstreams {
		assert.NilError(t, f.StartUpstream(standin.Config{
			Service: "user/service", Name: fmt.Sprintf("upstream-%d", n), DataCentre: f.Hosts()[0].DataCentre,
			Slots: 3, FlowLimit: 100, Credential: "test-credential", FeedPeriod: 50 * time.Millisecond,
		}))
	}
}

// Guards against frames that are forwarded back and forth between the owner named by their token and
// the daemon to which it handed the upstream over, until they exceed the hop limit.
func TestFramesReachDaemonThatTookUpstreamsBack(t *testing.T) {
	f := startHosts(t, 6, "dc", "dc")
	assert.NilError(t, f.StopDaemon(0))
	c, err := f.Client(testPort, fleet.FabricFaults{}, 1, client.Config{KeepAlive: time.Hour})
	assert.NilError(t, err)
	defer c.Close()
	var flows []*client.Flow
	for range 12 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		flow, err := c.Open(ctx)
		cancel()
		assert.NilError(t, err)
		flows = append(flows, flow)
	}
	assert.NilError(t, f.StartDaemon(0))
	assert.NilError(t, f.WaitReady(0))
	assert.NilError(t, f.WaitUpstreams(6, 10*time.Second))
	for i, flow := range flows {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		r, err := flow.Do(ctx, client.Request{Class: "post", Payload: fmt.Appendf(nil, "post %d", i)})
		cancel()
		assert.NilError(t, err)
		assert.Equal(t, r.Outcome, client.Answered, "flow %d: %s", i, r.Reason)
	}
}
