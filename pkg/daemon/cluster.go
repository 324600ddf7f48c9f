package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	peerpb "rosemarygate/api/peer/v1"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/ownership"
	"rosemarygate/pkg/registration"
	"rosemarygate/pkg/relay"
)

const (
	clusterTick  = 20 * time.Millisecond
	clusterQueue = 1024
	loadPeriod   = 250 * time.Millisecond
)

// cluster runs the membership and registration cores and the assignment in one goroutine.
type cluster struct {
	clock    func() time.Time
	log      logrus.FieldLogger
	members  *membership.Core
	regs     *registration.Core
	assign   *assignment
	order    ownership.Order
	conn     *net.UDPConn
	sealer   *relay.Sealer
	incoming chan membership.Received
	calls    chan func(now time.Time)

	view   *membership.View // in force
	gate   viewGate
	joined bool
	// partial says that registrations of some data centres are not kept.
	partial atomic.Bool
	// concerned are the services whose upstreams changed since the hook was told.
	concerned map[ident.ServiceID]bool
	hooks     clusterHooks
	out       []byte
}

// clusterHooks are called in the cluster's goroutine.
type clusterHooks struct {
	joined     func(self membership.Member)
	superseded func()
	viewed     func(self membership.Member, v *membership.View, t *ownership.Table)
	changed    func(now time.Time, services map[ident.ServiceID][]registration.Registration)
	loaded     func(now time.Time, loads []registration.Load, own bool)
	loads      func(now time.Time) []registration.Load
}

func newCluster(clock func() time.Time, log logrus.FieldLogger, conn *net.UDPConn, key []byte, self membership.Member, seeds []netip.AddrPort, near []string) *cluster {
	c := &cluster{
		clock: clock, log: log, conn: conn, sealer: relay.NewSealer(key),
		incoming: make(chan membership.Received, clusterQueue),
		calls:    make(chan func(time.Time), clusterQueue),

		concerned: map[ident.ServiceID]bool{},
	}
	rng := rand.New(rand.NewPCG(uint64(self.ID), uint64(self.Incarnation)))
	c.regs = registration.New(registration.Config{Self: self.ID, DataCentre: self.DataCentre, Order: c.order, Near: near}, rng)
	c.members = membership.New(membership.Config{Seeds: seeds, Attachment: c.regs.Attachment}, self, rng)
	return c
}

var errClusterQueueFull = errors.New("queue of membership messages is full")

// deliver takes an encoded membership message. The error is relay.ErrMalformed or
// errClusterQueueFull.
func (c *cluster) deliver(from netip.AddrPort, message []byte) error {
	m := new(peerpb.Membership)
	if proto.Unmarshal(message, m) != nil {
		return relay.ErrMalformed
	}
	select {
	case c.incoming <- membership.Received{From: from, Message: m}:
		return nil
	default:
		return errClusterQueueFull
	}
}

