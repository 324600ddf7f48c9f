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
	// maxDatagram is the buffer size for the largest packet with its header and upstream number.
	maxDatagram = 2048
	// releaseRetryInterval is how often held packets are decided again while no registration arrives.
	releaseRetryInterval = 50 * time.Millisecond
	// readErrorPause is the wait after a failed read, so that a failing socket does not cause a busy loop.
	readErrorPause = 10 * time.Millisecond
)

// readPackets handles packets until the socket is closed.
func (d *Daemon) readPackets() error {
	in, out, control := make([]byte, maxDatagram), make([]byte, 0, maxDatagram), make([]byte, timestampSize)
	var p forward.Packet
	for {
		n, controlSize, _, _, err := d.conn.ReadMsgUDPAddrPort(in, control)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			events.SocketFailed.Log(d.log, logrus.Fields{"error": err})
			time.Sleep(readErrorPause)
			continue
		}
		begin := time.Now()
		if err := d.cfg.Codec.Decode(in[:n], &p); err != nil {
			d.malformed.Inc()
			continue
		}
		if p.Flags&forward.SYN != 0 {
			d.clock.noticeSuspension()
			p.Waited = waitedInSocket(control[:controlSize], begin)
		}
		d.handlePacket(&p, out)
		d.packetSeconds.Update(time.Since(begin).Seconds())
	}
}

// handlePacket decides on a packet and carries out the decision.
func (d *Daemon) handlePacket(p *forward.Packet, out []byte) {
	now := d.clock.now()
	d.lastPacketAt.Store(int64(now))
	d.mu.Lock()
	a := d.core.HandlePacket(now, p)
	line, suspicion := d.decisionLine(now, p, a), d.suspicionLine(p, a)
	out = d.encodeDatagram(p, a, out)
	d.recordTraffic(now, p, a, len(p.Raw), len(out))
	to := d.receiver(p, a)
	overloads, linkChanges := d.core.TakeOverloadChanges(), d.core.TakeLinkChanges()
	coldServices, outages := d.core.TakeColdServiceChanges(), d.core.TakeOutageChanges()
	d.countColdPlacement(now, a)
	releaseDue := d.core.ReleaseDue()
	d.scheduleRelease(now)
	d.mu.Unlock()
	if a.Verdict == forward.Hold {
		d.heldCounter.Inc()
	} else {
		d.decisionCounters[a.Reason].Inc()
	}
	d.send(out, to)
	d.logOverloads(overloads)
	d.logLinkChanges(linkChanges)
	d.logColdServices(coldServices)
	d.logOutages(outages)
	if releaseDue {
		d.releaseHeld()
	}
	d.writeLine(suspicion)
	d.writeLine(line)
}

// encodeDatagram returns the datagram to send, empty if there is none.
func (d *Daemon) encodeDatagram(p *forward.Packet, a forward.Action, out []byte) []byte {
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
	return netip.AddrPortFrom(p.Caller.Addr(), d.cfg.PacketAddress.Port())
}

func (d *Daemon) send(datagram []byte, to netip.AddrPort) {
	if len(datagram) == 0 {
		return
	}
	if _, err := d.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		d.sendErrors.Inc() // the caller retransmits the packet
	}
}

// releaseHeld carries out the decisions on held packets and unanswered handshakes.
func (d *Daemon) releaseHeld() {
	type sendTask struct {
		datagram        []byte
		to              netip.AddrPort
		suspicion, line *logLine
	}
	var tasks []sendTask
	d.clock.noticeSuspension()
	d.mu.Lock()
	now := d.clock.now()
	for _, r := range d.core.Release(now) {
		d.decisionCounters[r.Action.Reason].Inc()
		datagram := d.encodeDatagram(&r.Packet, r.Action, nil)
		d.recordTraffic(now, &r.Packet, r.Action, 0, len(datagram)) // it was counted as received when it arrived
		d.countColdPlacement(now, r.Action)
		tasks = append(tasks, sendTask{
			datagram, d.receiver(&r.Packet, r.Action),
			d.suspicionLine(&r.Packet, r.Action), d.decisionLine(now, &r.Packet, r.Action),
		})
	}
	d.releaseAt = 0
	d.scheduleRelease(now)
	d.mu.Unlock()
	for _, task := range tasks {
		d.send(task.datagram, task.to)
		d.writeLine(task.suspicion)
		d.writeLine(task.line)
	}
}

