package forward

import "time"

const (
	// typicalQuantile is the quantile of an answer's size that is followed, so that the typical size
	// stays that of successes while nine of ten requests are rejected.
	typicalQuantile = 0.9
	// typicalStep is the relative step with which quantiles are followed: 20 answers tell.
	typicalStep = 0.05
	// segmentBytes is the payload of a full packet. An answer that fills one has a body, however long
	// other answers of the route are.
	segmentBytes = 1200
	// rejectionFraction is how many times smaller than a typical answer a rejection is: it has a
	// head but no body. Where successes are as short, rejections are not recognised.
	rejectionFraction = 3
)

// answerProfile is what a daemon knows of the answers on one route. It cannot read them: it sees when and
// how much of them the caller acknowledges.
type answerProfile struct {
	size quantile // bytes of the first acknowledged part
	time quantile // from a request to that acknowledgement, in nanoseconds
}

// rejection takes the size of an answer and reports whether the answer is a rejection.
func (s *answerProfile) rejection(bytes uint32) bool {
	size := float64(bytes)
	s.size.add(size, typicalQuantile, typicalStep)
	return size*rejectionFraction < min(s.size.value, segmentBytes)
}

// ratio takes the time of an answer that is no rejection and returns it in typical answers.
func (s *answerProfile) ratio(took time.Duration) float64 {
	if s.time.value == 0 {
		s.time.value = float64(took)
	}
	ratio := float64(took) / max(s.time.value, 1)
	s.time.add(float64(took), 0.5, typicalStep)
	return ratio
}

// quantile follows a quantile of samples in constant space: each sample moves it by a small step, up or
// down, in the ratio that holds it at the quantile.
type quantile struct{ value float64 }

// add takes a sample. q is the quantile and step the relative step.
func (s *quantile) add(sample, q, step float64) {
	switch {
	case s.value == 0:
		s.value = sample
	case sample > s.value:
		s.value *= 1 + step*q
	default:
		s.value *= 1 - step*(1-q)
	}
}
