package load

import (
	"maps"
	"time"
)

// crashIntervals returns the intervals of the run in which outcomes may be unknown.
func (l *liveRun) crashIntervals() []interval {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []interval
	for _, at := range l.crashTimes {
		out = append(out, interval{at, at.Add(crashWindow)})
	}
	return out
}

// buildReport creates the report after a run.
func (l *liveRun) buildReport(name string) *Report {
	l.computeFigures()
	r := &Report{
		Scenario: name, Mode: "live", Seed: l.opts.Seed, Seconds: time.Since(l.startTime).Seconds(),
		ScheduleDigest: newArrivalSchedule(l.opts.Seed, l.opts.Rate, l.classes, l.plan.callers).digest(),
		Checks:         append(l.commonChecks(), l.plan.checks(l)...),
	}
	policy := l.opts.Policy
	if policy == "" {
		policy = PolicyOurs
	}
	r.Results = []Result{{
		Deployment: l.deployment.name, Policy: policy, Phase: "run", Classes: l.collector.results(),
		FlowsBroken: len(l.feeds.broken), Imbalance: l.runImbalance(), RetriesByReason: l.collector.retries, Figures: l.figures,
	}}
	return r
}

// computeFigures computes the figures of the report from the counts and records of the run.
func (l *liveRun) computeFigures() {
	records := l.fleet.Records
	for reason, n := range l.collector.unansweredReasons {
		l.figures[reason] = float64(n)
	}
	for _, b := range l.feeds.broken {
		l.figures["feed broken at "+b.upstream+": "+b.reason]++
		if b.upstream == "" {
			l.figures["feeds_broken_before_subscription"]++
		}
	}
	maps.Copy(l.figures, map[string]float64{
		"requests_doubled":  float64(records.DoubledRequests()),
		"false_not_run":     float64(l.collector.countFalseNotRun(records)),
		"wrong_answers":     float64(l.collector.wrongAnswers),
		"wrong_service":     float64(records.WrongServiceCalls()),
		"feeds_opened":      float64(l.feeds.opened),
		"feed_items":        float64(l.feeds.items),
		"feed_gaps":         float64(l.feeds.gaps),
		"feed_wrong_items":  float64(l.feeds.wrongItems),
		"feed_silences":     float64(len(l.feeds.silences)), // at least minSilence long
		"unanswered":        float64(len(l.collector.unansweredRequests)),
		"unanswered_strays": float64(l.collector.unansweredOutside(l.crashIntervals())),
	})
	if len(l.crashTimes) > 0 {
		h := l.feeds.resumeTimes(l.crashTimes)
		l.figures["feeds_interrupted"] = float64(h.TotalCount())
		l.figures["feed_resume_p50_s"] = float64(h.ValueAtQuantile(50)) / 1e6
		l.figures["feed_resume_p99_s"] = float64(h.ValueAtQuantile(99)) / 1e6
		l.figures["feed_resume_max_s"] = float64(h.Max()) / 1e6
	}
	for _, d := range l.detectionTimes {
		l.figures["detection_max_s"] = max(l.figures["detection_max_s"], d.Seconds())
	}
}

// isExpectedToBreak reports whether the upstream of a feed has crashed, or was on the other side of
// the partition from the caller, which must then use an upstream that it can reach.
func (l *liveRun) isExpectedToBreak(b brokenFeed) bool {
	if b.upstream == "" {
		return len(l.crashedUpstreams) > 0
	}
	return l.crashedUpstreams[b.upstream] || l.partitionInterval.contains(b.at) && l.isSeparated(b.caller, b.upstream)
}

// isSeparated reports whether the partition separated a caller from an upstream.
func (l *liveRun) isSeparated(caller int, upstream string) bool {
	for _, s := range l.deployment.services {
		for n := range s.upstreams {
			if u := l.deployment.upstreamConfig(s, n, 0); u.Name == upstream {
				callerDataCentre := l.dataCentreOf(caller)
				return callerDataCentre != u.DataCentre && (callerDataCentre == l.isolatedDataCentre || u.DataCentre == l.isolatedDataCentre)
			}
		}
	}
	return false
}

// countUnansweredReachable counts unanswered requests whose caller could reach the owner all the
// time, including the owner of the flow that the caller had before: a request is held back while that
// owner is silent. It leaves out requests on flows that never ran a request, because their upstream
// is unknown.
func (l *liveRun) countUnansweredReachable() int {
	n := 0
	for _, u := range l.collector.unansweredRequests {
		upstream := l.fleet.Records.FlowUpstream(u.lastFlow)
		if upstream == "" || l.isSeparated(u.caller, upstream) || l.isSeparated(u.caller, l.fleet.Records.FlowUpstream(u.firstFlow)) {
			continue
		}
		l.progressf("request of caller %d in %s at %s ended as %s, from %.1f to %.1f s", u.caller, l.dataCentreOf(u.caller),
			upstream, u.reason, u.from.Sub(l.startTime).Seconds(), u.until.Sub(l.startTime).Seconds())
		n++
	}
	return n
}

// commonChecks returns the checks of every live scenario.
func (l *liveRun) commonChecks() []Check {
	answered := l.collector.sumClasses(func(c *Class) int { return c.Answered })
	return []Check{
		atMost("requests doubled", l.figures["requests_doubled"], 0),
		atMost("false not run", l.figures["false_not_run"], 0),
		atMost("wrong answers", l.figures["wrong_answers"], 0),
		atMost("wrong service", l.figures["wrong_service"], 0),
		atMost("feed gaps", l.figures["feed_gaps"], 0),
		atMost("wrong feed items", l.figures["feed_wrong_items"], 0),
		atMost("broken feeds of upstreams that live", float64(l.feeds.countUnexpectedlyBroken(l.isExpectedToBreak)), 0),
		atLeast("requests answered", float64(answered), 1),
	}
}

// runImbalance returns the requests run by the busiest upstream of the first service over the mean.
func (l *liveRun) runImbalance() float64 {
	runs := l.fleet.Records.RunsByUpstream()
	s := l.deployment.services[0]
	busiest, sum := 0, 0
	for n := range s.upstreams {
		v := runs[l.deployment.upstreamConfig(s, n, 0).Name]
		busiest, sum = max(busiest, v), sum+v
	}
	if sum == 0 {
		return 1
	}
	return float64(busiest) * float64(s.upstreams) / float64(sum)
}
