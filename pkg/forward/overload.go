package forward

import (
	"math"
	"net/netip"
	"time"

	"rosemarygate/pkg/routing"
)

// Admission of new flows while a service sheds requests.
//
// Load pattern: callers send more first tries than the upstreams of a service can work on. The
// upstreams reject the rest, and each rejected caller tries again on a new flow. The repeated tries
// take the places of first tries, which then have to be repeated as well, so that the same number of
// requests is served but nearly all of them late. Refusing new flows while the service sheds ends the
// repetition; first tries on open flows keep their places. The least urgent routes are refused first.

const (
	// sheddingMemory is the time over which answers count: a few tries of a caller that tries again
	// after a short pause.
	sheddingMemory = 500 * time.Millisecond
	// priorAnswers are added to the answers, none of them a rejection, so that one rejection by a
	// service that is seldom used stays below refuseFrom.
	priorAnswers = 20
	// refuseFrom is the share of rejections from which new flows are refused, and refuseAllFrom the
	// share from which all of them are. Replayed bursts serve more requests in time the lower both are;
	// a few rejections of a busy service are no overload.
	refuseFrom    = 0.05
	refuseAllFrom = 0.12
	// relievedBelow ends the overload. Between it and refuseFrom nothing is refused, but a share that
	// moves around refuseFrom does not begin and end the overload with every answer.
	relievedBelow = refuseFrom / 2
	// refuseAllUrgentFrom is the share from which all of the most urgent flows are refused as well. They are
	// spared up to refuseAllFrom if there are less urgent ones to refuse, at least otherDemand of all.
	refuseAllUrgentFrom = 0.6
	otherDemand         = 0.1
	// overloadedUpstreams is the part of the upstreams that have to reject requests for the service to
	// count as overloaded: a few upstreams that fail leave room at the others.
	overloadedUpstreams = 1.0 / 3
	// answerLifetime is how long an upstream counts as one that answers.
	answerLifetime = 2 * time.Second
	// countPeriod is how often upstreams are counted.
	countPeriod = 50 * time.Millisecond
	// demandMemory is the number of new flows over which the demand of each priority is averaged.
	demandMemory = 100
	// rejectionBackoff is how long a rejection speaks against new flows on the upstream. It doubles with
	// each further one up to maxRejections, and answers take it back one by one: an upstream that fails
	// part of its requests is tried again, but seldom.
	rejectionBackoff = time.Second
	maxRejections    = 4
)

// admission decides on the new flows of one service.
type admission struct {
	rejected, answers float64           // recent ones, decayed
	decayed           time.Duration     // when they were last decayed
	demand            map[uint8]float64 // recent new flows by priority
	refusing          bool              // the service is overloaded
	widespread        bool              // enough upstreams reject requests
	counted           time.Duration     // when they were counted
}

// answer takes an answer of an upstream of the service.
func (a *admission) answer(now time.Duration, rejected bool) {
	a.decay(now)
	a.answers++
	if rejected {
		a.rejected++
	}
}

func (a *admission) decay(now time.Duration) {
	keep := math.Exp(-float64(now-a.decayed) / float64(sheddingMemory))
	a.rejected, a.answers, a.decayed = a.rejected*keep, a.answers*keep, now
}

// rejectedShare returns the share of rejections among recent answers.
func (a *admission) rejectedShare(now time.Duration) float64 {
	a.decay(now)
	return a.rejected / (a.answers + priorAnswers)
}

// flow counts a new flow and returns the probability with which to refuse it. Flows with the highest
// priority number are the least urgent and are refused first.
func (a *admission) flow(now time.Duration, priority uint8) float64 {
	total, lessUrgent, moreUrgent := 1.0, 0.0, 0.0
	for p := range a.demand {
		a.demand[p] *= 1 - 1.0/demandMemory
		total += a.demand[p]
		switch {
		case p > priority:
			lessUrgent += a.demand[p]
		case p < priority:
			moreUrgent += a.demand[p]
		}
	}
	a.demand[priority]++
	share := a.rejectedShare(now)
	if lessUrgent > otherDemand*total && moreUrgent < otherDemand*total {
		return between(share, refuseAllFrom, refuseAllUrgentFrom)
	}
	rest := total - moreUrgent
	return max(0, min(1, (between(share, refuseFrom, refuseAllFrom)*rest-lessUrgent)/a.demand[priority]))
}

// between returns where x lies between two bounds: 0 at the lower and 1 at the upper one.
func between(x, lower, upper float64) float64 { return max(0, min(1, (x-lower)/(upper-lower))) }

const (
	// typicalQuantile is the quantile of an answer's size that is followed, so that the typical size
	// stays that of successes while nine of ten requests are rejected.
	typicalQuantile = 0.9
	// typicalStep is the relative step with which quantiles are followed: 20 answers tell.
	typicalStep = 0.05
	// segmentBytes is the payload of a full packet. An answer that fills one has a body, however long
	// other answers of the route are.
	segmentBytes = 1200
	// rejectionFraction is how many times smaller than a typical answer a rejection is: it has a
	// head but no body. Where successes are as short, rejections are not recognised.
	rejectionFraction = 3
)

