package selection

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarygate/pkg/ident"
)

const (
	svc  = ident.ServiceID(1)
	home = ident.DataCentreID(1)
	away = ident.DataCentreID(2)
)

var start = time.Unix(1000, 0)

func candidates(n int, dc ident.DataCentreID, limit int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{
			Upstream: ident.UpstreamID(uint64(dc)*10000 + uint64(i)), Incarnation: 1, DataCentre: dc,
			FlowLimit: limit, Slots: 2, Since: start.Add(-time.Hour),
		}
	}
	return out
}

func newTable(c []Candidate) *Table {
	t := NewTable(home, rand.New(rand.NewPCG(1, 2)))
	t.Set(start, svc, c)
	return t
}

// count picks n flows, spread over a second, and returns how many each upstream got.
func count(t *testing.T, table *Table, now time.Time, n int) map[ident.UpstreamID]int {
	got := make(map[ident.UpstreamID]int)
	for i := range n {
		c, err := table.Pick(now.Add(time.Duration(i)*time.Second/time.Duration(n)), svc, nil)
		assert.NilError(t, err)
		got[c.Upstream]++
	}
	return got
}

// TestEvenWithoutReports guards the agreement with round robin when nothing is known.
func TestEvenWithoutReports(t *testing.T) {
	table := newTable(candidates(10, home, 1000))
	for id, n := range count(t, table, start, 5000) {
		assert.Check(t, n > 480 && n < 520, "%v got %d of 5000 flows", id, n)
	}
}

// TestErrors guards the typed reasons and their remedies.
func TestErrors(t *testing.T) {
	table := NewTable(home, rand.New(rand.NewPCG(1, 2)))
	want := func(r Reason, tried []ident.UpstreamID) {
		t.Helper()
		_, err := table.Pick(start, svc, tried)
		var typed *Error
		assert.Assert(t, errors.As(err, &typed))
		assert.Equal(t, typed.Reason, r)
		assert.Assert(t, r.Remedy() != "")
	}
	want(ReasonNoUpstream, nil)
	c := candidates(2, home, 1)
	table.Set(start, svc, c)
	want(ReasonAllTried, []ident.UpstreamID{c[0].Upstream, c[1].Upstream})
	count(t, table, start, 2)
	want(ReasonFull, nil)
	c[0].Draining, c[1].Draining = true, true
	table.Set(start, svc, c)
	want(ReasonNoUpstream, nil)
}

// TestLocalFirst guards spill-over: none while the local data centre has room, all of the
// rest when it is full.
func TestLocalFirst(t *testing.T) {
	table := newTable(append(candidates(2, home, 100), candidates(2, away, 100)...))
	for id := range count(t, table, start, 100) {
		assert.Assert(t, id < 20000, "flow left the data centre at half load")
	}
	remote := 0
	for id, n := range count(t, table, start.Add(time.Second), 200) {
		if id >= 20000 {
			remote += n
		}
	}
	assert.Equal(t, remote, 100)
}

// TestEjection guards the bounds of ejection: a failing upstream gets no flows, is probed
// later, and when all fail at most half of the service is ejected.
func TestEjection(t *testing.T) {
	c := candidates(6, home, 100000)
	table := newTable(c)
	fail := func(id ident.UpstreamID, now time.Time) {
		for range failuresInRow {
			table.Observe(now, svc, id, false, 0)
		}
	}
	fail(c[0].Upstream, start)
	now := start.Add(refreshEvery)
	assert.Equal(t, count(t, table, now, 500)[c[0].Upstream], 0)
	later := start.Add(ejectTime + time.Second)
	probed := count(t, table, later, 2000)[c[0].Upstream]
	assert.Assert(t, probed > 0 && probed < 100, "probed with %d of 2000 flows", probed)
	for range probeSuccesses {
		table.Observe(later.Add(time.Second), svc, c[0].Upstream, true, time.Millisecond)
	}
	assert.Assert(t, count(t, table, later.Add(2*time.Second), 600)[c[0].Upstream] > 60)
	for _, u := range c {
		fail(u.Upstream, later.Add(4*time.Second))
	}
	assert.Equal(t, len(count(t, table, later.Add(5*time.Second), 3000)), 3)
}

// TestUnhealthyReport guards the weight of own observations over reported health.
func TestUnhealthyReport(t *testing.T) {
	c := candidates(4, home, 100000)
	table := newTable(c)
	for i, u := range c {
		table.Report(start, svc, Report{Upstream: u.Upstream, Healthy: i > 1, At: start})
	}
	now := start.Add(time.Second)
	for range 2 * minSamples {
		table.Observe(now, svc, c[0].Upstream, true, time.Millisecond)
	}
	got := count(t, table, now, 400)
	assert.Assert(t, got[c[0].Upstream] > 50, "answers outweigh the report")
	assert.Equal(t, got[c[1].Upstream], 0)
}

