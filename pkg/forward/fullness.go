package forward

import "time"

// Full upstreams and full services.
//
// A daemon sees a small part of the requests of a service. When flows carry many requests, some upstreams get
// more of them at a time than others, reject some, and the callers retry although other upstreams have room. A
// rejection on a flow that has been open for long therefore says little about the service. The first request of
// a new flow goes to the upstream that the daemon prefers over all others: if that one rejects it, the others are
// probably full as well. So only first requests show a full service. They are counted for each data centre, as
// one of them may be full while another has room.

const (
	// remoteRejectedShare is the share of rejections among the first requests in the local data centre, or of
	// unanswered handshakes, from which new flows go to another one. A rejection costs the caller one of its few attempts.
	remoteRejectedShare = 0.1
	// priorFirstAnswers is the weight, in answers, of the prior in the share of a data centre.
	priorFirstAnswers = 5
	// sparseAnswers is the number of recent answers of an upstream, on average, up to which only first requests
	// count, and denseAnswers the number from which all do: a daemon that gets that many sees most of the
	// requests of its upstreams and spreads them evenly, so that its rejections show full upstreams.
	sparseAnswers = 1.5
	denseAnswers  = 2.5
	// unevenRejectedShare is the share of rejections that uneven flows alone cause while 0.7 of the slots are busy.
	unevenRejectedShare = 0.1
)

// firstAnswers counts the answers of a data centre to the first requests of flows that this daemon has placed.
type firstAnswers struct {
	service            *serviceFirstAnswers
	rejected, answered float64 // recent answers, exponentially decayed
	silent, opened     float64 // recent handshakes without and with an answer, decayed at the same rate
	decayedAt          time.Duration
	penalty            float64 // cost of the data centre's upstreams, as of decayedAt
}

func (f *firstAnswers) decay(now time.Duration) {
	if now == f.decayedAt {
		return
	}
	factor := decayFactor(now-f.decayedAt, rejectionDecayTime)
	f.rejected, f.answered, f.decayedAt = f.rejected*factor, f.answered*factor, now
	f.silent, f.opened = f.silent*factor, f.opened*factor
	f.updatePenalty()
}

func (f *firstAnswers) record(now time.Duration, rejected bool) {
	f.decay(now)
	f.answered++
	if rejected {
		f.rejected++
	}
	f.updatePenalty()
}

// recordHandshake counts a handshake that an upstream has answered or not.
func (f *firstAnswers) recordHandshake(now time.Duration, answered bool) {
	f.decay(now)
	if answered {
		f.opened++
	} else {
		f.silent++
	}
	f.updatePenalty()
}

func (f *firstAnswers) updatePenalty() {
	share := f.rejected/(f.answered+priorFirstAnswers) + f.silent/(f.silent+f.opened+priorFirstAnswers)
	f.penalty = remotePenalty * share / remoteRejectedShare
}

// serviceFirstAnswers are the first answers of a service, by data centre.
type serviceFirstAnswers struct{ byDataCentre map[string]*firstAnswers }

func (s *serviceFirstAnswers) of(dataCentre string) *firstAnswers {
	f := s.byDataCentre[dataCentre]
	if f == nil {
		if s.byDataCentre == nil {
			s.byDataCentre = map[string]*firstAnswers{}
		}
		f = &firstAnswers{service: s}
		s.byDataCentre[dataCentre] = f
	}
	return f
}

// firstAnswersOf returns the first answers of a service.
func (c *Core) firstAnswersOf(service string) *serviceFirstAnswers {
	s := c.firstAnswers[service]
	if s == nil {
		s = &serviceFirstAnswers{}
		c.firstAnswers[service] = s
	}
	return s
}

// fullPenalty returns the additional load per slot of an upstream whose data centre rejects first requests or
// does not answer handshakes.
func (u *Upstream) fullPenalty(now time.Duration) float64 {
	if u.firstAnswers == nil || len(u.firstAnswers.service.byDataCentre) < 2 {
		return 0
	}
	u.firstAnswers.decay(now)
	return u.firstAnswers.penalty
}

// fullShare estimates the share of new flows that find the service full.
func (a *admission) fullShare(now time.Duration) float64 {
	all := a.rejectedShare(now)
	if a.firsts == nil {
		return all
	}
	rejected, answered := 0.0, 0.0
	for _, f := range a.firsts.byDataCentre {
		f.decay(now)
		rejected, answered = rejected+f.rejected, answered+f.answered
	}
	first := rejected / (answered + priorAnswers)
	first += (all - first) * priorFirstAnswers / (answered + priorFirstAnswers)
	density := a.answered / float64(max(a.upstreams, 1))
	return max(first+(all-first)*fractionBetween(density, sparseAnswers, denseAnswers), all-unevenRejectedShare)
}
