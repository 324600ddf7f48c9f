package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// opening is the opening packet of a flow that a target took.
type opening struct {
	at     time.Time
	caller netip.AddrPort
	edge   string
	target string
	zone   string
}

// target is an upstream. It answers flows and announces itself.
type target struct {
	fleet   *fleet
	id      string
	key     uint64
	zone    string
	address string
	born    int64
	started time.Time
	conn    *net.UDPConn
	stop    chan struct{}
	once    sync.Once

	mu       sync.Mutex
	state    string
	sequence uint64
	unit     time.Duration // of the sequence, which is the time since the start then; 0 if it counts the calls
	endpoint int           // control host that gets the announcements
	openings []opening
	seqs     map[netip.AddrPort]uint32 // own sequence numbers by caller
	opened   map[netip.AddrPort]bool   // flows whose handshake has ended here
	resets   map[netip.AddrPort]bool   // flows that the target has reset
	work     time.Duration             // of a request
}

// startTarget starts an upstream that announces itself first to a control host.
func (f *fleet) startTarget(i int, zone string, endpoint int) (*target, error) {
	return f.startTargetWithUnit(i, zone, endpoint, 0)
}

// startTargetWithUnit starts an upstream whose sequence is the time since its start in a unit.
func (f *fleet) startTargetWithUnit(i int, zone string, endpoint int, unit time.Duration) (*target, error) {
	return f.startTargetAs(i, zone, endpoint, unit, rand.Uint64()>>8, time.Now().UnixMilli())
}

// startTargetAs starts an upstream with a number in its id and a start time.
func (f *fleet) startTargetAs(i int, zone string, endpoint int, unit time.Duration, key uint64, born int64) (*target, error) {
	t := &target{
		fleet: f, id: fmt.Sprintf("i-%x", key), key: key, zone: zone, address: net.JoinHostPort(f.ip(3, i), fmt.Sprint(f.ports.target)),
		born: born, started: time.Now(), stop: make(chan struct{}), state: "ready", unit: unit, endpoint: endpoint, seqs: map[netip.AddrPort]uint32{}, opened: map[netip.AddrPort]bool{}, resets: map[netip.AddrPort]bool{},
	}
	address, err := net.ResolveUDPAddr("udp4", t.address)
	if err != nil {
		return nil, err
	}
	if t.conn, err = net.ListenUDP("udp4", address); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.targets = append(f.targets, t)
	f.mu.Unlock()
	go t.serve()
	go t.announceForever()
	return t, nil
}

// crash ends the target without a word.
func (t *target) crash() {
	t.once.Do(func() {
		close(t.stop)
		t.conn.Close()
	})
}

func (t *target) announceForever() {
	<-t.fleet.announcing
	for {
		t.announce()
		select {
		case <-t.stop:
			return
		case <-time.After(heartbeatPeriod):
		}
	}
}

// announce sends one announcement, to the next control host if one does not acknowledge it.
func (t *target) announce() (acknowledged bool) {
	t.mu.Lock()
	if t.sequence++; t.unit > 0 {
		t.sequence = max(t.sequence, uint64(time.Since(t.started)/t.unit))
	}
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "address": t.address, "zone": t.zone, "version": "v1", "concurrency": 3, "state": t.state,
		"warmupRemainingMs": 0, "sequence": t.sequence, "born": t.born,
	})
	state, sequence, endpoint := t.state, t.sequence, t.endpoint
	t.mu.Unlock()
	if err != nil {
		return false
	}
	controls := t.fleet.allControls()
	for i := range controls {
		a := controls[(endpoint+i)%len(controls)]
		result := call(a, http.MethodPost, "/Instances.Heartbeat/"+t.id, body)
		if result.status/100 == 2 {
			t.mu.Lock()
			t.endpoint = (endpoint + i) % len(controls)
			t.mu.Unlock()
			return true
		}
		t.fleet.record.line("target %s gets %d to announcement %d (%s) from %s", t.id, result.status, sequence, state, a)
		select {
		case <-t.stop:
			return false
		default:
		}
	}
	return false
}

// serve answers the packets of flows.
func (t *target) serve() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if intended := binary.BigEndian.Uint64(buffer); intended != 0 && intended != t.key {
			continue
		}
		p, ok := decodePacket(buffer[8:n])
		if !ok {
			continue
		}
		if reply := t.reply(&p, from); reply != nil {
			to := netip.AddrPortFrom(p.src.Addr(), uint16(t.fleet.ports.packet))
			send := func() { _, _ = t.conn.WriteToUDPAddrPort(reply.encode(), to) } // a lost packet is sent again
			if t.work > 0 && len(reply.data) > 0 {
				time.AfterFunc(t.work, send)
			} else {
				send()
			}
		}
	}
}

// reply returns the answer to a packet, nil if there is none.
func (t *target) reply(p *packet, from netip.AddrPort) *packet {
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := &packet{src: p.dst, dst: p.src, echo: p.echo, flags: flagACK}
	switch {
	case p.flags&flagSYN != 0:
		seq, known := t.seqs[p.src]
		if !known {
			seq = rand.Uint32()
			t.seqs[p.src] = seq
			t.openings = append(t.openings, opening{time.Now(), p.src, from.Addr().String(), t.id, t.zone})
		}
		answer.flags, answer.seq, answer.ack = flagSYN|flagACK, seq, p.seq+1
	case p.flags&flagRST != 0:
		return nil
	case !t.holds(p):
		t.fleet.record.line("target %s gets a packet of %v from %s, of a flow that it does not hold, and resets it", t.id, p.src, from.Addr())
		t.resets[p.src] = true
		answer.flags, answer.seq, answer.ack = flagRST, p.ack, 0
	case p.flags&flagFIN != 0:
		answer.ack = p.seq + uint32(len(p.data)) + 1
		answer.seq, answer.flags = p.ack, flagACK|flagFIN
	case len(p.data) > 0:
		answer.seq, answer.ack = p.ack, p.seq+uint32(len(p.data))
		answer.data = []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	default:
		return nil
	}
	return answer
}

// holds reports whether the flow is open here, or opens with the packet because it acknowledges the target's sequence
// number. The caller holds the lock.
func (t *target) holds(p *packet) bool {
	seq, ok := t.seqs[p.src]
	if ok && p.ack == seq+1 {
		t.opened[p.src] = true
	}
	return t.opened[p.src]
}

// takenOpenings returns the opening packets that all targets have taken since a time.
func (f *fleet) takenOpenings(since time.Time) []opening {
	var all []opening
	for _, t := range f.targets {
		t.mu.Lock()
		for _, o := range t.openings {
			if o.at.After(since) {
				all = append(all, o)
			}
		}
		t.mu.Unlock()
	}
	return all
}

// drain makes the target say that it leaves until that is acknowledged, and returns the time of the acknowledgement.
func (t *target) drain(limit time.Duration) (acknowledgedAt time.Time, ok bool) {
	t.mu.Lock()
	t.state = "draining"
	t.mu.Unlock()
	t.fleet.record.line("target %s says that it is draining", t.id)
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if t.announce() {
			t.fleet.record.line("target %s has the acknowledgement that it is draining", t.id)
			return time.Now(), true
		}
	}
	return time.Time{}, false
}
