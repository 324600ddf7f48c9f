package load

import (
	"context"
	"time"
)

const (
	pollPeriod         = 20 * time.Millisecond
	detectionTimeout   = 10 * time.Second
	convergeTimeout    = 20 * time.Second
	stateDead          = "dead"
	stateServing       = "serving"
	upstreamSettleTime = 5 * time.Second // a lease, and time for callers to reopen flows
)

// pauseAround waits for a random time between 0.5 d and 1.5 d, drawn from the seed.
func (l *liveRun) pauseAround(ctx context.Context, d time.Duration) bool {
	return sleep(ctx, d/2+time.Duration(l.faultRNG.Int64N(int64(d))))
}

func (l *liveRun) hostName(i int) string { return l.fleet.Hosts()[i].Name }

// crashDaemon kills a daemon and records the crash.
func (l *liveRun) crashDaemon(i int) error {
	l.progressf("killing daemon %s", l.hostName(i))
	l.recordCrash("daemon_crashes")
	return l.fleet.KillDaemon(i)
}

func (l *liveRun) recordCrash(figure string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashTimes = append(l.crashTimes, time.Now())
	l.figures[figure]++
}

// startDaemon starts a stopped daemon and waits until it is ready.
func (l *liveRun) startDaemon(i int) error {
	if err := l.fleet.StartDaemon(i); err != nil {
		return err
	}
	return l.fleet.WaitReady(i)
}

// restartDaemon stops a daemon gracefully and starts it again.
func (l *liveRun) restartDaemon(i int) error {
	l.progressf("restarting daemon %s", l.hostName(i))
	if err := l.fleet.StopDaemon(i); err != nil {
		return err
	}
	l.incrementFigure("daemon_restarts")
	return l.startDaemon(i)
}

// awaitDetection waits until every other running daemon has detected daemon i as dead, and records
// the time that this took.
func (l *liveRun) awaitDetection(ctx context.Context, i int, isRunning func(int) bool) {
	start := time.Now()
	for !l.isCrashDetected(i, isRunning) {
		if time.Since(start) > detectionTimeout || !sleep(ctx, pollPeriod) {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detectionTimes = append(l.detectionTimes, time.Since(start))
}

func (l *liveRun) isCrashDetected(dead int, isRunning func(int) bool) bool {
	for i := range l.fleet.Hosts() {
		if i == dead || !isRunning(i) {
			continue
		}
		for _, m := range l.fleet.Daemon(i).Status().Members {
			if m.Name == l.hostName(dead) && m.State != stateDead {
				return false
			}
		}
	}
	return true
}

// awaitConverged waits until all daemons see each other serving and agree on the owner of every
// upstream, and returns the time that this took.
func (l *liveRun) awaitConverged(ctx context.Context) time.Duration {
	start := time.Now()
	for !l.isConverged() {
		if time.Since(start) > convergeTimeout || !sleep(ctx, pollPeriod) {
			break
		}
	}
	return time.Since(start)
}

func (l *liveRun) isConverged() bool {
	hosts := len(l.fleet.Hosts())
	upstreams := 0
	for _, s := range l.deployment.services {
		upstreams += s.upstreams
	}
	owners := map[string]string{}
	for i := range hosts {
		st := l.fleet.Daemon(i).Status()
		serving := 0
		for _, m := range st.Members {
			if m.State == stateServing {
				serving++
			}
		}
		if serving != hosts || len(st.Upstreams) != upstreams {
			return false
		}
		for _, u := range st.Upstreams {
			key := u.Service + "/" + u.Name
			if owners[key] == "" {
				owners[key] = u.Owner
			}
			if owners[key] != u.Owner {
				return false
			}
		}
	}
	return true
}

// crashUpstream kills an upstream of the first service and records the crash.
func (l *liveRun) crashUpstream(n int) error {
	name := l.deployment.upstreamConfig(l.deployment.services[0], n, 0).Name
	l.progressf("killing upstream %s", name)
	l.mu.Lock()
	l.crashedUpstreams[name] = true
	l.mu.Unlock()
	l.recordCrash("upstream_crashes")
	return l.fleet.KillUpstream(name)
}

func (l *liveRun) startUpstream(n int) error {
	c := l.deployment.upstreamConfig(l.deployment.services[0], n, l.opts.Seed)
	c.Faults = l.faults[c.Name]
	return l.fleet.StartUpstream(c)
}

// setShedRatio makes a third of the upstreams shed the given share of their requests.
func (l *liveRun) setShedRatio(ratio float64) {
	s := l.deployment.services[0]
	for n := 0; n < s.upstreams; n += 3 {
		l.faults[l.deployment.upstreamConfig(s, n, 0).Name].SetShedRatio(ratio)
	}
}

func allRunning(int) bool { return true }
