package distribution

import (
	"fmt"

	"rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/folder"
)

// HeldConfig is the configuration that a daemon holds. It is immutable.
type HeldConfig struct {
	Version uint64
	Digest  folder.Sum
	Folder  *folder.Folder
	Keys    []*controlpb.TokenKey
}

// Receiver is the daemon side of the distribution. It holds the last accepted configuration and
// accepts only newer ones. It is not safe for concurrent use.
type Receiver struct{ held *HeldConfig }

// NewReceiver returns a receiver that holds the copy from the daemon's disk, or no configuration if
// the copy is nil.
func NewReceiver(c *controlpb.Copy) (*Receiver, error) {
	if c == nil {
		return &Receiver{newHeld(0, folder.New(nil, nil, 0), nil)}, nil
	}
	held := newHeld(c.GetVersion(), folder.New(nil, nil, 0).WithChange(c.GetVersion(), c.GetFiles(), nil), c.GetKeys())
	if digest, ok := parseDigest(c.GetDigest()); !ok || digest != held.Digest {
		return nil, &UpdateError{Kind: DigestMismatch, Version: c.GetVersion()}
	}
	return &Receiver{held}, nil
}

func newHeld(version uint64, f *folder.Folder, keys []*controlpb.TokenKey) *HeldConfig {
	return &HeldConfig{Version: version, Digest: f.Digest(keys), Folder: f, Keys: keys}
}

// Held returns the last accepted configuration; its version is 0 if there is none.
func (r *Receiver) Held() *HeldConfig { return r.held }

// WatchRequest returns the request for a new watch of a daemon that has the version inForce in force.
// If snapshot is set it requests a snapshot, as is needed after an error whose NeedsSnapshot is true.
func (r *Receiver) WatchRequest(daemon string, inForce uint64, snapshot bool) *controlpb.WatchRequest {
	request := &controlpb.WatchRequest{Daemon: daemon, VersionInForce: inForce}
	if !snapshot {
		request.Version = r.held.Version
		request.Digest = r.held.Digest[:]
	}
	return request
}

// Receive accepts an update and returns the new configuration. The error is an *UpdateError.
func (r *Receiver) Receive(u *controlpb.Update) (*HeldConfig, error) {
	next, err := r.apply(u)
	if err != nil {
		return nil, err
	}
	r.held = next
	return next, nil
}

func (r *Receiver) apply(u *controlpb.Update) (*HeldConfig, error) {
	digest, ok := parseDigest(u.GetDigest())
	updateErr := &UpdateError{Version: u.GetVersion(), HeldVersion: r.held.Version}
	switch {
	case u.GetVersion() == r.held.Version && digest != r.held.Digest:
		updateErr.Kind = ContentConflict
		return nil, updateErr
	case u.GetVersion() <= r.held.Version:
		updateErr.Kind = Stale
		return nil, updateErr
	case u.GetFromVersion() != 0 && u.GetFromVersion() != r.held.Version:
		updateErr.Kind = Gap
		return nil, updateErr
	}
	base, keys := r.held.Folder, r.held.Keys
	if u.GetFromVersion() == 0 {
		base = folder.New(nil, nil, 0)
	}
	if u.GetKeysChanged() {
		keys = u.GetKeys()
	}
	next := newHeld(u.GetVersion(), base.WithChange(u.GetVersion(), u.GetFiles(), u.GetRemoved()), keys)
	if !ok || digest != next.Digest {
		updateErr.Kind = DigestMismatch
		return nil, updateErr
	}
	return next, nil
}

// Copy returns the configuration in the form that is stored on the daemon's disk.
func (h *HeldConfig) Copy() *controlpb.Copy {
	c := &controlpb.Copy{Version: h.Version, Digest: h.Digest[:], Keys: h.Keys}
	for _, f := range h.Folder.Files() {
		c.Files = append(c.Files, &controlpb.File{Name: f.Name, Data: f.Data})
	}
	return c
}

// ErrorKind is the reason why an update is rejected.
type ErrorKind uint8

// Reasons for rejecting an update.
const (
	Stale           ErrorKind = iota + 1 // not newer than the held version
	Gap                                  // a difference that does not start from the held version
	DigestMismatch                       // the content does not match its digest
	ContentConflict                      // the held version with a different digest
)

// UpdateError is the error of a rejected update.
type UpdateError struct {
	Kind        ErrorKind
	Version     uint64 // of the update
	HeldVersion uint64 // version that the daemon holds
}

// NeedsSnapshot reports whether a new watch has to request a snapshot.
func (e *UpdateError) NeedsSnapshot() bool { return e.Kind == Gap || e.Kind == DigestMismatch }

// Error gives the reason and the remedy.
func (e *UpdateError) Error() string {
	switch e.Kind {
	case Stale:
		return fmt.Sprintf("configuration version %d is not newer than %d: it is ignored", e.Version, e.HeldVersion)
	case Gap:
		return fmt.Sprintf("difference to version %d does not start at the held version %d: watch again with a snapshot", e.Version, e.HeldVersion)
	case DigestMismatch:
		return fmt.Sprintf("content of configuration version %d does not have its digest: watch again with a snapshot", e.Version)
	default:
		return fmt.Sprintf("configuration version %d has another content than the one held: if the control replicas were set up anew, stop the daemon, delete its copy and start it again", e.Version)
	}
}
