package selection

import (
	"math"
	"time"

	"rosemarygate/pkg/ident"
)

const (
	// pressureLoad is the used part of the flow limits above which a data centre is full.
	pressureLoad = 0.9
	// pressureQueue is the number of running and queued requests per slot from which the
	// local data centre lacks slots.
	pressureQueue = 1.0
	// pressureMemory is the weight of one refresh in that number.
	pressureMemory = 0.04
	// maxQueued bounds the queued requests per slot taken from one report, so that a
	// single wrong report has little influence.
	maxQueued = 8
	// spillBenefit is the ratio of local to remote queues and latencies from which
	// spilling pays. Mean latencies differ by up to 1.2 between equally loaded data centres.
	spillBenefit = 1.5
	// spillStep bounds the change of the spilled part of new flows in one refresh.
	spillStep = 0.02
	// spillTrial is the part of new flows that measures the latency of a data centre.
	spillTrial = 0.02
)

// refresh recomputes what depends on all upstreams of the service.
func (p *pool) refresh(now time.Time) {
	p.refreshed = at(now)
	p.fitModel(now)
	p.checkOutliers(now)
	p.regroup(now)
	p.chooseRemote()
	p.adjustSpill()
}

func (p *pool) groupOf(u *upstream) *group {
	if !u.remote {
		return &p.local
	}
	return p.remotes[u.DataCentre]
}

func (p *pool) remoteGroup(dc ident.DataCentreID) *group {
	g := p.remotes[dc]
	if g == nil {
		if p.remotes == nil {
			p.remotes = make(map[ident.DataCentreID]*group)
		}
		g = &group{}
		p.remotes[dc] = g
	}
	return g
}

func (p *pool) regroup(now time.Time) {
	p.local.reset()
	for _, g := range p.remotes {
		g.reset()
	}
	p.ejected = 0
	for i := range p.upstreams {
		u := &p.upstreams[i]
		if u.health.state != serving {
			p.ejected++
		}
		if !p.mayServe(u, now) {
			continue
		}
		g := &p.local
		if u.remote {
			g = p.remoteGroup(u.DataCentre)
		}
		g.add(int32(i), u.weight())
		g.measure(u)
	}
	p.local.smooth()
	for _, g := range p.remotes {
		g.smooth()
	}
}

// smooth updates the group's requests per slot.
func (g *group) smooth() {
	if g.reports > 0 {
		g.pressure += pressureMemory * (g.requests/float64(g.reports) - g.pressure)
	}
}

// measure adds an upstream's flows and limit to its group.
func (g *group) measure(u *upstream) {
	if len(g.members) == 1 {
		g.flows, g.limit, g.unlimited = 0, 0, false
		g.requests, g.reports = 0, 0
	}
	if u.heard {
		g.requests += math.Min(maxQueued, u.requests/float64(max(1, u.Slots)))
		g.reports++
	}
	g.flows += u.estimate()
	g.limit += float64(u.FlowLimit)
	g.unlimited = g.unlimited || u.FlowLimit == 0
}

// load returns the used part of the group's flow limits.
func (g *group) load() float64 {
	if len(g.members) == 0 {
		return math.Inf(1)
	}
	if g.unlimited {
		return 0
	}
	return g.flows / g.limit
}

// knownLatency returns the latency by which data centres are compared, 0 until it is known.
func (g *group) knownLatency() float64 {
	if !g.latency.known(groupSamples) {
		return 0
	}
	return g.latency.mean
}

// chooseRemote selects the data centre for spill-over: the one with the smallest observed
// latency that has room. A data centre without observations counts as fastest, so that
// it gets measured.
func (p *pool) chooseRemote() {
	p.remote = nil
	var id ident.DataCentreID
	for dc, g := range p.remotes {
		if g.load() >= maxUtilization {
			continue
		}
		if p.remote == nil || g.knownLatency() < p.remote.knownLatency() || (g.knownLatency() == p.remote.knownLatency() && dc < id) {
			p.remote, id = g, dc
		}
	}
}

// adjustSpill moves the spilled part of new flows step by step towards equal latency,
// so that it is the measured benefit that decides and not a fixed threshold.
func (p *pool) adjustSpill() {
	l, r := &p.local, p.remote
	if r == nil {
		p.spill = 0
		return
	}
	full := l.load() > pressureLoad && r.load() < l.load()
	pressed := l.pressure > pressureQueue && l.pressure > spillBenefit*r.pressure
	switch {
	case full:
		p.spill += spillStep
	case pressed && r.knownLatency() == 0:
		p.spill = math.Max(p.spill, spillTrial)
	case pressed && l.knownLatency() > spillBenefit*r.knownLatency():
		p.spill += spillStep
	default:
		p.spill -= spillStep
	}
	p.spill = math.Max(0, math.Min(1, p.spill))
}
