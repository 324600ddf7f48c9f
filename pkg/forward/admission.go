package forward

import (
	"math"
	"time"
)

// Admission of new flows while a service sheds requests.
//
// Load pattern: callers send more first tries than the upstreams of a service can work on. The
// upstreams reject the rest, and each rejected caller tries again on a new flow. The repeated tries
// take the places of first tries, which then have to be repeated as well, so that the same number of
// requests is served but nearly all of them late. Refusing new flows while the service sheds ends the
// repetition; first tries on open flows keep their places.
//
// Which flows are refused first: those of priorities whose callers ask for far more than they usually
// do; if none or all of them do, the least urgent.

const (
	// sheddingMemory is the time over which answers count: a few tries of a caller that tries again
	// after a short pause.
	sheddingMemory = 500 * time.Millisecond
	// priorAnswers are added to the answers, none of them a rejection, so that one rejection by a
	// service that is seldom used stays below refuseFrom.
	priorAnswers = 20
	// refuseFrom is the share of rejections from which new flows are refused, and refuseAllFrom the
	// share from which all of them are, but for those of spared priorities. Replayed bursts serve more
	// requests in time the lower both are; a few rejections of a busy service are no overload.
	refuseFrom    = 0.05
	refuseAllFrom = 0.12
	// spareUntil is the share up to which no flow of a spared priority is refused, and refuseSparedFrom
	// the share from which all are. First tries alone, at 1.4 times what the upstreams can work on, are
	// rejected at a share of 0.3.
	spareUntil       = 0.3
	refuseSparedFrom = 0.8
	// relievedBelow ends the overload. Between it and refuseFrom nothing is refused, but a share that
	// moves around refuseFrom does not begin and end the overload with every answer.
	relievedBelow = refuseFrom / 2
	// flowsPerRejection is the number of new flows for each rejection from which short answers are taken
	// for rejections: a rejected caller opens one for its next try, unless it was the last one. Callers
	// whose successes are short go on with the flows that they have.
	flowsPerRejection = 0.4
	// significant is the part of the demand below which a priority does not matter to the others.
	significant = 0.1
	// flowMemory is the number of new flows over which the demand of each priority is averaged.
	flowMemory = 100
	// floodFactor is how many times more than those of the others the requests of a priority have grown
	// when it floods. Repeated tries make a priority grow that is only caught in the flood of another,
	// and more where its flows are spared.
	floodFactor = 2.5
	// currentMemory and usualMemory are the times over which present and usual requests are averaged.
	currentMemory = time.Second
	usualMemory   = 30 * time.Second
	// learnTime is how long requests of a priority have to be seen to know what is usual.
	learnTime = 5 * time.Second
)

// admission decides on the new flows of one service.
type admission struct {
	rejected, answers float64           // recent ones, decayed
	opened            float64           // new flows, decayed alike
	decayedAt         time.Duration     // when they were last decayed
	demand            map[uint8]*demand // by priority
	refusing          bool              // the service is overloaded
	widespread        bool              // enough upstreams reject requests
	counted           time.Duration     // when they were counted
}

func newAdmission() *admission { return &admission{demand: map[uint8]*demand{}} }

// answer takes an answer of an upstream of the service.
func (a *admission) answer(now time.Duration, rejected bool) {
	a.decay(now)
	a.answers++
	if rejected {
		a.rejected++
	}
}

func (a *admission) decay(now time.Duration) {
	keep := remaining(now-a.decayedAt, sheddingMemory)
	a.rejected, a.answers, a.opened, a.decayedAt = a.rejected*keep, a.answers*keep, a.opened*keep, now
}

// remaining returns the part of an exponentially decaying quantity that is left after a time.
func remaining(after, memory time.Duration) float64 {
	return math.Exp(-float64(after) / float64(memory))
}

// rejectedShare returns the share of rejections among recent answers.
func (a *admission) rejectedShare(now time.Duration) float64 {
	a.decay(now)
	return a.rejected / (a.answers + priorAnswers)
}

