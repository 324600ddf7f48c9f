// Package selection chooses the upstream of a new flow.
//
// A Table belongs to one daemon. It keeps, for each upstream, the open flows its owner
// reported and a model of them built from the daemon's own picks. A report that the model
// contradicts loses weight, and what the daemon observed itself (successes, latency)
// outweighs reported health. Of d random candidates the one with the fewest estimated
// flows per flow limit wins.
//
// The package does no I/O, starts no goroutine and holds no lock; time and randomness
// are passed in.
package selection

import (
	"math/rand/v2"
	"slices"
	"time"

	"rosemarygate/pkg/ident"
)

const (
	// choices is the number of random candidates compared for a pick.
	choices = 2
	// sampleTries bounds the samples drawn to find usable candidates before all are scanned.
	sampleTries = 8
	// refreshEvery is the interval at which pool-wide estimates are recomputed.
	refreshEvery = 200 * time.Millisecond
	// smallPool is the number of upstreams up to which a service needs no index. The map took
	// a quarter of the memory of a service with one upstream.
	smallPool = 16
)

// Candidate is an upstream that may take new flows of a service.
type Candidate struct {
	Upstream    ident.UpstreamID
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentreID
	Draining    bool // gets no new flows
	Owner       ident.DaemonID
	FlowLimit   int // open flows the upstream holds; 0 for no limit
	Slots       int // requests the upstream runs at once; weighs upstreams without flow limit
	Since       time.Time
}

// Report is the load of one upstream as its owner disseminates it.
type Report struct {
	Upstream               ident.UpstreamID
	Flows, Running, Queued int
	Healthy                bool
	// Own says that this daemon owns the upstream. Only the owner sees the ends of requests,
	// so only there does the lack of observations mean anything.
	Own bool
	At  time.Time // when the owner took the figures
}

// Table selects upstreams for the new flows that one daemon opens. It is not safe for
// concurrent use.
type Table struct {
	local    ident.DataCentreID
	near     map[ident.DataCentreID]bool
	rng      *rand.Rand
	peers    float64
	services map[ident.ServiceID]*pool
}

// NewTable returns an empty table of a daemon in a data centre.
func NewTable(local ident.DataCentreID, rng *rand.Rand) *Table {
	return &Table{local: local, rng: rng, peers: 1, services: make(map[ident.ServiceID]*pool)}
}

// SetNear names other data centres whose upstreams are chosen like local ones. Without
// them, a data centre with more entry hosts than its part of the upstreams gets more flows
// an upstream than the others, because the fabric spreads callers over hosts. It counts
// from the next Set on.
func (t *Table) SetNear(dataCentres []ident.DataCentreID) {
	t.near = make(map[ident.DataCentreID]bool, len(dataCentres))
	for _, dc := range dataCentres {
		t.near[dc] = true
	}
}

// Local reports whether the upstreams of a data centre are chosen first.
func (t *Table) Local(dc ident.DataCentreID) bool { return dc == t.local || t.near[dc] }

// SetPeers sets the number of serving daemons that open flows to the same upstreams,
// including this one. The model counts every own pick that many times, because the
// fabric spreads callers evenly. A value below what the reports show is corrected.
func (t *Table) SetPeers(n int) { t.peers = float64(max(1, n)) }

// Set replaces the candidates of a service. Observations of an upstream are kept while
// its incarnation stays the same.
func (t *Table) Set(now time.Time, s ident.ServiceID, c []Candidate) {
	if len(c) == 0 {
		delete(t.services, s)
		return
	}
	old := t.services[s]
	p := newPool(t, len(c))
	if old != nil {
		p.inherit(old)
	}
	for _, cand := range c {
		p.add(now, cand, old)
	}
	p.refresh(now)
	t.services[s] = p
}

// Report records a load report. Reports of unknown upstreams and reports older than the
// last one are ignored.
func (t *Table) Report(now time.Time, s ident.ServiceID, r Report) {
	p := t.services[s]
	if p == nil {
		return
	}
	if u := p.find(r.Upstream); u != nil {
		p.refreshIfDue(now)
		p.report(u, now, r)
	}
}

// Observe records the result of one request or open that this daemon saw at an upstream:
// whether it succeeded and how long it took. A refusal for lack of capacity is no failure.
func (t *Table) Observe(now time.Time, s ident.ServiceID, id ident.UpstreamID, ok bool, latency time.Duration) {
	p := t.services[s]
	if p == nil {
		return
	}
	if u := p.find(id); u != nil {
		p.refreshIfDue(now)
		p.observe(u, now, ok, latency)
	}
}

