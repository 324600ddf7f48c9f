package membership

import (
	"net/netip"
	"time"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
)

// minSuspicionTimeout is the least time before a reported suspect is declared dead, so that this
// daemon can probe it itself.
const minSuspicionTimeout = 400 * time.Millisecond

// maxNameLength bounds the names of members and data centres, in bytes.
const maxNameLength = 128

// apply applies the entry of a member in a message. It returns a record if the sender's entry is
// outdated and has to be corrected.
func (c *Core) apply(now time.Time, u *peerpb.Member) *record {
	if ident.DaemonID(u.Id) == c.self.ID {
		return c.applySelf(u)
	}
	r := c.table.records[ident.DaemonID(u.Id)]
	if r == nil {
		c.addMember(now, u)
		return nil
	}
	state := State(u.State)
	switch order := compareVersions(u, r); {
	case order < 0:
		return r
	case state == Suspect:
		c.applySuspicion(now, r, u)
		return nil
	case state == Dead && (order > 0 || r.alive()):
		c.markDead(now, r, u)
		return nil
	case order > 0:
		c.applyNewer(r, u)
		return nil
	case state < r.State:
		return r
	}
	return nil
}

// compareVersions orders a received entry and a record by incarnation and revision.
func compareVersions(u *peerpb.Member, r *record) int {
	switch {
	case u.Incarnation != uint64(r.Incarnation):
		return sign(u.Incarnation > uint64(r.Incarnation))
	case u.Revision != r.Revision:
		return sign(u.Revision > r.Revision)
	}
	return 0
}

func sign(positive bool) int {
	if positive {
		return 1
	}
	return -1
}

// addMember adds a member that is not in the table. Of a dead one without a complete description
// only a tombstone is kept.
func (c *Core) addMember(now time.Time, u *peerpb.Member) {
	m, complete := decodeMember(u)
	if m.State == Dead && len(m.DataCentre) <= maxNameLength && len(m.Name) <= maxNameLength {
		m.DataCentre = nameOrDefault(m.DataCentre, c.self.DataCentre)
		r := c.table.insert(m)
		r.deadSince = now
		r.hidden = !complete
		return
	}
	if !complete || m.State == Suspect || m.State == Dead {
		return
	}
	c.queueChange(c.table.insert(m))
}

func nameOrDefault(name, defaultName string) string {
	if name == "" {
		return defaultName
	}
	return name
}

// applyNewer replaces a record by a newer entry that the member published about itself.
func (c *Core) applyNewer(r *record, u *peerpb.Member) {
	m, complete := decodeMember(u)
	if !complete {
		return
	}
	c.table.update(r, m)
	c.queueChange(r)
}

// markDead marks a member as dead with the received incarnation and revision.
func (c *Core) markDead(now time.Time, r *record, u *peerpb.Member) {
	m := r.Member
	m.Incarnation = ident.Incarnation(u.Incarnation)
	m.Revision = u.Revision
	c.setDead(now, r, m)
}

func (c *Core) setDead(now time.Time, r *record, m Member) {
	m.State = Dead
	c.table.update(r, m)
	r.deadSince = now
	c.queueChange(r)
}

// queueChange queues a change for dissemination. A joining daemon queues none, since its peers
// have the entries that it receives already.
func (c *Core) queueChange(r *record) {
	if c.joined {
		c.queue.add(r)
	}
}

// applySuspicion starts to suspect a member. A suspicion that began before the last message from
// the member is ignored.
func (c *Core) applySuspicion(now time.Time, r *record, u *peerpb.Member) {
	since := now.Add(-time.Duration(u.SuspicionMs) * time.Millisecond)
	if compareVersions(u, r) != 0 || !r.alive() || r.lastReceived.After(since) {
		return
	}
	if r.suspect {
		return
	}
	if latest := now.Add(minSuspicionTimeout - c.cfg.SuspicionTimeout); since.Before(latest) {
		since = latest
	}
	c.table.setSuspect(r, now, since)
	r.nextSuspectProbe = since.Add(c.cfg.SuspicionTimeout / 3).Add(c.jitter(c.cfg.SuspicionTimeout / 4))
	c.suspects = append(c.suspects, r)
	c.queueChange(r)
}

// applySelf handles an entry of this daemon in a message and refutes it if it is wrong.
func (c *Core) applySelf(u *peerpb.Member) *record {
	if u.Incarnation > uint64(c.self.Incarnation) {
		c.handleLargerIncarnation(ident.Incarnation(u.Incarnation))
		return nil
	}
	if u.Incarnation < uint64(c.self.Incarnation) || u.Revision < c.self.Revision {
		return c.self
	}
	state := State(u.State)
	if u.Revision == c.self.Revision && state != Suspect && state != Dead {
		return nil
	}
	m := c.self.Member
	m.Revision = u.Revision
	c.replaceSelf(m)
	return c.self
}

// handleLargerIncarnation raises the incarnation of a joining daemon above the known one. A daemon
// that has joined reports that it is superseded.
func (c *Core) handleLargerIncarnation(known ident.Incarnation) {
	if c.self.State == Joining {
		m := c.self.Member
		m.Incarnation = known + 1
		c.replaceSelf(m)
		c.actions = append(c.actions, IncarnationRaised{Incarnation: m.Incarnation})
		return
	}
	if known > c.supersededBy {
		c.supersededBy = known
		c.actions = append(c.actions, Superseded{Incarnation: known})
	}
}

// decodeMember decodes a member and reports whether its name, data centre and address are
// complete and valid.
func decodeMember(u *peerpb.Member) (Member, bool) {
	m := Member{
		ID:          ident.DaemonID(u.Id),
		Name:        u.Name,
		DataCentre:  u.DataCentre,
		Incarnation: ident.Incarnation(u.Incarnation),
		Revision:    u.Revision,
		State:       State(u.State),
	}
	var peer, grpc netip.AddrPort
	if peer.UnmarshalBinary(u.PeerAddress) != nil || grpc.UnmarshalBinary(u.GrpcAddress) != nil {
		return m, false
	}
	m.PeerAddr = peer
	m.GRPCAddr = grpc
	validName := u.Name != "" && len(u.Name) <= maxNameLength && ident.Daemon(u.Name) == m.ID
	validDataCentre := u.DataCentre != "" && len(u.DataCentre) <= maxNameLength
	return m, validName && validDataCentre && peer.IsValid()
}

// validUpdate reports whether an update has one of the states that are sent in messages.
func validUpdate(u *peerpb.Member) bool {
	return u != nil && u.State >= peerpb.MemberState_MEMBER_STATE_JOINING && u.State <= peerpb.MemberState_MEMBER_STATE_DEAD
}
