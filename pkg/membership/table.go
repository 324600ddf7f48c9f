package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemarygate/pkg/ident"
)

const (
	bucketCount = 64
	bucketShift = 58
	// smallCentre is the number of living members below which a data centre is probed by
	// members of other ones too, since its own members could not tell reliably which died.
	smallCentre = 5
)

// record is what this daemon knows of one member. The member's state is never Suspect.
type record struct {
	Member
	*suspicion // nil while the member was never suspected
	centre     *centre
	suspect    bool
	forgotten  bool      // dead and no longer in the view
	heard      time.Time // last message received from the member itself
	deadSince  time.Time
}

// suspicion is what this daemon knows of the last suspicion of a member.
type suspicion struct {
	origin       bool      // this daemon raised it
	suspectSince time.Time // when the first suspicion began
	nextCheck    time.Time // next probe of the member
}

func (r *record) alive() bool { return r.State != Dead }

// centre is what this daemon knows of one data centre.
type centre struct {
	id      ident.DataCentreID
	name    string
	records []*record
	alive   int
	sum     uint64
	buckets [bucketCount]uint32

	heard       time.Time     // last message received from one of its members
	bridgeSince time.Time     // since when this daemon is a bridge to it; zero when it is none
	doubt       time.Duration // waited longer before it is declared unreachable again
	declared    time.Time     // when this daemon declared it unreachable
	epoch       uint32
	unreachable bool
}

// table holds all members, dead ones included until their tombstones expire.
type table struct {
	records map[ident.DaemonID]*record
	sorted  []*record // by ID
	centres map[ident.DataCentreID]*centre
	list    []*centre // of centres, in the order in which they were learned
	own     *centre
	scope   []*record // living members that this daemon probes, and itself; by ID
	changed bool      // the visible list differs from the last view
}

func newTable(dataCentre string) *table {
	t := &table{
		records: make(map[ident.DaemonID]*record),
		centres: make(map[ident.DataCentreID]*centre),
	}
	t.own = t.centreOf(dataCentre)
	return t
}

func (t *table) centreOf(name string) *centre {
	id := ident.DataCentre(name)
	if c := t.centres[id]; c != nil {
		return c
	}
	c := &centre{id: id, name: name}
	t.centres[id] = c
	t.list = append(t.list, c)
	return c
}

func (t *table) insert(m Member) *record {
	r := &record{Member: m, centre: t.centreOf(m.DataCentre)}
	r.DataCentre = r.centre.name // one string for all members
	t.records[m.ID] = r
	at, _ := slices.BinarySearchFunc(t.sorted, m.ID, compareID)
	t.sorted = slices.Insert(t.sorted, at, r)
	r.centre.records = append(r.centre.records, r)
	r.centre.account(r, 1)
	t.changed = true
	return r
}

func compareID(r *record, id ident.DaemonID) int {
	switch {
	case r.ID < id:
		return -1
	case r.ID > id:
		return 1
	}
	return 0
}

// update replaces what is known of a member and ends a suspicion of it.
func (t *table) update(r *record, m Member) {
	r.centre.account(r, -1)
	if m.DataCentre != r.DataCentre {
		r.centre.remove(r)
		r.centre = t.centreOf(m.DataCentre)
		r.centre.records = append(r.centre.records, r)
	}
	r.Member = m
	r.DataCentre = r.centre.name
	r.suspect = false
	r.forgotten = false
	r.centre.account(r, 1)
	t.changed = true
}

func (t *table) setSuspect(r *record, now, since time.Time) {
	r.suspect = true
	r.suspicion = &suspicion{suspectSince: since, nextCheck: now}
	t.changed = true
}

// account adds a living member to the sums of its data centre, or takes it out.
func (c *centre) account(r *record, delta int) {
	if !r.alive() {
		return
	}
	c.alive += delta
	h := recordHash(r)
	c.sum ^= h
	c.buckets[r.ID>>bucketShift] ^= uint32(h)
}

func (c *centre) remove(r *record) {
	if i := slices.Index(c.records, r); i >= 0 {
		c.records = slices.Delete(c.records, i, i+1)
	}
}

func recordHash(r *record) uint64 {
	var b [21]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(r.ID))
	binary.LittleEndian.PutUint64(b[8:], uint64(r.Incarnation))
	binary.LittleEndian.PutUint32(b[16:], r.Revision)
	b[20] = byte(r.State)
	return xxhash.Sum64(b[:])
}

// members returns the visible list: without tombstones, and with members of unreachable data
// centres dead.
func (t *table) members() []Member {
	list := make([]Member, 0, len(t.sorted))
	for _, r := range t.sorted {
		if r.forgotten {
			continue
		}
		m := r.Member
		m.State = r.visibleState()
		list = append(list, m)
	}
	return list
}

func (r *record) visibleState() State {
	switch {
	case r.centre.unreachable:
		return Dead
	case r.suspect && r.State == Serving:
		return Suspect
	}
	return r.State
}

// probed tells whether members of a data centre are probed by this daemon.
func (t *table) probed(c *centre) bool {
	return c == t.own || c.alive < smallCentre
}

func (t *table) rescope() {
	t.scope = t.scope[:0]
	for _, r := range t.sorted {
		if r.alive() && t.probed(r.centre) {
			t.scope = append(t.scope, r)
		}
	}
}

// expire hides members that are dead for long and drops old tombstones.
func (t *table) expire(now time.Time, forgetAfter, tombstoneAge time.Duration) {
	drop := func(r *record) bool {
		if r.alive() {
			return false
		}
		age := now.Sub(r.deadSince)
		if age > forgetAfter && !r.forgotten {
			r.forgotten = true
			t.changed = true
		}
		if age <= tombstoneAge {
			return false
		}
		delete(t.records, r.ID)
		r.centre.remove(r)
		return true
	}
	t.sorted = slices.DeleteFunc(t.sorted, drop)
}
