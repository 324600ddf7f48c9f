package load

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/registration"
)

// Guards against lost and doubled requests in a flood, in a short run. The bounds on latency and
// goodput need the full duration and a machine that is not busy; the command rosemarygate load checks
// them.
func TestLiveFloodLosesAndDoublesNothing(t *testing.T) {
	if testing.Short() {
		t.Skip("runs a fleet")
	}
	r, err := Run(context.Background(), "live-flood-most-urgent", Options{Seed: 1, Duration: 8 * time.Second, Deployment: "guild"})
	assert.NilError(t, err)
	exactChecks := 0
	for _, c := range r.Checks {
		if c.Bound == 0 || strings.HasPrefix(c.Name, "requests") {
			exactChecks++
			assert.Check(t, c.OK, "%s is %g, bound %g", c.Name, c.Value, c.Bound)
		}
	}
	assert.Equal(t, exactChecks, 4)
	assert.Assert(t, len(r.Results) == 8 && r.Results[3].Classes[0].Refused > 1000, "%+v", r.Results)
}

// Guards against delayed load reports with other values than those of 5 seconds ago.
func TestDelayReportsOldLoads(t *testing.T) {
	d, start := newDelay(), time.Unix(1000, 0)
	for n := range 20 {
		at := start.Add(time.Duration(n) * time.Second)
		got := d.delayLoad(registration.Load{Upstream: 1, Flows: n, At: at})
		assert.Equal(t, got.Flows, max(0, n-5))
		assert.Equal(t, got.At, at)
	}
}
