package model

import (
	"math"
	"time"
)

// Check is a value of a run with its bound.
type Check struct {
	Name          string
	Value         float64
	Bound         float64 // NaN for a value without a bound, which is only reported
	IsLowerBound  bool    // Bound is the smallest allowed value, not the largest
	AppliesToMean bool    // the bound applies to the mean over all seeds, as one run has too few requests
}

// IsWithinBound reports whether a value, of one run or the mean over all seeds, is within the bound.
func (c Check) IsWithinBound(value float64) bool {
	switch {
	case math.IsNaN(c.Bound):
		return true
	case c.IsLowerBound:
		return value >= c.Bound
	}
	return value <= c.Bound
}

func atMost(name string, value, bound float64) Check {
	return Check{Name: name, Value: value, Bound: bound}
}

func atLeast(name string, value, bound float64) Check {
	return Check{Name: name, Value: value, Bound: bound, IsLowerBound: true}
}

func withoutBound(name string, value float64) Check {
	return Check{Name: name, Value: value, Bound: math.NaN()}
}

// onMean returns the check with its bound applied to the mean over all seeds.
func onMean(c Check) Check {
	c.AppliesToMean = true
	return c
}

// latencyRatio returns a/b. It is infinite when one of them is 0 because no request was answered.
func latencyRatio(a, b time.Duration) float64 {
	if a <= 0 || b <= 0 {
		return math.Inf(1)
	}
	return float64(a) / float64(b)
}

// latencyValues returns the 99th percentile of the latency of each class, in milliseconds.
func (p *PhaseResult) latencyValues() []Check {
	var out []Check
	for i := range p.Classes {
		c := &p.Classes[i]
		out = append(out, withoutBound("p99 ms "+c.Class, float64(c.Quantile(99))/float64(time.Millisecond)))
	}
	return out
}
