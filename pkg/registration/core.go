package registration

import (
	"math/rand/v2"
	"time"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/ownership"
)

const (
	defaultLease = 3 * time.Second
	defaultRenew = time.Second

	// tombstoneAge is how long the tombstone of an ended registration is kept. It is far longer
	// than a partitioned daemon keeps a live copy.
	tombstoneAge  = 10 * time.Minute
	cleanEvery    = 10 * time.Second
	maxNameLength = 200 // bytes of a name of an upstream or data centre
)

// Config holds the parameters of the core. Zero durations and a zero KeepAllLimit are replaced by
// their defaults.
type Config struct {
	Self            ident.DaemonID
	DataCentre      string
	Order           ownership.Order
	NearDataCentres []string      // nearby data centres whose registrations are also kept
	KeepAllLimit    int           // number of data centres up to which all registrations are kept; default 6
	Lease           time.Duration // of an upstream; default 3 s
	Renew           time.Duration // interval of announcements; default 1 s
	SyncEvery       time.Duration // mean interval of digests within the data centre; default 10 s
	DropAfter       time.Duration // how long registrations are kept after they are no longer needed; default 1 min
}

// incarnationFloor is the least accepted incarnation of an upstream whose entry was removed.
type incarnationFloor struct {
	incarnation ident.Incarnation
	since       time.Time
}

type state uint8

const (
	live state = iota + 1
	expired
	withdrawn
)

// entry is one registration, or the tombstone of one.
type entry struct {
	Registration
	state   state
	version uint64
	author  ident.DaemonID // daemon that assigned the version
	endedAt time.Time      // unless live
	centre  *centre

	owned    bool
	leaseEnd time.Time // valid while owned and live
}

// Core keeps the registrations and leases of one daemon. It is not safe for concurrent use.
type Core struct {
	cfg        Config
	rng        *rand.Rand
	view       *membership.View
	table      *ownership.Table
	entries    map[ident.UpstreamID]*entry
	centres    map[ident.DataCentreID]*centre
	centreList []*centre // values of centres, in the order in which they were added
	owned      map[ident.UpstreamID]*entry
	tombstones map[ident.UpstreamID]*entry
	loads      loadTable
	queue      []queuedChange
	peers      []membership.Member // other serving members of this data centre

	// incarnationFloors holds the incarnations of removed entries that other daemons may still
	// list; smaller incarnations are refused.
	incarnationFloors map[ident.UpstreamID]incarnationFloor
	orphanedSince     time.Time // since when no daemon is serving; zero while one is
	nextSync          time.Time
	nextClean         time.Time

	actions []Action
	changed map[ident.UpstreamID]changeKind
	urgent  bool

	keepAll    bool // registrations of all data centres are kept
	wanted     map[ident.ServiceID]*wantedService
	wantedList []*wantedService // values of wanted, in the order of the first request
	nextQuery  time.Time
}

// New returns a core without registrations.
func New(cfg Config, rng *rand.Rand) *Core {
	setDuration(&cfg.Lease, defaultLease)
	setDuration(&cfg.Renew, defaultRenew)
	setDuration(&cfg.SyncEvery, defaultSyncEvery)
	setDuration(&cfg.DropAfter, defaultDropAfter)
	if cfg.KeepAllLimit == 0 {
		cfg.KeepAllLimit = defaultKeepAllLimit
	}
	return &Core{
		cfg:               cfg,
		rng:               rng,
		view:              &membership.View{},
		table:             ownership.NewTable(&membership.View{}, cfg.Order),
		entries:           make(map[ident.UpstreamID]*entry),
		centres:           make(map[ident.DataCentreID]*centre),
		owned:             make(map[ident.UpstreamID]*entry),
		tombstones:        make(map[ident.UpstreamID]*entry),
		loads:             newLoadTable(),
		incarnationFloors: make(map[ident.UpstreamID]incarnationFloor),
		changed:           make(map[ident.UpstreamID]changeKind),
		wanted:            make(map[ident.ServiceID]*wantedService),
		keepAll:           true,
	}
}

func setDuration(d *time.Duration, defaultValue time.Duration) {
	if *d == 0 {
		*d = defaultValue
	}
}

