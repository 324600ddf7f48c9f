package forward

import (
	"cmp"
	"slices"
	"time"

	"rosemarygate/pkg/routing"
)

// Return of callers after an outage.
//
// While no upstream or no daemon answers, callers retransmit their SYNs, and all of them return at the same
// moment. They exceed the queues of the upstreams, so that new requests are late as well although the
// upstreams have capacity for them. A flow whose request has missed its latency objective already is
// overdue: it yields to the others. An overdue flow is placed only while the unanswered requests of its
// service fit into a window, which grows while answers are fast and shrinks when they are slow. Otherwise it waits
// for its turn.

const (
	// maxTurnWait bounds the wait of an overdue flow for its turn. Its SYN is dropped then; its caller sends
	// another copy or tries again.
	maxTurnWait = 500 * time.Millisecond
	// minCatchUpWindow and maxCatchUpWindow bound the window of unanswered requests of a service.
	minCatchUpWindow = 1
	maxCatchUpWindow = 64
	// catchUpGrowth is the growth of the window with each fast answer.
	catchUpGrowth = 0.25
	// catchUpCutInterval is the shortest time between two cuts of the window: the answers of one round trip
	// show the same queues.
	catchUpCutInterval = 100 * time.Millisecond
	// fastAnswerShare and slowAnswerShare are the shares of a route's objective up to which an answer is fast,
	// and from which it is slow.
	fastAnswerShare = 0.5
	slowAnswerShare = 0.9
	// expectedAnswerShare is the share of the objective that an answer takes on a route without answers yet.
	expectedAnswerShare = 0.5
)

// synDelays are the times after which a caller sends the copies of a SYN.
var synDelays = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// synAge returns the minimum time since a caller sent its first SYN, given the number of the copy.
func synAge(copies uint32) time.Duration { return synDelays[min(int(copies), len(synDelays)-1)] }

// callerTimeout is the time after its first SYN after which a caller gives up.
const callerTimeout = 1400 * time.Millisecond

// copyDelay returns the time after which a caller sends the next copy of a SYN, or gives up, given the number of
// this copy.
func copyDelay(copies uint32) time.Duration {
	if next := int(copies) + 1; next < len(synDelays) {
		return synDelays[next] - synDelays[next-1]
	}
	return callerTimeout - synDelays[len(synDelays)-1]
}

// catchUp decides when overdue flows of one service are placed.
type catchUp struct {
	window float64
	cutAt  time.Duration // time of the latest cut of the window
}

func (c *Core) catchUpOf(service string) *catchUp {
	u := c.catchUps[service]
	if u == nil {
		u = &catchUp{window: minCatchUpWindow}
		c.catchUps[service] = u
	}
	return u
}

// isOverdue reports whether the request of a new flow cannot be answered within its objective any more.
func (c *Core) isOverdue(route *routing.Route, p *Packet, waited time.Duration) bool {
	age := synAge(p.Ack) + waited
	if route.Objective <= 0 || age == 0 {
		return false
	}
	expected := time.Duration(expectedAnswerShare * float64(route.Objective))
	if profile := c.profiles[route.Address]; profile != nil && profile.time.value > 0 {
		expected = min(expected, time.Duration(profile.time.value))
	}
	return age+expected > route.Objective
}

// admitsOverdue reports whether an overdue flow of a service may be placed.
func (c *Core) admitsOverdue(now time.Duration, service string, flow Flow) bool {
	l := c.limitOf(service)
	l.expire(now)
	unanswered := l.inProgress
	if s := c.flows[flow]; s != nil && s.limited {
		unanswered-- // an earlier copy of its SYN
	}
	return float64(unanswered) < c.catchUpOf(service).window
}

// recordAnswer adapts the window to the time of an answer.
func (u *catchUp) recordAnswer(now, took, objective time.Duration) {
	share := float64(took) / float64(max(objective, 1))
	switch {
	case share >= slowAnswerShare:
		if now-u.cutAt >= catchUpCutInterval {
			u.window, u.cutAt = max(minCatchUpWindow, u.window/2), now
		}
	case share <= fastAnswerShare:
		u.window = min(maxCatchUpWindow, u.window+catchUpGrowth)
	}
}

// sortHeld puts overdue SYNs behind all other packets: the most urgent ones first, and among equal ones
// those that arrived last, whose callers wait longest for an answer yet.
func (c *Core) sortHeld(now time.Duration) {
	if c.routes == nil || len(c.held) < 2 {
		return
	}
	rank := func(h *heldPacket) int {
		route := c.routes.Route(h.packet.Dest)
		if h.packet.Flags&SYN == 0 || route == nil || !c.isOverdue(route, &h.packet, now-h.arrivedAt) {
			return 0
		}
		return 1 + int(route.Priority)
	}
	slices.SortStableFunc(c.held, func(a, b heldPacket) int {
		rankA, rankB := rank(&a), rank(&b)
		if rankA != rankB || rankA == 0 {
			return cmp.Compare(rankA, rankB)
		}
		return cmp.Compare(b.arrivedAt, a.arrivedAt)
	})
}
