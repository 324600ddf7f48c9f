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
	testService = ident.ServiceID(1)
	localDC     = ident.DataCentreID(1)
	remoteDC    = ident.DataCentreID(2)
)

var testStart = time.Unix(1000, 0)

func newCandidates(n int, dc ident.DataCentreID, limit int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{
			Upstream: ident.UpstreamID(uint64(dc)*10000 + uint64(i)), Incarnation: 1, DataCentre: dc,
			FlowLimit: limit, Slots: 2, Since: testStart.Add(-time.Hour),
		}
	}
	return out
}

func newTable(c []Candidate) *Table {
	t := NewTable(localDC, rand.New(rand.NewPCG(1, 2)))
	t.Set(testStart, testService, c)
	return t
}

// countPicks picks n flows, spread over a second, and returns how many each upstream got.
func countPicks(t *testing.T, table *Table, now time.Time, n int) map[ident.UpstreamID]int {
	got := make(map[ident.UpstreamID]int)
	for i := range n {
		c, err := table.Pick(now.Add(time.Duration(i)*time.Second/time.Duration(n)), testService, nil)
		assert.NilError(t, err)
		got[c.Upstream]++
	}
	return got
}

// Guards against an uneven distribution of flows when there are no reports: it has to be close to
// that of round robin.
func TestEvenDistributionWithoutReports(t *testing.T) {
	table := newTable(newCandidates(10, localDC, 1000))
	for id, n := range countPicks(t, table, testStart, 5000) {
		assert.Check(t, n > 480 && n < 520, "%v got %d of 5000 flows", id, n)
	}
}

// Guards against errors of another type, with a wrong reason or without a remedy.
func TestSelectionErrors(t *testing.T) {
	table := NewTable(localDC, rand.New(rand.NewPCG(1, 2)))
	wantReason := func(r Reason, tried []ident.UpstreamID) {
		t.Helper()
		_, err := table.Pick(testStart, testService, tried)
		var typed *Error
		assert.Assert(t, errors.As(err, &typed))
		assert.Equal(t, typed.Reason, r)
		assert.Assert(t, r.Remedy() != "")
	}
	wantReason(ReasonNoUpstream, nil)
	c := newCandidates(2, localDC, 1)
	table.Set(testStart, testService, c)
	wantReason(ReasonAllTried, []ident.UpstreamID{c[0].Upstream, c[1].Upstream})
	countPicks(t, table, testStart, 2)
	wantReason(ReasonFull, nil)
	c[0].Draining, c[1].Draining = true, true
	table.Set(testStart, testService, c)
	wantReason(ReasonNoUpstream, nil)
}

// Guards against spill-over while the local data centre has room, and against refused flows when
// it is full.
func TestSpillOverOnlyWhenLocalIsFull(t *testing.T) {
	table := newTable(append(newCandidates(2, localDC, 100), newCandidates(2, remoteDC, 100)...))
	for id := range countPicks(t, table, testStart, 100) {
		assert.Assert(t, id < 20000, "flow left the data centre at half load")
	}
	remote := 0
	for id, n := range countPicks(t, table, testStart.Add(time.Second), 200) {
		if id >= 20000 {
			remote += n
		}
	}
	assert.Equal(t, remote, 100)
}

// Guards against flows to a failing upstream, against one that is not probed later or not used
// again after successful probes, and against ejecting more than half when all upstreams fail.
func TestEjection(t *testing.T) {
	c := newCandidates(6, localDC, 100000)
	table := newTable(c)
	fail := func(id ident.UpstreamID, now time.Time) {
		for range maxConsecutiveFailures {
			table.Observe(now, testService, id, false, 0)
		}
	}
	fail(c[0].Upstream, testStart)
	now := testStart.Add(refreshInterval)
	assert.Equal(t, countPicks(t, table, now, 500)[c[0].Upstream], 0)
	later := testStart.Add(initialEjectTime + time.Second)
	probed := countPicks(t, table, later, 2000)[c[0].Upstream]
	assert.Assert(t, probed > 0 && probed < 100, "probed with %d of 2000 flows", probed)
	for range minProbeSuccesses {
		table.Observe(later.Add(time.Second), testService, c[0].Upstream, true, time.Millisecond)
	}
	assert.Assert(t, countPicks(t, table, later.Add(2*time.Second), 600)[c[0].Upstream] > 60)
	for _, u := range c {
		fail(u.Upstream, later.Add(4*time.Second))
	}
	assert.Equal(t, len(countPicks(t, table, later.Add(5*time.Second), 3000)), 3)
}

// Guards against excluding an upstream that is reported as unhealthy but answers this daemon's
// requests.
func TestObservationsOutweighUnhealthyReport(t *testing.T) {
	c := newCandidates(4, localDC, 100000)
	table := newTable(c)
	for i, u := range c {
		table.Report(testStart, testService, Report{Upstream: u.Upstream, Healthy: i > 1, At: testStart})
	}
	now := testStart.Add(time.Second)
	for range 2 * minSamples {
		table.Observe(now, testService, c[0].Upstream, true, time.Millisecond)
	}
	got := countPicks(t, table, now, 400)
	assert.Assert(t, got[c[0].Upstream] > 50, "an upstream that answers requests got too few flows")
	assert.Equal(t, got[c[1].Upstream], 0)
}

