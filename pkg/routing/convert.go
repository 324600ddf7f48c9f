package routing

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	entrypb "rosemarygate/api/entry/v1"
)

// Proto returns the protobuf form of a whole table without the declared services.
func (t *Table) Proto() *entrypb.RoutingTable {
	out := &entrypb.RoutingTable{Version: t.Version, FlowIdleMs: t.FlowIdle.Milliseconds(), Warmups: t.warmupsProto()}
	for i := range t.Routes {
		out.Routes = append(out.Routes, t.Routes[i].proto())
	}
	return out
}

// Difference returns the protobuf form of the changes from table from to table t.
func (t *Table) Difference(from *Table) *entrypb.RoutingTable {
	out := &entrypb.RoutingTable{Version: t.Version, FromVersion: from.Version, FlowIdleMs: t.FlowIdle.Milliseconds(), Warmups: t.warmupsProto()}
	oldRoutes := make(map[netip.AddrPort]*Route, len(from.Routes))
	for i := range from.Routes {
		oldRoutes[from.Routes[i].Address] = &from.Routes[i]
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		if old := oldRoutes[r.Address]; old == nil || !old.equal(r) {
			out.Routes = append(out.Routes, r.proto())
		}
		delete(oldRoutes, r.Address)
	}
	for i := range from.Routes {
		if a := from.Routes[i].Address; oldRoutes[a] != nil {
			out.Removed = append(out.Removed, &entrypb.RouteAddress{Address: AddressNumber(a.Addr()), Port: uint32(a.Port())})
		}
	}
	return out
}

// Apply returns the table that p describes, either whole or as a difference from base, which may be nil.
func Apply(base *Table, p *entrypb.RoutingTable) (*Table, error) {
	t := &Table{Version: p.GetVersion(), FlowIdle: time.Duration(p.GetFlowIdleMs()) * time.Millisecond, Warmups: warmupsFromProto(p.GetWarmups())}
	if p.GetFromVersion() > 0 {
		if base == nil || base.Version != p.GetFromVersion() {
			return nil, fmt.Errorf("difference is from version %d, which this daemon does not have: a new stream begins with the whole table", p.GetFromVersion())
		}
		t.Routes = base.unaffectedRoutes(p)
	}
	for _, r := range p.GetRoutes() {
		t.Routes = append(t.Routes, routeFromProto(r))
	}
	return t, nil
}

// unaffectedRoutes returns the routes that a difference neither replaces nor removes.
func (t *Table) unaffectedRoutes(p *entrypb.RoutingTable) []Route {
	replaced := make(map[netip.AddrPort]bool, len(p.GetRoutes())+len(p.GetRemoved()))
	for _, r := range p.GetRoutes() {
		replaced[addressOf(r.GetAddress(), r.GetPort())] = true
	}
	for _, a := range p.GetRemoved() {
		replaced[addressOf(a.GetAddress(), a.GetPort())] = true
	}
	out := make([]Route, 0, len(t.Routes)+len(p.GetRoutes()))
	for _, r := range t.Routes {
		if !replaced[r.Address] {
			out = append(out, r)
		}
	}
	return out
}

func addressOf(number, port uint32) netip.AddrPort {
	return netip.AddrPortFrom(AddressFromNumber(number), uint16(port))
}

func (r *Route) equal(other *Route) bool {
	return r.Name == other.Name && r.Address == other.Address && r.Timeout == other.Timeout && r.Objective == other.Objective &&
		r.Priority == other.Priority && r.Idempotent == other.Idempotent && slices.Equal(r.Split, other.Split)
}

func (r *Route) proto() *entrypb.Route {
	p := &entrypb.Route{
		Name: r.Name, Address: AddressNumber(r.Address.Addr()), Port: uint32(r.Address.Port()),
		TimeoutMs: r.Timeout.Milliseconds(), ObjectiveMs: r.Objective.Milliseconds(),
		Priority: uint32(r.Priority), Idempotent: r.Idempotent,
	}
	for _, s := range r.Split {
		p.Split = append(p.Split, &entrypb.Share{Service: s.Service, Weight: s.Weight})
	}
	return p
}

func routeFromProto(p *entrypb.Route) Route {
	r := Route{
		Name: p.GetName(), Address: addressOf(p.GetAddress(), p.GetPort()),
		Timeout: time.Duration(p.GetTimeoutMs()) * time.Millisecond, Objective: time.Duration(p.GetObjectiveMs()) * time.Millisecond,
		Priority: uint8(p.GetPriority()), Idempotent: p.GetIdempotent(),
	}
	for _, s := range p.GetSplit() {
		r.Split = append(r.Split, Share{Service: s.GetService(), Weight: s.GetWeight()})
	}
	return r
}

// AddressNumber returns an IPv4 address as a number whose highest byte is the first octet, 0 for any
// other address.
func AddressNumber(a netip.Addr) uint32 {
	if !a.Is4() {
		return 0
	}
	b := a.As4()
	return uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
}

// AddressFromNumber is the inverse of AddressNumber.
func AddressFromNumber(n uint32) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
}
