package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	openLimit       = 1400 * time.Millisecond
	requestDeadline = 1500 * time.Millisecond
	maxResetOffset  = 76_800
)

// synDelays are the times at which a client sends its SYN and the copies of it.
var synDelays = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// client is one client machine.
type client struct {
	f    *fleet
	ip   netip.Addr
	zone string
	conn *net.UDPConn
	rng  *rand.Rand

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*flow
}

// startClient opens the socket of a client machine.
func (f *fleet) startClient(i int, zone string) (*client, error) {
	c := &client{f: f, ip: f.address(clientMachine, i), zone: zone, rng: rand.New(rand.NewPCG(uint64(i), 7)), port: 1024, flows: map[uint16]*flow{}}
	var err error
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, f.ports.datagram))); err != nil {
		return nil, err
	}
	f.work.Go(c.receive)
	f.work.Go(func() {
		<-f.stop
		c.conn.Close()
	})
	return c, nil
}

func (c *client) receive() {
	buf := make([]byte, 4096)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		fl := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if fl == nil || fl.key.route != p.src {
			continue
		}
		select {
		case fl.arrived <- p:
		default: // lost
		}
	}
}

// flow is one flow at its client.
type flow struct {
	c              *client
	key            flowKey
	arrived        chan packet
	through        *process // edge that gets all packets, nil for the one that the router selects
	iss, next      uint32   // first and next own sequence number
	acked          uint32
	peerNext, echo uint32
	open           bool
	reset          bool
	resetBySystem  bool
	finished       bool // the target has closed the flow
	received       strings.Builder
}

// outcome is how an attempt has ended.
type outcome string

const (
	opened   outcome = "opened"
	answered outcome = "answered"
	refused  outcome = "reset before it opened"
	wasReset outcome = "reset"
	wasEnded outcome = "closed by the target"
	noAnswer outcome = "no answer"
)

// dial opens a flow from a new port.
func (c *client) dial(route netip.AddrPort) (*flow, outcome) { return c.dialThrough(nil, route) }

// dialThrough opens a flow whose packets all go to one edge, or to those that the router selects if it is nil.
func (c *client) dialThrough(edge *process, route netip.AddrPort) (*flow, outcome) {
	c.mu.Lock()
	c.port++
	fl := &flow{c: c, through: edge, key: flowKey{netip.AddrPortFrom(c.ip, c.port), route}, arrived: make(chan packet, 64), iss: c.rng.Uint32()}
	fl.next, fl.acked = fl.iss+1, fl.iss+1
	c.flows[c.port] = fl
	c.mu.Unlock()
	begin := time.Now()
	for i, at := range synDelays {
		if fl.receiveUntil(begin.Add(at), func() bool { return fl.open || fl.reset }) {
			break
		}
		fl.send(&packet{flags: flagSYN, seq: fl.iss, ack: uint32(i)})
	}
	fl.receiveUntil(begin.Add(openLimit), func() bool { return fl.open || fl.reset })
	switch {
	case fl.open:
		return fl, opened
	case fl.reset:
		fl.forget()
		return nil, refused
	}
	fl.forget()
	return nil, noAnswer
}

func (fl *flow) forget() {
	fl.c.mu.Lock()
	defer fl.c.mu.Unlock()
	delete(fl.c.flows, fl.key.client.Port())
}

// send sends a packet to the edge that the router selects now.
func (fl *flow) send(p *packet) {
	p.src, p.dst, p.sum = fl.key.client, fl.key.route, sumOfSender
	if p.flags&flagSYN == 0 {
		p.ack, p.echo = fl.peerNext, fl.echo
	}
	edge := fl.through
	if edge == nil {
		edge = fl.c.f.route(fl.c.zone, fl.key)
	}
	_, _ = fl.c.conn.WriteToUDPAddrPort(p.encode(nil), edge.datagram()) // lost like any datagram
}

// receiveUntil handles packets until a condition holds or a deadline has passed, and returns the condition.
func (fl *flow) receiveUntil(deadline time.Time, done func() bool) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for !done() {
		select {
		case <-fl.c.f.stop:
			return done()
		case <-timer.C:
			return done()
		case p := <-fl.arrived:
			fl.handle(&p)
		}
	}
	return true
}

