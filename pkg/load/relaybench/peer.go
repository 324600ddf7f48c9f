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
	peerName   = "sink"
	tickPeriod = 20 * time.Millisecond
	// membershipTag is the first byte of a membership datagram: field 2, length-delimited.
	membershipTag = 2<<3 | 2
)

// peer is a stand-in for the daemon to which packets are relayed: a member of the cluster that counts
// datagrams instead of handling them.
type peer struct {
	conn            *net.UDPConn
	receivedPackets atomic.Uint64
	cpu             atomic.Int64 // CPU time of the counting thread in nanoseconds

	mu             sync.Mutex
	membershipCore *membership.Core
	sealer         *relay.Sealer
}

func newPeer(host, daemon netip.Addr) (*peer, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, 0)))
	if err != nil {
		return nil, err
	}
	// The system may grant a smaller buffer; packets are then lost, which lowers the rate.
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
		membershipCore: membership.New(cfg, self, rand.New(rand.NewPCG(1, 1))),
	}, nil
}

// incarnation returns the owner incarnation that a token must name for its packets to be relayed to
// this peer.
func (p *peer) incarnation() ident.Incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.membershipCore.Self().Incarnation
}

// run takes part in the membership protocol and counts all other datagrams.
func (p *peer) run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	go p.countPackets()
	for {
		select {
		case <-ctx.Done():
			p.conn.Close()
			return
		case <-ticker.C:
			p.stepMembership(membership.Tick{})
		}
	}
}

func (p *peer) countPackets() {
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
				p.handleMembership(b, m.Addr)
				continue
			}
			p.receivedPackets.Add(1)
		}
		p.cpu.Store(threadCPU())
	}
}

func (p *peer) handleMembership(b []byte, sender net.Addr) {
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
	p.stepMembership(membership.Received{From: sender.(*net.UDPAddr).AddrPort(), Message: m})
}

func (p *peer) stepMembership(ev membership.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.membershipCore.Step(time.Now(), ev) {
		switch a := a.(type) {
		case membership.Send:
			p.sendMembership(a)
		case membership.Joined:
			for _, next := range p.membershipCore.Step(time.Now(), membership.Serve{}) {
				if s, ok := next.(membership.Send); ok {
					p.sendMembership(s)
				}
			}
		}
	}
}

func (p *peer) sendMembership(a membership.Send) {
	b, err := proto.Marshal(a.Message)
	if err != nil {
		return
	}
	// The membership protocol resends lost messages.
	_, _ = p.conn.WriteToUDPAddrPort(p.sealer.Seal(relay.AppendMembership(nil, b)), a.To)
}
