// Package selection selects upstreams for new flows and for retries of requests.
//
// A Table belongs to one daemon. It keeps, for each upstream, the number of open flows that the
// owner reported and a model of it built from the daemon's own picks. A report that deviates
// from the model gets less weight, and the daemon's own observations (successes, latency) take
// precedence over reported health. Of two random candidates, the one with fewer estimated flows
// per flow limit is selected.
//
// The package does no I/O, starts no goroutine and holds no lock. Time and the source of
// randomness are parameters.
package selection

import (
	"math/rand/v2"
	"slices"
	"time"

	"rosemarygate/pkg/ident"
)

const (
	// choicesPerPick is the number of random usable candidates that a pick compares.
	choicesPerPick = 2
	// maxDraws is the number of samples drawn to find usable candidates before all candidates
	// are scanned.
	maxDraws = 8
	// refreshInterval is the interval at which pool-wide estimates are recomputed.
	refreshInterval = 200 * time.Millisecond
	// maxUnindexedPool is the number of upstreams up to which a service has no index. For a
	// service with one upstream the map would be a quarter of the memory.
	maxUnindexedPool = 16
)

// Candidate is an upstream of a service that can be selected.
type Candidate struct {
	Upstream    ident.UpstreamID
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentreID
	Draining    bool // gets no new flows
	Owner       ident.DaemonID
	FlowLimit   int // maximum number of open flows; 0 for no limit
	Slots       int // maximum number of concurrent requests; the weight of upstreams without flow limit
	Since       time.Time
}

// Report is the load of one upstream as reported by its owner.
type Report struct {
	Upstream               ident.UpstreamID
	Flows, Running, Queued int
	Healthy                bool
	// OwnedHere reports that this daemon owns the upstream. Only the owner observes the results of
	// requests, so only there a lack of observations indicates a fault.
	OwnedHere bool
	At        time.Time // when the owner measured the load
}

// Table selects upstreams for the new flows and retries of one daemon. It is not safe for
// concurrent use.
type Table struct {
	local       ident.DataCentreID
	near        map[ident.DataCentreID]bool
	rng         *rand.Rand
	daemonCount float64
	services    map[ident.ServiceID]*pool
}

// NewTable returns an empty table of a daemon in a data centre.
func NewTable(local ident.DataCentreID, rng *rand.Rand) *Table {
	return &Table{local: local, rng: rng, daemonCount: 1, services: make(map[ident.ServiceID]*pool)}
}

// SetNear sets the other data centres whose upstreams are treated as local. Otherwise a data
// centre whose share of the entry hosts exceeds its share of the upstreams gets more flows per
// upstream than the others, because the fabric distributes callers over hosts. It takes effect
// for a service with the next Set.
func (t *Table) SetNear(dataCentres []ident.DataCentreID) {
	t.near = make(map[ident.DataCentreID]bool, len(dataCentres))
	for _, dc := range dataCentres {
		t.near[dc] = true
	}
}

// IsLocalOrNear reports whether the upstreams of a data centre are treated as local.
func (t *Table) IsLocalOrNear(dc ident.DataCentreID) bool { return dc == t.local || t.near[dc] }

// SetDaemonCount sets the number of serving daemons that open flows to the same upstreams, including
// this one. The model counts every own pick that many times, because the fabric distributes
// callers evenly over daemons. The model uses a larger factor if the reports indicate one.
func (t *Table) SetDaemonCount(n int) { t.daemonCount = float64(max(1, n)) }

// Set replaces the candidates of a service. The state of an upstream is kept if its incarnation
// is unchanged.
func (t *Table) Set(now time.Time, s ident.ServiceID, c []Candidate) {
	if len(c) == 0 {
		delete(t.services, s)
		return
	}
	old := t.services[s]
	p := newPool(t, len(c))
	if old != nil {
		p.copyEstimates(old)
	}
	for _, cand := range c {
		p.addCandidate(now, cand, old)
	}
	p.refresh(now)
	t.services[s] = p
}

