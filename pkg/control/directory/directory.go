package directory

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Outcome is the effect of an announcement on the directory.
type Outcome uint8

// Outcomes of announcements.
const (
	Refreshed    Outcome = iota // only the time of the last announcement has changed
	Changed                     // the registration is new or differs from the previous one
	Superseded                  // ignored: the directory has a later announcement or incarnation
	Contradicted                // ignored: it cannot come from the process that announced the incarnation before
)

// String returns the name of the outcome in log lines.
func (o Outcome) String() string {
	return [...]string{"refreshed", "changed", "superseded", "contradicted"}[o]
}

// Config holds the time limits of a directory.
type Config struct {
	// SilentAfter is the time without an announcement after which an upstream counts as silent. On an
	// entry daemon, which takes Silent from its control host instead, it is 0.
	SilentAfter time.Duration
	// RetainFor is how long a silent or ended upstream is kept: the longest lifetime of a flow, so
	// that packets of its flows are still recognised.
	RetainFor time.Duration
}

type record struct {
	Registration
	revision         uint64
	firstAnnounced   time.Duration // time of the first announcement that this process knows
	unavailableSince time.Duration // when the incarnation became gone, or Silent changed last
	deregisteredAt   time.Duration // time of the first deregistration that this process got
	goneAt           time.Duration // time at which a deregistered process becomes gone, 0 if none is pending
}

// Directory holds the registrations of upstreams in one process. It is not safe for concurrent use.
type Directory struct {
	cfg         Config
	records     map[Incarnation]*record
	latestStart map[Key]int64              // latest start of each key
	byAddress   map[netip.AddrPort]*record // latest process at each address
	revision    uint64
	history     []change // in order of revision; only the latest change of each record is valid
	lastTick    time.Duration
}

// change is one change of a record.
type change struct {
	revision uint64
	record   *record
}

// New returns an empty directory.
func New(cfg Config) *Directory {
	return &Directory{
		cfg: cfg, records: map[Incarnation]*record{}, latestStart: map[Key]int64{}, byAddress: map[netip.AddrPort]*record{},
	}
}

// Revision increases with every change that entry daemons need.
func (d *Directory) Revision() uint64 { return d.revision }

// Len returns the number of incarnations in the directory.
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
	start, ok := d.latestStart[k]
	return Incarnation{k, start}, ok
}

// IsNewerThan reports whether the latest incarnation of a key has announced itself for the first time after a time.
func (d *Directory) IsNewerThan(k Key, at time.Duration) bool {
	r := d.records[Incarnation{k, d.latestStart[k]}]
	return r != nil && r.firstAnnounced > at
}

// Changes returns the registrations that changed after a revision, oldest change first. Its cost is
// proportional to the number of changes in the history after that revision.
func (d *Directory) Changes(after uint64) []Registration {
	first, _ := slices.BinarySearchFunc(d.history, after+1, func(c change, revision uint64) int { return cmp.Compare(c.revision, revision) })
	out := make([]Registration, 0, len(d.history)-first)
	for _, c := range d.history[first:] {
		if c.record.revision == c.revision {
			out = append(out, c.record.Registration)
		}
	}
	return out
}

// Announce merges a registration, from the upstream itself or from another process.
func (d *Directory) Announce(r Registration) Outcome {
	if start, known := d.latestStart[r.Key]; known && r.StartUnixMs < start {
		return Superseded
	}
	old := d.records[r.Incarnation]
	if old != nil {
		return d.update(old, r)
	}
	if holder := d.byAddress[r.Address]; holder != nil && holder.Key != r.Key && holder.StartUnixMs > r.StartUnixMs {
		return Superseded
	}
	d.add(r)
	return Changed
}

// Displaces reports whether a registration would end another process that is not gone: an earlier one with its key,
// or the one at its address.
func (d *Directory) Displaces(r *Registration) bool {
	start, known := d.latestStart[r.Key]
	if r.State == Gone || d.records[r.Incarnation] != nil || known && r.StartUnixMs < start {
		return false
	}
	if known && d.records[Incarnation{r.Key, start}].State != Gone {
		return true
	}
	holder := d.byAddress[r.Address]
	return holder != nil && holder.State != Gone && (holder.Key == r.Key || holder.StartUnixMs <= r.StartUnixMs)
}

