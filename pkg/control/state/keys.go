package state

import (
	"time"

	"rosemarygate/api/control/v1"
	"rosemarygate/pkg/token"
)

const (
	// KeyActivation is how long after its acceptance a new key begins to sign. By then
	// the daemons have it; one that signed earlier would be refused by the others.
	KeyActivation = 30 * time.Second
	// MaxClockSkew is how far the clocks of replicas and daemons may differ.
	MaxClockSkew = 10 * time.Second

	maxKeys    = 2
	maxKeySize = 64 // bytes
)

// evaluateRotation adds a key and drops the oldest of two. The dropped key has stopped
// signing at least the longest keep-alive interval ago, so every open flow has a newer token.
func (m *Machine) evaluateRotation(index uint64, e *controlpb.Entry, body *controlpb.KeyRotation) (func(), *controlpb.Reply) {
	if size := len(body.GetSecret()); size < token.MinKeySize || size > maxKeySize {
		return nil, malformed("", "a token key has 16 to 64 bytes")
	}
	now := e.GetTimeUnixMs()
	if earliest := m.rotationEarliest(); now < earliest {
		return nil, refuse(&controlpb.Refusal{
			Kind:            controlpb.Refusal_KIND_ROTATION_TOO_SOON,
			NotBeforeUnixMs: earliest,
		})
	}
	key := &controlpb.TokenKey{
		Id:              m.lastKeyID + 1,
		Secret:          body.GetSecret(),
		SignsFromUnixMs: now,
	}
	if len(m.view.Keys) > 0 {
		key.SignsFromUnixMs += KeyActivation.Milliseconds()
	}
	keys := append(m.view.Keys[:len(m.view.Keys):len(m.view.Keys)], key)
	if len(keys) > maxKeys {
		keys = keys[len(keys)-maxKeys:]
	}
	return func() {
		m.lastKeyID = key.GetId()
		m.lastRotated = now
		m.keepAlive.rotate(m.rules.LongestKeepAlive(m.view.Folder.Files()))
		m.view = newView(index, m.view.Folder, keys, index)
		m.record(index, e, &controlpb.HistoryRecord{})
	}, accepted(index)
}

func (m *Machine) rotationEarliest() int64 {
	if len(m.view.Keys) == 0 {
		return 0
	}
	wait := KeyActivation + MaxClockSkew + max(m.keepAlive.current, m.keepAlive.earlier)
	return m.lastRotated + wait.Milliseconds()
}

// TokenKeys returns the keys with the one that signs at the given time last.
func TokenKeys(keys []*controlpb.TokenKey, now time.Time) []token.Key {
	var waiting, out []token.Key
	for _, k := range keys {
		key := token.Key{ID: k.GetId(), Secret: k.GetSecret()}
		if k.GetSignsFromUnixMs() > now.UnixMilli() {
			waiting = append(waiting, key)
			continue
		}
		out = append(out, key)
	}
	return append(waiting, out...)
}

// keepAlive remembers the longest keep-alive interval in force since the last rotation and
// between the last two. A flow keeps the interval it was told until its next keep-alive, so
// a shorter one in a new configuration must not let a key be dropped earlier.
type keepAlive struct{ current, earlier time.Duration }

func (k *keepAlive) observe(d time.Duration) { k.current = max(k.current, d) }

func (k *keepAlive) rotate(d time.Duration) { k.earlier, k.current = max(k.current, d), d }
