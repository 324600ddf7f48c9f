package model

import (
	"fmt"
	"runtime"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

const seeds = 10

var cores = make(chan struct{}, runtime.GOMAXPROCS(0))

// figure is one check over all seeds.
type figure struct {
	Check
	values []float64
	within int // runs within the bound
}

func (f *figure) mean() float64 {
	sum := 0.0
	for _, v := range f.values {
		sum += v
	}
	return sum / float64(len(f.values))
}

// measure runs a scenario with every seed.
func measure(s Scenario, d Deployment, p Policy) []figure {
	var checks [seeds][]Check
	var wg sync.WaitGroup
	for seed := range seeds {
		wg.Go(func() {
			cores <- struct{}{}
			_, checks[seed] = s.Run(d, p, uint64(seed))
			<-cores
		})
	}
	wg.Wait()
	out := make([]figure, len(checks[0]))
	for i, c := range checks[0] {
		out[i].Check = c
		for seed := range checks {
			v := checks[seed][i].Value
			out[i].values = append(out[i].values, v)
			if c.OK(v) {
				out[i].within++
			}
		}
	}
	return out
}

// TestScenarios guards the targets of section 1.5 over several seeds.
func TestScenarios(t *testing.T) {
	for _, s := range Scenarios() {
		for _, d := range []Deployment{Karri(), Guild()} {
			t.Run(s.Name+"/"+d.Name, func(t *testing.T) {
				t.Parallel()
				for _, f := range measure(s, d, Ours) {
					if f.OfMean {
						assert.Check(t, f.OK(f.mean()), "mean of %s is %.4g, bound %.4g, by seed %.4g", f.Name, f.mean(), f.Bound, f.values)
						continue
					}
					assert.Check(t, f.within == seeds, "%s is %.4g by seed, bound %.4g", f.Name, f.values, f.Bound)
				}
			})
		}
	}
}

// TestRunIsDeterministic guards against map order or wall-clock time leaking into a run.
func TestRunIsDeterministic(t *testing.T) {
	s, ok := ScenarioByName("flood-least-urgent")
	assert.Assert(t, ok)
	_, a := s.Run(Guild(), Ours, 7)
	_, b := s.Run(Guild(), Ours, 7)
	assert.Equal(t, fmt.Sprint(a), fmt.Sprint(b))
}
