package controlhost

import (
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/routing"
)

const (
	// statusPeriod is how often an entry daemon hears from its control host when nothing changes.
	statusPeriod = 500 * time.Millisecond
	// joinChanges is the shortest time between two updates, so that changes that come together
	// travel together.
	joinChanges = 20 * time.Millisecond
)

type watchServer struct {
	entrypb.UnimplementedWatcherServer
	h *Host
}

// Watch sends what an entry daemon needs until the stream or the host ends.
func (s *watchServer) Watch(q *entrypb.WatchRequest, stream grpc.ServerStreamingServer[entrypb.Update]) error {
	h := s.h
	events.WatchStarted.Log(h.log, logrus.Fields{"daemon": q.GetDaemon(), "version": q.GetVersion()})
	w := watcher{h: h, version: q.GetVersion()}
	timer := time.NewTimer(statusPeriod)
	defer timer.Stop()
	for {
		h.mu.Lock()
		changed := h.changed
		h.mu.Unlock()
		if err := stream.Send(w.next()); err != nil {
			events.WatchEnded.Log(h.log, logrus.Fields{"daemon": q.GetDaemon(), "error": err})
			return err
		}
		timer.Reset(statusPeriod)
		select {
		case <-stream.Context().Done():
			events.WatchEnded.Log(h.log, logrus.Fields{"daemon": q.GetDaemon(), "error": stream.Context().Err()})
			return stream.Context().Err()
		case <-h.ctx.Done():
			return nil
		case <-timer.C:
		case <-changed:
			time.Sleep(joinChanges)
		}
	}
}

// watcher knows what one entry daemon has been sent.
type watcher struct {
	h        *Host
	version  uint64         // that the daemon has
	sent     *routing.Table // on this stream, nil before the first one
	revision uint64
	started  bool
}

// next returns everything that changed since the last call.
func (w *watcher) next() *entrypb.Update {
	h := w.h
	u := &entrypb.Update{Snapshot: !w.started, Status: &entrypb.Status{Current: h.group.Current(), Settled: h.settled.Load()}}
	if !w.started {
		u.Status.ControlHosts = append(u.Status.ControlHosts, h.cfg.Peer.String())
		for _, a := range h.group.Peers() {
			u.Status.ControlHosts = append(u.Status.ControlHosts, a.String())
		}
	}
	w.started = true
	if t := h.table.Load(); t.Version > w.version {
		if w.sent == nil {
			u.Table = t.Proto()
		} else {
			u.Table = h.difference(w.sent, t)
		}
		w.sent, w.version = t, t.Version
	}
	now := h.clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.directory.Changes(w.revision) {
		u.Registrations = append(u.Registrations, r.Proto(now))
	}
	w.revision = h.directory.Revision()
	return u
}

// tableStep is the difference between two tables.
type tableStep struct {
	from, to   *routing.Table
	difference *entrypb.RoutingTable
}

// difference returns the difference between two tables. Most entry daemons need the same one, so the
// latest is kept.
func (h *Host) difference(from, to *routing.Table) *entrypb.RoutingTable {
	if s := h.step.Load(); s != nil && s.from == from && s.to == to {
		return s.difference
	}
	s := &tableStep{from, to, to.Difference(from)}
	h.step.Store(s)
	return s.difference
}
