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
	clusterTickPeriod = 20 * time.Millisecond
	clusterQueueSize  = 1024
	loadReportPeriod  = 250 * time.Millisecond
)

// cluster runs the membership core, the registration core and the assignment of upstreams in one
// goroutine.
type cluster struct {
	clock            func() time.Time
	log              logrus.FieldLogger
	membershipCore   *membership.Core
	registrationCore *registration.Core
	assignment       *assignment
	order            ownership.Order
	conn             *net.UDPConn
	sealer           *relay.Sealer
	receivedMessages chan membership.Received
	calls            chan func(now time.Time)

	view     *membership.View // the view in force
	viewGate viewGate
	joined   bool
	// keepsPart is true while the registrations of some data centres are not kept.
	keepsPart atomic.Bool
	// changedServices are the services whose upstreams changed since the last call of
	// hooks.registrationsChanged.
	changedServices map[ident.ServiceID]bool
	hooks           clusterHooks
	sendBuffer      []byte
}

// clusterHooks are called in the cluster's goroutine.
type clusterHooks struct {
	joined               func(self membership.Member)
	superseded           func()
	viewInForce          func(self membership.Member, v *membership.View, t *ownership.Table)
	registrationsChanged func(now time.Time, services map[ident.ServiceID][]registration.Registration)
	loadsReceived        func(now time.Time, loads []registration.Load, ownUpstreams bool)
	reportedLoads        func(now time.Time) []registration.Load
}

func newCluster(clock func() time.Time, log logrus.FieldLogger, conn *net.UDPConn, key []byte, self membership.Member, seeds []netip.AddrPort, near []string) *cluster {
	c := &cluster{
		clock: clock, log: log, conn: conn, sealer: relay.NewSealer(key),
		receivedMessages: make(chan membership.Received, clusterQueueSize),
		calls:            make(chan func(time.Time), clusterQueueSize),

		changedServices: map[ident.ServiceID]bool{},
	}
	rng := rand.New(rand.NewPCG(uint64(self.ID), uint64(self.Incarnation)))
	c.registrationCore = registration.New(registration.Config{Self: self.ID, DataCentre: self.DataCentre, Order: c.order, NearDataCentres: near}, rng)
	c.membershipCore = membership.New(membership.Config{Seeds: seeds, Attachment: c.registrationCore.Attachment}, self, rng)
	return c
}

var errClusterQueueFull = errors.New("queue of membership messages is full")

// deliver queues an encoded membership message. The error is relay.ErrMalformed or
// errClusterQueueFull.
func (c *cluster) deliver(from netip.AddrPort, message []byte) error {
	m := new(peerpb.Membership)
	if proto.Unmarshal(message, m) != nil {
		return relay.ErrMalformed
	}
	select {
	case c.receivedMessages <- membership.Received{From: from, Message: m}:
		return nil
	default:
		return errClusterQueueFull
	}
}

// call runs f in the cluster's goroutine and waits until it has returned. It reports false when the
// context ends first.
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
	ticker := time.NewTicker(clusterTickPeriod)
	defer ticker.Stop()
	var nextLoads time.Time
	for {
		select {
		case <-ctx.Done():
			c.stepMembers(c.clock(), membership.Stop{})
			return nil
		case m := <-c.receivedMessages:
			c.stepMembers(c.clock(), m)
		case f := <-c.calls:
			f(c.clock())
		case <-ticker.C:
			now := c.clock()
			c.tick(now)
			if now.After(nextLoads) {
				nextLoads = now.Add(loadReportPeriod)
				c.reportLoads(now)
			}
		}
	}
}

func (c *cluster) tick(now time.Time) {
	c.stepMembers(now, membership.Tick{})
	if v := c.viewGate.due(now); v != nil {
		c.putViewInForce(now, v)
	}
	c.stepRegistrations(now, registration.Tick{})
	if c.assignment != nil {
		c.assignment.tick(now)
	}
}

func (c *cluster) reportLoads(now time.Time) {
	if !c.joined {
		return
	}
	loads := c.hooks.reportedLoads(now)
	for _, l := range loads {
		c.stepRegistrations(now, registration.LoadReport{Load: l})
	}
	c.hooks.loadsReceived(now, loads, true)
}

