package state

import (
	"time"

	"rosemarygate/api/control/v1"
	"rosemarygate/pkg/token"
)

const (
	// KeyActivationDelay is the time between the acceptance of a new key and its first use for
	// signing. By then all daemons have the key; before that, daemons without it would refuse
	// its tokens.
	KeyActivationDelay = 30 * time.Second
	// MaxClockSkew is the largest allowed difference between the clocks of replicas and daemons.
	MaxClockSkew = 10 * time.Second

	maxKeys     = 2
	maxKeyBytes = 64
)

// evaluateRotation adds a key and drops the older one if there are two. The dropped key stopped
// signing at least one longest keep-alive interval ago, so every open flow has a newer token.
func (m *Machine) evaluateRotation(index uint64, e *controlpb.Entry, body *controlpb.KeyRotation) (func(), *controlpb.Reply) {
	if size := len(body.GetSecret()); size < token.MinKeySize || size > maxKeyBytes {
		return nil, malformedReply("", "a token key has 16 to 64 bytes")
	}
	now := e.GetTimeUnixMs()
	if earliest := m.earliestRotation(); now < earliest {
		return nil, refusedReply(&controlpb.Refusal{
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
		key.SignsFromUnixMs += KeyActivationDelay.Milliseconds()
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
	}, acceptedReply(index)
}

// earliestRotation returns the time, in Unix milliseconds, from which the next rotation is accepted.
func (m *Machine) earliestRotation() int64 {
	if len(m.view.Keys) == 0 {
		return 0
	}
	wait := KeyActivationDelay + MaxClockSkew + max(m.keepAlive.current, m.keepAlive.earlier)
	return m.lastRotated + wait.Milliseconds()
}

// TokenKeys returns the keys, the one that signs at the given time last.
func TokenKeys(keys []*controlpb.TokenKey, now time.Time) []token.Key {
	var pending, active []token.Key
	for _, k := range keys {
		key := token.Key{ID: k.GetId(), Secret: k.GetSecret()}
		if k.GetSignsFromUnixMs() > now.UnixMilli() {
			pending = append(pending, key)
			continue
		}
		active = append(active, key)
	}
	return append(pending, active...)
}

// keepAliveMaxima holds the longest keep-alive interval in force since the last rotation (current)
// and between the last two rotations (earlier). A flow uses the interval that it received until its
// next keep-alive, so a shorter interval in a new configuration must not let a key be dropped earlier.
type keepAliveMaxima struct{ current, earlier time.Duration }

func (k *keepAliveMaxima) observe(d time.Duration) { k.current = max(k.current, d) }

func (k *keepAliveMaxima) rotate(d time.Duration) { k.earlier, k.current = max(k.current, d), d }
