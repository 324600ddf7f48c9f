package forward

import (
	"math"
	"time"
)

// Admission of new flows while a service sheds requests.
//
// When the upstreams of a service are overloaded, they reject requests, and each rejected caller retries
// on a new flow. Retries displace first attempts, which are then retried too: as many requests are served
// as before, but nearly all of them late. Refusing new flows ends the retries; first attempts on open
// flows are still served. Priorities whose request rate has grown far above its baseline are refused
// first; if none or all of them have grown that far, the least urgent ones.

const (
	// rejectionDecayTime is the decay time constant of recent answers. It covers a few attempts of a caller
	// that retries after a short pause.
	rejectionDecayTime = 500 * time.Millisecond
	// priorAnswers is added to the number of answers, so that a single rejection by a rarely used
	// service stays below refusalStartShare.
	priorAnswers = 20
	// refusalStartShare is the share of rejections above which new flows are refused, and
	// refusalFullShare the share from which all of them are, except those of protected priorities.
	// Lower values serve more requests in time during bursts, but a few rejections by a busy service
	// are not an overload.
	refusalStartShare = 0.05
	refusalFullShare  = 0.12
	// protectedRefusalStartShare is the share up to which no flow of a protected priority is refused,
	// and protectedRefusalFullShare the share from which all are. First attempts alone, at 1.4 times
	// the capacity of the upstreams, have a rejected share of 0.3.
	protectedRefusalStartShare = 0.3
	protectedRefusalFullShare  = 0.8
	// overloadEndShare is the share below which an overload ends. Between it and refusalStartShare no flow
	// is refused; the gap keeps a share that fluctuates around refusalStartShare from starting and
	// ending the overload with every answer.
	overloadEndShare = refusalStartShare / 2
	// minFlowsPerRejection is the number of new flows per rejection from which short answers are treated
	// as rejections. A rejected caller opens a new flow for its next attempt, unless that was the last
	// one; a caller that got a short success keeps using its flow.
	minFlowsPerRejection = 0.4
	// significantShare is the share of the total demand below which a priority does not affect the others.
	significantShare = 0.1
	// demandWindowFlows is the number of new flows over which the new flows of each priority are averaged.
	demandWindowFlows = 100
	// floodGrowthFactor is how many times more the request rate of a flooding priority has grown than the
	// rate of the others. Retries also raise the rate of a priority that is only affected by the flood
	// of another one, and more so if its flows are protected.
	floodGrowthFactor = 2.5
	// currentDecayTime and baselineDecayTime are the decay time constants of the current and the baseline
	// request rate.
	currentDecayTime  = time.Second
	baselineDecayTime = 30 * time.Second
	// minBaselineHistory is how long requests of a priority must be observed before its baseline is valid.
	minBaselineHistory = 5 * time.Second
)

// admission decides on the new flows of one service.
type admission struct {
	rejected, answered float64                   // recent answers, exponentially decayed
	openedFlows        float64                   // new flows, decayed at the same rate
	firsts             *serviceFirstAnswers      // nil if all answers count alike
	upstreams          int                       // that may get new flows
	decayedAt          time.Duration             // time of the latest decay
	demandByPriority   map[uint8]*priorityDemand // of each priority that has had a request or a flow
	refusing           bool                      // the service is overloaded: new flows may be refused
	widespread         bool                      // enough upstreams reject requests
	countedAt          time.Duration             // when widespread was last computed
}

func newAdmission() *admission {
	return &admission{demandByPriority: map[uint8]*priorityDemand{}}
}

// recordAnswer counts an answer from an upstream of the service.
func (a *admission) recordAnswer(now time.Duration, rejected bool) {
	a.decay(now)
	a.answered++
	if rejected {
		a.rejected++
	}
}

func (a *admission) decay(now time.Duration) {
	factor := decayFactor(now-a.decayedAt, rejectionDecayTime)
	a.rejected, a.answered, a.openedFlows, a.decayedAt = a.rejected*factor, a.answered*factor, a.openedFlows*factor, now
}

// decayFactor returns the remaining fraction of an exponentially decaying quantity.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}

// rejectedShare returns the share of rejections among recent answers.
func (a *admission) rejectedShare(now time.Duration) float64 {
	a.decay(now)
	return a.rejected / (a.answered + priorAnswers)
}

// hasRetries reports whether callers open as many new flows as rejected requests would cause.
func (a *admission) hasRetries(now time.Duration) bool {
	a.decay(now)
	return a.openedFlows >= minFlowsPerRejection*a.rejected
}

// recordRequest counts a request on a flow of a priority.
func (a *admission) recordRequest(now time.Duration, priority uint8, overloaded bool) {
	a.demandOf(now, priority).recordRequest(now, overloaded)
}

