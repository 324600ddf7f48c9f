package forward

import "time"

// Slowness of upstreams.
//
// Load pattern: some upstreams of a service turn slow. Their open flows stay, and a daemon that sees
// few of those flows would go on placing new ones there: one request in progress looks like one
// anywhere else. The time that an upstream takes for its answers, relative to the route's other
// answers, counts as additional load.

const (
	// slownessWeight is the weight of one answer in the average of an upstream: five answers tell.
	slownessWeight = 0.2
	// usualSlowness is the average up to which an upstream counts as usual. With exponential service
	// times the mean is 1.4 times the median, and an average of five answers varies by a third.
	usualSlowness = 2.5
	// maxSlowness bounds the additional load for each slot, so that slow upstreams still get flows when
	// the others are full.
	maxSlowness = 6.0
	// slownessMemory is the time after which an upstream without answers is tried again.
	slownessMemory = 5 * time.Second
)

// slowness is how long the answers of an upstream take, in typical answers of their routes.
type slowness struct {
	average float64
	at      time.Duration // latest answer
}

// answer takes the ratio of an answer's time and the typical one.
func (s *slowness) answer(now time.Duration, ratio float64) {
	if s.average == 0 {
		s.average = 1
	}
	s.average += slownessWeight * (ratio - s.average)
	s.at = now
}

// load returns what the slowness adds to the load of each slot.
func (s *slowness) load(now time.Duration) float64 {
	if s.average <= usualSlowness {
		return 0
	}
	return min(s.average-usualSlowness, maxSlowness) * remaining(now-s.at, slownessMemory)
}
