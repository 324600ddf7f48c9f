package selection

import (
	"math"
	"slices"
	"time"
)

const (
	// pickBuckets is the number of one-second buckets that count own picks. An older report is
	// corrected by the picks of all buckets.
	pickBuckets = 8
	// modelTolerance is the relative difference between report and model above which the weight
	// of the report falls markedly.
	modelTolerance = 0.1
	// modelAdaptSeconds is the time in which the model adapts to reports that agree with it.
	modelAdaptSeconds = 30.0
	// slowStartTime is the duration of the slow start of an upstream.
	slowStartTime = 10 * time.Second
	// minSlowStartProbability is the probability with which an upstream accepts a sample at the
	// beginning of its slow start.
	minSlowStartProbability = 0.1
	// fitDecay is the factor by which a report reduces the older part of the fit sums.
	fitDecay = 0.95
	// biasCorrection is the fraction of the models' common error that a refresh removes.
	biasCorrection = 0.2
	// minFitPicks is the number of own picks from which an upstream is included in the fit.
	minFitPicks = 16
)

// instant is a time in nanoseconds since 1970. It is a third as large as a time.Time; a table
// holds five for each upstream.
type instant int64

func toInstant(t time.Time) instant { return instant(t.UnixNano()) }

// elapsed returns the time from i to now.
func (i instant) elapsed(now time.Time) time.Duration { return time.Duration(toInstant(now) - i) }

// upstream is the state of one upstream at this daemon. Only upstreams of the local and near
// data centres have a model: elsewhere most flows are opened by daemons whose picks this daemon
// cannot infer from its own.
type upstream struct {
	Candidate
	remote           bool
	hasReport        bool    // a report was received
	reportedHealthy  bool    // health in the last report
	modelFlows       float64 // open flows expected from own picks
	agedAt           instant // time for which modelFlows and reportedFlows hold
	reportedFlows    float64 // open flows in the last report, less closed flows, plus own picks since
	reportedRequests float64 // running and queued requests in the last report, plus own retries since
	owned            bool    // this daemon owns the upstream and observes its answers
	reportedAt       instant // time of the last report
	reportWeight     float64 // weight of the reports relative to the model, 0 to 1
	picksBySecond    [pickBuckets]uint32
	newestSecond     int64   // second of the newest bucket
	totalPicks       float64 // own picks
	fit              modelFit
	health           health
}

// modelFit holds values of the last report and decayed sums over the report intervals, from
// which the pool derives gain and close rate.
type modelFit struct {
	picksAtReport float64 // total own picks at the last report
	flowsAtReport float64 // open flows in the last report
	flowChange    float64 // sum of the changes of the reported flows
	picks         float64 // sum of the own picks
	flowSeconds   float64 // integral of the reported flows over time
	logDeviation  float64 // logarithm of the ratio of reported flows to the model
}

// clearOldBuckets clears the buckets of the seconds since the newest bucket.
func (u *upstream) clearOldBuckets(now time.Time) {
	sec := now.Unix()
	if sec <= u.newestSecond {
		return
	}
	for s := max(u.newestSecond+1, sec-pickBuckets+1); s <= sec; s++ {
		u.picksBySecond[s%pickBuckets] = 0
	}
	u.newestSecond = sec
}

func (u *upstream) picksSince(at time.Time) float64 {
	sum := 0.0
	from := at.Unix()
	for s := u.newestSecond; s > u.newestSecond-pickBuckets && s >= from; s-- {
		n := float64(u.picksBySecond[s%pickBuckets])
		if s == from {
			n *= 1 - float64(at.Nanosecond())/1e9
		}
		sum += n
	}
	return sum
}

// countPick counts an own pick.
func (u *upstream) countPick(now time.Time, gain float64) {
	u.clearOldBuckets(now)
	u.picksBySecond[u.newestSecond%pickBuckets]++
	u.totalPicks++
	if u.remote {
		gain = 1
	}
	u.modelFlows += gain
	u.reportedFlows += gain
	u.health.picksSinceObservation++
}

// applyCloseRate reduces the model and the reported flows by the pool's close rate.
func (u *upstream) applyCloseRate(now time.Time, closeRate float64) {
	dt := u.agedAt.elapsed(now).Seconds()
	if dt <= 0 {
		return
	}
	openFraction := math.Exp(-closeRate * dt)
	u.modelFlows *= openFraction
	u.reportedFlows *= openFraction
	u.agedAt = toInstant(now)
}

// estimate returns the estimated number of open flows: a weighted combination of the model and
// the reported flows.
func (u *upstream) estimate() float64 {
	if !u.hasReport {
		return u.modelFlows
	}
	if u.remote || u.reportWeight >= 1 {
		return u.reportedFlows
	}
	return u.modelFlows * math.Pow((u.reportedFlows+1)/(u.modelFlows+1), u.reportWeight)
}

// score ranks candidates: the estimated flows per flow limit (or per slot), multiplied by the
// penalty for observed latency and failures. Smaller is better.
func (u *upstream) score(p *pool) float64 {
	return (u.estimate() + 1) / u.weight() * u.health.penalty(p.medianLatency)
}

func (u *upstream) weight() float64 {
	if u.FlowLimit > 0 {
		return float64(u.FlowLimit)
	}
	return float64(max(1, u.Slots))
}

