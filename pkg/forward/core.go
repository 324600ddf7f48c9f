package forward

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/routing"
)

const (
	// holdTime bounds the wait for a registration or a table: a caller retransmits a packet after 200 ms.
	holdTime = 300 * time.Millisecond
	// maxHeldPackets bounds the number of held packets; at 1,234 bytes each they take 320 KB.
	maxHeldPackets = 256
	// maxFlows bounds the flow table; an entry takes about 200 bytes.
	maxFlows = 50_000
	// sweepPeriod is how often idle flows are removed.
	sweepPeriod = time.Second
)

// Config describes the forwarding daemon.
type Config struct {
	// DataCentre is the data centre of the daemon. Its upstreams are preferred for new flows.
	DataCentre string
	// LinkBytesPerSecond is the bandwidth of the host's link in each direction, 0 if it is unknown.
	LinkBytesPerSecond float64
	// Name is the name by which control hosts know the daemon.
	Name string
	// WarmupTolerance bounds the new flows of cold upstreams.
	WarmupTolerance routing.WarmupTolerance
	// AnnouncementInterval is the time between two announcements of an upstream.
	AnnouncementInterval time.Duration
	// Admission selects when new flows are refused because a service is overloaded.
	Admission Admission
	// Placement selects the measure of the load of an upstream.
	Placement Placement
	// CostObserver is called with the expected and the actual time of each answer, if it is set.
	CostObserver func(service string, expected, actual time.Duration)
}

// Admission is a rule for the refusal of new flows of an overloaded service.
type Admission uint8

// Rules of admission. The experiments compare them.
const (
	// AdmitByTimeAndRejections refuses flows beyond a limit that follows the answer times, and while upstreams
	// reject requests.
	AdmitByTimeAndRejections Admission = iota
	// AdmitByRejections refuses flows only while upstreams reject requests.
	AdmitByRejections
	// AdmitByAllRejections takes each rejection as a sign of a full service, on whatever flow and in whatever
	// data centre.
	AdmitByAllRejections
	// AdmitAll refuses no flow.
	AdmitAll
)

// Core decides on packets. It is not safe for concurrent use.
type Core struct {
	cfg                Config
	rng                *rand.Rand
	routes             *routing.Index
	removedRoutes      map[netip.AddrPort]bool // by route address
	upstreams          map[directory.Incarnation]*Upstream
	upstreamsByCookie  map[directory.Cookie]*Upstream
	placeableByService map[string][]*Upstream // upstreams that may get new flows
	slotLimits         map[string]int         // by service, until its upstreams change
	flows              map[Flow]*flowState
	held               []heldPacket
	flowsToReset       []Packet                          // latest packet of each
	profiles           map[netip.AddrPort]*answerProfile // by route address
	admissions         map[string]*admission             // by service
	catchUps           map[string]*catchUp               // by service
	limits             map[string]*flowLimit             // by service
	serviceCosts       map[string]*serviceCost           // by service
	firstAnswers       map[string]*serviceFirstAnswers   // by service
	releaseDue         bool                              // a held packet may be decided before its hold time has passed
	handshakes         handshakes
	evacuations        evacuations
	link               linkRoom
	refused            refusedFlows
	opened             openedFlows
	warmups            warmups
	outages            map[servicePlace]*outage
	outageChanges      []OutageChange   // not yet taken by the caller
	controlContactAt   time.Duration    // of the latest update from a control host
	overloadChanges    []OverloadChange // not yet taken by the caller
	sweptAt            time.Duration
	prepared           bool
}

type heldPacket struct {
	packet    Packet
	arrivedAt time.Duration
	holdUntil time.Duration
	turn      bool // it waits for its turn
}

// awaitTurn extends the hold time of a packet that begins to wait for its turn.
func (h *heldPacket) awaitTurn(now time.Duration) {
	if !h.turn {
		h.turn, h.holdUntil = true, now+maxTurnWait
	}
}

// New returns a core without a routing table and upstreams.
func New(cfg Config, rng *rand.Rand) *Core {
	return &Core{
		cfg: cfg, rng: rng, removedRoutes: map[netip.AddrPort]bool{},
		upstreams: map[directory.Incarnation]*Upstream{}, upstreamsByCookie: map[directory.Cookie]*Upstream{},
		placeableByService: map[string][]*Upstream{}, flows: map[Flow]*flowState{}, limits: map[string]*flowLimit{}, serviceCosts: map[string]*serviceCost{}, catchUps: map[string]*catchUp{}, slotLimits: map[string]int{}, firstAnswers: map[string]*serviceFirstAnswers{},
		link: newLinkRoom(cfg.LinkBytesPerSecond), outages: map[servicePlace]*outage{},
	}
}

// Version returns the version of the routing table, 0 if there is none.
func (c *Core) Version() uint64 {
	if c.routes == nil {
		return 0
	}
	return c.routes.Table().Version
}

// SetPrepared marks the routing table and the upstreams as complete, so that new flows may be refused.
func (c *Core) SetPrepared() { c.prepared = true }

