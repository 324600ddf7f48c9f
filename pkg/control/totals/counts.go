package totals

import (
	"cmp"
	"slices"

	"rosemarygate/api/control/v1"
)

// Key identifies a counter.
type Key struct {
	User    string
	Service string // without the user
	Kind    controlpb.Counter_Kind
	Reason  string // empty for flows carried
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.User, b.User),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Reason, b.Reason),
	)
}

// Counts are the values of counters by key.
type Counts map[Key]uint64

// keepMax raises each count to that of other if it is lower, and reports whether any changed.
func (c Counts) keepMax(other Counts) bool {
	changed := false
	for k, v := range other {
		if v > c[k] {
			c[k] = v
			changed = true
		}
	}
	return changed
}

func (c Counts) sortedKeys() []Key {
	keys := make([]Key, 0, len(c))
	for k := range c {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// encode groups the counts by user and service, in sorted order.
func (c Counts) encode() []*controlpb.ServiceCounters {
	var out []*controlpb.ServiceCounters
	for _, k := range c.sortedKeys() {
		if n := len(out); n == 0 || out[n-1].GetUser() != k.User || out[n-1].GetService() != k.Service {
			out = append(out, &controlpb.ServiceCounters{User: k.User, Service: k.Service})
		}
		service := out[len(out)-1]
		service.Counters = append(service.Counters, &controlpb.Counter{Kind: k.Kind, Reason: k.Reason, Value: c[k]})
	}
	return out
}

func decode(services []*controlpb.ServiceCounters) Counts {
	c := Counts{}
	for _, s := range services {
		for _, counter := range s.GetCounters() {
			k := Key{s.GetUser(), s.GetService(), counter.GetKind(), counter.GetReason()}
			c[k] = max(c[k], counter.GetValue())
		}
	}
	return c
}
