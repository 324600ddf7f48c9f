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
	// resumeTarget adds the time in which a client without replies repeats its keep-alive,
	// and the take-over, to the detection target.
	resumeTarget = detectionTarget + 1
)

func liveScenarios() []Scenario {
	live := func(name, summary string, naive bool, p plan) Scenario {
		return Scenario{Name: name, Summary: summary, naive: naive, run: func(ctx context.Context, s Scenario, o Options) (*Report, error) {
			return runLive(ctx, s, o, p)
		}}
	}
	return []Scenario{
		live("at-most-once", "posts through loss, repeats, crashes, owner changes and shedding: none runs twice", true, plan{
			duration: 20 * time.Second, rate: 2000, callers: 120, feeds: 30, postsOnly: true,
			drive: churn, checks: atMostOnceChecks,
		}),
		live("daemon-crash", "owners are killed with feeds open: feeds resume, posts end as answered or unknown", false, plan{
			duration: 20 * time.Second, rate: 400, callers: 40, feeds: 120,
			drive: crashDaemons, checks: crashChecks,
		}),
		live("double-failure", "two daemons killed together, a daemon killed while another hands over", false, plan{
			duration: 20 * time.Second, rate: 400, callers: 40, feeds: 120,
			drive: crashPairs, checks: crashChecks,
		}),
		live("rolling-restart", "every daemon restarts in turn: no feed breaks, no request is interrupted", false, plan{
			duration: 10 * time.Second, rate: 400, callers: 40, feeds: 120,
			drive: rollDaemons, checks: undisturbedChecks,
		}),
		live("drain", "an upstream drains: no new work there after 2 s, open feeds stay", false, plan{
			duration: 10 * time.Second, rate: 400, callers: 40, feeds: 120,
			drive: drainUpstream, checks: drainChecks,
		}),
		live("partition", "a data centre is cut off for a while: each side serves its own upstreams", false, plan{
			duration: 20 * time.Second, rate: 300, callers: 42, feeds: 84, local: true,
			drive: partition, checks: partitionChecks,
		}),
		live("upstream-crash", "an upstream crashes: its flows break and are counted, only idempotent requests are retried", false, plan{
			duration: 15 * time.Second, rate: 400, callers: 40, feeds: 120,
			drive: crashUpstreams, checks: upstreamChecks,
		}),
	}
}

// churn crashes and restarts daemons in turn, with upstreams that shed at times.
func churn(ctx context.Context, l *live) error {
	for n := 0; !l.over(); n++ {
		l.shed(float64(n%2) * shedRatio)
		i := l.rng.IntN(len(l.fleet.Hosts()))
		var err error
		if n%3 == 2 {
			err = l.crashAndRestart(ctx, i)
		} else {
			err = l.restartDaemon(i)
		}
		if err != nil {
			return err
		}
		if !l.pause(ctx, churnPause) {
			return nil
		}
	}
	l.shed(0)
	return nil
}

const (
	shedRatio  = 0.05
	churnPause = 2 * time.Second
	// downTime is how long a crashed daemon stays away: it is detected and replaced before
	// it comes back.
	downTime = 3 * time.Second
)

func (l *live) crashAndRestart(ctx context.Context, i int) error {
	if err := l.crashDaemon(i); err != nil {
		return err
	}
	l.awaitDetection(ctx, i, allRunning)
	sleep(ctx, downTime)
	return l.startDaemon(i)
}

func atMostOnceChecks(l *live) []Check {
	return []Check{atMost("unanswered without a crash", l.figures["unanswered_strays"], 0)}
}

// crashDaemons kills one daemon after the other; each comes back before the next one dies.
func crashDaemons(ctx context.Context, l *live) error {
	if !l.pause(ctx, churnPause) {
		return nil
	}
	for _, i := range l.rng.Perm(len(l.fleet.Hosts())) {
		if err := l.crashAndRestart(ctx, i); err != nil {
			return err
		}
		if l.over() || !l.pause(ctx, churnPause) {
			break
		}
	}
	return nil
}

func crashChecks(l *live) []Check {
	return []Check{
		atMost("unanswered without a crash", l.figures["unanswered_strays"], 0),
		atMost("detection, slowest, s", l.figures["detection_max_s"], detectionTarget),
		atMost("feeds resume, slowest, s", l.figures["feed_resume_max_s"], resumeTarget),
	}
}

// crashPairs alternates two kinds of double failures.
func crashPairs(ctx context.Context, l *live) error {
	for n := 0; n == 0 || !l.over(); n++ {
		if !l.pause(ctx, churnPause) {
			return nil
		}
		order := l.rng.Perm(len(l.fleet.Hosts()))
		a, b := order[0], order[1]
		between := time.Duration(l.rng.Int64N(int64(500 * time.Millisecond)))
		first := func() error { return l.crashDaemon(a) }
		if n%2 == 1 {
			first = func() error { l.note("stopping daemon %s", l.hostName(a)); return l.fleet.StopDaemon(a) }
		}
		if err := l.failPair(ctx, first, b, between); err != nil {
			return err
		}
		sleep(ctx, downTime)
		for _, i := range []int{a, b} {
			if err := l.startDaemon(i); err != nil {
				return err
			}
		}
	}
	return nil
}

