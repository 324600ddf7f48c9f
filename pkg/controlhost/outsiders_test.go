package controlhost

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"rosemarygate/pkg/telemetry"
)

// restartableHost is a control host whose process can end without notice and start again.
type restartableHost struct {
	*Host
	cfg   Config
	stop  context.CancelFunc
	ended chan error
}

func (r *restartableHost) start(t *testing.T) {
	t.Helper()
	cfg := r.cfg
	cfg.Metrics = telemetry.NewSet()
	ctx, cancel := context.WithCancel(context.Background())
	r.Host, r.stop, r.ended = New(cfg), cancel, make(chan error, 1)
	host, ended, finished := r.Host, r.ended, make(chan struct{})
	go func() {
		ended <- host.Run(ctx)
		close(finished)
	}()
	t.Cleanup(func() {
		cancel()
		<-finished
	})
	r.cfg.FirstStart = false
}

// end ends the process. Its grace period is too short to leave the group.
func (r *restartableHost) end(t *testing.T, loseDisk bool) {
	t.Helper()
	r.stop()
	assert.NilError(t, <-r.ended)
	if loseDisk {
		assert.NilError(t, os.RemoveAll(r.cfg.DataDir))
	}
}

// startRestartable starts hosts that all have the first three as seeds.
func startRestartable(t *testing.T, n int) []*restartableHost {
	t.Helper()
	log := logrus.New()
	log.SetOutput(testWriter{t})
	var peers []netip.AddrPort
	for range n {
		peers = append(peers, freeAddress(t))
	}
	var hosts []*restartableHost
	for i, peer := range peers {
		h := &restartableHost{cfg: Config{
			Name: peer.String(), ControlAddress: freeAddress(t), PeerAddress: peer, Seeds: func() []netip.AddrPort { return peers[:3] }, FirstStart: i < 3,
			DataDir: filepath.Join(t.TempDir(), "data"), ToleratedDisks: 2, AnnouncementInterval: 500 * time.Millisecond, GracePeriod: time.Millisecond, FlowLifetime: time.Minute,
			Decode: decodeTestConfig, Handler: func(*Host) http.Handler { return http.NotFoundHandler() }, Log: log,
		}}
		h.start(t)
		hosts = append(hosts, h)
	}
	awaitMembers(t, hosts, hosts...)
	return hosts
}

// awaitMembers waits until exactly the given hosts are members by the state of each of them.
func awaitMembers(t *testing.T, observers []*restartableHost, members ...*restartableHost) {
	t.Helper()
	var wanted []netip.AddrPort
	for _, h := range members {
		wanted = append(wanted, h.cfg.PeerAddress)
	}
	slices.SortFunc(wanted, netip.AddrPort.Compare)
	for _, h := range observers {
		eventually(t, "all hosts are voters", func() bool {
			st := h.group.Status()
			got := voters(st)
			slices.SortFunc(got, netip.AddrPort.Compare)
			return slices.Equal(got, wanted)
		})
	}
}

// Guards against hosts that stay outside the group for good because all seeds of their settings have lost their
// logs: two lose their disks while the third is down and removed.
func TestSeedsWithoutLogJoinAgain(t *testing.T) {
	hosts := startRestartable(t, 6)
	replaceConfig(t, hosts[0].Host, testConfig(t, 1, "a"))
	hosts[0].end(t, false)
	awaitMembers(t, hosts[1:], hosts[1:]...)
	hosts[1].end(t, true)
	hosts[2].end(t, true)
	for _, h := range hosts[:3] {
		h.start(t)
	}
	awaitMembers(t, hosts, hosts...)
	for _, h := range hosts[:3] {
		eventually(t, "host answers reads", func() bool {
			content, err := h.ReadConfig(t.Context())
			return err == nil && slices.Equal(content, testConfig(t, 1, "a"))
		})
	}
}

// Guards against the same after one seed was replaced by plan: the other two lose their disks at once, which the
// deployment tolerates, and have to be voters again within the time for which they count as lost.
func TestSeedsLoseDisksAfterReplacementOfThird(t *testing.T) {
	hosts := startRestartable(t, 6)
	replaceConfig(t, hosts[0].Host, testConfig(t, 1, "a"))
	successor := &restartableHost{cfg: hosts[0].cfg}
	successor.cfg.PeerAddress, successor.cfg.ControlAddress = freeAddress(t), freeAddress(t)
	successor.cfg.DataDir = filepath.Join(t.TempDir(), "data")
	successor.start(t)
	awaitMembers(t, hosts, append(slices.Clone(hosts), successor)...)
	hosts[0].end(t, true)
	hosts = append(hosts[1:], successor)
	awaitMembers(t, hosts, hosts...)
	for _, h := range hosts[:2] {
		h.end(t, true)
	}
	for _, h := range hosts[:2] {
		h.start(t)
	}
	begin := time.Now()
	awaitMembers(t, hosts, hosts...)
	const catchUp = 6 * time.Second // of the deployments that tolerate two lost disks
	assert.Assert(t, time.Since(begin) < catchUp, "the hosts were outside for %s", time.Since(begin))
	t.Logf("voters again after %s", time.Since(begin))
}

// Guards against a host that stays outside the group for good because the seeds of its settings were replaced: it
// loses its disk, and the group has removed it before it is back.
func TestHostWhoseSeedsAreGoneJoinsAgain(t *testing.T) {
	hosts := startRestartable(t, 6)
	replaceConfig(t, hosts[0].Host, testConfig(t, 1, "a"))
	for range 3 {
		successor := &restartableHost{cfg: hosts[0].cfg}
		successor.cfg.PeerAddress, successor.cfg.ControlAddress = freeAddress(t), freeAddress(t)
		successor.cfg.DataDir = filepath.Join(t.TempDir(), "data")
		seeds := []netip.AddrPort{hosts[0].cfg.PeerAddress, hosts[1].cfg.PeerAddress, hosts[2].cfg.PeerAddress}
		successor.cfg.Seeds = func() []netip.AddrPort { return seeds }
		successor.start(t)
		hosts = append(hosts, successor)
		awaitMembers(t, hosts, hosts...)
		hosts[0].end(t, true)
		hosts = hosts[1:]
		awaitMembers(t, hosts, hosts...)
	}
	lost := hosts[0] // a host with the first seeds
	lost.end(t, true)
	awaitMembers(t, hosts[1:], hosts[1:]...)
	lost.start(t)
	awaitMembers(t, hosts, hosts...)
}
