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

// datapath passes packets between callers, peers and owner cores.
type datapath struct {
	clock         func() time.Time
	blocked       func(netip.Addr) bool       // nil unless an experiment cuts connections
	table         atomic.Pointer[relay.Table] // nil until the daemon has joined; set after shards
	keys          atomic.Pointer[keyRing]
	clusterKey    []byte
	sockets       *sockets
	shards        *shards
	opener        *opener
	counters      *packetCounters
	peerConn      *net.UDPConn
	peerBatchConn *ipv4.PacketConn // batch reads and writes on peerConn
	// receivers is the pool of idle receivers.
	receivers sync.Pool
	// handleMembership handles an encoded membership message; it must not block.
	handleMembership func(from netip.AddrPort, message []byte) error
}

// keyRing is the set of token keys of one configuration. Each receiver builds its own codec from it.
type keyRing struct{ keys []token.Key }

// receiver is the state of one goroutine that handles received packets.
type receiver struct {
	messages []ipv4.Message
	keyRing  *keyRing
	codec    *token.Codec
	sealer   *relay.Sealer
	packet   relay.Packet
	outbox   outbox
}

func (d *datapath) newReceiver() *receiver {
	return &receiver{sealer: relay.NewSealer(d.clusterKey), messages: newMessages(receiveBatch)}
}

// verify checks a token with the current keys.
func (d *datapath) verify(r *receiver, flow ident.FlowID, tok []byte) (token.Claims, error) {
	if ring := d.keys.Load(); ring != r.keyRing {
		r.keyRing, r.codec = ring, token.NewCodec(ring.keys)
	}
	return r.codec.Verify(flow, tok)
}

// handleCallerDatagram handles one datagram that arrived at a service's address.
func (d *datapath) handleCallerDatagram(sock *serviceSocket, r *receiver, b []byte, from netip.AddrPort) {
	h, err := frame.ReadHeader(b)
	if err != nil {
		d.counters.countFrameError(err)
		return
	}
	if len(h.Token) == 0 {
		d.handleOpen(r, sock.service, b, from)
		return
	}
	claims, err := d.verify(r, h.FlowID, h.Token)
	if err != nil {
		d.counters.countTokenError(err)
		return
	}
	if claims.Service != sock.service {
		d.counters.wrongService.Inc()
		return
	}
	d.route(r, &claims, b, from, 0)
}

// route passes a verified frame to the owner of its upstream, which is this daemon or another one.
func (d *datapath) route(r *receiver, claims *token.Claims, b []byte, caller netip.AddrPort, hops int) {
	decision := d.table.Load().Route(claims)
	switch decision.Verdict {
	case relay.Local:
		d.deliverToCore(claims, b, caller, hops)
	case relay.Forward:
		d.forward(r, decision.Peer, &relay.Packet{Caller: caller, Service: claims.Service, Frame: b, Hops: hops + 1})
	default:
		d.replyNoRoute(r, claims.Service, b, caller)
	}
}

// deliverToCore decodes a frame and queues it for the owner core.
func (d *datapath) deliverToCore(claims *token.Claims, b []byte, caller netip.AddrPort, hops int) {
	fr, err := frame.Decode(b)
	if err != nil {
		d.counters.countFrameError(err)
		return
	}
	d.offer(claims.Upstream, claims.Service, owner.FrameReceived{Caller: caller, Claims: *claims, Frame: fr, Hops: hops})
}

// offer queues a caller's packet for the owner core, or drops it when the service's share of the
// queue is full.
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
		d.counters.tooManyHops.Inc()
		return
	}
	b, ok := r.outbox.nextBuffer(d.peerBatchConn, to)
	if !ok {
		d.counters.badAddress.Inc()
		return
	}
	r.outbox.add(r.sealer.Seal(relay.AppendPacket(b, p)))
	d.counters.relayed.Inc()
}

// replyNoRoute sends the outcome NO_ROUTE to the caller of a request, so that it can retry the
// request. Callers repeat other frames by themselves.
func (d *datapath) replyNoRoute(r *receiver, service ident.ServiceID, b []byte, caller netip.AddrPort) {
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

// sendFrame adds a frame from the service's address to the receiver's outbox.
func (d *datapath) sendFrame(r *receiver, service ident.ServiceID, to netip.AddrPort, fr *wirepb.Frame) {
	sock := d.sockets.find(service)
	if sock == nil {
		return
	}
	b, ok := r.outbox.nextBuffer(sock.batchConn, to)
	if !ok {
		d.counters.badAddress.Inc()
		return
	}
	if b, err := (proto.MarshalOptions{}).MarshalAppend(b, fr); err == nil {
		r.outbox.add(b)
	}
}

// readPeers handles datagrams from other daemons until the socket is closed.
func (d *datapath) readPeers() {
	var wg sync.WaitGroup
	for range socketReaders {
		wg.Go(func() { readBatches(d.peerBatchConn, &d.receivers, d.handlePeerDatagram) })
	}
	wg.Wait()
}

func (d *datapath) handlePeerDatagram(r *receiver, b []byte, from netip.AddrPort) {
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
		d.counters.countMembershipError(d.handleMembership(from, message))
		return
	}
	if d.table.Load() == nil {
		return // not joined yet; the caller will repeat the packet
	}
	d.handleForwardedFrame(r)
}

// handleForwardedFrame handles a caller's frame that another daemon forwarded.
func (d *datapath) handleForwardedFrame(r *receiver) {
	p := &r.packet
	h, err := frame.ReadHeader(p.Frame)
	if err != nil {
		d.counters.countFrameError(err)
		return
	}
	if len(h.Token) == 0 {
		d.offer(p.Upstream, p.Service, owner.OpenReceived{
			Caller: p.Caller, Service: p.Service, Flow: h.FlowID, Upstream: p.Upstream,
			Tried: append([]ident.UpstreamID(nil), p.TriedUpstreams[:p.NumTriedUpstreams]...),
		})
		return
	}
	claims, err := d.verify(r, h.FlowID, h.Token)
	if err != nil {
		d.counters.countTokenError(err)
		return
	}
	if claims.Service != p.Service {
		d.counters.wrongService.Inc()
		return
	}
	if p.Upstream != 0 {
		// The owner named by the token has handed the upstream over to this daemon.
		d.deliverToCore(&claims, p.Frame, p.Caller, p.Hops)
		return
	}
	d.route(r, &claims, p.Frame, p.Caller, p.Hops)
}

// handleOpen handles a caller's datagram without a token.
func (d *datapath) handleOpen(r *receiver, service ident.ServiceID, b []byte, caller netip.AddrPort) {
	fr, err := frame.Decode(b)
	if err != nil {
		d.counters.countFrameError(err)
		return
	}
	if _, ok := fr.Body.(*wirepb.Frame_Open); !ok {
		d.counters.missingToken.Inc()
		return
	}
	d.opener.open(r, caller, service, ident.FlowID(fr.FlowId), nil, wirepb.Reason_REASON_NO_UPSTREAM)
}
