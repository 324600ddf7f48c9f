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
	// share from which all of them are. Replayed bursts of 3 to 6 times the usual load serve more
	// requests in time the lower both are; a single failing upstream must stay below refuseFrom.
	refuseFrom    = 0.05
	refuseAllFrom = 0.2
	// refuseAllUrgentFrom is the share from which all of the most urgent flows are refused as well. They are
	// spared up to refuseAllFrom if there are less urgent ones to refuse, at least otherDemand of all.
	refuseAllUrgentFrom = 0.6
	otherDemand         = 0.1
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
	refusing          bool
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
	// typicalStep is the relative step with which the quantile is followed.
	typicalStep = 0.05
	// segmentBytes is the payload of a full packet. An answer that fills one has a body, however long
	// other answers of the route are.
	segmentBytes = 1200
	// rejectionFraction is how many times smaller than a typical answer a rejection is: it has a
	// head but no body. Where successes are as short, rejections are not recognised.
	rejectionFraction = 3
)

// answerSize follows the size of the answers on one route. An entry daemon cannot read answers: it
// sees how much of them the caller acknowledges.
type answerSize struct {
	typical float64 // bytes
}

// rejection takes the size of the first acknowledged part of an answer and reports whether the
// answer is a rejection.
func (s *answerSize) rejection(bytes uint32) bool {
	size := float64(bytes)
	switch {
	case s.typical == 0:
		s.typical = size
	case size > s.typical:
		s.typical *= 1 + typicalStep*typicalQuantile
	default:
		s.typical *= 1 - typicalStep*(1-typicalQuantile)
	}
	return size*rejectionFraction < min(s.typical, segmentBytes)
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

// learnAnswer takes the first acknowledged part of an answer.
func (c *Core) learnAnswer(now time.Duration, dest netip.AddrPort, u *Upstream, bytes uint32) {
	size := c.answers[dest]
	a := c.admissions[u.Service]
	if size == nil || a == nil {
		return // the table no longer has the route or the service
	}
	rejected := size.rejection(bytes)
	a.answer(now, rejected)
	u.learnAnswer(now, rejected)
	c.noteOverload(now, u.Service, a)
}

// learnAnswer takes an answer of the upstream.
func (u *Upstream) learnAnswer(now time.Duration, rejected bool) {
	if !rejected {
		u.rejections = max(u.rejections-1, 0)
		return
	}
	u.rejections = min(u.rejections+1, maxRejections)
	u.rejectedUntil = now + rejectionBackoff<<(u.rejections-1)
}

func (c *Core) noteOverload(now time.Duration, service string, a *admission) {
	refusing := a.rejectedShare(now) > refuseFrom
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
	return refuse == 0 || c.rng.Float64() >= refuse, a.rejectedShare(now)
}

// followTable keeps what was learnt of the routes and services that a new table still has.
func (c *Core) followTable(t *routing.Table) {
	answers, admissions := make(map[netip.AddrPort]*answerSize, len(t.Routes)), map[string]*admission{}
	for _, r := range t.Routes {
		if answers[r.Address] = c.answers[r.Address]; answers[r.Address] == nil {
			answers[r.Address] = &answerSize{}
		}
		for _, s := range r.Split {
			if admissions[s.Service] = c.admissions[s.Service]; admissions[s.Service] == nil {
				admissions[s.Service] = &admission{demand: map[uint8]float64{}}
			}
		}
	}
	c.answers, c.admissions = answers, admissions
}
