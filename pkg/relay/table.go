// Package relay decides where a packet goes, and encodes packets between daemons.
package relay

import (
	"net/netip"

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
	owners      map[ident.DaemonID]peer
	centres     map[ident.DataCentreID]string
	ownership   *ownership.Table
}

type peer struct {
	incarnation ident.Incarnation
	addr        netip.AddrPort
}

// NewTable returns the table of a daemon for a view.
func NewTable(self membership.Member, v *membership.View, owners *ownership.Table) *Table {
	t := &Table{
		self: self.ID, incarnation: self.Incarnation,
		owners:    make(map[ident.DaemonID]peer, len(v.Members)),
		centres:   map[ident.DataCentreID]string{ident.DataCentre(self.DataCentre): self.DataCentre},
		ownership: owners,
	}
	for _, m := range v.Members {
		t.centres[ident.DataCentre(m.DataCentre)] = m.DataCentre
		if m.State != membership.Dead {
			t.owners[m.ID] = peer{incarnation: m.Incarnation, addr: m.PeerAddr}
		}
	}
	return t
}

// Route returns where a frame with the given verified claims goes: to the owner that the
// token names while that incarnation lives, otherwise to the present owner.
func (t *Table) Route(cl *token.Claims) Decision {
	if cl.Owner == t.self && cl.OwnerIncarnation == t.incarnation {
		return Decision{Verdict: Local}
	}
	if p, ok := t.owners[cl.Owner]; ok && p.incarnation == cl.OwnerIncarnation {
		return Decision{Verdict: Forward, Peer: p.addr}
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
	p, ok := t.owners[id]
	return p.addr, ok
}
