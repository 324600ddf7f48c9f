// Package distribution brings the accepted configuration from the control replicas to the
// daemons. Publisher is the core of a replica, Receiver that of a daemon; both are pure.
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
	// AcknowledgeTimeout is how long a daemon may take to put an update in force before it
	// is sent a snapshot. It doubles with each snapshot that the daemon does not put in
	// force, so that a daemon which cannot does not use up its traffic.
	AcknowledgeTimeout = 5 * time.Second

	maxDoublings = 6 // 320 s
)

// Send is an update to be sent to a daemon on its present watch. Daemons at the same
// version share one Update, so its encoding can be shared as well.
type Send struct {
	Daemon string
	Watch  uint64
	Update *controlpb.Update
}

// subscriber is a daemon that watches.
type subscriber struct {
	daemon  string
	watch   uint64
	held    uint64 // version that the next difference starts from
	inForce uint64 // version that the daemon reported last
	sent    uint64 // version on its way; 0 for none
	sentAt  time.Time
	resent  int // snapshots sent since the last acknowledgement
}

func (s *subscriber) overdue(now time.Time) bool {
	return s.sent != 0 && now.Sub(s.sentAt) >= AcknowledgeTimeout<<min(s.resent, maxDoublings)
}

// Publisher decides what a replica sends to the daemons that watch it. At most one update
// is on its way to a daemon: changes accepted meanwhile are combined into the next one.
type Publisher struct {
	view        *state.View
	updates     map[uint64]*controlpb.Update // by from version, for the present view
	subscribers map[string]*subscriber
}

// NewPublisher returns a publisher of the view.
func NewPublisher(view *state.View) *Publisher {
	return &Publisher{view: view, updates: map[uint64]*controlpb.Update{}, subscribers: map[string]*subscriber{}}
}

// SetView publishes a view. Views older than the present one are ignored.
func (p *Publisher) SetView(now time.Time, view *state.View) []Send {
	if view.Version <= p.view.Version {
		return nil
	}
	p.view = view
	clear(p.updates)
	var out []Send
	for _, s := range p.sorted() {
		if s.sent == 0 {
			out = p.send(now, s, s.held, out)
		}
	}
	return out
}

// Subscribe adds a daemon's watch with the version and digest that it holds. A later watch
// of the same daemon replaces the earlier one.
func (p *Publisher) Subscribe(now time.Time, watch uint64, r *controlpb.WatchRequest) []Send {
	s := &subscriber{daemon: r.GetDaemon(), watch: watch, held: r.GetVersion(), inForce: r.GetVersionInForce()}
	p.subscribers[s.daemon] = s
	if s.held == p.view.Version && s.held > 0 {
		if digest := p.view.Digest(); string(r.GetDigest()) != string(digest[:]) {
			s.held = 0
		}
	}
	return p.send(now, s, s.held, nil)
}

// Unsubscribe ends a watch.
func (p *Publisher) Unsubscribe(daemon string, watch uint64) {
	if s := p.subscribers[daemon]; s != nil && s.watch == watch {
		delete(p.subscribers, daemon)
	}
}

// Acknowledge records the version that a daemon has in force.
func (p *Publisher) Acknowledge(now time.Time, daemon string, version uint64) []Send {
	s := p.subscribers[daemon]
	if s == nil || version <= s.inForce {
		return nil
	}
	s.inForce = version
	s.held = max(s.held, version)
	s.resent = 0
	if s.sent > version {
		return nil
	}
	s.sent = 0
	return p.send(now, s, s.held, nil)
}

// Tick sends a snapshot to the daemons that have not put their update in force in time.
func (p *Publisher) Tick(now time.Time) []Send {
	var out []Send
	for _, s := range p.sorted() {
		if s.overdue(now) {
			s.resent++
			out = p.send(now, s, 0, out)
		}
	}
	return out
}

// send appends the update from a version, unless the daemon is up to date. A daemon ahead
// of this replica gets nothing: this replica has yet to catch up.
func (p *Publisher) send(now time.Time, s *subscriber, from uint64, out []Send) []Send {
	if s.held >= p.view.Version {
		return out
	}
	s.sent = p.view.Version
	s.sentAt = now
	return append(out, Send{s.daemon, s.watch, p.update(from)})
}

func (p *Publisher) update(from uint64) *controlpb.Update {
	if u := p.updates[from]; u != nil {
		return u
	}
	u := NewUpdate(p.view, from)
	if u.GetFromVersion() == 0 && from != 0 {
		u = p.update(0) // all daemons that need a snapshot share one
	}
	p.updates[from] = u
	return u
}

// NewUpdate returns the difference from a version to the view, or a snapshot if the version
// is 0, if the difference is not known, or if it would not be smaller. A version from before a recovery
// of the replicas may be one that they lost, so no difference from it is known.
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

// InForce returns how many of the watching daemons have the version or a later one in force.
func (p *Publisher) InForce(version uint64) (inForce, daemons int) {
	for _, s := range p.subscribers {
		if s.inForce >= version {
			inForce++
		}
	}
	return inForce, len(p.subscribers)
}

// Behind returns the names of up to limit daemons that do not have the version in force.
func (p *Publisher) Behind(version uint64, limit int) []string {
	var out []string
	for _, s := range p.sorted() {
		if s.inForce < version && len(out) < limit {
			out = append(out, s.daemon)
		}
	}
	return out
}

func (p *Publisher) sorted() []*subscriber {
	out := make([]*subscriber, 0, len(p.subscribers))
	for _, s := range p.subscribers {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *subscriber) int { return strings.Compare(a.daemon, b.daemon) })
	return out
}

// digestOf returns a digest as an array; false if it has a wrong length.
func digestOf(b []byte) (folder.Sum, bool) {
	var sum folder.Sum
	return sum, copy(sum[:], b) == len(sum) && len(b) == len(sum)
}
