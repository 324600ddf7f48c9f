// Package relay decides where a packet goes, and encodes packets between daemons.
package relay

import (
	"net/netip"
	"slices"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/ownership"
	"rosemarygate/pkg/token"
)

// Verdict is where a packet goes.
type Verdict uint8

// Verdicts of a routing decision.
const (
	Local   Verdict = iota + 1 // this daemon decides
	Forward                    // another daemon decides
	NoRoute                    // no daemon that may decide is known
)

// Decision is the route of one packet.
type Decision struct {
	Verdict Verdict
	Peer    netip.AddrPort // with Forward
}

// Table routes packets by one view of the members. It is immutable and safe for
// concurrent use.
type Table struct {
	self        ident.DaemonID
	incarnation ident.Incarnation
	// ids are those of the members, in the same order. A map of 18,000 members for each view
	// took ten times the memory.
	ids       []ident.DaemonID
	members   []membership.Member
	centres   map[ident.DataCentreID]string
	ownership *ownership.Table
}

// NewTable returns the table of a daemon for a view.
func NewTable(self membership.Member, v *membership.View, owners *ownership.Table) *Table {
	t := &Table{
		self: self.ID, incarnation: self.Incarnation,
		ids: make([]ident.DaemonID, len(v.Members)), members: v.Members,
		centres:   map[ident.DataCentreID]string{},
		ownership: owners,
	}
	names := map[string]bool{self.DataCentre: true}
	for i := range v.Members {
		t.ids[i] = v.Members[i].ID
		names[v.Members[i].DataCentre] = true
	}
	for name := range names {
		t.centres[ident.DataCentre(name)] = name
	}
	return t
}

// live returns a member that is not dead, or nil.
func (t *Table) live(id ident.DaemonID) *membership.Member {
	i, found := slices.BinarySearch(t.ids, id)
	if !found || t.members[i].State == membership.Dead {
		return nil
	}
	return &t.members[i]
}

// Route returns where a frame with the given verified claims goes: to the owner that the
// token names while that incarnation lives, otherwise to the present owner.
func (t *Table) Route(cl *token.Claims) Decision {
	if cl.Owner == t.self && cl.OwnerIncarnation == t.incarnation {
		return Decision{Verdict: Local}
	}
	if m := t.live(cl.Owner); m != nil && m.Incarnation == cl.OwnerIncarnation {
		return Decision{Verdict: Forward, Peer: m.PeerAddr}
	}
	return t.Owner(cl.DataCentre, cl.Upstream)
}

// Owner returns the route to the present owner of an upstream.
func (t *Table) Owner(dc ident.DataCentreID, u ident.UpstreamID) Decision {
	m, ok := t.ownership.Owner(t.centres[dc], u)
	switch {
	case !ok:
		return Decision{Verdict: NoRoute}
	case m.ID == t.self:
		return Decision{Verdict: Local}
	default:
		return Decision{Verdict: Forward, Peer: m.PeerAddr}
	}
}

// Peer returns the address of a live daemon.
func (t *Table) Peer(id ident.DaemonID) (netip.AddrPort, bool) {
	m := t.live(id)
	if m == nil {
		return netip.AddrPort{}, false
	}
	return m.PeerAddr, true
}
