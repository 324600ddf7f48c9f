package dispatch

import "math"

const (
	// initialProbeSuccesses is the number of successes at the limit before one more slot is tried.
	initialProbeSuccesses = 512
	// probeGrowth multiplies that number after a failed trial, up to maxProbeSuccesses. Useless
	// slots take over 1000 completions to detect, so trials must become rare.
	probeGrowth       = 4
	maxProbeSuccesses = 1 << 16
	// confirmSuccesses is the number of successes after which a raised limit is confirmed.
	confirmSuccesses = 4096
	// significanceStdErrors is the number of standard errors by which the throughput ratio must
	// differ from minThroughputGain. It is high because the comparison repeats with every
	// completion.
	significanceStdErrors = 4.2
	// levelDecaySamples is the number of completions after which the weight of earlier ones is halved.
	levelDecaySamples = 1600
	// minThroughputGain is the ratio of the throughputs of two concurrencies, the larger at least 1.5
	// times the smaller, below which the additional slots only lengthen service times.
	minThroughputGain = 1.11
	// maxLevels bounds the concurrencies for which the throughput is recorded.
	maxLevels = 64
)

// limiter adapts the effective slots to the concurrency that the upstream really supports.
type limiter struct {
	declared       int
	effective      int
	successes      int     // successes at the limit since its last change
	probeSuccesses int     // successes needed before the limit is raised again
	onTrial        bool    // the limit was raised and is not confirmed yet
	levels         []level // by concurrency
}

// level is the throughput observed at one concurrency. Completions are weighted with the
// mean service time of their class.
type level struct {
	work        float64 // sum of the weights, nanoseconds
	squaredWork float64 // sum of the squared weights
	time        float64 // time at this concurrency, nanoseconds
}

// samples returns the number of equally weighted completions with the same statistical error.
func (v *level) samples() float64 {
	if v.squaredWork == 0 {
		return 0
	}
	return v.work * v.work / v.squaredWork
}

func (v *level) rate() float64 { return v.work / v.time }

func (v *level) add(work float64) {
	v.work += work
	v.squaredWork += work * work
	if v.samples() < levelDecaySamples {
		return
	}
	v.work /= 2
	v.squaredWork /= 2
	v.time /= 2
}

func newLimiter(declared int) limiter {
	declared = max(1, declared)
	return limiter{
		declared:       declared,
		effective:      declared,
		probeSuccesses: initialProbeSuccesses,
		levels:         make([]level, min(declared, maxLevels)+1),
	}
}

func (l *limiter) slots() int { return l.effective }

// setDeclared changes the declared slots and resets the limit to them.
func (l *limiter) setDeclared(n int) {
	if max(1, n) != l.declared {
		*l = newLimiter(n)
	}
}

// recordShed lowers the limit below the concurrency at which the upstream rejected a request.
func (l *limiter) recordShed(running int) {
	if running > l.effective {
		return // dispatched before the limit was lowered
	}
	l.lower(running - 1)
}

func (l *limiter) lower(to int) {
	if l.onTrial {
		l.probeSuccesses = min(probeGrowth*l.probeSuccesses, maxProbeSuccesses)
	}
	l.onTrial = false
	l.successes = 0
	l.effective = max(1, min(to, l.effective))
}

// recordSuccess counts an answer. Only answers at the limit show that the upstream can run that many requests.
func (l *limiter) recordSuccess(running int) {
	if running < l.effective {
		return
	}
	l.successes++
	if l.onTrial && l.successes >= confirmSuccesses {
		l.onTrial = false
		l.probeSuccesses = initialProbeSuccesses
	}
	if l.successes < l.probeSuccesses || l.effective >= l.declared {
		return
	}
	l.successes = 0
	l.effective++
	l.onTrial = true
	if l.effective < len(l.levels) {
		l.levels[l.effective] = level{}
	}
}

// samplesNeeded returns the number of completions at each of two concurrencies that is needed
// to decide from their throughputs whether the additional slots are useful.
func samplesNeeded(top, base int) float64 {
	logRatio := math.Log(float64(top) / float64(base) / minThroughputGain)
	return 2 * math.Pow(significanceStdErrors/logRatio, 2)
}

// addTime adds time spent at a concurrency.
func (l *limiter) addTime(running int, dt float64) {
	if running > 0 && running < len(l.levels) {
		l.levels[running].time += dt
	}
}

// recordCompletion counts a completion at a concurrency, and lowers the limit when the last slots
// add no throughput. The upstream has then declared more slots than it has, and requests in
// them only lengthen the service times. Throughputs per concurrency are compared because the
// service time of a single request depends on the concurrency while it runs.
func (l *limiter) recordCompletion(running int, work float64) {
	if running < 1 || running >= len(l.levels) {
		return
	}
	topLevel := &l.levels[running]
	topLevel.add(work)
	effective := l.effective
	if running != effective || effective < 2 {
		return
	}
	half := (effective + 1) / 2
	halfLevel := &l.levels[half]
	if min(topLevel.samples(), halfLevel.samples()) < samplesNeeded(effective, half) {
		return
	}
	if topLevel.rate() < minThroughputGain*halfLevel.rate() {
		*topLevel = level{}
		l.lower(effective - 1)
	}
}
