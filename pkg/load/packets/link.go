package packets

import (
	"time"

	"rosemarygate/pkg/forward"
)

// Links of entry daemons. Packets to upstreams and resets wait in a queue, and are lost if it is full; callers
// repeat them. Only deployments whose callers open a flow for each request are simulated with links.
const (
	maxLinkWait      = 50 * time.Millisecond
	datagramOverhead = 66
	headerBytes      = 42 // of a packet with the number of its upstream
	// ackPackets is the number of packets without payload that a flow needs after its request.
	ackPackets = 4
	// retransmitDelay is the time after which a caller repeats payload that is not acknowledged.
	retransmitDelay = 200 * time.Millisecond
)

// synCopyDelays are the times from a SYN to its next copy; the attempt ends after the last one.
var synCopyDelays = [...]time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// link is the sending direction of the link of one daemon.
type link struct {
	bytesPerSecond float64
	freeAt         time.Duration
}

// send returns the time until a datagram has left, or false if it is lost.
func (l *link) send(now time.Duration, bytes int) (time.Duration, bool) {
	wait := max(0, l.freeAt-now)
	if wait > maxLinkWait {
		return 0, false
	}
	l.freeAt = now + wait + time.Duration(float64(bytes)/l.bytesPerSecond*float64(time.Second))
	return l.freeAt - now, true
}

// sendOverLink lets the daemon of a flow handle a packet and sends what it decides.
func (r *run) sendOverLink(f *flow, bytes int) (a forward.Action, wait time.Duration, sent bool) {
	core, size := f.daemon.(*forward.Core), bytes+headerBytes+datagramOverhead
	a = core.HandlePacket(r.now, &f.lastPacket)
	if a.Verdict != forward.Forward && a.Verdict != forward.Reset {
		core.RecordTraffic(r.now, &f.lastPacket, a, size, 0)
		return a, 0, false
	}
	core.RecordTraffic(r.now, &f.lastPacket, a, size, size)
	wait, sent = r.links[core].send(r.now, size)
	if sent && f.lastPacket.Flags&forward.SYN == 0 {
		f.keepCookie(a)
	}
	return a, wait, sent
}

// openFlowOverLink sends a copy of the SYN of a request's flow.
func (r *run) openFlowOverLink(q *request, copies int) {
	if copies == len(synCopyDelays) {
		r.retryOrGiveUp(q)
		return
	}
	f := q.flow
	f.lastPacket.Ack = uint32(copies)
	a, wait, sent := r.sendOverLink(f, 0)
	switch {
	case sent && a.Verdict == forward.Reset:
		q.phase.RefusedAttempts++
		r.schedule(wait, func() { r.retryOrGiveUp(q) })
	case sent:
		f.upstream = r.upstreams[a.Upstream.Key-1]
		f.acceptFlow(a, r.rng.Uint32()|1)
		r.schedule(wait+2*oneWayDelay, func() { r.sendRequestOverLink(q) })
	default:
		r.schedule(synCopyDelays[copies], func() { r.openFlowOverLink(q, copies+1) })
	}
}

// sendRequestOverLink sends the payload of a request until it has reached its upstream.
func (r *run) sendRequestOverLink(q *request) {
	p := &q.flow.lastPacket
	p.Length = requestBytes
	_, wait, sent := r.sendOverLink(q.flow, requestBytes)
	if !sent {
		r.schedule(retransmitDelay, func() { r.sendRequestOverLink(q) })
		return
	}
	p.Seq += requestBytes
	p.Length = 0
	r.schedule(wait+oneWayDelay, func() { r.handleArrival(q) })
}

// acknowledgeOverLink sends the packets of a flow that follow its answer.
func (r *run) acknowledgeOverLink(f *flow) {
	for n := range ackPackets {
		if n == ackPackets-1 {
			f.lastPacket.Flags |= forward.FIN
		}
		r.sendOverLink(f, 0)
	}
}
