package forward

import "time"

// Slowness of upstreams.
//
// The number of requests in progress does not show that an upstream has become slow to a daemon that
// has only a few flows on it, so the daemon would continue to place new flows there. Therefore the
// answer time of an upstream, relative to the median of the route, counts as additional load.

const (
	// slownessWeight is the weight of one answer in the moving average of an upstream; it covers about five answers.
	slownessWeight = 0.2
	// normalSlowness is the average up to which an upstream has no penalty. With exponential service times
	// the mean is 1.4 times the median, and an average of five answers varies by a third.
	normalSlowness = 2.5
	// maxSlownessPenalty bounds the additional load per slot, so that slow upstreams still get flows when
	// the others are full.
	maxSlownessPenalty = 6.0
	// slownessDecayTime is the decay time constant of the penalty without answers, after which the upstream
	// gets new flows again.
	slownessDecayTime = 5 * time.Second
)

// slowness is the average answer time of an upstream, relative to the median of the routes.
type slowness struct {
	average    float64
	answeredAt time.Duration // time of the latest answer
}

// recordAnswer adds an answer, given the ratio of its time to the median time.
func (s *slowness) recordAnswer(now time.Duration, ratio float64) {
	if s.average == 0 {
		s.average = 1
	}
	s.average += slownessWeight * (ratio - s.average)
	s.answeredAt = now
}

// penalty returns the additional load per slot of a slow upstream.
func (s *slowness) penalty(now time.Duration) float64 {
	if s.average <= normalSlowness {
		return 0
	}
	return min(s.average-normalSlowness, maxSlownessPenalty) * decayFactor(now-s.answeredAt, slownessDecayTime)
}
