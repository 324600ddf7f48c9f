package dispatch

import (
	"math"
	"time"
)

const (
	// serviceTimeWeight is the weight of a new sample in the mean service time.
	serviceTimeWeight = 1.0 / 32
	// longTermSamples is the number of samples in the long-term mean service time. The short-term
	// mean is unsuitable as a weight for throughput, because it is high whenever the
	// concurrency has been high.
	longTermSamples = 2048
	// activeWindow is how long slots remain reserved for a class after its last request.
	activeWindow = 30 * time.Second
	// classifyInterval is the interval at which reservations are adapted to the observed load.
	classifyInterval = 50 * time.Millisecond
	// slotUseWeight is the weight of one classifyInterval in the mean slot use of a class.
	slotUseWeight = 0.05
	// longServiceRatio is the ratio of mean service times from which a class counts as long
	// relative to a more urgent class. Below it, waiting for a running request costs little.
	longServiceRatio = 4
	// reservedLoad is the load up to which slots without long requests serve the other requests
	// with almost no delay: at 0.35 the 99th percentile of the response time of an M/M/1 slot
	// is about 1.5 times that of an idle one.
	reservedLoad = 0.35
	// baselineHeadroom is the allowance for long requests relative to their baseline slot use.
	baselineHeadroom = 1.4
	// initialBaselineShare is the share of the slots that is the baseline before any observation.
	initialBaselineShare = 0.8
	// baselineFallTime and baselineRiseTime are the time constants of the baseline slot use of
	// long requests. It rises slowly so that a flood does not become the baseline.
	baselineFallTime = time.Minute
	baselineRiseTime = 10 * time.Minute
	// allowanceBurstRequests is the largest number of long requests by which the allowance may be exceeded.
	allowanceBurstRequests = 4
	// guaranteeDelay is how long a class waits, in longest mean service times, until its
	// guarantee takes precedence over priority. With 1, requests queued behind one long
	// request took precedence before it ended, and a flood of the least urgent class raised
	// the p99 of the most urgent one to 1.37 times its value without a flood, instead of 1.15.
	guaranteeDelay = 2
	// floodRefusedShare is the refused share from which a class counts as flooding. Short bursts
	// stay below it. With 0, guarantees took slots from bursts of urgent classes at the onset
	// of a flood of the least urgent one.
	floodRefusedShare = 0.5
	// maxGuaranteeCredit bounds the credit of a class, in longest mean service times. With 2, classes
	// of equal service times lost 6% of their share when several had credit at the same time.
	maxGuaranteeCredit = 16
	// serviceProbeAge is the age of the last service time sample after which a request runs even
	// if it is estimated to miss its deadline, so that the estimate is corrected.
	serviceProbeAge = time.Second
)

const noDeadline = math.MaxInt64

// tierUse is the slot use of the classes of a tier and of all higher tiers.
type tierUse struct {
	running int
	share   float64
}

// class is the state of one request class. Times are scheduler times in nanoseconds.
type class struct {
	Class
	queue                fifo
	minDeadline          int64   // lower bound of the deadlines in the queue
	running              int     // dispatched requests
	credit               float64 // slot-nanoseconds of guaranteed service not yet received
	meanService          float64 // short-term mean service time; 0 until observed
	serviceDeviation     float64 // mean absolute deviation of the service time
	longTermService      float64 // long-term mean service time, the weight in limiter.recordCompletion
	samples              int     // samples in longTermService, up to longTermSamples
	observedAt           int64   // time of the last service time sample or probe
	arrivedAt            int64   // time of the last request
	arrived              bool
	refusedShare         float64 // share of the latest requests that were refused for lack of capacity
	guaranteeDelayFactor float64 // share of the guarantee delay that applies, 0 to 1
	slotUse              float64 // mean number of occupied slots
	busyTime             float64 // slot-nanoseconds since the last classify
	tier                 int     // number of reservations that apply to the class
}

func newClass(c Class) class {
	return class{Class: c, queue: fifo{head: noItem, tail: noItem}, minDeadline: noDeadline, guaranteeDelayFactor: 1}
}

func (c *class) isActive(now int64) bool {
	return c.arrived && (c.queue.length > 0 || c.running > 0 || now-c.arrivedAt < int64(activeWindow))
}

// isEstimateStale reports whether the mean service time is so old that one request may run
// regardless of it. Otherwise an estimate from a slow period could refuse all requests forever.
func (c *class) isEstimateStale(now int64) bool {
	return float64(now-c.observedAt) > math.Max(float64(serviceProbeAge), 4*c.meanService)
}

func (c *class) recordServiceTime(now int64, took float64) {
	if c.meanService == 0 {
		c.meanService = took
	} else {
		c.serviceDeviation += serviceTimeWeight * (math.Abs(took-c.meanService) - c.serviceDeviation)
		c.meanService += serviceTimeWeight * (took - c.meanService)
	}
	c.samples = min(c.samples+1, longTermSamples)
	c.longTermService += (took - c.longTermService) / float64(c.samples)
	c.observedAt = now
}

// accrueCredit adds the guaranteed service for an interval during which requests of the class
// waited. The bounds keep unused guarantees from accumulating, and spare capacity that the class
// has used from counting against it later. Credit survives a short gap in the queue; otherwise a
// class with short requests would start its guarantee delay again after each gap.
func (c *class) accrueCredit(dt, slots, longestService float64) {
	c.busyTime += float64(c.running) * dt
	rate := c.Share * slots
	if c.queue.length == 0 {
		c.decayCredit(dt, rate, longestService)
		return
	}
	maxCredit := c.meanService + guaranteeDelay*rate*longestService + maxGuaranteeCredit*longestService
	c.credit = math.Max(-c.meanService, math.Min(maxCredit, c.credit+rate*dt))
}

// decayCredit moves the credit towards 0 while no request of the class waits.
func (c *class) decayCredit(dt, rate, longestService float64) {
	if c.credit < 0 {
		c.credit = math.Min(0, c.credit+rate*dt)
		return
	}
	c.credit -= c.credit * math.Min(1, dt/math.Max(longestService, 1))
}

// guaranteeLag returns for how many nanoseconds the class has had credit for one request beyond
// the guarantee delay; a negative value means that its guarantee does not apply yet. Classes less
// urgent than a flooding one have no delay and only need a credit of 0: while they needed credit
// for a whole request, the flood took the slots of 150 ms requests for its first 200 ms.
func (c *class) guaranteeLag(slots, longestService float64) float64 {
	rate := c.Share * slots
	if rate <= 0 {
		return -1
	}
	return (c.credit-c.guaranteeDelayFactor*c.meanService)/rate - c.guaranteeDelayFactor*guaranteeDelay*longestService
}

// isIdle reports whether the passing of time does not change the state of the class.
func (c *class) isIdle() bool {
	return c.credit == 0 && c.queue.length == 0 && c.running == 0
}
