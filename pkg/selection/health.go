package selection

import (
	"math"
	"time"
)

const (
	// successRateWeight is the weight of one observation in an upstream's success rate.
	successRateWeight = 1.0 / 16
	// latencyWindow is the number of samples in an upstream's mean latency. The samples are of
	// all classes of requests: with 128 of them the means of equally loaded upstreams differ
	// up to 7-fold.
	latencyWindow = 512
	// groupLatencyWindow is the number of samples in a data centre's mean latency.
	groupLatencyWindow = 1024
	// maxConsecutiveFailures is the number of consecutive failures at which an upstream is
	// ejected.
	maxConsecutiveFailures = 5
	// minSamples is the number of observations from which an upstream's success rate and
	// latency are used.
	minSamples = 16
	// An upstream is ejected when its success rate is below failingSuccessRate while the
	// median of the service is above healthySuccessRate.
	failingSuccessRate = 0.5
	healthySuccessRate = 0.9
	// slowLatencyRatio is the ratio of an upstream's mean latency to the median above which it
	// is ejected.
	slowLatencyRatio = 4
	// toleratedLatencyRatio is the ratio of an upstream's mean latency to the median up to which
	// its score is not raised.
	toleratedLatencyRatio = 2
	// maxPenalty is the largest factor by which latency and failures raise the score.
	maxPenalty = 4
	// An owned upstream is ejected when it got silentPicks flows without an observation for
	// silentTime, while other upstreams of the service were observed.
	silentPicks = 16
	silentTime  = 2 * time.Second
	// freshObservationTime is the age of the last success up to which own observations take
	// precedence over the reported health.
	freshObservationTime = 2 * time.Second
	// initialEjectTime is the duration of the first ejection. It doubles with each further
	// ejection up to maxEjectTime.
	initialEjectTime = 2 * time.Second
	maxEjectTime     = time.Minute
	// probeProbability is the probability with which a probed upstream accepts a sample.
	probeProbability = 0.05
	// minProbeSuccesses is the number of successes that end probing.
	minProbeSuccesses = 3
	// maxUtilization is the utilization of the flow limits of the remaining upstreams above which
	// no further upstream is ejected, and the utilization of a data centre above which no flows
	// are spilled to it.
	maxUtilization = 0.95
)

type healthState uint8

const (
	serving healthState = iota
	ejected
	probing
)

// health holds the state of an upstream that follows from this daemon's observations.
type health struct {
	state                 healthState
	ejections             int32 // since the last healthy period of maxEjectTime
	probeSuccesses        int32 // since probing began
	observations          int32 // since the last change of state
	consecutiveFailures   int32
	picksSinceObservation int32 // own picks
	ejectedUntil          instant
	successRate           float64 // decayed mean
	latency               average // of successes, nanoseconds
	lastObserved          instant
	lastSuccess           instant
}

func (h *health) enterState(s healthState) {
	h.state = s
	h.observations, h.consecutiveFailures, h.picksSinceObservation, h.probeSuccesses = 0, 0, 0, 0
	h.successRate, h.latency = 1, average{}
}

// setOwned records whether this daemon owns the upstream. A change discards the observations.
func (u *upstream) setOwned(now time.Time, owned bool) {
	if u.owned == owned {
		return
	}
	u.owned = owned
	u.health = health{successRate: 1, lastObserved: toInstant(now)}
}

func (p *pool) observe(u *upstream, now time.Time, ok bool, latency time.Duration) {
	h := &u.health
	h.lastObserved = toInstant(now)
	h.picksSinceObservation = 0
	p.lastObserved = toInstant(now)
	if !ok {
		h.addResult(0)
		h.consecutiveFailures++
		if h.state != ejected && (h.consecutiveFailures >= maxConsecutiveFailures || h.state == probing) {
			p.eject(u, now)
		}
		return
	}
	h.addResult(1)
	h.consecutiveFailures = 0
	h.lastSuccess = toInstant(now)
	h.latency.add(float64(latency), latencyWindow)
	if g := p.groupOf(u); g != nil {
		g.latency.add(float64(latency), groupLatencyWindow)
	}
	if h.state != probing {
		return
	}
	if h.probeSuccesses++; h.probeSuccesses >= minProbeSuccesses {
		h.enterState(serving)
		p.notServing--
	}
}

func (h *health) addResult(success float64) {
	if h.observations == 0 {
		h.successRate = 1
	}
	h.observations++
	h.successRate += successRateWeight * (success - h.successRate)
}

