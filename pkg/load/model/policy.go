package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"rosemarygate/pkg/dispatch"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/naive"
	"rosemarygate/pkg/retry"
	"rosemarygate/pkg/selection"
)

// policy makes the decisions of the daemons in a run. Requests, upstreams (i) and daemons are
// passed as their indexes in the simulation.
type policy interface {
	submit(r int)
	complete(r int, o dispatch.Outcome)
	// retry sends a request again or ends it unanswered.
	retry(r int, notRun bool)
	// observe records the outcome of an attempt.
	observe(r int, ok bool, latency time.Duration)
	// pick selects an upstream for a new flow at an entry daemon.
	pick(entry int, tried []ident.UpstreamID) (int, bool)
	applyReport(i int, r selection.Report)
	upstreamLoad(i int) (running, queued int)
	// updateCandidates applies a change of the upstreams that have joined.
	updateCandidates()
	tick()
	meanEffectiveSlots() float64
}

func newPolicy(s *simulation) policy {
	if s.Policy.isNaive() {
		return newNaivePolicy(s)
	}
	return newOurPolicy(s)
}

// ourPolicy runs the cores of rosemarygate: a Scheduler for each upstream, and a Table and a
// retry budget for each daemon.
type ourPolicy struct {
	*simulation
	schedulers    []*dispatch.Scheduler
	tables        []*selection.Table
	budgets       []*retry.Budget
	queuedPerSlot []float64 // reported queue length per slot of each upstream, for Threshold
}

func newOurPolicy(s *simulation) *ourPolicy {
	p := &ourPolicy{simulation: s, queuedPerSlot: make([]float64, len(s.upstreams))}
	for range s.upstreams {
		p.schedulers = append(p.schedulers, dispatch.NewScheduler(s.Deployment.limits()))
	}
	for i, dc := range s.daemonDCs {
		t := selection.NewTable(ident.DataCentreID(dc+1), rand.New(rand.NewPCG(s.Seed, uint64(i)+1)))
		t.SetDaemonCount(p.daemonsOf(dc))
		p.tables = append(p.tables, t)
		p.budgets = append(p.budgets, retry.NewBudget(retry.DefaultRatio, retry.DefaultMinRate, retry.DefaultBurst))
	}
	p.updateCandidates()
	return p
}

// daemonsOf returns the number of daemons in a data centre.
func (p *ourPolicy) daemonsOf(dc int) int {
	n := 0
	for _, d := range p.daemonDCs {
		if d == dc {
			n++
		}
	}
	return n
}

func (p *ourPolicy) updateCandidates() {
	var all []selection.Candidate
	for i, u := range p.upstreams {
		if !u.absent {
			all = append(all, p.candidate(i))
		}
	}
	for _, t := range p.tables {
		t.Set(p.currentTime(), service, all)
	}
}

func (p *ourPolicy) submit(r int) {
	req := &p.requests[r]
	dispatched, refused := p.schedulers[req.upstream].Submit(p.currentTime(), dispatch.Request{
		ID:         uint64(r),
		Class:      req.class,
		Deadline:   p.clock.start.Add(time.Duration(req.deadline)),
		Idempotent: p.Deployment.Classes[req.class].Idempotent,
	})
	p.handleResult(dispatched, refused)
}

func (p *ourPolicy) handleResult(dispatched []dispatch.Request, refused []dispatch.Refusal) {
	for _, r := range dispatched {
		p.dispatched = append(p.dispatched, int(r.ID))
	}
	for _, f := range refused {
		p.classResult(int(f.ID)).RefusedByReason[f.Reason.String()]++
		p.retry(int(f.ID), true)
	}
}

func (p *ourPolicy) complete(r int, o dispatch.Outcome) {
	dispatched, refused := p.schedulers[p.requests[r].upstream].Done(p.currentTime(), uint64(r), o)
	p.handleResult(dispatched, refused)
}

