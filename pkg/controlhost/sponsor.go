package controlhost

import (
	"maps"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/control/directory"
)

// Sponsors of cold upstreams.
//
// Entry daemons watch few of the control hosts, so a host may take the announcement of a cold upstream while
// nobody watches it. So the hosts tell each other who watches them, and each names the sponsor among all.

// watchers counts the watches of each entry daemon. A new watch may begin before the previous one has ended.
type watchers struct {
	mu       sync.Mutex
	watches  map[string]int // by daemon
	revision uint64         // increases when a daemon is added or removed
	sorted   []string       // of sortedAt
	sortedAt uint64
}

func (w *watchers) add(daemon string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.watches == nil {
		w.watches = map[string]int{}
	}
	if w.watches[daemon]++; w.watches[daemon] == 1 {
		w.revision++
	}
}

func (w *watchers) remove(daemon string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.watches[daemon]--; w.watches[daemon] <= 0 {
		delete(w.watches, daemon)
		w.revision++
	}
}

// names returns the daemons, sorted. The result must not be changed.
func (w *watchers) names() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sortedAt != w.revision {
		w.sorted, w.sortedAt = slices.Sorted(maps.Keys(w.watches)), w.revision
	}
	return w.sorted
}

// watchersToShare returns the daemons that watch this host, none if the configuration has no warm-ups.
func (h *Host) watchersToShare() []string {
	if len(h.table.Load().Warmups) == 0 {
		return nil
	}
	return h.watchers.names()
}

// addWatcherChanges adds to a batch how the watchers of this host differ from those of the batches before. The
// caller holds the lock.
func (p *sharePeer) addWatcherChanges(b *entrypb.Batch) {
	current := p.sharing.host.watchersToShare()
	for _, daemon := range current {
		if _, shared := slices.BinarySearch(p.sharedWatchers, daemon); !shared {
			b.WatchersAdded = append(b.WatchersAdded, daemon)
		}
	}
	for _, daemon := range p.sharedWatchers {
		if _, watches := slices.BinarySearch(current, daemon); !watches {
			b.WatchersRemoved = append(b.WatchersRemoved, daemon)
		}
	}
	p.sharedWatchers = current
}

// peerWatchers are the daemons that watch one other control host, as told on one stream.
type peerWatchers struct {
	host    *Host
	daemons map[string]bool
}

func (h *Host) newPeerWatchers() *peerWatchers { return &peerWatchers{h, map[string]bool{}} }

func (w *peerWatchers) merge(b *entrypb.Batch) {
	for _, daemon := range b.GetWatchersAdded() {
		if !w.daemons[daemon] {
			w.daemons[daemon] = true
			w.host.remoteWatchers.add(daemon)
		}
	}
	for _, daemon := range b.GetWatchersRemoved() {
		if w.daemons[daemon] {
			delete(w.daemons, daemon)
			w.host.remoteWatchers.remove(daemon)
		}
	}
}

// forget removes the daemons when the stream ends.
func (w *peerWatchers) forget() {
	for daemon := range w.daemons {
		w.host.remoteWatchers.remove(daemon)
	}
}

// sponsorFor returns the daemon with the highest hash for an incarnation, empty if there are no daemons. The
// upstreams of a data centre that return together get different sponsors.
func sponsorFor(i directory.Incarnation, daemons ...string) string {
	sponsor, highest := "", uint64(0)
	for _, daemon := range daemons {
		hash := xxhash.Sum64String(daemon + "\x00" + i.Key.String() + "\x00" + strconv.FormatInt(i.StartUnixMs, 10))
		if sponsor == "" || hash > highest || hash == highest && daemon < sponsor {
			sponsor, highest = daemon, hash
		}
	}
	return sponsor
}

// nameSponsor returns the sponsor of an upstream that has just become cold, empty if its service has no warm-up
// or no daemon watches a control host that this one knows of.
func (h *Host) nameSponsor(r directory.Registration) string {
	if _, ok := h.table.Load().Warmups[r.Service]; !ok {
		return ""
	}
	sponsor := sponsorFor(r.Incarnation, slices.Concat(h.watchers.names(), h.remoteWatchers.names())...)
	outcome := "named"
	if sponsor == "" {
		outcome = "no_watcher"
	}
	h.count("warmup_sponsors", "outcome", outcome)
	return sponsor
}
