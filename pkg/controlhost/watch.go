package controlhost

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/status"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/routing"
)

const (
	// statusInterval is the time between two updates to an entry daemon while nothing changes.
	statusInterval = 500 * time.Millisecond
	// updateBatchDelay is the shortest time between two updates, so that changes at about the same
	// time are sent together.
	updateBatchDelay = 20 * time.Millisecond
)

type watchServer struct {
	entrypb.UnimplementedWatcherServer
	host *Host
}

// Watch sends updates to an entry daemon until the stream or the host ends.
func (s *watchServer) Watch(request *entrypb.WatchRequest, stream grpc.ServerStreamingServer[entrypb.Update]) error {
	h := s.host
	events.WatchStarted.Log(h.log, logrus.Fields{"daemon": request.GetDaemon(), "version": request.GetVersion()})
	if added := h.learnNotifyAddresses([]string{request.GetNotifyAddress()}); len(added) > 0 {
		h.sharing.shareNotifyAddresses(added)
	}
	h.watchers.add(request.GetDaemon())
	defer h.watchers.remove(request.GetDaemon())
	watchEnded := h.watchingDaemons.add(request.GetNotifyAddress())
	defer func() { watchEnded(h.clock()) }()
	w := watchState{host: h, daemonVersion: request.GetVersion(), acceptsPacked: request.GetAcceptsPacked(), digests: request.GetRegistrationDigests()}
	timer := time.NewTimer(statusInterval)
	defer timer.Stop()
	for {
		h.mu.Lock()
		changed := h.changed
		h.mu.Unlock()
		if err := stream.Send(w.nextUpdate()); err != nil {
			events.WatchEnded.Log(h.log, logrus.Fields{"daemon": request.GetDaemon(), "error": err})
			h.count("watches_ended", "code", status.Code(err).String())
			return err
		}
		timer.Reset(statusInterval)
		select {
		case <-stream.Context().Done():
			events.WatchEnded.Log(h.log, logrus.Fields{"daemon": request.GetDaemon(), "error": stream.Context().Err()})
			h.count("watches_ended", "code", status.FromContextError(stream.Context().Err()).Code().String())
			return stream.Context().Err()
		case <-h.ctx.Done():
			return nil
		case <-timer.C:
		case <-changed:
			time.Sleep(updateBatchDelay)
		}
	}
}

// watchState records what one entry daemon has received.
type watchState struct {
	host          *Host
	daemonVersion uint64         // version of the table that the daemon has
	sentTable     *routing.Table // latest table sent on this stream, nil before the first one
	sentRevision  uint64
	evacuations   uint64   // revision of the evacuations sent
	sentHosts     []string // control hosts sent last
	started       bool
	acceptsPacked bool     // the daemon understands packed snapshots
	digests       []uint64 // of the registrations that the daemon had at the start of the watch
}

// nextUpdate returns everything that has changed since the last call.
func (w *watchState) nextUpdate() *entrypb.Update {
	h := w.host
	u := &entrypb.Update{Snapshot: !w.started, Status: &entrypb.Status{Current: h.group.Current(), Settled: h.settled.Load()}}
	if hosts := h.controlHosts(); !slices.Equal(hosts, w.sentHosts) {
		u.Status.ControlHosts, w.sentHosts = hosts, hosts
	}
	first := !w.started
	w.started = true
	// After the status: what was acknowledged before the host counted as current is included.
	if e := h.group.Evacuations(); e.GetRevision() > w.evacuations {
		u.Evacuations, w.evacuations = e, e.GetRevision()
	}
	t := h.table.Load()
	if first && w.acceptsPacked && len(w.digests) == 0 {
		packed, revision, err := h.packedSnapshot(t, t.Version > w.daemonVersion)
		if err == nil {
			u.PackedSnapshot, w.sentRevision = packed, revision
			if t.Version > w.daemonVersion {
				w.sentTable, w.daemonVersion = t, t.Version
			}
			return u
		}
		events.SnapshotNotPacked.Log(h.log, logrus.Fields{"error": err})
	}
	if t.Version > w.daemonVersion {
		if w.sentTable == nil {
			u.Table = t.Proto()
		} else {
			u.Table = h.difference(w.sentTable, t)
		}
		w.sentTable, w.daemonVersion = t, t.Version
	}
	now := h.clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	changes := h.directory.Changes
	if first && len(w.digests) > 0 {
		changes = func(uint64) []directory.Registration { return h.directory.Differing(w.digests) }
	}
	u.Registrations = h.encodeRegistrations(changes(w.sentRevision), now)
	w.sentRevision = h.directory.Revision()
	return u
}

// controlHosts returns the peer addresses of the control hosts that this one knows, its own one first.
func (h *Host) controlHosts() []string {
	hosts := []string{h.cfg.PeerAddress.String()}
	for _, a := range h.group.Peers() {
		hosts = append(hosts, a.String())
	}
	return hosts
}

// maxSnapshotAge is how long a packed snapshot is used. The ages of its registrations are too low by as much.
const maxSnapshotAge = 200 * time.Millisecond

// snapshotCache holds the latest packed snapshots: with and without a table. After a loss of power all daemons
// need the same ones within a fraction of a second.
type snapshotCache struct {
	mu       sync.Mutex
	withBase [2]packedSnapshot // index 1: with the table
}

type packedSnapshot struct {
	data     []byte
	table    *routing.Table
	revision uint64
	at       time.Duration
}

// packedSnapshot returns the registrations and, if requested, a table as a packed snapshot, and the revision
// of the registrations.
func (h *Host) packedSnapshot(t *routing.Table, withTable bool) ([]byte, uint64, error) {
	c := &h.snapshots
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := &c.withBase[0]
	if withTable {
		cached = &c.withBase[1]
	}
	now := h.clock()
	if cached.data != nil && now-cached.at < maxSnapshotAge && (!withTable || cached.table == t) {
		return cached.data, cached.revision, nil
	}
	s := &entrypb.Snapshot{}
	if withTable {
		s.Table = t.Proto()
	}
	h.mu.Lock()
	s.Registrations = h.encodeRegistrations(h.directory.Changes(0), now)
	revision := h.directory.Revision()
	h.mu.Unlock()
	data, err := directory.PackSnapshot(s)
	if err != nil {
		return nil, 0, err
	}
	*cached = packedSnapshot{data, t, revision, now}
	return data, revision, nil
}

// tableDifference is the difference between two tables.
type tableDifference struct {
	from, to *routing.Table
	message  *entrypb.RoutingTable
}

// difference returns the difference between two tables. Most entry daemons need the same one, so the
// latest is cached.
func (h *Host) difference(from, to *routing.Table) *entrypb.RoutingTable {
	if d := h.latestDifference.Load(); d != nil && d.from == from && d.to == to {
		return d.message
	}
	d := &tableDifference{from, to, to.Difference(from)}
	h.latestDifference.Store(d)
	return d.message
}