// Step processes one event and returns the resulting actions. Time must not go back.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.actions = nil
	c.urgent = false
	switch ev := ev.(type) {
	case Announced:
		c.announced(now, ev.Registration)
	case Withdraw:
		c.withdrawUpstream(now, ev)
	case ViewChanged:
		c.viewChanged(now, ev)
	case AttachmentReceived:
		c.receiveAttachment(now, ev)
	case LoadReport:
		c.loads.report(ev.Load)
	case ServiceRequested:
		c.serviceRequested(now, ev.Service)
	case Tick:
		c.tick(now)
	}
	c.publish()
	return c.actions
}

// Registrations returns all live registrations in no particular order.
func (c *Core) Registrations() []Registration {
	list := make([]Registration, 0, len(c.entries))
	for _, e := range c.entries {
		if e.state == live {
			list = append(list, e.Registration)
		}
	}
	return list
}

// Find returns a live registration.
func (c *Core) Find(u ident.UpstreamID) (Registration, bool) {
	e := c.entries[u]
	if e == nil || e.state != live {
		return Registration{}, false
	}
	return e.Registration, true
}

func (c *Core) answer(a Answer) {
	a.LeaseDuration = c.cfg.Lease
	a.RenewInterval = c.cfg.Renew
	c.actions = append(c.actions, a)
}

// checkOwner returns the owner of an upstream and whether it is this daemon. Otherwise it answers
// with a refusal.
func (c *Core) checkOwner(dataCentre string, u ident.UpstreamID) (membership.Member, bool) {
	owner, ok := c.table.Owner(dataCentre, u)
	switch {
	case !ok:
		c.answer(Answer{Refusal: NoOwner})
	case owner.ID != c.cfg.Self:
		c.answer(Answer{Refusal: NotOwner, Owner: owner})
	}
	return owner, ok && owner.ID == c.cfg.Self
}

func wellFormed(r Registration) bool {
	validName := r.Name != "" && len(r.Name) <= maxNameLength
	validDataCentre := r.DataCentre != "" && len(r.DataCentre) <= maxNameLength
	return validName && validDataCentre && r.Addr.IsValid() && r.Slots >= 0 && r.FlowLimit >= 0
}

func (c *Core) announced(now time.Time, r Registration) {
	if !wellFormed(r) {
		c.answer(Answer{Refusal: Malformed})
		return
	}
	owner, ok := c.checkOwner(r.DataCentre, r.Upstream)
	if !ok {
		return
	}
	refused := c.accept(now, r)
	c.answer(Answer{Refusal: refused, Owner: owner})
}

// accept creates or renews the lease of an upstream that this daemon owns.
func (c *Core) accept(now time.Time, r Registration) Reason {
	e := c.entries[r.Upstream]
	switch {
	case r.Incarnation < c.incarnationFloors[r.Upstream].incarnation:
		return Superseded
	case e == nil || r.Incarnation > e.Incarnation:
		r.Since = now
		e = c.replace(e, entry{Registration: r, state: live, version: 1, author: c.cfg.Self})
		c.enqueue(e)
	case r.Incarnation < e.Incarnation:
		return Superseded
	case e.state == withdrawn:
		return Withdrawn
	default:
		c.renew(e, r)
	}
	c.urgent = c.urgent || e.Draining
	c.startLease(now, e)
	return 0
}

// renew applies an announcement of the registered incarnation. Draining is final for an
// incarnation, since a delayed announcement could otherwise undo it.
func (c *Core) renew(e *entry, r Registration) {
	r.Draining = r.Draining || e.Draining
	r.Since = e.Since
	if e.state == live && r == e.Registration {
		return
	}
	next := *e
	next.Registration = r
	next.state = live
	next.version++
	next.author = c.cfg.Self
	c.enqueue(c.replace(e, next))
}

// startLease starts or renews the lease of an entry.
func (c *Core) startLease(now time.Time, e *entry) {
	e.owned = true
	e.leaseEnd = now.Add(c.cfg.Lease)
	c.owned[e.Upstream] = e
}

