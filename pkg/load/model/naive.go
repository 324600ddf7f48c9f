package model

import (
	"time"

	"rosemarygate/pkg/dispatch"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/naive"
	"rosemarygate/pkg/selection"
)

// boundedQueue is the queue of a Bounded daemon for one upstream; 7 daemons together queue
// about as much as one class may at an owner.
const boundedQueue = 9

// naivePolicy lets each daemon dispatch alone, in order of arrival, to random upstreams.
type naivePolicy struct {
	*simulation
	dispatchers [][]*naive.Dispatcher // by daemon and upstream
}

func newNaivePolicy(s *simulation) *naivePolicy {
	p := &naivePolicy{simulation: s}
	limit := 0
	if s.Policy == Bounded {
		limit = boundedQueue
	}
	for range s.daemons {
		var row []*naive.Dispatcher
		for range s.upstreams {
			row = append(row, naive.NewDispatcher(s.Deployment.Slots, limit))
		}
		p.dispatchers = append(p.dispatchers, row)
	}
	return p
}

func (p *naivePolicy) submit(r int) {
	q := &p.requests[r]
	run, ok := p.dispatchers[q.entry][q.upstream].Submit(dispatch.Request{ID: uint64(r), Class: q.class})
	if !ok {
		p.class(r).Refused[dispatch.ReasonQueueFull.String()]++
		p.retry(r, true)
	}
	p.take(run)
}

func (p *naivePolicy) take(run []dispatch.Request) {
	for _, r := range run {
		p.todo = append(p.todo, int(r.ID))
	}
}

func (p *naivePolicy) done(r int, _ dispatch.Outcome) {
	q := &p.requests[r]
	p.take(p.dispatchers[q.entry][q.upstream].Done(uint64(r)))
}

func (p *naivePolicy) retry(r int, _ bool) {
	q := &p.requests[r]
	if !naive.Retry(q.attempts, maxAttempts) {
		p.lost(r)
		return
	}
	p.result.Phases[q.phase].Retries["immediate"]++
	if i, ok := p.pick(q.entry, nil); ok {
		q.upstream = i
	}
	p.after(0, attempt, r, 0)
}

func (p *naivePolicy) observe(int, bool, time.Duration) {}

func (p *naivePolicy) pick(int, []ident.UpstreamID) (int, bool) {
	for {
		i := naive.Choose(p.rng, len(p.upstreams))
		if !p.upstreams[i].absent {
			return i, true
		}
	}
}

func (p *naivePolicy) report(int, selection.Report) {}

func (p *naivePolicy) load(i int) (running, queued int) {
	for _, row := range p.dispatchers {
		r, q := row[i].Load()
		running += r
		queued += q
	}
	return running, queued
}

func (p *naivePolicy) candidates() {}

func (p *naivePolicy) tick() {}

func (p *naivePolicy) meanSlots() float64 { return float64(p.Deployment.Slots) }
