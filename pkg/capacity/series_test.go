package capacity

import (
	"flag"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

var measureFlag = flag.Bool("capacity", false, "measure slopes; takes minutes")

// series measures one cost at several sizes.
type series struct {
	name   string
	sizes  []int
	target float64
	cost   func(size int) float64 // called Runs times for each size
}

// run prints the median costs, the fitted line and its value at the target.
func (s series) run(t *testing.T) {
	t.Helper()
	var x, y []float64
	for _, size := range s.sizes {
		x = append(x, float64(size))
		y = append(y, Median(func() float64 { return s.cost(size) }))
	}
	line := Fit(x, y)
	t.Logf("%s | %v | %.0f | %.4g + %.4g n | %.1f%% | %.4g at %g", s.name, s.sizes, y, line.Intercept, line.Slope, 100*line.MaxResidual, line.At(s.target), s.target)
}

func skipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if !*measureFlag {
		t.Skip("a measurement: run with -capacity")
	}
}

// TestFit guards against a fit with a wrong slope or without its residual.
func TestFit(t *testing.T) {
	line := Fit([]float64{1, 2, 3}, []float64{5, 7, 9})
	assert.Assert(t, math.Abs(line.Intercept-3) < 1e-9 && math.Abs(line.Slope-2) < 1e-9 && line.MaxResidual < 1e-9)
	curved := Fit([]float64{1, 2, 3}, []float64{1, 4, 9})
	assert.Assert(t, curved.MaxResidual > 0.05)
}