func (p *ourPolicy) retry(r int, notRun bool) {
	req := &p.requests[r]
	c := &p.Deployment.Classes[req.class]
	d := retry.Decide(p.currentTime(), retry.Attempt{
		Idempotent:       c.Idempotent,
		NotRun:           notRun,
		AttemptsMade:     req.attempts,
		MaxAttempts:      maxAttempts,
		Deadline:         p.clock.start.Add(time.Duration(req.deadline)),
		ExpectedDuration: c.ServiceTime,
	}, p.budgets[req.entryDaemon])
	p.result.Phases[req.phase].Retries[d.Reason.String()]++
	if !d.Retry {
		p.endUnanswered(r)
		return
	}
	req.tried = append(req.tried, upstreamID(req.upstream))
	next, err := p.tables[req.entryDaemon].PickRetry(p.currentTime(), service, req.tried)
	if err != nil {
		p.endUnanswered(r)
		return
	}
	req.upstream = int(next.Upstream) - 1
	p.scheduleAfter(int64(d.Wait), eventRetry, r, 0)
}

func (p *ourPolicy) observe(r int, ok bool, latency time.Duration) {
	req := &p.requests[r]
	if ok {
		p.budgets[req.entryDaemon].Success()
	}
	p.tables[req.entryDaemon].Observe(p.currentTime(), service, upstreamID(req.upstream), ok, latency)
}

func (p *ourPolicy) pick(entry int, tried []ident.UpstreamID) (int, bool) {
	if p.Policy == Threshold {
		return p.pickByThreshold(entry, tried)
	}
	c, err := p.tables[entry].Pick(p.currentTime(), service, tried)
	return int(c.Upstream) - 1, err == nil
}

// pickByThreshold selects an upstream in another data centre when the reported queues differ by
// more than the threshold, otherwise in the local one, with the Table in both cases.
func (p *ourPolicy) pickByThreshold(entry int, tried []ident.UpstreamID) (int, bool) {
	local, remote, bestDC := 0.0, -1.0, -1
	queuedSums := make([]float64, p.Deployment.DataCentres)
	upstreamCounts := make([]float64, p.Deployment.DataCentres)
	for i, u := range p.upstreams {
		queuedSums[u.dc] += p.queuedPerSlot[i]
		upstreamCounts[u.dc]++
	}
	for dc := range queuedSums {
		mean := queuedSums[dc] / max(1, upstreamCounts[dc])
		switch {
		case dc == p.daemonDCs[entry]:
			local = mean
		case bestDC < 0 || mean < remote:
			remote, bestDC = mean, dc
		}
	}
	dc := p.daemonDCs[entry]
	serviceTime := p.Deployment.Classes[PostClass].ServiceTime
	if bestDC >= 0 && naive.SpillByThreshold(local, remote, p.Deployment.HopDelay, serviceTime) {
		dc = bestDC
	}
	i := slices.Index(p.daemonDCs, dc)
	c, err := p.tables[i].Pick(p.currentTime(), service, p.withOtherDataCentres(dc, tried))
	return int(c.Upstream) - 1, err == nil
}

// withOtherDataCentres adds the upstreams of other data centres to those already tried, which
// prevents spill-over by the rule of the Table.
func (p *ourPolicy) withOtherDataCentres(dc int, tried []ident.UpstreamID) []ident.UpstreamID {
	out := slices.Clone(tried)
	for i, u := range p.upstreams {
		if u.dc != dc {
			out = append(out, upstreamID(i))
		}
	}
	return out
}

func (p *ourPolicy) applyReport(i int, r selection.Report) {
	p.queuedPerSlot[i] = float64(r.Queued) / float64(p.Deployment.Slots)
	for _, t := range p.tables {
		t.Report(p.currentTime(), service, r)
	}
}

func (p *ourPolicy) upstreamLoad(i int) (running, queued int) {
	l := p.schedulers[i].Load()
	p.result.LowestEffectiveSlots = min(p.result.LowestEffectiveSlots, l.Slots)
	return l.Running, l.Queued
}

func (p *ourPolicy) meanEffectiveSlots() float64 {
	sum := 0
	for _, s := range p.schedulers {
		sum += s.Load().Slots
	}
	return float64(sum) / float64(len(p.schedulers))
}

func (p *ourPolicy) tick() {
	for _, s := range p.schedulers {
		dispatched, refused := s.Tick(p.currentTime())
		p.handleResult(dispatched, refused)
	}
}
