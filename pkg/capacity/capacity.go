// Package capacity measures how the cost of each role grows with the size of a fleet. Its tests
// run with the flag -capacity; docs/CAPACITY.md works out the target of the design page from the
// lines that they print.
package capacity

import (
	"math"
	"runtime"
	"slices"
	"syscall"
)

// The target of section 1.4 of the design page.
const (
	TargetDaemons     = 18_000
	TargetDataCentres = 28
	TargetPerCentre   = 640 // daemons of one data centre
	TargetUpstreams   = 110_000
	TargetServices    = 24_000
	TargetFlows       = 7_200 // open flows of one daemon
)

// Runs is the number of runs of which a measurement reports the median.
const Runs = 3

// Line is a fitted line y = A + B x.
type Line struct {
	A, B     float64
	Residual float64 // largest distance of a point from the line, as a part of the largest y
}

// Fit returns the least-squares line through the points.
func Fit(x, y []float64) Line {
	var sx, sy, sxx, sxy, largest float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
		largest = max(largest, math.Abs(y[i]))
	}
	n := float64(len(x))
	var l Line
	l.B = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	l.A = (sy - l.B*sx) / n
	for i := range x {
		l.Residual = max(l.Residual, math.Abs(y[i]-l.At(x[i]))/max(largest, math.SmallestNonzeroFloat64))
	}
	return l
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.A + l.B*x }

// Median returns the median of Runs results.
func Median(measure func() float64) float64 {
	var all []float64
	for range Runs {
		all = append(all, measure())
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// ProcessorTime returns the processor time in nanoseconds of one call of f, garbage collection
// included. Other processes on the machine affect it less than the time of day. The collector
// would use idle processors for work that a busy daemon does not do, so one is left to it.
func ProcessorTime(calls int, f func(i int)) float64 {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	runtime.GC()
	before := used()
	for i := range calls {
		f(i)
	}
	return (used() - before) / float64(calls)
}

func used() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return math.NaN()
	}
	return float64(u.Utime.Nano() + u.Stime.Nano())
}

// Allocated returns the bytes that one call of f allocates.
func Allocated(calls int, f func(i int)) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range calls {
		f(i)
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / float64(calls)
}

// Live returns the live heap in bytes that the value made by f keeps.
func Live(f func() any) float64 {
	before := live()
	kept := f()
	after := live()
	runtime.KeepAlive(kept)
	return after - before
}

func live() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
