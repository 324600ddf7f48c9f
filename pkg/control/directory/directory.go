package directory

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Outcome says what an announcement changed.
type Outcome uint8

// Outcomes of announcements.
const (
	Refreshed    Outcome = iota // nothing but the time of the last announcement
	Changed                     // the registration is new or says something else
	Superseded                  // a later announcement or incarnation is known; nothing changed
	Contradicted                // the incarnation announced another service or address before; nothing changed
)

// String returns the outcome as logs show it.
func (o Outcome) String() string {
	return [...]string{"refreshed", "changed", "superseded", "contradicted"}[o]
}

// Config holds the times of a directory.
type Config struct {
	// SilentAfter is the time without an announcement after which an upstream counts as silent. 0
	// stands for an entry daemon, which takes this judgement from the control host that it follows.
	SilentAfter time.Duration
	// ForgetAfter is how long a silent or ended upstream is remembered: the longest life of a flow,
	// so that its packets are still recognised.
	ForgetAfter time.Duration
}

type record struct {
	Registration
	revision uint64
	since    time.Duration // when the incarnation was found to be gone or silent
	exitsAt  time.Duration // when it is gone after its deregistration, 0 before that
}

// Directory holds the registrations that one process knows. It is not safe for concurrent use.
type Directory struct {
	cfg      Config
	records  map[Incarnation]*record
	latest   map[Key]int64              // latest start of each key
	holders  map[netip.AddrPort]*record // latest process at each address
	revision uint64
	history  []change // by revision; the latest change of each record counts
	lastTick time.Duration
}

// change is one change of a record.
type change struct {
	revision uint64
	record   *record
}

// New returns an empty directory.
func New(cfg Config) *Directory {
	return &Directory{
		cfg: cfg, records: map[Incarnation]*record{}, latest: map[Key]int64{}, holders: map[netip.AddrPort]*record{},
	}
}

// Revision grows with every change that entry daemons need to know.
func (d *Directory) Revision() uint64 { return d.revision }

// Len returns the number of incarnations that are remembered.
func (d *Directory) Len() int { return len(d.records) }

// Get returns the registration of an incarnation.
func (d *Directory) Get(i Incarnation) (Registration, bool) {
	r := d.records[i]
	if r == nil {
		return Registration{}, false
	}
	return r.Registration, true
}

// Latest returns the latest incarnation of a key.
func (d *Directory) Latest(k Key) (Incarnation, bool) {
	born, ok := d.latest[k]
	return Incarnation{k, born}, ok
}

// Changes returns the registrations that changed after a revision, oldest change first. It costs as much
// as there are such changes.
func (d *Directory) Changes(after uint64) []Registration {
	from, _ := slices.BinarySearchFunc(d.history, after+1, func(c change, revision uint64) int { return cmp.Compare(c.revision, revision) })
	out := make([]Registration, 0, len(d.history)-from)
	for _, c := range d.history[from:] {
		if c.record.revision == c.revision {
			out = append(out, c.record.Registration)
		}
	}
	return out
}

// Announce merges a registration, from the upstream itself or from another process.
func (d *Directory) Announce(r Registration) Outcome {
	if born, known := d.latest[r.Key]; known && r.Born < born {
		return Superseded
	}
	old := d.records[r.Incarnation]
	if old != nil {
		return d.update(old, r)
	}
	if holder := d.holders[r.Address]; holder != nil && holder.Key != r.Key && holder.Born > r.Born {
		return Superseded
	}
	d.add(r)
	return Changed
}

func (d *Directory) update(old *record, r Registration) Outcome {
	if r.State == Gone {
		if old.State == Gone {
			return Refreshed
		}
		d.end(old, r.Heard)
		return Changed
	}
	if old.State == Gone || r.Sequence < old.Sequence {
		return Superseded
	}
	silent := old.Silent && d.judges() && r.Sequence == old.Sequence || r.Silent && !d.judges()
	if r.Sequence == old.Sequence {
		old.Heard = max(old.Heard, r.Heard)
		return d.setSilent(old, silent, r.Heard)
	}
	if r.Service != old.Service || r.Address != old.Address {
		return Contradicted
	}
	if old.exitsAt > 0 {
		r.State = Draining // a late announcement does not take the deregistration back
	}
	colder := r.WarmAt > r.Heard && r.WarmAt > old.WarmAt+warmupStep
	changed := r.State != old.State || r.Slots != old.Slots || r.DataCentre != old.DataCentre || colder
	old.State, old.Slots, old.DataCentre, old.Sequence = r.State, r.Slots, r.DataCentre, r.Sequence
	old.WarmAt, old.Heard = r.WarmAt, max(old.Heard, r.Heard)
	if d.setSilent(old, silent, r.Heard) == Changed {
		return Changed
	}
	if !changed {
		return Refreshed
	}
	d.touch(old)
	return Changed
}

