package load

import (
	"context"
	"time"
)

const (
	pollPeriod      = 20 * time.Millisecond
	detectionLimit  = 10 * time.Second
	convergeLimit   = 20 * time.Second
	stateDead       = "dead"
	stateServing    = "serving"
	upstreamSettles = 5 * time.Second // a lease, and time for callers to open again
)

// pause waits for a time between half and one and a half of d, drawn from the seed.
func (l *live) pause(ctx context.Context, d time.Duration) bool {
	return sleep(ctx, d/2+time.Duration(l.rng.Int64N(int64(d))))
}

func (l *live) hostName(i int) string { return l.fleet.Hosts()[i].Name }

// crashDaemon kills a daemon.
func (l *live) crashDaemon(i int) error {
	l.note("killing daemon %s", l.hostName(i))
	l.crashedNow("daemon_crashes")
	return l.fleet.KillDaemon(i)
}

func (l *live) crashedNow(figure string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, time.Now())
	l.figures[figure]++
}

// startDaemon starts a stopped daemon and waits until it serves.
func (l *live) startDaemon(i int) error {
	if err := l.fleet.StartDaemon(i); err != nil {
		return err
	}
	return l.fleet.WaitReady(i)
}

// restartDaemon stops a daemon gracefully and starts it again.
func (l *live) restartDaemon(i int) error {
	l.note("restarting daemon %s", l.hostName(i))
	if err := l.fleet.StopDaemon(i); err != nil {
		return err
	}
	l.count("daemon_restarts")
	return l.startDaemon(i)
}

// awaitDetection waits until every other daemon that runs has found daemon i dead, and
// notes how long that took.
func (l *live) awaitDetection(ctx context.Context, i int, running func(int) bool) {
	since := time.Now()
	for !l.foundDead(i, running) {
		if time.Since(since) > detectionLimit || !sleep(ctx, pollPeriod) {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detections = append(l.detections, time.Since(since))
}

func (l *live) foundDead(dead int, running func(int) bool) bool {
	for i := range l.fleet.Hosts() {
		if i == dead || !running(i) {
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

// awaitConverged waits until every daemon sees every other one serving and knows every
// upstream, and returns how long that took.
func (l *live) awaitConverged(ctx context.Context) time.Duration {
	since := time.Now()
	for !l.converged() {
		if time.Since(since) > convergeLimit || !sleep(ctx, pollPeriod) {
			break
		}
	}
	return time.Since(since)
}

func (l *live) converged() bool {
	hosts := len(l.fleet.Hosts())
	upstreams := 0
	for _, s := range l.dep.services {
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

// crashUpstream kills an upstream of the first service.
func (l *live) crashUpstream(n int) error {
	name := l.dep.upstream(l.dep.services[0], n, 0).Name
	l.note("killing upstream %s", name)
	l.mu.Lock()
	l.crashed[name] = true
	l.mu.Unlock()
	l.crashedNow("upstream_crashes")
	return l.fleet.KillUpstream(name)
}

func (l *live) startUpstream(n int) error {
	c := l.dep.upstream(l.dep.services[0], n, l.opts.Seed)
	c.Faults = l.faults[c.Name]
	return l.fleet.StartUpstream(c)
}

// shed lets a third of the upstreams refuse the given part of their requests.
func (l *live) shed(ratio float64) {
	s := l.dep.services[0]
	for n := 0; n < s.upstreams; n += 3 {
		l.faults[l.dep.upstream(s, n, 0).Name].SetShed(ratio)
	}
}

func allRunning(int) bool { return true }