func (a *admission) demandOf(now time.Duration, priority uint8) *priorityDemand {
	d := a.demandByPriority[priority]
	if d == nil {
		d = &priorityDemand{firstRequest: now, lastRequest: now}
		a.demandByPriority[priority] = d
	}
	return d
}

// recordFlow counts a new flow and returns the probability with which to refuse it.
func (a *admission) recordFlow(now time.Duration, priority uint8) float64 {
	demand := a.demandOf(now, priority)
	for _, d := range a.demandByPriority {
		d.newFlows *= 1 - 1.0/demandWindowFlows
	}
	demand.newFlows++
	a.decay(now)
	a.openedFlows++
	share := a.fullShare(now)
	if share <= refusalStartShare {
		return 0
	}
	protected := a.protectedPriorities(now)
	if protected[priority] {
		return fractionBetween(share, protectedRefusalStartShare, protectedRefusalFullShare)
	}
	unprotectedFlows, lessUrgentFlows := 0.0, 0.0 // of the priorities that are not protected
	for p, d := range a.demandByPriority {
		if protected[p] {
			continue
		}
		unprotectedFlows += d.newFlows
		if p > priority {
			lessUrgentFlows += d.newFlows
		}
	}
	return max(0, min(1, (fractionBetween(share, refusalStartShare, refusalFullShare)*unprotectedFlows-lessUrgentFlows)/demand.newFlows))
}

// protectedPriorities returns the priorities whose flows are refused last: those that do not
// flood while another one does, or otherwise the most urgent ones.
func (a *admission) protectedPriorities(now time.Duration) map[uint8]bool {
	totalRate, totalBaseline, protectedBaseline := 0.0, 0.0, 0.0
	for _, d := range a.demandByPriority {
		totalRate += d.currentRate(now)
		totalBaseline += d.baselineRate(now)
	}
	protected := map[uint8]bool{}
	for p, d := range a.demandByPriority {
		if !d.isFlooding(now, totalRate, totalBaseline) {
			protected[p] = true
			protectedBaseline += d.baselineRate(now)
		}
	}
	if len(protected) < len(a.demandByPriority) && protectedBaseline > significantShare*totalBaseline {
		return protected
	}
	clear(protected)
	for p := range a.demandByPriority {
		totalFlows, lessUrgentFlows, moreUrgentFlows := 0.0, 0.0, 0.0
		for other, d := range a.demandByPriority {
			totalFlows += d.newFlows
			switch {
			case other > p:
				lessUrgentFlows += d.newFlows
			case other < p:
				moreUrgentFlows += d.newFlows
			}
		}
		if lessUrgentFlows > significantShare*totalFlows && moreUrgentFlows < significantShare*totalFlows {
			protected[p] = true
		}
	}
	return protected
}

// fractionBetween returns the position of x between two bounds, limited to 0 at the lower and 1 at the upper one.
func fractionBetween(x, lower, upper float64) float64 { return max(0, min(1, (x-lower)/(upper-lower))) }

// priorityDemand is the rate of requests and new flows of one priority.
type priorityDemand struct {
	newFlows        float64       // recent new flows, decayed with each new flow of the service
	currentAverage  float64       // requests per second over currentDecayTime
	baselineAverage float64       // requests per second over baselineDecayTime, excluding overloads
	lastRequest     time.Duration // time of the latest request
	firstRequest    time.Duration // time of the first request
}

func (d *priorityDemand) recordRequest(now time.Duration, overloaded bool) {
	d.currentAverage = d.currentRate(now) + 1/currentDecayTime.Seconds()
	if !overloaded {
		d.baselineAverage = d.baselineAverage*decayFactor(now-d.lastRequest, baselineDecayTime) + 1/baselineDecayTime.Seconds()
	}
	d.lastRequest = now
}

// currentRate returns the current requests per second.
func (d *priorityDemand) currentRate(now time.Duration) float64 {
	return d.currentAverage * decayFactor(now-d.lastRequest, currentDecayTime)
}

// baselineRate returns the baseline requests per second. The average starts at 0, so it is scaled up
// while the history is shorter than the decay time.
func (d *priorityDemand) baselineRate(now time.Duration) float64 {
	return d.baselineAverage / (1 - decayFactor(max(now-d.firstRequest, minBaselineHistory), baselineDecayTime))
}

// isFlooding reports whether the request rate has grown far more than the rate of the other priorities
// and is a significant share of the total. The parameters are sums over all priorities.
func (d *priorityDemand) isFlooding(now time.Duration, totalRate, totalBaseline float64) bool {
	rate, baseline := d.currentRate(now), d.baselineRate(now)
	if now-d.firstRequest < minBaselineHistory || rate < significantShare*totalRate {
		return false
	}
	return rate*(totalBaseline-baseline) > floodGrowthFactor*baseline*(totalRate-rate)
}
