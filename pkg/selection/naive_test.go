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

// fleet is the truth about the upstreams of a service, all of which a Table was told.
type fleet struct {
	table *Table
	all   []Candidate
	room  []int // flows that an upstream can still take
	tried []ident.UpstreamID
	now   time.Time
}

func newFleet(t *rapid.T) *fleet {
	const limit = 100
	f := &fleet{now: start}
	n := rapid.IntRange(1, 10).Draw(t, "upstreams")
	f.all = candidates(n, home, limit)
	for i := range f.all {
		f.all[i].DataCentre = ident.DataCentreID(rapid.IntRange(1, 3).Draw(t, "data centre"))
		f.all[i].Draining = rapid.Bool().Draw(t, "draining")
	}
	f.table = NewTable(home, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
	f.table.Set(f.now, svc, f.all)
	for _, c := range f.all {
		flows := rapid.SampledFrom([]int{0, 10, 50, limit}).Draw(t, "flows")
		f.room = append(f.room, limit-flows)
		f.table.Report(f.now, svc, Report{Upstream: c.Upstream, Flows: flows, Healthy: true, At: f.now})
	}
	for _, c := range f.all {
		failing := rapid.Bool().Draw(t, "failing")
		for range 2 * minSamples {
			f.table.Observe(f.now, svc, c.Upstream, !failing, time.Millisecond)
		}
	}
	if rapid.Bool().Draw(t, "tried before") {
		f.tried = []ident.UpstreamID{f.all[rapid.IntRange(0, n-1).Draw(t, "tried")].Upstream}
	}
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms since the failures")) * time.Millisecond)
	return f
}

// eligible returns the upstreams among which the naive chooser draws: those with room that
// are not ejected, or also the ejected ones if there are no others.
func (f *fleet) eligible() []int {
	var open, left []int
	p := f.table.services[svc]
	for i, c := range f.all {
		if c.Draining || f.room[i] <= 0 || slices.Contains(f.tried, c.Upstream) {
			continue
		}
		open = append(open, i)
		if p.find(c.Upstream).health.state != ejected {
			left = append(left, i)
		}
	}
	if len(left) > 0 {
		return left
	}
	return open
}

// TestChoosesAmongTheSame guards a Table against choosing what the naive chooser, which
// knows the truth, can not: a draining, full, tried or ejected upstream while another is
// eligible. It guards against an error while there is a choice and against ejecting all.
// Where one upstream is eligible both choose the same.
func TestChoosesAmongTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		rng := rand.New(rand.NewPCG(1, 1))
		pick := f.table.Pick
		if rapid.Bool().Draw(t, "retry of a request") {
			pick = f.table.PickRetry
		}
		for range 30 {
			f.table.services[svc].refreshIfDue(f.now) // as pick does, before its choice
			eligible := f.eligible()
			got, err := pick(f.now, svc, f.tried)
			if len(eligible) == 0 {
				assert.Assert(t, err != nil, "chose %d", got.Upstream)
				return
			}
			assert.NilError(t, err)
			want := eligible[naive.Choose(rng, len(eligible))]
			at := slices.IndexFunc(f.all, func(c Candidate) bool { return c.Upstream == got.Upstream })
			if len(eligible) == 1 {
				assert.Equal(t, at, want)
			}
			assert.Assert(t, slices.Contains(eligible, at), "chose %d, eligible are %v", at, eligible)
			assert.Assert(t, 2*f.table.services[svc].ejected <= len(f.all))
			if f.room[at]--; f.room[at] == 0 {
				return // the Table's own count is an estimate from here on
			}
		}
	})
}
