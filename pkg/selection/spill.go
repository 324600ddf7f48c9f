package selection

import (
	"math"
	"time"

	"rosemarygate/pkg/ident"
)

const (
	// fullUtilization is the utilization of the flow limits above which the local data centre
	// counts as full.
	fullUtilization = 0.9
	// minSpillRequestsPerSlot is the number of running and queued requests per slot above which
	// the local data centre lacks slots.
	minSpillRequestsPerSlot = 1.0
	// requestsPerSlotWeight is the weight of one refresh in the smoothed requests per slot.
	requestsPerSlotWeight = 0.04
	// maxReportedRequestsPerSlot bounds the requests per slot that one report contributes, so
	// that a single wrong report has little influence.
	maxReportedRequestsPerSlot = 8
	// minSpillBenefit is the ratio of local to remote requests per slot and of local to remote
	// latency above which flows are spilled. The mean latencies of equally loaded data centres
	// differ by a factor of up to 1.2.
	minSpillBenefit = 1.5
	// spillStep is the change of the spill share in one refresh.
	spillStep = 0.02
	// trialSpillShare is the spill share by which the latency of a data centre is measured.
	trialSpillShare = 0.02
)

// refresh recomputes the state that depends on all upstreams of the service.
func (p *pool) refresh(now time.Time) {
	p.refreshedAt = toInstant(now)
	p.fitModel(now)
	p.checkOutliers(now)
	p.rebuildGroups(now)
	p.chooseSpillTarget()
	p.adjustSpillShare()
}

func (p *pool) groupOf(u *upstream) *group {
	if !u.remote {
		return &p.local
	}
	return p.remoteGroups[u.DataCentre]
}

func (p *pool) remoteGroup(dc ident.DataCentreID) *group {
	g := p.remoteGroups[dc]
	if g == nil {
		if p.remoteGroups == nil {
			p.remoteGroups = make(map[ident.DataCentreID]*group)
		}
		g = &group{}
		p.remoteGroups[dc] = g
	}
	return g
}

func (p *pool) rebuildGroups(now time.Time) {
	p.local.reset()
	for _, g := range p.remoteGroups {
		g.reset()
	}
	p.notServing = 0
	for i := range p.upstreams {
		u := &p.upstreams[i]
		if u.health.state != serving {
			p.notServing++
		}
		if !p.acceptsFlows(u, now) {
			continue
		}
		g := &p.local
		if u.remote {
			g = p.remoteGroup(u.DataCentre)
		}
		g.add(int32(i), u.weight())
		g.addLoad(u)
	}
	p.local.updateRequestsPerSlot()
	for _, g := range p.remoteGroups {
		g.updateRequestsPerSlot()
	}
}

// updateRequestsPerSlot adds the mean over the reports to the smoothed requests per slot.
func (g *group) updateRequestsPerSlot() {
	if g.reportCount > 0 {
		g.requestsPerSlot += requestsPerSlotWeight * (g.requestsPerSlotSum/float64(g.reportCount) - g.requestsPerSlot)
	}
}

// addLoad adds the load of the newest member to the sums of the group. For the first member it
// resets the sums before.
func (g *group) addLoad(u *upstream) {
	if len(g.members) == 1 {
		g.flows, g.flowLimit, g.unlimited = 0, 0, false
		g.requestsPerSlotSum, g.reportCount = 0, 0
	}
	if u.hasReport {
		g.requestsPerSlotSum += math.Min(maxReportedRequestsPerSlot, u.reportedRequests/float64(max(1, u.Slots)))
		g.reportCount++
	}
	g.flows += u.estimate()
	g.flowLimit += float64(u.FlowLimit)
	g.unlimited = g.unlimited || u.FlowLimit == 0
}

// utilization returns the estimated flows as a fraction of the sum of the flow limits.
func (g *group) utilization() float64 {
	if len(g.members) == 0 {
		return math.Inf(1)
	}
	if g.unlimited {
		return 0
	}
	return g.flows / g.flowLimit
}

// comparableLatency returns the mean latency, or 0 while it has too few samples.
func (g *group) comparableLatency() float64 {
	if !g.latency.hasEnoughSamples(groupLatencyWindow) {
		return 0
	}
	return g.latency.mean
}

// chooseSpillTarget selects the data centre for spill-over: the one with room that has the
// smallest latency. A data centre with too few observations counts as the fastest, so that its
// latency gets measured.
func (p *pool) chooseSpillTarget() {
	p.spillTarget = nil
	var id ident.DataCentreID
	for dc, g := range p.remoteGroups {
		if g.utilization() >= maxUtilization {
			continue
		}
		if p.spillTarget == nil || g.comparableLatency() < p.spillTarget.comparableLatency() || (g.comparableLatency() == p.spillTarget.comparableLatency() && dc < id) {
			p.spillTarget, id = g, dc
		}
	}
}

// adjustSpillShare changes the spill share stepwise towards equal latency, so that it depends on
// the measured benefit and not on a fixed threshold.
func (p *pool) adjustSpillShare() {
	local, target := &p.local, p.spillTarget
	if target == nil {
		p.spillShare = 0
		return
	}
	full := local.utilization() > fullUtilization && target.utilization() < local.utilization()
	lacksSlots := local.requestsPerSlot > minSpillRequestsPerSlot && local.requestsPerSlot > minSpillBenefit*target.requestsPerSlot
	switch {
	case full:
		p.spillShare += spillStep
	case lacksSlots && target.comparableLatency() == 0:
		p.spillShare = math.Max(p.spillShare, trialSpillShare)
	case lacksSlots && local.comparableLatency() > minSpillBenefit*target.comparableLatency():
		p.spillShare += spillStep
	default:
		p.spillShare -= spillStep
	}
	p.spillShare = math.Max(0, math.Min(1, p.spillShare))
}
