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
	// holdTime bounds the wait for a registration or a table: a caller repeats a packet after 200 ms.
	holdTime = 300 * time.Millisecond
	// maxHeld bounds the packets that wait; at 1,234 bytes each they take 320 KB.
	maxHeld = 256
	// maxFlows bounds the flow table; an entry takes about 200 bytes.
	maxFlows = 50_000
	// sweepPeriod is how often idle flows are removed.
	sweepPeriod = time.Second
)

// Config describes the daemon that forwards.
type Config struct {
	// DataCentre is the daemon's own; its upstreams get new flows first.
	DataCentre string
}

// Core decides on packets. It is not safe for concurrent use.
type Core struct {
	cfg        Config
	rng        *rand.Rand
	routes     *routing.Index
	removed    map[netip.AddrPort]bool // addresses of routes that were removed
	upstreams  map[directory.Incarnation]*Upstream
	cookies    map[directory.Cookie]*Upstream
	services   map[string][]*Upstream // those that may get new flows
	flows      map[Flow]*flowState
	held       []heldPacket
	ended      []Packet                          // to be reset
	profiles   map[netip.AddrPort]*answerProfile // by address of a route
	admissions map[string]*admission             // by service
	overloads  []Overload                        // not yet reported
	swept      time.Duration
	prepared   bool
}

type heldPacket struct {
	packet Packet
	until  time.Duration
}

// New returns a core without a routing table and upstreams.
func New(cfg Config, rng *rand.Rand) *Core {
	return &Core{
		cfg: cfg, rng: rng, removed: map[netip.AddrPort]bool{},
		upstreams: map[directory.Incarnation]*Upstream{}, cookies: map[directory.Cookie]*Upstream{},
		services: map[string][]*Upstream{}, flows: map[Flow]*flowState{},
	}
}

// Version returns the version of the routing table, 0 if there is none.
func (c *Core) Version() uint64 {
	if c.routes == nil {
		return 0
	}
	return c.routes.Table().Version
}

// SetPrepared tells the core that its table and its upstreams are complete.
func (c *Core) SetPrepared() { c.prepared = true }

// Upstreams returns the number of incarnations that may get new flows.
func (c *Core) Upstreams() int {
	n := 0
	for _, of := range c.services {
		n += len(of)
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
			if len(c.services[s.Service]) == 0 {
				return false
			}
		}
	}
	return true
}

// Flows returns the number of flows that this daemon has seen lately.
func (c *Core) Flows() int { return len(c.flows) }

// SetTable replaces the routing table by a newer one; an older one is ignored.
func (c *Core) SetTable(t *routing.Table) bool {
	if t.Version <= c.Version() {
		return false
	}
	next := routing.NewIndex(t)
	if c.routes != nil {
		for _, r := range c.routes.Table().Routes {
			c.removed[r.Address] = true
		}
	}
	for _, r := range t.Routes {
		delete(c.removed, r.Address)
	}
	c.routes = next
	c.followTable(t)
	return true
}

// SetUpstream takes what the directory says of an incarnation.
func (c *Core) SetUpstream(r directory.Registration) {
	u := c.upstreams[r.Incarnation]
	if u == nil {
		u = &Upstream{cookie: r.Cookie()}
		c.upstreams[r.Incarnation] = u
		// Two live incarnations with one cookie cannot be told apart, so packets of both are dropped
		// as unknown; no flow is placed on the second one.
		if _, taken := c.cookies[u.cookie]; !taken {
			c.cookies[u.cookie] = u
		}
	}
	if r.State == directory.Gone && u.State != directory.Gone {
		c.endFlows(u)
	}
	u.Registration = r
	of := c.services[r.Service]
	i := slices.Index(of, u)
	placeable := r.State == directory.Ready && c.cookies[u.cookie] == u
	switch {
	case placeable && i < 0:
		c.services[r.Service] = append(of, u)
	case !placeable && i >= 0:
		c.services[r.Service] = slices.Delete(of, i, i+1)
	}
}

