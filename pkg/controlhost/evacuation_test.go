package controlhost

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/control/ensemble"
	"rosemarygate/pkg/routing"
	"rosemarygate/pkg/telemetry"
)

func withDataCentres(c *Config) { c.DataCentres = []string{"north", "south"} }

func orderEvacuation(t *testing.T, h *Host, dataCentre string, begin bool) {
	t.Helper()
	eventually(t, "order acknowledged", func() bool { return h.OrderEvacuation(t.Context(), dataCentre, begin) == nil })
}

func watchHost(t *testing.T, h *Host) grpc.ServerStreamingClient[entrypb.Update] {
	t.Helper()
	conn, err := grpc.NewClient(h.cfg.PeerAddress.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	stream, err := entrypb.NewWatcherClient(conn).Watch(t.Context(), &entrypb.WatchRequest{Daemon: "edge", AcceptsPacked: true})
	assert.NilError(t, err)
	return stream
}

// Guards against orders that reach only the control host that took them, and against entry daemons that are not
// told: the first update of a watch, and one after each change, has the evacuations.
func TestEvacuationReachesAllHosts(t *testing.T) {
	hosts := startHostsWith(t, 3, withDataCentres)
	orderEvacuation(t, hosts[0], "north", true)
	orderEvacuation(t, hosts[1], "north", true) // sent again
	for _, h := range hosts {
		eventually(t, "host is current", h.group.Current)
		stream := watchHost(t, h)
		first, err := stream.Recv()
		assert.NilError(t, err)
		assert.Assert(t, first.GetStatus().GetCurrent())
		assert.Equal(t, len(first.GetEvacuations().GetDataCentres()), 1)
		assert.Assert(t, first.GetEvacuations().GetDataCentres()[0].GetInForce())
	}
	stream := watchHost(t, hosts[2])
	first, err := stream.Recv()
	assert.NilError(t, err)
	orderEvacuation(t, hosts[1], "north", false)
	for {
		u, err := stream.Recv()
		assert.NilError(t, err)
		if e := u.GetEvacuations(); e != nil {
			assert.Assert(t, e.GetRevision() > first.GetEvacuations().GetRevision())
			assert.Assert(t, !e.GetDataCentres()[0].GetInForce())
			break
		}
	}
	assert.ErrorIs(t, hosts[0].OrderEvacuation(t.Context(), "west", true), ErrUnknownDataCentre)
}

// Guards against an order whose caller has gone: the host was frozen before it could bind the order.
func TestOrderOfGoneCallerIsNotProposed(t *testing.T) {
	h := startHostsWith(t, 1, withDataCentres)[0]
	orderEvacuation(t, h, "south", true)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, h.OrderEvacuation(ctx, "north", true), ensemble.ErrNoMajority)
	orderEvacuation(t, h, "south", false)
	assert.Equal(t, evacuationsInForce(h.group.Evacuations()), 0)
}

// Guards against orders that are acknowledged while a control host of a release that drops them is connected.
func TestOrderIsRefusedBesideOldRelease(t *testing.T) {
	h := startHostsWith(t, 1, withDataCentres)[0]
	orderEvacuation(t, h, "north", true)
	conn, err := grpc.NewClient(h.cfg.PeerAddress.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	defer conn.Close()
	ctx, cancel := context.WithCancel(t.Context())
	stream, err := entrypb.NewCooperationClient(conn).Share(ctx)
	assert.NilError(t, err)
	assert.NilError(t, stream.Send(&entrypb.Batch{Number: 1, Sender: "old"}))
	_, err = stream.Recv()
	assert.NilError(t, err)
	assert.ErrorIs(t, h.OrderEvacuation(t.Context(), "north", false), ensemble.ErrOldRelease)
	cancel()
	orderEvacuation(t, h, "north", false)
}

// reserveAddresses waits until no other process runs a test with fixed ports of a loopback address, and keeps others from
// it until the test ends.
func reserveAddresses(t *testing.T, a netip.Addr) {
	t.Helper()
	var reservation net.Listener
	eventually(t, "the test runs in no other process", func() (reserved bool) {
		var err error
		reservation, err = net.Listen("tcp4", netip.AddrPortFrom(a, 7700).String())
		return err == nil
	})
	t.Cleanup(func() { reservation.Close() })
}

// Guards against data of the release before evacuations that cannot be read, and against an order that is lost
// when the host restarts on it. testdata holds what build 492b802 wrote for a group of one host: a snapshot at
// index 500 of the log, the log up to version 505, and a registration.
func TestDataOfReleaseBeforeEvacuations(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.CopyFS(dir, os.DirFS("testdata/release-before-evacuations")))
	peer := netip.MustParseAddrPort("127.240.0.1:7720") // in the data
	reserveAddresses(t, peer.Addr())
	log := logrus.New()
	log.SetOutput(testWriter{t})
	run := func(use func(*Host)) {
		h := New(Config{
			Name: "control-1", ControlAddress: netip.MustParseAddrPort("127.240.0.1:8166"), PeerAddress: peer,
			Seeds: func() []netip.AddrPort { return []netip.AddrPort{peer} }, DataDir: dir, AnnouncementInterval: 500 * time.Millisecond,
			GracePeriod: gracePeriod, FlowLifetime: time.Minute, DataCentres: []string{"north"}, Decode: decodeTestConfig,
			Handler: func(*Host) http.Handler { return http.NotFoundHandler() }, Log: log, Metrics: telemetry.NewSet(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- h.Run(ctx) }()
		eventually(t, "configuration of the old release", func() bool { return h.Table().Version == 505 })
		use(h)
		cancel()
		assert.NilError(t, <-ended)
	}
	run(func(h *Host) {
		assert.Equal(t, h.group.Evacuations().GetRevision(), uint64(0))
		h.mu.Lock()
		registration, known := h.directory.Get(directory.Incarnation{Key: 7, StartUnixMs: 1000})
		h.mu.Unlock()
		assert.Assert(t, known && registration.State == directory.Ready)
		orderEvacuation(t, h, "north", true)
	})
	run(func(h *Host) {
		eventually(t, "evacuation in force after the restart", func() bool { return evacuationsInForce(h.group.Evacuations()) == 1 })
	})
}

// Guards against an operator who is not told that an order leaves a service without upstreams.
func TestServicesWithoutUpstreams(t *testing.T) {
	registration := func(key directory.Key, service, dataCentre string, state directory.State) directory.Registration {
		r := readyRegistration(key, 1, 1)
		r.Service, r.DataCentre, r.State = service, dataCentre, state
		return r
	}
	table := &routing.Table{Services: []string{"a", "b", "c"}}
	registrations := []directory.Registration{
		registration(1, "a", "north", directory.Ready), registration(2, "a", "south", directory.Ready),
		registration(3, "b", "north", directory.Ready), registration(4, "b", "south", directory.Draining),
	}
	evacuation := func(inForce bool) *entrypb.Evacuations {
		return &entrypb.Evacuations{Revision: 1, DataCentres: []*entrypb.Evacuation{{DataCentre: "north", InForce: inForce}}}
	}
	assert.DeepEqual(t, servicesWithoutUpstreams(table, registrations, evacuation(true)), []string{"b"})
	assert.Equal(t, len(servicesWithoutUpstreams(table, registrations, evacuation(false))), 0)
}
