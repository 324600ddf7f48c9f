package forward

import (
	"time"

	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/forward/requestcost"
)

const (
	// idleFlowTimeout is the time without packets after which a flow no longer counts as load.
	idleFlowTimeout = 15 * time.Second
	// minRetransmitDelay is the minimum age of a packet at which its repetition counts as a retransmission
	// of an unanswered packet. Callers retransmit after 200 ms.
	minRetransmitDelay = 150 * time.Millisecond
	// suspicionDuration is how long an upstream remains suspect after unanswered packets. It is longer
	// than the control hosts take to announce that an upstream was replaced. It doubles with each further
	// suspicion without an answer in between, up to maxSuspicionDuration: each end of a suspicion costs a
	// caller of an upstream that is still gone a late request.
	suspicionDuration    = 2 * time.Second
	maxSuspicionDuration = 8 * time.Second
	// suspicionThreshold is the number of flows with unanswered packets that makes an upstream suspect.
	// A single unanswered packet may be a lost datagram.
	suspicionThreshold = 2
)

// flowState is the state of one flow as observed by this daemon.
type flowState struct {
	upstream       *Upstream
	cost           *requestcost.Profile // of the flow's route, nil if the table has none
	halfOpen       bool                 // no packet after the SYN has arrived
	triedUpstreams []*Upstream          // upstreams that got a copy of the SYN; after the handshake only if there are several
	synCopy        uint32               // retransmission number of the latest SYN
	placedAt       time.Duration        // time of the latest placement
	hadRequest     bool                 // a request has begun on the flow at this daemon
	hadAnswer      bool                 // an answer was seen on the flow at this daemon
	limited        bool                 // the flow counts for the limit of its service
	limitedSince   time.Duration        // since when
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
		if profile := c.profiles[f.Dest]; profile != nil {
			s.cost = &profile.cost
		}
	}
	s.upstream, s.lastSeen, s.hasData, s.hasAck, s.retransmitted = u, now, false, false, false
	u.flows++
	return s
}

func (s *flowState) detach() {
	s.upstream.flows--
	s.setAwaitingAnswer(false)
	s.setHalfOpen(false)
}

// setHalfOpen records whether the handshake is incomplete. A half-open flow counts as a request in
// progress, because its request follows within a round trip.
func (s *flowState) setHalfOpen(halfOpen bool) {
	if s.halfOpen == halfOpen {
		return
	}
	s.halfOpen = halfOpen
	s.countInProgress(halfOpen)
}

// countInProgress adds the flow to the requests in progress of its upstream, or removes it.
func (s *flowState) countInProgress(add bool) {
	if add {
		s.upstream.inProgress++
		s.beginWork()
		return
	}
	s.upstream.inProgress--
	s.endWork()
	if l := s.upstream.limit; l != nil {
		l.endRequest(s)
	}
}

func (s *flowState) setAwaitingAnswer(awaiting bool) {
	if s.awaitingAnswer == awaiting {
		return
	}
	s.awaitingAnswer = awaiting
	s.countInProgress(awaiting)
}

func (c *Core) closeFlow(f Flow) {
	if s := c.flows[f]; s != nil {
		s.detach()
		delete(c.flows, f)
		c.releaseDue = true
	}
}

// abandonFlow closes a flow at the request of its caller.
func (c *Core) abandonFlow(now time.Duration, f Flow) {
	if s := c.flows[f]; s != nil {
		s.abandonRequest(now)
	}
	c.closeFlow(f)
}

// observePacket updates the state of an open flow. The daemon sees only the packets of the caller:
// payload starts a request, an advancing acknowledgement shows an answer, and retransmitted payload
// shows that the upstream has not answered. It reports whether the upstream became suspect.
func (c *Core) observePacket(now time.Duration, p *Packet, u *Upstream) bool {
	if p.Flags&RST != 0 {
		c.abandonFlow(now, p.Flow())
		return false
	}
	if s := c.flows[p.Flow()]; s == nil && p.Length == 0 {
		c.opened.add(now, p, u) // after the handshake, or the last acknowledgement of a closed or idle flow
		return false
	}
	s := c.attachFlow(now, p.Flow(), u)
	if s.halfOpen || len(s.triedUpstreams) == 1 {
		c.completeHandshake(now, s)
	}
	// An acknowledgement that does not advance was delayed by the network and shows no answer.
	if advanced := int32(p.Ack - s.ack); advanced > 0 || !s.hasAck && p.Ack != 0 {
		if s.awaitingAnswer {
			c.recordAnswer(now, p.Flow(), s, uint32(advanced), now-s.requestAt)
			s.hadAnswer = true
		}
		s.ack, s.hasAck = p.Ack, true
		s.setAwaitingAnswer(false)
		u.recordLife(now)
		c.handshakes.answeredAt = now
	}
	if p.Flags&FIN != 0 { // it may carry the only acknowledgement of a short answer
		c.abandonFlow(now, p.Flow())
		return false
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
			if u.limit != nil {
				u.limit.recordRequest(!s.hadRequest)
			}
			s.hadRequest = true
		}
		s.setAwaitingAnswer(true)
		c.countRequest(now, p.Dest, s)
	}
	return false
}

// recordUnanswered counts a packet that the upstream did not answer in time, and reports whether the
// upstream became suspect.
func (u *Upstream) recordUnanswered(now time.Duration) bool {
	u.unansweredPackets++
	return u.unansweredPackets >= suspicionThreshold && u.markSuspect(now)
}

// markSuspect makes the upstream suspect, and reports whether it was not before.
func (u *Upstream) markSuspect(now time.Duration) bool {
	begins := !u.isSuspect(now)
	if begins {
		u.suspicions++
	}
	u.suspectUntil = now + min(suspicionDuration<<min(u.suspicions-1, maxSuspicionDoublings), maxSuspicionDuration)
	return begins
}

// maxSuspicionDoublings bounds the shift of suspicionDuration.
const maxSuspicionDoublings = 8

// recordLife ends the suspicion because the upstream has answered.
func (u *Upstream) recordLife(now time.Duration) {
	u.unansweredPackets, u.suspicions, u.answeredAt = 0, 0, now
	u.suspectUntil = min(u.suspectUntil, now)
}

// isSuspect reports whether the upstream is suspect because of unanswered packets.
func (u *Upstream) isSuspect(now time.Duration) bool { return now < u.suspectUntil }

// sweep removes idle flows.
func (c *Core) sweep(now time.Duration) {
	if now-c.sweptAt < sweepPeriod {
		return
	}
	c.sweptAt = now
	c.sweepWarmups(now)
	for f, s := range c.flows {
		if now-s.lastSeen > idleFlowTimeout || s.upstream.State == directory.Gone || s.halfOpen && now-s.lastSeen > synRetryWindow {
			s.detach()
			delete(c.flows, f)
		}
	}
}