// call runs f in the cluster's goroutine and waits for its end. It reports false when the
// cluster has stopped.
func (c *cluster) call(ctx context.Context, f func(now time.Time)) bool {
	done := make(chan struct{})
	wrapped := func(now time.Time) {
		defer close(done)
		f(now)
	}
	select {
	case c.calls <- wrapped:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *cluster) run(ctx context.Context) error {
	ticker := time.NewTicker(clusterTick)
	defer ticker.Stop()
	var nextLoads time.Time
	for {
		select {
		case <-ctx.Done():
			c.stepMembers(c.clock(), membership.Stop{})
			return nil
		case m := <-c.incoming:
			c.stepMembers(c.clock(), m)
		case f := <-c.calls:
			f(c.clock())
		case <-ticker.C:
			now := c.clock()
			c.tick(now)
			if now.After(nextLoads) {
				nextLoads = now.Add(loadPeriod)
				c.reportLoads(now)
			}
		}
	}
}

func (c *cluster) tick(now time.Time) {
	c.stepMembers(now, membership.Tick{})
	if v := c.gate.due(now); v != nil {
		c.enforce(now, v)
	}
	c.stepRegistrations(now, registration.Tick{})
	if c.assign != nil {
		c.assign.tick(now)
	}
}

func (c *cluster) reportLoads(now time.Time) {
	if !c.joined {
		return
	}
	loads := c.hooks.loads(now)
	for _, l := range loads {
		c.stepRegistrations(now, registration.LoadReport{Load: l})
	}
	c.hooks.loaded(now, loads, true)
}

// stepMembers steps the membership core and carries out its actions.
func (c *cluster) stepMembers(now time.Time, ev membership.Event) {
	for _, a := range c.members.Step(now, ev) {
		switch a := a.(type) {
		case membership.Send:
			c.send(a)
		case membership.ViewChanged:
			c.viewChanged(now, a.View)
		case membership.Joined:
			c.join(now)
		case membership.Attached:
			c.stepRegistrations(now, registration.Attached{From: a.From, Data: a.Data})
		case membership.Superseded:
			c.hooks.superseded()
		}
	}
}

func (c *cluster) send(a membership.Send) {
	b, err := proto.Marshal(a.Message)
	if err != nil {
		return
	}
	c.out = c.sealer.Seal(relay.AppendMembership(c.out[:0], b))
	// A lost message is repeated by the protocol.
	_, _ = c.conn.WriteToUDPAddrPort(c.out, a.To)
}

func (c *cluster) join(now time.Time) {
	if c.joined {
		return
	}
	c.joined = true
	self := c.members.Self()
	c.hooks.joined(self)
	c.assign.self = self
	c.tellChanged(now)
	c.stepMembers(now, membership.Serve{})
}

// viewChanged takes a view over, at once when this daemon's own state changed. Joining steps the membership core again while its first
// actions are carried out, so an older view can come after a newer one.
func (c *cluster) viewChanged(now time.Time, v *membership.View) {
	if c.view != nil && v.Version <= c.view.Version {
		return
	}
	if next := c.gate.offer(now, v, c.stateIn(v) != c.stateIn(c.view)); next != nil {
		c.enforce(now, next)
	}
}

// stateIn returns this daemon's state in a view.
func (c *cluster) stateIn(v *membership.View) membership.State {
	if v == nil {
		return 0
	}
	self, _ := v.Find(c.members.Self().ID)
	return self.State
}

// enforce puts a view in force.
func (c *cluster) enforce(now time.Time, v *membership.View) {
	c.logChanges(v)
	c.view = v
	table := ownership.NewTable(v, c.order)
	if c.joined {
		c.assign.viewChanged(now, v, table)
		c.hooks.viewed(c.members.Self(), v, table)
	}
	c.stepRegistrations(now, registration.ViewChanged{View: v, Table: table})
	c.partial.Store(!c.regs.KeepsAll())
}

// ask asks other data centres for a service whose upstreams are not kept here. It does not block
// and returns false when all registrations are kept or the cluster is busy.
func (c *cluster) ask(s ident.ServiceID) bool {
	if !c.partial.Load() {
		return false
	}
	select {
	case c.calls <- func(now time.Time) { c.stepRegistrations(now, registration.Asked{Service: s}) }:
		return true
	default:
		return false
	}
}

func (c *cluster) logChanges(v *membership.View) {
	for _, m := range v.Members {
		if c.view != nil {
			if old, ok := c.view.Find(m.ID); ok && old.State == m.State && old.Incarnation == m.Incarnation {
				continue
			}
		}
		events.MemberChanged.Log(c.log, logrus.Fields{"member": m.Name, "state": m.State, "incarnation": m.Incarnation})
	}
}

// stepRegistrations steps the registration core, carries out its actions and returns its answer.
func (c *cluster) stepRegistrations(now time.Time, ev registration.Event) (answer registration.Answer) {
	for _, a := range c.regs.Step(now, ev) {
		switch a := a.(type) {
		case registration.Answer:
			answer = a
		case registration.Changed:
			_, announced := ev.(registration.Announced)
			c.registrationsChanged(now, a, announced)
		case registration.Loaded:
			if c.joined {
				c.hooks.loaded(now, a.Loads, false)
			}
		case registration.Message:
			c.stepMembers(now, membership.Carry(a))
		case registration.Spread:
			c.stepMembers(now, membership.Spread{})
		}
	}
	return answer
}

func (c *cluster) registrationsChanged(now time.Time, ch registration.Changed, announced bool) {
	for _, r := range ch.Set {
		events.UpstreamRegistered.Log(c.log, logrus.Fields{"upstream": r.Name, "data_centre": r.DataCentre, "draining": r.Draining})
	}
	for _, u := range ch.Removed {
		events.UpstreamLeft.Log(c.log, logrus.Fields{"upstream": u})
	}
	ch.Removed = append(ch.Removed, ch.Discarded...)
	c.assign.concerned(ch, c.concerned)
	c.assign.changed(now, ch.Set, ch.Removed, announced)
	c.tellChanged(now)
}

// tellChanged passes the services on whose upstreams changed, once the daemon has joined.
func (c *cluster) tellChanged(now time.Time) {
	if !c.joined || len(c.concerned) == 0 {
		return
	}
	services := make(map[ident.ServiceID][]registration.Registration, len(c.concerned))
	for s := range c.concerned {
		services[s] = c.assign.registrations(s)
	}
	clear(c.concerned)
	c.hooks.changed(now, services)
}
