package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// client opens a flow for each request, through each entry daemon in turn.
type client struct {
	fleet  *fleet
	ip     netip.Addr
	conn   *net.UDPConn
	stop   chan struct{}
	once   sync.Once
	mu     sync.Mutex
	flows  map[uint16]chan packet
	sent   int
	served int
	resets int
}

func (f *fleet) startClient(i int, period time.Duration) (*client, error) {
	ip := netip.MustParseAddr(f.ip(5, i))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, uint16(f.ports.packet))))
	if err != nil {
		return nil, err
	}
	c := &client{fleet: f, ip: ip, conn: conn, stop: make(chan struct{}), flows: map[uint16]chan packet{}}
	go c.receive()
	go func() {
		port, edge := uint16(20000), 0
		for {
			select {
			case <-c.stop:
				return
			case <-time.After(period):
			}
			port++
			edge++
			go c.request(port, f.edges[edge%len(f.edges)])
		}
	}()
	f.mu.Lock()
	f.clients = append(f.clients, c)
	f.mu.Unlock()
	return c, nil
}

func (c *client) end() {
	c.once.Do(func() {
		close(c.stop)
		c.conn.Close()
	})
}

func (c *client) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decodePacket(append([]byte(nil), buffer[:n]...))
		if !ok {
			continue
		}
		c.mu.Lock()
		if flow := c.flows[p.dst.Port()]; flow != nil {
			select {
			case flow <- p:
			default:
			}
		}
		c.mu.Unlock()
	}
}

// request opens a flow, sends a request and reads its answer.
func (c *client) request(port uint16, edge *process) {
	flow := make(chan packet, 16)
	c.mu.Lock()
	c.flows[port] = flow
	c.sent++
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, port)
		c.mu.Unlock()
	}()
	to := netip.MustParseAddrPort(net.JoinHostPort(edge.ip, fmt.Sprint(c.fleet.ports.packet)))
	base := packet{src: netip.AddrPortFrom(c.ip, port), dst: netip.AddrPortFrom(netip.MustParseAddr(routeHost), routePort)}
	send := func(p packet) { _, _ = c.conn.WriteToUDPAddrPort(p.encode(), to) }
	syn := base
	syn.flags, syn.seq = flagSYN, rand.Uint32()
	var opened packet
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		syn.ack = uint32(copies)
		send(syn)
		select {
		case opened = <-flow:
		case <-time.After(wait):
			continue
		}
		break
	}
	if opened.flags&flagRST != 0 {
		c.mu.Lock()
		c.resets++
		c.mu.Unlock()
		return
	}
	if opened.flags&flagSYN == 0 {
		return
	}
	request := base
	request.flags, request.seq, request.ack, request.echo = flagACK, syn.seq+1, opened.seq+1, opened.echo
	request.data = []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	send(request)
	select {
	case answer := <-flow:
		if len(answer.data) == 0 {
			return
		}
		c.mu.Lock()
		c.served++
		c.mu.Unlock()
		fin := base
		fin.flags, fin.echo = flagACK|flagFIN, answer.echo
		fin.seq, fin.ack = request.seq+uint32(len(request.data)), answer.seq+uint32(len(answer.data))
		send(fin)
	case <-time.After(time.Second):
	}
}

// counts returns how many requests were sent and served, and how many flows were reset at their opening.
func (c *client) counts() (sent, served, resets int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent, c.served, c.resets
}
