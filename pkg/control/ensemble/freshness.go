package ensemble

import (
	"maps"
	"time"

	"rosemarygate/pkg/agreement"
)

// freshness tells whether the host has applied everything that was committed when it came into contact with
// the present leader. A follower that has just heard of a leader may lack entries, and a new leader does not
// know how far its log is committed. A read that the leader confirms in the present term settles both.
type freshness struct {
	term       uint64
	leader     agreement.Replica
	generation uint64    // of this contact; a read settles only the contact in which it began
	readAt     time.Time // when the latest read of this contact was sent, zero if none was
}

// freshnessInterval is the time between two reads of a host that is not fresh. A new leader ignores reads until
// its first entry is committed, and messages may be lost.
const freshnessInterval = tickInterval

// expireFreshness ends the freshness when the term or the leader has changed, or when the host has stood still
// and may have missed a change.
func (c *core) expireFreshness(st agreement.Status) {
	f := &c.freshness
	if st.Term == f.term && st.Leader == f.leader && !c.group.stalled() {
		return
	}
	maps.DeleteFunc(c.unconfirmedReads, func(_ uint64, r pendingRead) bool { return r.done == nil })
	*f = freshness{term: st.Term, leader: st.Leader, generation: f.generation + 1}
	c.group.fresh.Store(false)
}

// requestFreshness starts a read, or repeats it, while the host is not known to be fresh. It reports whether it
// did.
func (c *core) requestFreshness(now time.Time) bool {
	f := &c.freshness
	if f.leader == agreement.None || c.group.fresh.Load() || now.Sub(f.readAt) < freshnessInterval {
		return false
	}
	f.readAt = now
	c.startRead(nil)
	return true
}

// recordConfirmedRead marks the host as fresh if the read began in the present contact. It is called after the
// applied state was published.
func (c *core) recordConfirmedRead(r pendingRead) {
	if r.generation == c.freshness.generation && !c.group.fresh.Swap(true) {
		c.group.notify()
	}
}