// Report records a load report. Reports of unknown upstreams and reports that are not newer than
// the last one are ignored.
func (t *Table) Report(now time.Time, s ident.ServiceID, r Report) {
	p := t.services[s]
	if p == nil {
		return
	}
	if u := p.find(r.Upstream); u != nil {
		p.refreshIfDue(now)
		p.applyReport(u, now, r)
	}
}

// Observe records the result of one request or open at an upstream: whether it succeeded and
// how long it took. A refusal for lack of capacity is not a failure.
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

// Serves reports whether an upstream is neither ejected nor probed because of this daemon's
// observations. An owner reports an upstream as unhealthy when Serves returns false.
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
	u.countPick(now, p.gain)
	return u.Candidate, nil
}

// PickRetry selects an upstream for another attempt of a request that was refused or lost,
// except those already tried. It counts no flow as opened. It returns an *Error when no upstream
// can take the request.
func (t *Table) PickRetry(now time.Time, s ident.ServiceID, tried []ident.UpstreamID) (Candidate, error) {
	_, u, err := t.pick(now, s, tried, (*pool).chooseRetry)
	if err != nil {
		return Candidate{}, err
	}
	u.reportedRequests++ // until the next report
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
		return nil, nil, p.pickError(tried)
	}
	return p, u, nil
}

// SpillShare returns the fraction of the new flows of a service that is sent to another data
// centre although the local one is preferred.
func (t *Table) SpillShare(s ident.ServiceID) float64 {
	if p := t.services[s]; p != nil {
		return p.spillShare
	}
	return 0
}

// pool is the state of one service.
type pool struct {
	table         *Table
	upstreams     []upstream
	index         map[ident.UpstreamID]int32 // nil in small pools
	local         group
	remoteGroups  map[ident.DataCentreID]*group
	spillTarget   *group  // data centre for spill-over; nil when no other one has room
	modelBias     float64 // logarithm of the error common to all models
	notServing    int     // number of ejected and probed upstreams
	gain          float64 // flows opened by all daemons per own pick
	closeRate     float64 // fraction of the open flows that closes per second
	medianLatency float64 // of the upstreams' mean latencies, nanoseconds
	spillShare    float64 // fraction of new flows sent to spillTarget
	refreshedAt   instant
	lastObserved  instant // last observation at any upstream
	scratch       []float64
}

func newPool(t *Table, n int) *pool {
	p := &pool{table: t, upstreams: make([]upstream, 0, n), gain: t.daemonCount}
	if n > maxUnindexedPool {
		p.index = make(map[ident.UpstreamID]int32, n)
	}
	return p
}

func (p *pool) copyEstimates(old *pool) {
	p.gain = old.gain
	p.closeRate = old.closeRate
	p.spillShare = old.spillShare
	p.local.latency, p.local.requestsPerSlot = old.local.latency, old.local.requestsPerSlot
	for dc, g := range old.remoteGroups {
		*p.remoteGroup(dc) = group{latency: g.latency, requestsPerSlot: g.requestsPerSlot}
	}
}

