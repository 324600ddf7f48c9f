package selection

import (
	"math"
	"slices"
	"time"
)

const (
	// pickSeconds is the number of one-second buckets of own picks; reports older than
	// that are corrected by the picks of the whole period.
	pickSeconds = 8
	// modelTolerance is the relative difference of report and model that costs trust.
	modelTolerance = 0.1
	// anchorTime is the time in which the model follows reports that it agrees with.
	anchorTime = 30.0 // seconds
	// rampTime is the slow start of an upstream.
	rampTime = 10 * time.Second
	// rampFloor is the part of the samples that a cold upstream gets at first.
	rampFloor = 0.1
	// fitMemory is the part of the fit sums that survives a report.
	fitMemory = 0.95
	// biasWeight is the part of the models' common error that a refresh removes.
	biasWeight = 0.2
	// fitPicks is the number of own picks from which an upstream takes part in the fit.
	fitPicks = 16
)

// instant is a time in nanoseconds since 1970, a third as large as a time.Time. A table holds
// five for each upstream.
type instant int64

func at(t time.Time) instant { return instant(t.UnixNano()) }

// age returns the time that has passed since.
func (i instant) age(now time.Time) time.Duration { return time.Duration(at(now) - i) }

// upstream is the state of one upstream at this daemon. Only upstreams of the local data
// centre have a model: elsewhere most flows are opened by daemons whose picks this daemon
// cannot infer from its own.
type upstream struct {
	Candidate
	remote   bool
	heard    bool    // there was a report
	healthy  bool    // by that report
	model    float64 // open flows expected from own picks
	modelAt  instant
	flows    float64 // reported open flows
	requests float64 // reported running and queued requests
	owned    bool    // this daemon sees the upstream's answers
	at       instant // of the report
	trust    float64 // weight of the report against the model, 0 to 1
	picks    [pickSeconds]uint32
	second   int64   // second of the newest bucket
	total    float64 // own picks
	fit      fit
	health   health
}

// fit holds decayed sums over report intervals, from which the pool derives gain and
// close rate.
type fit struct {
	picked    float64 // own picks up to the last report
	flows     float64 // last reported flows
	change    float64 // change of the reported flows
	picks     float64 // own picks
	flowTime  float64 // flows times seconds
	deviation float64 // logarithm of reported flows over model
}

// roll clears the buckets of the seconds that have passed.
func (u *upstream) roll(now time.Time) {
	sec := now.Unix()
	if sec <= u.second {
		return
	}
	for s := max(u.second+1, sec-pickSeconds+1); s <= sec; s++ {
		u.picks[s%pickSeconds] = 0
	}
	u.second = sec
}

func (u *upstream) picksSince(at time.Time) float64 {
	sum := 0.0
	from := at.Unix()
	for s := u.second; s > u.second-pickSeconds && s >= from; s-- {
		n := float64(u.picks[s%pickSeconds])
		if s == from {
			n *= 1 - float64(at.Nanosecond())/1e9
		}
		sum += n
	}
	return sum
}

// opened counts an own pick.
func (u *upstream) opened(now time.Time, gain float64) {
	u.roll(now)
	u.picks[u.second%pickSeconds]++
	u.total++
	if u.remote {
		gain = 1
	}
	u.model += gain
	u.flows += gain
	u.health.opened++
}

// age applies the pool's close rate to the model and to the reported flows.
func (u *upstream) age(now time.Time, closeRate float64) {
	dt := u.modelAt.age(now).Seconds()
	if dt <= 0 {
		return
	}
	keep := math.Exp(-closeRate * dt)
	u.model *= keep
	u.flows *= keep
	u.modelAt = at(now)
}

// estimate returns the open flows: the report, corrected by own picks since, weighed
// against the model.
func (u *upstream) estimate() float64 {
	if !u.heard {
		return u.model
	}
	if u.remote || u.trust >= 1 {
		return u.flows
	}
	return u.model * math.Pow((u.flows+1)/(u.model+1), u.trust)
}

// score orders candidates: estimated flows per flow limit (or per slot), raised by
// observed latency and failures. Smaller is better.
func (u *upstream) score(p *pool) float64 {
	return (u.estimate() + 1) / u.weight() * u.health.penalty(p.latency)
}

func (u *upstream) weight() float64 {
	if u.FlowLimit > 0 {
		return float64(u.FlowLimit)
	}
	return float64(max(1, u.Slots))
}

