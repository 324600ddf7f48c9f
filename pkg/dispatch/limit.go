package dispatch

const (
	// firstProbe is the number of successes at the limit before one more slot is tried.
	firstProbe = 64
	// maxProbe bounds the number of successes between trials of one more slot.
	maxProbe = 4096
	// levelSamples is the number of completions needed at both compared concurrencies. The
	// ratio of two rates from 400 completions each has an error of 7%.
	levelSamples = 400
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
		l.probe = min(2*l.probe, maxProbe)
	}
	l.raised = false
	l.successes = 0
	l.effective = max(1, min(to, l.effective))
}

// success counts an answer. Only answers at the limit show that the upstream bears it.
func (l *limiter) success(running int) {
	if running < l.effective || l.effective >= l.declared {
		return
	}
	l.successes++
	if l.successes < l.probe {
		return
	}
	l.successes = 0
	l.effective++
	l.raised = true
	if l.effective < len(l.levels) {
		l.levels[l.effective] = level{}
	}
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
	base := &l.levels[(top+1)/2]
	if v.samples() < levelSamples || base.samples() < levelSamples {
		return
	}
	if v.rate() < usefulGain*base.rate() {
		*v = level{}
		l.lower(top - 1)
	}
}