// failPair runs the first failure and kills a daemon a moment later.
func (l *live) failPair(ctx context.Context, first func() error, second int, after time.Duration) error {
	g := errgroup.Group{}
	g.Go(first)
	g.Go(func() error {
		sleep(ctx, after)
		return l.crashDaemon(second)
	})
	return g.Wait()
}

func rollDaemons(ctx context.Context, l *live) error {
	for i := range l.fleet.Hosts() {
		if err := l.restartDaemon(i); err != nil {
			return err
		}
		if !l.pause(ctx, time.Second) {
			return nil
		}
	}
	return nil
}

func undisturbedChecks(l *live) []Check {
	return []Check{atMost("requests interrupted", l.figures["unanswered"], 0)}
}

// drainUpstream drains upstreams while callers open new feeds.
func drainUpstream(ctx context.Context, l *live) error {
	if !sleep(ctx, time.Second) {
		return nil
	}
	for _, n := range l.rng.Perm(l.dep.services[0].upstreams)[:2] {
		name := l.dep.upstream(l.dep.services[0], n, 0).Name
		l.note("draining upstream %s", name)
		l.fleet.DrainUpstream(name)
		l.count("upstream_drains")
	}
	for n := l.plan.feeds; !l.over(); n++ {
		l.feeds.start(l.feedCtx, l.clientOf(0, n), n)
		if !sleep(ctx, newFeedPause) {
			return nil
		}
	}
	return nil
}

const newFeedPause = 50 * time.Millisecond

func drainChecks(l *live) []Check {
	return append(undisturbedChecks(l),
		atMost("requests begun at drained upstreams after 2 s", float64(l.fleet.Records.LateRuns()), 0),
		atMost("feeds begun at drained upstreams after 2 s", float64(l.fleet.Records.LateFeeds()), 0))
}

// partition cuts one data centre off and connects it again.
func partition(ctx context.Context, l *live) error {
	if !sleep(ctx, l.opts.For/6) {
		return nil
	}
	centre := l.dep.centres[l.rng.IntN(len(l.dep.centres))]
	l.note("cutting %s off", centre)
	cut := time.Now()
	l.fleet.Isolate(true, centre)
	before := l.fleet.Records.ByUpstream()
	if !sleep(ctx, l.opts.For/3) {
		return nil
	}
	l.served(centre, before)
	l.note("connecting %s again", centre)
	l.fleet.Isolate(false, centre)
	l.figure("converged_s", l.awaitConverged(ctx).Seconds())
	l.mu.Lock()
	l.cut, l.cutCentre = interval{cut, time.Now()}, centre
	l.mu.Unlock()
	return nil
}

// served notes how many requests ran on each side since the given counts.
func (l *live) served(centre string, before map[string]int) {
	now := l.fleet.Records.ByUpstream()
	inside, outside := 0, 0
	for _, s := range l.dep.services {
		for n := range s.upstreams {
			u := l.dep.upstream(s, n, 0)
			if u.DataCentre == centre {
				inside += now[u.Name] - before[u.Name]
			} else {
				outside += now[u.Name] - before[u.Name]
			}
		}
	}
	l.figure("run_cut_off_side", float64(inside))
	l.figure("run_other_side", float64(outside))
}

func partitionChecks(l *live) []Check {
	around := interval{l.cut.from.Add(-requestDeadline), l.cut.until}
	return []Check{
		atLeast("requests run by the side cut off", l.figures["run_cut_off_side"], 1),
		atLeast("requests run by the other side", l.figures["run_other_side"], 1),
		atMost("views converge after healing, s", l.figures["converged_s"], convergeTarget),
		atMost("unanswered without a partition", float64(l.col.unknownOutside([]interval{around})), 0),
		atMost("unanswered at a reachable owner", float64(l.unansweredReachable()), 0),
	}
}

// crashUpstreams kills upstreams one after the other.
func crashUpstreams(ctx context.Context, l *live) error {
	for _, n := range l.rng.Perm(l.dep.services[0].upstreams) {
		if !l.pause(ctx, churnPause) {
			return nil
		}
		if err := l.crashUpstream(n); err != nil {
			return err
		}
		if !sleep(ctx, upstreamSettles) {
			return nil
		}
		if err := l.startUpstream(n); err != nil {
			return err
		}
		if l.over() {
			return nil
		}
	}
	return nil
}

func upstreamChecks(l *live) []Check {
	idempotent := 0.0
	for i, k := range l.classes {
		if k.idempotent {
			idempotent += float64(l.col.classes[i].Unknown + l.col.classes[i].Deadline)
		}
	}
	return []Check{
		atMost("unanswered without a crash", l.figures["unanswered_strays"], 0),
		atLeast("feeds broken and counted", float64(len(l.feeds.broken)), 1),
		atMost("idempotent requests unanswered", idempotent, 0),
	}
}
