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

	// tombstoneAge is how long an ended registration is remembered. It exceeds the time for
	// which a daemon that was cut off keeps a live copy by far.
	tombstoneAge = 10 * time.Minute
	cleanEvery   = 10 * time.Second
	maxString    = 200 // bytes of a name
)

// Config holds the parameters of the core. Zero durations get their defaults.
type Config struct {
	Self       ident.DaemonID
	DataCentre string
	Order      ownership.Order
	Near       []string      // other data centres whose registrations are kept as well
	KeepAll    int           // data centres up to which all registrations are kept; default 6
	Lease      time.Duration // default 3 s
	Renew      time.Duration // default 1 s
	SyncEvery  time.Duration // digests within the data centre; default 10 s
	DropAfter  time.Duration // registrations that are no longer needed are kept so long; default 1 min
}

type floor struct {
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
	author  ident.DaemonID // daemon that gave the version
	endedAt time.Time      // unless live
	centre  *centre

	owned bool
	lease time.Time // end of the lease, when owned and live
}

// Core keeps registrations and leases of one daemon. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	rng     *rand.Rand
	view    *membership.View
	table   *ownership.Table
	entries map[ident.UpstreamID]*entry
	centres map[ident.DataCentreID]*centre
	list    []*centre // of centres, in the order in which they were learned
	owned   map[ident.UpstreamID]*entry
	ended   map[ident.UpstreamID]*entry
	loads   loads
	queue   []queued
	peers   []membership.Member // serving members of the own data centre

	// floors are the incarnations of entries that were removed while other daemons may
	// still list them; smaller incarnations are refused.
	floors    map[ident.UpstreamID]floor
	orphaned  time.Time // since when no daemon serves; zero while one does
	nextSync  time.Time
	nextClean time.Time

	out     []Action
	changed map[ident.UpstreamID]change
	urgent  bool

	keepAll    bool // registrations of all data centres are kept
	wanted     map[ident.ServiceID]*wanted
	wantedList []*wanted // in the order in which callers asked first
	nextAsk    time.Time
}

// New returns a core without registrations.
func New(cfg Config, rng *rand.Rand) *Core {
	setDuration(&cfg.Lease, defaultLease)
	setDuration(&cfg.Renew, defaultRenew)
	setDuration(&cfg.SyncEvery, defaultSyncEvery)
	setDuration(&cfg.DropAfter, defaultDropAfter)
	if cfg.KeepAll == 0 {
		cfg.KeepAll = defaultKeepAll
	}
	return &Core{
		cfg:     cfg,
		rng:     rng,
		view:    &membership.View{},
		table:   ownership.NewTable(&membership.View{}, cfg.Order),
		entries: make(map[ident.UpstreamID]*entry),
		centres: make(map[ident.DataCentreID]*centre),
		owned:   make(map[ident.UpstreamID]*entry),
		ended:   make(map[ident.UpstreamID]*entry),
		loads:   newLoads(),
		floors:  make(map[ident.UpstreamID]floor),
		changed: make(map[ident.UpstreamID]change),
		wanted:  make(map[ident.ServiceID]*wanted),
		keepAll: true,
	}
}

func setDuration(d *time.Duration, def time.Duration) {
	if *d == 0 {
		*d = def
	}
}

// Step takes one event and returns the actions it causes. Time must not go back.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.out = nil
	c.urgent = false
	switch ev := ev.(type) {
	case Announced:
		c.announced(now, ev.Registration)
	case Withdraw:
		c.withdraw(now, ev)
	case ViewChanged:
		c.viewChanged(now, ev)
	case Attached:
		c.attached(now, ev)
	case LoadReport:
		c.loads.report(ev.Load)
	case Asked:
		c.asked(now, ev.Service)
	case Tick:
		c.tick(now)
	}
	c.publish()
	return c.out
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
	a.Lease = c.cfg.Lease
	a.Renew = c.cfg.Renew
	c.out = append(c.out, a)
}

// own tells whether this daemon owns an upstream; if not, it answers with the owner.
func (c *Core) own(dataCentre string, u ident.UpstreamID) (membership.Member, bool) {
	owner, ok := c.table.Owner(dataCentre, u)
	switch {
	case !ok:
		c.answer(Answer{Refused: NoOwner})
	case owner.ID != c.cfg.Self:
		c.answer(Answer{Refused: NotOwner, Owner: owner})
	}
	return owner, ok && owner.ID == c.cfg.Self
}

func wellFormed(r Registration) bool {
	named := r.Name != "" && len(r.Name) <= maxString
	placed := r.DataCentre != "" && len(r.DataCentre) <= maxString
	return named && placed && r.Addr.IsValid() && r.Slots >= 0 && r.FlowLimit >= 0
}

