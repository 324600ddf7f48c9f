// Package routing defines the routing table of entry daemons: the addresses that callers send to, and
// the services that serve them.
package routing

import (
	"fmt"
	"net/netip"
	"time"
)

// Table is one version of the routing configuration. It is immutable once it is validated.
type Table struct {
	Version  uint64
	Routes   []Route
	Services []string
	// Warmups holds the services whose upstreams need a warm-up.
	Warmups map[string]Warmup
	// FlowIdle is the time without packets after which a flow may be discarded.
	FlowIdle time.Duration
}

// Route distributes the flows of one address to services.
type Route struct {
	Name string
	// Address is what callers send to.
	Address netip.AddrPort
	// Timeout is the maximum duration of a request on the route.
	Timeout time.Duration
	// Objective is the target latency of requests.
	Objective time.Duration
	// Priority orders routes under overload; 0 is the most urgent.
	Priority uint8
	// Idempotent says that requests on the route may run more than once.
	Idempotent bool
	Split      []Share
}

// Share is the weight of a service among a route's new flows.
type Share struct {
	Service string
	Weight  uint32
}

// InvalidError is the reason for which a table is refused.
type InvalidError struct {
	// Route is the name of the invalid route, empty if the fault concerns the whole table.
	Route  string
	Reason string
}

// Error returns a message with the route and the reason.
func (e *InvalidError) Error() string {
	if e.Route == "" {
		return "configuration is invalid: " + e.Reason
	}
	return fmt.Sprintf("configuration is invalid: route %q: %s", e.Route, e.Reason)
}

// Validate returns an *InvalidError for the first fault of a table.
func (t *Table) Validate() error {
	if faults := t.Faults(); len(faults) > 0 {
		return faults[0]
	}
	return nil
}

// Faults returns all faults for which a table is refused.
func (t *Table) Faults() []*InvalidError {
	var faults []*InvalidError
	if t.Version == 0 {
		faults = append(faults, &InvalidError{Reason: "version is missing; number the configurations from 1"})
	}
	services := map[string]bool{}
	for _, s := range t.Services {
		if s == "" {
			faults = append(faults, &InvalidError{Reason: "a service has no name"})
		}
		services[s] = true
	}
	routeNames := map[netip.AddrPort]string{}
	for i := range t.Routes {
		r := &t.Routes[i]
		if fault := r.fault(services); fault != nil {
			faults = append(faults, fault)
			continue
		}
		if other, duplicate := routeNames[r.Address]; duplicate {
			faults = append(faults, &InvalidError{r.Name, fmt.Sprintf("address %s belongs to route %q already", r.Address, other)})
			continue
		}
		routeNames[r.Address] = r.Name
	}
	return faults
}

// fault returns the first fault of a route, nil if there is none.
func (r *Route) fault(services map[string]bool) *InvalidError {
	if !r.Address.IsValid() || !r.Address.Addr().Is4() || r.Address.Port() == 0 {
		return &InvalidError{r.Name, "address is not an IPv4 address and a port"}
	}
	if r.Timeout <= 0 {
		return &InvalidError{r.Name, "timeout is not positive"}
	}
	total := uint64(0)
	for _, s := range r.Split {
		if !services[s.Service] {
			return &InvalidError{r.Name, fmt.Sprintf("service %q is not declared", s.Service)}
		}
		total += uint64(s.Weight)
	}
	if total == 0 {
		return &InvalidError{r.Name, "weights of its services add up to 0"}
	}
	return nil
}

// Index maps addresses to the routes of a table. It is immutable.
type Index struct {
	table  *Table
	routes map[netip.AddrPort]*Route
}

// NewIndex returns the index of a validated table.
func NewIndex(t *Table) *Index {
	x := &Index{table: t, routes: make(map[netip.AddrPort]*Route, len(t.Routes))}
	for i := range t.Routes {
		x.routes[t.Routes[i].Address] = &t.Routes[i]
	}
	return x
}

// Table returns the indexed table.
func (x *Index) Table() *Table { return x.table }

// Route returns the route of an address, nil if there is none.
func (x *Index) Route(a netip.AddrPort) *Route { return x.routes[a] }

// Service returns the service for a flow with the given hash. The service of a flow is stable while the
// weights do not change.
func (r *Route) Service(hash uint64) string {
	total := uint64(0)
	for _, s := range r.Split {
		total += uint64(s.Weight)
	}
	offset := hash % total
	for _, s := range r.Split {
		if offset < uint64(s.Weight) {
			return s.Service
		}
		offset -= uint64(s.Weight)
	}
	return r.Split[len(r.Split)-1].Service
}