// scheduleRelease sets the timer for held packets and unanswered handshakes, unless it expires early enough
// already. The caller holds the lock.
func (d *Daemon) scheduleRelease(now time.Duration) {
	due, ok := d.core.NextHandshakeCheck()
	if d.core.HasHeldPackets() && (!ok || now+releaseRetryInterval < due) {
		due, ok = now+releaseRetryInterval, true
	}
	if !ok || d.releaseAt > now && d.releaseAt <= due {
		return
	}
	d.releaseAt = due
	d.releaseTimer.Reset(max(due-now, 0))
}

// resetFlows resets flows whose upstream has ended, each given by its latest packet.
func (d *Daemon) resetFlows(flows []forward.Packet) {
	for i := range flows {
		p := &flows[i]
		d.decisionCounters[forward.UpstreamGone].Inc()
		datagram, a := d.cfg.Codec.Reset(nil, p), forward.Action{Verdict: forward.Reset, Reason: forward.UpstreamGone}
		d.send(datagram, netip.AddrPortFrom(p.Caller.Addr(), d.cfg.PacketAddress.Port()))
		d.mu.Lock()
		d.recordTraffic(d.clock.now(), p, a, 0, len(datagram))
		line := d.decisionLine(d.clock.now(), p, a)
		d.mu.Unlock()
		d.writeLine(line)
	}
}

// logLine is a log line that is written after the lock has been released.
type logLine struct {
	event  events.Event
	fields logrus.Fields
}

func (d *Daemon) writeLine(line *logLine) {
	if line != nil {
		line.event.Log(d.log, line.fields)
	}
}

// suspicionLine returns the log line for an upstream that became suspect, nil if none did.
func (d *Daemon) suspicionLine(p *forward.Packet, a forward.Action) *logLine {
	u := a.Suspected
	if u == nil {
		return nil
	}
	d.suspicions.Inc()
	inProgress, flows := u.Load()
	return &logLine{events.UpstreamSuspected, logrus.Fields{
		"upstream": u.Name, "born": u.StartUnixMs, "service": u.Service, "sequence": u.Sequence, "silent": u.Silent,
		"in_progress": inProgress, "flows": flows, "flow": flowName(p),
	}}
}

// logOverloads logs the beginning and the end of overloads.
func (d *Daemon) logOverloads(changes []forward.OverloadChange) {
	for _, o := range changes {
		event := events.ServiceRelieved
		if o.Refusing {
			event = events.ServiceOverloaded
		}
		event.Log(d.log, logrus.Fields{"service": o.Service, "rejected_share": o.RejectedShare})
	}
}

func flowName(p *forward.Packet) string { return p.Caller.String() + ">" + p.Dest.String() }

// decisionLine returns the log line of a decision. It is nil for packets of open flows that are forwarded.
func (d *Daemon) decisionLine(now time.Duration, p *forward.Packet, a forward.Action) *logLine {
	limiter, event := d.refusedLimiter, events.FlowRefused
	if a.Verdict == forward.Hold {
		return nil // logged when the held packet is decided
	}
	switch a.Reason {
	case forward.KnownCookie, forward.KnownFlow:
		return nil
	case forward.Placed, forward.PlacedAgain:
		limiter, event = d.placedLimiter, events.FlowPlaced
	}
	ok, suppressed := limiter.Allow(time.Now())
	if !ok {
		return nil
	}
	fields := logrus.Fields{
		"flow": flowName(p), "reason": a.Reason.String(), "version": d.core.Version(),
		"control_age_ms": (now - d.watches.lastUpdate()).Milliseconds(),
	}
	if suppressed > 0 {
		fields["suppressed"] = suppressed
	}
	if p.Flags&forward.SYN != 0 {
		fields["copy"] = p.Ack
	} else {
		fields["cookie"] = uint32(p.Cookie)
	}
	switch a.Reason {
	case forward.Overloaded:
		fields["rejected_share"] = a.RejectedShare
	case forward.OverLink:
		fields["link_backlog_ms"] = a.LinkBacklog.Milliseconds()
	case forward.OverLimit:
		fields["limit"], fields["limited_requests"], fields["slow_share"] = a.Limit.Size, a.Limit.InProgress, a.Limit.SlowShare
	}
	if u := a.Upstream; u != nil {
		inProgress, flows := u.Load()
		fields["upstream"], fields["born"], fields["service"] = u.Name, u.StartUnixMs, u.Service
		fields["in_progress"], fields["flows"] = inProgress, flows
		fields["silent"], fields["sequence"] = u.Silent, u.Sequence
		if p.Flags&forward.SYN != 0 {
			fields["expected_wait_ms"] = a.ExpectedWait.Milliseconds()
		}
		if d.core.IsCold(now, u) {
			fields["cold"], fields["sponsor"] = true, u.WarmupSponsor
		}
	}
	return &logLine{event, fields}
}
