package dispatch

import "math"

const (
	// firstProbe is the number of successes at the limit before one more slot is tried.
	firstProbe = 512
	// probeGrowth multiplies that number after a trial that failed, up to maxProbe. Useless
	// slots take over 1000 completions to notice, so trials have to become rare.
	probeGrowth = 4
	maxProbe    = 1 << 16
	// provenAfter is the number of successes after which a raised limit counts as right.
	provenAfter = 4096
	// significance is the distance, in standard errors, of two throughputs from the ratio
	// that a useful slot gives. The comparison repeats with every completion.
	significance = 4.2
	// levelMemory is the number of completions after which older ones lose weight.
	levelMemory = 1600
	// usefulGain is the throughput ratio of two concurrencies, the larger at least 1.5
	// times the smaller, below which the additional slots only stretch service times.
	usefulGain = 1.11
	// maxLevels bounds the concurrencies whose service times are kept.
	maxLevels = 64
)

// limiter adapts the concurrency to what the upstream really runs in parallel.
type limiter struct {
	declared  int
	effective int
	successes int // at the limit, since the last change
	probe     int // successes needed before the next raise
	raised    bool
	levels    []level // by concurrency
}

// level is the throughput observed at one concurrency. Completions are weighted with the
// mean service time of their class.
type level struct {
	work   float64 // nanoseconds
	square float64 // sum of the squared weights
	time   float64 // nanoseconds
}

// samples returns the number of equal completions with the same statistical error.
func (v *level) samples() float64 {
	if v.square == 0 {
		return 0
	}
	return v.work * v.work / v.square
}

func (v *level) rate() float64 { return v.work / v.time }

func (v *level) add(work float64) {
	v.work += work
	v.square += work * work
	if v.samples() < levelMemory {
		return
	}
	v.work /= 2
	v.square /= 2
	v.time /= 2
}

func newLimiter(declared int) limiter {
	declared = max(1, declared)
	return limiter{
		declared:  declared,
		effective: declared,
		probe:     firstProbe,
		levels:    make([]level, min(declared, maxLevels)+1),
	}
}

func (l *limiter) slots() int { return l.effective }

// declare changes the declared slots and starts again from them.
func (l *limiter) declare(n int) {
	if max(1, n) != l.declared {
		*l = newLimiter(n)
	}
}

// shed lowers the limit below the concurrency at which the upstream declined a request.
func (l *limiter) shed(running int) {
	if running > l.effective {
		return // dispatched before the limit was lowered
	}
	l.lower(running - 1)
}

func (l *limiter) lower(to int) {
	if l.raised {
		l.probe = min(probeGrowth*l.probe, maxProbe)
	}
	l.raised = false
	l.successes = 0
	l.effective = max(1, min(to, l.effective))
}

// success counts an answer. Only answers at the limit show that the upstream bears it.
func (l *limiter) success(running int) {
	if running < l.effective {
		return
	}
	l.successes++
	if l.raised && l.successes >= provenAfter {
		l.raised = false
		l.probe = firstProbe
	}
	if l.successes < l.probe || l.effective >= l.declared {
		return
	}
	l.successes = 0
	l.effective++
	l.raised = true
	if l.effective < len(l.levels) {
		l.levels[l.effective] = level{}
	}
}

// samplesNeeded returns the completions at each of two concurrencies from which their
// throughputs tell a useful slot from a useless one.
func samplesNeeded(top, base int) float64 {
	useful := math.Log(float64(top) / float64(base) / usefulGain)
	return 2 * math.Pow(significance/useful, 2)
}

// spend counts time at a concurrency.
func (l *limiter) spend(running int, dt float64) {
	if running > 0 && running < len(l.levels) {
		l.levels[running].time += dt
	}
}

// completed counts a completion at a concurrency, and lowers the limit when the last slots
// add no throughput: then the upstream declared more slots than it has, and the requests
// in them only stretch the service times. Rates per concurrency are compared, because the
// service time of a request depends on the concurrency it happens to meet.
func (l *limiter) completed(running int, work float64) {
	if running < 1 || running >= len(l.levels) {
		return
	}
	v := &l.levels[running]
	v.add(work)
	top := l.effective
	if running != top || top < 2 {
		return
	}
	half := (top + 1) / 2
	base := &l.levels[half]
	if min(v.samples(), base.samples()) < samplesNeeded(top, half) {
		return
	}
	if v.rate() < usefulGain*base.rate() {
		*v = level{}
		l.lower(top - 1)
	}
}