func (d *Directory) update(old *record, r Registration) Outcome {
	if r.State == Gone {
		if old.State == Gone {
			return Refreshed
		}
		d.markGone(old, r.LastAnnounced)
		return Changed
	}
	if old.State == Gone {
		return Superseded
	}
	sponsorChanged := old.mergeSponsor(r.WarmupSponsor)
	outcome := d.updateAnnounced(old, r)
	if sponsorChanged && outcome != Changed {
		d.recordChange(old)
		return Changed
	}
	return outcome
}

// mergeSponsor takes over the sponsor that another process knows, and reports whether that changes it. Of two
// sponsors that were named independently the one with the smaller name is kept, so the order does not matter.
func (r *record) mergeSponsor(other string) bool {
	if other == "" || r.WarmupSponsor != "" && r.WarmupSponsor <= other {
		return false
	}
	r.WarmupSponsor = other
	return true
}

// updateAnnounced merges what the upstream has announced of itself.
func (d *Directory) updateAnnounced(old *record, r Registration) Outcome {
	old.postponeExit(r.LastAnnounced)
	if r.Sequence < old.Sequence {
		return Superseded
	}
	silent := old.Silent && d.detectsSilence() && r.Sequence == old.Sequence || r.Silent && !d.detectsSilence()
	if r.Sequence == old.Sequence {
		old.LastAnnounced = max(old.LastAnnounced, r.LastAnnounced)
		return d.setSilent(old, silent, r.LastAnnounced)
	}
	if r.Service != old.Service || r.Address != old.Address || r.Sequence-old.Sequence > maxSequenceStep {
		return Contradicted
	}
	if old.Deregistered {
		r.State = Draining // a late announcement does not revert the deregistration
	}
	old.Deregistered = old.Deregistered || r.Deregistered
	wasCold := old.WarmupEnd > r.LastAnnounced
	warmupExtended := r.announcedCold() && (!wasCold || r.WarmupEnd > old.WarmupEnd+minWarmupExtension)
	changed := r.State != old.State || r.Slots != old.Slots || r.DataCentre != old.DataCentre || warmupExtended
	old.State, old.Slots, old.DataCentre, old.Sequence = r.State, r.Slots, r.DataCentre, r.Sequence
	old.WarmupEnd, old.LastAnnounced = r.WarmupEnd, max(old.LastAnnounced, r.LastAnnounced)
	if d.setSilent(old, silent, r.LastAnnounced) == Changed {
		return Changed
	}
	if !changed {
		return Refreshed
	}
	d.recordChange(old)
	return Changed
}

// maxSequenceStep is the largest step of the sequence numbers of a process: two weeks of announcements. A
// larger number comes from a faulty writer, and would supersede all announcements of the process itself.
const maxSequenceStep = 1 << 20

// minWarmupExtension is the extension of a warm-up above which entry daemons are notified: announcements
// are delayed by up to a few hundred milliseconds.
const minWarmupExtension = time.Second

func (d *Directory) detectsSilence() bool { return d.cfg.SilentAfter > 0 }

func (d *Directory) setSilent(r *record, silent bool, at time.Duration) Outcome {
	if r.Silent == silent {
		return Refreshed
	}
	r.Silent, r.unavailableSince = silent, at
	d.recordChange(r)
	return Changed
}

// add adds a new incarnation and marks earlier processes of the key or at the address as gone.
func (d *Directory) add(r Registration) {
	added := &record{Registration: r, firstAnnounced: r.LastAnnounced, unavailableSince: r.LastAnnounced}
	d.records[r.Incarnation] = added
	if start, known := d.latestStart[r.Key]; known {
		d.markGone(d.records[Incarnation{r.Key, start}], r.LastAnnounced)
	}
	d.latestStart[r.Key] = r.StartUnixMs
	if r.State != Gone {
		d.markGone(d.byAddress[r.Address], r.LastAnnounced)
		d.byAddress[r.Address] = added
	}
	d.recordChange(added)
}

func (d *Directory) markGone(r *record, at time.Duration) {
	if r == nil || r.State == Gone {
		return
	}
	r.State, r.unavailableSince = Gone, at
	d.recordChange(r)
}

func (d *Directory) recordChange(r *record) {
	d.revision++
	r.revision = d.revision
	d.history = append(d.history, change{d.revision, r})
	if len(d.history) > 2*len(d.records)+minHistoryLength {
		d.history = slices.DeleteFunc(d.history, func(c change) bool { return c.record.revision != c.revision })
	}
}

