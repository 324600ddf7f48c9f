package controlhost

import (
	"context"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	entrypb "rosemarygate/api/entry/v1"
)

// watch opens a watch and returns the updates.
func watch(t *testing.T, ctx context.Context, h *Host, notifyAddress string) grpc.ServerStreamingClient[entrypb.Update] {
	t.Helper()
	conn, err := grpc.NewClient(h.cfg.PeerAddress.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	stream, err := entrypb.NewWatcherClient(conn).Watch(ctx, &entrypb.WatchRequest{Daemon: "edge", NotifyAddress: notifyAddress}, grpc.WaitForReady(true))
	assert.NilError(t, err)
	return stream
}

// receiveList receives updates until one lists exactly the given control hosts.
func receiveList(t *testing.T, stream grpc.ServerStreamingClient[entrypb.Update], want ...string) {
	t.Helper()
	slices.Sort(want)
	var lists [][]string
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); {
		u, err := stream.Recv()
		assert.NilError(t, err)
		if got := slices.Sorted(slices.Values(u.GetStatus().GetControlHosts())); len(got) > 0 {
			lists = append(lists, got)
			if slices.Equal(got, want) {
				return
			}
		}
	}
	t.Fatalf("no update lists %v, but %v", want, lists)
}

// Guards against entry daemons that know only the control hosts of the time when their watch began: after planned
// replacements of all of them they would find none, and keep an outdated configuration.
func TestOpenWatchLearnsReplacedHosts(t *testing.T) {
	hosts := startRestartable(t, 3)
	replaceConfig(t, hosts[0].Host, testConfig(t, 1, "a"))
	watched := hosts[2]
	stream := watch(t, t.Context(), watched.Host, "")
	address := func(h *restartableHost) string { return h.cfg.PeerAddress.String() }
	receiveList(t, stream, address(hosts[0]), address(hosts[1]), address(hosts[2]))
	successor := &restartableHost{cfg: hosts[0].cfg}
	successor.cfg.PeerAddress, successor.cfg.ControlAddress = freeAddress(t), freeAddress(t)
	successor.cfg.DataDir = filepath.Join(t.TempDir(), "data")
	successor.start(t)
	receiveList(t, stream, address(hosts[0]), address(hosts[1]), address(hosts[2]), address(successor))
}

// Guards against an entry daemon that starts again after its seeds were replaced and finds no control host: those
// that it watched tell it that they are there, and so does a new host with an empty disk.
func TestDaemonsThatLeaveAreReminded(t *testing.T) {
	hosts := startRestartable(t, 3)
	replaceConfig(t, hosts[0].Host, testConfig(t, 1, "a"))
	daemon, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	defer daemon.Close()
	awaitDatagram := func(from *restartableHost, limit time.Duration) bool {
		t.Helper()
		assert.NilError(t, daemon.SetReadDeadline(time.Now().Add(limit)))
		for buffer := make([]byte, 256); ; {
			n, err := daemon.Read(buffer)
			if err != nil {
				return false
			}
			var started entrypb.HostStarted
			assert.NilError(t, proto.Unmarshal(buffer[:n], &started))
			if started.GetHost() == from.cfg.PeerAddress.String() {
				return true
			}
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	stream := watch(t, ctx, hosts[1].Host, daemon.LocalAddr().String())
	_, err = stream.Recv()
	assert.NilError(t, err)
	time.Sleep(learnDelay + remindInterval)
	for awaitDatagram(hosts[1], 100*time.Millisecond) { // from its start
	}
	assert.Assert(t, !awaitDatagram(hosts[1], 2*remindInterval), "a daemon that watches is reminded")
	cancel()
	assert.Assert(t, awaitDatagram(hosts[1], 4*remindInterval), "a daemon that has left is not reminded")

	successor := &restartableHost{cfg: hosts[0].cfg}
	successor.cfg.PeerAddress, successor.cfg.ControlAddress = freeAddress(t), freeAddress(t)
	successor.cfg.DataDir = filepath.Join(t.TempDir(), "data")
	successor.start(t)
	assert.Assert(t, awaitDatagram(successor, 10*time.Second), "a new host does not tell the daemons of its peers")
}

// Guards against reminders without end, and against a list of daemons that grows without bound.
func TestRemindersEnd(t *testing.T) {
	var w watchingDaemons
	first, second := w.add("127.0.0.1:1"), w.add("127.0.0.1:1")
	first(0)
	assert.Equal(t, len(w.toRemind(0)), 0, "another watch goes on")
	second(time.Second)
	assert.Equal(t, len(w.toRemind(time.Second+remindFor)), 1)
	w.add("127.0.0.1:1")
	assert.Equal(t, len(w.toRemind(time.Second+remindFor)), 0, "it watches again")
	for i := range 2 * maxNotifyAddresses {
		w.add(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 1).String())(0)
	}
	assert.Equal(t, len(w.toRemind(0)), maxNotifyAddresses)
	assert.Equal(t, len(w.toRemind(remindFor+1)), 0)
	w.add("no address")(0)
}
