package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	firstRetransmit  = 200 * time.Millisecond
	maxRetransmit    = 1600 * time.Millisecond
	maxRetransmits   = 8
	halfOpenLifetime = 10 * time.Second
)

// target is one process behind the system. It holds its flows in memory.
type target struct {
	f       *fleet
	id      string
	key     uint64
	service string
	zone    string
	address netip.AddrPort
	born    int64
	work    time.Duration // time of a request
	conn    *net.UDPConn
	health  *http.Server
	stop    chan struct{}

	ended    atomic.Bool
	mu       sync.Mutex
	draining bool
	leaving  bool // it deregisters and sends no heartbeat any more
	sequence uint64
	flows    map[flowKey]*targetFlow
	ran      map[string]int // runs by Attempt-Id
}

// targetFlow is a flow at a target.
type targetFlow struct {
	iss, next, peerNext uint32 // first and next own sequence number, and next one expected from the client
	acked               uint32
	open                bool
	since               time.Time
	echo                uint32
	finished            bool
	closing             bool // it ends after the next answer
	unacked             []packet
	timer               *time.Timer
	retransmits         int
}

// startTarget starts a target and its heartbeats.
func (f *fleet) startTarget(i int, service, zone string, work time.Duration) (*target, error) {
	key := rand.Uint64() >> 24
	t := &target{
		f: f, id: fmt.Sprintf("i-%010x", key), key: key, service: service, zone: zone, work: work,
		address: netip.AddrPortFrom(f.address(targetMachine, i), f.ports.target), born: time.Now().UnixMilli(),
		stop: make(chan struct{}), flows: map[flowKey]*targetFlow{}, ran: map[string]int{},
	}
	var err error
	if t.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.address)); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", t.address.String())
	if err != nil {
		t.conn.Close()
		return nil, err
	}
	t.health = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Instance-Id", t.id)
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	f.mu.Lock()
	f.targets = append(f.targets, t)
	f.mu.Unlock()
	f.work.Go(func() { _ = t.health.Serve(listener) }) // it ends with the target
	f.work.Go(t.receive)
	f.work.Go(t.beat)
	f.record.note("target %s of %s starts at %v in %s", t.id, service, t.address, zone)
	return t, nil
}

// end ends the process of the target, which forgets its flows.
func (t *target) end() {
	if t.ended.Swap(true) {
		return
	}
	t.mu.Lock()
	for _, s := range t.flows {
		s.stopTimer()
	}
	t.mu.Unlock()
	close(t.stop)
	t.conn.Close()
	t.health.Close()
}

func (t *target) isRunning() bool { return !t.ended.Load() }

// beat announces the target about every heartbeat period, to another core machine after a failure.
func (t *target) beat() {
	i := rand.IntN(len(t.f.coreList()))
	for {
		t.mu.Lock()
		if t.leaving {
			t.mu.Unlock()
			return
		}
		t.sequence++
		state, sequence := "ready", t.sequence
		if t.draining {
			state = "draining"
		}
		t.mu.Unlock()
		cores := t.f.coreList()
		status, _ := call("POST", cores[i%len(cores)].control(), "/Instances.Heartbeat/"+t.id, map[string]any{
			"service": t.service, "address": t.address.String(), "zone": t.zone, "version": "v1", "concurrency": 3, "state": state,
			"warmupRemainingMs": 0, "sequence": sequence, "born": t.born,
		})
		wait := t.f.sheet.heartbeat
		if status != http.StatusOK {
			i, wait = i+1, 100*time.Millisecond
		}
		select {
		case <-t.stop:
			return
		case <-time.After(wait):
		}
	}
}

func (t *target) receive() {
	buf := make([]byte, 4096)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < prefixSize {
			continue
		}
		if key := binary.BigEndian.Uint64(buf); key != 0 && key != t.key {
			continue // meant for another target
		}
		if p, ok := decode(buf[prefixSize:n]); ok {
			t.handle(&p, from.Addr())
		}
	}
}

func (s *targetFlow) stopTimer() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// handle handles a packet that an edge has sent on.
func (t *target) handle(p *packet, from netip.Addr) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended.Load() {
		return
	}
	key := flowKey{p.src, p.dst}
	s := t.flows[key]
	if s != nil && !s.open && time.Since(s.since) > halfOpenLifetime {
		delete(t.flows, key)
		s = nil
	}
	switch {
	case p.flags&flagSYN != 0:
		t.handleSYN(key, s, p, from)
		return
	case p.flags&flagRST != 0:
		if s != nil {
			s.stopTimer()
			delete(t.flows, key)
		}
		return
	case s == nil, !s.open && p.ack != s.iss+1:
		// It holds no such flow: none at all, or its SYN+ACK was not the one that the client has taken.
		t.f.observer.resetByTarget(t, key, p, from, s != nil)
		delete(t.flows, key)
		t.send(&packet{src: p.dst, dst: p.src, flags: flagRST, seq: p.ack, sum: sumOfSender, echo: p.echo})
		return
	}
	s.echo = p.echo
	if !s.open {
		s.open = true
		t.f.observer.opened(t, key, from)
	}
	t.handleOpen(key, s, p)
}