// Serves reports whether this daemon's observations of an upstream are good enough for new
// flows; it is true without observations. An owner reports other upstreams as unhealthy.
func (t *Table) Serves(s ident.ServiceID, id ident.UpstreamID) bool {
	p := t.services[s]
	if p == nil {
		return true
	}
	u := p.find(id)
	return u == nil || u.health.state == serving
}

// Pick selects an upstream for a new flow, except those already tried, and counts the
// flow as opened there. It returns an *Error when no upstream can take the flow.
func (t *Table) Pick(now time.Time, s ident.ServiceID, tried []ident.UpstreamID) (Candidate, error) {
	p, u, err := t.pick(now, s, tried, (*pool).choose)
	if err != nil {
		return Candidate{}, err
	}
	u.opened(now, p.gain)
	return u.Candidate, nil
}

// PickRetry selects an upstream for one more attempt of a request that was refused or lost,
// except those already tried. It counts no flow. It returns an *Error when there is none.
func (t *Table) PickRetry(now time.Time, s ident.ServiceID, tried []ident.UpstreamID) (Candidate, error) {
	_, u, err := t.pick(now, s, tried, (*pool).chooseRetry)
	if err != nil {
		return Candidate{}, err
	}
	u.requests++ // until the next report
	return u.Candidate, nil
}

type chooser func(p *pool, now time.Time, tried []ident.UpstreamID) *upstream

func (t *Table) pick(now time.Time, s ident.ServiceID, tried []ident.UpstreamID, choose chooser) (*pool, *upstream, error) {
	p := t.services[s]
	if p == nil {
		return nil, nil, errNoUpstream
	}
	p.refreshIfDue(now)
	u := choose(p, now, tried)
	if u == nil {
		return nil, nil, p.whyNone(tried)
	}
	return p, u, nil
}

// Spill returns the part of the new flows of a service that goes to other data centres.
func (t *Table) Spill(s ident.ServiceID) float64 {
	if p := t.services[s]; p != nil {
		return p.spill
	}
	return 0
}

// pool is the state of one service.
type pool struct {
	table     *Table
	upstreams []upstream
	index     map[ident.UpstreamID]int32 // nil in small pools
	local     group
	remotes   map[ident.DataCentreID]*group
	remote    *group  // where spill-over goes; nil when there is no other data centre
	bias      float64 // common logarithmic error of the models
	ejected   int
	gain      float64 // flows opened by all daemons for one own pick
	closeRate float64 // part of the open flows that closes in a second
	latency   float64 // median observed latency, nanoseconds
	spill     float64 // part of new flows sent to other data centres
	refreshed instant
	seen      instant // last observation at any upstream
	scratch   []float64
}

func newPool(t *Table, n int) *pool {
	p := &pool{table: t, upstreams: make([]upstream, 0, n), gain: t.peers}
	if n > smallPool {
		p.index = make(map[ident.UpstreamID]int32, n)
	}
	return p
}

func (p *pool) inherit(old *pool) {
	p.gain = old.gain
	p.closeRate = old.closeRate
	p.spill = old.spill
	p.local.latency, p.local.pressure = old.local.latency, old.local.pressure
	for dc, g := range old.remotes {
		*p.remoteGroup(dc) = group{latency: g.latency, pressure: g.pressure}
	}
}

func (p *pool) add(now time.Time, c Candidate, old *pool) {
	if p.find(c.Upstream) != nil {
		return
	}
	u := upstream{Candidate: c, modelAt: at(now)}
	if old != nil {
		if o := old.find(c.Upstream); o != nil && o.Incarnation == c.Incarnation {
			u = *o
			u.Candidate = c
		}
	}
	u.remote = !p.table.Local(c.DataCentre)
	if p.index != nil {
		p.index[c.Upstream] = int32(len(p.upstreams))
	}
	p.upstreams = append(p.upstreams, u)
}

func (p *pool) find(id ident.UpstreamID) *upstream {
	if p.index != nil {
		if i, ok := p.index[id]; ok {
			return &p.upstreams[i]
		}
		return nil
	}
	for i := range p.upstreams {
		if u := &p.upstreams[i]; u.Upstream == id {
			return u
		}
	}
	return nil
}

