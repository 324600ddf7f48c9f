package model

import (
	"time"

	"rosemarygate/pkg/dispatch"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/naive"
	"rosemarygate/pkg/selection"
)

// boundedQueueLimit is the queue limit of a daemon for one upstream with policy Bounded. The
// queues of 7 daemons together hold about as much as the queue of one class at an owner.
const boundedQueueLimit = 9

// naivePolicy dispatches at each daemon on its own, in order of arrival, to random upstreams.
type naivePolicy struct {
	*simulation
	dispatchers [][]*naive.Dispatcher // by daemon and upstream
}

func newNaivePolicy(s *simulation) *naivePolicy {
	p := &naivePolicy{simulation: s}
	limit := 0
	if s.Policy == Bounded {
		limit = boundedQueueLimit
	}
	for range s.daemonDCs {
		var row []*naive.Dispatcher
		for range s.upstreams {
			row = append(row, naive.NewDispatcher(s.Deployment.Slots, limit))
		}
		p.dispatchers = append(p.dispatchers, row)
	}
	return p
}

func (p *naivePolicy) submit(r int) {
	req := &p.requests[r]
	dispatched, ok := p.dispatchers[req.entryDaemon][req.upstream].Submit(dispatch.Request{ID: uint64(r), Class: req.class})
	if !ok {
		p.classResult(r).RefusedByReason[dispatch.ReasonQueueFull.String()]++
		p.retry(r, true)
	}
	p.addDispatched(dispatched)
}

func (p *naivePolicy) addDispatched(dispatched []dispatch.Request) {
	for _, r := range dispatched {
		p.dispatched = append(p.dispatched, int(r.ID))
	}
}

func (p *naivePolicy) complete(r int, _ dispatch.Outcome) {
	req := &p.requests[r]
	p.addDispatched(p.dispatchers[req.entryDaemon][req.upstream].Done(uint64(r)))
}

func (p *naivePolicy) retry(r int, _ bool) {
	req := &p.requests[r]
	if !naive.ShouldRetry(req.attempts, maxAttempts) {
		p.endUnanswered(r)
		return
	}
	p.result.Phases[req.phase].Retries["immediate"]++
	if i, ok := p.pick(req.entryDaemon, nil); ok {
		req.upstream = i
	}
	p.scheduleAfter(0, eventRetry, r, 0)
}

func (p *naivePolicy) observe(int, bool, time.Duration) {}

func (p *naivePolicy) pick(int, []ident.UpstreamID) (int, bool) {
	for {
		i := naive.RandomIndex(p.rng, len(p.upstreams))
		if !p.upstreams[i].absent {
			return i, true
		}
	}
}

func (p *naivePolicy) applyReport(int, selection.Report) {}

func (p *naivePolicy) upstreamLoad(i int) (running, queued int) {
	for _, row := range p.dispatchers {
		r, q := row[i].Load()
		running += r
		queued += q
	}
	return running, queued
}

func (p *naivePolicy) updateCandidates() {}

func (p *naivePolicy) tick() {}

func (p *naivePolicy) meanEffectiveSlots() float64 { return float64(p.Deployment.Slots) }
