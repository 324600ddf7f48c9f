package daemon

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/relay"
	"rosemarygate/pkg/token"
)

// FuzzPeerDatagram guards against datagrams from a peer with the cluster key that cause a panic or an
// event for another service.
func FuzzPeerDatagram(f *testing.F) {
	d := newTestDatapath(f)
	r := d.newReceiver()
	claims := token.Claims{Service: testService, DataCentre: ident.DataCentre("dc"), Upstream: 1, Owner: 1, OwnerIncarnation: 5}
	for _, id := range []ident.DaemonID{1, 2, 3} {
		claims.Owner = id
		p := relay.Packet{Caller: netip.MustParseAddrPort("127.0.0.1:1"), Service: testService, Hops: 1, Frame: encodedTestRequest(f, &claims)}
		f.Add(relay.AppendPacket(nil, &p))
		p.Hops, p.Caller = relay.MaxHops, netip.MustParseAddrPort("[::1]:1")
		f.Add(relay.AppendPacket(nil, &p))
	}
	open, err := frame.Encode(nil, &wirepb.Frame{FlowId: 7, Body: &wirepb.Frame_Open{Open: &wirepb.Open{}}})
	assert.NilError(f, err)
	f.Add(relay.AppendPacket(nil, &relay.Packet{
		Caller: netip.MustParseAddrPort("127.0.0.1:1"), Service: testService, Upstream: 1, NumTriedUpstreams: 3, Frame: open,
	}))
	f.Add(relay.AppendMembership(nil, []byte("message")))
	f.Fuzz(func(t *testing.T, body []byte) {
		d.handlePeerDatagram(r, body, netip.AddrPort{}) // without the MAC
		d.handlePeerDatagram(r, r.sealer.Seal(append([]byte(nil), body...)), netip.AddrPort{})
		r.outbox.n = 0
		for {
			ev, ok := d.takeQueued()
			if !ok {
				return
			}
			switch ev := ev.(type) {
			case owner.OpenReceived:
				assert.Equal(t, ev.Service, testService)
			case owner.FrameReceived:
				assert.Equal(t, ev.Claims.Service, testService)
			}
		}
	})
}

// FuzzCallerDatagram guards against datagrams from callers that cause a panic, or that get a larger
// reply without a valid token.
func FuzzCallerDatagram(f *testing.F) {
	d := newTestDatapath(f)
	r := d.newReceiver()
	sock := d.sockets.find(testService)
	claims := token.Claims{Service: testService, DataCentre: ident.DataCentre("dc"), Upstream: 1, Owner: 3, OwnerIncarnation: 5}
	valid := encodedTestRequest(f, &claims)
	f.Add(valid)
	f.Add(valid[:len(valid)/2])
	f.Add(append([]byte(nil), make([]byte, frame.MaxSize+1)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		d.handleCallerDatagram(sock, r, b, netip.MustParseAddrPort("127.0.0.1:1"))
		sent := 0
		for _, m := range r.outbox.messages[:r.outbox.n] {
			sent += len(m.Buffers[0])
		}
		if r.outbox.conn == sock.batchConn {
			assert.Assert(t, sent <= len(b), "reply of %d bytes to %d", sent, len(b))
		}
		r.outbox.n = 0
		for {
			if _, ok := d.takeQueued(); !ok {
				return
			}
		}
	})
}