func (c *Core) announced(now time.Time, r Registration) {
	if !wellFormed(r) {
		c.answer(Answer{Refused: Malformed})
		return
	}
	owner, ok := c.own(r.DataCentre, r.Upstream)
	if !ok {
		return
	}
	refused := c.accept(now, r)
	c.answer(Answer{Refused: refused, Owner: owner})
}

// accept makes or renews the lease of an upstream that this daemon owns.
func (c *Core) accept(now time.Time, r Registration) Reason {
	e := c.entries[r.Upstream]
	switch {
	case r.Incarnation < c.floors[r.Upstream].incarnation:
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
	c.take(now, e)
	return 0
}

// renew applies an announcement of the incarnation that is registered. Draining is final for an
// incarnation, since a late announcement could otherwise undo it.
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

// take starts or renews the lease of an entry.
func (c *Core) take(now time.Time, e *entry) {
	e.owned = true
	e.lease = now.Add(c.cfg.Lease)
	c.owned[e.Upstream] = e
}

func (c *Core) withdraw(now time.Time, ev Withdraw) {
	if ev.DataCentre == "" || len(ev.DataCentre) > maxString {
		c.answer(Answer{Refused: Malformed})
		return
	}
	owner, ok := c.own(ev.DataCentre, ev.Upstream)
	if !ok {
		return
	}
	e := c.entries[ev.Upstream]
	if e != nil && ev.Incarnation < e.Incarnation {
		c.answer(Answer{Refused: Superseded, Owner: owner})
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
	c.end(now, e, next, withdrawn)
}

// end turns an entry into a tombstone and spreads it at once.
func (c *Core) end(now time.Time, e *entry, next entry, s state) {
	next.state = s
	next.version++
	next.author = c.cfg.Self
	next.endedAt = now
	c.enqueue(c.replace(e, next))
	c.urgent = true
}

// replace stores a new value of an entry and keeps sums and indexes up to date.
func (c *Core) replace(e *entry, next entry) *entry {
	if e == nil {
		e = &entry{}
		next.centre = c.centreOf(next.DataCentre)
		next.centre.add(e, next.Upstream)
		c.entries[next.Upstream] = e
	} else {
		next.centre = e.centre
		next.owned = e.owned
		next.lease = e.lease
		e.centre.account(e)
	}
	next.DataCentre = next.centre.name // one string for all entries
	*e = next
	e.centre.account(e)
	delete(c.ended, e.Upstream)
	if e.state != live {
		c.ended[e.Upstream] = e
	}
	c.changed[e.Upstream] = altered
	return e
}

// forget removes an entry but remembers its incarnation.
func (c *Core) forget(now time.Time, e *entry) {
	c.floors[e.Upstream] = floor{incarnation: e.Incarnation, since: now}
	c.remove(e)
}

func (c *Core) remove(e *entry) {
	e.centre.account(e)
	delete(e.centre.buckets[e.Upstream>>bucketShift].entries, e.Upstream)
	delete(c.entries, e.Upstream)
	delete(c.owned, e.Upstream)
	delete(c.ended, e.Upstream)
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
	c.loads.clean(now)
	c.dropSpare(now)
	for u, f := range c.floors {
		if now.Sub(f.since) > tombstoneAge {
			delete(c.floors, u)
		}
	}
	for _, e := range c.ended {
		if now.Sub(e.endedAt) > tombstoneAge {
			c.remove(e)
		}
	}
}

func (c *Core) expireLeases(now time.Time) {
	for _, e := range c.owned {
		if e.state == live && !now.Before(e.lease) {
			c.end(now, e, *e, expired)
		}
	}
}

// dropOrphans drops all registrations after no daemon has served for one lease.
func (c *Core) dropOrphans(now time.Time) {
	if c.orphaned.IsZero() || now.Sub(c.orphaned) < c.cfg.Lease {
		return
	}
	for _, e := range c.entries {
		if e.state == live {
			c.forget(now, e)
		}
	}
}

// publish emits what changed in this step.
func (c *Core) publish() {
	if len(c.changed) > 0 {
		var ch Changed
		for u, why := range c.changed {
			r, ok := c.Find(u)
			switch {
			case ok:
				ch.Set = append(ch.Set, r)
			case why == discarded:
				ch.Discarded = append(ch.Discarded, u)
			default:
				ch.Removed = append(ch.Removed, u)
			}
		}
		clear(c.changed)
		c.out = append(c.out, ch)
	}
	if c.urgent {
		c.out = append(c.out, Spread{})
	}
}