func (c *Core) withdrawUpstream(now time.Time, ev Withdraw) {
	if ev.DataCentre == "" || len(ev.DataCentre) > maxNameLength {
		c.answer(Answer{Refusal: Malformed})
		return
	}
	owner, ok := c.checkOwner(ev.DataCentre, ev.Upstream)
	if !ok {
		return
	}
	e := c.entries[ev.Upstream]
	if e != nil && ev.Incarnation < e.Incarnation {
		c.answer(Answer{Refusal: Superseded, Owner: owner})
		return
	}
	c.answer(Answer{Owner: owner})
	if e != nil && e.state == withdrawn && ev.Incarnation == e.Incarnation {
		return
	}
	next := entry{Registration: Registration{Upstream: ev.Upstream, DataCentre: ev.DataCentre}}
	if e != nil {
		next = *e
	}
	next.Incarnation = ev.Incarnation
	c.endRegistration(now, e, next, withdrawn)
}

// endRegistration turns an entry into a tombstone and disseminates it immediately.
func (c *Core) endRegistration(now time.Time, e *entry, next entry, s state) {
	next.state = s
	next.version++
	next.author = c.cfg.Self
	next.endedAt = now
	c.enqueue(c.replace(e, next))
	c.urgent = true
}

// replace stores a new value of an entry and updates checksums and indexes.
func (c *Core) replace(e *entry, next entry) *entry {
	if e == nil {
		e = &entry{}
		next.centre = c.findOrAddCentre(next.DataCentre)
		next.centre.add(e, next.Upstream)
		c.entries[next.Upstream] = e
	} else {
		next.centre = e.centre
		next.owned = e.owned
		next.leaseEnd = e.leaseEnd
		e.centre.toggleChecksums(e)
	}
	next.DataCentre = next.centre.name // shares one string between all entries
	*e = next
	e.centre.toggleChecksums(e)
	delete(c.tombstones, e.Upstream)
	if e.state != live {
		c.tombstones[e.Upstream] = e
	}
	c.changed[e.Upstream] = altered
	return e
}

// removeWithFloor removes an entry but keeps its incarnation as the least accepted one.
func (c *Core) removeWithFloor(now time.Time, e *entry) {
	c.incarnationFloors[e.Upstream] = incarnationFloor{incarnation: e.Incarnation, since: now}
	c.remove(e)
}

func (c *Core) remove(e *entry) {
	e.centre.toggleChecksums(e)
	delete(e.centre.buckets[e.Upstream>>bucketShift].entries, e.Upstream)
	delete(c.entries, e.Upstream)
	delete(c.owned, e.Upstream)
	delete(c.tombstones, e.Upstream)
	c.dequeue(e)
	c.changed[e.Upstream] = altered
}

func (c *Core) tick(now time.Time) {
	c.expireLeases(now)
	c.dropOrphans(now)
	c.stepSync(now)
	c.stepWanted(now)
	if now.Before(c.nextClean) {
		return
	}
	c.nextClean = now.Add(cleanEvery)
	c.loads.removeStale(now)
	c.dropUnneeded(now)
	for u, f := range c.incarnationFloors {
		if now.Sub(f.since) > tombstoneAge {
			delete(c.incarnationFloors, u)
		}
	}
	for _, e := range c.tombstones {
		if now.Sub(e.endedAt) > tombstoneAge {
			c.remove(e)
		}
	}
}

func (c *Core) expireLeases(now time.Time) {
	for _, e := range c.owned {
		if e.state == live && !now.Before(e.leaseEnd) {
			c.endRegistration(now, e, *e, expired)
		}
	}
}

// dropOrphans removes all live registrations once no daemon has served for the duration of a
// lease.
func (c *Core) dropOrphans(now time.Time) {
	if c.orphanedSince.IsZero() || now.Sub(c.orphanedSince) < c.cfg.Lease {
		return
	}
	for _, e := range c.entries {
		if e.state == live {
			c.removeWithFloor(now, e)
		}
	}
}

// publish emits the changes of this step.
func (c *Core) publish() {
	if len(c.changed) > 0 {
		var changes RegistrationsChanged
		for u, kind := range c.changed {
			r, ok := c.Find(u)
			switch {
			case ok:
				changes.Updated = append(changes.Updated, r)
			case kind == discarded:
				changes.Discarded = append(changes.Discarded, u)
			default:
				changes.Removed = append(changes.Removed, u)
			}
		}
		clear(c.changed)
		c.actions = append(c.actions, changes)
	}
	if c.urgent {
		c.actions = append(c.actions, SpreadNow{})
	}
}