// full reports whether both the estimate and the report reach the flow limit. The owner
// decides by its exact count, so an error on this side costs only a hop.
func (u *upstream) full() bool {
	limit := float64(u.FlowLimit)
	if u.FlowLimit <= 0 || u.estimate() < limit {
		return false
	}
	return !u.heard || u.flows >= limit
}

// ramp returns the part of its samples that the upstream may take.
func (u *upstream) ramp(now time.Time) float64 {
	pass := u.health.pass()
	if age := now.Sub(u.Since); age < rampTime {
		pass *= math.Max(rampFloor, float64(age)/float64(rampTime))
	}
	return pass
}

func (p *pool) report(u *upstream, now time.Time, r Report) {
	if r.At.After(now) {
		r.At = now // the owner's clock is ahead; a later report must not count as older
	}
	if u.heard && u.at.age(r.At) <= 0 {
		return
	}
	u.setOwned(now, r.Own)
	u.roll(now)
	u.age(now, p.closeRate)
	reported := float64(max(0, r.Flows))
	age := math.Max(0, now.Sub(r.At).Seconds())
	gain := p.gain
	if u.remote {
		gain = 1
	}
	current := reported*math.Exp(-p.closeRate*age) + gain*u.picksSince(r.At)
	if u.heard && !u.remote {
		dt := u.at.age(r.At).Seconds()
		u.fit.add(reported, u.total-u.picksSince(r.At), dt)
		u.updateTrust(p, current, dt)
	} else {
		u.model = current
		u.trust = 1
		u.fit = fit{flows: reported, picked: u.total - u.picksSince(r.At)}
	}
	u.flows = current
	u.requests = float64(max(0, r.Running) + max(0, r.Queued))
	u.healthy = r.Healthy
	u.at = at(r.At)
	u.heard = true
}

func (f *fit) add(flows, picked, dt float64) {
	f.change = fitMemory*f.change + flows - f.flows
	f.picks = fitMemory*f.picks + max(0, picked-f.picked)
	f.flowTime = fitMemory*f.flowTime + dt*(flows+f.flows)/2
	f.flows = flows
	f.picked = max(f.picked, picked)
}

// updateTrust compares a report with the model. The difference is measured against the
// tolerance plus the model's sampling error, which is that of the own picks. An error
// common to all upstreams (of gain or close rate) is removed first: it affects no choice.
func (u *upstream) updateTrust(p *pool, current, dt float64) {
	u.fit.deviation = math.Log((current + p.gain) / (u.model + p.gain))
	tolerance := modelTolerance + 2*math.Sqrt(p.gain/(u.model+p.gain))
	z := (u.fit.deviation - p.bias) / tolerance
	trust := math.Exp(-z * z)
	u.trust += 0.3 * (trust - u.trust)
	pull := u.trust * math.Min(1, dt/anchorTime)
	u.model += pull * (current - u.model)
}

// fitModel derives gain, close rate and the common error of the models from the medians
// over the upstreams, so that a minority of wrong reports has no influence.
func (p *pool) fitModel(now time.Time) {
	p.gain = math.Max(p.table.peers, p.medianOf(func(u *upstream) (float64, bool) {
		return u.fit.change / u.fit.picks, !u.remote && u.fit.picks >= fitPicks
	}))
	p.closeRate = math.Max(0, p.medianOf(func(u *upstream) (float64, bool) {
		return (p.gain*u.fit.picks - u.fit.change) / u.fit.flowTime, !u.remote && u.fit.picks >= fitPicks && u.fit.flowTime > 0
	}))
	p.bias = p.medianOf(func(u *upstream) (float64, bool) { return u.fit.deviation, u.heard && !u.remote })
	correction := math.Exp(biasWeight * p.bias)
	for i := range p.upstreams {
		u := &p.upstreams[i]
		u.age(now, p.closeRate)
		if u.heard && !u.remote {
			u.model *= correction
			u.fit.deviation -= biasWeight * p.bias
		}
	}
	p.bias *= 1 - biasWeight
}

// medianOf returns the median of a figure over the upstreams that have it, 0 for none.
func (p *pool) medianOf(figure func(u *upstream) (float64, bool)) float64 {
	p.scratch = p.scratch[:0]
	for i := range p.upstreams {
		if x, ok := figure(&p.upstreams[i]); ok {
			p.scratch = append(p.scratch, x)
		}
	}
	return median(p.scratch)
}

// median returns the median of xs and reorders it; 0 for none.
func median(xs []float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	slices.Sort(xs)
	return xs[len(xs)/2]
}
