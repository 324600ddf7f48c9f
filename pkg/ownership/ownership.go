// Package ownership assigns every upstream to one serving daemon by rendezvous hashing.
//
// It scores members in a direct loop over xxhash values of their identifiers instead of
// through go-rendezvous: that library looks keys up by string, so each lookup of a numeric
// upstream identifier allocates, and it returns a name that has to be looked up again.
package ownership

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
)

// Order lists, for a data centre, the other data centres by distance, nearest first. Data
// centres that are not listed follow in an order given by the hash of both names.
type Order map[string][]string

// Table answers for one view. It is immutable and safe for concurrent use.
type Table struct {
	order   Order
	centres map[string][]candidate
	names   []string
}

type candidate struct {
	hash   uint64
	member membership.Member
}

// NewTable prepares lookups in a view.
func NewTable(v *membership.View, order Order) *Table {
	t := &Table{order: order, centres: make(map[string][]candidate)}
	for _, m := range v.Members {
		if !owns(m.State) {
			continue
		}
		if t.centres[m.DataCentre] == nil {
			t.names = append(t.names, m.DataCentre)
		}
		t.centres[m.DataCentre] = append(t.centres[m.DataCentre], candidate{hash: memberHash(m.ID), member: m})
	}
	return t
}

// Owner returns the owner of an upstream of the given data centre. It is false when no member
// of any data centre is serving.
func (t *Table) Owner(dataCentre string, u ident.UpstreamID) (membership.Member, bool) {
	c := t.centres[dataCentre]
	if len(c) == 0 {
		c = t.centres[t.nearest(dataCentre)]
	}
	if len(c) == 0 {
		return membership.Member{}, false
	}
	return best(c, u).member, true
}

// Owner returns the owner of an upstream of the given data centre in a view, without an order
// of data centres. Use a Table for many lookups in one view.
func Owner(v *membership.View, dataCentre string, u ident.UpstreamID) (membership.Member, bool) {
	return NewTable(v, nil).Owner(dataCentre, u)
}

// owns tells whether a member in the given state owns upstreams.
func owns(s membership.State) bool {
	return s == membership.Serving || s == membership.Suspect
}

func best(c []candidate, u ident.UpstreamID) *candidate {
	top := 0
	topScore := mix(uint64(u) ^ c[0].hash)
	for i := 1; i < len(c); i++ {
		if score := mix(uint64(u) ^ c[i].hash); score > topScore {
			top, topScore = i, score
		}
	}
	return &c[top]
}

func (t *Table) nearest(dataCentre string) string {
	for _, name := range t.order[dataCentre] {
		if len(t.centres[name]) > 0 {
			return name
		}
	}
	names := append([]string(nil), t.names...)
	sort.Slice(names, func(i, j int) bool {
		return xxhash.Sum64String(dataCentre+"/"+names[i]) < xxhash.Sum64String(dataCentre+"/"+names[j])
	})
	if len(names) == 0 {
		return ""
	}
	return names[0]
}

func memberHash(id ident.DaemonID) uint64 {
	return xxhash.Sum64String(id.String())
}

// mix is the 64-bit finalizer of MurmurHash3: every input bit changes each output bit with
// probability one half, so scores of different members are independent.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
