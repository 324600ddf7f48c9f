// Package requestcost learns what requests cost from the times of their answers, and how much of a request
// is left once it has run for a while. It does no I/O and reads no clock.
//
// Most requests of a route may be short and a few long. Which one a request is cannot be seen when it arrives,
// but a request that has run for longer than usual is probably a long one. The mean residual time of the
// distribution says how much it has left: it stays constant with exponential times, and grows with the age
// where times have a tail.
package requestcost

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecorded is the longest time that is distinguished, the longest timeout of a route.
	maxRecorded = time.Minute
	// windowAnswers is the number of answers after which the older of two windows is dropped. A tail of 3% has
	// 60 answers in a window then.
	windowAnswers = 2000
	// refreshAnswers is the number of answers between two computations of the residual times.
	refreshAnswers = 50
	// minAnswers is the number of answers from which an estimate counts; the mean of fewer varies by more than a tenth.
	minAnswers = 100
	// minTailAnswers is the number of answers older than an age from which the residual time at that age counts.
	minTailAnswers = 8
	// ageSteps residual times are kept, at ages of 0, 1/agesPerMean, 2/agesPerMean, ... of the mean time.
	ageSteps    = 32
	agesPerMean = 2
)

// Profile is the distribution of the time of the requests of one kind. The zero value is empty and takes
// no memory for histograms until the first answer.
type Profile struct {
	current, previous *hdrhistogram.Histogram // in units of 100 µs
	total             int                     // answers of both windows
	sinceRefresh      int
	mean              time.Duration
	longest           time.Duration
	residuals         [ageSteps]time.Duration
}

const unit = 100 * time.Microsecond

// newHistogram takes 2.2 KB; one significant digit bounds the error of a time at 6%.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxRecorded/unit), 1)
}

// Record adds the time of an answer.
func (p *Profile) Record(took time.Duration) {
	if p.current == nil {
		p.current = newHistogram()
	}
	if p.current.RecordValue(int64(min(max(took, unit), maxRecorded)/unit)) != nil {
		return // out of the range of the histogram
	}
	p.total++
	p.sinceRefresh++
	if p.sinceRefresh >= refreshAnswers && p.total >= minAnswers {
		p.refresh()
	}
	if p.current.TotalCount() >= windowAnswers {
		p.current, p.previous = p.previous, p.current
		if p.current != nil {
			p.current.Reset()
		}
		p.total = int(p.previous.TotalCount())
	}
}

// Known reports whether there are enough answers for an estimate.
func (p *Profile) Known() bool { return p.mean > 0 }

// Mean returns the mean time of a request, 0 if it is not known.
func (p *Profile) Mean() time.Duration { return p.mean }

// Remaining returns the expected remaining time of a request of an age. It is 0 if the distribution is not
// known, or if the age is twice that of any recorded request: its caller or its upstream is probably gone.
func (p *Profile) Remaining(age time.Duration) time.Duration {
	if p.mean == 0 || age > 2*p.longest {
		return 0
	}
	step := int(max(age, 0) * agesPerMean / p.mean)
	return p.residuals[min(step, ageSteps-1)]
}

func (p *Profile) refresh() {
	p.sinceRefresh = 0
	var times, counts []float64
	sum, n := 0.0, 0.0
	p.longest = 0
	for _, h := range [...]*hdrhistogram.Histogram{p.current, p.previous} {
		if h == nil {
			continue
		}
		for _, bar := range h.Distribution() {
			if bar.Count > 0 {
				t, count := float64(bar.From+bar.To)/2*float64(unit), float64(bar.Count)
				times, counts = append(times, t), append(counts, count)
				sum, n = sum+t*count, n+count
				p.longest = max(p.longest, time.Duration(t))
			}
		}
	}
	p.mean = time.Duration(sum / n)
	for step := range p.residuals {
		age := float64(step) * float64(p.mean) / agesPerMean
		left, older := 0.0, 0.0
		for i, t := range times {
			if t > age {
				left, older = left+(t-age)*counts[i], older+counts[i]
			}
		}
		switch {
		case step == 0:
			p.residuals[0] = p.mean
		case older < minTailAnswers:
			p.residuals[step] = p.residuals[step-1]
		default:
			// One standard error is subtracted, so that the chance of a few samples is not taken for a tail.
			p.residuals[step] = time.Duration(left / older * (1 - 1/math.Sqrt(older)))
		}
	}
}