// UpstreamCount returns the number of incarnations that may get new flows.
func (c *Core) UpstreamCount() int {
	n := 0
	for _, upstreams := range c.placeableByService {
		n += len(upstreams)
	}
	return n
}

// EveryServiceHasUpstream reports whether each service of the routing table has an upstream that may
// get new flows.
func (c *Core) EveryServiceHasUpstream() bool {
	if c.routes == nil {
		return false
	}
	for i := range c.routes.Table().Routes {
		for _, s := range c.routes.Table().Routes[i].Split {
			if len(c.placeableByService[s.Service]) == 0 {
				return false
			}
		}
	}
	return true
}

// FlowCount returns the number of recently active flows of this daemon.
func (c *Core) FlowCount() int { return len(c.flows) }

// SetTable replaces the routing table if the new one has a higher version, and reports whether it did.
func (c *Core) SetTable(t *routing.Table) bool {
	if t.Version <= c.Version() {
		return false
	}
	index := routing.NewIndex(t)
	if c.routes != nil {
		for _, r := range c.routes.Table().Routes {
			c.removedRoutes[r.Address] = true
		}
	}
	for _, r := range t.Routes {
		delete(c.removedRoutes, r.Address)
	}
	c.routes = index
	c.link.keepRoutes(index)
	c.rebuildStatistics(t)
	return true
}

// SetUpstream adds or updates the registration of an incarnation.
func (c *Core) SetUpstream(r directory.Registration) {
	u := c.upstreams[r.Incarnation]
	if u == nil {
		u = &Upstream{cookie: r.Cookie(), limit: c.limitOf(r.Service), serviceCost: c.serviceCostOf(r.Service)}
		c.upstreams[r.Incarnation] = u
		// Packets of two live incarnations with the same cookie cannot be distinguished, so packets of
		// both are dropped as unknown. No flow is placed on the second one.
		if _, taken := c.upstreamsByCookie[u.cookie]; !taken {
			c.upstreamsByCookie[u.cookie] = u
		}
	}
	if r.State == directory.Gone && u.State != directory.Gone {
		c.collectFlowsToReset(u)
	}
	u.Registration = r
	if c.cfg.Admission != AdmitByAllRejections {
		u.firstAnswers = c.firstAnswersOf(r.Service).of(r.DataCentre)
	}
	u.outage = c.outageOf(r.Service, r.DataCentre)
	delete(c.slotLimits, r.Service)
	upstreams := c.placeableByService[r.Service]
	i := slices.Index(upstreams, u)
	placeable := r.State == directory.Ready && c.upstreamsByCookie[u.cookie] == u
	switch {
	case placeable && i < 0:
		c.placeableByService[r.Service] = append(upstreams, u)
	case !placeable && i >= 0:
		c.placeableByService[r.Service] = slices.Delete(upstreams, i, i+1)
	}
}

// collectFlowsToReset collects the open flows of an upstream that has ended. A half-open flow is left
// out: another upstream that got a retransmitted SYN may open it.
func (c *Core) collectFlowsToReset(u *Upstream) {
	for f, s := range c.flows {
		if s.upstream == u && !s.halfOpen {
			c.flowsToReset = append(c.flowsToReset, Packet{Caller: f.Caller, Dest: f.Dest, Flags: ACK, Ack: s.ack, Cookie: u.cookie})
			s.detach()
			delete(c.flows, f)
		}
	}
}

// TakeFlowsToReset returns the flows to reset because their upstream has ended, each as its caller's
// latest packet. Without the reset the caller would only notice with its next request.
func (c *Core) TakeFlowsToReset() []Packet {
	flows := c.flowsToReset
	c.flowsToReset = nil
	return flows
}

// RemoveUpstream removes an incarnation from the core.
func (c *Core) RemoveUpstream(incarnation directory.Incarnation) {
	u := c.upstreams[incarnation]
	if u == nil {
		return
	}
	delete(c.upstreams, incarnation)
	if c.upstreamsByCookie[u.cookie] == u {
		delete(c.upstreamsByCookie, u.cookie)
	}
	delete(c.slotLimits, u.Service)
	upstreams := c.placeableByService[u.Service]
	if position := slices.Index(upstreams, u); position >= 0 {
		c.placeableByService[u.Service] = slices.Delete(upstreams, position, position+1)
	}
}

// HandlePacket decides on a packet. The core keeps a copy of a packet that it holds.
func (c *Core) HandlePacket(now time.Duration, p *Packet) Action {
	c.sweep(now)
	a := c.decide(now, now-p.Waited, p)
	if a.Verdict == Hold && !c.holdPacket(now, p, a.Reason) {
		return Action{Verdict: Drop, Reason: HoldBufferFull}
	}
	return a
}

func (c *Core) decide(now, arrivedAt time.Duration, p *Packet) Action {
	if p.Flags&SYN != 0 {
		return c.decideSYN(now, arrivedAt, p)
	}
	return c.decideEstablished(now, p)
}

