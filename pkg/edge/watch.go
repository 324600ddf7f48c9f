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
	"google.golang.org/grpc/status"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/routing"
)

const (
	// watchStreams is the number of control hosts that a daemon watches. With two, the loss of one does
	// not delay changes; the cost does not grow with the size of the deployment.
	watchStreams = 2
	// connectTimeout bounds the first connection attempt, and slowConnectTimeout those after many
	// failures. A SYN to a host without power is lost and TCP retransmits it only after a second, so
	// short attempts connect sooner to a host that has just started.
	connectTimeout     = 150 * time.Millisecond
	slowConnectTimeout = time.Second
	// watchSilenceTimeout is the time without an update, three status periods, after which the daemon
	// leaves a control host.
	watchSilenceTimeout = 1500 * time.Millisecond
	// leaderContactTimeout is how long a control host may be without contact with its leader before the
	// daemon switches to another one. An election takes about as long.
	leaderContactTimeout = time.Second
	// maxChangeLines is the largest number of changed registrations in an update that are logged one by one.
	// Each line takes 20 µs of CPU time, which delays the start of a daemon on a twentieth of a core.
	maxChangeLines = 20
	// redialPause is the wait between two attempts to connect to a control host.
	redialPause = 50 * time.Millisecond
	// snapshotTimeout is how long the second stream of a starting daemon waits for the snapshot of the first.
	snapshotTimeout = 500 * time.Millisecond
	// settleTimeout is how long a daemon waits for a settled control host when every service already has
	// an upstream.
	settleTimeout = time.Second
	// currentHostTimeout is how long a daemon waits for a current control host; it covers two elections.
	currentHostTimeout = 2 * time.Second
)

var errHostOutdated = errors.New("control host has no contact with its leader: another one is tried")

// watches receives updates from control hosts, one per stream.
type watches struct {
	daemon         *Daemon
	lastUpdateAt   atomic.Int64 // latest update from a current control host, monotonic clock in nanoseconds
	mu             sync.Mutex
	announcedHosts [watchStreams][]netip.AddrPort // control hosts that the latest list on each stream has
	startedHosts   []netip.AddrPort               // hosts that have told that they have started, not yet tried
	usedHosts      [watchStreams]netip.AddrPort
	connected      [watchStreams]bool               // by stream
	cancelDial     [watchStreams]context.CancelFunc // by stream

	snapshotRequestedAt time.Duration // when the first stream requested a snapshot, 0 if none has
	snapshotReceived    chan struct{} // closed when a table and registrations have arrived
	hasSnapshot         bool          // it is closed

	firstUpdateAt time.Duration
	currentSeen   bool // an update from a current control host has arrived
	settledSeen   bool // an update from a settled control host has arrived
}

func newWatches(d *Daemon) *watches { return &watches{daemon: d} }

// lastUpdate returns the time of the latest update from a current control host.
func (w *watches) lastUpdate() time.Duration { return time.Duration(w.lastUpdateAt.Load()) }

func (w *watches) run(ctx context.Context) error {
	var streams sync.WaitGroup
	for stream := range watchStreams {
		streams.Go(func() { w.runStream(ctx, stream) })
	}
	streams.Wait()
	return nil
}

