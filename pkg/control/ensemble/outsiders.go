package ensemble

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/ident"
)

// Hosts outside the group
//
// A host without a log knows only the seeds of its settings. They may be gone, or have lost their logs as
// well. So the group contacts the host: members send to its address while it is a member, and afterwards the
// leader repeats the notice that it was removed. A host outside the group sends requests to join to every host
// that has sent it a message. Load pattern: a message per second from the leader to each host that was removed and has not
// come back; the bound of their number also bounds this traffic.

const (
	// noticeInterval is the time between two notices to a removed host. A host has to be a voter again within
	// 4 s after its return on the smallest deployments; an attempt to connect takes up to a second of it.
	noticeInterval = time.Second
	// maxRemovedMembers bounds the removed hosts that the group remembers. The leader tells one of them in each
	// tick, so all of them are told within two seconds.
	maxRemovedMembers = 16
	// maxContacts bounds the addresses that a host outside the group remembers.
	maxContacts = 16
)

// notices holds the time of the latest notice to each host that is not a member.
type notices map[ident.DaemonID]time.Time

// next returns the host that the leader has to notify now, the one that has waited longest. Besides the removed
// members it notifies the seeds: their incarnation is unknown, so the notice only tells them the leader's address.
func (n notices) next(now time.Time, membership agreement.Membership, removed []agreement.Replica, seeds []netip.AddrPort) (agreement.Replica, bool) {
	candidates := slices.Clone(removed)
	for _, a := range seeds {
		id := MemberID(a)
		if !slices.ContainsFunc(removed, func(r agreement.Replica) bool { return r.ID == id }) {
			candidates = append(candidates, agreement.Replica{ID: id})
		}
	}
	var longest agreement.Replica
	for _, r := range candidates {
		_, isMember := membership.Find(r.ID)
		if isMember || now.Sub(n[r.ID]) < noticeInterval {
			continue
		}
		if longest == agreement.None || n[r.ID].Before(n[longest.ID]) {
			longest = r
		}
	}
	if longest == agreement.None {
		return agreement.None, false
	}
	n[longest.ID] = now
	return longest, true
}

// contacts are the addresses of hosts that may be members, the latest last.
type contacts []netip.AddrPort

// add adds an address and reports whether it was unknown.
func (c *contacts) add(a netip.AddrPort) bool {
	known := slices.Contains(*c, a)
	next := slices.DeleteFunc(slices.Clone(*c), func(x netip.AddrPort) bool { return x == a })
	*c = append(next[max(0, len(next)+1-maxContacts):], a)
	return !known
}

// isFromContact reports whether a host outside the group, or one that learns from the message that it is outside,
// should ask the sender to join. Requests to join come from hosts that are outside themselves.
func isFromContact(st *agreement.Status, m *agreement.Message) bool {
	if m.From == agreement.None || m.From.ID == st.Self.ID || m.Kind == agreement.MsgJoin {
		return false
	}
	return !st.Membership.Contains(st.Self) || m.Kind == agreement.MsgRemoved || m.Kind == agreement.MsgJoinRefused
}

// AddContact adds the peer address of a host that may be a member. A host outside the group asks it to join.
func (g *Group) AddContact(a netip.AddrPort) {
	if a == g.cfg.PeerAddress {
		return
	}
	g.mu.Lock()
	added := g.contacts.add(a)
	g.mu.Unlock()
	if added {
		events.ContactLearned.Log(g.log, logrus.Fields{"host": a})
	}
}

// addMembersAsContacts adds the members that this host knew when the group removed it.
func (g *Group) addMembersAsContacts(members agreement.Membership) {
	for _, m := range members {
		g.AddContact(MemberAddress(m.Replica.ID))
	}
}

func (g *Group) contactAddresses() []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.contacts)
}

// notifyOutsiders sends the next notice to a host that is not a member, if this host is the leader.
func (c *core) notifyOutsiders(st *agreement.Status, now time.Time) {
	if st.Role != agreement.Leader {
		clear(c.notices)
		return
	}
	if r, ok := c.notices.next(now, st.Membership, c.state.removed, c.group.cfg.Seeds()); ok {
		c.node.NotifyRemoved(r)
	}
}