// minHistoryLength avoids compacting the history of a small directory at every change.
const minHistoryLength = 64

// Refresh records that another process received an announcement of an incarnation, and reports whether the
// directory has the incarnation.
func (d *Directory) Refresh(i Incarnation, sequence uint64, at time.Duration) bool {
	r := d.records[i]
	if r == nil {
		return false
	}
	if r.State == Gone {
		return true
	}
	r.postponeExit(at)
	if sequence < r.Sequence {
		return true
	}
	// The sequence number is not updated: the content of that announcement may still arrive.
	r.LastAnnounced = max(r.LastAnnounced, at)
	d.setSilent(r, false, at)
	return true
}

// Times from a deregistration until the upstream process counts as gone. Flows must not be reset while the
// upstream still serves them.
const (
	// exitDelay applies to the first call: the process exits when it has the reply, for which it waits 1 s.
	exitDelay = 1500 * time.Millisecond
	// repeatedExitDelay applies after a sign of life that follows the first call: replies get lost, and the
	// process repeats the call after 1 s and a growing pause.
	repeatedExitDelay = 3 * time.Second
)

// postponeExit records a sign of life of a deregistered process. Its sequence number does not matter: each
// control host gives the next one to the deregistration that it gets.
func (r *record) postponeExit(at time.Duration) {
	if r.goneAt > 0 && at > r.deregisteredAt {
		r.goneAt = max(r.goneAt, at+repeatedExitDelay)
	}
}

// Deregister records that an upstream process is about to exit, and reports whether the directory has it.
// The process gets no new flows from then on and is gone after exitDelay. A repeated call, here or at another
// control host, shows that it still runs and has had no reply. A start of 0 selects the latest process.
func (d *Directory) Deregister(k Key, start int64, now time.Duration) bool {
	if start == 0 {
		start = d.latestStart[k]
	}
	r := d.records[Incarnation{k, start}]
	if r == nil {
		return false
	}
	if r.State == Gone {
		return true
	}
	delay := exitDelay
	if r.Deregistered {
		delay = repeatedExitDelay
	}
	if r.goneAt == 0 {
		r.deregisteredAt = now
	}
	// With the next sequence number other processes accept the new state.
	r.State, r.Sequence, r.Deregistered, r.goneAt = Draining, r.Sequence+1, true, now+delay
	r.LastAnnounced = max(r.LastAnnounced, now)
	d.recordChange(r)
	return true
}

// maxTickInterval is the interval between ticks above which this process counts as stalled. Announcements
// may then be unread, so the interval does not count towards the silence of upstreams.
const maxTickInterval = time.Second

// Tick updates and returns the upstreams that became silent and those whose exitDelay after their
// deregistration has passed. It also removes old incarnations.
func (d *Directory) Tick(now time.Duration) (silent, exited []Registration) {
	sinceLastTick := now - d.lastTick
	d.lastTick = now
	for i, r := range d.records {
		if sinceLastTick > maxTickInterval {
			r.LastAnnounced = min(now, r.LastAnnounced+sinceLastTick)
		}
		if r.goneAt > 0 && now >= r.goneAt {
			r.goneAt = 0
			d.markGone(r, now)
			exited = append(exited, r.Registration)
		}
		if r.State != Gone && d.detectsSilence() && !r.Silent && now-r.LastAnnounced > d.cfg.SilentAfter {
			d.setSilent(r, true, now)
			silent = append(silent, r.Registration)
		}
		if d.expired(r, now) {
			d.remove(i, r)
		}
	}
	return silent, exited
}

// Expire removes old incarnations on an entry daemon and returns them.
func (d *Directory) Expire(now time.Duration) []Incarnation {
	var out []Incarnation
	for i, r := range d.records {
		if d.expired(r, now) {
			d.remove(i, r)
			out = append(out, i)
		}
	}
	return out
}

func (d *Directory) expired(r *record, now time.Duration) bool {
	return (r.State == Gone || r.Silent) && now-r.unavailableSince > d.cfg.RetainFor
}

func (d *Directory) remove(i Incarnation, r *record) {
	delete(d.records, i)
	r.revision = 0 // invalidates its entry in the history
	if d.latestStart[i.Key] == i.StartUnixMs {
		delete(d.latestStart, i.Key)
	}
	if d.byAddress[r.Address] == r {
		delete(d.byAddress, r.Address)
	}
}