// TestRetryFollowsQueues guards requests refused by a small data centre against using up
// their attempts there while another one has free slots, and against leaving it when the
// queues are alike.
func TestRetryFollowsQueues(t *testing.T) {
	c := append(candidates(3, home, 1000), candidates(3, away, 1000)...)
	left := func(localQueue int) int {
		table := newTable(c)
		n := 0
		for i := range 600 {
			for j, u := range c {
				r := Report{Upstream: u.Upstream, Flows: 500, Running: 2, Healthy: true, At: start.Add(time.Duration(i) * time.Second)}
				if j < 3 {
					r.Queued = localQueue
				}
				table.Report(r.At, svc, r)
			}
			got, err := table.PickRetry(start.Add(time.Duration(i)*time.Second), svc, []ident.UpstreamID{c[0].Upstream})
			assert.NilError(t, err)
			assert.Assert(t, got.Upstream != c[0].Upstream)
			if got.DataCentre == away {
				n++
			}
		}
		return n
	}
	assert.Assert(t, left(20) > 400, "%d of 600 retries left a data centre with 20 queued requests an upstream", left(20))
	assert.Assert(t, left(0) < 60, "%d of 600 retries left a data centre without a queue", left(0))
}

// TestSlowStart guards a cold upstream against all new flows of the service.
func TestSlowStart(t *testing.T) {
	c := candidates(10, home, 10000)
	c[0].Since = start
	table := newTable(c)
	for _, u := range c[1:] {
		table.Report(start, svc, Report{Upstream: u.Upstream, Flows: 1000, Healthy: true, At: start})
	}
	cold := count(t, table, start, 1000)[c[0].Upstream]
	assert.Assert(t, cold > 0 && cold < 100, "cold upstream got %d of 1000 flows", cold)
	warm := count(t, table, start.Add(rampTime), 1000)[c[0].Upstream]
	assert.Assert(t, warm > 150, "warm and empty upstream got %d of 1000 flows", warm)
}

// TestRandomEvents guards the invariants of a pick under any order of events: only known
// upstreams with room that are not draining and were not tried; an error only when there
// is none; ejections never above half.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "upstreams")
		c := append(candidates(n, home, 20), candidates(rapid.IntRange(0, 3).Draw(t, "remote"), away, 20)...)
		table := NewTable(home, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		table.Set(start, svc, c)
		now := start
		any := func() int { return rapid.IntRange(0, len(c)-1).Draw(t, "upstream") }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"report": func(t *rapid.T) {
				table.Report(now, svc, Report{
					Upstream: c[any()].Upstream, Flows: rapid.IntRange(-5, 30).Draw(t, "flows"),
					Healthy: rapid.Bool().Draw(t, "healthy"), At: now.Add(-time.Duration(rapid.IntRange(-1, 10).Draw(t, "age")) * time.Second),
				})
			},
			"observe": func(t *rapid.T) {
				table.Observe(now, svc, c[any()].Upstream, rapid.Bool().Draw(t, "ok"), time.Millisecond)
			},
			"drain": func(t *rapid.T) {
				i := any()
				c[i].Draining = !c[i].Draining
				table.Set(now, svc, c)
			},
			"pick": func(t *rapid.T) {
				tried := []ident.UpstreamID{c[any()].Upstream}
				got, err := table.Pick(now, svc, tried)
				p := table.services[svc]
				if err != nil {
					for i := range p.upstreams {
						u := &p.upstreams[i]
						if !u.Draining && !u.full() && u.Upstream != tried[0] {
							t.Fatalf("upstream %d has room but Pick failed: %v", u.Upstream, err)
						}
					}
					return
				}
				u := p.find(got.Upstream)
				if u == nil || u.Draining || got.Upstream == tried[0] {
					t.Fatalf("picked %+v", got)
				}
			},
			"": func(t *rapid.T) {
				p := table.services[svc]
				out := 0
				for i := range p.upstreams {
					if p.upstreams[i].health.state != serving {
						out++
					}
				}
				if 2*out > len(p.upstreams) {
					t.Fatalf("%d of %d ejected", out, len(p.upstreams))
				}
			},
		})
	})
}

// Guards against ejecting upstreams of other owners: their answers do not pass this daemon,
// so after 16 opens each looked silent, and stayed excluded.
func TestOnlyTheOwnerTakesSilenceForAFault(t *testing.T) {
	for _, own := range []bool{false, true} {
		c := candidates(4, 1, 2000)
		table, now := newTable(c), start
		for range 200 {
			now = now.Add(100 * time.Millisecond)
			for i, u := range c {
				table.Report(now, svc, Report{Upstream: u.Upstream, Healthy: true, Own: own || i == 0, At: now})
			}
			table.Observe(now, svc, c[0].Upstream, true, time.Millisecond)
			_, err := table.Pick(now, svc, nil)
			assert.NilError(t, err)
		}
		serving := 0
		for _, u := range c {
			if table.Serves(svc, u.Upstream) {
				serving++
			}
		}
		assert.Equal(t, serving == len(c), !own, "%d of %d serve", serving, len(c))
	}
}
