package model

import (
	"fmt"
	"runtime"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

const seedCount = 10

// runSemaphore limits the runs at the same time to the number of processors.
var runSemaphore = make(chan struct{}, runtime.GOMAXPROCS(0))

// seedValues holds the values of one check over all seeds.
type seedValues struct {
	Check
	values      []float64
	withinBound int // number of runs within the bound
}

func (f *seedValues) mean() float64 {
	sum := 0.0
	for _, v := range f.values {
		sum += v
	}
	return sum / float64(len(f.values))
}

// runSeeds runs a scenario with every seed.
func runSeeds(s Scenario, d Deployment, p Policy) []seedValues {
	var checks [seedCount][]Check
	var wg sync.WaitGroup
	for seed := range seedCount {
		wg.Go(func() {
			runSemaphore <- struct{}{}
			_, checks[seed] = s.Run(d, p, uint64(seed))
			<-runSemaphore
		})
	}
	wg.Wait()
	out := make([]seedValues, len(checks[0]))
	for i, c := range checks[0] {
		out[i].Check = c
		for seed := range checks {
			v := checks[seed][i].Value
			out[i].values = append(out[i].values, v)
			if c.IsWithinBound(v) {
				out[i].withinBound++
			}
		}
	}
	return out
}

// TestScenarios checks the targets of section 1.5 of the design page with several seeds.
func TestScenarios(t *testing.T) {
	for _, s := range Scenarios() {
		for _, d := range []Deployment{Karri(), Guild()} {
			t.Run(s.Name+"/"+d.Name, func(t *testing.T) {
				t.Parallel()
				for _, f := range runSeeds(s, d, Ours) {
					if f.AppliesToMean {
						assert.Check(t, f.IsWithinBound(f.mean()), "mean of %s is %.4g, bound %.4g, by seed %.4g", f.Name, f.mean(), f.Bound, f.values)
						continue
					}
					assert.Check(t, f.withinBound == seedCount, "%s is %.4g by seed, bound %.4g", f.Name, f.values, f.Bound)
				}
			})
		}
	}
}

// TestRunIsDeterministic guards against runs that depend on map order or wall-clock time.
func TestRunIsDeterministic(t *testing.T) {
	s, ok := ScenarioByName("flood-least-urgent")
	assert.Assert(t, ok)
	_, a := s.Run(Guild(), Ours, 7)
	_, b := s.Run(Guild(), Ours, 7)
	assert.Equal(t, fmt.Sprint(a), fmt.Sprint(b))
}
