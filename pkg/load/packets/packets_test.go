package packets

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against results that cannot be repeated: equal seeds must give equal runs.
func TestRunsRepeat(t *testing.T) {
	for _, p := range Patterns() {
		a, b := Run(Guild(), p, Ours, 7), Run(Guild(), p, Ours, 7)
		for i := range a.Phases {
			assert.Equal(t, a.Phases[i].InTime(), b.Phases[i].InTime())
			assert.Equal(t, a.Phases[i].Failed, b.Phases[i].Failed)
			assert.Equal(t, a.Phases[i].Refused, b.Phases[i].Refused)
		}
	}
}

// Guards against an experiment that loses requests: each is served or unserved.
func TestRequestsEndOnce(t *testing.T) {
	for _, p := range Patterns() {
		for _, placement := range append([]Placement{Ours}, p.Baselines...) {
			for _, phase := range Run(Karri(), p, placement, 3).Phases {
				assert.Equal(t, phase.Asked(), phase.Served()+phase.Urgent.Unserved+phase.Usual.Unserved)
			}
		}
	}
}

// Guards against upstreams without limits: under a burst the placement that refuses nothing is
// rejected by full upstreams, and requests that are served wait for their queues.
func TestBurstFillsUpstreams(t *testing.T) {
	p, ok := PatternByName("packets-burst")
	assert.Assert(t, ok)
	burst := Run(Guild(), p, Random, 1).Phase(Burst)
	assert.Assert(t, burst.Failed > burst.Asked()/4)
	assert.Assert(t, burst.Refused == 0)
}
