package dispatch

import (
	"math"
	"time"
)

const (
	// serviceWeight is the weight of a new sample in the mean service time.
	serviceWeight = 1.0 / 32
	// weightSamples is the memory of the long-term mean service time. The short mean is no
	// weight for throughput: it is high just when the concurrency has been high.
	weightSamples = 2048
	// activeWindow is how long slots stay reserved for a class after its last request.
	activeWindow = 30 * time.Second
	// classifyEvery is the interval at which reservations follow the observed load.
	classifyEvery = 50 * time.Millisecond
	// useWeight is the weight of one classifyEvery interval in a class's mean slot use.
	useWeight = 0.05
	// longFactor is the ratio of mean service times from which a class counts as long
	// for a more urgent class: below it waiting for a running request costs little.
	longFactor = 4
	// reservedLoad is the load up to which slots without long requests serve the others
	// almost undelayed: at 0.35 the 99th percentile of the response time of an M/M/1 slot
	// is about 1.5 times that of an idle one.
	reservedLoad = 0.35
	// usualHeadroom is the allowance for long requests relative to their usual slot use.
	usualHeadroom = 1.4
	// firstUsual is the part of the slots assumed as usual before any observation.
	firstUsual = 0.8
	// usualFall and usualRise are the time constants of the usual slot use of long
	// requests. It rises slowly so that a flood does not become usual.
	usualFall = time.Minute
	usualRise = 10 * time.Minute
	// allowanceBurst is the number of long requests that may exceed the allowance.
	allowanceBurst = 4
	// guaranteeDelay is how long a class waits, in longest mean service times, until its
	// guarantee goes before priority. With 1 the requests that queued up behind one long
	// request became owed before it ended, and the p99 of the most urgent class under a
	// flood of the least urgent one was 1.37 instead of 1.15 times that without.
	guaranteeDelay = 2
	// floodRefused is the refused part of a class from which it counts as flooded. A short
	// burst stays below it: with 0 the guarantees took slots from bursts of urgent classes
	// at the onset of a flood of the least urgent one.
	floodRefused = 0.5
	// maxOwed bounds what a class may be owed, in longest mean service times. With 2
	// classes of equal service times lost 6% of their share when several were owed at once.
	maxOwed = 16
	// idleServiceProbe is the age of the last service time after which a request that
	// would miss its deadline by the estimate runs anyway and corrects the estimate.
	idleServiceProbe = time.Second
)

const noDeadline = math.MaxInt64

// tierUse is the use of the slots by the classes of a tier and those above it.
type tierUse struct {
	running int
	share   float64
}

// class is the state of one request class. Times are scheduler times in nanoseconds.
type class struct {
	Class
	queue       fifo
	minDeadline int64   // lower bound of the deadlines in the queue
	running     int     // dispatched requests
	credit      float64 // slot-nanoseconds of guaranteed service not yet received
	service     float64 // mean service time; 0 until observed
	spread      float64 // mean absolute deviation of the service time
	weight      float64 // long-term mean service time, see limiter.completed
	samples     int     // in weight, up to weightSamples
	observedAt  int64   // time of the last service time sample or probe
	arrivedAt   int64   // time of the last request
	arrived     bool
	refused     float64 // part of the latest requests refused for lack of capacity
	patience    float64 // part of the guarantee delay that applies
	use         float64 // mean number of occupied slots
	busy        float64 // slot-nanoseconds since the last classify
	tier        int     // number of reservations that apply to the class
}

func newClass(c Class) class {
	return class{Class: c, queue: fifo{head: none, tail: none}, minDeadline: noDeadline, patience: 1}
}

func (c *class) active(now int64) bool {
	return c.arrived && (c.queue.n > 0 || c.running > 0 || now-c.arrivedAt < int64(activeWindow))
}

// stale reports whether the mean service time is so old that one request may run against
// it. Without this an estimate from a slow period would refuse everything for ever.
func (c *class) stale(now int64) bool {
	return float64(now-c.observedAt) > math.Max(float64(idleServiceProbe), 4*c.service)
}

func (c *class) observe(now int64, d float64) {
	if c.service == 0 {
		c.service = d
	} else {
		c.spread += serviceWeight * (math.Abs(d-c.service) - c.spread)
		c.service += serviceWeight * (d - c.service)
	}
	c.samples = min(c.samples+1, weightSamples)
	c.weight += (d - c.weight) / float64(c.samples)
	c.observedAt = now
}

// accrue adds the guarantee for an interval during which requests of the class waited.
// The bounds keep an unused guarantee from piling up, and use of spare capacity from
// counting against the class later. What is owed outlives a short gap in the queue: a
// class with short requests would otherwise start its wait anew after each.
func (c *class) accrue(dt, slots, longest float64) {
	c.busy += float64(c.running) * dt
	rate := c.Share * slots
	if c.queue.n == 0 {
		c.rest(dt, rate, longest)
		return
	}
	top := c.service + guaranteeDelay*rate*longest + maxOwed*longest
	c.credit = math.Max(-c.service, math.Min(top, c.credit+rate*dt))
}

// rest repays or forgets credit while no request of the class waits.
func (c *class) rest(dt, rate, longest float64) {
	if c.credit < 0 {
		c.credit = math.Min(0, c.credit+rate*dt)
		return
	}
	c.credit -= c.credit * math.Min(1, dt/math.Max(longest, 1))
}

// overdue returns for how long (nanoseconds) the class has been owed the service time of
// one request. It is negative when nothing is owed and during the guarantee delay. Below a
// class that floods there is no delay, and a request may run as soon as nothing is owed the
// other way: waiting for the credit of a whole request left the slots of 150 ms requests to
// the flood for its first 200 ms.
func (c *class) overdue(slots, longest float64) float64 {
	rate := c.Share * slots
	if rate <= 0 {
		return -1
	}
	return (c.credit-c.patience*c.service)/rate - c.patience*guaranteeDelay*longest
}

// idle reports whether time changes nothing about the class.
func (c *class) idle() bool {
	return c.credit == 0 && c.queue.n == 0 && c.running == 0
}
