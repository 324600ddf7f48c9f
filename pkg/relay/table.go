// Package relay routes packets to their owner, and encodes packets between daemons.
package relay

import (
	"net/netip"
	"slices"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/ownership"
	"rosemarygate/pkg/token"
)

// Verdict is the kind of a routing decision.
type Verdict uint8

// Kinds of routing decisions.
const (
	Local   Verdict = iota + 1 // this daemon handles the packet
	Forward                    // another daemon handles the packet
	NoRoute                    // no daemon that may handle the packet is known
)

// Decision is the route of one packet.
type Decision struct {
	Verdict Verdict
	Peer    netip.AddrPort // set for Forward
}

// Table routes packets according to one view of the members. It is immutable and safe for concurrent
// use.
type Table struct {
	self        ident.DaemonID
	incarnation ident.Incarnation
	// ids holds the ids of members in the same, ascending order. A map of 18,000 members for each
	// view would use ten times the memory.
	ids             []ident.DaemonID
	members         []membership.Member
	dataCentreNames map[ident.DataCentreID]string
	ownership       *ownership.Table
}

// NewTable returns the table of the daemon self for a view.
func NewTable(self membership.Member, v *membership.View, owners *ownership.Table) *Table {
	t := &Table{
		self: self.ID, incarnation: self.Incarnation,
		ids: make([]ident.DaemonID, len(v.Members)), members: v.Members,
		dataCentreNames: map[ident.DataCentreID]string{},
		ownership:       owners,
	}
	names := map[string]bool{self.DataCentre: true}
	for i := range v.Members {
		t.ids[i] = v.Members[i].ID
		names[v.Members[i].DataCentre] = true
	}
	for name := range names {
		t.dataCentreNames[ident.DataCentre(name)] = name
	}
	return t
}

// liveMember returns the member with the id, or nil when it is unknown or dead.
func (t *Table) liveMember(id ident.DaemonID) *membership.Member {
	i, found := slices.BinarySearch(t.ids, id)
	if !found || t.members[i].State == membership.Dead {
		return nil
	}
	return &t.members[i]
}

// Route returns the route of a frame with the given verified claims: to the owner that the token
// names while that incarnation is live, otherwise to the current owner.
func (t *Table) Route(claims *token.Claims) Decision {
	if claims.Owner == t.self && claims.OwnerIncarnation == t.incarnation {
		return Decision{Verdict: Local}
	}
	if m := t.liveMember(claims.Owner); m != nil && m.Incarnation == claims.OwnerIncarnation {
		return Decision{Verdict: Forward, Peer: m.PeerAddr}
	}
	return t.RouteToOwner(claims.DataCentre, claims.Upstream)
}

// RouteToOwner returns the route to the current owner of an upstream.
func (t *Table) RouteToOwner(dc ident.DataCentreID, u ident.UpstreamID) Decision {
	m, ok := t.ownership.Owner(t.dataCentreNames[dc], u)
	switch {
	case !ok:
		return Decision{Verdict: NoRoute}
	case m.ID == t.self:
		return Decision{Verdict: Local}
	default:
		return Decision{Verdict: Forward, Peer: m.PeerAddr}
	}
}

// PeerAddress returns the address of a live daemon.
func (t *Table) PeerAddress(id ident.DaemonID) (netip.AddrPort, bool) {
	m := t.liveMember(id)
	if m == nil {
		return netip.AddrPort{}, false
	}
	return m.PeerAddr, true
}
