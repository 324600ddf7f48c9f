// Package ownership assigns every upstream to one serving daemon by rendezvous hashing.
//
// Members are scored in a loop over the hashes of their identifiers. go-rendezvous looks keys up by
// string, so each lookup of a numeric upstream identifier allocates 8 bytes there, and the relay
// step must not allocate. Lookups take equally long either way.
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

// Table looks up owners in one membership view. It is immutable and safe for concurrent use.
type Table struct {
	order          map[ident.DataCentreID][]string
	byDataCentre   map[string]*candidates
	servingCentres []dataCentre    // data centres with a serving member
	withoutServing map[string]bool // names of the other data centres in the view
}

type dataCentre struct {
	id   ident.DataCentreID
	name string
}

// candidates are the serving members of one data centre. The hashes are stored apart from the
// members so that a lookup reads little memory. The members point into the view: copying 18,000 of
// them for each view takes most of the time of NewTable.
type candidates struct {
	hashes    []uint64
	members   []*membership.Member
	signature uint64
}

// NewTable returns the table of a view.
func NewTable(v *membership.View, order Order) *Table {
	t := &Table{byDataCentre: make(map[string]*candidates), withoutServing: make(map[string]bool)}
	if order != nil {
		t.order = make(map[ident.DataCentreID][]string, len(order))
	}
	for name, others := range order {
		t.order[ident.DataCentre(name)] = others
	}
	for i := range v.Members {
		if m := &v.Members[i]; isOwnerState(m.State) {
			t.add(m)
		} else {
			t.withoutServing[m.DataCentre] = true
		}
	}
	for _, dc := range t.servingCentres {
		delete(t.withoutServing, dc.name)
	}
	return t
}

func (t *Table) add(m *membership.Member) {
	c := t.byDataCentre[m.DataCentre]
	if c == nil {
		c = &candidates{}
		t.byDataCentre[m.DataCentre] = c
		t.servingCentres = append(t.servingCentres, dataCentre{id: ident.DataCentre(m.DataCentre), name: m.DataCentre})
	}
	hash := memberHash(m.ID)
	c.hashes = append(c.hashes, hash)
	c.members = append(c.members, m)
	c.signature += mix(hash)
}

// Owner returns the owner of an upstream of the given data centre. It reports false when no
// data centre has a serving member.
func (t *Table) Owner(dataCentre string, u ident.UpstreamID) (membership.Member, bool) {
	c := t.candidatesFor(dataCentre)
	if c == nil {
		return membership.Member{}, false
	}
	return *c.members[highestScoreIndex(c.hashes, u)], true
}

// candidatesFor returns the members that own the upstreams of a data centre; nil when no data
// centre has a serving member.
func (t *Table) candidatesFor(dataCentre string) *candidates {
	if c := t.byDataCentre[dataCentre]; c != nil {
		return c
	}
	return t.byDataCentre[t.Successor(ident.DataCentre(dataCentre))]
}

// HasServingMember reports whether a data centre has a serving member.
func (t *Table) HasServingMember(dataCentre string) bool { return t.byDataCentre[dataCentre] != nil }

// OwnerDataCentre returns the data centre whose members own the upstreams of the given one: itself
// while it has a serving member, otherwise its successor. It is empty when no data centre has a
// serving member.
func (t *Table) OwnerDataCentre(dataCentre string) string {
	if t.HasServingMember(dataCentre) {
		return dataCentre
	}
	return t.Successor(ident.DataCentre(dataCentre))
}

// DataCentreCount returns the number of data centres in the view, with and without serving members.
func (t *Table) DataCentreCount() int { return len(t.servingCentres) + len(t.withoutServing) }

// ServingMember returns the serving member of a data centre at the given index, modulo their number.
func (t *Table) ServingMember(dataCentre string, index int) (membership.Member, bool) {
	c := t.byDataCentre[dataCentre]
	if c == nil {
		return membership.Member{}, false
	}
	return *c.members[index%len(c.members)], true
}

// ServingDataCentres returns the names of the data centres with a serving member.
func (t *Table) ServingDataCentres() []string {
	names := make([]string, 0, len(t.servingCentres))
	for _, dc := range t.servingCentres {
		names = append(names, dc.name)
	}
	return names
}

// OwnerSet returns a signature of the set of members that own the upstreams of a data centre, which
// changes when that set does, and whether the given member is in the set.
func (t *Table) OwnerSet(dataCentre string, id ident.DaemonID) (signature uint64, isOwner bool) {
	c := t.candidatesFor(dataCentre)
	if c == nil {
		return 0, false
	}
	idHash := memberHash(id)
	for i, hash := range c.hashes {
		isOwner = isOwner || hash == idHash && c.members[i].ID == id
	}
	return c.signature, isOwner
}

// Owner returns the owner of an upstream of the given data centre in a view, without a
// configured order of data centres. Use a Table for many lookups in one view.
func Owner(v *membership.View, dataCentre string, u ident.UpstreamID) (membership.Member, bool) {
	return NewTable(v, nil).Owner(dataCentre, u)
}

// isOwnerState reports whether a member in the given state owns upstreams.
func isOwnerState(s membership.State) bool {
	return s == membership.Serving || s == membership.Suspect
}

// highestScoreIndex returns the index of the hash with the highest score for an upstream.
func highestScoreIndex(hashes []uint64, u ident.UpstreamID) int {
	top := 0
	var topScore uint64
	for i, hash := range hashes {
		if score := mix(uint64(u) ^ hash); score > topScore {
			top, topScore = i, score
		}
	}
	return top
}

// Successor returns the data centre that takes over the upstreams of the given one when it has no
// serving member left. It is empty when no other data centre has a serving member.
func (t *Table) Successor(id ident.DataCentreID) string {
	for _, name := range t.order[id] {
		if t.byDataCentre[name] != nil && ident.DataCentre(name) != id {
			return name
		}
	}
	var next dataCentre
	for _, dc := range t.servingCentres {
		if dc.id != id && (next.name == "" || dc.id-id < next.id-id) {
			next = dc
		}
	}
	return next.name
}

// memberHash returns the hash of the identifier in hexadecimal, as in the logs, without allocating
// that string.
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
