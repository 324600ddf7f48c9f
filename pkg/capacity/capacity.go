// Package capacity measures how the cost of each role grows with the size of a fleet. Its tests
// measure only with the flag -capacity. docs/CAPACITY.md derives the cost at the target of the
// design page from the lines that they print.
package capacity

import (
	"math"
	"runtime"
	"slices"
	"syscall"
)

// Target size of a fleet (section 1.4 of the design page).
const (
	TargetDaemons              = 18_000
	TargetDataCentres          = 28
	TargetDaemonsPerDataCentre = 640
	TargetUpstreams            = 110_000
	TargetServices             = 24_000
	TargetFlowsPerDaemon       = 7_200 // open flows
)

// Runs is the number of runs whose median a measurement reports.
const Runs = 3

// Line is a fitted line y = Intercept + Slope x.
type Line struct {
	Intercept, Slope float64
	MaxResidual      float64 // largest distance of a point from the line, relative to the largest y
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
	var line Line
	line.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	line.Intercept = (sy - line.Slope*sx) / n
	for i := range x {
		line.MaxResidual = max(line.MaxResidual, math.Abs(y[i]-line.At(x[i]))/max(largest, math.SmallestNonzeroFloat64))
	}
	return line
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Median calls measure Runs times and returns the median of the results.
func Median(measure func() float64) float64 {
	var results []float64
	for range Runs {
		results = append(results, measure())
	}
	slices.Sort(results)
	return results[len(results)/2]
}

// ProcessorTime returns the mean processor time in nanoseconds of one call of f, including garbage
// collection. Other processes on the machine affect it less than elapsed time. It runs on one
// processor, because the collector would use idle processors for work that a busy daemon does not
// do.
func ProcessorTime(calls int, f func(i int)) float64 {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	runtime.GC()
	before := processorTimeUsed()
	for i := range calls {
		f(i)
	}
	return (processorTimeUsed() - before) / float64(calls)
}

// processorTimeUsed returns the processor time of this process in nanoseconds.
func processorTimeUsed() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return math.NaN()
	}
	return float64(u.Utime.Nano() + u.Stime.Nano())
}

// AllocatedBytes returns the mean number of bytes that one call of f allocates.
func AllocatedBytes(calls int, f func(i int)) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range calls {
		f(i)
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / float64(calls)
}

// LiveBytes returns the bytes of live heap that the value returned by f holds.
func LiveBytes(f func() any) float64 {
	before := liveHeapBytes()
	value := f()
	after := liveHeapBytes()
	runtime.KeepAlive(value)
	return after - before
}

// liveHeapBytes collects garbage and returns the size of the live heap.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