func (p *pool) addCandidate(now time.Time, c Candidate, old *pool) {
	if p.find(c.Upstream) != nil {
		return
	}
	u := upstream{Candidate: c, agedAt: toInstant(now)}
	if old != nil {
		if o := old.find(c.Upstream); o != nil && o.Incarnation == c.Incarnation {
			u = *o
			u.Candidate = c
		}
	}
	u.remote = !p.table.IsLocalOrNear(c.DataCentre)
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

// group is the upstreams of a data centre that accept flows, or of the local and near data
// centres together. They are sampled in proportion to their weight.
type group struct {
	members            []int32 // indexes in pool.upstreams
	cumulativeWeights  []float64
	latency            average // observed latency, nanoseconds
	flows              float64 // estimated open flows
	flowLimit          float64 // sum of the flow limits
	unlimited          bool    // a member has no flow limit
	uniform            bool    // all weights are equal
	requestsPerSlotSum float64 // sum over the members with a report
	reportCount        int     // number of members with a report
	requestsPerSlot    float64 // running and queued requests per slot, exponentially smoothed
}

func (g *group) reset() {
	g.members = g.members[:0]
	g.cumulativeWeights = g.cumulativeWeights[:0]
	g.uniform = true
}

func (g *group) add(i int32, weight float64) {
	sum := weight
	if n := len(g.cumulativeWeights); n > 0 {
		sum += g.cumulativeWeights[n-1]
		g.uniform = g.uniform && weight == g.cumulativeWeights[0]
	}
	g.members = append(g.members, i)
	g.cumulativeWeights = append(g.cumulativeWeights, sum)
}

func (g *group) sample(rng *rand.Rand) int32 {
	if g.uniform {
		return g.members[rng.IntN(len(g.members))]
	}
	x := rng.Float64() * g.cumulativeWeights[len(g.cumulativeWeights)-1]
	index, _ := slices.BinarySearch(g.cumulativeWeights, x)
	return g.members[min(index, len(g.members)-1)]
}

func (p *pool) refreshIfDue(now time.Time) {
	if p.refreshedAt.elapsed(now) >= refreshInterval {
		p.refresh(now)
	}
}

// choose prefers the local data centre, except for the spill share of the flows, and falls back
// to any upstream with room.
func (p *pool) choose(now time.Time, tried []ident.UpstreamID) *upstream {
	preferred, fallback := &p.local, p.spillTarget
	if fallback != nil && p.spillShare > 0 && p.table.rng.Float64() < p.spillShare {
		preferred, fallback = fallback, preferred
	}
	if u := p.best(preferred, now, tried); u != nil {
		return u
	}
	if u := p.best(fallback, now, tried); u != nil {
		return u
	}
	return p.lastResort(tried)
}

// best returns the better of choicesPerPick random usable members of a group. When sampling
// finds no usable member, it scans the group, so that a single upstream with room is found among
// full ones.
func (p *pool) best(g *group, now time.Time, tried []ident.UpstreamID) *upstream {
	if g == nil || len(g.members) == 0 {
		return nil
	}
	var best *upstream
	bestScore := 0.0
	found := 0
	for range maxDraws {
		u := &p.upstreams[g.sample(p.table.rng)]
		if u == best || !p.usable(u, now, tried) {
			continue
		}
		if best == nil || u.score(p) < bestScore {
			best, bestScore = u, u.score(p)
		}
		if found++; found == choicesPerPick {
			return best
		}
	}
	if best != nil {
		return best
	}
	return p.scan(g, tried)
}

// scan returns the member with room that has the smallest score. It skips members that were
// ejected after the groups were built.
func (p *pool) scan(g *group, tried []ident.UpstreamID) *upstream {
	var best *upstream
	for _, i := range g.members {
		u := &p.upstreams[i]
		if u.health.state == ejected || !u.hasRoom(tried) {
			continue
		}
		if best == nil || u.score(p) < best.score(p) {
			best = u
		}
	}
	return best
}

// hasRoom reports whether the upstream can accept a flow and is not among those already tried.
func (u *upstream) hasRoom(tried []ident.UpstreamID) bool {
	return !u.Draining && !u.full() && !slices.Contains(tried, u.Upstream)
}

// usable reports whether a sampled upstream may take the flow. Upstreams in slow start and
// probed upstreams accept only some of their samples.
func (p *pool) usable(u *upstream, now time.Time, tried []ident.UpstreamID) bool {
	if !u.hasRoom(tried) {
		return false
	}
	probability := u.acceptProbability(now)
	return probability >= 1 || p.table.rng.Float64() < probability
}

// lastResort returns the least loaded upstream with room in any data centre, including those
// that are reported as unhealthy. It returns an ejected one only if there is no other. This is
// better than refusing every flow.
func (p *pool) lastResort(tried []ident.UpstreamID) *upstream {
	var best *upstream
	for i := range p.upstreams {
		u := &p.upstreams[i]
		if u.hasRoom(tried) && (best == nil || p.better(u, best)) {
			best = u
		}
	}
	return best
}

func (p *pool) better(u, other *upstream) bool {
	if isEjected := u.health.state == ejected; isEjected != (other.health.state == ejected) {
		return !isEjected
	}
	return u.score(p) < other.score(p)
}
