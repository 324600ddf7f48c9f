package relaybench

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/ipv4"
	"google.golang.org/protobuf/proto"

	peerpb "rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/relay"
)

const (
	peerName = "sink"
	peerTick = 20 * time.Millisecond
	// membershipTag starts a membership datagram: field 2, length-delimited.
	membershipTag = 2<<3 | 2
)

// peer is a stand-in for the daemon that packets are relayed to: a member of the cluster
// that counts datagrams instead of handling them.
type peer struct {
	conn    *net.UDPConn
	packets atomic.Uint64
	cpu     atomic.Int64 // nanoseconds of the counting thread

	mu      sync.Mutex
	members *membership.Core
	sealer  *relay.Sealer
}

func newPeer(host, daemon netip.Addr) (*peer, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, 0)))
	if err != nil {
		return nil, err
	}
	// The system may allow less; packets are then lost, which lowers the rate.
	_ = conn.SetReadBuffer(socketBuffer)
	self := membership.Member{
		ID: ident.Daemon(peerName), Name: peerName, DataCentre: dataCentre,
		Incarnation: ident.Incarnation(time.Now().UnixMilli()),
		PeerAddr:    conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		GRPCAddr:    netip.AddrPortFrom(host, 1),
	}
	cfg := membership.Config{Seeds: []netip.AddrPort{netip.AddrPortFrom(daemon, peerPort)}}
	return &peer{
		conn: conn, sealer: relay.NewSealer(nil),
		members: membership.New(cfg, self, rand.New(rand.NewPCG(1, 1))),
	}, nil
}

// incarnation is what a token has to name for its packets to come here.
func (p *peer) incarnation() ident.Incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Self().Incarnation
}

// run answers membership messages and counts all other datagrams.
func (p *peer) run(ctx context.Context) {
	ticker := time.NewTicker(peerTick)
	defer ticker.Stop()
	go p.count()
	for {
		select {
		case <-ctx.Done():
			p.conn.Close()
			return
		case <-ticker.C:
			p.step(membership.Tick{})
		}
	}
}

func (p *peer) count() {
	runtime.LockOSThread()
	batch := ipv4.NewPacketConn(p.conn)
	messages := newMessages(batchSize)
	for {
		n, err := batch.ReadBatch(messages, 0)
		if err != nil {
			return
		}
		for _, m := range messages[:n] {
			if b := m.Buffers[0][:m.N]; m.N > 0 && b[0] == membershipTag {
				p.member(b, m.Addr)
				continue
			}
			p.packets.Add(1)
		}
		p.cpu.Store(threadCPU())
	}
}

func (p *peer) member(b []byte, from net.Addr) {
	p.mu.Lock()
	body, err := p.sealer.Open(b)
	p.mu.Unlock()
	if err != nil {
		return
	}
	var packet relay.Packet
	encoded, err := relay.Parse(body, &packet)
	m := new(peerpb.Membership)
	if err != nil || proto.Unmarshal(encoded, m) != nil {
		return
	}
	p.step(membership.Received{From: from.(*net.UDPAddr).AddrPort(), Message: m})
}

func (p *peer) step(ev membership.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.members.Step(time.Now(), ev) {
		switch a := a.(type) {
		case membership.Send:
			p.send(a)
		case membership.Joined:
			for _, next := range p.members.Step(time.Now(), membership.Serve{}) {
				if s, ok := next.(membership.Send); ok {
					p.send(s)
				}
			}
		}
	}
}

func (p *peer) send(a membership.Send) {
	b, err := proto.Marshal(a.Message)
	if err != nil {
		return
	}
	// A lost message is repeated by the protocol.
	_, _ = p.conn.WriteToUDPAddrPort(p.sealer.Seal(relay.AppendMembership(nil, b)), a.To)
}
