package edge

import (
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rosemarygate/pkg/events"
	"rosemarygate/pkg/forward"
)

const (
	// maxDatagram holds the largest packet with its head and the number of its upstream.
	maxDatagram = 2048
	// releasePause is how often held packets are looked at while no registration arrives.
	releasePause = 50 * time.Millisecond
	// readPause keeps a socket that fails from using up the processor.
	readPause = 10 * time.Millisecond
)

// readPackets handles packets until the socket is closed.
func (d *Daemon) readPackets() error {
	in, out := make([]byte, maxDatagram), make([]byte, 0, maxDatagram)
	var p forward.Packet
	for {
		n, _, err := d.conn.ReadFromUDPAddrPort(in)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			events.SocketFailed.Log(d.log, logrus.Fields{"error": err})
			time.Sleep(readPause)
			continue
		}
		begin := time.Now()
		if err := d.cfg.Codec.Decode(in[:n], &p); err != nil {
			d.malformed.Inc()
			continue
		}
		d.handle(&p, out)
		d.latency.Update(time.Since(begin).Seconds())
	}
}

// handle decides on a packet and carries the decision out.
func (d *Daemon) handle(p *forward.Packet, out []byte) {
	now := d.clock()
	d.lastPacket.Store(int64(now))
	d.mu.Lock()
	a := d.core.Packet(now, p)
	line, suspicion := d.line(now, p, a), d.suspicion(p, a)
	if a.Verdict == forward.Hold {
		d.release.Reset(releasePause)
	}
	out = d.datagram(p, a, out)
	to := d.receiver(p, a)
	overloads := d.core.TakeOverloads()
	d.mu.Unlock()
	if a.Verdict == forward.Hold {
		d.held.Inc()
	} else {
		d.counters[a.Reason].Inc()
	}
	d.send(out, to)
	d.logOverloads(overloads)
	d.write(suspicion)
	d.write(line)
}

// datagram returns what to send, empty for nothing.
func (d *Daemon) datagram(p *forward.Packet, a forward.Action, out []byte) []byte {
	switch a.Verdict {
	case forward.Forward:
		return d.cfg.Codec.Encapsulate(out[:0], a.Upstream, p, a.Cookie)
	case forward.Reset:
		return d.cfg.Codec.Reset(out[:0], p)
	}
	return nil
}

func (d *Daemon) receiver(p *forward.Packet, a forward.Action) netip.AddrPort {
	if a.Verdict == forward.Forward {
		return a.Upstream.Address
	}
	return netip.AddrPortFrom(p.Caller.Addr(), d.cfg.Packets.Port())
}

func (d *Daemon) send(datagram []byte, to netip.AddrPort) {
	if len(datagram) == 0 {
		return
	}
	if _, err := d.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		d.sendErrors.Inc() // the caller repeats the packet
	}
}

// releaseHeld carries out the decisions on held packets.
func (d *Daemon) releaseHeld() {
	type work struct {
		datagram []byte
		to       netip.AddrPort
		line     *decision
	}
	var all []work
	d.mu.Lock()
	now := d.clock()
	for _, r := range d.core.Release(now) {
		d.counters[r.Action.Reason].Inc()
		all = append(all, work{d.datagram(&r.Packet, r.Action, nil), d.receiver(&r.Packet, r.Action), d.line(now, &r.Packet, r.Action)})
	}
	if d.core.Holding() {
		d.release.Reset(releasePause)
	}
	d.mu.Unlock()
	for _, w := range all {
		d.send(w.datagram, w.to)
		d.write(w.line)
	}
}

// resetAll resets flows whose upstream has ended.
func (d *Daemon) resetAll(flows []forward.Packet) {
	for i := range flows {
		p := &flows[i]
		d.counters[forward.UpstreamGone].Inc()
		d.send(d.cfg.Codec.Reset(nil, p), netip.AddrPortFrom(p.Caller.Addr(), d.cfg.Packets.Port()))
		d.mu.Lock()
		line := d.line(d.clock(), p, forward.Action{Verdict: forward.Reset, Reason: forward.UpstreamGone})
		d.mu.Unlock()
		d.write(line)
	}
}

// decision is a log line that is written outside the lock.
type decision struct {
	event  events.Event
	fields logrus.Fields
}

func (d *Daemon) write(line *decision) {
	if line != nil {
		line.event.Log(d.log, line.fields)
	}
}

// suspicion returns the log line of a suspicion that begins, nil if none does.
func (d *Daemon) suspicion(p *forward.Packet, a forward.Action) *decision {
	u := a.Suspected
	if u == nil {
		return nil
	}
	d.suspicions.Inc()
	inProgress, flows := u.Load()
	return &decision{events.UpstreamSuspected, logrus.Fields{
		"upstream": u.Name, "born": u.Born, "service": u.Service, "sequence": u.Sequence, "silent": u.Silent,
		"in_progress": inProgress, "flows": flows, "flow": flowName(p),
	}}
}

// logOverloads notes the services whose new flows are refused from now on, or no longer.
func (d *Daemon) logOverloads(changes []forward.Overload) {
	for _, o := range changes {
		event := events.ServiceRelieved
		if o.Refusing {
			event = events.ServiceOverloaded
		}
		event.Log(d.log, logrus.Fields{"service": o.Service, "rejected_share": o.RejectedShare})
	}
}

func flowName(p *forward.Packet) string { return p.Caller.String() + ">" + p.Dest.String() }

// line returns the log line of a decision, nil for packets that go the way of those before them.
func (d *Daemon) line(now time.Duration, p *forward.Packet, a forward.Action) *decision {
	limiter, event := d.refused, events.FlowRefused
	if a.Verdict == forward.Hold {
		return nil // the line comes with the decision
	}
	switch a.Reason {
	case forward.Known, forward.KnownFlow:
		return nil
	case forward.Placed, forward.PlacedAgain:
		limiter, event = d.placed, events.FlowPlaced
	}
	ok, suppressed := limiter.Allow(time.Now())
	if !ok {
		return nil
	}
	fields := logrus.Fields{
		"flow": flowName(p), "reason": a.Reason.String(), "version": d.core.Version(),
		"control_age_ms": (now - d.watches.heard()).Milliseconds(),
	}
	if suppressed > 0 {
		fields["suppressed"] = suppressed
	}
	if p.Flags&forward.SYN != 0 {
		fields["copy"] = p.Ack
	} else {
		fields["cookie"] = uint32(p.Cookie)
	}
	if a.Reason == forward.Overloaded {
		fields["rejected_share"] = a.RejectedShare
	}
	if u := a.Upstream; u != nil {
		inProgress, flows := u.Load()
		fields["upstream"], fields["born"], fields["service"] = u.Name, u.Born, u.Service
		fields["in_progress"], fields["flows"] = inProgress, flows
		fields["silent"], fields["sequence"] = u.Silent, u.Sequence
	}
	return &decision{event, fields}
}
