// Package configcheck examines a routing table before an operator sends it: entries that can never take
// effect, limits that contradict each other, and what differs from the version in force. It does no I/O.
// Faults for which a control host refuses a table are found when the table is decoded.
package configcheck

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"rosemarygate/pkg/routing"
)

// Severity orders findings.
type Severity string

// Severities of findings. A control host refuses a table with an error; a warning is accepted, but hardly meant.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is one fault of a table.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place is the route or the service, empty if the finding concerns the whole table.
	Place   string `json:"place,omitempty"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	place := ""
	if f.Place != "" {
		place = f.Place + ": "
	}
	return fmt.Sprintf("%s: %s%s: %s", f.Severity, place, f.Problem, f.Remedy)
}

// Check returns the warnings about a valid table, in the order of its routes and services.
func Check(t *routing.Table) []Finding {
	var c checker
	for i := range t.Routes {
		c.checkRoute(t, &t.Routes[i])
	}
	c.checkNames(t)
	c.checkPriorities(t)
	c.checkServices(t)
	return c.findings
}

type checker struct{ findings []Finding }

func (c *checker) warn(place, problem, remedy string) {
	c.findings = append(c.findings, Finding{Warning, place, problem, remedy})
}

func routePlace(r *routing.Route) string { return fmt.Sprintf("route %q", r.Name) }

func (c *checker) checkRoute(t *routing.Table, r *routing.Route) {
	place := routePlace(r)
	if a := r.Address.Addr(); a.IsUnspecified() || a.IsLoopback() || a.IsMulticast() || a.IsLinkLocalUnicast() || a == broadcast {
		c.warn(place, fmt.Sprintf("no packet of a caller has the address %s", r.Address), "set an address that the fabric forwards")
	}
	for _, s := range r.Split {
		if s.Weight == 0 {
			c.warn(place, fmt.Sprintf("service %q has weight 0 and gets no flow", s.Service), "give it a weight or remove it from the split")
		}
	}
	if r.Objective > r.Timeout && r.Timeout > 0 {
		c.warn(place, fmt.Sprintf("its objective of %s is longer than its timeout of %s", r.Objective, r.Timeout), "lower the objective or raise the timeout")
	}
	if r.Objective <= 0 {
		c.warn(place, "it has no objective, so its requests never count as late and are not limited under overload", "set an objective")
	}
	if t.FlowIdle < r.Timeout {
		c.warn(place, fmt.Sprintf("the idle timeout of flows, %s, is shorter than its timeout of %s: a flow may be discarded while its request runs", t.FlowIdle, r.Timeout),
			"raise the idle timeout above the longest timeout")
	}
}

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

func (c *checker) checkNames(t *routing.Table) {
	addresses := map[string]netip.AddrPort{}
	for i := range t.Routes {
		r := &t.Routes[i]
		if other, repeated := addresses[r.Name]; repeated {
			c.warn(routePlace(r), fmt.Sprintf("%s and %s have the same name, which logs and comparisons cannot tell apart", other, r.Address), "rename one of them")
		}
		addresses[r.Name] = r.Address
	}
}

// CheckVersion returns a warning if a table would not come into force after the one that is.
func CheckVersion(inForce, next *routing.Table) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	return []Finding{{
		Warning, "", fmt.Sprintf("its version %d is not higher than version %d in force: it would be acknowledged and change nothing", next.Version, inForce.Version),
		"raise the version",
	}}
}

// checkPriorities finds routes that yield to less pressing ones: under overload the flows of a service are
// refused by priority, so a route with a short objective behind one with a long objective is starved.
func (c *checker) checkPriorities(t *routing.Table) {
	for i := range t.Routes {
		r := &t.Routes[i]
		for j := range t.Routes {
			other := &t.Routes[j]
			if other.Priority < r.Priority && r.Objective > 0 && other.Objective >= starvingRatio*r.Objective && shareService(r, other) {
				c.warn(routePlace(r), fmt.Sprintf("it yields under overload to route %q, whose objective of %s is %d times its own or more", other.Name, other.Objective, starvingRatio),
					"give it the more urgent priority, or correct the objectives")
				break
			}
		}
	}
}

// starvingRatio is the ratio of objectives from which the order of two priorities is a likely mistake. Routes
// of one service commonly differ by less.
const starvingRatio = 2

func shareService(a, b *routing.Route) bool {
	for _, x := range a.Split {
		for _, y := range b.Split {
			if x.Service == y.Service && x.Weight > 0 && y.Weight > 0 {
				return true
			}
		}
	}
	return false
}

func (c *checker) checkServices(t *routing.Table) {
	used := map[string]bool{}
	for _, r := range t.Routes {
		for _, s := range r.Split {
			used[s.Service] = used[s.Service] || s.Weight > 0
		}
	}
	seen := map[string]bool{}
	for _, name := range t.Services {
		place := fmt.Sprintf("service %q", name)
		if seen[name] {
			c.warn(place, "it is declared more than once", "remove the repetition")
			continue
		}
		seen[name] = true
		if !used[name] {
			c.warn(place, "no route sends flows to it", "add it to a route or remove it")
		}
		if w, ok := t.Warmups[name]; ok && w.Duration > 0 && w.FlowsPerSecond <= 0 {
			c.warn(place, fmt.Sprintf("an upstream bears no flows for %s after its start: if all of its upstreams start together, it serves almost nothing meanwhile", w.Duration),
				"set the rate that a starting upstream bears")
		}
	}
}

// ChangeKind is the kind of a difference.
type ChangeKind string

// Kinds of differences, in the order in which Compare returns them.
const (
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
	Added   ChangeKind = "added"
)

// Change is one difference between two tables.
type Change struct {
	Kind  ChangeKind `json:"kind"`
	Place string     `json:"place,omitempty"`
	// Details are the values that differ, as "name: old -> new".
	Details []string `json:"details,omitempty"`
	// EndsFlows says that open flows are reset when the table comes into force.
	EndsFlows bool `json:"ends_flows,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	line := fmt.Sprintf("%s %s", map[ChangeKind]string{Removed: "-", Changed: "~", Added: "+"}[c.Kind], c.Place)
	for i, d := range c.Details {
		separator := ", "
		if i == 0 {
			separator = ": "
		}
		line += separator + d
	}
	if c.EndsFlows {
		line += " (ends its open flows)"
	}
	return line
}

