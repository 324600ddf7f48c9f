package daemon

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/net/ipv4"
	"gotest.tools/v3/assert"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/ownership"
	"rosemarygate/pkg/relay"
	"rosemarygate/pkg/telemetry"
	"rosemarygate/pkg/token"
)

// Guards against garbage for every packet that a daemon passes on, and against decoding
// such a packet, which allocates.
func TestRelayStepDoesNotAllocate(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer conn.Close()
	keys := []token.Key{{ID: 1, Secret: make([]byte, 32)}}
	d := &datapath{
		clock: time.Now, peerConn: conn, peers: ipv4.NewPacketConn(conn),
		counters: newPacketCounters(telemetry.NewSet()),
	}
	d.keys.Store(&keyRing{keys})
	var members []membership.Member
	for i := range 2 {
		members = append(members, membership.Member{
			ID: ident.DaemonID(i + 1), DataCentre: "dc", Incarnation: 5, State: membership.Serving,
			PeerAddr: netip.MustParseAddrPort(conn.LocalAddr().String()),
		})
	}
	v := &membership.View{Members: members}
	d.table.Store(relay.NewTable(members[0], v, ownership.NewTable(v, nil)))
	claims := &token.Claims{Service: 9, DataCentre: ident.DataCentre("dc"), Upstream: 1, Owner: 2, OwnerIncarnation: 5}
	b, err := frame.Encode(nil, &wirepb.Frame{
		FlowId: 7, Token: token.NewCodec(keys).Append(nil, 7, claims),
		Body: &wirepb.Frame_Request{Request: &wirepb.Request{RequestId: 1, Parts: 1, Payload: make([]byte, 200)}},
	})
	assert.NilError(t, err)
	sock := &serviceSocket{service: 9}
	r := d.newReceiver()
	caller := netip.MustParseAddrPort("127.0.0.1:1")
	step := func() {
		d.fromCaller(sock, r, b, caller)
		if r.out.n == sendBatch {
			r.out.flush()
		}
	}
	for range 2 * sendBatch { // fills the outbox's buffers
		step()
	}
	before := d.counters.relayed.Get()
	assert.Equal(t, testing.AllocsPerRun(1000, step), 0.0)
	assert.Assert(t, d.counters.relayed.Get() >= before+1000)
}