// warmupStep is the smallest extension of a warm-up that entry daemons need to know: announcements
// are late by up to a few hundred milliseconds.
const warmupStep = time.Second

func (d *Directory) judges() bool { return d.cfg.SilentAfter > 0 }

func (d *Directory) setSilent(r *record, silent bool, at time.Duration) Outcome {
	if r.Silent == silent {
		return Refreshed
	}
	r.Silent, r.since = silent, at
	d.touch(r)
	return Changed
}

// add remembers a new incarnation. Earlier processes of the key or at the address have ended.
func (d *Directory) add(r Registration) {
	next := &record{Registration: r, since: r.Heard}
	d.records[r.Incarnation] = next
	if born, known := d.latest[r.Key]; known {
		d.end(d.records[Incarnation{r.Key, born}], r.Heard)
	}
	d.latest[r.Key] = r.Born
	if r.State != Gone {
		d.end(d.holders[r.Address], r.Heard)
		d.holders[r.Address] = next
	}
	d.touch(next)
}

func (d *Directory) end(r *record, at time.Duration) {
	if r == nil || r.State == Gone {
		return
	}
	r.State, r.since = Gone, at
	d.touch(r)
}

func (d *Directory) touch(r *record) {
	d.revision++
	r.revision = d.revision
	d.history = append(d.history, change{d.revision, r})
	if len(d.history) > 2*len(d.records)+minHistory {
		d.history = slices.DeleteFunc(d.history, func(c change) bool { return c.record.revision != c.revision })
	}
}

// minHistory keeps small directories from being compacted at every change.
const minHistory = 64

// Hear notes that another process heard an incarnation, and reports whether the incarnation is known.
func (d *Directory) Hear(i Incarnation, sequence uint64, at time.Duration) bool {
	r := d.records[i]
	if r == nil {
		return false
	}
	if r.State == Gone || sequence < r.Sequence {
		return true
	}
	// The sequence number stays that of the content: what the announcement said may still be on its way.
	r.Heard = max(r.Heard, at)
	d.setSilent(r, false, at)
	return true
}

// exitTime is how long an upstream process may live on after its deregistration: it exits when it has
// the reply, for which it waits a second. Flows that are reset before would lose a living upstream.
const exitTime = 1500 * time.Millisecond

// Deregister notes that an upstream process is about to exit. It takes no new flows from now on, and is
// gone after exitTime. A born of 0 stands for the latest process.
func (d *Directory) Deregister(k Key, born int64, now time.Duration) bool {
	if born == 0 {
		born = d.latest[k]
	}
	r := d.records[Incarnation{k, born}]
	if r == nil {
		return false
	}
	if r.State != Gone && r.exitsAt == 0 {
		// The next sequence number makes other processes take the new state over.
		r.State, r.Sequence, r.exitsAt = Draining, r.Sequence+1, now+exitTime
		d.touch(r)
	}
	return true
}

// pauseLimit is the time between ticks above which the process itself was held up, so that the
// silence of upstreams proves nothing.
const pauseLimit = time.Second

// Tick finds silent upstreams and those that have exited since their deregistration, and forgets old
// ones. It returns the former two.
func (d *Directory) Tick(now time.Duration) (silent, exited []Registration) {
	paused := now - d.lastTick
	d.lastTick = now
	for i, r := range d.records {
		if paused > pauseLimit {
			r.Heard = min(now, r.Heard+paused)
		}
		if r.exitsAt > 0 && now >= r.exitsAt {
			r.exitsAt = 0
			d.end(r, now)
			exited = append(exited, r.Registration)
		}
		if r.State != Gone && d.judges() && !r.Silent && now-r.Heard > d.cfg.SilentAfter {
			d.setSilent(r, true, now)
			silent = append(silent, r.Registration)
		}
		if d.expired(r, now) {
			d.forget(i, r)
		}
	}
	return silent, exited
}

// Expire forgets old incarnations on an entry daemon and returns them.
func (d *Directory) Expire(now time.Duration) []Incarnation {
	var out []Incarnation
	for i, r := range d.records {
		if d.expired(r, now) {
			d.forget(i, r)
			out = append(out, i)
		}
	}
	return out
}

func (d *Directory) expired(r *record, now time.Duration) bool {
	return (r.State == Gone || r.Silent) && now-r.since > d.cfg.ForgetAfter
}

func (d *Directory) forget(i Incarnation, r *record) {
	delete(d.records, i)
	r.revision = 0 // its entry in the history does not count any more
	if d.latest[i.Key] == i.Born {
		delete(d.latest, i.Key)
	}
	if d.holders[r.Address] == r {
		delete(d.holders, r.Address)
	}
}
