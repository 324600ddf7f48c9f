// Package distribution delivers the accepted configuration from the control replicas to the daemons.
// Publisher is the core of a replica, Receiver that of a daemon; neither does I/O nor reads the
// clock.
package distribution

import (
	"slices"
	"strings"
	"time"

	"rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/control/folder"
	"rosemarygate/pkg/control/state"
)

const (
	// AcknowledgeTimeout is how long a daemon may take to put an update in force before it is sent a
	// snapshot. It doubles with each snapshot that the daemon does not put in force, which limits the
	// traffic to a daemon that cannot put it in force.
	AcknowledgeTimeout = 5 * time.Second

	maxDoublings = 6 // 320 s
)

// OutgoingUpdate is an update to be sent to a daemon on its current watch. Daemons at the same version share
// one Update, so its encoding can be shared as well.
type OutgoingUpdate struct {
	Daemon string
	Watch  uint64
	Update *controlpb.Update
}

// subscriber is a daemon that watches the configuration.
type subscriber struct {
	daemon          string
	watchID         uint64
	baseVersion     uint64 // version from which the next difference starts
	versionInForce  uint64 // latest version reported by the daemon
	sentVersion     uint64 // version in flight; 0 for none
	sentAt          time.Time
	snapshotsResent int // snapshots sent since the last acknowledgement
}

func (s *subscriber) isOverdue(now time.Time) bool {
	return s.sentVersion != 0 && now.Sub(s.sentAt) >= AcknowledgeTimeout<<min(s.snapshotsResent, maxDoublings)
}

// Publisher decides which updates a replica sends to the daemons that watch it. At most one update to
// a daemon is in flight: changes accepted in the meantime are combined into the next one.
type Publisher struct {
	view        *state.View
	updates     map[uint64]*controlpb.Update // updates to the current view, by the version from which they start
	subscribers map[string]*subscriber
}

// NewPublisher returns a publisher of the view.
func NewPublisher(view *state.View) *Publisher {
	return &Publisher{view: view, updates: map[uint64]*controlpb.Update{}, subscribers: map[string]*subscriber{}}
}

// SetView publishes a view. Views older than the current one are ignored.
func (p *Publisher) SetView(now time.Time, view *state.View) []OutgoingUpdate {
	if view.Version <= p.view.Version {
		return nil
	}
	p.view = view
	clear(p.updates)
	var out []OutgoingUpdate
	for _, s := range p.sortedSubscribers() {
		if s.sentVersion == 0 {
			out = p.appendUpdate(now, s, s.baseVersion, out)
		}
	}
	return out
}

// Subscribe adds a daemon's watch with the version and digest of the daemon's configuration. A later
// watch of the same daemon replaces the earlier one.
func (p *Publisher) Subscribe(now time.Time, watch uint64, request *controlpb.WatchRequest) []OutgoingUpdate {
	s := &subscriber{daemon: request.GetDaemon(), watchID: watch, baseVersion: request.GetVersion(), versionInForce: request.GetVersionInForce()}
	p.subscribers[s.daemon] = s
	if s.baseVersion == p.view.Version && s.baseVersion > 0 {
		if digest := p.view.Digest(); string(request.GetDigest()) != string(digest[:]) {
			s.baseVersion = 0
		}
	}
	return p.appendUpdate(now, s, s.baseVersion, nil)
}

// Unsubscribe ends a watch.
func (p *Publisher) Unsubscribe(daemon string, watch uint64) {
	if s := p.subscribers[daemon]; s != nil && s.watchID == watch {
		delete(p.subscribers, daemon)
	}
}

// Acknowledge records the version that a daemon has in force.
func (p *Publisher) Acknowledge(now time.Time, daemon string, version uint64) []OutgoingUpdate {
	s := p.subscribers[daemon]
	if s == nil || version <= s.versionInForce {
		return nil
	}
	s.versionInForce = version
	s.baseVersion = max(s.baseVersion, version)
	s.snapshotsResent = 0
	if s.sentVersion > version {
		return nil
	}
	s.sentVersion = 0
	return p.appendUpdate(now, s, s.baseVersion, nil)
}

// Tick sends a snapshot to the daemons that have not put their update in force in time.
func (p *Publisher) Tick(now time.Time) []OutgoingUpdate {
	var out []OutgoingUpdate
	for _, s := range p.sortedSubscribers() {
		if s.isOverdue(now) {
			s.snapshotsResent++
			out = p.appendUpdate(now, s, 0, out)
		}
	}
	return out
}

// appendUpdate appends the update from a version, unless the daemon is up to date. A daemon with a
// newer version than this replica gets nothing until the replica has caught up.
func (p *Publisher) appendUpdate(now time.Time, s *subscriber, from uint64, out []OutgoingUpdate) []OutgoingUpdate {
	if s.baseVersion >= p.view.Version {
		return out
	}
	s.sentVersion = p.view.Version
	s.sentAt = now
	return append(out, OutgoingUpdate{s.daemon, s.watchID, p.updateFrom(from)})
}

func (p *Publisher) updateFrom(from uint64) *controlpb.Update {
	if u := p.updates[from]; u != nil {
		return u
	}
	u := NewUpdate(p.view, from)
	if u.GetFromVersion() == 0 && from != 0 {
		u = p.updateFrom(0) // all daemons that need a snapshot share one
	}
	p.updates[from] = u
	return u
}

// NewUpdate returns the difference from a version to the view. It returns a snapshot if the version
// is 0, if the difference is unknown or would not be smaller, or if the version is from before a
// recovery of the replicas: the replicas may have lost such a version.
func NewUpdate(view *state.View, from uint64) *controlpb.Update {
	digest := view.Digest()
	u := &controlpb.Update{Version: view.Version, Digest: digest[:], FromVersion: from}
	changed, removed, ok := view.Folder.Difference(from)
	recovered := agreement.Epoch(from) != agreement.Epoch(view.Version)
	if from == 0 || !ok || recovered || len(changed) == len(view.Folder.Files()) {
		u.FromVersion = 0
		changed, removed = view.Folder.Files(), nil
	}
	for _, f := range changed {
		u.Files = append(u.Files, &controlpb.File{Name: f.Name, Data: f.Data})
	}
	u.Removed = removed
	if u.KeysChanged = u.FromVersion == 0 || view.KeysVersion > from; u.KeysChanged {
		u.Keys = view.Keys
	}
	return u
}

// CountInForce returns how many of the watching daemons have the version or a later one in force.
func (p *Publisher) CountInForce(version uint64) (inForce, daemons int) {
	for _, s := range p.subscribers {
		if s.versionInForce >= version {
			inForce++
		}
	}
	return inForce, len(p.subscribers)
}

// DaemonsBehind returns the names of up to limit daemons that do not have the version in force.
func (p *Publisher) DaemonsBehind(version uint64, limit int) []string {
	var names []string
	for _, s := range p.sortedSubscribers() {
		if s.versionInForce < version && len(names) < limit {
			names = append(names, s.daemon)
		}
	}
	return names
}

func (p *Publisher) sortedSubscribers() []*subscriber {
	out := make([]*subscriber, 0, len(p.subscribers))
	for _, s := range p.subscribers {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *subscriber) int { return strings.Compare(a.daemon, b.daemon) })
	return out
}

// parseDigest returns a digest as an array, and false if its length is wrong.
func parseDigest(b []byte) (folder.Sum, bool) {
	var sum folder.Sum
	return sum, copy(sum[:], b) == len(sum) && len(b) == len(sum)
}
