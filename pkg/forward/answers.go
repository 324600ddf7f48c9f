package forward

import (
	"time"

	"rosemarygate/pkg/forward/requestcost"
)

const (
	// sizeQuantile is the estimated quantile of the answer size. It is high so that the estimate remains
	// the size of successes while nine of ten requests are rejected.
	sizeQuantile = 0.9
	// quantileStep is the relative step of a quantile estimate; it adapts within about 20 answers.
	quantileStep = 0.05
	// segmentBytes is the payload of a full packet. An answer that fills one has a body, whatever the
	// size of the route's other answers.
	segmentBytes = 1200
	// rejectionSizeRatio is the minimum ratio of a typical answer's size to a rejection's: a rejection
	// has a header but no body. Rejections are not recognised where successes are as short.
	rejectionSizeRatio = 3
)

// answerProfile describes the answers on one route. A daemon does not see the answers themselves, only
// when the caller acknowledges them and how many bytes.
type answerProfile struct {
	size quantileEstimate    // bytes of the first acknowledged part of an answer
	time quantileEstimate    // from the request to that acknowledgement, in nanoseconds
	fast quantileEstimate    // the same without a queue
	cost requestcost.Profile // the same at upstreams without other requests of this daemon
}

// recordSize records the size of an answer and reports whether the answer is a rejection.
func (p *answerProfile) recordSize(bytes uint32) bool {
	size := float64(bytes)
	p.size.add(size, sizeQuantile, quantileStep)
	return size*rejectionSizeRatio < min(p.size.value, segmentBytes)
}

// recordTime records the time of an answer that is not a rejection and returns its ratio to the median time.
func (p *answerProfile) recordTime(took time.Duration) float64 {
	if p.time.value == 0 {
		p.time.value = float64(took)
	}
	ratio := float64(took) / max(p.time.value, 1)
	p.time.add(float64(took), 0.5, quantileStep)
	return ratio
}

// quantileEstimate estimates a quantile of samples in constant space: each sample moves the value up or
// down by a small step, and the ratio of the two steps sets the quantile.
type quantileEstimate struct{ value float64 }

// add updates the estimate with a sample.
func (e *quantileEstimate) add(sample, quantile, relativeStep float64) {
	switch {
	case e.value == 0:
		e.value = sample
	case sample > e.value:
		e.value *= 1 + relativeStep*quantile
	default:
		e.value *= 1 - relativeStep*(1-quantile)
	}
}
