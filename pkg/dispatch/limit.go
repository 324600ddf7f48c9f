package dispatch

import "math"

const (
	// firstProbe is the number of successes at the limit before one more slot is tried.
	firstProbe = 64
	// maxProbe bounds the number of successes between trials of one more slot.
	maxProbe = 4096
	// levelSamples is the number of service times needed at both compared concurrencies.
	// With a coefficient of variation of 1 the ratio of two means of 200 has an error of 10%.
	levelSamples = 200
	// growthTolerance is how close to proportional growth of the service time has to be
	// before a slot counts as useless: 0.9 means it adds less than about 11% throughput.
	growthTolerance = 0.9
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

// level is the mean service time at one concurrency, relative to the mean of the class.
type level struct {
	mean float64
	n    int
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

// observe records a service time relative to its class's mean at a mean concurrency, and
// lowers the limit when the last slots only stretch the service times.
func (l *limiter) observe(concurrency, relative float64) {
	at := int(math.Round(concurrency))
	if at < 1 || at >= len(l.levels) {
		return
	}
	v := &l.levels[at]
	v.n = min(v.n+1, 4*levelSamples)
	v.mean += (relative - v.mean) / float64(v.n)
	top := l.effective
	if at != top || top < 2 {
		return
	}
	base := (top + 1) / 2
	b := l.levels[base]
	if v.n < levelSamples || b.n < levelSamples {
		return
	}
	if v.mean/b.mean > growthTolerance*float64(top)/float64(base) {
		*v = level{}
		l.lower(top - 1)
	}
}