func (t *target) handleSYN(key flowKey, s *targetFlow, p *packet, from netip.Addr) {
	if s != nil && s.open {
		return // an old copy
	}
	if s == nil {
		s = &targetFlow{iss: rand.Uint32(), since: time.Now()}
		s.next, s.acked, s.peerNext = s.iss+1, s.iss+1, p.seq+1
		t.flows[key] = s
	}
	t.f.record.note("%s gets SYN %d of %v from %v", t.id, p.ack, key, t.f.nameOf(from))
	s.echo = p.echo
	t.send(&packet{src: key.route, dst: key.client, flags: flagSYN | flagACK, seq: s.iss, ack: s.peerNext, sum: sumOfSender, echo: p.echo})
}

// handleOpen handles a packet of an open flow: acknowledgements, requests and the end of the flow.
func (t *target) handleOpen(key flowKey, s *targetFlow, p *packet) {
	if isAfter(p.ack, s.acked) {
		s.acked, s.retransmits = p.ack, 0
		for len(s.unacked) > 0 && !isAfter(s.unacked[0].seq+uint32(len(s.unacked[0].data)), s.acked) {
			s.unacked = s.unacked[1:]
		}
		if len(s.unacked) == 0 {
			s.stopTimer()
		}
	}
	length := uint32(len(p.data))
	switch {
	case length > 0 && p.seq == s.peerNext && !s.finished:
		s.peerNext += length
		t.runRequest(key, s, string(p.data))
	case p.flags&flagFIN != 0 && p.seq+length == s.peerNext:
		s.peerNext++
		s.finished = true
		t.send(&packet{src: key.route, dst: key.client, flags: flagACK | flagFIN, seq: s.next, ack: s.peerNext, sum: sumOfSender, echo: s.echo})
		s.stopTimer()
		delete(t.flows, key)
		return
	case length == 0 && p.flags&flagFIN == 0:
		return // an acknowledgement
	}
	t.send(&packet{src: key.route, dst: key.client, flags: flagACK, seq: s.next, ack: s.peerNext, sum: sumOfSender, echo: s.echo})
}

// runRequest runs a request, which fits into one packet, and answers it.
func (t *target) runRequest(key flowKey, s *targetFlow, text string) {
	id, size := headerOf(text, "Attempt-Id"), 0
	size, _ = strconv.Atoi(headerOf(text, "Answer-Bytes")) // 0 without the header
	t.ran[id]++
	t.f.record.note("%s runs %s", t.id, id)
	s.closing = s.closing || t.draining
	time.AfterFunc(t.work, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.ended.Load() || t.flows[key] != s {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", id, t.id, size, strings.Repeat("x", size))
		for len(answer) > 0 {
			n := min(maxData, len(answer))
			p := packet{src: key.route, dst: key.client, flags: flagACK, seq: s.next, ack: s.peerNext, sum: sumOfSender, echo: s.echo, data: []byte(answer[:n])}
			s.next += uint32(n)
			s.unacked = append(s.unacked, p)
			t.send(&p)
			answer = answer[n:]
		}
		if s.closing {
			t.send(&packet{src: key.route, dst: key.client, flags: flagACK | flagFIN, seq: s.next, ack: s.peerNext, sum: sumOfSender, echo: s.echo})
			s.next++
		}
		t.armTimer(key, s)
	})
}

// armTimer sends unacknowledged packets again, with a growing pause.
func (t *target) armTimer(key flowKey, s *targetFlow) {
	s.stopTimer()
	s.timer = time.AfterFunc(min(firstRetransmit<<s.retransmits, maxRetransmit), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.ended.Load() || t.flows[key] != s || len(s.unacked) == 0 {
			return
		}
		if s.retransmits++; s.retransmits > maxRetransmits {
			delete(t.flows, key)
			return
		}
		for i := range s.unacked {
			s.unacked[i].echo, s.unacked[i].ack = s.echo, s.peerNext
			t.send(&s.unacked[i])
		}
		t.armTimer(key, s)
	})
}

// send sends a packet to a client directly.
func (t *target) send(p *packet) {
	to := netip.AddrPortFrom(p.dst.Addr(), t.f.ports.datagram)
	_, _ = t.conn.WriteToUDPAddrPort(p.encode(nil), to) // lost like any datagram
}

// headerOf returns the value of a header of a request or an answer.
func headerOf(text, name string) string {
	for line := range strings.SplitSeq(text, "\r\n") {
		if value, ok := strings.CutPrefix(line, name+": "); ok {
			return value
		}
	}
	return ""
}
