package capacity

import (
	"flag"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

var measure = flag.Bool("capacity", false, "measure slopes; takes minutes")

// series is one cost at several sizes.
type series struct {
	name   string
	sizes  []int
	target float64
	cost   func(size int) float64 // median over runs is taken by run
}

// run prints the values, the fitted line and its value at the target.
func (s series) run(t *testing.T) {
	t.Helper()
	var x, y []float64
	for _, size := range s.sizes {
		x = append(x, float64(size))
		y = append(y, Median(func() float64 { return s.cost(size) }))
	}
	l := Fit(x, y)
	t.Logf("%s | %v | %.0f | %.4g + %.4g n | %.1f%% | %.4g at %g", s.name, s.sizes, y, l.A, l.B, 100*l.Residual, l.At(s.target), s.target)
}

func skipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if !*measure {
		t.Skip("a measurement: run with -capacity")
	}
}

// Guards against a fit that reports another slope or hides a residual.
func TestFit(t *testing.T) {
	l := Fit([]float64{1, 2, 3}, []float64{5, 7, 9})
	assert.Assert(t, math.Abs(l.A-3) < 1e-9 && math.Abs(l.B-2) < 1e-9 && l.Residual < 1e-9)
	bent := Fit([]float64{1, 2, 3}, []float64{1, 4, 9})
	assert.Assert(t, bent.Residual > 0.05)
}
