package load

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// detectionTarget and convergeTarget are bounds of section 1.5 of the design, in seconds.
const (
	detectionTarget = 2
	convergeTarget  = 3
	// resumeTarget adds to the detection target the time in which a client without replies resends
	// its keep-alive and another daemon takes over.
	resumeTarget = detectionTarget + 1
)

func liveScenarios() []Scenario {
	newScenario := func(name, summary string, naive bool, p livePlan) Scenario {
		return Scenario{Name: name, Summary: summary, hasNaivePolicy: naive, run: func(ctx context.Context, s Scenario, o Options) (*Report, error) {
			return runLive(ctx, s, o, p)
		}}
	}
	return []Scenario{
		newScenario("at-most-once", "non-idempotent requests under loss, duplicates, crashes, owner changes and shedding: none runs twice", true, livePlan{
			duration: 20 * time.Second, rate: 2000, callers: 120, feeds: 30, nonIdempotentOnly: true,
			injectFaults: churnDaemons, checks: atMostOnceChecks,
		}),
		newScenario("daemon-crash", "owners are killed with feeds open: feeds resume, non-idempotent requests end as answered or unknown", false, livePlan{
			duration: 20 * time.Second, rate: 400, callers: 40, feeds: 120,
			injectFaults: crashDaemons, checks: crashChecks,
		}),
		newScenario("double-failure", "two daemons are killed together, or one is killed while another hands over", false, livePlan{
			duration: 20 * time.Second, rate: 400, callers: 40, feeds: 120,
			injectFaults: crashDaemonPairs, checks: crashChecks,
		}),
		newScenario("rolling-restart", "every daemon restarts in turn: no feed breaks, no request is interrupted", false, livePlan{
			duration: 10 * time.Second, rate: 400, callers: 40, feeds: 120,
			injectFaults: restartDaemonsInTurn, checks: undisturbedChecks,
		}),
		newScenario("drain", "an upstream drains: no new work there after 2 s, open feeds stay", false, livePlan{
			duration: 10 * time.Second, rate: 400, callers: 40, feeds: 120,
			injectFaults: drainUpstreams, checks: drainChecks,
		}),
		newScenario("partition", "a data centre is isolated for a while: each side serves its own upstreams", false, livePlan{
			duration: 20 * time.Second, rate: 300, callers: 42, feeds: 84, localCallers: true,
			injectFaults: partitionDataCentre, checks: partitionChecks,
		}),
		newScenario("upstream-crash", "an upstream crashes: its flows break and are counted, only idempotent requests are retried", false, livePlan{
			duration: 15 * time.Second, rate: 400, callers: 40, feeds: 120,
			injectFaults: crashUpstreams, checks: upstreamChecks,
		}),
	}
}

// churnDaemons crashes or restarts one daemon after another while upstreams shed load at times.
func churnDaemons(ctx context.Context, l *liveRun) error {
	for n := 0; !l.isOver(); n++ {
		l.setShedRatio(float64(n%2) * shedRatio)
		i := l.faultRNG.IntN(len(l.fleet.Hosts()))
		var err error
		if n%3 == 2 {
			err = l.crashAndRestart(ctx, i)
		} else {
			err = l.restartDaemon(i)
		}
		if err != nil {
			return err
		}
		if !l.pauseAround(ctx, faultPause) {
			return nil
		}
	}
	l.setShedRatio(0)
	return nil
}

const (
	shedRatio  = 0.05
	faultPause = 2 * time.Second
	// downDuration is how long a crashed daemon stays down: its crash is detected and its upstreams
	// are taken over before it returns.
	downDuration = 3 * time.Second
)

func (l *liveRun) crashAndRestart(ctx context.Context, i int) error {
	if err := l.crashDaemon(i); err != nil {
		return err
	}
	l.awaitDetection(ctx, i, allRunning)
	sleep(ctx, downDuration)
	return l.startDaemon(i)
}

func atMostOnceChecks(l *liveRun) []Check {
	return []Check{atMost("unanswered without a crash", l.figures["unanswered_strays"], 0)}
}

// crashDaemons kills one daemon after another; each is running again before the next one is killed.
func crashDaemons(ctx context.Context, l *liveRun) error {
	if !l.pauseAround(ctx, faultPause) {
		return nil
	}
	for _, i := range l.faultRNG.Perm(len(l.fleet.Hosts())) {
		if err := l.crashAndRestart(ctx, i); err != nil {
			return err
		}
		if l.isOver() || !l.pauseAround(ctx, faultPause) {
			break
		}
	}
	return nil
}

func crashChecks(l *liveRun) []Check {
	return []Check{
		atMost("unanswered without a crash", l.figures["unanswered_strays"], 0),
		atMost("detection, slowest, s", l.figures["detection_max_s"], detectionTarget),
		atMost("feeds resume, slowest, s", l.figures["feed_resume_max_s"], resumeTarget),
	}
}

// crashDaemonPairs alternates between two kinds of double failures: two crashes, and a crash of one
// daemon during the graceful stop of another.
func crashDaemonPairs(ctx context.Context, l *liveRun) error {
	for n := 0; n == 0 || !l.isOver(); n++ {
		if !l.pauseAround(ctx, faultPause) {
			return nil
		}
		order := l.faultRNG.Perm(len(l.fleet.Hosts()))
		a, b := order[0], order[1]
		delay := time.Duration(l.faultRNG.Int64N(int64(500 * time.Millisecond)))
		first := func() error { return l.crashDaemon(a) }
		if n%2 == 1 {
			first = func() error { l.progressf("stopping daemon %s", l.hostName(a)); return l.fleet.StopDaemon(a) }
		}
		if err := l.failDaemonPair(ctx, first, b, delay); err != nil {
			return err
		}
		sleep(ctx, downDuration)
		for _, i := range []int{a, b} {
			if err := l.startDaemon(i); err != nil {
				return err
			}
		}
	}
	return nil
}

