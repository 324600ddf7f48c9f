package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	serverSlots   = 3
	firstRetry    = 200 * time.Millisecond // of a packet, doubled up to maxRetry
	maxRetry      = 1600 * time.Millisecond
	serverRetries = 8
	workTime      = 40 * time.Millisecond
)

// server is one target: it announces itself and serves the flows that reach it.
type server struct {
	f       *fleet
	id      string
	key     uint64
	born    int64 // Unix milliseconds
	service string
	zone    string
	address netip.AddrPort
	conn    *net.UDPConn
	health  net.Listener
	slots   chan struct{}
	stopped chan struct{}
	// endpoint returns the control addresses that the server may call.
	endpoints func() []string

	mu           sync.Mutex
	alive        bool
	draining     bool
	drainAckedAt time.Time
	sequence     int
	flows        map[netip.AddrPort]*serverFlow // by client
}

// serverFlow is the server's end of a flow.
type serverFlow struct {
	client, route netip.AddrPort
	isn           uint32
	open, ended   bool
	finSent       bool
	echo          uint32
	expected      uint32 // next sequence number of the client
	sent, acked   uint32 // own sequence numbers
	requests      []byte // received and not yet run
	running       bool
	unacked       []byte // packet in flight
	retries       int
}

func (f *fleet) startServer(n int, service string, zone int) (*server, error) {
	key := uint64(rand.Uint32())<<8 | uint64(n)
	s := &server{
		f: f, key: key, id: fmt.Sprintf("i-%010x", key), born: time.Now().UnixMilli(), service: service, zone: zoneNames[zone],
		address: netip.AddrPortFrom(f.ip(kindServer, n), f.ports.server), slots: make(chan struct{}, serverSlots),
		stopped: make(chan struct{}), alive: true, flows: map[netip.AddrPort]*serverFlow{},
	}
	s.endpoints = func() []string {
		var out []string
		for _, m := range f.controlList() {
			out = append(out, m.controlAddress())
		}
		return out
	}
	var err error
	if s.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.address)); err != nil {
		return nil, err
	}
	if s.health, err = net.Listen("tcp4", s.address.String()); err != nil {
		return nil, err
	}
	go func() {
		_ = http.Serve(s.health, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if s.isDraining() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})) // ends with the listener
	}()
	f.rec.event("server %s (%s, %s) starts at %s, born %d", s.id, s.service, s.zone, s.address, s.born)
	go s.receive()
	go s.announce()
	return s, nil
}

func (s *server) isAlive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alive
}

func (s *server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// exit ends the process: its flows are gone.
func (s *server) exit() {
	s.mu.Lock()
	s.alive = false
	s.flows = map[netip.AddrPort]*serverFlow{}
	s.mu.Unlock()
	close(s.stopped)
	s.conn.Close()
	s.health.Close()
	s.f.rec.event("server %s exits", s.id)
}

// report sends a call to daemons in turn, with increasing backoff, until one acknowledges it or limit has
// passed. A call that has no response within a second has failed.
func (s *server) report(path string, body func() []byte, limit time.Duration) bool {
	begin, backoff := time.Now(), 100*time.Millisecond
	s.mu.Lock()
	list := s.endpoints()
	s.mu.Unlock()
	first := rand.IntN(len(list))
	for i := 0; time.Since(begin) < limit; i++ {
		address := list[(first+i)%len(list)]
		sentAt := time.Now()
		code, _ := call(address, "POST", path, body(), s.address.Addr())
		if code/100 == 2 {
			return true
		}
		s.f.rec.event("server %s: %s at %s: status %d after %d ms", s.id, path, address, code, time.Since(sentAt).Milliseconds())
		select {
		case <-s.stopped:
			return false
		case <-time.After(backoff):
		}
		backoff *= 2
	}
	return false
}

func (s *server) beat() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	return marshal(map[string]any{
		"service": s.service, "address": s.address.String(), "zone": s.zone, "version": "v1", "concurrency": serverSlots,
		"state": state, "warmupRemainingMs": 0, "sequence": s.sequence, "born": s.born,
	})
}