// Compare returns what changes from the table in force to the next one: first what ends open flows, then other
// removals, changes and additions, each by name.
func Compare(inForce, next *routing.Table) []Change {
	var changes []Change
	changes = append(changes, compareRoutes(inForce, next)...)
	for _, name := range inForce.Services {
		if !slices.Contains(next.Services, name) {
			changes = append(changes, Change{Kind: Removed, Place: fmt.Sprintf("service %q", name)})
		}
	}
	for _, name := range next.Services {
		place := fmt.Sprintf("service %q", name)
		switch {
		case !slices.Contains(inForce.Services, name):
			changes = append(changes, Change{Kind: Added, Place: place})
		case inForce.Warmups[name] != next.Warmups[name]:
			changes = append(changes, Change{Kind: Changed, Place: place, Details: []string{
				difference("warm-up", describeWarmup(inForce.Warmups[name]), describeWarmup(next.Warmups[name])),
			}})
		}
	}
	if inForce.FlowIdle != next.FlowIdle {
		changes = append(changes, Change{Kind: Changed, Place: "limits", Details: []string{difference("idle timeout", inForce.FlowIdle, next.FlowIdle)}})
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return rank(a) - rank(b) })
	return changes
}

func rank(c Change) int {
	if c.EndsFlows {
		return 0
	}
	return 1 + slices.Index([]ChangeKind{Removed, Changed, Added}, c.Kind)
}

// compareRoutes compares routes by name. Flows belong to an address: they end if no route has it any more.
func compareRoutes(inForce, next *routing.Table) []Change {
	before, after := routesByName(inForce), routesByName(next)
	keptAddresses := map[netip.AddrPort]bool{}
	for i := range next.Routes {
		keptAddresses[next.Routes[i].Address] = true
	}
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(before)) {
		old := before[name]
		c := Change{Kind: Removed, Place: routePlace(old), EndsFlows: !keptAddresses[old.Address]}
		if r := after[name]; r != nil {
			c.Kind, c.Details = Changed, routeDifferences(old, r)
			if len(c.Details) == 0 {
				continue
			}
		} else {
			c.Details = []string{old.Address.String()}
		}
		changes = append(changes, c)
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if before[name] == nil {
			changes = append(changes, Change{Kind: Added, Place: routePlace(after[name]), Details: []string{after[name].Address.String()}})
		}
	}
	return changes
}

func routesByName(t *routing.Table) map[string]*routing.Route {
	out := map[string]*routing.Route{}
	for i := range t.Routes {
		out[t.Routes[i].Name] = &t.Routes[i]
	}
	return out
}

func routeDifferences(old, next *routing.Route) []string {
	var out []string
	add := func(differs bool, name string, a, b any) {
		if differs {
			out = append(out, difference(name, a, b))
		}
	}
	add(old.Address != next.Address, "address", old.Address, next.Address)
	add(old.Timeout != next.Timeout, "timeout", old.Timeout, next.Timeout)
	add(old.Objective != next.Objective, "objective", old.Objective, next.Objective)
	add(old.Priority != next.Priority, "priority", old.Priority, next.Priority)
	add(old.Idempotent != next.Idempotent, "may run more than once", old.Idempotent, next.Idempotent)
	add(!slices.Equal(old.Split, next.Split), "services", describeSplit(old), describeSplit(next))
	return out
}

func difference(name string, a, b any) string { return fmt.Sprintf("%s: %v -> %v", name, a, b) }

func describeSplit(r *routing.Route) string {
	text := ""
	for i, s := range r.Split {
		if i > 0 {
			text += " "
		}
		text += s.Service
		if len(r.Split) > 1 {
			text += fmt.Sprintf("=%d", s.Weight)
		}
	}
	return text
}

func describeWarmup(w routing.Warmup) string {
	if w == (routing.Warmup{}) {
		return "none"
	}
	return fmt.Sprintf("%s at %g flows/s", w.Duration.Round(time.Millisecond), w.FlowsPerSecond)
}