// Guards against requests that use up their attempts in a small data centre while another one has
// free slots, and against retries in another data centre when the queues are of equal length.
func TestRetryPrefersShorterQueues(t *testing.T) {
	c := append(newCandidates(3, localDC, 1000), newCandidates(3, remoteDC, 1000)...)
	remoteRetries := func(localQueue int) int {
		table := newTable(c)
		remoteCount := 0
		for i := range 600 {
			for j, u := range c {
				r := Report{Upstream: u.Upstream, Flows: 500, Running: 2, Healthy: true, At: testStart.Add(time.Duration(i) * time.Second)}
				if j < 3 {
					r.Queued = localQueue
				}
				table.Report(r.At, testService, r)
			}
			got, err := table.PickRetry(testStart.Add(time.Duration(i)*time.Second), testService, []ident.UpstreamID{c[0].Upstream})
			assert.NilError(t, err)
			assert.Assert(t, got.Upstream != c[0].Upstream)
			if got.DataCentre == remoteDC {
				remoteCount++
			}
		}
		return remoteCount
	}
	assert.Assert(t, remoteRetries(20) > 400, "%d of 600 retries left a data centre with 20 queued requests an upstream", remoteRetries(20))
	assert.Assert(t, remoteRetries(0) < 60, "%d of 600 retries left a data centre without a queue", remoteRetries(0))
}

// Guards against sending all new flows of a service to an upstream that has just started.
func TestSlowStart(t *testing.T) {
	c := newCandidates(10, localDC, 10000)
	c[0].Since = testStart
	table := newTable(c)
	for _, u := range c[1:] {
		table.Report(testStart, testService, Report{Upstream: u.Upstream, Flows: 1000, Healthy: true, At: testStart})
	}
	cold := countPicks(t, table, testStart, 1000)[c[0].Upstream]
	assert.Assert(t, cold > 0 && cold < 100, "cold upstream got %d of 1000 flows", cold)
	warm := countPicks(t, table, testStart.Add(slowStartTime), 1000)[c[0].Upstream]
	assert.Assert(t, warm > 150, "warm and empty upstream got %d of 1000 flows", warm)
}

// Guards the invariants of Pick under any order of events: it selects only a known upstream that
// is not draining and was not tried, fails only when no upstream has room, and at most half of
// the upstreams are ejected.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "upstreams")
		c := append(newCandidates(n, localDC, 20), newCandidates(rapid.IntRange(0, 3).Draw(t, "remote"), remoteDC, 20)...)
		table := NewTable(localDC, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		table.Set(testStart, testService, c)
		now := testStart
		anyIndex := func() int { return rapid.IntRange(0, len(c)-1).Draw(t, "upstream") }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"report": func(t *rapid.T) {
				table.Report(now, testService, Report{
					Upstream: c[anyIndex()].Upstream, Flows: rapid.IntRange(-5, 30).Draw(t, "flows"),
					Healthy: rapid.Bool().Draw(t, "healthy"), At: now.Add(-time.Duration(rapid.IntRange(-1, 10).Draw(t, "age")) * time.Second),
				})
			},
			"observe": func(t *rapid.T) {
				table.Observe(now, testService, c[anyIndex()].Upstream, rapid.Bool().Draw(t, "ok"), time.Millisecond)
			},
			"drain": func(t *rapid.T) {
				i := anyIndex()
				c[i].Draining = !c[i].Draining
				table.Set(now, testService, c)
			},
			"pick": func(t *rapid.T) {
				tried := []ident.UpstreamID{c[anyIndex()].Upstream}
				got, err := table.Pick(now, testService, tried)
				p := table.services[testService]
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
				p := table.services[testService]
				notServing := 0
				for i := range p.upstreams {
					if p.upstreams[i].health.state != serving {
						notServing++
					}
				}
				if 2*notServing > len(p.upstreams) {
					t.Fatalf("%d of %d ejected", notServing, len(p.upstreams))
				}
			},
		})
	})
}

// Guards against ejecting upstreams of other owners as silent: their answers do not pass through
// this daemon, so it has no observations of them after 16 opens.
func TestOnlyOwnerEjectsSilentUpstream(t *testing.T) {
	for _, ownedHere := range []bool{false, true} {
		c := newCandidates(4, 1, 2000)
		table, now := newTable(c), testStart
		for range 200 {
			now = now.Add(100 * time.Millisecond)
			for i, u := range c {
				table.Report(now, testService, Report{Upstream: u.Upstream, Healthy: true, OwnedHere: ownedHere || i == 0, At: now})
			}
			table.Observe(now, testService, c[0].Upstream, true, time.Millisecond)
			_, err := table.Pick(now, testService, nil)
			assert.NilError(t, err)
		}
		serving := 0
		for _, u := range c {
			if table.Serves(testService, u.Upstream) {
				serving++
			}
		}
		assert.Equal(t, serving == len(c), !ownedHere, "%d of %d serve", serving, len(c))
	}
}
