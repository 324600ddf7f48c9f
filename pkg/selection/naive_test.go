package selection

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/naive"
)

// fleet holds the actual state of the upstreams of a service, all of which was reported to a
// Table.
type fleet struct {
	table      *Table
	candidates []Candidate
	room       []int // flows that each upstream can still accept
	tried      []ident.UpstreamID
	now        time.Time
}

func newFleet(t *rapid.T) *fleet {
	const limit = 100
	f := &fleet{now: testStart}
	n := rapid.IntRange(1, 10).Draw(t, "upstreams")
	f.candidates = newCandidates(n, localDC, limit)
	for i := range f.candidates {
		f.candidates[i].DataCentre = ident.DataCentreID(rapid.IntRange(1, 3).Draw(t, "data centre"))
		f.candidates[i].Draining = rapid.Bool().Draw(t, "draining")
	}
	f.table = NewTable(localDC, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
	f.table.Set(f.now, testService, f.candidates)
	for _, c := range f.candidates {
		flows := rapid.SampledFrom([]int{0, 10, 50, limit}).Draw(t, "flows")
		f.room = append(f.room, limit-flows)
		f.table.Report(f.now, testService, Report{Upstream: c.Upstream, Flows: flows, Healthy: true, At: f.now})
	}
	for _, c := range f.candidates {
		failing := rapid.Bool().Draw(t, "failing")
		for range 2 * minSamples {
			f.table.Observe(f.now, testService, c.Upstream, !failing, time.Millisecond)
		}
	}
	if rapid.Bool().Draw(t, "tried before") {
		f.tried = []ident.UpstreamID{f.candidates[rapid.IntRange(0, n-1).Draw(t, "tried")].Upstream}
	}
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms since the failures")) * time.Millisecond)
	return f
}

// eligibleIndexes returns the upstreams from which the naive chooser selects: those with room
// that are not ejected, or those with room if all of them are ejected.
func (f *fleet) eligibleIndexes() []int {
	var withRoom, notEjected []int
	p := f.table.services[testService]
	for i, c := range f.candidates {
		if c.Draining || f.room[i] <= 0 || slices.Contains(f.tried, c.Upstream) {
			continue
		}
		withRoom = append(withRoom, i)
		if p.find(c.Upstream).health.state != ejected {
			notEjected = append(notEjected, i)
		}
	}
	if len(notEjected) > 0 {
		return notEjected
	}
	return withRoom
}

// Guards against choosing an upstream that the naive chooser, which uses the actual state,
// cannot choose: a draining, full or tried one, or an ejected one while another is eligible.
// Also guards against an error while an upstream is eligible and against ejecting more than
// half. If one upstream is eligible, both choose it.
func TestChoosesAmongTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		rng := rand.New(rand.NewPCG(1, 1))
		pick := f.table.Pick
		if rapid.Bool().Draw(t, "retry of a request") {
			pick = f.table.PickRetry
		}
		for range 30 {
			f.table.services[testService].refreshIfDue(f.now) // as the pick does before its choice
			eligible := f.eligibleIndexes()
			got, err := pick(f.now, testService, f.tried)
			if len(eligible) == 0 {
				assert.Assert(t, err != nil, "chose %d", got.Upstream)
				return
			}
			assert.NilError(t, err)
			want := eligible[naive.RandomIndex(rng, len(eligible))]
			index := slices.IndexFunc(f.candidates, func(c Candidate) bool { return c.Upstream == got.Upstream })
			if len(eligible) == 1 {
				assert.Equal(t, index, want)
			}
			assert.Assert(t, slices.Contains(eligible, index), "chose %d, eligible are %v", index, eligible)
			assert.Assert(t, 2*f.table.services[testService].notServing <= len(f.candidates))
			if f.room[index]--; f.room[index] == 0 {
				return // the upstream is full, but the Table only has an estimate
			}
		}
	})
}
