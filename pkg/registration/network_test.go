package registration_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/ownership"
	"rosemarygate/pkg/registration"
)

const (
	tickEvery = 20 * time.Millisecond
	// datagramOverhead is the size of the MAC with its encoding, and of the IP and UDP headers,
	// in bytes.
	datagramOverhead = 20 + 28
	service          = "user/service"
	// maxInFlight bounds the messages in flight, so that a message storm fails the test before it
	// exhausts the memory of the machine.
	maxInFlight = 100_000
)

// network runs the membership and registration cores of daemons on a virtual clock.
type network struct {
	t      testing.TB
	rng    *rand.Rand
	now    time.Time
	loss   float64
	nodes  []*node
	byAddr map[netip.AddrPort]*node
	byID   map[ident.DaemonID]*node
	queue  deliveries
	serial int
	// keepAllLimit and dropAfter are the parameters of registration.Config.
	keepAllLimit int
	dropAfter    time.Duration
	// table is the ownership table of tableView.
	table     *ownership.Table
	tableView *membership.View
	blocked   func(a, b *node) bool
	// onChange is called when the registrations of a daemon have changed.
	onChange func(d *node)
}

type node struct {
	member         membership.Member
	members        *membership.Core
	registry       *registration.Core
	view           *membership.View
	down           bool
	answer         registration.Answer
	requested      map[ident.ServiceID]bool
	loadTimes      map[ident.UpstreamID]time.Time
	sent, received int // bytes, including datagramOverhead
	sentMessages   int
}

type delivery struct {
	at     time.Time
	serial int
	from   netip.AddrPort
	to     *node
	data   []byte // nil for a tick
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || d[i].at.Equal(d[j].at) && d[i].serial < d[j].serial
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

func newNetwork(t testing.TB, seed uint64) *network {
	return &network{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0),
		byAddr: make(map[netip.AddrPort]*node), byID: make(map[ident.DaemonID]*node),
	}
}

// cluster starts daemons and waits until all of them serve.
func cluster(t testing.TB, seed uint64, members, dataCentres int) *network {
	return largeCluster(t, seed, members, dataCentres, 0)
}

// largeCluster is a cluster in which daemons keep the registrations of all data centres only up
// to keepAllLimit data centres, or up to the default number if that is 0.
func largeCluster(t testing.TB, seed uint64, members, dataCentres, keepAllLimit int) *network {
	n := newNetwork(t, seed)
	if keepAllLimit != 0 {
		n.keepAllLimit, n.dropAfter = keepAllLimit, dropAfter
	}
	for i := range members {
		n.add(i, fmt.Sprintf("dc-%d", i%dataCentres), 1)
	}
	n.runUntil(time.Minute, n.converged)
	assert.Assert(t, n.converged())
	return n
}

func (n *network) add(i int, dataCentre string, incarnation ident.Incarnation) *node {
	name := fmt.Sprintf("host-%d", i)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 9000)
	m := membership.Member{
		ID: ident.Daemon(name), Name: name, DataCentre: dataCentre, Incarnation: incarnation, PeerAddr: address, GRPCAddr: address,
	}
	d := &node{member: m, loadTimes: make(map[ident.UpstreamID]time.Time), requested: make(map[ident.ServiceID]bool)}
	d.registry = registration.New(n.config(m), n.newRand())
	d.members = membership.New(membership.Config{
		Seeds: n.seeds(), Attachment: d.registry.Attachment,
	}, m, n.newRand())
	n.nodes = append(n.nodes, d)
	n.byAddr[address] = d
	n.byID[m.ID] = d
	n.push(delivery{at: n.now.Add(time.Duration(n.rng.Int64N(int64(tickEvery)))), to: d})
	return d
}

func (n *network) config(m membership.Member) registration.Config {
	return registration.Config{Self: m.ID, DataCentre: m.DataCentre, KeepAllLimit: n.keepAllLimit, DropAfter: n.dropAfter}
}

func (n *network) seeds() []netip.AddrPort {
	return []netip.AddrPort{netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 0}), 9000)}
}

func (n *network) newRand() *rand.Rand { return rand.New(rand.NewPCG(n.rng.Uint64(), 2)) }

func (n *network) push(d delivery) {
	n.serial++
	d.serial = n.serial
	heap.Push(&n.queue, d)
}

func (n *network) stepMembership(d *node, ev membership.Event) {
	joined := false
	for _, a := range d.members.Step(n.now, ev) {
		switch a := a.(type) {
		case membership.Send:
			n.transmit(d, a)
		case membership.ViewChanged:
			d.view = a.View
			n.stepRegistration(d, registration.ViewChanged{View: a.View})
		case membership.AttachmentReceived:
			n.stepRegistration(d, registration.AttachmentReceived{From: a.From, Data: a.Data})
		case membership.Joined:
			joined = true
		}
	}
	if joined {
		n.stepMembership(d, membership.Serve{})
	}
}

