package model

import (
	"time"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/selection"
)

// open opens a flow of a caller in a data centre. Extra flows do not schedule the next one.
func (s *simulation) open(dc int, extra bool) {
	if !extra {
		rate := float64(s.steadyFlows()) / s.Deployment.FlowLife.Seconds()
		s.after(s.exponential(1e9/rate), openFlow, s.callerDC(), 0)
	}
	p := s.current()
	p.Opens++
	i, ok := s.place(dc)
	if !ok {
		p.FailedOpens++
		return
	}
	f := s.newFlow()
	s.flows[f] = flow{upstream: int32(i), dc: int32(dc), gen: s.flows[f].gen + 1, pos: int32(len(s.live))}
	s.live = append(s.live, int32(f))
	u := s.upstreams[i]
	u.advance(s.now)
	u.flows++
	s.after(s.exponential(float64(s.Deployment.FlowLife)), endFlow, f, int(s.flows[f].gen))
	p.opened++
	if u.dc != dc {
		p.remote++
	}
	if u.stalled {
		p.StalledOpens++
	}
}

// place lets the entry daemon select an upstream. An owner whose upstream is full passes
// the open on.
func (s *simulation) place(dc int) (int, bool) {
	entry := s.entry(dc)
	var tried []ident.UpstreamID
	for range maxOpenHops {
		i, ok := s.policy.pick(entry, tried)
		if !ok {
			return 0, false
		}
		if s.upstreams[i].flows < s.Deployment.FlowLimit {
			return i, true
		}
		tried = append(tried, upstreamID(i))
	}
	return 0, false
}

func (s *simulation) newFlow() int {
	if n := len(s.freeFlow); n > 0 {
		f := s.freeFlow[n-1]
		s.freeFlow = s.freeFlow[:n-1]
		return f
	}
	s.flows = append(s.flows, flow{pos: -1})
	return len(s.flows) - 1
}

func (s *simulation) close(f int) {
	fl := &s.flows[f]
	if fl.pos < 0 {
		return
	}
	last := len(s.live) - 1
	moved := s.live[last]
	s.live[fl.pos] = moved
	s.flows[moved].pos = fl.pos
	s.live = s.live[:last]
	fl.pos = -1
	fl.gen++
	u := s.upstreams[fl.upstream]
	u.advance(s.now)
	u.flows--
	s.freeFlow = append(s.freeFlow, f)
}

// report takes the load of upstream i (slot -1) or delivers report slot to all daemons.
func (s *simulation) report(slot, i int) {
	if slot >= 0 {
		s.policy.report(i, s.reports[slot])
		s.freeRep = append(s.freeRep, slot)
		return
	}
	s.after(int64(reportEvery), deliver, -1, i)
	if s.upstreams[i].absent {
		return
	}
	slot = s.newReport()
	s.reports[slot] = s.wrongReport(i)
	delay := s.rng.Int64N(int64(maxReportDelay))
	if s.wrong[i] == stale {
		delay = int64(staleReport)
	}
	s.after(delay, deliver, slot, i)
}

func (s *simulation) newReport() int {
	if n := len(s.freeRep); n > 0 {
		slot := s.freeRep[n-1]
		s.freeRep = s.freeRep[:n-1]
		return slot
	}
	s.reports = append(s.reports, selection.Report{})
	return len(s.reports) - 1
}

func (s *simulation) wrongReport(i int) selection.Report {
	u := s.upstreams[i]
	running, queued := s.policy.load(i)
	r := selection.Report{Upstream: upstreamID(i), Flows: u.flows, Running: running, Queued: queued, Healthy: true, OwnedHere: true, At: s.time()}
	switch s.wrong[i] {
	case zero:
		r.Flows, r.Running, r.Queued = 0, 0, 0
	case scaledDown:
		r.Flows, r.Running, r.Queued = r.Flows*3/10, r.Running*3/10, r.Queued*3/10
	case scaledUp:
		r.Flows, r.Running, r.Queued = 2*r.Flows, 2*r.Running, 2*r.Queued
	case constant:
		r.Flows, r.Running, r.Queued = s.Deployment.FlowLimit/2, 1, 0
	}
	return r
}

func upstreamID(i int) ident.UpstreamID { return ident.UpstreamID(i + 1) }

func (s *simulation) candidate(i int) selection.Candidate {
	c := selection.Candidate{
		Upstream:    upstreamID(i),
		Incarnation: 1,
		DataCentre:  ident.DataCentreID(s.upstreams[i].dc + 1),
		FlowLimit:   s.Deployment.FlowLimit,
		Slots:       s.Deployment.Slots,
		Since:       s.clock.start.Add(-time.Hour),
	}
	if i == len(s.upstreams)-1 && s.ColdAt > 0 {
		c.Since = s.clock.start.Add(s.ColdAt)
	}
	return c
}