// group is a set of upstreams sampled in proportion to their weight.
type group struct {
	members   []int32
	total     []float64 // running sums of the weights
	latency   average   // observed, nanoseconds
	flows     float64   // estimated open flows
	limit     float64   // sum of the flow limits
	unlimited bool      // a member has no flow limit
	uniform   bool      // all weights are equal
	requests  float64   // sum of the running and queued requests per slot
	reports   int       // members with a report
	pressure  float64   // smoothed running and queued requests per slot
}

func (g *group) reset() {
	g.members = g.members[:0]
	g.total = g.total[:0]
	g.uniform = true
}

func (g *group) add(i int32, weight float64) {
	sum := weight
	if n := len(g.total); n > 0 {
		sum += g.total[n-1]
		g.uniform = g.uniform && weight == g.total[0]
	}
	g.members = append(g.members, i)
	g.total = append(g.total, sum)
}

func (g *group) sample(rng *rand.Rand) int32 {
	if g.uniform {
		return g.members[rng.IntN(len(g.members))]
	}
	x := rng.Float64() * g.total[len(g.total)-1]
	at, _ := slices.BinarySearch(g.total, x)
	return g.members[min(at, len(g.members)-1)]
}

func (p *pool) refreshIfDue(now time.Time) {
	if p.refreshed.age(now) >= refreshEvery {
		p.refresh(now)
	}
}

// choose prefers the local data centre, sends the spill-over part elsewhere, and falls
// back to any upstream with room before it gives up.
func (p *pool) choose(now time.Time, tried []ident.UpstreamID) *upstream {
	first, second := &p.local, p.remote
	if second != nil && p.spill > 0 && p.table.rng.Float64() < p.spill {
		first, second = second, first
	}
	if u := p.best(first, now, tried); u != nil {
		return u
	}
	if u := p.best(second, now, tried); u != nil {
		return u
	}
	return p.lastResort(tried)
}

// best compares a few random usable members of a group. When sampling finds none, it
// scans the group, so that a single upstream with room is found among full ones.
func (p *pool) best(g *group, now time.Time, tried []ident.UpstreamID) *upstream {
	if g == nil || len(g.members) == 0 {
		return nil
	}
	var won *upstream
	score := 0.0
	found := 0
	for range sampleTries {
		u := &p.upstreams[g.sample(p.table.rng)]
		if u == won || !p.usable(u, now, tried) {
			continue
		}
		if won == nil || u.score(p) < score {
			won, score = u, u.score(p)
		}
		if found++; found == choices {
			return won
		}
	}
	if won != nil {
		return won
	}
	return p.scan(g, tried)
}

// scan returns the member with the smallest score. A member can be ejected since the
// groups were formed.
func (p *pool) scan(g *group, tried []ident.UpstreamID) *upstream {
	var won *upstream
	for _, i := range g.members {
		u := &p.upstreams[i]
		if u.health.state == ejected || !u.mayTake(tried) {
			continue
		}
		if won == nil || u.score(p) < won.score(p) {
			won = u
		}
	}
	return won
}

// mayTake reports whether the upstream has room for a flow that was not tried there.
func (u *upstream) mayTake(tried []ident.UpstreamID) bool {
	return !u.Draining && !u.full() && !slices.Contains(tried, u.Upstream)
}

// usable reports whether a sampled upstream may take the flow. Cold and probed upstreams
// pass only part of the time.
func (p *pool) usable(u *upstream, now time.Time, tried []ident.UpstreamID) bool {
	if !u.mayTake(tried) {
		return false
	}
	pass := u.ramp(now)
	return pass >= 1 || p.table.rng.Float64() < pass
}

// lastResort takes the least loaded upstream of any data centre, and even one that is
// reported as unhealthy or, if there is no other, ejected: refusing every flow would be
// worse.
func (p *pool) lastResort(tried []ident.UpstreamID) *upstream {
	var won *upstream
	for i := range p.upstreams {
		u := &p.upstreams[i]
		if u.mayTake(tried) && (won == nil || p.better(u, won)) {
			won = u
		}
	}
	return won
}

func (p *pool) better(u, than *upstream) bool {
	if out := u.health.state == ejected; out != (than.health.state == ejected) {
		return !out
	}
	return u.score(p) < than.score(p)
}
