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
	// datagramOverhead is the MAC with its wrapping, and the IP and UDP headers, in bytes.
	datagramOverhead = 20 + 28
	service          = "user/service"
	// maxQueued bounds the messages on their way, so that a storm of messages ends the test
	// before it takes the memory of the machine.
	maxQueued = 100_000
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
	// keepAll and dropAfter are those of registration.Config.
	keepAll   int
	dropAfter time.Duration
	// table answers for the view tableOf.
	table   *ownership.Table
	tableOf *membership.View
	cut     func(a, b *node) bool
	// onChange is called when a daemon's registrations changed.
	onChange func(d *node)
}

type node struct {
	member       membership.Member
	members      *membership.Core
	registry     *registration.Core
	view         *membership.View
	down         bool
	answer       registration.Answer
	asked        map[ident.ServiceID]bool
	loaded       map[ident.UpstreamID]time.Time
	sent, got    int // bytes, with overhead
	sentMessages int
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

// cluster starts daemons that join and serve.
func cluster(t testing.TB, seed uint64, members, dataCentres int) *network {
	return largeCluster(t, seed, members, dataCentres, 0)
}

// largeCluster is a cluster in which daemons keep all registrations only of up to keepAll data
// centres, or of the default number if that is 0.
func largeCluster(t testing.TB, seed uint64, members, dataCentres, keepAll int) *network {
	n := newNetwork(t, seed)
	if keepAll != 0 {
		n.keepAll, n.dropAfter = keepAll, dropAfter
	}
	for i := range members {
		n.add(i, fmt.Sprintf("dc-%d", i%dataCentres), 1)
	}
	n.until(time.Minute, n.agree)
	assert.Assert(t, n.agree())
	return n
}

func (n *network) add(i int, dataCentre string, incarnation ident.Incarnation) *node {
	name := fmt.Sprintf("host-%d", i)
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 9000)
	m := membership.Member{
		ID: ident.Daemon(name), Name: name, DataCentre: dataCentre, Incarnation: incarnation, PeerAddr: at, GRPCAddr: at,
	}
	d := &node{member: m, loaded: make(map[ident.UpstreamID]time.Time), asked: make(map[ident.ServiceID]bool)}
	d.registry = registration.New(n.config(m), n.source())
	d.members = membership.New(membership.Config{
		Seeds: n.seeds(), Attachment: d.registry.Attachment,
	}, m, n.source())
	n.nodes = append(n.nodes, d)
	n.byAddr[at] = d
	n.byID[m.ID] = d
	n.push(delivery{at: n.now.Add(time.Duration(n.rng.Int64N(int64(tickEvery)))), to: d})
	return d
}

func (n *network) config(m membership.Member) registration.Config {
	return registration.Config{Self: m.ID, DataCentre: m.DataCentre, KeepAll: n.keepAll, DropAfter: n.dropAfter}
}

func (n *network) seeds() []netip.AddrPort {
	return []netip.AddrPort{netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 0}), 9000)}
}

func (n *network) source() *rand.Rand { return rand.New(rand.NewPCG(n.rng.Uint64(), 2)) }

func (n *network) push(d delivery) {
	n.serial++
	d.serial = n.serial
	heap.Push(&n.queue, d)
}

func (n *network) member(d *node, ev membership.Event) {
	joined := false
	for _, a := range d.members.Step(n.now, ev) {
		switch a := a.(type) {
		case membership.Send:
			n.transmit(d, a)
		case membership.ViewChanged:
			d.view = a.View
			n.register(d, registration.ViewChanged{View: a.View})
		case membership.Attached:
			n.register(d, registration.Attached{From: a.From, Data: a.Data})
		case membership.Joined:
			joined = true
		}
	}
	if joined {
		n.member(d, membership.Serve{})
	}
}

func (n *network) register(d *node, ev registration.Event) {
	for _, a := range d.registry.Step(n.now, ev) {
		switch a := a.(type) {
		case registration.Answer:
			d.answer = a
		case registration.Message:
			n.member(d, membership.Carry{To: a.To, Data: a.Data})
		case registration.Spread:
			n.member(d, membership.Spread{})
		case registration.Loaded:
			for _, l := range a.Loads {
				d.loaded[l.Upstream] = l.At
			}
		case registration.Changed:
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
	if to == nil || n.rng.Float64() < n.loss || n.cut != nil && n.cut(d, to) {
		return
	}
	delay := 300*time.Microsecond + time.Duration(n.rng.Int64N(int64(2*time.Millisecond)))
	n.push(delivery{at: n.now.Add(delay), from: d.member.PeerAddr, to: to, data: data})
}

func (n *network) run(d time.Duration) { n.until(d, func() bool { return false }) }

// until runs until the condition holds, checked every tick, and returns the time it took.
func (n *network) until(limit time.Duration, done func() bool) time.Duration {
	start := n.now
	check := start
	for n.now.Sub(start) < limit {
		if len(n.queue) > maxQueued {
			n.t.Fatalf("%d messages are on their way: daemons answer each other without end", len(n.queue))
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
		n.member(d.to, membership.Tick{})
		n.register(d.to, registration.Tick{})
		n.push(delivery{at: n.now.Add(tickEvery), to: d.to})
		return
	}
	m := new(peerpb.Membership)
	assert.NilError(n.t, proto.Unmarshal(d.data, m))
	d.to.got += len(d.data) + datagramOverhead
	n.member(d.to, membership.Received{From: d.from, Message: m})
}

// agree tells whether all running daemons list all running ones as serving.
func (n *network) agree() bool {
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

// announce gives an announcement to a daemon, which passes it to the owner, and returns the answer.
func (n *network) announce(d *node, r registration.Registration) registration.Answer {
	return n.ask(d, registration.Announced{Registration: r})
}

func (n *network) ask(d *node, ev registration.Event) registration.Answer {
	d.answer = registration.Answer{}
	n.register(d, ev)
	if d.answer.Refused != registration.NotOwner {
		return d.answer
	}
	owner := n.byID[d.answer.Owner.ID]
	if owner.down || n.cut != nil && n.cut(d, owner) {
		return d.answer
	}
	owner.answer = registration.Answer{}
	n.register(owner, ev)
	return owner.answer
}

// renewing announces upstreams every second to random running daemons of their data centre
// until the time is over.
func (n *network) renewing(d time.Duration, list ...registration.Registration) {
	for end := n.now.Add(d); n.now.Before(end); {
		for _, r := range list {
			n.announce(n.pick(r.DataCentre), r)
		}
		n.run(min(time.Second, end.Sub(n.now)))
	}
}

func (n *network) pick(dataCentre string) *node {
	for {
		d := n.nodes[n.rng.IntN(len(n.nodes))]
		if !d.down && d.member.DataCentre == dataCentre {
			return d
		}
	}
}

// listed counts the running daemons that have a live registration at the incarnation.
func (n *network) listed(r registration.Registration) int {
	count := 0
	for _, d := range n.nodes {
		have, ok := d.registry.Find(r.Upstream)
		if ok && !d.down && have.Incarnation == r.Incarnation {
			count++
		}
	}
	return count
}
