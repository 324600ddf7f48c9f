package selection

import (
	"math"
	"time"
)

const (
	// successWeight is the weight of one observation in an upstream's success rate.
	successWeight = 1.0 / 16
	// latencySamples is the memory of an upstream's mean latency. Requests of all classes
	// are mixed: with 128 samples the means of equally loaded upstreams differed 7-fold.
	latencySamples = 512
	// groupSamples is the memory of a data centre's mean latency.
	groupSamples = 1024
	// failuresInRow ejects an upstream.
	failuresInRow = 5
	// minSamples is the number of observations before means are compared.
	minSamples = 16
	// failingSuccess ejects an upstream whose success rate is below it while the
	// service's median is above healthySuccess.
	failingSuccess = 0.5
	healthySuccess = 0.9
	// slowFactor ejects an upstream whose mean latency exceeds the median this many times.
	slowFactor = 4
	// toleratedLatency is the ratio to the median latency up to which nothing is changed.
	toleratedLatency = 2
	// maxPenalty bounds the effect of latency and failures on the score.
	maxPenalty = 4
	// silentOpens and silentTime eject an upstream that got flows but answered nothing.
	silentOpens = 16
	silentTime  = 2 * time.Second
	// freshTime is the age up to which own observations outweigh reported health.
	freshTime = 2 * time.Second
	// ejectTime is the first ejection; it doubles with each one up to maxEjectTime.
	ejectTime    = 2 * time.Second
	maxEjectTime = time.Minute
	// probePass is the part of its samples that a probed upstream takes.
	probePass = 0.05
	// probeSuccesses ends probing.
	probeSuccesses = 3
	// maxUtilization is the flow use of the rest above which nothing more is ejected.
	maxUtilization = 0.95
)

type healthState uint8

const (
	serving healthState = iota
	ejected
	probing
)

// health is what this daemon observed at an upstream.
type health struct {
	state    healthState
	times    int32   // ejections since the last long healthy period
	probes   int32   // successes while probing
	n        int32   // observations since the last change of state
	failures int32   // in a row
	opened   int32   // own picks since the last observation
	until    instant // end of the ejection
	success  float64 // mean of successes
	latency  average // of successes, nanoseconds
	seen     instant // last observation
	good     instant // last success
}

func (h *health) restart(s healthState) {
	h.state = s
	h.n, h.failures, h.opened, h.probes = 0, 0, 0, 0
	h.success, h.latency = 1, average{}
}

// setOwned forgets observations when they end or begin.
func (u *upstream) setOwned(now time.Time, own bool) {
	if u.owned == own {
		return
	}
	u.owned = own
	u.health = health{success: 1, seen: at(now)}
}

func (p *pool) observe(u *upstream, now time.Time, ok bool, latency time.Duration) {
	h := &u.health
	h.seen = at(now)
	h.opened = 0
	p.seen = at(now)
	if !ok {
		h.count(0)
		h.failures++
		if h.state != ejected && (h.failures >= failuresInRow || h.state == probing) {
			p.eject(u, now)
		}
		return
	}
	h.count(1)
	h.failures = 0
	h.good = at(now)
	h.latency.add(float64(latency), latencySamples)
	if g := p.groupOf(u); g != nil {
		g.latency.add(float64(latency), groupSamples)
	}
	if h.state != probing {
		return
	}
	if h.probes++; h.probes >= probeSuccesses {
		h.restart(serving)
		p.ejected--
	}
}

func (h *health) count(success float64) {
	if h.n == 0 {
		h.success = 1
	}
	h.n++
	h.success += successWeight * (success - h.success)
}

// average is a mean that weighs all samples alike at first and forgets old ones later.
type average struct {
	mean float64
	n    int
}

func (a *average) add(x float64, memory int) {
	a.n = min(a.n+1, memory)
	a.mean += (x - a.mean) / float64(a.n)
}

// known reports whether the mean is good enough to compare.
func (a *average) known(memory int) bool { return a.n >= memory/2 }

// penalty raises the score of slow or failing upstreams.
func (h *health) penalty(median float64) float64 {
	if h.n < minSamples {
		return 1
	}
	factor := 1 / math.Max(h.success, 1.0/maxPenalty)
	if median > 0 && h.latency.known(latencySamples) && h.latency.mean > toleratedLatency*median {
		factor *= h.latency.mean / (toleratedLatency * median)
	}
	return math.Min(factor, maxPenalty)
}

// pass returns the part of its samples that the upstream takes because of its state.
func (h *health) pass() float64 {
	switch h.state {
	case ejected:
		return 0
	case probing:
		return probePass
	}
	return 1
}

// believedHealthy weighs reported health against fresh own observations.
func (u *upstream) believedHealthy(now time.Time) bool {
	if !u.heard || u.healthy {
		return true
	}
	h := &u.health
	return h.n >= minSamples && h.success >= healthySuccess && h.good.age(now) < freshTime
}

// eject excludes an upstream for a while, unless half of the service is excluded already
// or the others could not hold the flows.
func (p *pool) eject(u *upstream, now time.Time) {
	h := &u.health
	if h.state == serving && !p.canEject(u) {
		return
	}
	if h.state == serving {
		p.ejected++
	}
	h.restart(ejected)
	wait := ejectTime << min(h.times, 10)
	h.times++
	h.until = at(now.Add(min(wait, maxEjectTime)))
}

func (p *pool) canEject(out *upstream) bool {
	if 2*(p.ejected+1) > len(p.upstreams) {
		return false
	}
	flows, limit, unlimited, left := 0.0, 0.0, false, 0
	for i := range p.upstreams {
		u := &p.upstreams[i]
		if u.Draining {
			continue
		}
		flows += u.estimate()
		if u == out || u.health.state != serving {
			continue
		}
		left++
		limit += float64(u.FlowLimit)
		unlimited = unlimited || u.FlowLimit == 0
	}
	return left > 0 && (unlimited || flows < maxUtilization*limit)
}

// checkOutliers ejects upstreams whose observations differ from those of the others and
// moves those whose ejection has ended to probing.
func (p *pool) checkOutliers(now time.Time) {
	success := p.medianOf(func(u *upstream) (float64, bool) { return u.health.success, u.health.n >= minSamples })
	p.latency = p.medianOf(func(u *upstream) (float64, bool) {
		return u.health.latency.mean, u.health.latency.known(latencySamples)
	})
	for i := range p.upstreams {
		u := &p.upstreams[i]
		h := &u.health
		switch {
		case h.state == ejected && h.until.age(now) >= 0:
			h.restart(probing)
		case h.state == serving && p.isOutlier(u, now, success):
			p.eject(u, now)
		case h.state == serving && h.times > 0 && h.until.age(now) > maxEjectTime:
			h.times = 0
		}
	}
}

func (p *pool) isOutlier(u *upstream, now time.Time, success float64) bool {
	h := &u.health
	if h.failures >= failuresInRow {
		return true
	}
	if u.owned && h.opened >= silentOpens && h.seen.age(now) > silentTime && p.seen.age(now) < silentTime {
		return true
	}
	if h.n < minSamples {
		return false
	}
	if h.success < failingSuccess && success > healthySuccess {
		return true
	}
	return p.latency > 0 && h.latency.known(latencySamples) && h.latency.mean > slowFactor*p.latency
}
