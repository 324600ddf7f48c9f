package model

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

const seeds = 10

// TestScenarios guards the targets of section 1.5 over several seeds.
func TestScenarios(t *testing.T) {
	for _, s := range Scenarios() {
		for _, d := range []Deployment{Karri(), Guild()} {
			for seed := range uint64(seeds) {
				t.Run(fmt.Sprintf("%s/%s/%d", s.Name, d.Name, seed), func(t *testing.T) {
					t.Parallel()
					_, checks := s.Run(d, Ours, seed)
					for _, c := range checks {
						assert.Check(t, c.OK, "seed %d: %s is %.4g, bound %.4g", seed, c.Name, c.Value, c.Bound)
					}
				})
			}
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
