package forward

import (
	"slices"
	"time"

	"rosemarygate/pkg/control/directory"
)

// Handshakes with upstreams that do not answer.
//
// A caller repeats its SYN only after 200 ms, by when a request with a short objective is late. The next
// packet of a flow usually follows its SYN within a round trip. If none does, the SYN is sent once to
// another upstream, long before the caller repeats it.
//
// An upstream whose process has ended resets the flow. The reset does not pass the daemon: all it sees is that
// nothing follows the SYN. That counts against the data centre, and against the upstream if other flows have
// opened meanwhile: otherwise the daemon itself may be cut off. A daemon that is cut off from all data centres
// prefers its own one as before. To wait for the copy of the SYN, 200 ms after it, would take too long: a caller
// that was reset makes its next tries within that time.

const (
	// minHandshakeLimit and maxHandshakeLimit bound the time after which a handshake counts as unanswered.
	minHandshakeLimit = 30 * time.Millisecond
	maxHandshakeLimit = 150 * time.Millisecond
	// handshakeLimitFactor is the ratio of that time to the usual time of a handshake.
	handshakeLimitFactor = 4
	// usualHandshakeQuantile is the quantile of the times of handshakes that counts as usual.
	usualHandshakeQuantile = 0.9
	// replacementShare is the share of the handshakes that may be sent to another upstream, and
	// maxReplacements the number of them at once. If more are unanswered, the daemon itself is slow or cut
	// off, or has no upstream that answers.
	replacementShare = 0.2
	maxReplacements  = 10
	// maxCheckDelay is the delay of a check from which the daemon counts as having been stopped. The answers that
	// arrived meanwhile are still unread then, so the handshakes get their time again. A daemon that may use a
	// part of a core waits for less than 100 ms for its next part.
	maxCheckDelay = 150 * time.Millisecond
)

// pendingHandshake is a SYN that was sent to an upstream for the first time.
type pendingHandshake struct {
	packet    Packet
	arrivedAt time.Duration
	sentAt    time.Duration
}

// handshakes are the SYNs whose flows may still be half-open, in order of time.
type handshakes struct {
	pending []pendingHandshake
	usual   quantileEstimate // time until the next packet of a flow, in nanoseconds
	budget  float64          // handshakes that may be sent to another upstream
	// openedSince is when the latest flow was placed that has opened.
	openedSince time.Duration
	resumedAt   time.Duration // when the daemon last ran again after it was stopped
}

func (h *handshakes) add(now, arrivedAt time.Duration, p *Packet) {
	h.budget = min(h.budget+replacementShare, maxReplacements)
	kept := *p
	kept.Raw = slices.Clone(p.Raw)
	h.pending = append(h.pending, pendingHandshake{kept, arrivedAt, now})
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

// replaceUnanswered places the flows again whose handshake is unanswered.
func (c *Core) replaceUnanswered(now time.Duration) []Released {
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
		othersOpened := c.handshakes.openedSince >= first.sentAt
		if u.firstAnswers != nil {
			u.firstAnswers.recordHandshake(now, false)
		}
		c.recordUnansweredHandshake(now, u)
		if a, ok := c.placeElsewhere(now, &first); ok {
			out = append(out, Released{first.packet, a})
		} else if othersOpened {
			a := Action{Verdict: Drop, Reason: UnansweredSYN}
			if u.State == directory.Ready && u.markSuspect(now) {
				a.Suspected = u
			}
			out = append(out, Released{first.packet, a})
		}
	}
}

// placeElsewhere places a half-open flow on another upstream that is known to answer, if there is one. Once the
// caller has sent another copy of the SYN, the flow may be open through another daemon, and a second upstream must
// not answer it: a daemon that was stopped has not seen the copy.
func (c *Core) placeElsewhere(now time.Duration, first *pendingHandshake) (Action, bool) {
	p := &first.packet
	route, s := c.routes.Route(p.Dest), c.flows[p.Flow()]
	if route == nil || c.handshakes.budget < 1 || now-first.arrivedAt >= copyDelay(p.Ack) {
		return Action{}, false
	}
	tried := s.triedUpstreams
	u := c.chooseUpstream(now, route.Service(flowHash(p.Flow())), tried)
	if u == nil || u.isSuspect(now) || u.Silent || slices.Contains(tried, u) {
		return Action{}, false
	}
	a := Action{Verdict: Forward, Reason: PlacedAgain, Upstream: u, Cookie: u.cookie}
	if unanswering := s.upstream; unanswering.State == directory.Ready && unanswering.markSuspect(now) {
		a.Suspected = unanswering
	}
	c.handshakes.budget--
	c.place(now, p, u, tried)
	return a, true
}
