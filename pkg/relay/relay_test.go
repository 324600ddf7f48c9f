package relay

import (
	"net/netip"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	peerpb "rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/ownership"
	"rosemarygate/pkg/token"
)

func testPacket(addr string) *Packet {
	return &Packet{
		Caller: netip.MustParseAddrPort(addr), Service: 9, Frame: []byte("frame"), Hops: 2,
		Upstream: 4, TriedUpstreams: [MaxTriedUpstreams]ident.UpstreamID{5, 6}, NumTriedUpstreams: 2,
	}
}

// Guards against a difference between the hand-written encoding and the protobuf definition.
func TestPacketMatchesProtobuf(t *testing.T) {
	for _, addr := range []string{"127.0.0.1:80", "[2001:db8::1]:443"} {
		want := testPacket(addr)
		b := AppendPacket(nil, want)
		m := new(peerpb.Datagram)
		assert.NilError(t, proto.Unmarshal(b, m))
		assert.DeepEqual(t, m.GetRelay().Tried, []uint64{5, 6})
		assert.Equal(t, m.GetRelay().Service, uint64(9))

		reencoded, err := proto.Marshal(m)
		assert.NilError(t, err)
		var got Packet
		_, err = Parse(reencoded, &got)
		assert.NilError(t, err)
		assert.Equal(t, got.Caller, want.Caller)
		assert.Equal(t, got.TriedUpstreams, want.TriedUpstreams)
		assert.Equal(t, got.Hops, want.Hops)
		assert.Equal(t, string(got.Frame), "frame")
	}
}

// Guards against accepting datagrams from a sender without the cluster key.
func TestSealerRejectsOtherKey(t *testing.T) {
	b := NewSealer([]byte("one")).Seal([]byte("message"))
	_, err := NewSealer([]byte("two")).Open(b)
	assert.ErrorIs(t, err, ErrForged)
	body, err := NewSealer([]byte("one")).Open(b)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "message")
}

func testTable() (*Table, []membership.Member) {
	var members []membership.Member
	for i := range 3 {
		members = append(members, membership.Member{
			ID: ident.DaemonID(i + 1), DataCentre: "dc", Incarnation: 5, State: membership.Serving,
			PeerAddr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
		})
	}
	v := &membership.View{Members: members}
	return NewTable(members[0], v, ownership.NewTable(v, nil)), members
}

// Guards against packets that are forwarded to another incarnation of the owner that the token names.
func TestRouteFollowsTheTokensOwner(t *testing.T) {
	table, members := testTable()
	dc := ident.DataCentre("dc")
	d := table.Route(&token.Claims{DataCentre: dc, Upstream: 1, Owner: 2, OwnerIncarnation: 5})
	assert.Equal(t, d, Decision{Verdict: Forward, Peer: members[1].PeerAddr})
	d = table.Route(&token.Claims{DataCentre: dc, Upstream: 1, Owner: 1, OwnerIncarnation: 5})
	assert.Equal(t, d.Verdict, Local)
	current := table.RouteToOwner(dc, 1)
	d = table.Route(&token.Claims{DataCentre: dc, Upstream: 1, Owner: 2, OwnerIncarnation: 4})
	assert.Equal(t, d, current)
}

// BenchmarkRelayStep measures how a daemon forwards one caller packet: token verification, routing,
// encoding and MAC.
func BenchmarkRelayStep(b *testing.B) {
	table, _ := testTable()
	codec := token.NewCodec([]token.Key{{ID: 1, Secret: make([]byte, 32)}})
	tok := codec.Append(nil, 7, &token.Claims{DataCentre: ident.DataCentre("dc"), Upstream: 1, Owner: 2, OwnerIncarnation: 5})
	sealer := NewSealer(make([]byte, 32))
	p := testPacket("127.0.0.1:80")
	p.Frame = make([]byte, 300)
	out := make([]byte, 0, MaxDatagram)
	b.ReportAllocs()
	for b.Loop() {
		claims, err := codec.Verify(7, tok)
		if err != nil {
			b.Fatal(err)
		}
		if table.Route(&claims).Verdict != Forward {
			b.Fatal("not forwarded")
		}
		out = sealer.Seal(AppendPacket(out[:0], p))
	}
}

func FuzzParse(f *testing.F) {
	f.Add(AppendPacket(nil, testPacket("127.0.0.1:80")))
	f.Fuzz(func(t *testing.T, b []byte) {
		var p Packet
		message, err := Parse(b, &p)
		if err == nil && message == nil && !p.Caller.IsValid() {
			t.Fatal("packet without a caller was accepted")
		}
	})
}
