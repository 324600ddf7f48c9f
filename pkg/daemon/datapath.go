package daemon

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/ipv4"
	"google.golang.org/protobuf/proto"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/relay"
	"rosemarygate/pkg/token"
)

// datapath moves packets between callers, peers and owner cores.
type datapath struct {
	clock    func() time.Time
	blocked  func(netip.Addr) bool       // nil unless an experiment cuts connections
	table    atomic.Pointer[relay.Table] // nil until the daemon has joined; set after shards
	keys     atomic.Pointer[keyRing]
	key      []byte // cluster key
	sockets  *sockets
	shards   *shards
	opener   *opener
	counters *packetCounters
	peerConn *net.UDPConn
	peers    *ipv4.PacketConn // peerConn for batches
	// receivers holds idle receivers.
	receivers sync.Pool
	// membership takes encoded membership messages; it must not block.
	membership func(from netip.AddrPort, message []byte) error
}

// keyRing is one generation of token keys. A receiver builds its own codec from it.
type keyRing struct{ keys []token.Key }

// receiver is the state of one goroutine that handles packets.
type receiver struct {
	messages []ipv4.Message
	ring     *keyRing
	codec    *token.Codec
	sealer   *relay.Sealer
	packet   relay.Packet
	out      outbox
}

func (d *datapath) newReceiver() *receiver {
	return &receiver{sealer: relay.NewSealer(d.key), messages: newMessages(receiveBatch)}
}

// verify checks a token with the current keys.
func (d *datapath) verify(r *receiver, flow ident.FlowID, tok []byte) (token.Claims, error) {
	if ring := d.keys.Load(); ring != r.ring {
		r.ring, r.codec = ring, token.NewCodec(ring.keys)
	}
	return r.codec.Verify(flow, tok)
}

// fromCaller handles one datagram that came to a service's address.
func (d *datapath) fromCaller(sock *serviceSocket, r *receiver, b []byte, from netip.AddrPort) {
	h, err := frame.ReadHeader(b)
	if err != nil {
		d.counters.frameRefused(err)
		return
	}
	if len(h.Token) == 0 {
		d.open(r, sock.service, b, from)
		return
	}
	claims, err := d.verify(r, h.FlowID, h.Token)
	if err != nil {
		d.counters.tokenRefused(err)
		return
	}
	if claims.Service != sock.service {
		d.counters.wrongService.Inc()
		return
	}
	d.route(r, &claims, b, from, 0)
}

// route sends a verified frame to its owner, here or at another daemon.
func (d *datapath) route(r *receiver, claims *token.Claims, b []byte, caller netip.AddrPort, hops int) {
	decision := d.table.Load().Route(claims)
	switch decision.Verdict {
	case relay.Local:
		d.deliver(claims, b, caller, hops)
	case relay.Forward:
		d.forward(r, decision.Peer, &relay.Packet{Caller: caller, Service: claims.Service, Frame: b, Hops: hops + 1})
	default:
		d.noRoute(r, claims.Service, b, caller)
	}
}

// deliver decodes a frame and gives it to the owner core.
func (d *datapath) deliver(claims *token.Claims, b []byte, caller netip.AddrPort, hops int) {
	fr, err := frame.Decode(b)
	if err != nil {
		d.counters.frameRefused(err)
		return
	}
	d.offer(claims.Upstream, claims.Service, owner.FrameReceived{Caller: caller, Claims: *claims, Frame: fr, Hops: hops})
}

// offer gives a caller's packet to the owner core while the service's share of its queue has
// room.
func (d *datapath) offer(u ident.UpstreamID, service ident.ServiceID, ev owner.Event) {
	if d.sockets.find(service) == nil {
		return
	}
	if !d.shards.offer(u, service, ev) {
		d.counters.overload.Inc()
	}
}

// forward sends a packet to another daemon.
func (d *datapath) forward(r *receiver, to netip.AddrPort, p *relay.Packet) {
	if p.Hops > relay.MaxHops {
		d.counters.hops.Inc()
		return
	}
	b, ok := r.out.next(d.peers, to)
	if !ok {
		d.counters.badAddress.Inc()
		return
	}
	r.out.put(r.sealer.Seal(relay.AppendPacket(b, p)))
	d.counters.relayed.Inc()
}

