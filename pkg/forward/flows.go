package forward

import (
	"time"

	"rosemarygate/pkg/control/directory"
)

const (
	// idleFlow is the time without packets after which a flow does not count as load any more.
	idleFlow = 15 * time.Second
	// unanswered is the time after which a repeated packet says that the first one was not answered.
	// Callers repeat a packet after 200 ms.
	unanswered = 150 * time.Millisecond
	// suspectTime is how long unanswered packets speak against an upstream. Longer than it takes a
	// daemon to hear from the control hosts that an upstream was replaced.
	suspectTime = 2 * time.Second
	// strikeLimit is the number of flows with unanswered packets that speak against an upstream.
	// A single one may be a lost datagram.
	strikeLimit = 2
)

// flowState is what this daemon has seen of one flow.
type flowState struct {
	upstream *Upstream
	tried    []*Upstream // by copies of the SYN
	copy     uint32      // number of the latest copy
	seen     time.Duration
	dataAt   time.Duration // arrival of the latest payload
	dataSeq  uint32        // its sequence number
	sent     bool          // there was a payload
	ack      uint32        // latest acknowledgement
	acked    bool          // there was one
	waiting  bool          // a request has no answer yet
	asked    time.Duration // arrival of its first payload
	struck   bool          // the latest payload was repeated
}

// attach makes a flow count at an upstream.
func (c *Core) attach(now time.Duration, f Flow, u *Upstream) *flowState {
	s := c.flows[f]
	if s != nil && s.upstream == u {
		s.seen = now
		return s
	}
	if s != nil {
		s.detach()
	} else {
		if len(c.flows) >= maxFlows {
			return &flowState{upstream: &Upstream{}} // counts nowhere
		}
		s = &flowState{}
		c.flows[f] = s
	}
	s.upstream, s.seen, s.sent, s.acked, s.struck = u, now, false, false, false
	u.flows++
	return s
}

func (s *flowState) detach() {
	s.upstream.flows--
	s.setWaiting(false)
}

func (s *flowState) setWaiting(waiting bool) {
	if s.waiting == waiting {
		return
	}
	s.waiting = waiting
	if waiting {
		s.upstream.inProgress++
	} else {
		s.upstream.inProgress--
	}
}

func (c *Core) close(f Flow) {
	if s := c.flows[f]; s != nil {
		s.detach()
		delete(c.flows, f)
	}
}

// observe learns from a packet of an open flow. The daemon sees only the caller's half: payload
// starts a request, an acknowledgement that moves shows an answer, and repeated payload shows that
// the upstream has not answered. It returns whether the upstream came under suspicion.
func (c *Core) observe(now time.Duration, p *Packet, u *Upstream) bool {
	if p.Flags&(FIN|RST) != 0 {
		c.close(p.Flow())
		return false
	}
	s := c.attach(now, p.Flow(), u)
	s.tried = nil
	// An acknowledgement that the network has delayed says nothing new.
	if moved := int32(p.Ack - s.ack); moved > 0 || !s.acked && p.Ack != 0 {
		if s.waiting {
			c.learnAnswer(now, p.Dest, u, uint32(moved), now-s.asked)
		}
		s.ack, s.acked = p.Ack, true
		s.setWaiting(false)
		u.strikes = 0
		u.suspectUntil = min(u.suspectUntil, now)
	}
	switch {
	case p.Length == 0:
	case s.sent && p.Seq == s.dataSeq:
		if now-s.dataAt >= unanswered && !s.struck {
			s.struck = true
			return u.strike(now)
		}
	default:
		s.dataSeq, s.dataAt, s.sent, s.struck = p.Seq, now, true, false
		if !s.waiting {
			s.asked = now
			c.learnRequest(now, p.Dest, u)
		}
		s.setWaiting(true)
	}
	return false
}

// strike notes that a packet to the upstream was not answered in time, and reports whether that
// begins a suspicion.
func (u *Upstream) strike(now time.Duration) bool {
	u.strikes++
	return u.strikes >= strikeLimit && u.distrust(now)
}

// distrust begins or prolongs a suspicion and reports whether it begins.
func (u *Upstream) distrust(now time.Duration) bool {
	begins := !u.suspect(now)
	u.suspectUntil = now + suspectTime
	return begins
}

// suspect reports whether unanswered packets speak against the upstream.
func (u *Upstream) suspect(now time.Duration) bool { return now < u.suspectUntil }

// sweep removes idle flows.
func (c *Core) sweep(now time.Duration) {
	if now-c.swept < sweepPeriod {
		return
	}
	c.swept = now
	for f, s := range c.flows {
		if now-s.seen > idleFlow || s.upstream.State == directory.Gone {
			s.detach()
			delete(c.flows, f)
		}
	}
}
