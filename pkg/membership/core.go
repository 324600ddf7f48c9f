package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
)

const (
	defaultProbePeriod      = 200 * time.Millisecond
	defaultAckTimeout       = 80 * time.Millisecond
	defaultSuspicionTimeout = 750 * time.Millisecond
	defaultIndirectProbes   = 3
	defaultBridgeEvery      = time.Second
	defaultSyncEvery        = 10 * time.Second
	defaultJoinTimeout      = time.Second
	defaultRetainFor        = 5 * time.Minute
	defaultTombstoneAge     = 24 * time.Hour
	defaultAttachmentBudget = 1000 // bytes

	// spreadFanout is the number of members that get a change immediately. With 640 members and
	// 1 ms between them six rounds reach all but a few, which receive it with the next probes.
	spreadFanout = 3
	// stopFanout is the number of members to which a stopping daemon sends its stop, which it
	// cannot repeat.
	stopFanout = 6
	// minSpreadGap is the least time between two immediate disseminations of changes.
	minSpreadGap = 20 * time.Millisecond
	// minPause is the least time between two ticks that is treated as a pause of this process. The
	// time of a pause does not count against other members.
	minPause = 100 * time.Millisecond
	// expireEvery is the interval at which dead members are checked against RetainFor.
	expireEvery = time.Second
	// joinTimeoutFactor times JoinTimeout is the time after which a daemon counts as joined
	// although its list still differs from those of its peers.
	joinTimeoutFactor = 5
)

// Core is the failure detector and member list of one daemon. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	rng     *rand.Rand
	self    *record
	table   *table
	queue   changeQueue
	actions []Action

	view    View
	joined  bool
	stopped bool
	// supersededBy is the larger incarnation that was last reported by Superseded.
	supersededBy ident.Incarnation

	started      time.Time
	lastTick     time.Time
	now          time.Time     // time of the current step
	periodOffset time.Duration // by which the fleet's period clock is ahead of this daemon's clock
	lastReceived time.Time     // last message from any member

	probe            probe
	sequence         uint32
	relays           []relayedProbe
	suspects         []*record
	spreadPending    bool
	nextProbe        time.Time
	nextDeadProbe    time.Time
	nextSync         time.Time
	nextBridgeDigest time.Time
	nextExpire       time.Time
	nextIntroduction time.Time // when this daemon's entry may be sent to an unknown sender again
	nextSpread       time.Time // when changes may be sent immediately again
}

// New returns the core of a joining daemon. Zero fields of the Config are replaced by their
// defaults. The state of self is ignored.
func New(cfg Config, self Member, rng *rand.Rand) *Core {
	c := &Core{cfg: withDefaults(cfg), rng: rng, table: newTable(self.DataCentre)}
	self.State = Joining
	c.self = c.table.insert(self)
	c.refreshView()
	return c
}

func withDefaults(cfg Config) Config {
	setDuration(&cfg.ProbePeriod, defaultProbePeriod)
	setDuration(&cfg.AckTimeout, defaultAckTimeout)
	setDuration(&cfg.SuspicionTimeout, defaultSuspicionTimeout)
	setDuration(&cfg.BridgeEvery, defaultBridgeEvery)
	setDuration(&cfg.SyncEvery, defaultSyncEvery)
	setDuration(&cfg.JoinTimeout, defaultJoinTimeout)
	setDuration(&cfg.RetainFor, defaultRetainFor)
	setDuration(&cfg.TombstoneAge, defaultTombstoneAge)
	if cfg.IndirectProbes == 0 {
		cfg.IndirectProbes = defaultIndirectProbes
	}
	if cfg.AttachmentBudget == 0 {
		cfg.AttachmentBudget = defaultAttachmentBudget
	}
	return cfg
}

func setDuration(d *time.Duration, defaultValue time.Duration) {
	if *d == 0 {
		*d = defaultValue
	}
}

// Self returns the daemon's own entry.
func (c *Core) Self() Member { return c.self.Member }

// View returns the current view.
func (c *Core) View() *View {
	v := c.view
	return &v
}

// Step processes one event and returns the resulting actions in order. Time must not go back.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.actions = nil
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
		c.advanceOwnState(Serving)
	case Leave:
		c.advanceOwnState(Leaving)
	case Stop:
		c.stop(now)
	case SendAttachment:
		c.sendAttachment(ev)
	case SpreadNow:
		c.spreadPending = true
	}
	c.spreadNow(now)
	c.publish()
	return c.actions
}