// noRoute tells the caller of a request to try again; other frames are repeated anyway.
func (d *datapath) noRoute(r *receiver, service ident.ServiceID, b []byte, caller netip.AddrPort) {
	d.counters.noRoute.Inc()
	fr, err := frame.Decode(b)
	if err != nil {
		return
	}
	q, ok := fr.Body.(*wirepb.Frame_Request)
	if !ok {
		return
	}
	d.sendFrame(r, service, caller, &wirepb.Frame{
		FlowId: fr.FlowId,
		Body: &wirepb.Frame_Outcome{Outcome: &wirepb.RequestOutcome{
			RequestId: q.Request.RequestId,
			Outcome:   wirepb.Outcome_OUTCOME_NO_ROUTE,
			Reason:    wirepb.Reason_REASON_NO_UPSTREAM,
		}},
	})
}

// sendFrame sends a frame from the service's address with the receiver's next batch.
func (d *datapath) sendFrame(r *receiver, service ident.ServiceID, to netip.AddrPort, fr *wirepb.Frame) {
	sock := d.sockets.find(service)
	if sock == nil {
		return
	}
	b, ok := r.out.next(sock.batch, to)
	if !ok {
		d.counters.badAddress.Inc()
		return
	}
	if b, err := (proto.MarshalOptions{}).MarshalAppend(b, fr); err == nil {
		r.out.put(b)
	}
}

// fromPeers handles the datagrams of other daemons until the socket is closed.
func (d *datapath) fromPeers() {
	var wg sync.WaitGroup
	for range socketReaders {
		wg.Go(func() { readBatches(d.peers, &d.receivers, d.fromPeer) })
	}
	wg.Wait()
}

func (d *datapath) fromPeer(r *receiver, b []byte, from netip.AddrPort) {
	if d.blocked != nil && d.blocked(from.Addr()) {
		return
	}
	body, err := r.sealer.Open(b)
	if err != nil {
		d.counters.forgedPeer.Inc()
		return
	}
	message, err := relay.Parse(body, &r.packet)
	if err != nil {
		d.counters.malformedPeer.Inc()
		return
	}
	if message != nil {
		d.counters.membershipRefused(d.membership(from, message))
		return
	}
	if d.table.Load() == nil {
		return // not joined yet; the caller repeats the packet
	}
	d.fromRelay(r)
}

// fromRelay handles a caller's frame that another daemon passed on.
func (d *datapath) fromRelay(r *receiver) {
	p := &r.packet
	h, err := frame.ReadHeader(p.Frame)
	if err != nil {
		d.counters.frameRefused(err)
		return
	}
	if len(h.Token) == 0 {
		d.offer(p.Upstream, p.Service, owner.OpenReceived{
			Caller: p.Caller, Service: p.Service, Flow: h.FlowID, Upstream: p.Upstream,
			Tried: append([]ident.UpstreamID(nil), p.Tried[:p.NumTried]...),
		})
		return
	}
	claims, err := d.verify(r, h.FlowID, h.Token)
	if err != nil {
		d.counters.tokenRefused(err)
		return
	}
	if claims.Service != p.Service {
		d.counters.wrongService.Inc()
		return
	}
	if p.Upstream != 0 {
		// The owner that the token names has handed the upstream over to this daemon.
		d.deliver(&claims, p.Frame, p.Caller, p.Hops)
		return
	}
	d.route(r, &claims, p.Frame, p.Caller, p.Hops)
}

// open handles a caller's datagram without a token.
func (d *datapath) open(r *receiver, service ident.ServiceID, b []byte, caller netip.AddrPort) {
	fr, err := frame.Decode(b)
	if err != nil {
		d.counters.frameRefused(err)
		return
	}
	if _, ok := fr.Body.(*wirepb.Frame_Open); !ok {
		d.counters.missingToken.Inc()
		return
	}
	d.opener.open(r, caller, service, ident.FlowID(fr.FlowId), nil, wirepb.Reason_REASON_NO_UPSTREAM)
}
