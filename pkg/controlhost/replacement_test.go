package controlhost

import (
	"context"
	"net/http"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"rosemarygate/pkg/control/ensemble"
	"rosemarygate/pkg/telemetry"
)

// stoppableHost is a control host with a stop of its own.
type stoppableHost struct {
	*Host
	stop  context.CancelFunc
	ended chan error
}

const gracePeriod = 6 * time.Second // the shortest one of a deployment

// startGroup starts control hosts of which the first three found a group.
func startGroup(t *testing.T, n int) []*stoppableHost {
	t.Helper()
	log := logrus.New()
	log.SetOutput(testWriter{t})
	var peers []netip.AddrPort
	for range n {
		peers = append(peers, freeAddress(t))
	}
	var hosts []*stoppableHost
	for i, peer := range peers {
		ctx, cancel := context.WithCancel(context.Background())
		h := &stoppableHost{stop: cancel, ended: make(chan error, 1), Host: New(Config{
			Name: peer.String(), ControlAddress: freeAddress(t), PeerAddress: peer, Seeds: func() []netip.AddrPort { return peers[:3] }, FirstStart: i < 3,
			DataDir: filepath.Join(t.TempDir(), "data"), ToleratedDisks: 1, AnnouncementInterval: 500 * time.Millisecond, GracePeriod: gracePeriod, FlowLifetime: time.Minute,
			Decode: decodeTestConfig, Handler: func(*Host) http.Handler { return http.NotFoundHandler() }, Log: log, Metrics: telemetry.NewSet(),
		})}
		go func() { h.ended <- h.Run(ctx) }()
		t.Cleanup(cancel)
		hosts = append(hosts, h)
	}
	return hosts
}

func voters(st ensemble.Status) (out []netip.AddrPort) {
	for _, m := range st.Membership {
		if m.Voter {
			out = append(out, ensemble.MemberAddress(m.Replica.ID))
		}
	}
	return out
}

// Guards against a group that stops for good when a host that was stopped as planned does not come back and
// one more disk is lost: with a successor that has caught up, a host is no voter any more when its process
// ends.
func TestPlannedStopHandsVoteToSuccessor(t *testing.T) {
	for _, stopLeader := range []bool{false, true} {
		hosts := startGroup(t, 4)
		replaceConfig(t, hosts[0].Host, testConfig(t, 1, "a"))
		for _, h := range hosts {
			eventually(t, "every host has the configuration", func() bool { return h.Table().Version == 1 && len(h.group.Status().Membership) == 4 })
		}
		var stopped *stoppableHost
		var others []*stoppableHost
		for _, h := range hosts {
			st := h.group.Status()
			isLeader := st.Leader == st.Self
			if stopped == nil && isLeader == stopLeader && st.Membership.IsVoter(st.Self) {
				stopped = h
			} else {
				others = append(others, h)
			}
		}
		begin := time.Now()
		stopped.stop()
		assert.NilError(t, <-stopped.ended)
		assert.Assert(t, time.Since(begin) < gracePeriod, "the stop took %s", time.Since(begin))
		eventually(t, "the group has a leader", func() bool { return others[0].group.Status().Leader.ID != 0 })
		for _, h := range others {
			st := h.group.Status()
			if st.Leader != st.Self {
				continue
			}
			assert.Equal(t, len(voters(st)), 3)
			for _, v := range voters(st) {
				assert.Assert(t, v != stopped.cfg.PeerAddress, "the stopped host is still a voter")
			}
		}
		replaceConfig(t, others[0].Host, testConfig(t, 2, "a"))
	}
}

// Guards against stops that wait although the group has no host that could take over the vote: most stops
// are restarts.
func TestPlannedStopWithoutSuccessorIsQuick(t *testing.T) {
	hosts := startGroup(t, 3)
	replaceConfig(t, hosts[0].Host, testConfig(t, 1, "a"))
	for _, h := range hosts {
		st := h.group.Status()
		if st.Leader == st.Self {
			continue // transfers its leadership first
		}
		begin := time.Now()
		h.stop()
		assert.NilError(t, <-h.ended)
		assert.Assert(t, time.Since(begin) < time.Second, "the stop took %s", time.Since(begin))
		return
	}
}