// isRepeated reports whether callers open as many new flows as the rejections make them.
func (a *admission) isRepeated(now time.Duration) bool {
	a.decay(now)
	return a.opened >= flowsPerRejection*a.rejected
}

// request takes a request on a flow of a priority.
func (a *admission) request(now time.Duration, priority uint8) {
	a.of(now, priority).request(now, a.refusing)
}

func (a *admission) of(now time.Duration, priority uint8) *demand {
	d := a.demand[priority]
	if d == nil {
		d = &demand{since: now, at: now}
		a.demand[priority] = d
	}
	return d
}

// flow counts a new flow and returns the probability with which to refuse it.
func (a *admission) flow(now time.Duration, priority uint8) float64 {
	own := a.of(now, priority)
	for _, d := range a.demand {
		d.flows *= 1 - 1.0/flowMemory
	}
	own.flows++
	a.decay(now)
	a.opened++
	share := a.rejectedShare(now)
	if share <= refuseFrom {
		return 0
	}
	spared := a.spared(now)
	if spared[priority] {
		return between(share, spareUntil, refuseSparedFrom)
	}
	all, lessUrgent := 0.0, 0.0 // of those that are not spared
	for p, d := range a.demand {
		if spared[p] {
			continue
		}
		all += d.flows
		if p > priority {
			lessUrgent += d.flows
		}
	}
	return max(0, min(1, (between(share, refuseFrom, refuseAllFrom)*all-lessUrgent)/own.flows))
}

// spared returns the priorities whose flows are refused last: those that do not flood while another
// one does, or the most urgent ones.
func (a *admission) spared(now time.Duration) map[uint8]bool {
	current, usual, calm := 0.0, 0.0, 0.0
	for _, d := range a.demand {
		current += d.rate(now)
		usual += d.usualRate(now)
	}
	out := map[uint8]bool{}
	for p, d := range a.demand {
		if !d.floods(now, current, usual) {
			out[p] = true
			calm += d.usualRate(now)
		}
	}
	if len(out) < len(a.demand) && calm > significant*usual {
		return out
	}
	clear(out)
	for p := range a.demand {
		total, lessUrgent, moreUrgent := 0.0, 0.0, 0.0
		for other, d := range a.demand {
			total += d.flows
			switch {
			case other > p:
				lessUrgent += d.flows
			case other < p:
				moreUrgent += d.flows
			}
		}
		if lessUrgent > significant*total && moreUrgent < significant*total {
			out[p] = true
		}
	}
	return out
}

// between returns where x lies between two bounds: 0 at the lower and 1 at the upper one.
func between(x, lower, upper float64) float64 { return max(0, min(1, (x-lower)/(upper-lower))) }

// demand is what the callers of one priority ask for.
type demand struct {
	flows   float64       // recent new ones, decayed with each new flow of the service
	current float64       // requests a second over currentMemory
	usual   float64       // requests a second over usualMemory, without times of overload
	at      time.Duration // latest request
	since   time.Duration // first request
}

func (d *demand) request(now time.Duration, overloaded bool) {
	d.current = d.rate(now) + 1/currentMemory.Seconds()
	if !overloaded {
		d.usual = d.usual*remaining(now-d.at, usualMemory) + 1/usualMemory.Seconds()
	}
	d.at = now
}

// rate returns the present requests a second.
func (d *demand) rate(now time.Duration) float64 {
	return d.current * remaining(now-d.at, currentMemory)
}

// usualRate returns the usual requests a second. The average begins at 0, so a short past counts as
// much as was seen of it.
func (d *demand) usualRate(now time.Duration) float64 {
	return d.usual / (1 - remaining(max(now-d.since, learnTime), usualMemory))
}

// floods reports whether the requests have grown far more than those of the others, given the present
// and the usual requests of all, and are a significant part of the present ones.
func (d *demand) floods(now time.Duration, current, usual float64) bool {
	own, ownUsual := d.rate(now), d.usualRate(now)
	if now-d.since < learnTime || own < significant*current {
		return false
	}
	return own*(usual-ownUsual) > floodFactor*ownUsual*(current-own)
}
