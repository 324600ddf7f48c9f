package forward

import (
	"time"

	"rosemarygate/pkg/control/directory"
)

const (
	// idleFlowTimeout is the time without packets after which a flow no longer counts as load.
	idleFlowTimeout = 15 * time.Second
	// minRetransmitDelay is the minimum age of a packet at which its repetition counts as a retransmission
	// of an unanswered packet. Callers retransmit after 200 ms.
	minRetransmitDelay = 150 * time.Millisecond
	// suspicionDuration is how long an upstream remains suspect after unanswered packets. It is longer
	// than the control hosts take to announce that an upstream was replaced.
	suspicionDuration = 2 * time.Second
	// suspicionThreshold is the number of flows with unanswered packets that makes an upstream suspect.
	// A single unanswered packet may be a lost datagram.
	suspicionThreshold = 2
)

// flowState is the state of one flow as observed by this daemon.
type flowState struct {
	upstream       *Upstream
	triedUpstreams []*Upstream // upstreams that got a copy of the SYN, while the flow is half-open
	synCopy        uint32      // retransmission number of the latest SYN
	lastSeen       time.Duration
	dataAt         time.Duration // arrival of the latest payload
	dataSeq        uint32        // sequence number of the latest payload
	hasData        bool          // a payload has arrived; dataAt and dataSeq are valid
	ack            uint32        // latest acknowledgement
	hasAck         bool          // an acknowledgement has arrived; ack is valid
	awaitingAnswer bool          // a request has no answer yet
	requestAt      time.Duration // arrival of that request's first payload
	retransmitted  bool          // the latest payload was retransmitted
}

// attachFlow counts a flow as load of an upstream.
func (c *Core) attachFlow(now time.Duration, f Flow, u *Upstream) *flowState {
	s := c.flows[f]
	if s != nil && s.upstream == u {
		s.lastSeen = now
		return s
	}
	if s != nil {
		s.detach()
	} else {
		if len(c.flows) >= maxFlows {
			return &flowState{upstream: &Upstream{}} // not counted for any upstream
		}
		s = &flowState{}
		c.flows[f] = s
	}
	s.upstream, s.lastSeen, s.hasData, s.hasAck, s.retransmitted = u, now, false, false, false
	u.flows++
	return s
}

func (s *flowState) detach() {
	s.upstream.flows--
	s.setAwaitingAnswer(false)
}

func (s *flowState) setAwaitingAnswer(awaiting bool) {
	if s.awaitingAnswer == awaiting {
		return
	}
	s.awaitingAnswer = awaiting
	if awaiting {
		s.upstream.inProgress++
	} else {
		s.upstream.inProgress--
	}
}

func (c *Core) closeFlow(f Flow) {
	if s := c.flows[f]; s != nil {
		s.detach()
		delete(c.flows, f)
	}
}

// observePacket updates the state of an open flow. The daemon sees only the packets of the caller:
// payload starts a request, an advancing acknowledgement shows an answer, and retransmitted payload
// shows that the upstream has not answered. It reports whether the upstream became suspect.
func (c *Core) observePacket(now time.Duration, p *Packet, u *Upstream) bool {
	if p.Flags&(FIN|RST) != 0 {
		c.closeFlow(p.Flow())
		return false
	}
	s := c.attachFlow(now, p.Flow(), u)
	s.triedUpstreams = nil
	// An acknowledgement that does not advance was delayed by the network and shows no answer.
	if advanced := int32(p.Ack - s.ack); advanced > 0 || !s.hasAck && p.Ack != 0 {
		if s.awaitingAnswer {
			c.recordAnswer(now, p.Dest, u, uint32(advanced), now-s.requestAt)
		}
		s.ack, s.hasAck = p.Ack, true
		s.setAwaitingAnswer(false)
		u.unansweredPackets = 0
		u.suspectUntil = min(u.suspectUntil, now)
	}
	switch {
	case p.Length == 0:
	case s.hasData && p.Seq == s.dataSeq:
		if now-s.dataAt >= minRetransmitDelay && !s.retransmitted {
			s.retransmitted = true
			return u.recordUnanswered(now)
		}
	default:
		s.dataSeq, s.dataAt, s.hasData, s.retransmitted = p.Seq, now, true, false
		if !s.awaitingAnswer {
			s.requestAt = now
			c.recordRequest(now, p.Dest, u)
		}
		s.setAwaitingAnswer(true)
	}
	return false
}

// recordUnanswered counts a packet that the upstream did not answer in time, and reports whether the
// upstream became suspect.
func (u *Upstream) recordUnanswered(now time.Duration) bool {
	u.unansweredPackets++
	return u.unansweredPackets >= suspicionThreshold && u.markSuspect(now)
}

// markSuspect makes the upstream suspect for suspicionDuration, and reports whether it was not before.
func (u *Upstream) markSuspect(now time.Duration) bool {
	begins := !u.isSuspect(now)
	u.suspectUntil = now + suspicionDuration
	return begins
}

// isSuspect reports whether the upstream is suspect because of unanswered packets.
func (u *Upstream) isSuspect(now time.Duration) bool { return now < u.suspectUntil }

// sweep removes idle flows.
func (c *Core) sweep(now time.Duration) {
	if now-c.sweptAt < sweepPeriod {
		return
	}
	c.sweptAt = now
	for f, s := range c.flows {
		if now-s.lastSeen > idleFlowTimeout || s.upstream.State == directory.Gone {
			s.detach()
			delete(c.flows, f)
		}
	}
}
