package model

import (
	"math"
	"time"
)

// Check compares a measured value with its bound.
type Check struct {
	Name   string
	Value  float64
	Bound  float64 // NaN for a plain value, which is reported only
	Least  bool    // Bound is the smallest allowed value, otherwise the largest
	OfMean bool    // the bound holds for the mean over seeds: one run has too few requests
}

// OK reports whether the value, or the mean of it over seeds, is within the bound.
func (c Check) OK(value float64) bool {
	switch {
	case math.IsNaN(c.Bound):
		return true
	case c.Least:
		return value >= c.Bound
	}
	return value <= c.Bound
}

func atMost(name string, value, bound float64) Check {
	return Check{Name: name, Value: value, Bound: bound}
}

func atLeast(name string, value, bound float64) Check {
	return Check{Name: name, Value: value, Bound: bound, Least: true}
}

func plain(name string, value float64) Check {
	return Check{Name: name, Value: value, Bound: math.NaN()}
}

// ofMean turns a check of one run into one of the mean over seeds.
func ofMean(c Check) Check {
	c.OfMean = true
	return c
}

// ratio compares latencies. It is infinite when one is 0 because nothing was answered.
func ratio(a, b time.Duration) float64 {
	if a <= 0 || b <= 0 {
		return math.Inf(1)
	}
	return float64(a) / float64(b)
}

// latencyFigures returns the 99th percentile of the latency by class, in milliseconds.
func (p *PhaseResult) latencyFigures() []Check {
	var out []Check
	for i := range p.Classes {
		c := &p.Classes[i]
		out = append(out, plain("p99 ms "+c.Class, float64(c.Quantile(99))/float64(time.Millisecond)))
	}
	return out
}