// handle handles a packet that has arrived on the flow.
func (fl *flow) handle(p *packet) {
	isReset := p.flags&flagRST != 0
	if isReset && p.sum == 0 {
		fl.handleSystemReset(p)
		return
	}
	fl.echo = p.echo // the last one received on the flow
	switch {
	case isReset:
		if !fl.open || p.seq == fl.peerNext {
			fl.reset = true
			fl.c.f.observer.clientReset(fl, false)
		}
	case p.flags&flagSYN != 0:
		if !fl.open && p.ack == fl.iss+1 {
			fl.open, fl.peerNext = true, p.seq+1
			fl.send(&packet{flags: flagACK, seq: fl.next})
		}
	default:
		fl.handleData(p)
	}
}

func (fl *flow) handleSystemReset(p *packet) {
	if offset := int32(p.seq - fl.peerNext); fl.open && (offset > maxResetOffset || offset < -maxResetOffset) {
		fl.c.f.record.note("%v gets a reset outside its window", fl.key)
		return
	}
	fl.reset, fl.resetBySystem = true, true
	if fl.open {
		fl.c.f.observer.clientReset(fl, true)
	}
}

func (fl *flow) handleData(p *packet) {
	if !fl.open {
		return
	}
	if isAfter(p.ack, fl.acked) {
		fl.acked = p.ack
	}
	length := uint32(len(p.data))
	if length == 0 && p.flags&flagFIN == 0 {
		return
	}
	if p.seq == fl.peerNext {
		fl.received.Write(p.data)
		fl.peerNext += length
		if p.flags&flagFIN != 0 {
			fl.peerNext++
			fl.finished = true
		}
	}
	fl.send(&packet{flags: flagACK, seq: fl.next})
}

// request sends a request on the flow, which fits into one packet, and awaits the answer.
func (fl *flow) request(kind, id string, answerBytes, bodyBytes int) outcome {
	text := fmt.Sprintf("%s /work HTTP/1.1\r\nHost: x\r\nAttempt-Id: %s\r\nAnswer-Bytes: %d\r\nContent-Length: %d\r\n\r\n%s", kind, id, answerBytes, bodyBytes, strings.Repeat("y", bodyBytes))
	fl.received.Reset()
	begin, seq := time.Now(), fl.next
	deadline := begin.Add(requestDeadline)
	fl.next += uint32(len(text))
	done := func() bool { return fl.reset || fl.finished || fl.isAnswered(id) }
	pause := firstRetransmit
	fl.send(&packet{flags: flagACK, seq: seq, data: []byte(text)})
	for !done() && time.Now().Before(deadline) {
		next := time.Now().Add(pause)
		if next.After(deadline) {
			next = deadline
		}
		if !fl.receiveUntil(next, done) && !isAfter(fl.acked, seq) && next.Before(deadline) {
			fl.send(&packet{flags: flagACK, seq: seq, data: []byte(text)})
			pause = min(2*pause, maxRetransmit)
		}
	}
	switch {
	case fl.isAnswered(id):
		return answered
	case fl.reset:
		return wasReset
	case fl.finished:
		return wasEnded
	}
	return noAnswer
}

// isAnswered reports whether the whole answer to a request has arrived.
func (fl *flow) isAnswered(id string) bool {
	head, body, found := strings.Cut(fl.received.String(), "\r\n\r\n")
	if !found || headerOf(head, "Attempt-Id") != id {
		return false
	}
	size, err := strconv.Atoi(headerOf(head, "Content-Length"))
	return err == nil && len(body) == size
}

// idle lets time pass on an open flow, and reports whether it is still open.
func (fl *flow) idle(d time.Duration) bool {
	return !fl.receiveUntil(time.Now().Add(d), func() bool { return fl.reset || fl.finished })
}

// close closes the flow.
func (fl *flow) close() {
	if fl.open && !fl.reset {
		fl.send(&packet{flags: flagFIN | flagACK, seq: fl.next})
		fl.receiveUntil(time.Now().Add(firstRetransmit), func() bool { return fl.reset || fl.finished })
	}
	fl.forget()
}
