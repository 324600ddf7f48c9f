package forward

import (
	"time"

	"rosemarygate/pkg/control/directory"
)

// Handshakes with upstreams that do not answer.
//
// The next packet of a flow usually follows its SYN within a round trip. If none does, one of three things has
// happened: the upstream has not answered, a packet was lost, or the fabric has handed the caller's packets to
// another daemon, where the flow is open. Any change of the rotation does that to flows of all daemons, and a daemon
// does not hear of it. So the SYN goes to no other upstream until the caller repeats it, which shows that the caller
// has no answer: a second answer would change the cookie of the open flow.
//
// An upstream whose process has ended resets the flow. The reset does not pass the daemon: all it sees is that
// nothing follows the SYN. That counts against the data centre, and against the upstream if other flows have been
// answered meanwhile, but none of its own: otherwise the daemon itself may be cut off, or the upstream lives. A daemon
// that is cut off from all data centres prefers its own one as before. To wait for the copy of the SYN, 200 ms after
// it, would take too long: a caller that was reset makes its next tries within that time.

const (
	// minHandshakeLimit and maxHandshakeLimit bound the time after which a handshake counts as unanswered.
	minHandshakeLimit = 30 * time.Millisecond
	maxHandshakeLimit = 150 * time.Millisecond
	// handshakeLimitFactor is the ratio of that time to the usual time of a handshake.
	handshakeLimitFactor = 4
	// usualHandshakeQuantile is the quantile of the times of handshakes that counts as usual.
	usualHandshakeQuantile = 0.9
	// maxCheckDelay is the delay of a check from which the daemon counts as having been stopped. The answers that
	// arrived meanwhile are still unread then, so the handshakes get their time again. A daemon that may use a
	// part of a core waits for less than 100 ms for its next part.
	maxCheckDelay = 150 * time.Millisecond
)

// pendingHandshake is a SYN that was sent to an upstream for the first time.
type pendingHandshake struct {
	packet Packet
	sentAt time.Duration
}

// handshakes are the SYNs whose flows may still be half-open, in order of time.
type handshakes struct {
	pending []pendingHandshake
	usual   quantileEstimate // time until the next packet of a flow, in nanoseconds
	// openedSince is when the latest flow was placed that has opened.
	openedSince time.Duration
	answeredAt  time.Duration // when an upstream was last seen to answer on an open flow
	resumedAt   time.Duration // when the daemon last ran again after it was stopped
}

func (h *handshakes) add(now time.Duration, p *Packet) {
	kept := *p
	kept.Raw = nil
	h.pending = append(h.pending, pendingHandshake{kept, now})
}

// limit returns the time after which a handshake counts as unanswered.
func (h *handshakes) limit() time.Duration {
	if h.usual.value == 0 {
		return maxHandshakeLimit
	}
	return max(minHandshakeLimit, min(maxHandshakeLimit, time.Duration(handshakeLimitFactor*h.usual.value)))
}

// completeHandshake records that the caller has got an answer to its SYN.
func (c *Core) completeHandshake(now time.Duration, s *flowState) {
	if s.halfOpen {
		s.setHalfOpen(false)
		c.recordCompletedHandshake(now, s.upstream)
		if len(s.triedUpstreams) == 1 {
			c.handshakes.usual.add(float64(now-s.placedAt), usualHandshakeQuantile, quantileStep)
			c.handshakes.openedSince = max(c.handshakes.openedSince, s.placedAt)
			if a := s.upstream.firstAnswers; a != nil {
				a.recordHandshake(now, true)
			}
		}
	}
	if len(s.triedUpstreams) == 1 {
		s.triedUpstreams = nil
	}
}

// NextHandshakeCheck returns the time at which Release should be called for the handshakes, and whether any
// is pending.
func (c *Core) NextHandshakeCheck() (time.Duration, bool) {
	h := &c.handshakes
	for len(h.pending) > 0 {
		first := &h.pending[0]
		if s := c.flows[first.packet.Flow()]; s != nil && s.halfOpen && s.placedAt == first.sentAt {
			return max(first.sentAt, h.resumedAt) + h.limit(), true
		}
		h.pending = h.pending[1:]
	}
	h.pending = nil
	return 0, false
}

// recordUnanswered counts the handshakes that are unanswered for too long.
func (c *Core) recordUnanswered(now time.Duration) []Released {
	if due, ok := c.NextHandshakeCheck(); ok && now-due > maxCheckDelay {
		c.handshakes.resumedAt = now
		return nil
	}
	var out []Released
	for {
		due, ok := c.NextHandshakeCheck()
		if !ok || now < due {
			return out
		}
		first := c.handshakes.pending[0]
		c.handshakes.pending = c.handshakes.pending[1:]
		u := c.flows[first.packet.Flow()].upstream
		if u.firstAnswers != nil {
			u.firstAnswers.recordHandshake(now, false)
		}
		c.recordUnansweredHandshake(now, u)
		if max(c.handshakes.openedSince, c.handshakes.answeredAt) < first.sentAt {
			continue
		}
		a := Action{Verdict: Drop, Reason: UnansweredSYN}
		if u.State == directory.Ready && u.answeredAt < first.sentAt && u.markSuspect(now) {
			a.Suspected = u
		}
		out = append(out, Released{first.packet, a})
	}
}
