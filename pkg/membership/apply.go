package membership

import (
	"net/netip"
	"time"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
)

// minSuspicion is left to a suspect after this daemon heard of the suspicion, so that it can
// check the suspect itself.
const minSuspicion = 400 * time.Millisecond

// maxName bounds names of members and data centres, in bytes.
const maxName = 128

// apply takes in what a message says about a member. It returns a record that the sender
// should be told about because what it said is outdated.
func (c *Core) apply(now time.Time, u *peerpb.Member) *record {
	if ident.DaemonID(u.Id) == c.self.ID {
		return c.applySelf(u)
	}
	r := c.table.records[ident.DaemonID(u.Id)]
	if r == nil {
		c.learn(now, u)
		return nil
	}
	state := State(u.State)
	switch order := compareStatement(u, r); {
	case order < 0:
		return r
	case state == Suspect:
		c.applySuspicion(now, r, u)
		return nil
	case state == Dead && (order > 0 || r.alive()):
		c.markDead(now, r, u)
		return nil
	case order > 0:
		c.renew(r, u)
		return nil
	case state < r.State:
		return r
	}
	return nil
}

// compareStatement orders two statements by incarnation and revision.
func compareStatement(u *peerpb.Member, r *record) int {
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

// learn adds a member that is not known. Of an unknown dead one only a tombstone is kept.
func (c *Core) learn(now time.Time, u *peerpb.Member) {
	m, complete := decodeMember(u)
	if m.State == Dead && len(m.DataCentre) <= maxName && len(m.Name) <= maxName {
		m.DataCentre = centreOrOwn(m.DataCentre, c.self.DataCentre)
		r := c.table.insert(m)
		r.deadSince = now
		r.forgotten = !complete
		return
	}
	if !complete || m.State == Suspect || m.State == Dead {
		return
	}
	c.announce(c.table.insert(m))
}

func centreOrOwn(name, own string) string {
	if name == "" {
		return own
	}
	return name
}

// renew takes over a larger statement that a member made about itself.
func (c *Core) renew(r *record, u *peerpb.Member) {
	m, complete := decodeMember(u)
	if !complete {
		return
	}
	c.table.update(r, m)
	c.announce(r)
}

// markDead marks a member dead.
func (c *Core) markDead(now time.Time, r *record, u *peerpb.Member) {
	m := r.Member
	m.Incarnation = ident.Incarnation(u.Incarnation)
	m.Revision = u.Revision
	c.kill(now, r, m)
}

func (c *Core) kill(now time.Time, r *record, m Member) {
	m.State = Dead
	c.table.update(r, m)
	r.deadSince = now
	c.announce(r)
}

// announce queues a change for dissemination. A joining daemon learns what its peers know
// already, so it spreads none of it.
func (c *Core) announce(r *record) {
	if c.joined {
		c.queue.add(r)
	}
}

// applySuspicion begins to suspect a member. A suspicion that began before the member was last
// heard of is void.
func (c *Core) applySuspicion(now time.Time, r *record, u *peerpb.Member) {
	since := now.Add(-time.Duration(u.SuspicionMs) * time.Millisecond)
	if compareStatement(u, r) != 0 || !r.alive() || r.heard.After(since) {
		return
	}
	if r.suspect {
		return
	}
	if latest := now.Add(minSuspicion - c.cfg.Suspicion); since.Before(latest) {
		since = latest
	}
	c.table.setSuspect(r, now, since)
	r.nextCheck = since.Add(c.cfg.Suspicion / 3).Add(c.jitter(c.cfg.Suspicion / 4))
	c.suspects = append(c.suspects, r)
	c.announce(r)
}

// applySelf takes in what others say about this daemon and refutes it where it is wrong.
func (c *Core) applySelf(u *peerpb.Member) *record {
	if u.Incarnation > uint64(c.self.Incarnation) {
		c.outdated(ident.Incarnation(u.Incarnation))
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
	c.restate(m)
	return c.self
}

// outdated handles the news that a larger incarnation of this daemon is known.
func (c *Core) outdated(known ident.Incarnation) {
	if c.self.State == Joining {
		m := c.self.Member
		m.Incarnation = known + 1
		c.restate(m)
		c.out = append(c.out, IncarnationRaised{Incarnation: m.Incarnation})
		return
	}
	if known > c.superseded {
		c.superseded = known
		c.out = append(c.out, Superseded{Incarnation: known})
	}
}

// decodeMember returns a member and whether the message named and addressed it.
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
	named := u.Name != "" && len(u.Name) <= maxName && ident.Daemon(u.Name) == m.ID
	placed := u.DataCentre != "" && len(u.DataCentre) <= maxName
	return m, named && placed && peer.IsValid()
}

// validUpdate tells whether an update's state is one that travels.
func validUpdate(u *peerpb.Member) bool {
	return u != nil && u.State >= peerpb.MemberState_MEMBER_STATE_JOINING && u.State <= peerpb.MemberState_MEMBER_STATE_DEAD
}
