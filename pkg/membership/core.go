package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
)

const (
	defaultProbePeriod  = 200 * time.Millisecond
	defaultAckTimeout   = 80 * time.Millisecond
	defaultSuspicion    = 750 * time.Millisecond
	defaultIndirect     = 3
	defaultBridgeEvery  = time.Second
	defaultSyncEvery    = 10 * time.Second
	defaultJoinTimeout  = time.Second
	defaultForgetAfter  = 5 * time.Minute
	defaultTombstoneAge = 24 * time.Hour
	defaultAttachment   = 1000 // bytes

	// spreadFanout members get a change at once; with 640 members and 1 ms between them six
	// rounds reach all but a few, which hear of it with the next probes.
	spreadFanout = 3
	// stopFanout members hear of a stop from the daemon itself, which cannot repeat it.
	stopFanout = 6
	// spreadGap limits how often a daemon spreads changes at once.
	spreadGap = 20 * time.Millisecond
	// pauseGap between two ticks means that this process was paused; time that passed
	// meanwhile does not count against other members.
	pauseGap = 100 * time.Millisecond
	// expireEvery is how often dead members are checked against ForgetAfter.
	expireEvery = time.Second
	// joinPatience times JoinTimeout after which a daemon counts as joined although
	// its list still differs from its peers' lists.
	joinPatience = 5
)

// Core is the failure detector and member list of one daemon. It is not safe for concurrent use.
type Core struct {
	cfg   Config
	rng   *rand.Rand
	self  *record
	table *table
	queue queue
	out   []Action

	view    View
	joined  bool
	stopped bool
	// superseded is the larger incarnation that was reported last.
	superseded ident.Incarnation

	started  time.Time
	lastTick time.Time
	now      time.Time     // of the current step
	ahead    time.Duration // of the fleet's period clock before this daemon's clock
	heard    time.Time     // last message of any member

	probe     probe
	sequence  uint32
	relays    []relayed
	suspects  []*record
	spread    bool
	nextProbe time.Time
	nextDead  time.Time
	nextSync  time.Time
	nextCross time.Time
	nextClean time.Time
	nextIntro time.Time // when the own entry may be sent to an unknown sender again
	nextGrant time.Time // when changes may be spread at once again
}

// New returns the core of a joining daemon. Config fields that are zero get their defaults. The
// state of self is ignored.
func New(cfg Config, self Member, rng *rand.Rand) *Core {
	c := &Core{cfg: withDefaults(cfg), rng: rng, table: newTable(self.DataCentre)}
	self.State = Joining
	c.self = c.table.insert(self)
	c.refresh()
	return c
}

func withDefaults(cfg Config) Config {
	setDuration(&cfg.ProbePeriod, defaultProbePeriod)
	setDuration(&cfg.AckTimeout, defaultAckTimeout)
	setDuration(&cfg.Suspicion, defaultSuspicion)
	setDuration(&cfg.BridgeEvery, defaultBridgeEvery)
	setDuration(&cfg.SyncEvery, defaultSyncEvery)
	setDuration(&cfg.JoinTimeout, defaultJoinTimeout)
	setDuration(&cfg.ForgetAfter, defaultForgetAfter)
	setDuration(&cfg.TombstoneAge, defaultTombstoneAge)
	if cfg.Indirect == 0 {
		cfg.Indirect = defaultIndirect
	}
	if cfg.AttachmentBudget == 0 {
		cfg.AttachmentBudget = defaultAttachment
	}
	return cfg
}

func setDuration(d *time.Duration, def time.Duration) {
	if *d == 0 {
		*d = def
	}
}

// Self returns the daemon's own entry.
func (c *Core) Self() Member { return c.self.Member }

// View returns the current view.
func (c *Core) View() *View {
	v := c.view
	return &v
}

// Step takes one event and returns the actions it causes, in order. Time must not go back.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.out = nil
	if c.stopped {
		return nil
	}
	c.now = now
	c.start(now)
	switch ev := ev.(type) {
	case Tick:
		c.tick(now)
	case Received:
		c.receive(now, ev.From, ev.Message)
	case Serve:
		c.declare(Serving)
	case Leave:
		c.declare(Leaving)
	case Stop:
		c.stop(now)
	case Carry:
		c.carry(ev)
	case Spread:
		c.spread = true
	}
	c.spreadNow(now)
	c.publish()
	return c.out
}

