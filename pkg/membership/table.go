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
	// minIndependentMembers is the number of living members below which a data centre is also
	// probed by members of other ones, since its own members could not determine reliably which
	// of them died.
	minIndependentMembers = 5
)

// record is the entry of one member. Its State is never Suspect.
type record struct {
	Member
	*suspicion   // the last one; nil if the member was never suspected
	centre       *centre
	suspect      bool
	hidden       bool      // dead and no longer in the view
	lastReceived time.Time // last message received from the member itself
	deadSince    time.Time
}

// suspicion is the last suspicion of a member.
type suspicion struct {
	raisedHere       bool      // this daemon raised it
	suspectSince     time.Time // when the first suspicion began
	nextSuspectProbe time.Time // next probe of the member
}

func (r *record) alive() bool { return r.State != Dead }

// centre is the state of one data centre.
type centre struct {
	id         ident.DataCentreID
	name       string
	records    []*record
	aliveCount int
	checksum   uint64
	buckets    [bucketCount]uint32

	lastReceived   time.Time     // last message received from one of its members
	bridgeSince    time.Time     // since when this daemon is a bridge to it; zero when it is none
	redeclareDelay time.Duration // added to reachabilityTimeout before it is declared unreachable again
	declaredAt     time.Time     // when this daemon declared it unreachable
	epoch          uint32
	unreachable    bool
}

// table holds all members, dead ones included until their tombstones expire.
type table struct {
	records    map[ident.DaemonID]*record
	sorted     []*record // values of records, sorted by ID
	centres    map[ident.DataCentreID]*centre
	centreList []*centre // values of centres, in the order in which they were added
	ownCentre  *centre
	probeScope []*record // living members that this daemon probes, and itself; sorted by ID
	changed    bool      // the visible list differs from the last view
}

func newTable(dataCentre string) *table {
	t := &table{
		records: make(map[ident.DaemonID]*record),
		centres: make(map[ident.DataCentreID]*centre),
	}
	t.ownCentre = t.findOrAddCentre(dataCentre)
	return t
}

func (t *table) findOrAddCentre(name string) *centre {
	id := ident.DataCentre(name)
	if c := t.centres[id]; c != nil {
		return c
	}
	c := &centre{id: id, name: name}
	t.centres[id] = c
	t.centreList = append(t.centreList, c)
	return c
}

func (t *table) insert(m Member) *record {
	r := &record{Member: m, centre: t.findOrAddCentre(m.DataCentre)}
	r.DataCentre = r.centre.name // shares one string between all members
	t.records[m.ID] = r
	index, _ := slices.BinarySearchFunc(t.sorted, m.ID, compareID)
	t.sorted = slices.Insert(t.sorted, index, r)
	r.centre.records = append(r.centre.records, r)
	r.centre.updateTotals(r, 1)
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

// update replaces the entry of a member and ends a suspicion of it.
func (t *table) update(r *record, m Member) {
	r.centre.updateTotals(r, -1)
	if m.DataCentre != r.DataCentre {
		r.centre.remove(r)
		r.centre = t.findOrAddCentre(m.DataCentre)
		r.centre.records = append(r.centre.records, r)
	}
	r.Member = m
	r.DataCentre = r.centre.name
	r.suspect = false
	r.hidden = false
	r.centre.updateTotals(r, 1)
	t.changed = true
}

func (t *table) setSuspect(r *record, now, since time.Time) {
	r.suspect = true
	r.suspicion = &suspicion{suspectSince: since, nextSuspectProbe: now}
	t.changed = true
}

// updateTotals adds a living member to the member count and checksums of its data centre, or
// removes it from them.
func (c *centre) updateTotals(r *record, delta int) {
	if !r.alive() {
		return
	}
	c.aliveCount += delta
	h := recordHash(r)
	c.checksum ^= h
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

// visibleMembers returns the members of the view: without hidden ones, and with members of
// unreachable data centres as dead.
func (t *table) visibleMembers() []Member {
	list := make([]Member, 0, len(t.sorted))
	for _, r := range t.sorted {
		if r.hidden {
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

// isProbed reports whether this daemon probes members of a data centre.
func (t *table) isProbed(c *centre) bool {
	return c == t.ownCentre || c.aliveCount < minIndependentMembers
}

func (t *table) updateProbeScope() {
	t.probeScope = t.probeScope[:0]
	for _, r := range t.sorted {
		if r.alive() && t.isProbed(r.centre) {
			t.probeScope = append(t.probeScope, r)
		}
	}
}

// expire hides members that have been dead for longer than retainFor and removes old tombstones.
func (t *table) expire(now time.Time, retainFor, tombstoneAge time.Duration) {
	drop := func(r *record) bool {
		if r.alive() {
			return false
		}
		age := now.Sub(r.deadSince)
		if age > retainFor && !r.hidden {
			r.hidden = true
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