// failDaemonPair runs the first failure and kills the second daemon after a short delay.
func (l *liveRun) failDaemonPair(ctx context.Context, first func() error, second int, delay time.Duration) error {
	g := errgroup.Group{}
	g.Go(first)
	g.Go(func() error {
		sleep(ctx, delay)
		return l.crashDaemon(second)
	})
	return g.Wait()
}

func restartDaemonsInTurn(ctx context.Context, l *liveRun) error {
	for i := range l.fleet.Hosts() {
		if err := l.restartDaemon(i); err != nil {
			return err
		}
		if !l.pauseAround(ctx, time.Second) {
			return nil
		}
	}
	return nil
}

func undisturbedChecks(l *liveRun) []Check {
	return []Check{atMost("requests interrupted", l.figures["unanswered"], 0)}
}

// drainUpstreams drains upstreams while callers open new feeds.
func drainUpstreams(ctx context.Context, l *liveRun) error {
	if !sleep(ctx, time.Second) {
		return nil
	}
	for _, n := range l.faultRNG.Perm(l.deployment.services[0].upstreams)[:2] {
		name := l.deployment.upstreamConfig(l.deployment.services[0], n, 0).Name
		l.progressf("draining upstream %s", name)
		l.fleet.DrainUpstream(name)
		l.incrementFigure("upstream_drains")
	}
	for n := l.plan.feeds; !l.isOver(); n++ {
		l.feeds.startFeed(l.feedCtx, l.clientOf(0, n), n)
		if !sleep(ctx, newFeedPause) {
			return nil
		}
	}
	return nil
}

const newFeedPause = 50 * time.Millisecond

func drainChecks(l *liveRun) []Check {
	return append(undisturbedChecks(l),
		atMost("requests begun at drained upstreams after 2 s", float64(l.fleet.Records.LateRuns()), 0),
		atMost("feeds begun at drained upstreams after 2 s", float64(l.fleet.Records.LateFeeds()), 0))
}

// partitionDataCentre isolates one data centre for a while and reconnects it.
func partitionDataCentre(ctx context.Context, l *liveRun) error {
	if !sleep(ctx, l.opts.Duration/6) {
		return nil
	}
	centre := l.deployment.dataCentres[l.faultRNG.IntN(len(l.deployment.dataCentres))]
	l.progressf("isolating data centre %s", centre)
	isolatedAt := time.Now()
	l.fleet.SetIsolated(true, centre)
	before := l.fleet.Records.RunsByUpstream()
	if !sleep(ctx, l.opts.Duration/3) {
		return nil
	}
	l.recordRunsBySide(centre, before)
	l.progressf("reconnecting data centre %s", centre)
	l.fleet.SetIsolated(false, centre)
	l.setFigure("converged_s", l.awaitConverged(ctx).Seconds())
	l.mu.Lock()
	l.partitionInterval, l.isolatedDataCentre = interval{isolatedAt, time.Now()}, centre
	l.mu.Unlock()
	return nil
}

// recordRunsBySide records how many requests ran on each side of the partition since the given
// counts.
func (l *liveRun) recordRunsBySide(centre string, before map[string]int) {
	now := l.fleet.Records.RunsByUpstream()
	inside, outside := 0, 0
	for _, s := range l.deployment.services {
		for n := range s.upstreams {
			u := l.deployment.upstreamConfig(s, n, 0)
			if u.DataCentre == centre {
				inside += now[u.Name] - before[u.Name]
			} else {
				outside += now[u.Name] - before[u.Name]
			}
		}
	}
	l.setFigure("run_cut_off_side", float64(inside))
	l.setFigure("run_other_side", float64(outside))
}

func partitionChecks(l *liveRun) []Check {
	around := interval{l.partitionInterval.from.Add(-requestDeadline), l.partitionInterval.until}
	return []Check{
		atLeast("requests run by the side cut off", l.figures["run_cut_off_side"], 1),
		atLeast("requests run by the other side", l.figures["run_other_side"], 1),
		atMost("views converge after healing, s", l.figures["converged_s"], convergeTarget),
		atMost("unanswered without a partition", float64(l.collector.unansweredOutside([]interval{around})), 0),
		atMost("unanswered at a reachable owner", float64(l.countUnansweredReachable()), 0),
	}
}

// crashUpstreams kills one upstream after another.
func crashUpstreams(ctx context.Context, l *liveRun) error {
	for _, n := range l.faultRNG.Perm(l.deployment.services[0].upstreams) {
		if !l.pauseAround(ctx, faultPause) {
			return nil
		}
		if err := l.crashUpstream(n); err != nil {
			return err
		}
		if !sleep(ctx, upstreamSettleTime) {
			return nil
		}
		if err := l.startUpstream(n); err != nil {
			return err
		}
		if l.isOver() {
			return nil
		}
	}
	return nil
}

func upstreamChecks(l *liveRun) []Check {
	idempotent := 0.0
	for i, k := range l.classes {
		if k.idempotent {
			idempotent += float64(l.collector.classes[i].Unknown + l.collector.classes[i].MissedDeadline)
		}
	}
	return []Check{
		atMost("unanswered without a crash", l.figures["unanswered_strays"], 0),
		atLeast("feeds broken and counted", float64(len(l.feeds.broken)), 1),
		atMost("idempotent requests unanswered", idempotent, 0),
	}
}