// full reports whether both the estimate and the reported flows reach the flow limit. The owner
// decides by its exact count, so an error here costs only a hop.
func (u *upstream) full() bool {
	limit := float64(u.FlowLimit)
	if u.FlowLimit <= 0 || u.estimate() < limit {
		return false
	}
	return !u.hasReport || u.reportedFlows >= limit
}

// acceptProbability returns the probability with which the upstream accepts a sample, from its
// health state and its slow start.
func (u *upstream) acceptProbability(now time.Time) float64 {
	probability := u.health.acceptProbability()
	if age := now.Sub(u.Since); age < slowStartTime {
		probability *= math.Max(minSlowStartProbability, float64(age)/float64(slowStartTime))
	}
	return probability
}

func (p *pool) applyReport(u *upstream, now time.Time, r Report) {
	if r.At.After(now) {
		r.At = now // the owner's clock is ahead; the next report must not appear to be older
	}
	if u.hasReport && u.reportedAt.elapsed(r.At) <= 0 {
		return
	}
	u.setOwned(now, r.OwnedHere)
	u.clearOldBuckets(now)
	u.applyCloseRate(now, p.closeRate)
	reported := float64(max(0, r.Flows))
	age := math.Max(0, now.Sub(r.At).Seconds())
	gain := p.gain
	if u.remote {
		gain = 1
	}
	current := reported*math.Exp(-p.closeRate*age) + gain*u.picksSince(r.At)
	if u.hasReport && !u.remote {
		dt := u.reportedAt.elapsed(r.At).Seconds()
		u.fit.addInterval(reported, u.totalPicks-u.picksSince(r.At), dt)
		u.updateReportWeight(p, current, dt)
	} else {
		u.modelFlows = current
		u.reportWeight = 1
		u.fit = modelFit{flowsAtReport: reported, picksAtReport: u.totalPicks - u.picksSince(r.At)}
	}
	u.reportedFlows = current
	u.reportedRequests = float64(max(0, r.Running) + max(0, r.Queued))
	u.reportedHealthy = r.Healthy
	u.reportedAt = toInstant(r.At)
	u.hasReport = true
}

func (f *modelFit) addInterval(flows, ownPicks, dt float64) {
	f.flowChange = fitDecay*f.flowChange + flows - f.flowsAtReport
	f.picks = fitDecay*f.picks + max(0, ownPicks-f.picksAtReport)
	f.flowSeconds = fitDecay*f.flowSeconds + dt*(flows+f.flowsAtReport)/2
	f.flowsAtReport = flows
	f.picksAtReport = max(f.picksAtReport, ownPicks)
}

// updateReportWeight compares a report with the model and adapts the model to it. The deviation
// is divided by the tolerance plus the model's sampling error, which comes from the number of
// own picks. The error common to all upstreams (of gain or close rate) is subtracted first,
// because it affects no choice.
func (u *upstream) updateReportWeight(p *pool, current, dt float64) {
	u.fit.logDeviation = math.Log((current + p.gain) / (u.modelFlows + p.gain))
	tolerance := modelTolerance + 2*math.Sqrt(p.gain/(u.modelFlows+p.gain))
	z := (u.fit.logDeviation - p.modelBias) / tolerance
	weight := math.Exp(-z * z)
	u.reportWeight += 0.3 * (weight - u.reportWeight)
	adaptation := u.reportWeight * math.Min(1, dt/modelAdaptSeconds)
	u.modelFlows += adaptation * (current - u.modelFlows)
}

// fitModel derives the gain, the close rate and the common error of the models as medians over
// the upstreams, so that a minority of wrong reports has no influence.
func (p *pool) fitModel(now time.Time) {
	p.gain = math.Max(p.table.daemonCount, p.medianOf(func(u *upstream) (float64, bool) {
		return u.fit.flowChange / u.fit.picks, !u.remote && u.fit.picks >= minFitPicks
	}))
	p.closeRate = math.Max(0, p.medianOf(func(u *upstream) (float64, bool) {
		return (p.gain*u.fit.picks - u.fit.flowChange) / u.fit.flowSeconds, !u.remote && u.fit.picks >= minFitPicks && u.fit.flowSeconds > 0
	}))
	p.modelBias = p.medianOf(func(u *upstream) (float64, bool) { return u.fit.logDeviation, u.hasReport && !u.remote })
	correction := math.Exp(biasCorrection * p.modelBias)
	for i := range p.upstreams {
		u := &p.upstreams[i]
		u.applyCloseRate(now, p.closeRate)
		if u.hasReport && !u.remote {
			u.modelFlows *= correction
			u.fit.logDeviation -= biasCorrection * p.modelBias
		}
	}
	p.modelBias *= 1 - biasCorrection
}

// medianOf returns the median of a figure over the upstreams that have it, or 0 if none has.
func (p *pool) medianOf(figure func(u *upstream) (float64, bool)) float64 {
	p.scratch = p.scratch[:0]
	for i := range p.upstreams {
		if x, ok := figure(&p.upstreams[i]); ok {
			p.scratch = append(p.scratch, x)
		}
	}
	return median(p.scratch)
}

// median sorts xs in place and returns its median, or 0 if xs is empty.
func median(xs []float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	slices.Sort(xs)
	return xs[len(xs)/2]
}
