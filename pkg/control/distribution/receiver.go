package distribution

import (
	"fmt"

	"rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/folder"
)

// Held is the configuration that a daemon holds. It is immutable.
type Held struct {
	Version uint64
	Digest  folder.Sum
	Folder  *folder.Folder
	Keys    []*controlpb.TokenKey
}

// Receiver is the daemon's side of the distribution. It holds the last accepted
// configuration and accepts only newer ones. It is not safe for concurrent use.
type Receiver struct{ held *Held }

// NewReceiver returns a receiver that holds the copy from the daemon's disk; nil for none.
func NewReceiver(c *controlpb.Copy) (*Receiver, error) {
	if c == nil {
		return &Receiver{newHeld(0, folder.New(nil, nil, 0), nil)}, nil
	}
	held := newHeld(c.GetVersion(), folder.New(nil, nil, 0).With(c.GetVersion(), c.GetFiles(), nil), c.GetKeys())
	if want, ok := digestOf(c.GetDigest()); !ok || want != held.Digest {
		return nil, &UpdateError{Kind: DigestMismatch, Version: c.GetVersion()}
	}
	return &Receiver{held}, nil
}

func newHeld(version uint64, f *folder.Folder, keys []*controlpb.TokenKey) *Held {
	return &Held{Version: version, Digest: f.Digest(keys), Folder: f, Keys: keys}
}

// Held returns the last accepted configuration; its version is 0 if there is none.
func (r *Receiver) Held() *Held { return r.held }

// WatchRequest returns the request for a new watch of a daemon that has a version in force.
// With snapshot set it asks for a snapshot, as is needed after an error whose NeedsSnapshot
// is true.
func (r *Receiver) WatchRequest(daemon string, inForce uint64, snapshot bool) *controlpb.WatchRequest {
	req := &controlpb.WatchRequest{Daemon: daemon, VersionInForce: inForce}
	if !snapshot {
		req.Version = r.held.Version
		req.Digest = r.held.Digest[:]
	}
	return req
}

// Receive accepts an update and returns the new configuration. The error is an *UpdateError.
func (r *Receiver) Receive(u *controlpb.Update) (*Held, error) {
	next, err := r.apply(u)
	if err != nil {
		return nil, err
	}
	r.held = next
	return next, nil
}

func (r *Receiver) apply(u *controlpb.Update) (*Held, error) {
	want, ok := digestOf(u.GetDigest())
	refused := &UpdateError{Version: u.GetVersion(), Held: r.held.Version}
	switch {
	case u.GetVersion() == r.held.Version && want != r.held.Digest:
		refused.Kind = Fork
		return nil, refused
	case u.GetVersion() <= r.held.Version:
		refused.Kind = Stale
		return nil, refused
	case u.GetFromVersion() != 0 && u.GetFromVersion() != r.held.Version:
		refused.Kind = Gap
		return nil, refused
	}
	base, keys := r.held.Folder, r.held.Keys
	if u.GetFromVersion() == 0 {
		base = folder.New(nil, nil, 0)
	}
	if u.GetKeysChanged() {
		keys = u.GetKeys()
	}
	next := newHeld(u.GetVersion(), base.With(u.GetVersion(), u.GetFiles(), u.GetRemoved()), keys)
	if !ok || want != next.Digest {
		refused.Kind = DigestMismatch
		return nil, refused
	}
	return next, nil
}

// Copy returns the configuration as it is kept on the daemon's disk.
func (h *Held) Copy() *controlpb.Copy {
	c := &controlpb.Copy{Version: h.Version, Digest: h.Digest[:], Keys: h.Keys}
	for _, f := range h.Folder.Files() {
		c.Files = append(c.Files, &controlpb.File{Name: f.Name, Data: f.Data})
	}
	return c
}

// ErrorKind classifies a refused update.
type ErrorKind uint8

// Kinds of refused updates.
const (
	Stale          ErrorKind = iota + 1 // not newer than what the daemon holds
	Gap                                 // a difference from a version that the daemon does not hold
	DigestMismatch                      // the content does not have the digest it came with
	Fork                                // the held version with another digest
)

// UpdateError is a refused update.
type UpdateError struct {
	Kind    ErrorKind
	Version uint64 // of the update
	Held    uint64 // version that the daemon holds
}

// NeedsSnapshot reports whether a new watch has to ask for a snapshot.
func (e *UpdateError) NeedsSnapshot() bool { return e.Kind == Gap || e.Kind == DigestMismatch }

// Error names the reason and the remedy.
func (e *UpdateError) Error() string {
	switch e.Kind {
	case Stale:
		return fmt.Sprintf("configuration version %d is not newer than %d: it is ignored", e.Version, e.Held)
	case Gap:
		return fmt.Sprintf("difference to version %d does not start at the held version %d: watch again with a snapshot", e.Version, e.Held)
	case DigestMismatch:
		return fmt.Sprintf("content of configuration version %d does not have its digest: watch again with a snapshot", e.Version)
	default:
		return fmt.Sprintf("configuration version %d has another content than the one held: if the control replicas were set up anew, stop the daemon, delete its copy and start it again", e.Version)
	}
}