// runStream watches one control host at a time and switches to another one when the watch ends.
func (w *watches) runStream(ctx context.Context, stream int) {
	connectLimit := connectTimeout
	for ctx.Err() == nil {
		dialCtx, cancelDial := context.WithCancel(ctx)
		host, ok := w.pickHost(stream, cancelDial)
		if ok {
			connected, err := w.watchHost(ctx, dialCtx, stream, host, connectLimit)
			w.setConnected(stream, false)
			if connectLimit = min(connectLimit*9/8, slowConnectTimeout); connected {
				connectLimit = connectTimeout
			}
			if ctx.Err() == nil {
				events.WatchEnded.Log(w.daemon.log, logrus.Fields{"host": host, "error": err})
				w.daemon.cfg.Metrics.Counter("watches_ended", "code", status.Code(err).String()).Inc()
			}
		}
		cancelDial()
		if w.hasStartedHost(stream) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

// pickHost returns a control host that no other stream uses: one that has just started, or otherwise a
// different one than before if there is one. cancelDial ends the attempt to connect to it.
func (w *watches) pickHost(stream int, cancelDial context.CancelFunc) (netip.AddrPort, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelDial[stream] = cancelDial
	previous := w.usedHosts[stream]
	for i, a := range w.startedHosts {
		if !w.usedByOtherStream(stream, a) {
			w.startedHosts = slices.Delete(w.startedHosts, i, i+1)
			w.usedHosts[stream] = a
			return a, true
		}
	}
	var hosts []netip.AddrPort
	for _, a := range slices.Concat(slices.Concat(w.announcedHosts[:]...), w.daemon.cfg.Seeds()) {
		if !slices.Contains(hosts, a) && !w.usedByOtherStream(stream, a) {
			hosts = append(hosts, a)
		}
	}
	if len(hosts) > 1 {
		hosts = slices.DeleteFunc(hosts, func(a netip.AddrPort) bool { return a == previous })
	}
	if len(hosts) == 0 {
		w.usedHosts[stream] = netip.AddrPort{}
		return netip.AddrPort{}, false
	}
	w.usedHosts[stream] = hosts[rand.IntN(len(hosts))]
	return w.usedHosts[stream], true
}

func (w *watches) usedByOtherStream(stream int, a netip.AddrPort) bool {
	for i, u := range w.usedHosts {
		if i != stream && u == a {
			return true
		}
	}
	return false
}

func (w *watches) setConnected(stream int, connected bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.connected[stream] = connected
}

func (w *watches) otherConnected(stream int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, connected := range w.connected {
		if i != stream && connected {
			return true
		}
	}
	return false
}

// watchHost applies the updates of a control host until it fails or sends none for watchSilenceTimeout,
// or until it has been outdated for leaderContactTimeout while another host is connected. The end of
// dialCtx ends an attempt to connect, but no connection. It reports whether the host answered.
func (w *watches) watchHost(ctx, dialCtx context.Context, streamIndex int, host netip.AddrPort, connectLimit time.Duration) (connected bool, err error) {
	tcp, err := dial(dialCtx, host, connectLimit)
	if err != nil {
		return connected, err
	}
	defer tcp.Close()
	conn, err := newClientForConn(tcp)
	if err != nil {
		return connected, err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(watchSilenceTimeout, cancel)
	defer silenceTimer.Stop()
	w.awaitSnapshot(ctx, streamIndex)
	w.daemon.mu.Lock()
	version := w.daemon.core.Version()
	var digests []uint64
	if w.daemon.directory.Len() > 0 {
		digests = w.daemon.directory.Digests()
	}
	w.daemon.mu.Unlock()
	stream, err := entrypb.NewWatcherClient(conn).Watch(ctx, &entrypb.WatchRequest{
		Daemon: w.daemon.cfg.Name, Version: version, NotifyAddress: w.daemon.notifyAddressText(), AcceptsPacked: true,
		RegistrationDigests: digests,
	}, grpc.WaitForReady(true))
	if err != nil {
		return connected, err
	}
	var outdatedSince time.Duration
	var table *routing.Table // latest table of this stream, to which its next difference applies
	for first := true; ; first = false {
		u, err := stream.Recv()
		if err != nil {
			return connected, err
		}
		silenceTimer.Reset(watchSilenceTimeout)
		if first {
			connected = true
			w.setConnected(streamIndex, true)
			events.WatchStarted.Log(w.daemon.log, logrus.Fields{"host": host, "current": u.GetStatus().GetCurrent(), "settled": u.GetStatus().GetSettled()})
		}
		if len(u.GetPackedSnapshot()) > 0 {
			snapshot, err := directory.UnpackSnapshot(u.GetPackedSnapshot())
			if err != nil {
				events.UpdateRefused.Log(w.daemon.log, logrus.Fields{"host": host, "error": err})
				return connected, err
			}
			u.Table, u.Registrations = snapshot.GetTable(), snapshot.GetRegistrations()
		}
		if u.GetTable() != nil {
			if table, err = routing.Apply(table, u.GetTable()); err != nil {
				events.UpdateRefused.Log(w.daemon.log, logrus.Fields{"host": host, "error": err})
				return connected, err
			}
		}
		w.setAnnouncedHosts(streamIndex, u.GetStatus().GetControlHosts())
		w.applyUpdate(host, u, table)
		if w.daemon.hasTable() {
			w.recordSnapshot()
		}
		now := w.daemon.clock.now()
		switch {
		case u.GetStatus().GetCurrent():
			outdatedSince = 0
		case outdatedSince == 0:
			outdatedSince = now
		case now-outdatedSince > leaderContactTimeout && w.otherConnected(streamIndex):
			return connected, errHostOutdated
		}
	}
}

// awaitSnapshot waits while another stream of a daemon without state receives its snapshot, so that the link
// carries it only once.
func (w *watches) awaitSnapshot(ctx context.Context, stream int) {
	w.mu.Lock()
	if w.snapshotReceived == nil {
		w.snapshotReceived = make(chan struct{})
	}
	received := w.snapshotReceived
	first := w.snapshotRequestedAt == 0
	if first {
		w.snapshotRequestedAt = w.daemon.clock.now()
	}
	remaining := w.snapshotRequestedAt + snapshotTimeout - w.daemon.clock.now()
	w.mu.Unlock()
	if first {
		return
	}
	select {
	case <-received:
	case <-ctx.Done():
	case <-time.After(max(remaining, 0)):
	}
}

// recordSnapshot ends the wait of the other streams for the first snapshot.
func (w *watches) recordSnapshot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.snapshotReceived != nil && !w.hasSnapshot {
		w.hasSnapshot = true
		close(w.snapshotReceived)
	}
}

// applyUpdate applies an update to the core and the directory. table is the latest table of the control
// host, nil if it has sent none.
func (w *watches) applyUpdate(host netip.AddrPort, u *entrypb.Update, table *routing.Table) {
	d, now := w.daemon, w.daemon.clock.now()
	if u.GetStatus().GetCurrent() {
		w.lastUpdateAt.Store(int64(now))
	}
	d.mu.Lock()
	newEvacuations := d.setEvacuations(now, u.GetEvacuations())
	newTable := table != nil && d.core.SetTable(table)
	if newTable {
		events.ConfigInForce.Log(d.log, logrus.Fields{"version": table.Version, "routes": len(table.Routes), "host": host})
	}
	if newEvacuations {
		d.logEvacuations(host, u.GetEvacuations())
	}
	for _, p := range u.GetRegistrations() {
		r, err := directory.FromProto(p, now)
		if err != nil {
			d.invalidRegistrations.Inc()
			events.UpdateRefused.Log(d.log, logrus.Fields{"host": host, "key": p.GetKey(), "error": err})
			continue
		}
		d.directory.Announce(r)
	}
	d.core.RecordControlContact(now)
	changes := d.directory.Changes(d.directoryRevision)
	d.directoryRevision = d.directory.Revision()
	for _, r := range changes {
		d.core.SetUpstream(r)
	}
	releaseHeld := d.core.HasHeldPackets() && (newTable || newEvacuations || len(changes) > 0)
	flowsToReset := d.core.TakeFlowsToReset()
	d.mu.Unlock()
	if releaseHeld {
		d.releaseHeld()
	}
	d.resetFlows(flowsToReset)
	w.logChanges(now, host, changes)
	w.updatePrepared(now, u.GetStatus())
}

// logChanges writes a line for each changed registration, or a summary of many: a starting daemon gets
// all registrations at once, and event 3005 of the control hosts records each of them.
func (w *watches) logChanges(now time.Duration, host netip.AddrPort, changes []directory.Registration) {
	if len(changes) > maxChangeLines {
		states := map[string]int{}
		for _, r := range changes {
			states[r.State.String()]++
		}
		events.RegistrationsReceived.Log(w.daemon.log, logrus.Fields{"registrations": len(changes), "states": states, "host": host})
		return
	}
	for _, r := range changes {
		events.RegistrationChanged.Log(w.daemon.log, logrus.Fields{
			"upstream": r.Name, "born": r.StartUnixMs, "sequence": r.Sequence, "service": r.Service, "address": r.Address,
			"state": r.State.String(), "silent": r.Silent, "age_ms": (now - r.LastAnnounced).Milliseconds(), "host": host,
		})
	}
}

func (w *watches) setAnnouncedHosts(stream int, hosts []string) {
	if len(hosts) == 0 {
		return
	}
	var parsed []netip.AddrPort
	for _, s := range hosts {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			events.UpdateRefused.Log(w.daemon.log, logrus.Fields{"error": errors.Wrap(err, "address of a control host")})
			continue
		}
		parsed = append(parsed, a)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announcedHosts[stream] = parsed
}

// updatePrepared makes the daemon ready once it has the table of a current control host and the
// registrations of a settled one, or at least an upstream for every service in use. If it reaches no
// such host in time, it serves with the table and registrations that it has: its data centre may be
// partitioned.
func (w *watches) updatePrepared(now time.Duration, s *entrypb.Status) {
	d := w.daemon
	if d.prepared.Load() {
		return
	}
	w.mu.Lock()
	if w.firstUpdateAt == 0 {
		w.firstUpdateAt = now
	}
	w.currentSeen = w.currentSeen || s.GetCurrent()
	w.settledSeen = w.settledSeen || s.GetSettled()
	waited, current, settled := now-w.firstUpdateAt, w.currentSeen, w.settledSeen
	w.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	servicesServed := settled || d.core.EveryServiceHasUpstream() && (current || waited > settleTimeout)
	if d.core.Version() == 0 || !servicesServed || !current && waited < currentHostTimeout {
		return
	}
	d.core.SetPrepared()
	d.prepared.Store(true)
	events.DaemonReady.Log(d.log, logrus.Fields{
		"version": d.core.Version(), "upstreams": d.core.UpstreamCount(), "settled": settled, "current": current,
	})
}
