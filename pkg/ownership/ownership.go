// Package ownership assigns every upstream to one serving daemon by rendezvous hashing.
//
// It scores members in a direct loop over hashes of their identifiers instead of through
// go-rendezvous: that library looks keys up by string, so each lookup of a numeric upstream
// identifier allocates 8 bytes, and the relay step may not allocate. Lookups take equally long.
package ownership

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
)

// Order lists, for a data centre, the other data centres by distance, nearest first. Data
// centres that are not listed follow in a ring by identifier, so that each data centre is the
// first successor of exactly one other and a daemon has to prepare for one takeover only.
type Order map[string][]string

// Table answers for one view. It is immutable and safe for concurrent use.
type Table struct {
	order   map[ident.DataCentreID][]string
	centres map[string]*candidates
	serving []dataCentre // with a serving member
	silent  map[string]bool
}

type dataCentre struct {
	id   ident.DataCentreID
	name string
}

// candidates are the serving members of one data centre; hashes are apart from the members so
// that a lookup reads little memory. The members are those of the view: copies of 18,000 of them
// for each view took most of the time of NewTable.
type candidates struct {
	hashes    []uint64
	members   []*membership.Member
	signature uint64
}

// NewTable prepares lookups in a view.
func NewTable(v *membership.View, order Order) *Table {
	t := &Table{centres: make(map[string]*candidates), silent: make(map[string]bool)}
	if order != nil {
		t.order = make(map[ident.DataCentreID][]string, len(order))
	}
	for name, others := range order {
		t.order[ident.DataCentre(name)] = others
	}
	for i := range v.Members {
		if m := &v.Members[i]; owns(m.State) {
			t.add(m)
		} else {
			t.silent[m.DataCentre] = true
		}
	}
	for _, dc := range t.serving {
		delete(t.silent, dc.name)
	}
	return t
}

func (t *Table) add(m *membership.Member) {
	c := t.centres[m.DataCentre]
	if c == nil {
		c = &candidates{}
		t.centres[m.DataCentre] = c
		t.serving = append(t.serving, dataCentre{id: ident.DataCentre(m.DataCentre), name: m.DataCentre})
	}
	hash := memberHash(m.ID)
	c.hashes = append(c.hashes, hash)
	c.members = append(c.members, m)
	c.signature += mix(hash)
}

// Owner returns the owner of an upstream of the given data centre. It is false when no member
// of any data centre is serving.
func (t *Table) Owner(dataCentre string, u ident.UpstreamID) (membership.Member, bool) {
	c := t.candidates(dataCentre)
	if c == nil {
		return membership.Member{}, false
	}
	return *c.members[best(c.hashes, u)], true
}

// candidates returns the members that own the upstreams of a data centre.
func (t *Table) candidates(dataCentre string) *candidates {
	if c := t.centres[dataCentre]; c != nil {
		return c
	}
	return t.centres[t.Successor(ident.DataCentre(dataCentre))]
}

// Serves tells whether a data centre has a serving member.
func (t *Table) Serves(dataCentre string) bool { return t.centres[dataCentre] != nil }

// Keeper returns the data centre whose members own the upstreams of the given one: itself while
// it serves, otherwise its successor. It is empty when no member of any data centre is serving.
func (t *Table) Keeper(dataCentre string) string {
	if t.Serves(dataCentre) {
		return dataCentre
	}
	return t.Successor(ident.DataCentre(dataCentre))
}

// DataCentres returns the number of data centres in the view, with and without serving members.
func (t *Table) DataCentres() int { return len(t.serving) + len(t.silent) }

// Member returns one of the members that serve in a data centre; k chooses which.
func (t *Table) Member(dataCentre string, k int) (membership.Member, bool) {
	c := t.centres[dataCentre]
	if c == nil {
		return membership.Member{}, false
	}
	return *c.members[k%len(c.members)], true
}

// Serving returns the names of the data centres with a serving member.
func (t *Table) Serving() []string {
	names := make([]string, 0, len(t.serving))
	for _, dc := range t.serving {
		names = append(names, dc.name)
	}
	return names
}

// Owners returns a value that changes when the set of members that own the upstreams of a data
// centre does, and whether the given member is one of them.
func (t *Table) Owners(dataCentre string, id ident.DaemonID) (signature uint64, member bool) {
	c := t.candidates(dataCentre)
	if c == nil {
		return 0, false
	}
	own := memberHash(id)
	for i, hash := range c.hashes {
		member = member || hash == own && c.members[i].ID == id
	}
	return c.signature, member
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

// best returns the index of the highest score.
func best(hashes []uint64, u ident.UpstreamID) int {
	top := 0
	var topScore uint64
	for i, hash := range hashes {
		if score := mix(uint64(u) ^ hash); score > topScore {
			top, topScore = i, score
		}
	}
	return top
}

// Successor returns the data centre that takes over the upstreams of the given one when that has
// no serving member left. It is empty when no other data centre serves.
func (t *Table) Successor(of ident.DataCentreID) string {
	for _, name := range t.order[of] {
		if t.centres[name] != nil && ident.DataCentre(name) != of {
			return name
		}
	}
	var next dataCentre
	for _, dc := range t.serving {
		if dc.id != of && (next.name == "" || dc.id-of < next.id-of) {
			next = dc
		}
	}
	return next.name
}

// memberHash returns the hash of the identifier as logs show it, without allocating that string.
func memberHash(id ident.DaemonID) uint64 {
	var b [16]byte
	return xxhash.Sum64(strconv.AppendUint(b[:0], uint64(id), 16))
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