// stepMembers steps the membership core and performs its actions.
func (c *cluster) stepMembers(now time.Time, ev membership.Event) {
	for _, a := range c.membershipCore.Step(now, ev) {
		switch a := a.(type) {
		case membership.Send:
			c.send(a)
		case membership.ViewChanged:
			c.viewChanged(now, a.View)
		case membership.Joined:
			c.join(now)
		case membership.AttachmentReceived:
			c.stepRegistrations(now, registration.AttachmentReceived{From: a.From, Data: a.Data})
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
	c.sendBuffer = c.sealer.Seal(relay.AppendMembership(c.sendBuffer[:0], b))
	// The protocol repeats lost messages.
	_, _ = c.conn.WriteToUDPAddrPort(c.sendBuffer, a.To)
}

func (c *cluster) join(now time.Time) {
	if c.joined {
		return
	}
	c.joined = true
	self := c.membershipCore.Self()
	c.hooks.joined(self)
	c.assignment.self = self
	c.reportChangedServices(now)
	c.stepMembers(now, membership.Serve{})
}

// viewChanged passes a view to the gate; a change of this daemon's own state takes effect at once.
// Joining steps the membership core again while the actions of the step before are performed, so an
// older view can arrive after a newer one and is ignored.
func (c *cluster) viewChanged(now time.Time, v *membership.View) {
	if c.view != nil && v.Version <= c.view.Version {
		return
	}
	if next := c.viewGate.offer(now, v, c.ownStateIn(v) != c.ownStateIn(c.view)); next != nil {
		c.putViewInForce(now, next)
	}
}

// ownStateIn returns this daemon's state in a view.
func (c *cluster) ownStateIn(v *membership.View) membership.State {
	if v == nil {
		return 0
	}
	self, _ := v.Find(c.membershipCore.Self().ID)
	return self.State
}

// putViewInForce puts a view in force.
func (c *cluster) putViewInForce(now time.Time, v *membership.View) {
	c.logChanges(v)
	c.view = v
	table := ownership.NewTable(v, c.order)
	if c.joined {
		c.assignment.viewChanged(now, v, table)
		c.hooks.viewInForce(c.membershipCore.Self(), v, table)
	}
	c.stepRegistrations(now, registration.ViewChanged{View: v, Table: table})
	c.keepsPart.Store(!c.registrationCore.KeepsAll())
}

// queryService queries other data centres for the upstreams of a service that are not kept here. It does
// not block. It returns false when all registrations are kept or when the queue of calls is full.
func (c *cluster) queryService(s ident.ServiceID) bool {
	if !c.keepsPart.Load() {
		return false
	}
	select {
	case c.calls <- func(now time.Time) { c.stepRegistrations(now, registration.ServiceRequested{Service: s}) }:
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

// stepRegistrations steps the registration core, performs its actions and returns its answer.
func (c *cluster) stepRegistrations(now time.Time, ev registration.Event) (answer registration.Answer) {
	for _, a := range c.registrationCore.Step(now, ev) {
		switch a := a.(type) {
		case registration.Answer:
			answer = a
		case registration.RegistrationsChanged:
			_, announced := ev.(registration.Announced)
			c.registrationsChanged(now, a, announced)
		case registration.LoadsReceived:
			if c.joined {
				c.hooks.loadsReceived(now, a.Loads, false)
			}
		case registration.SendAttachment:
			c.stepMembers(now, membership.SendAttachment(a))
		case registration.SpreadNow:
			c.stepMembers(now, membership.SpreadNow{})
		}
	}
	return answer
}

func (c *cluster) registrationsChanged(now time.Time, changes registration.RegistrationsChanged, announced bool) {
	for _, r := range changes.Updated {
		events.UpstreamRegistered.Log(c.log, logrus.Fields{"upstream": r.Name, "data_centre": r.DataCentre, "draining": r.Draining})
	}
	for _, u := range changes.Removed {
		events.UpstreamLeft.Log(c.log, logrus.Fields{"upstream": u})
	}
	changes.Removed = append(changes.Removed, changes.Discarded...)
	c.assignment.addChangedServices(changes, c.changedServices)
	c.assignment.applyRegistrations(now, changes.Updated, changes.Removed, announced)
	c.reportChangedServices(now)
}

// reportChangedServices passes the upstreams of the changed services to the hook, once the daemon has
// joined.
func (c *cluster) reportChangedServices(now time.Time) {
	if !c.joined || len(c.changedServices) == 0 {
		return
	}
	services := make(map[ident.ServiceID][]registration.Registration, len(c.changedServices))
	for s := range c.changedServices {
		services[s] = c.assignment.registrations(s)
	}
	clear(c.changedServices)
	c.hooks.registrationsChanged(now, services)
}