// answers is what a daemon knows of the answers on one route. It cannot read them: it sees when and
// how much of them the caller acknowledges.
type answers struct {
	size quantile // bytes of the first acknowledged part
	time quantile // from a request to that acknowledgement, in nanoseconds
}

// rejection takes the size of an answer and reports whether the answer is a rejection.
func (s *answers) rejection(bytes uint32) bool {
	size := float64(bytes)
	s.size.add(size, typicalQuantile, typicalStep)
	return size*rejectionFraction < min(s.size.value, segmentBytes)
}

// ratio takes the time of an answer that is no rejection and returns it in typical answers.
func (s *answers) ratio(took time.Duration) float64 {
	if s.time.value == 0 {
		s.time.value = float64(took)
	}
	ratio := float64(took) / max(s.time.value, 1)
	s.time.add(float64(took), 0.5, typicalStep)
	return ratio
}

// Overload is a change of what a daemon believes of a service's load.
type Overload struct {
	Service string
	// Refusing says that new flows of the service are refused from now on, or no longer.
	Refusing bool
	// RejectedShare of recent answers that were rejections.
	RejectedShare float64
}

// TakeOverloads returns the services whose new flows are refused since the last call, or no longer.
func (c *Core) TakeOverloads() []Overload {
	out := c.overloads
	c.overloads = nil
	return out
}

// learnAnswer takes the first acknowledged part of an answer and the time since its request.
func (c *Core) learnAnswer(now time.Duration, dest netip.AddrPort, u *Upstream, bytes uint32, took time.Duration) {
	route, a := c.answers[dest], c.admissions[u.Service]
	if route == nil || a == nil {
		return // the table no longer has the route or the service
	}
	rejected := route.rejection(bytes)
	a.answer(now, rejected)
	u.learnRejection(now, rejected)
	if !rejected {
		u.slowness.answer(now, route.ratio(took))
	}
	c.noteOverload(now, u.Service, a)
}

// learnRejection takes whether an answer of the upstream was a rejection.
func (u *Upstream) learnRejection(now time.Duration, rejected bool) {
	if !rejected {
		u.rejections = max(u.rejections-1, 0)
		return
	}
	u.rejections = min(u.rejections+1, maxRejections)
	u.rejectedUntil = now + rejectionBackoff<<(u.rejections-1)
}

// isOverloaded reports whether the service rejects so many requests that new flows may be refused.
func (c *Core) isOverloaded(now time.Duration, service string, a *admission) bool {
	share := a.rejectedShare(now)
	if a.refusing {
		return share >= relievedBelow
	}
	if share <= refuseFrom {
		return false
	}
	if now-a.counted >= countPeriod {
		a.counted, a.widespread = now, c.isWidespread(now, service)
	}
	return a.widespread
}

// isWidespread reports whether enough of the upstreams that answer reject requests.
func (c *Core) isWidespread(now time.Duration, service string) bool {
	answering, rejecting := 0, 0
	for _, u := range c.services[service] {
		if now-u.slowness.at < answerLifetime || now < u.rejectedUntil {
			answering++
		}
		if now < u.rejectedUntil {
			rejecting++
		}
	}
	return float64(rejecting) >= overloadedUpstreams*float64(answering)
}

func (c *Core) noteOverload(now time.Duration, service string, a *admission) {
	refusing := c.isOverloaded(now, service, a)
	if refusing == a.refusing {
		return
	}
	a.refusing = refusing
	c.overloads = append(c.overloads, Overload{service, refusing, a.rejectedShare(now)})
}

// admit decides whether a new flow may be placed on a service, and returns the share of rejections
// that the decision rests on.
func (c *Core) admit(now time.Duration, service string, priority uint8) (ok bool, share float64) {
	a := c.admissions[service]
	if a == nil {
		return true, 0
	}
	refuse := a.flow(now, priority)
	c.noteOverload(now, service, a)
	return !a.refusing || refuse == 0 || c.rng.Float64() >= refuse, a.rejectedShare(now)
}

// followTable keeps what was learnt of the routes and services that a new table still has.
func (c *Core) followTable(t *routing.Table) {
	byRoute, admissions := make(map[netip.AddrPort]*answers, len(t.Routes)), map[string]*admission{}
	for _, r := range t.Routes {
		if byRoute[r.Address] = c.answers[r.Address]; byRoute[r.Address] == nil {
			byRoute[r.Address] = &answers{}
		}
		for _, s := range r.Split {
			if admissions[s.Service] = c.admissions[s.Service]; admissions[s.Service] == nil {
				admissions[s.Service] = &admission{demand: map[uint8]float64{}}
			}
		}
	}
	c.answers, c.admissions = byRoute, admissions
}
