package model

import (
	"time"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/selection"
)

// openFlow opens a flow of a caller in a data centre and schedules the next one unless it is extra.
func (s *simulation) openFlow(dc int, extra bool) {
	if !extra {
		rate := float64(s.steadyFlowCount()) / s.Deployment.MeanFlowLifetime.Seconds()
		s.scheduleAfter(s.exponential(1e9/rate), eventOpenFlow, s.randomCallerDC(), 0)
	}
	phase := s.currentPhase()
	phase.FlowOpens++
	i, ok := s.selectUpstream(dc)
	if !ok {
		phase.FailedOpens++
		return
	}
	f := s.allocateFlow()
	s.flows[f] = flow{upstream: int32(i), dc: int32(dc), generation: s.flows[f].generation + 1, liveIndex: int32(len(s.liveFlows))}
	s.liveFlows = append(s.liveFlows, int32(f))
	u := s.upstreams[i]
	u.advance(s.now)
	u.flows++
	s.scheduleAfter(s.exponential(float64(s.Deployment.MeanFlowLifetime)), eventCloseFlow, f, int(s.flows[f].generation))
	phase.openedFlows++
	if u.dc != dc {
		phase.remoteFlows++
	}
	if u.stalled {
		phase.StalledOpens++
	}
}

// selectUpstream selects an upstream as the entry daemon does. An owner whose upstream has reached
// its flow limit forwards the open to another upstream.
func (s *simulation) selectUpstream(dc int) (int, bool) {
	entry := s.randomEntryDaemon(dc)
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

func (s *simulation) allocateFlow() int {
	if n := len(s.freeFlows); n > 0 {
		f := s.freeFlows[n-1]
		s.freeFlows = s.freeFlows[:n-1]
		return f
	}
	s.flows = append(s.flows, flow{liveIndex: -1})
	return len(s.flows) - 1
}

func (s *simulation) closeFlow(f int) {
	fl := &s.flows[f]
	if fl.liveIndex < 0 {
		return
	}
	last := len(s.liveFlows) - 1
	moved := s.liveFlows[last]
	s.liveFlows[fl.liveIndex] = moved
	s.flows[moved].liveIndex = fl.liveIndex
	s.liveFlows = s.liveFlows[:last]
	fl.liveIndex = -1
	fl.generation++
	u := s.upstreams[fl.upstream]
	u.advance(s.now)
	u.flows--
	s.freeFlows = append(s.freeFlows, f)
}

// handleReport delivers a report to all daemons. If reportIndex is -1, it takes a report of
// upstream i and schedules its delivery and the next report.
func (s *simulation) handleReport(reportIndex, i int) {
	if reportIndex >= 0 {
		s.policy.applyReport(i, s.reports[reportIndex])
		s.freeReports = append(s.freeReports, reportIndex)
		return
	}
	s.scheduleAfter(int64(reportInterval), eventLoadReport, -1, i)
	if s.upstreams[i].absent {
		return
	}
	reportIndex = s.allocateReport()
	s.reports[reportIndex] = s.loadReport(i)
	delay := s.rng.Int64N(int64(maxReportDelay))
	if s.distortions[i] == staleLoad {
		delay = int64(staleReportDelay)
	}
	s.scheduleAfter(delay, eventLoadReport, reportIndex, i)
}

func (s *simulation) allocateReport() int {
	if n := len(s.freeReports); n > 0 {
		reportIndex := s.freeReports[n-1]
		s.freeReports = s.freeReports[:n-1]
		return reportIndex
	}
	s.reports = append(s.reports, selection.Report{})
	return len(s.reports) - 1
}

// loadReport returns the load of upstream i with the distortion of its reports.
func (s *simulation) loadReport(i int) selection.Report {
	u := s.upstreams[i]
	running, queued := s.policy.upstreamLoad(i)
	r := selection.Report{Upstream: upstreamID(i), Flows: u.flows, Running: running, Queued: queued, Healthy: true, OwnedHere: true, At: s.currentTime()}
	switch s.distortions[i] {
	case zeroLoad:
		r.Flows, r.Running, r.Queued = 0, 0, 0
	case scaledDown:
		r.Flows, r.Running, r.Queued = r.Flows*3/10, r.Running*3/10, r.Queued*3/10
	case scaledUp:
		r.Flows, r.Running, r.Queued = 2*r.Flows, 2*r.Running, 2*r.Queued
	case constantLoad:
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
	if i == len(s.upstreams)-1 && s.JoinAt > 0 {
		c.Since = s.clock.start.Add(s.JoinAt)
	}
	return c
}