// average is a mean in which samples have equal weight until their number reaches the window,
// and exponentially decreasing weight from then on.
type average struct {
	mean    float64
	samples int
}

func (a *average) add(x float64, window int) {
	a.samples = min(a.samples+1, window)
	a.mean += (x - a.mean) / float64(a.samples)
}

// hasEnoughSamples reports whether the mean has the samples of at least half a window.
func (a *average) hasEnoughSamples(window int) bool { return a.samples >= window/2 }

// penalty returns the factor by which the score of a slow or failing upstream is raised. median
// is the median latency of the service.
func (h *health) penalty(median float64) float64 {
	if h.observations < minSamples {
		return 1
	}
	factor := 1 / math.Max(h.successRate, 1.0/maxPenalty)
	if median > 0 && h.latency.hasEnoughSamples(latencyWindow) && h.latency.mean > toleratedLatencyRatio*median {
		factor *= h.latency.mean / (toleratedLatencyRatio * median)
	}
	return math.Min(factor, maxPenalty)
}

// acceptProbability returns the probability with which an upstream in this state accepts a
// sample.
func (h *health) acceptProbability() float64 {
	switch h.state {
	case ejected:
		return 0
	case probing:
		return probeProbability
	}
	return 1
}

// consideredHealthy reports whether the upstream is healthy by its last report or by recent own
// observations.
func (u *upstream) consideredHealthy(now time.Time) bool {
	if !u.hasReport || u.reportedHealthy {
		return true
	}
	h := &u.health
	return h.observations >= minSamples && h.successRate >= healthySuccessRate && h.lastSuccess.elapsed(now) < freshObservationTime
}

// eject excludes an upstream for some time, unless more than half of the service's upstreams
// would then be excluded or the others would lack room for the flows.
func (p *pool) eject(u *upstream, now time.Time) {
	h := &u.health
	if h.state == serving && !p.canEject(u) {
		return
	}
	if h.state == serving {
		p.notServing++
	}
	h.enterState(ejected)
	wait := initialEjectTime << min(h.ejections, 10)
	h.ejections++
	h.ejectedUntil = toInstant(now.Add(min(wait, maxEjectTime)))
}

func (p *pool) canEject(candidate *upstream) bool {
	if 2*(p.notServing+1) > len(p.upstreams) {
		return false
	}
	flows, limit, unlimited, remaining := 0.0, 0.0, false, 0
	for i := range p.upstreams {
		u := &p.upstreams[i]
		if u.Draining {
			continue
		}
		flows += u.estimate()
		if u == candidate || u.health.state != serving {
			continue
		}
		remaining++
		limit += float64(u.FlowLimit)
		unlimited = unlimited || u.FlowLimit == 0
	}
	return remaining > 0 && (unlimited || flows < maxUtilization*limit)
}

// checkOutliers ejects upstreams that perform much worse than the others and starts to probe
// those whose ejection has ended.
func (p *pool) checkOutliers(now time.Time) {
	medianSuccess := p.medianOf(func(u *upstream) (float64, bool) { return u.health.successRate, u.health.observations >= minSamples })
	p.medianLatency = p.medianOf(func(u *upstream) (float64, bool) {
		return u.health.latency.mean, u.health.latency.hasEnoughSamples(latencyWindow)
	})
	for i := range p.upstreams {
		u := &p.upstreams[i]
		h := &u.health
		switch {
		case h.state == ejected && h.ejectedUntil.elapsed(now) >= 0:
			h.enterState(probing)
		case h.state == serving && p.isOutlier(u, now, medianSuccess):
			p.eject(u, now)
		case h.state == serving && h.ejections > 0 && h.ejectedUntil.elapsed(now) > maxEjectTime:
			h.ejections = 0
		}
	}
}

func (p *pool) isOutlier(u *upstream, now time.Time, medianSuccess float64) bool {
	h := &u.health
	if h.consecutiveFailures >= maxConsecutiveFailures {
		return true
	}
	if u.owned && h.picksSinceObservation >= silentPicks && h.lastObserved.elapsed(now) > silentTime && p.lastObserved.elapsed(now) < silentTime {
		return true
	}
	if h.observations < minSamples {
		return false
	}
	if h.successRate < failingSuccessRate && medianSuccess > healthySuccessRate {
		return true
	}
	return p.medianLatency > 0 && h.latency.hasEnoughSamples(latencyWindow) && h.latency.mean > slowLatencyRatio*p.medianLatency
}