func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // only maps of plain values are passed
	}
	return data
}

func (s *server) announce() {
	for {
		wasDraining := s.isDraining()
		if s.report("/Instances.Heartbeat/"+s.id, s.beat, 2*beatPeriod) && wasDraining {
			s.mu.Lock()
			if s.drainAckedAt.IsZero() {
				s.drainAckedAt = time.Now()
				s.f.rec.event("server %s: draining is acknowledged", s.id)
			}
			s.mu.Unlock()
		}
		select {
		case <-s.stopped:
			return
		case <-time.After(beatPeriod):
		}
	}
}

// drain reports draining at once and waits for the acknowledgement.
func (s *server) drain() bool {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.f.rec.event("server %s reports draining", s.id)
	ok := s.report("/Instances.Heartbeat/"+s.id, s.beat, ackTime)
	s.mu.Lock()
	if ok && s.drainAckedAt.IsZero() {
		s.drainAckedAt = time.Now()
		s.f.rec.event("server %s: draining is acknowledged", s.id)
	}
	s.mu.Unlock()
	return ok
}

// leave drains the server, deregisters it and ends it. Without an acknowledgement it exits some seconds later.
func (s *server) leave() {
	if s.drain() {
		time.Sleep(drainTime + 500*time.Millisecond)
	}
	s.f.rec.event("server %s deregisters", s.id)
	body := func() []byte {
		return marshal(map[string]any{"service": s.service, "address": s.address.String(), "born": s.born})
	}
	acked := s.report("/Instances.Deregister/"+s.id, body, ackTime)
	s.f.rec.event("server %s: deregistration acknowledged: %v", s.id, acked)
	s.exit()
}

// receive handles the packets of flows.
func (s *server) receive() {
	buf := make([]byte, maxPacket)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // the socket is closed
		}
		if n < keySize {
			continue
		}
		if key := binary.BigEndian.Uint64(buf); key != 0 && key != s.key {
			continue // meant for another process
		}
		p, genuine, err := decode(buf[keySize:n])
		if err != nil || !genuine {
			s.f.rec.broken("UNASKED: server %s gets a packet from %s that no client wrote", s.id, from)
			continue
		}
		s.handle(&p, from)
	}
}

func (s *server) handle(p *packet, from netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.alive {
		return
	}
	fl := s.flows[p.src]
	if p.flags&flagSYN != 0 {
		if fl == nil {
			fl = &serverFlow{client: p.src, route: p.dst, isn: rand.Uint32(), expected: p.seq + 1}
			fl.sent, fl.acked = fl.isn+1, fl.isn+1
			s.flows[p.src] = fl
			s.checkDrained(p, from)
		}
		fl.echo = p.echo
		s.send(fl, flagSYN|flagACK, fl.isn, nil)
		return
	}
	if fl == nil || fl.ended && len(p.data) > 0 {
		s.f.rec.count("resets by servers")
		s.reset(p)
		return
	}
	if !fl.open {
		if p.flags&flagACK == 0 || p.ack != fl.isn+1 {
			s.f.rec.count("packets for a flow that opened at another server")
			return
		}
		fl.open = true
		s.f.rec.count("flows opened")
	}
	fl.echo = p.echo
	if p.flags&flagRST != 0 {
		delete(s.flows, p.src)
		return
	}
	if p.flags&flagACK != 0 && p.ack == fl.sent {
		fl.acked, fl.unacked, fl.retries = p.ack, nil, 0
	}
	switch {
	case len(p.data) > 0 && p.seq == fl.expected:
		fl.expected += uint32(len(p.data))
		fl.requests = append(fl.requests, p.data...)
		s.takeRequest(fl, from)
	case len(p.data) > 0 || p.flags&flagFIN != 0 && p.seq != fl.expected:
		s.send(fl, flagACK, fl.sent, nil) // a repeated packet
		return
	}
	if p.flags&flagFIN != 0 && p.seq == fl.expected {
		fl.expected++
		fl.ended = true
		s.send(fl, flagACK|flagFIN, fl.sent, nil)
	}
}

