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

// policy decides for the daemons of a run.
type policy interface {
	submit(r int)
	done(r int, o dispatch.Outcome)
	retry(r int, notRun bool)
	observe(r int, ok bool, latency time.Duration)
	pick(entry int, tried []ident.UpstreamID) (int, bool)
	report(i int, r selection.Report)
	load(i int) (running, queued int)
	candidates()
	tick()
	meanSlots() float64
}

func newPolicy(s *simulation) policy {
	if s.Policy.isNaive() {
		return newNaivePolicy(s)
	}
	return newOurPolicy(s)
}

// ourPolicy uses one Scheduler for each upstream, and a Table and a retry budget for
// each daemon.
type ourPolicy struct {
	*simulation
	schedulers []*dispatch.Scheduler
	tables     []*selection.Table
	budgets    []*retry.Budget
	queued     []float64 // reported queue per slot, for the threshold rule
}

func newOurPolicy(s *simulation) *ourPolicy {
	p := &ourPolicy{simulation: s, queued: make([]float64, len(s.upstreams))}
	for range s.upstreams {
		p.schedulers = append(p.schedulers, dispatch.NewScheduler(s.Deployment.limits()))
	}
	for i, dc := range s.daemons {
		t := selection.NewTable(ident.DataCentreID(dc+1), rand.New(rand.NewPCG(s.Seed, uint64(i)+1)))
		t.SetDaemonCount(p.peers(dc))
		p.tables = append(p.tables, t)
		p.budgets = append(p.budgets, retry.NewBudget(retry.DefaultRatio, retry.DefaultMinRate, retry.DefaultBurst))
	}
	p.candidates()
	return p
}

func (p *ourPolicy) peers(dc int) int {
	n := 0
	for _, d := range p.daemons {
		if d == dc {
			n++
		}
	}
	return n
}

func (p *ourPolicy) candidates() {
	var all []selection.Candidate
	for i, u := range p.upstreams {
		if !u.absent {
			all = append(all, p.candidate(i))
		}
	}
	for _, t := range p.tables {
		t.Set(p.time(), service, all)
	}
}

func (p *ourPolicy) submit(r int) {
	q := &p.requests[r]
	run, refused := p.schedulers[q.upstream].Submit(p.time(), dispatch.Request{
		ID:         uint64(r),
		Class:      q.class,
		Deadline:   p.clock.start.Add(time.Duration(q.deadline)),
		Idempotent: p.Deployment.Classes[q.class].Idempotent,
	})
	p.take(run, refused)
}

func (p *ourPolicy) take(run []dispatch.Request, refused []dispatch.Refusal) {
	for _, r := range run {
		p.todo = append(p.todo, int(r.ID))
	}
	for _, f := range refused {
		p.class(int(f.ID)).Refused[f.Reason.String()]++
		p.retry(int(f.ID), true)
	}
}

func (p *ourPolicy) done(r int, o dispatch.Outcome) {
	run, refused := p.schedulers[p.requests[r].upstream].Done(p.time(), uint64(r), o)
	p.take(run, refused)
}

func (p *ourPolicy) retry(r int, notRun bool) {
	q := &p.requests[r]
	c := &p.Deployment.Classes[q.class]
	d := retry.Decide(p.time(), retry.Attempt{
		Idempotent:  c.Idempotent,
		NotRun:      notRun,
		Attempts:    q.attempts,
		MaxAttempts: maxAttempts,
		Deadline:    p.clock.start.Add(time.Duration(q.deadline)),
		Expected:    c.Service,
	}, p.budgets[q.entry])
	p.result.Phases[q.phase].Retries[d.Reason.String()]++
	if !d.Retry {
		p.lost(r)
		return
	}
	q.tried = append(q.tried, upstreamID(q.upstream))
	next, err := p.tables[q.entry].PickRetry(p.time(), service, q.tried)
	if err != nil {
		p.lost(r)
		return
	}
	q.upstream = int(next.Upstream) - 1
	p.after(int64(d.Wait), attempt, r, 0)
}

func (p *ourPolicy) observe(r int, ok bool, latency time.Duration) {
	q := &p.requests[r]
	if ok {
		p.budgets[q.entry].Success()
	}
	p.tables[q.entry].Observe(p.time(), service, upstreamID(q.upstream), ok, latency)
}

func (p *ourPolicy) pick(entry int, tried []ident.UpstreamID) (int, bool) {
	if p.Policy == Threshold {
		return p.pickByThreshold(entry, tried)
	}
	c, err := p.tables[entry].Pick(p.time(), service, tried)
	return int(c.Upstream) - 1, err == nil
}

// pickByThreshold opens in another data centre when the reported queues differ by more
// than the threshold, and otherwise locally, with the same Table.
func (p *ourPolicy) pickByThreshold(entry int, tried []ident.UpstreamID) (int, bool) {
	local, remote, best := 0.0, -1.0, -1
	sum := make([]float64, p.Deployment.DataCentres)
	n := make([]float64, p.Deployment.DataCentres)
	for i, u := range p.upstreams {
		sum[u.dc] += p.queued[i]
		n[u.dc]++
	}
	for dc := range sum {
		mean := sum[dc] / max(1, n[dc])
		switch {
		case dc == p.daemons[entry]:
			local = mean
		case best < 0 || mean < remote:
			remote, best = mean, dc
		}
	}
	dc := p.daemons[entry]
	mean := p.Deployment.Classes[Post].Service
	if best >= 0 && naive.SpillByThreshold(local, remote, p.Deployment.Hop, mean) {
		dc = best
	}
	i := slices.Index(p.daemons, dc)
	c, err := p.tables[i].Pick(p.time(), service, p.outside(dc, tried))
	return int(c.Upstream) - 1, err == nil
}

// outside adds the upstreams of other data centres to those already tried, so that the
// Table does not spill over by its own rule.
func (p *ourPolicy) outside(dc int, tried []ident.UpstreamID) []ident.UpstreamID {
	out := slices.Clone(tried)
	for i, u := range p.upstreams {
		if u.dc != dc {
			out = append(out, upstreamID(i))
		}
	}
	return out
}

func (p *ourPolicy) report(i int, r selection.Report) {
	p.queued[i] = float64(r.Queued) / float64(p.Deployment.Slots)
	for _, t := range p.tables {
		t.Report(p.time(), service, r)
	}
}

func (p *ourPolicy) load(i int) (running, queued int) {
	l := p.schedulers[i].Load()
	p.result.LowestSlots = min(p.result.LowestSlots, l.Slots)
	return l.Running, l.Queued
}

func (p *ourPolicy) meanSlots() float64 {
	sum := 0
	for _, s := range p.schedulers {
		sum += s.Load().Slots
	}
	return float64(sum) / float64(len(p.schedulers))
}

func (p *ourPolicy) tick() {
	for _, s := range p.schedulers {
		run, refused := s.Tick(p.time())
		p.take(run, refused)
	}
}
