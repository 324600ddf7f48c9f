package selection

import (
	"math"
	"time"

	"rosemarygate/pkg/ident"
)

const (
	// pressureLoad, pressureQueue and pressureLatency tell when the local data centre
	// lacks capacity: part of its flow limits in use, queued requests per slot, latency
	// over its smallest mean.
	pressureLoad    = 0.9
	pressureQueue   = 1.0
	pressureLatency = 2.0
	// spillBenefit is the ratio of local to remote latency from which spilling pays.
	spillBenefit = 1.2
	// spillStep bounds the change of the spilled part of new flows in one refresh.
	spillStep = 0.02
	// spillTrial is the part of new flows that measures the latency of a data centre.
	spillTrial = 0.02
	// floorGrowth lets the smallest mean latency follow a lasting change within minutes.
	floorGrowth = 1.0005
)

// refresh recomputes what depends on all upstreams of the service.
func (p *pool) refresh(now time.Time) {
	p.refreshed = now
	p.fitModel(now)
	p.checkOutliers(now)
	p.regroup(now)
	p.chooseRemote()
	p.adjustSpill()
}

func (p *pool) groupOf(u *upstream) *group {
	if u.DataCentre == p.table.local {
		return &p.local
	}
	return p.remotes[u.DataCentre]
}

func (p *pool) remoteGroup(dc ident.DataCentreID) *group {
	g := p.remotes[dc]
	if g == nil {
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
		if u.Draining || u.health.state == ejected || !u.believedHealthy(now) {
			continue
		}
		g := &p.local
		if u.DataCentre != p.table.local {
			g = p.remoteGroup(u.DataCentre)
		}
		g.add(int32(i), u.weight())
		g.measure(u)
	}
	p.local.queued = p.medianOf(func(u *upstream) (float64, bool) {
		return u.queued / float64(max(1, u.Slots)), u.heard && u.DataCentre == p.table.local
	})
}

// measure adds an upstream's flows and limit to its group.
func (g *group) measure(u *upstream) {
	if len(g.members) == 1 {
		g.flows, g.limit, g.unlimited = 0, 0, false
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
		if p.remote == nil || g.latency < p.remote.latency || (g.latency == p.remote.latency && dc < id) {
			p.remote, id = g, dc
		}
	}
}

// adjustSpill moves the spilled part of new flows step by step towards equal latency,
// so that it is the measured benefit that decides and not a fixed threshold.
func (p *pool) adjustSpill() {
	l, r := &p.local, p.remote
	if l.floor == 0 || l.latency < l.floor {
		l.floor = l.latency
	}
	l.floor *= floorGrowth
	if r == nil {
		p.spill = 0
		return
	}
	full := l.load() > pressureLoad && r.load() < l.load()
	pressed := l.queued > pressureQueue || l.latency > pressureLatency*l.floor
	switch {
	case full:
		p.spill += spillStep
	case pressed && r.latency == 0:
		p.spill = math.Max(p.spill, spillTrial)
	case pressed && l.latency > spillBenefit*r.latency:
		p.spill += spillStep
	default:
		p.spill -= spillStep
	}
	p.spill = math.Max(0, math.Min(1, p.spill))
}
