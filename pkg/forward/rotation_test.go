package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/control/directory"
)

// rotation plays callers, daemons and upstreams while the daemons leave the rotation and return. Each packet goes to
// the daemon that a hash modulo the daemons in rotation selects at that moment.
type rotation struct {
	rng       *rand.Rand
	now       time.Duration
	events    map[time.Duration][]func()
	daemons   []*rotatingDaemon
	maxAnswer time.Duration // until an upstream answers a SYN
	work      time.Duration // for a request
	lossRate  float64
	moved     []string // packets of open flows that an upstream got that does not hold them
	answered  int
	late      int // answers to SYNs of flows that are open elsewhere
}

type rotatingDaemon struct {
	core       *Core
	inRotation bool
}

const (
	rotationStep  = time.Millisecond
	rotationDelay = 2 * time.Millisecond // between a caller, a daemon and an upstream
)

func (r *rotation) after(d time.Duration, f func()) {
	at := (r.now + d).Truncate(rotationStep)
	r.events[at] = append(r.events[at], f)
}

func (r *rotation) daemonOf(hash int) *rotatingDaemon {
	var in []*rotatingDaemon
	for _, d := range r.daemons {
		if d.inRotation {
			in = append(in, d)
		}
	}
	return in[hash%len(in)]
}

// changeRotation makes a daemon leave or return. One that leaves runs on, and restarts before it returns if restart is
// set. At least one daemon stays.
func (r *rotation) changeRotation(d *rotatingDaemon, restart bool) {
	in := 0
	for _, other := range r.daemons {
		if other.inRotation {
			in++
		}
	}
	if !d.inRotation || in == 1 {
		return
	}
	d.inRotation = false
	r.after(200*time.Millisecond+time.Duration(r.rng.IntN(400))*time.Millisecond, func() {
		if restart {
			d.core = newCore(4)
		}
		d.inRotation = true
	})
}

// rotatingFlow is a flow as its caller and the upstreams see it.
type rotatingFlow struct {
	r         *rotation
	n         int
	seq, ack  uint32
	cookie    directory.Cookie // of the latest packet from an upstream
	holder    directory.Key    // whose answer to the SYN came first, 0 before
	isOpen    bool             // the holder has a packet of the caller
	cookies   map[directory.Key]directory.Cookie
	answers   map[uint32]bool // requests that the holder works on, by sequence number
	requestAt time.Duration
	requests  int
	ended     bool
}

func (f *rotatingFlow) send(flags Flags, ack uint32, length int) {
	if f.r.rng.Float64() < f.r.lossRate {
		return
	}
	p := *synPacket(f.n, 0)
	p.Flags, p.Seq, p.Ack, p.Length, p.Cookie = flags, f.seq, ack, length, f.cookie
	if flags == SYN {
		p.Cookie = 0
	}
	f.r.after(rotationDelay, func() {
		d := f.r.daemonOf(f.n)
		f.carry(p, d.core.HandlePacket(f.r.now, &p))
	})
}

// carry carries out the decision of a daemon.
func (f *rotatingFlow) carry(p Packet, a Action) {
	if a.Verdict == Forward && f.r.rng.Float64() >= f.r.lossRate {
		f.r.after(rotationDelay, func() { f.receive(p, a) })
	}
}

// receive handles a packet at an upstream.
func (f *rotatingFlow) receive(p Packet, a Action) {
	key := a.Upstream.Key
	f.cookies[key] = a.Cookie
	switch {
	case p.Flags&SYN != 0:
		delay := time.Duration(0)
		if f.r.maxAnswer > 0 {
			delay = time.Duration(f.r.rng.Int64N(int64(f.r.maxAnswer)))
		}
		f.r.after(delay+rotationDelay, func() { f.open(p, key) })
	case key != f.holder:
		if f.isOpen && !f.ended {
			f.r.moved = append(f.r.moved, f.r.now.String())
		}
	default:
		f.isOpen = true
		if p.Length > 0 && !f.answers[p.Seq] {
			f.answers[p.Seq] = true
			f.r.after(f.r.work+rotationDelay, func() { f.answer(p, key) })
		}
	}
}

