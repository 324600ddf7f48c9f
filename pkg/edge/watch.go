package edge

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/routing"
)

const (
	// watchStreams is the number of control hosts that a daemon follows. With two, the loss of one
	// does not delay changes; the cost does not grow with the fleet.
	watchStreams = 2
	// connectTimeout bounds the first connection to a control host, and slowConnectTimeout those
	// after many failures: the opening packet to a host without power is lost, and TCP repeats it only
	// after a second, so a short attempt finds a host that has just started sooner.
	connectTimeout     = 150 * time.Millisecond
	slowConnectTimeout = time.Second
	// watchSilence is the time without an update, three status periods, after which a control host
	// is given up.
	watchSilence = 1500 * time.Millisecond
	// leaveOutdated is how long a control host may be without contact to its leader before the daemon
	// looks for another one. An election takes about as long.
	leaveOutdated = time.Second
	// maxChangeLines is the number of changed registrations of an update that have a line each. The
	// start of a daemon is delayed by 20 µs of work a line, on a twentieth of a core.
	maxChangeLines = 20
	// redialPause is the wait after a control host did not answer.
	redialPause = 50 * time.Millisecond
	// settleTime is how long a daemon waits for a settled control host when every service has an
	// upstream already.
	settleTime = time.Second
	// outdatedTime is how long a daemon waits for a current control host. Two elections fit in.
	outdatedTime = 2 * time.Second
)

var errOutdated = errors.New("control host has no contact to its leader: another one is tried")

// watches follows control hosts.
type watches struct {
	d       *Daemon
	last    atomic.Int64 // steady clock of the latest update of a current control host, in nanoseconds
	mu      sync.Mutex
	learned []netip.AddrPort // control hosts that others have named
	used    [watchStreams]netip.AddrPort
	live    [watchStreams]bool // connected

	firstUpdate time.Duration
	current     bool // a current control host was heard
	settled     bool // a settled control host was heard
}

func newWatches(d *Daemon) *watches { return &watches{d: d} }

// heard returns when a current control host last sent an update.
func (w *watches) heard() time.Duration { return time.Duration(w.last.Load()) }

func (w *watches) run(ctx context.Context) error {
	var all sync.WaitGroup
	for slot := range watchStreams {
		all.Go(func() { w.runSlot(ctx, slot) })
	}
	all.Wait()
	return nil
}

