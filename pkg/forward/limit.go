package forward

import (
	"net/netip"
	"time"
)

// Limit of requests in progress in floods.
//
// When callers exceed the capacity of the upstreams for seconds, most requests that are served wait in full
// queues until they are late; rejections begin only then. The answer times show the queues to a daemon: while
// many answers are slow, it limits its requests in progress and refuses new flows beyond the limit at once.
//
// The limit applies only where callers open a flow for each request. Requests on open flows cannot be refused.

const (
	// slowAnswerObjectiveShare is the share of a route's objective from which an answer is slow. It leaves time
	// for the handshake and for the variation of the queues.
	slowAnswerObjectiveShare = 0.6
	// queuedRatio is the ratio of the time of an answer to the time without a queue from which it has waited.
	// On a route whose usual answers take longer than its objective, slow answers show no queue.
	queuedRatio = 2
	// fastQuantile is the quantile of the answer times that counts as the time without a queue.
	fastQuantile = 0.1
	// slowShareWeight is the weight of one answer in the share of slow answers.
	slowShareWeight = 0.08
	// limitStartShare is the share of slow answers from which a service is limited, limitCutShare the share
	// above which the limit shrinks, and limitGrowthShare the share below which it grows.
	limitStartShare  = 0.4
	limitCutShare    = 0.35
	limitGrowthShare = 0.25
	// limitInterval is the time between two changes of the limit; the effect of one shows after a round trip
	// and the time in the queue.
	limitInterval = 100 * time.Millisecond
	// targetObjectiveShare is the mean answer time, as a share of the objective, at which the limit aims.
	targetObjectiveShare = 0.6
	// maxLimitCut is the smallest factor of one change.
	maxLimitCut = 0.6
	limitGrowth = 0.25
	minLimit    = 3
	// relievedShare is the share of slow answers below which there is no queue: the limit grows by
	// relievedGrowth then.
	relievedShare  = 0.15
	relievedGrowth = 1
	// firstRequestShare is the share of the requests that are the first of their flow from which a service
	// is limited, and firstRequestWeight the weight of one request in that share.
	firstRequestShare  = 0.7
	firstRequestWeight = 0.02
	// protectedLimitFactor is how far the requests in progress may exceed the limit for flows of protected
	// priorities.
	protectedLimitFactor = 2.5
	// limitEndAfter is the time without a refusal after which the limit ends.
	limitEndAfter = time.Second
	// maxRequestAge is the age of a request, in objectives, from which it no longer counts as in progress: its
	// upstream or its caller may be gone.
	maxRequestAge = 2
)

// flowLimit limits the requests in progress of one service.
type flowLimit struct {
	active     bool
	size       float64
	requests   []limitedRequest // in order of time; some may have ended
	inProgress int              // requests and half-open flows
	slowShare  float64          // moving average of the share of slow answers
	timeShare  float64          // moving average of the answer times, as shares of the objective
	firstShare float64          // moving average of the share of requests that are the first of their flow
	changedAt  time.Duration    // time of the latest change of the size
	refusedAt  time.Duration    // time of the latest refusal
}

// LimitStatus is the state of the limit of a service.
type LimitStatus struct {
	// Size is the limit, and InProgress the requests and half-open flows of this daemon that count for it.
	Size       float64
	InProgress int
	// SlowShare is the share of slow answers.
	SlowShare float64
}

func (l *flowLimit) status() LimitStatus { return LimitStatus{l.size, l.inProgress, l.slowShare} }

// limitedRequest is a half-open flow or a request in progress.
type limitedRequest struct {
	flow         *flowState
	since, until time.Duration
}

func (c *Core) limitOf(service string) *flowLimit {
	l := c.limits[service]
	if l == nil {
		l = &flowLimit{}
		c.limits[service] = l
	}
	return l
}

// countRequest counts a half-open flow or a request for the limit of its service.
func (c *Core) countRequest(now time.Duration, dest netip.AddrPort, s *flowState) {
	l := s.upstream.limit
	if l == nil || c.routes == nil || s.limited {
		return
	}
	route := c.routes.Route(dest)
	if route == nil || route.Objective <= 0 {
		return
	}
	l.expire(now)
	s.limited, s.limitedSince = true, now
	l.inProgress++
	l.requests = append(l.requests, limitedRequest{s, now, now + maxRequestAge*route.Objective})
}

// endRequest ends the request of a flow.
func (l *flowLimit) endRequest(s *flowState) {
	if s.limited {
		s.limited = false
		l.inProgress--
	}
}

// expire ends requests that are too old.
func (l *flowLimit) expire(now time.Duration) {
	for len(l.requests) > 0 {
		first := l.requests[0]
		current := first.flow.limited && first.flow.limitedSince == first.since
		if current && now < first.until {
			return
		}
		if current {
			l.endRequest(first.flow)
		}
		l.requests = l.requests[1:]
	}
	l.requests = nil
}

// recordRequest counts a request that begins on a flow.
func (l *flowLimit) recordRequest(first bool) {
	value := 0.0
	if first {
		value = 1
	}
	l.firstShare += firstRequestWeight * (value - l.firstShare)
}

// recordAnswer adapts the limit to an answer that took a share of its objective.
func (l *flowLimit) recordAnswer(now time.Duration, timeShare float64, slow bool) {
	value := 0.0
	if slow {
		value = 1
	}
	l.slowShare += slowShareWeight * (value - l.slowShare)
	l.timeShare += slowShareWeight * (min(timeShare, maxRequestAge) - l.timeShare)
	switch {
	case !l.active:
		if l.slowShare >= limitStartShare && l.firstShare >= firstRequestShare {
			l.active, l.size, l.refusedAt = true, float64(l.inProgress), now
			l.cut(now)
		}
	case now-l.changedAt < limitInterval:
	case l.slowShare > limitCutShare:
		l.cut(now)
	case l.slowShare < relievedShare:
		l.size, l.changedAt = l.size+relievedGrowth, now
	case l.slowShare < limitGrowthShare:
		l.size, l.changedAt = l.size+limitGrowth, now
	}
}

// cut lowers the limit in proportion to the answer times.
func (l *flowLimit) cut(now time.Duration) {
	l.size = max(minLimit, l.size*max(maxLimitCut, min(1, targetObjectiveShare/l.timeShare)))
	l.changedAt = now
}

// admits reports whether a new flow fits into the limit.
func (l *flowLimit) admits(now time.Duration, protected func() bool) bool {
	l.expire(now)
	if l.active && now-l.refusedAt > limitEndAfter {
		l.active = false
	}
	inProgress := float64(l.inProgress)
	if !l.active || l.slowShare < relievedShare || inProgress < l.size || inProgress < protectedLimitFactor*l.size && protected() {
		return true
	}
	l.refusedAt = now
	return false
}

// isSlow reports whether an answer waited in a queue for so long that others will be late.
func (p *answerProfile) isSlow(took, objective time.Duration) bool {
	p.fast.add(float64(took), fastQuantile, quantileStep)
	return objective > 0 && float64(took) >= slowAnswerObjectiveShare*float64(objective) && float64(took) >= queuedRatio*p.fast.value
}