func (n *network) stepRegistration(d *node, ev registration.Event) {
	for _, a := range d.registry.Step(n.now, ev) {
		switch a := a.(type) {
		case registration.Answer:
			d.answer = a
		case registration.SendAttachment:
			n.stepMembership(d, membership.SendAttachment{To: a.To, Data: a.Data})
		case registration.SpreadNow:
			n.stepMembership(d, membership.SpreadNow{})
		case registration.LoadsReceived:
			for _, l := range a.Loads {
				d.loadTimes[l.Upstream] = l.At
			}
		case registration.RegistrationsChanged:
			if n.onChange != nil {
				n.onChange(d)
			}
		}
	}
}

func (n *network) transmit(d *node, a membership.Send) {
	data, err := proto.Marshal(a.Message)
	assert.NilError(n.t, err)
	assert.Assert(n.t, len(data) <= membership.MaxMessageSize, "%v has %d bytes", a.Message.Kind, len(data))
	d.sent += len(data) + datagramOverhead
	d.sentMessages++
	to := n.byAddr[a.To]
	if to == nil || n.rng.Float64() < n.loss || n.blocked != nil && n.blocked(d, to) {
		return
	}
	delay := 300*time.Microsecond + time.Duration(n.rng.Int64N(int64(2*time.Millisecond)))
	n.push(delivery{at: n.now.Add(delay), from: d.member.PeerAddr, to: to, data: data})
}

func (n *network) run(d time.Duration) { n.runUntil(d, func() bool { return false }) }

// runUntil runs until the condition holds, checked every tick, and returns the elapsed time.
func (n *network) runUntil(limit time.Duration, done func() bool) time.Duration {
	start := n.now
	check := start
	for n.now.Sub(start) < limit {
		if len(n.queue) > maxInFlight {
			n.t.Fatalf("%d messages are in flight: daemons answer each other in a loop", len(n.queue))
		}
		next := heap.Pop(&n.queue).(delivery)
		n.now = next.at
		n.deliver(next)
		if n.now.Before(check) {
			continue
		}
		check = n.now.Add(tickEvery)
		if done() {
			break
		}
	}
	return n.now.Sub(start)
}

func (n *network) deliver(d delivery) {
	if d.to.down {
		return
	}
	if d.data == nil {
		n.stepMembership(d.to, membership.Tick{})
		n.stepRegistration(d.to, registration.Tick{})
		n.push(delivery{at: n.now.Add(tickEvery), to: d.to})
		return
	}
	m := new(peerpb.Membership)
	assert.NilError(n.t, proto.Unmarshal(d.data, m))
	d.to.received += len(d.data) + datagramOverhead
	n.stepMembership(d.to, membership.Received{From: d.from, Message: m})
}

// converged reports whether all running daemons list all running ones as serving.
func (n *network) converged() bool {
	alive := 0
	for _, d := range n.nodes {
		if !d.down {
			alive++
		}
	}
	for _, d := range n.nodes {
		if d.down {
			continue
		}
		serving := 0
		for _, m := range d.members.View().Members {
			if m.State == membership.Serving {
				serving++
			}
		}
		if serving != alive {
			return false
		}
	}
	return true
}

func upstream(i int, dataCentre string, incarnation ident.Incarnation) registration.Registration {
	return upstreamOf(service, i, dataCentre, incarnation)
}

func upstreamOf(service string, i int, dataCentre string, incarnation ident.Incarnation) registration.Registration {
	name := fmt.Sprintf("upstream-%d", i)
	return registration.Registration{
		Service: ident.ServiceByName(service), Upstream: ident.Upstream(service, dataCentre, name),
		Name: name, DataCentre: dataCentre, Incarnation: incarnation,
		Addr: netip.MustParseAddrPort("127.0.0.1:7000"), Slots: 3, FlowLimit: 2000,
	}
}

// announce submits an announcement to a daemon and returns the answer of the owner.
func (n *network) announce(d *node, r registration.Registration) registration.Answer {
	return n.submit(d, registration.Announced{Registration: r})
}

// submit passes an event to a daemon, and to the owner if that daemon does not own the upstream.
func (n *network) submit(d *node, ev registration.Event) registration.Answer {
	d.answer = registration.Answer{}
	n.stepRegistration(d, ev)
	if d.answer.Refusal != registration.NotOwner {
		return d.answer
	}
	owner := n.byID[d.answer.Owner.ID]
	if owner.down || n.blocked != nil && n.blocked(d, owner) {
		return d.answer
	}
	owner.answer = registration.Answer{}
	n.stepRegistration(owner, ev)
	return owner.answer
}

// renewFor announces upstreams every second to random running daemons of their data centre for
// the given time.
func (n *network) renewFor(d time.Duration, list ...registration.Registration) {
	for end := n.now.Add(d); n.now.Before(end); {
		for _, r := range list {
			n.announce(n.randomDaemon(r.DataCentre), r)
		}
		n.run(min(time.Second, end.Sub(n.now)))
	}
}

func (n *network) randomDaemon(dataCentre string) *node {
	for {
		d := n.nodes[n.rng.IntN(len(n.nodes))]
		if !d.down && d.member.DataCentre == dataCentre {
			return d
		}
	}
}

// countListed counts the running daemons that have a live registration with the given
// incarnation.
func (n *network) countListed(r registration.Registration) int {
	count := 0
	for _, d := range n.nodes {
		have, ok := d.registry.Find(r.Upstream)
		if ok && !d.down && have.Incarnation == r.Incarnation {
			count++
		}
	}
	return count
}