// decideEstablished decides on a packet that does not open a flow.
func (c *Core) decideEstablished(now time.Duration, p *Packet) Action {
	state := c.flows[p.Flow()]
	u, reason, cookie := c.upstreamsByCookie[p.Cookie], KnownCookie, p.Cookie
	switch {
	case p.Cookie == 0 && state == nil:
		return Action{Verdict: Drop, Reason: NoCookie}
	case p.Cookie == 0:
		u, reason = state.upstream, KnownFlow
	default:
		if u == nil {
			if u = c.upstreamOfHandshake(p); u != nil {
				cookie = u.cookie
			}
		}
		// If two upstreams have answered copies of the SYN, the later answer has only changed the cookie.
		if opened := c.openUpstream(now, p, state, u); opened != nil && opened != u {
			u, reason, cookie = opened, KnownFlow, opened.cookie
		}
	}
	switch {
	case u == nil:
		return Action{Verdict: Hold, Reason: AwaitingCookie}
	case u.State == directory.Gone:
		c.closeFlow(p.Flow())
		return resetUnlessRST(p, UpstreamGone)
	case c.removedRoutes[p.Dest]:
		c.closeFlow(p.Flow())
		return resetUnlessRST(p, RouteRemoved)
	}
	a := Action{Verdict: Forward, Reason: reason, Upstream: u, Cookie: cookie}
	if c.observePacket(now, p, u) {
		a.Suspected = u
	}
	return a
}

// maxAckDistance is the largest distance between two acknowledgement numbers of one flow, in bytes. It covers what
// a flow transfers through other daemons between two packets that this one sees; the numbers of two upstreams are
// unrelated.
const maxAckDistance = 1 << 20

// continuesFrom reports whether a packet acknowledges what the upstream has sent that got an earlier acknowledgement.
func continuesFrom(ack uint32, p *Packet) bool {
	distance := int32(p.Ack - ack)
	return p.Flags&ACK != 0 && distance <= maxAckDistance && distance >= -maxAckDistance
}

// openUpstream returns the upstream at which a packet's flow is known to be open although the packet may have the
// cookie of another one, nil if there is none: the packet acknowledges what the upstream has sent, or the other one
// has got a copy of the SYN from this daemon.
func (c *Core) openUpstream(now time.Duration, p *Packet, state *flowState, other *Upstream) *Upstream {
	switch {
	case state == nil:
		return c.opened.upstreamOf(now, p)
	case state.halfOpen || state.upstream.State == directory.Gone:
		return nil
	case state.hasAck && continuesFrom(state.ack, p), other != nil && slices.Contains(state.triedUpstreams, other):
		return state.upstream
	}
	return nil
}

// resetUnlessRST resets the flow of a packet, or drops the packet if it is itself a reset.
func resetUnlessRST(p *Packet, reason Reason) Action {
	if p.Flags&RST != 0 {
		return Action{Verdict: Drop, Reason: reason}
	}
	return Action{Verdict: Reset, Reason: reason}
}

func (c *Core) holdPacket(now time.Duration, p *Packet, reason Reason) bool {
	h := heldPacket{packet: *p, arrivedAt: now - p.Waited, holdUntil: now + holdTime}
	if reason == AwaitingTurn {
		h.awaitTurn(now)
	}
	if p.Flags&SYN != 0 {
		// Only the latest copy of a retransmitted SYN is held.
		c.held = slices.DeleteFunc(c.held, func(h heldPacket) bool { return h.packet.Flags&SYN != 0 && h.packet.Flow() == p.Flow() })
	}
	if len(c.held) >= maxHeldPackets {
		return false
	}
	h.packet.Raw = slices.Clone(p.Raw)
	c.held = append(c.held, h)
	return true
}

// HasHeldPackets reports whether packets wait for a routing table, registrations or their turn.
func (c *Core) HasHeldPackets() bool { return len(c.held) > 0 }

// ReleaseDue reports whether a held packet may be decided now because a flow that was placed before it has
// been answered.
func (c *Core) ReleaseDue() bool { return c.releaseDue && len(c.held) > 0 }

// Release returns decisions on the held packets that can be decided now or whose hold time has passed.
func (c *Core) Release(now time.Duration) []Released {
	c.releaseDue = false
	c.sortHeld(now)
	released := c.recordUnanswered(now)
	stillHeld := c.held[:0]
	for _, h := range c.held {
		a := c.decide(now, h.arrivedAt, &h.packet)
		if a.Verdict == Hold {
			if a.Reason == AwaitingTurn {
				h.awaitTurn(now)
			}
			if now < h.holdUntil {
				stillHeld = append(stillHeld, h)
				continue
			}
			a.Verdict = Drop
			switch a.Reason {
			case AwaitingCookie:
				a.Reason = UnknownCookie
			case AwaitingTurn:
				// No reset: another daemon may have placed another copy of the SYN meanwhile.
				a.Reason = Overdue
			}
		}
		released = append(released, Released{h.packet, a})
	}
	clear(c.held[len(stillHeld):])
	c.held = stillHeld
	return released
}