// endFlows collects the open flows of an upstream that has ended. A flow that is not open yet may open
// at another upstream that got a copy of its SYN.
func (c *Core) endFlows(u *Upstream) {
	for f, s := range c.flows {
		if s.upstream == u && s.tried == nil {
			c.ended = append(c.ended, Packet{Caller: f.Caller, Dest: f.Dest, Flags: ACK, Ack: s.ack, Cookie: u.cookie})
			s.detach()
			delete(c.flows, f)
		}
	}
}

// TakeEnded returns the flows to reset because their upstream has ended, each as its caller's latest
// packet: the caller then need not find out with its next request.
func (c *Core) TakeEnded() []Packet {
	out := c.ended
	c.ended = nil
	return out
}

// Forget removes an incarnation.
func (c *Core) Forget(i directory.Incarnation) {
	u := c.upstreams[i]
	if u == nil {
		return
	}
	delete(c.upstreams, i)
	if c.cookies[u.cookie] == u {
		delete(c.cookies, u.cookie)
	}
	of := c.services[u.Service]
	if at := slices.Index(of, u); at >= 0 {
		c.services[u.Service] = slices.Delete(of, at, at+1)
	}
}

// Packet decides on a packet. A held packet is copied.
func (c *Core) Packet(now time.Duration, p *Packet) Action {
	c.sweep(now)
	a := c.decide(now, p)
	if a.Verdict == Hold && !c.hold(now, p) {
		return Action{Verdict: Drop, Reason: HoldBufferFull}
	}
	return a
}

func (c *Core) decide(now time.Duration, p *Packet) Action {
	if p.Flags&SYN != 0 {
		return c.open(now, p)
	}
	return c.established(now, p)
}

// established decides on a packet that does not open a flow.
func (c *Core) established(now time.Duration, p *Packet) Action {
	known := c.flows[p.Flow()]
	u, reason := c.cookies[p.Cookie], Known
	if p.Cookie == 0 {
		if known == nil {
			return Action{Verdict: Drop, Reason: NoCookie}
		}
		u, reason = known.upstream, KnownFlow
	}
	switch {
	case u == nil:
		return Action{Verdict: Hold, Reason: AwaitingCookie}
	case u.State == directory.Gone:
		c.close(p.Flow())
		return resetUnless(p, UpstreamGone)
	case c.removed[p.Dest]:
		c.close(p.Flow())
		return resetUnless(p, RouteRemoved)
	}
	a := Action{Verdict: Forward, Reason: reason, Upstream: u, Cookie: p.Cookie}
	if c.observe(now, p, u) {
		a.Suspected = u
	}
	return a
}

// resetUnless resets the flow of a packet, unless the caller itself has just reset it.
func resetUnless(p *Packet, reason Reason) Action {
	if p.Flags&RST != 0 {
		return Action{Verdict: Drop, Reason: reason}
	}
	return Action{Verdict: Reset, Reason: reason}
}

func (c *Core) hold(now time.Duration, p *Packet) bool {
	if p.Flags&SYN != 0 {
		// Of the copies of a SYN only the latest is placed.
		c.held = slices.DeleteFunc(c.held, func(h heldPacket) bool { return h.packet.Flags&SYN != 0 && h.packet.Flow() == p.Flow() })
	}
	if len(c.held) >= maxHeld {
		return false
	}
	held := *p
	held.Raw = slices.Clone(p.Raw)
	c.held = append(c.held, heldPacket{held, now + holdTime})
	return true
}

// Holding reports whether packets wait for registrations.
func (c *Core) Holding() bool { return len(c.held) > 0 }

// Release decides on the held packets that the daemon now knows enough for, or whose time is over.
func (c *Core) Release(now time.Duration) []Released {
	var out []Released
	rest := c.held[:0]
	for _, h := range c.held {
		a := c.decide(now, &h.packet)
		if a.Verdict == Hold {
			if now < h.until {
				rest = append(rest, h)
				continue
			}
			a.Verdict = Drop
			if a.Reason == AwaitingCookie {
				a.Reason = UnknownCookie
			}
		}
		out = append(out, Released{h.packet, a})
	}
	clear(c.held[len(rest):])
	c.held = rest
	return out
}