// runSlot follows one control host after the other.
func (w *watches) runSlot(ctx context.Context, slot int) {
	limit := connectTimeout
	for ctx.Err() == nil {
		host, ok := w.pick(slot)
		if ok {
			connected, err := w.follow(ctx, slot, host, limit)
			w.setLive(slot, false)
			if limit = min(limit*9/8, slowConnectTimeout); connected {
				limit = connectTimeout
			}
			if ctx.Err() == nil {
				events.WatchEnded.Log(w.d.log, logrus.Fields{"host": host, "error": err})
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

// pick returns a control host that the other slots do not use: another one than before if there is one.
func (w *watches) pick(slot int) (netip.AddrPort, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.used[slot]
	var hosts []netip.AddrPort
	for _, a := range slices.Concat(w.learned, w.d.cfg.Seeds()) {
		if !slices.Contains(hosts, a) && !w.usedElsewhere(slot, a) {
			hosts = append(hosts, a)
		}
	}
	if len(hosts) > 1 {
		hosts = slices.DeleteFunc(hosts, func(a netip.AddrPort) bool { return a == before })
	}
	if len(hosts) == 0 {
		w.used[slot] = netip.AddrPort{}
		return netip.AddrPort{}, false
	}
	w.used[slot] = hosts[rand.IntN(len(hosts))]
	return w.used[slot], true
}

func (w *watches) usedElsewhere(slot int, a netip.AddrPort) bool {
	for i, u := range w.used {
		if i != slot && u == a {
			return true
		}
	}
	return false
}

func (w *watches) setLive(slot int, live bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.live[slot] = live
}

func (w *watches) otherLive(slot int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, live := range w.live {
		if i != slot && live {
			return true
		}
	}
	return false
}

// follow takes the updates of a control host until it fails, goes silent or is outdated for long
// while another one is connected. It reports whether the host answered.
func (w *watches) follow(ctx context.Context, slot int, host netip.AddrPort, connect time.Duration) (connected bool, err error) {
	tcp, err := dial(ctx, host, connect)
	if err != nil {
		return connected, err
	}
	defer tcp.Close()
	conn, err := clientOn(tcp)
	if err != nil {
		return connected, err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := time.AfterFunc(watchSilence, cancel)
	defer limit.Stop()
	w.d.mu.Lock()
	version := w.d.core.Version()
	w.d.mu.Unlock()
	stream, err := entrypb.NewWatcherClient(conn).Watch(ctx, &entrypb.WatchRequest{Daemon: w.d.cfg.Name, Version: version}, grpc.WaitForReady(true))
	if err != nil {
		return connected, err
	}
	var outdatedSince time.Duration
	var table *routing.Table // of this stream, from which its differences count
	for first := true; ; first = false {
		u, err := stream.Recv()
		if err != nil {
			return connected, err
		}
		limit.Reset(watchSilence)
		if first {
			connected = true
			w.setLive(slot, true)
			events.WatchStarted.Log(w.d.log, logrus.Fields{"host": host, "current": u.GetStatus().GetCurrent(), "settled": u.GetStatus().GetSettled()})
		}
		if u.GetTable() != nil {
			if table, err = routing.Apply(table, u.GetTable()); err != nil {
				events.UpdateRefused.Log(w.d.log, logrus.Fields{"host": host, "error": err})
				return connected, err
			}
		}
		w.apply(host, u, table)
		now := w.d.clock()
		switch {
		case u.GetStatus().GetCurrent():
			outdatedSince = 0
		case outdatedSince == 0:
			outdatedSince = now
		case now-outdatedSince > leaveOutdated && w.otherLive(slot):
			return connected, errOutdated
		}
	}
}

// apply merges an update into what the daemon knows. table is the latest one of the control host, nil if
// it has sent none.
func (w *watches) apply(host netip.AddrPort, u *entrypb.Update, table *routing.Table) {
	d, now := w.d, w.d.clock()
	if u.GetStatus().GetCurrent() {
		w.last.Store(int64(now))
	}
	w.learn(u.GetStatus().GetControlHosts())
	d.mu.Lock()
	newTable := table != nil && d.core.SetTable(table)
	if newTable {
		events.ConfigInForce.Log(d.log, logrus.Fields{"version": table.Version, "routes": len(table.Routes), "host": host})
	}
	for _, p := range u.GetRegistrations() {
		d.directory.Announce(directory.FromProto(p, now))
	}
	changes := d.directory.Changes(d.revision)
	d.revision = d.directory.Revision()
	for _, r := range changes {
		d.core.SetUpstream(r)
	}
	release := d.core.Holding() && (newTable || len(changes) > 0)
	ended := d.core.TakeEnded()
	d.mu.Unlock()
	if release {
		d.releaseHeld()
	}
	d.resetAll(ended)
	w.logChanges(now, host, changes)
	w.prepare(now, u.GetStatus())
}

// logChanges writes a line for each changed registration, or one for many: a daemon that starts learns
// all of them at once, and 3005 on the control hosts has each.
func (w *watches) logChanges(now time.Duration, host netip.AddrPort, changes []directory.Registration) {
	if len(changes) > maxChangeLines {
		states := map[string]int{}
		for _, r := range changes {
			states[r.State.String()]++
		}
		events.RegistrationsLearnt.Log(w.d.log, logrus.Fields{"registrations": len(changes), "states": states, "host": host})
		return
	}
	for _, r := range changes {
		events.UpstreamChanged.Log(w.d.log, logrus.Fields{
			"upstream": r.Name, "born": r.Born, "sequence": r.Sequence, "service": r.Service, "address": r.Address,
			"state": r.State.String(), "silent": r.Silent, "age_ms": (now - r.Heard).Milliseconds(), "host": host,
		})
	}
}

func (w *watches) learn(hosts []string) {
	if len(hosts) == 0 {
		return
	}
	var learned []netip.AddrPort
	for _, s := range hosts {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			events.UpdateRefused.Log(w.d.log, logrus.Fields{"error": errors.Wrap(err, "address of a control host")})
			continue
		}
		learned = append(learned, a)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.learned = learned
}

// prepare makes the daemon ready once it knows what a daemon in touch with the control hosts knows:
// the table of a current control host, and the registrations of a settled one, or at least an
// upstream for every service in use. A daemon that finds no such host in time serves with what it
// has: its data centre may be cut off.
func (w *watches) prepare(now time.Duration, s *entrypb.Status) {
	d := w.d
	if d.prepared.Load() {
		return
	}
	w.mu.Lock()
	if w.firstUpdate == 0 {
		w.firstUpdate = now
	}
	w.current = w.current || s.GetCurrent()
	w.settled = w.settled || s.GetSettled()
	waited, current, settled := now-w.firstUpdate, w.current, w.settled
	w.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	served := settled || d.core.EveryServiceHasUpstream() && (current || waited > settleTime)
	if d.core.Version() == 0 || !served || !current && waited < outdatedTime {
		return
	}
	d.core.SetPrepared()
	d.prepared.Store(true)
	events.DaemonReady.Log(d.log, logrus.Fields{
		"version": d.core.Version(), "upstreams": d.core.Upstreams(), "settled": settled, "current": current,
	})
}
