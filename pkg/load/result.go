package load

import (
	"maps"
	"time"
)

// crashIntervals returns the parts of the run in which outcomes may be unknown.
func (l *live) crashIntervals() []interval {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []interval
	for _, at := range l.crashes {
		out = append(out, interval{at, at.Add(crashWindow)})
	}
	return out
}

// report builds the report after a run.
func (l *live) report(name string) *Report {
	l.finish()
	r := &Report{
		Scenario: name, Mode: "live", Seed: l.opts.Seed, Seconds: time.Since(l.started).Seconds(),
		Schedule: newArrivals(l.opts.Seed, l.opts.Rate, l.classes, l.plan.callers).digest(),
		Checks:   append(l.commonChecks(), l.plan.checks(l)...),
	}
	policy := l.opts.Policy
	if policy == "" {
		policy = PolicyOurs
	}
	r.Results = []Result{{
		Deployment: l.dep.name, Policy: policy, Phase: "run", Classes: l.col.result(),
		FlowsBroken: len(l.feeds.broken), Imbalance: l.imbalance(), Retries: l.col.retries, Figures: l.figures,
	}}
	return r
}

// finish turns what the run collected into figures.
func (l *live) finish() {
	records := l.fleet.Records
	for reason, n := range l.col.reasons {
		l.figures[reason] = float64(n)
	}
	for _, b := range l.feeds.broken {
		l.figures["feed broken at "+b.upstream+": "+b.reason]++
		if b.upstream == "" {
			l.figures["feeds_broken_before_subscription"]++
		}
	}
	maps.Copy(l.figures, map[string]float64{
		"requests_doubled":  float64(records.Doubled()),
		"false_not_run":     float64(l.col.falseNotRun(records)),
		"wrong_answers":     float64(l.col.wrong),
		"wrong_service":     float64(records.WrongService()),
		"feeds_opened":      float64(l.feeds.open),
		"feed_items":        float64(l.feeds.items),
		"feed_gaps":         float64(l.feeds.gaps),
		"feed_wrong_items":  float64(l.feeds.wrong),
		"feed_silences":     float64(len(l.feeds.silences)), // longer than silenceFrom
		"unanswered":        float64(len(l.col.unknown)),
		"unanswered_strays": float64(l.col.unknownOutside(l.crashIntervals())),
	})
	if len(l.crashes) > 0 {
		h := l.feeds.resumed(l.crashes)
		l.figures["feeds_interrupted"] = float64(h.TotalCount())
		l.figures["feed_resume_p50_s"] = float64(h.ValueAtQuantile(50)) / 1e6
		l.figures["feed_resume_p99_s"] = float64(h.ValueAtQuantile(99)) / 1e6
		l.figures["feed_resume_max_s"] = float64(h.Max()) / 1e6
	}
	for _, d := range l.detections {
		l.figures["detection_max_s"] = max(l.figures["detection_max_s"], d.Seconds())
	}
}

// mayBreak reports whether a feed's upstream has crashed, or was on the other side of the
// partition: its caller then has to go on at an upstream that it can reach.
func (l *live) mayBreak(b brokenFeed) bool {
	if b.upstream == "" {
		return len(l.crashed) > 0
	}
	return l.crashed[b.upstream] || l.cut.contains(b.at) && l.separated(b.caller, b.upstream)
}

// separated reports whether the partition lay between a caller and an upstream.
func (l *live) separated(caller int, upstream string) bool {
	for _, s := range l.dep.services {
		for n := range s.upstreams {
			if u := l.dep.upstream(s, n, 0); u.Name == upstream {
				at := l.centreOf(caller)
				return at != u.DataCentre && (at == l.cutCentre || u.DataCentre == l.cutCentre)
			}
		}
	}
	return false
}

// unansweredReachable counts unanswered requests whose owner their caller could reach all the
// time, also that of the flow before a new one: a request is held back while it is silent. Those of flows that never ran a request are left out, since nobody knows their
// upstream.
func (l *live) unansweredReachable() int {
	n := 0
	for _, u := range l.col.unknown {
		at := l.fleet.Records.FlowAt(u.flow)
		if at == "" || l.separated(u.caller, at) || l.separated(u.caller, l.fleet.Records.FlowAt(u.first)) {
			continue
		}
		l.note("request of caller %d in %s at %s ended as %s, from %.1f to %.1f s", u.caller, l.centreOf(u.caller),
			at, u.reason, u.from.Sub(l.started).Seconds(), u.until.Sub(l.started).Seconds())
		n++
	}
	return n
}

// commonChecks are what every live scenario must show.
func (l *live) commonChecks() []Check {
	answered := l.col.sum(func(c *Class) int { return c.Answered })
	return []Check{
		atMost("requests doubled", l.figures["requests_doubled"], 0),
		atMost("false not run", l.figures["false_not_run"], 0),
		atMost("wrong answers", l.figures["wrong_answers"], 0),
		atMost("wrong service", l.figures["wrong_service"], 0),
		atMost("feed gaps", l.figures["feed_gaps"], 0),
		atMost("wrong feed items", l.figures["feed_wrong_items"], 0),
		atMost("broken feeds of upstreams that live", float64(l.feeds.brokenElsewhere(l.mayBreak)), 0),
		atLeast("requests answered", float64(answered), 1),
	}
}

// imbalance returns the runs of the first service's busiest upstream over the mean.
func (l *live) imbalance() float64 {
	runs := l.fleet.Records.ByUpstream()
	s := l.dep.services[0]
	top, sum := 0, 0
	for n := range s.upstreams {
		v := runs[l.dep.upstream(s, n, 0).Name]
		top, sum = max(top, v), sum+v
	}
	if sum == 0 {
		return 1
	}
	return float64(top) * float64(s.upstreams) / float64(sum)
}