// checkDrained reports the opening packet of a flow that arrives too late at a draining server.
func (s *server) checkDrained(p *packet, from netip.AddrPort) {
	if s.drainAckedAt.IsZero() {
		return
	}
	late := time.Since(s.drainAckedAt)
	if late > drainTime {
		s.f.rec.broken("DRAIN: the SYN of %s for %s reaches server %s from %s %d ms after its draining was acknowledged (drainMs 3000)",
			p.src, p.dst, s.id, from.Addr(), late.Milliseconds())
	}
}

// takeRequest runs the next request of a flow once it is complete.
func (s *server) takeRequest(fl *serverFlow, from netip.AddrPort) {
	head, _, complete := bytes.Cut(fl.requests, []byte("\r\n\r\n"))
	if !complete || fl.running {
		return
	}
	attempt, length := headerValue(head, "Attempt-Id"), headerValue(head, "Content-Length")
	bodyLength, err := strconv.Atoi(length)
	if err != nil || len(fl.requests) < len(head)+4+bodyLength {
		return
	}
	fl.requests = fl.requests[len(head)+4+bodyLength:]
	fl.running = true
	s.f.rec.count("requests run")
	s.f.asked(attempt, s, fl.route)
	go func() {
		s.slots <- struct{}{}
		time.Sleep(workTime)
		<-s.slots
		s.answer(fl, attempt)
	}()
}

func headerValue(head []byte, name string) string {
	for _, line := range strings.Split(string(head), "\r\n") {
		if key, value, ok := strings.Cut(line, ": "); ok && key == name {
			return value
		}
	}
	return ""
}

func (s *server) answer(fl *serverFlow, attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flows[fl.client] != fl {
		return
	}
	fl.running = false
	body := strings.Repeat("x", 600)
	closing := ""
	if s.draining {
		closing = "Connection: close\r\n"
	}
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Id: %s\r\nResponse-Signature: %08x\r\n%sContent-Length: %d\r\n\r\n%s",
		attempt, s.id, signature(attempt, s.id, body), closing, len(body), body)
	fl.unacked = []byte(text)
	flags := byte(flagACK)
	seq := fl.sent
	fl.sent += uint32(len(text))
	if s.draining { // closes the flow after this response
		flags |= flagFIN
		fl.sent++
		fl.finSent = true
	}
	s.send(fl, flags, seq, fl.unacked)
	go s.repeat(fl, flags, seq, fl.sent)
}

// repeat sends a response again until it is acknowledged.
func (s *server) repeat(fl *serverFlow, flags byte, seq, sent uint32) {
	pause := firstRetry
	for range serverRetries {
		select {
		case <-s.stopped:
			return
		case <-time.After(pause):
		}
		s.mu.Lock()
		if s.flows[fl.client] != fl || fl.acked == sent || fl.sent != sent || fl.unacked == nil {
			s.mu.Unlock()
			return
		}
		s.send(fl, flags, seq, fl.unacked)
		s.mu.Unlock()
		pause = min(2*pause, maxRetry)
	}
}

// send sends a packet of a flow to its client. The caller holds the lock.
func (s *server) send(fl *serverFlow, flags byte, seq uint32, data []byte) {
	p := packet{src: fl.route, dst: fl.client, flags: flags, seq: seq, ack: fl.expected, echo: fl.echo, data: data}
	s.transmit(p.encode(), fl.client.Addr())
}

func (s *server) reset(p *packet) {
	r := packet{src: p.dst, dst: p.src, flags: flagRST, seq: p.ack, echo: p.echo}
	s.transmit(r.encode(), p.src.Addr())
}

func (s *server) transmit(datagram []byte, client netip.Addr) {
	to := netip.AddrPortFrom(client, s.f.ports.datagram)
	time.AfterFunc(clientDelay, func() { _, _ = s.conn.WriteToUDPAddrPort(datagram, to) }) // lost like any datagram
}