func (c *Core) start(now time.Time) {
	if !c.started.IsZero() {
		return
	}
	c.started = now
	c.lastTick = now
	c.lastReceived = now
	c.nextProbe = now.Add(c.jitter(c.cfg.ProbePeriod))
	c.nextSync = now
	c.nextBridgeDigest = now.Add(c.jitter(c.cfg.BridgeEvery))
	c.nextDeadProbe = now.Add(c.jitter(deadProbeEvery))
	c.nextExpire = now.Add(expireEvery)
}

// jitter returns a random duration below d, so that daemons started together do not act at the
// same time.
func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d)))
}

func (c *Core) tick(now time.Time) {
	c.compensatePause(now)
	c.stepProbe(now)
	c.stepSuspects(now)
	c.probeDead(now)
	c.stepSync(now)
	c.stepBridges(now)
	if now.Before(c.nextExpire) {
		return
	}
	c.nextExpire = now.Add(expireEvery)
	c.dropRelays(now)
	c.table.expire(now, c.cfg.RetainFor, c.cfg.TombstoneAge)
}

// compensatePause extends the deadlines of other members by the time in which this process was
// paused.
func (c *Core) compensatePause(now time.Time) {
	gap := now.Sub(c.lastTick)
	c.lastTick = now
	if gap < minPause {
		return
	}
	c.probe.ackDeadline = c.probe.ackDeadline.Add(gap)
	c.nextProbe = c.nextProbe.Add(gap)
	c.lastReceived = c.lastReceived.Add(gap)
	for _, r := range c.suspects {
		r.suspectSince = r.suspectSince.Add(gap)
		r.nextSuspectProbe = now
	}
	for _, centre := range c.table.centreList {
		centre.lastReceived = centre.lastReceived.Add(gap)
	}
}

// advanceOwnState changes the daemon's own state; it never goes back to an earlier one.
func (c *Core) advanceOwnState(s State) {
	if s <= c.self.State {
		return
	}
	m := c.self.Member
	m.State = s
	c.replaceSelf(m)
}

// replaceSelf replaces the daemon's own entry, increases its revision and disseminates it
// immediately.
func (c *Core) replaceSelf(m Member) {
	m.Revision++
	c.table.update(c.self, m)
	c.queue.add(c.self)
	c.spreadPending = true
}

func (c *Core) stop(now time.Time) {
	m := c.self.Member
	m.State = Dead
	c.replaceSelf(m)
	for _, r := range c.pickRandom(stopFanout) {
		c.send(now, r, &peerpb.Membership{Kind: peerpb.Membership_KIND_GOSSIP})
	}
	c.stopped = true
}

// sendAttachment sends an attachment that is too large to be piggybacked on other messages.
func (c *Core) sendAttachment(ev SendAttachment) {
	r := c.table.records[ev.To]
	if r == nil || !r.PeerAddr.IsValid() || len(ev.Data) > MaxAttachmentSize {
		return
	}
	c.emit(r.PeerAddr, &peerpb.Membership{Kind: peerpb.Membership_KIND_GOSSIP, Attachment: ev.Data})
}

// spreadNow sends pending changes to a few members, at most once every minSpreadGap.
func (c *Core) spreadNow(now time.Time) {
	if !c.spreadPending || c.stopped || now.Before(c.nextSpread) {
		return
	}
	c.spreadPending = false
	c.nextSpread = now.Add(minSpreadGap)
	for _, r := range c.pickRandom(spreadFanout) {
		c.send(now, r, &peerpb.Membership{Kind: peerpb.Membership_KIND_GOSSIP})
	}
}

// pickRandom returns up to k random members among those that this daemon probes.
func (c *Core) pickRandom(k int) []*record {
	scope := c.table.probeScope
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

// publish emits a new view if the visible list has changed.
func (c *Core) publish() {
	if !c.table.changed {
		return
	}
	c.refreshView()
	v := c.view
	c.actions = append(c.actions, ViewChanged{View: &v})
}

func (c *Core) refreshView() {
	c.table.changed = false
	c.view = View{Version: c.view.Version + 1, Members: c.table.visibleMembers()}
	c.table.updateProbeScope()
}

// emit completes the header of a message and adds it to the actions.
func (c *Core) emit(to netip.AddrPort, m *peerpb.Membership) {
	m.From = uint64(c.self.ID)
	m.Period = c.period(c.now)
	c.actions = append(c.actions, Send{To: to, Message: m})
}
