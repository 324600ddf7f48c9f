package forward

import (
	"slices"
	"time"

	"rosemarygate/pkg/forward/requestcost"
)

// Work that upstreams have left.
//
// Requests of one service cost different amounts of work, and the number in progress does not show it: a
// request behind two long ones waits although other upstreams have room. Each request in progress counts as
// its expected remaining time, in units of the mean time of its service. With equal costs that is one.

const (
	// minRequestWeight and maxRequestWeight bound what one request counts. An upper bound of half a full queue
	// keeps a wrong estimate from closing an upstream.
	minRequestWeight = 0.5
	maxRequestWeight = 4.0
	// equalCostBand is the ratio of expected remaining times within which requests count as equal: means of
	// a hundred answers with a tail vary by that much.
	equalCostBand = 1.25
	// maxWeighedRequests bounds the requests on one upstream that are weighed one by one. Far more than a full queue
	// hang there then, and weighing thousands for each placement would take a millisecond.
	maxWeighedRequests = 64
	// maxAbandoned bounds the abandoned requests that count for one upstream, about a full queue.
	maxAbandoned = 8
)

// Placement is a measure of the load of an upstream.
type Placement uint8

// Measures of load. The experiments compare them.
const (
	// ByExpectedWork counts each request in progress as the work that it is expected to have left.
	ByExpectedWork Placement = iota
	// ByRequests counts each request in progress as 1.
	ByRequests
)

// serviceCost is the mean time of the requests of a service.
type serviceCost struct {
	mean    time.Duration // 0 until it is known
	moving  float64       // moving average in nanoseconds
	answers int
}

const (
	// serviceCostWeight is the weight of one answer in the mean time of a service, about that of the windows
	// of its routes.
	serviceCostWeight = 1.0 / 1000
	// minServiceAnswers is the number of answers from which the mean time counts.
	minServiceAnswers = 100
)

func (s *serviceCost) record(took time.Duration) {
	s.answers++
	s.moving += max(serviceCostWeight, 1/float64(s.answers)) * (float64(took) - s.moving)
	if s.answers >= minServiceAnswers {
		s.mean = time.Duration(s.moving)
	}
}

// weight returns what a request counts as load of its upstream, given its expected remaining time.
func (s *serviceCost) weight(remaining time.Duration) float64 {
	if s.mean == 0 || remaining == 0 {
		return 1
	}
	ratio := float64(remaining) / float64(s.mean)
	if ratio < equalCostBand && ratio > 1/equalCostBand {
		return 1
	}
	return max(minRequestWeight, min(ratio, maxRequestWeight))
}

// requestWork is the work of one request in progress, or of a half-open flow whose request follows.
type requestWork struct {
	flow  *flowState
	since time.Duration
	cost  *requestcost.Profile // of its route, nil if the table has none or the flow is half-open
	alone bool                 // the daemon had nothing else in progress on the upstream when it began
}

// remaining returns the expected remaining time of the request. A request whose answer is overdue has not
// less left than a new one: what has delayed it delays the next one, too.
func (w *requestWork) remaining(now time.Duration) time.Duration {
	if w.cost == nil {
		return 0
	}
	left := w.cost.Remaining(now - w.since)
	if left == 0 {
		return 0
	}
	return max(left, w.cost.Mean())
}

// expectedWork returns the work that an upstream has left of this daemon's requests, in units of the mean
// time of the service.
func (u *Upstream) expectedWork(now time.Duration) float64 {
	if len(u.abandoned) > 0 {
		u.abandoned = slices.DeleteFunc(u.abandoned, func(end time.Duration) bool { return end <= now })
	}
	if u.serviceCost == nil || u.serviceCost.mean == 0 || len(u.work) > maxWeighedRequests {
		return float64(u.inProgress)
	}
	work := 0.0
	for i := range u.work {
		work += u.serviceCost.weight(u.work[i].remaining(now))
	}
	return work + float64(len(u.abandoned))
}

// beginWork adds the request of a flow to the work of its upstream, and endWork removes it.
func (s *flowState) beginWork() {
	u := s.upstream
	w := requestWork{flow: s, since: s.placedAt, alone: len(u.work) == 0 && len(u.abandoned) == 0}
	if s.awaitingAnswer {
		// The age of a half-open flow is that of its handshake and says nothing about its request.
		w.since, w.cost = s.requestAt, s.cost
	}
	u.work = append(u.work, w)
}

func (s *flowState) endWork() {
	u := s.upstream
	if i := slices.IndexFunc(u.work, func(w requestWork) bool { return w.flow == s }); i >= 0 {
		u.work = slices.Delete(u.work, i, i+1)
	}
}

// abandonRequest keeps the expected remainder of a request whose caller has closed the flow: the upstream goes
// on with it.
func (s *flowState) abandonRequest(now time.Duration) {
	u := s.upstream
	i := slices.IndexFunc(u.work, func(w requestWork) bool { return w.flow == s })
	if !s.awaitingAnswer || i < 0 || len(u.abandoned) >= maxAbandoned {
		return
	}
	if left := u.work[i].remaining(now); left > 0 {
		u.abandoned = append(u.abandoned, now+left)
	}
}

// recordCost learns the cost of a request from its answer. Only an upstream on which nothing else was in
// progress, and which is neither cold nor slow nor rejects requests, shows what a request costs: other times
// include a queue or a fault. While many answers of the service are slow, its upstreams have queues of other
// daemons' requests, too.
func (c *Core) recordCost(now time.Duration, s *flowState, u *Upstream, profile *answerProfile, took time.Duration) {
	i := slices.IndexFunc(u.work, func(w requestWork) bool { return w.flow == s })
	if i < 0 || u.serviceCost == nil {
		return
	}
	w := &u.work[i]
	if c.cfg.CostObserver != nil && profile.cost.Known() {
		c.cfg.CostObserver(u.Service, profile.cost.Mean(), took)
	}
	if !w.alone || now < u.WarmupEnd || u.slowness.penalty(now) > 0 || now < u.rejectionBackoffUntil ||
		u.limit != nil && u.limit.slowShare >= relievedShare {
		return
	}
	profile.cost.Record(took)
	u.serviceCost.record(took)
}

// serviceCostOf returns the cost of the requests of a service.
func (c *Core) serviceCostOf(service string) *serviceCost {
	s := c.serviceCosts[service]
	if s == nil {
		s = &serviceCost{}
		c.serviceCosts[service] = s
	}
	return s
}

// expectedWaitAt returns the expected time until an upstream has a free slot, given what this daemon has in
// progress there.
func (u *Upstream) expectedWaitAt(now time.Duration) time.Duration {
	slots := max(u.Slots, 1)
	if u.serviceCost == nil || len(u.work)+len(u.abandoned) < slots {
		return 0
	}
	queued := len(u.work) + len(u.abandoned) - slots + 1
	return time.Duration(u.expectedWork(now) * float64(queued) / float64(slots*(queued+slots-1)) * float64(u.serviceCost.mean))
}

// ExpectedWait returns the shortest expected time until an upstream of a service has a free slot, as far as
// this daemon knows. It is 0 while the cost of the requests is not known.
func (c *Core) ExpectedWait(now time.Duration, service string) time.Duration {
	shortest := time.Duration(-1)
	for _, u := range c.placeableByService[service] {
		if !c.mayTakeFlow(u) {
			continue
		}
		if wait := u.expectedWaitAt(now); shortest < 0 || wait < shortest {
			shortest = wait
		}
		if shortest == 0 {
			break
		}
	}
	return max(shortest, 0)
}
