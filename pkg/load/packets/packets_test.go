package packets

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against results that cannot be reproduced: equal seeds must give equal runs.
func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	for _, p := range Patterns() {
		a, b := Run(Guild(), p, Ours, 7), Run(Guild(), p, Ours, 7)
		for i := range a.Phases {
			assert.Equal(t, a.Phases[i].ServedInTime(), b.Phases[i].ServedInTime())
			assert.Equal(t, a.Phases[i].RejectedAttempts, b.Phases[i].RejectedAttempts)
			assert.Equal(t, a.Phases[i].RefusedAttempts, b.Phases[i].RefusedAttempts)
		}
	}
}

// Guards against a simulation that loses requests: each request is either served or unserved.
func TestEveryRequestIsServedOrUnserved(t *testing.T) {
	for _, p := range Patterns() {
		for _, placement := range append([]Placement{Ours}, p.Baselines...) {
			for _, phase := range Run(Karri(), p, placement, 3).Phases {
				assert.Equal(t, phase.Offered(), phase.Served()+phase.Urgent.Unserved+phase.Usual.Unserved)
			}
		}
	}
}

// Guards against upstreams without limits: in a burst, full upstreams reject requests of a placement
// that refuses nothing.
func TestBurstFillsUpstreams(t *testing.T) {
	p, ok := PatternByName("packets-burst")
	assert.Assert(t, ok)
	burst := Run(Guild(), p, Random, 1).Phase(BurstPhase)
	assert.Assert(t, burst.RejectedAttempts > burst.Offered()/4)
	assert.Assert(t, burst.RefusedAttempts == 0)
}