// open handles the answer of an upstream to a SYN at the caller.
func (f *rotatingFlow) open(p Packet, key directory.Key) {
	if f.ended {
		return
	}
	f.cookie = f.cookies[key]
	if f.holder != 0 {
		if f.holder != key {
			f.r.late++
		}
		return
	}
	f.holder, f.seq, f.ack = key, p.Seq+1, sequenceStart(key)+1
	f.request()
}

func (f *rotatingFlow) request() {
	f.requests++
	f.requestAt = f.r.now
	f.repeat(f.seq, 200*time.Millisecond)
}

// repeat sends the request until it is answered.
func (f *rotatingFlow) repeat(seq uint32, interval time.Duration) {
	if f.ended || f.seq != seq {
		return
	}
	if f.r.now-f.requestAt > 1200*time.Millisecond {
		f.ended = true
		return
	}
	f.send(ACK, f.ack, 100)
	f.r.after(interval, func() { f.repeat(seq, 2*interval) })
}

// answer handles the answer to a request at the caller.
func (f *rotatingFlow) answer(p Packet, key directory.Key) {
	if f.ended || f.seq != p.Seq {
		return
	}
	f.cookie = f.cookies[key]
	f.seq, f.ack = f.seq+100, f.ack+40
	f.r.answered++
	f.send(ACK, f.ack, 0)
	if f.requests == 3 {
		f.ended = true
		return
	}
	f.r.after(100*time.Millisecond+time.Duration(f.r.rng.IntN(1000))*time.Millisecond, f.request)
}

// sendSYN sends a copy of the SYN unless the flow is open.
func (f *rotatingFlow) sendSYN(copies uint32) {
	if f.holder != 0 {
		return
	}
	f.send(SYN, copies, 0)
	if next := int(copies) + 1; next < len(synDelays) {
		f.r.after(copyDelay(copies), func() { f.sendSYN(copies + 1) })
	}
}

// play runs for a time with a new flow every 2 ms and changes of the rotation every 50 ms on average.
func (r *rotation) play(length time.Duration, restart bool) {
	r.events = map[time.Duration][]func(){}
	for range 3 {
		r.daemons = append(r.daemons, &rotatingDaemon{newCore(4), true})
	}
	flows := map[Flow]*rotatingFlow{}
	for r.now = 0; r.now < length; r.now += rotationStep {
		if n := int(r.now / (2 * rotationStep)); r.now%(2*rotationStep) == 0 {
			f := &rotatingFlow{r: r, n: n, seq: r.rng.Uint32(), cookies: map[directory.Key]directory.Cookie{}, answers: map[uint32]bool{}}
			flows[synPacket(n, 0).Flow()] = f
			f.sendSYN(0)
		}
		if r.rng.IntN(50) == 0 {
			r.changeRotation(r.daemons[r.rng.IntN(len(r.daemons))], restart)
		}
		for _, f := range r.events[r.now] {
			f()
		}
		delete(r.events, r.now)
		for _, d := range r.daemons {
			for _, released := range d.core.Release(r.now) {
				flows[released.Packet.Flow()].carry(released.Packet, released.Action)
			}
		}
	}
}

// Guards against resets of open flows by an upstream that does not hold them, after changes of the rotation between a
// SYN and the packet that follows it. The daemon that waits for that packet leaves, or stays while another one leaves
// or returns; it keeps what it knows or restarts; upstreams answer at once or late, with one of them in use or, if
// they answer after the caller's next copy, with several; requests are short or long; packets are lost.
func TestRotationMovesNoFlow(t *testing.T) {
	for _, restart := range []bool{true, false} {
		for _, work := range []time.Duration{5 * time.Millisecond, 60 * time.Millisecond} {
			for _, network := range []struct {
				maxAnswer time.Duration
				lossRate  float64
			}{{0, 0}, {0, 0.03}, {150 * time.Millisecond, 0}, {150 * time.Millisecond, 0.03}, {400 * time.Millisecond, 0}} {
				for seed := range uint64(4) {
					r := &rotation{rng: rand.New(rand.NewPCG(seed, 43)), maxAnswer: network.maxAnswer, lossRate: network.lossRate, work: work}
					r.play(4*time.Second, restart)
					assert.Assert(t, r.answered > 3000, "%d requests answered", r.answered)
					assert.Equal(t, len(r.moved), 0, "restart %v, work %s, %+v, seed %d: %d late answers, flows moved at %v",
						restart, work, network, seed, r.late, r.moved)
				}
			}
		}
	}
}
