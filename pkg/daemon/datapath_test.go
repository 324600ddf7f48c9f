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
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/ownership"
	"rosemarygate/pkg/relay"
	"rosemarygate/pkg/telemetry"
	"rosemarygate/pkg/token"
)

const testService = ident.ServiceID(9)

var testKeys = []token.Key{{ID: 1, Secret: make([]byte, 32)}}

// newTestDatapath returns the data path of daemon 1 of two, with one service and queues that no shard
// empties.
func newTestDatapath(t testing.TB) *datapath {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	d := &datapath{
		clock: time.Now, peerConn: conn, peerBatchConn: ipv4.NewPacketConn(conn),
		counters: newPacketCounters(telemetry.NewSet()),
		sockets: &sockets{byService: map[ident.ServiceID]*serviceSocket{
			testService: {service: testService, conn: conn, batchConn: ipv4.NewPacketConn(conn)},
		}},
		shards:           &shards{all: []*shard{{packets: newFairQueue()}}},
		handleMembership: func(netip.AddrPort, []byte) error { return nil },
	}
	d.keys.Store(&keyRing{testKeys})
	var members []membership.Member
	for i := range 2 {
		members = append(members, membership.Member{
			ID: ident.DaemonID(i + 1), DataCentre: "dc", Incarnation: 5, State: membership.Serving,
			PeerAddr: netip.MustParseAddrPort(conn.LocalAddr().String()),
		})
	}
	v := &membership.View{Members: members}
	d.table.Store(relay.NewTable(members[0], v, ownership.NewTable(v, nil)))
	d.opener = newOpener(d, members[0], nil, func(ident.ServiceID, wirepb.Reason) {})
	return d
}

// takeQueued removes the next event that a shard would handle.
func (d *datapath) takeQueued() (owner.Event, bool) { return d.shards.all[0].packets.take() }

func encodedTestRequest(t testing.TB, claims *token.Claims) []byte {
	b, err := frame.Encode(nil, &wirepb.Frame{
		FlowId: 7, Token: token.NewCodec(testKeys).Append(nil, 7, claims),
		Body: &wirepb.Frame_Request{Request: &wirepb.Request{RequestId: 1, Parts: 1, Payload: make([]byte, 200)}},
	})
	assert.NilError(t, err)
	return b
}

// Guards against memory allocations for packets that a daemon forwards, such as by decoding them.
func TestRelayStepDoesNotAllocate(t *testing.T) {
	d := newTestDatapath(t)
	b := encodedTestRequest(t, &token.Claims{Service: testService, DataCentre: ident.DataCentre("dc"), Upstream: 1, Owner: 2, OwnerIncarnation: 5})
	sock := d.sockets.find(testService)
	r := d.newReceiver()
	caller := netip.MustParseAddrPort("127.0.0.1:1")
	step := func() {
		d.handleCallerDatagram(sock, r, b, caller)
		if r.outbox.n == sendBatch {
			r.outbox.flush()
		}
	}
	for range 2 * sendBatch { // allocates the outbox's buffers
		step()
	}
	before := d.counters.relayed.Get()
	assert.Equal(t, testing.AllocsPerRun(1000, step), 0.0)
	assert.Assert(t, d.counters.relayed.Get() >= before+1000)
}