func (c *Core) start(now time.Time) {
	if !c.started.IsZero() {
		return
	}
	c.started = now
	c.lastTick = now
	c.heard = now
	c.nextProbe = now.Add(c.jitter(c.cfg.ProbePeriod))
	c.nextSync = now
	c.nextCross = now.Add(c.jitter(c.cfg.BridgeEvery))
	c.nextDead = now.Add(c.jitter(deadProbeEvery))
	c.nextClean = now.Add(expireEvery)
}

// jitter returns a random part of d, so that daemons started together do not act together.
func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d)))
}

func (c *Core) tick(now time.Time) {
	c.excusePause(now)
	c.stepProbe(now)
	c.stepSuspects(now)
	c.stepDead(now)
	c.stepSync(now)
	c.stepBridges(now)
	if now.Before(c.nextClean) {
		return
	}
	c.nextClean = now.Add(expireEvery)
	c.dropRelays(now)
	c.table.expire(now, c.cfg.ForgetAfter, c.cfg.TombstoneAge)
}

// excusePause moves deadlines of other members by the time in which this process did not run.
func (c *Core) excusePause(now time.Time) {
	gap := now.Sub(c.lastTick)
	c.lastTick = now
	if gap < pauseGap {
		return
	}
	c.probe.ackBy = c.probe.ackBy.Add(gap)
	c.nextProbe = c.nextProbe.Add(gap)
	c.heard = c.heard.Add(gap)
	for _, r := range c.suspects {
		r.suspectSince = r.suspectSince.Add(gap)
		r.nextCheck = now
	}
	for _, centre := range c.table.list {
		centre.heard = centre.heard.Add(gap)
	}
}

// declare changes the daemon's own state; it never goes back to an earlier one.
func (c *Core) declare(s State) {
	if s <= c.self.State {
		return
	}
	m := c.self.Member
	m.State = s
	c.restate(m)
}

// restate replaces the daemon's own entry by one with a larger revision and spreads it.
func (c *Core) restate(m Member) {
	m.Revision++
	c.table.update(c.self, m)
	c.queue.add(c.self)
	c.spread = true
}

func (c *Core) stop(now time.Time) {
	m := c.self.Member
	m.State = Dead
	c.restate(m)
	for _, r := range c.pick(stopFanout) {
		c.send(now, r, &peerpb.Membership{Kind: peerpb.Membership_KIND_GOSSIP})
	}
	c.stopped = true
}

// carry sends an attachment that is too large to ride on other messages.
func (c *Core) carry(ev Carry) {
	r := c.table.records[ev.To]
	if r == nil || !r.PeerAddr.IsValid() || len(ev.Data) > MaxAttachmentSize {
		return
	}
	c.emit(r.PeerAddr, &peerpb.Membership{Kind: peerpb.Membership_KIND_GOSSIP, Attachment: ev.Data})
}

// spreadNow sends pending changes to a few members, at most once every spreadGap.
func (c *Core) spreadNow(now time.Time) {
	if !c.spread || c.stopped || now.Before(c.nextGrant) {
		return
	}
	c.spread = false
	c.nextGrant = now.Add(spreadGap)
	for _, r := range c.pick(spreadFanout) {
		c.send(now, r, &peerpb.Membership{Kind: peerpb.Membership_KIND_GOSSIP})
	}
}

// pick returns up to k random members that this daemon probes.
func (c *Core) pick(k int) []*record {
	scope := c.table.scope
	picked := make([]*record, 0, k)
	for try := 0; try < 4*k && len(picked) < k; try++ {
		if len(scope) == 0 {
			return nil
		}
		r := scope[c.rng.IntN(len(scope))]
		if r != c.self && !contains(picked, r) {
			picked = append(picked, r)
		}
	}
	return picked
}

func contains(list []*record, r *record) bool {
	for _, o := range list {
		if o == r {
			return true
		}
	}
	return false
}

// publish emits a new view when the visible list changed.
func (c *Core) publish() {
	if !c.table.changed {
		return
	}
	c.refresh()
	v := c.view
	c.out = append(c.out, ViewChanged{View: &v})
}

func (c *Core) refresh() {
	c.table.changed = false
	c.view = View{Version: c.view.Version + 1, Members: c.table.members()}
	c.table.rescope()
}

func (c *Core) emit(to netip.AddrPort, m *peerpb.Membership) {
	m.From = uint64(c.self.ID)
	m.Period = c.period(c.now)
	c.out = append(c.out, Send{To: to, Message: m})
}
