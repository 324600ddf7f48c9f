package selection

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/ident"
)

// Guards against a higher load on the upstreams of the local data centre than on those of near
// data centres, and against flows sent to other data centres when none is declared near.
func TestNearDataCentresShareFlows(t *testing.T) {
	const upstreams, picks = 6, 600
	for _, near := range []bool{false, true} {
		table := NewTable(1, rand.New(rand.NewPCG(1, 2)))
		if near {
			table.SetNear([]ident.DataCentreID{2})
		}
		now := time.Unix(1000, 0)
		var list []Candidate
		for i := range upstreams {
			list = append(list, Candidate{
				Upstream: ident.UpstreamID(i + 1), Incarnation: 1, DataCentre: ident.DataCentreID(1 + i%2), FlowLimit: 2000,
			})
		}
		table.Set(now, 1, list)
		local := 0
		for range picks {
			now = now.Add(time.Millisecond)
			c, err := table.Pick(now, 1, nil)
			assert.NilError(t, err)
			if c.DataCentre == 1 {
				local++
			}
		}
		if near {
			assert.Assert(t, local > picks*4/10 && local < picks*6/10, "%d of %d flows stayed", local, picks)
		} else {
			assert.Equal(t, local, picks)
		}
	}
}
