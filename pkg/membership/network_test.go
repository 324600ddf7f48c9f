package membership_test

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
)

const (
	tickEvery = 20 * time.Millisecond
	// datagramOverhead is the size of the MAC with its encoding, and of the IP and UDP headers,
	// in bytes.
	datagramOverhead = 20 + 28
)

// network runs cores on a virtual clock with message loss and partitions of data centres.
type network struct {
	t            testing.TB
	rng          *rand.Rand
	now          time.Time
	loss         float64
	replayShare  float64 // share of the datagrams that arrive a second time, up to 10 s later
	nodes        []*node
	byAddr       map[netip.AddrPort]*node
	queue        deliveries
	onViewChange func(d *node)         // called when a daemon gets a new view
	blocked      func(a, b *node) bool // reports whether datagrams between two daemons are dropped
	serial       int
	sentMessages int
}

type node struct {
	core        *membership.Core
	member      membership.Member
	down        bool
	clockSkew   time.Duration // added to the virtual clock
	pausedUntil time.Time     // events are delayed until then
	tickAt      time.Time
	view        *membership.View
	actions     []membership.Action
	sent        int // bytes, including datagramOverhead
	received    int
}

type delivery struct {
	at     time.Time
	serial int
	from   *node
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
		t:      t,
		rng:    rand.New(rand.NewPCG(seed, 1)),
		now:    time.Unix(1_700_000_000, 0),
		byAddr: make(map[netip.AddrPort]*node),
	}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 9000)
}

// add starts a daemon that joins through the first two.
func (n *network) add(i int, dataCentre string, incarnation uint64) *node {
	name := fmt.Sprintf("host-%d", i)
	m := membership.Member{
		ID: ident.Daemon(name), Name: name, DataCentre: dataCentre,
		Incarnation: ident.Incarnation(incarnation), PeerAddr: address(i), GRPCAddr: address(i),
	}
	cfg := membership.Config{Seeds: []netip.AddrPort{address(0), address(1)}}
	d := &node{member: m, core: membership.New(cfg, m, rand.New(rand.NewPCG(n.rng.Uint64(), 2)))}
	d.tickAt = n.now.Add(time.Duration(n.rng.Int64N(int64(tickEvery))))
	n.nodes = append(n.nodes, d)
	n.byAddr[m.PeerAddr] = d
	n.push(delivery{at: d.tickAt, to: d})
	return d
}

// restart replaces a daemon by a new process at the same address.
func (n *network) restart(i int, incarnation uint64) {
	old := n.nodes[i]
	old.down = true
	n.add(i, old.member.DataCentre, incarnation)
	last := len(n.nodes) - 1
	n.nodes[i] = n.nodes[last]
	n.nodes = n.nodes[:last]
}

func (n *network) push(d delivery) {
	n.serial++
	d.serial = n.serial
	heap.Push(&n.queue, d)
}

// step passes an event to a daemon and executes its actions; a joined daemon starts to serve.
func (n *network) step(d *node, ev membership.Event) {
	joined := false
	for _, a := range d.core.Step(n.now.Add(d.clockSkew), ev) {
		switch a := a.(type) {
		case membership.Send:
			n.transmit(d, a)
		case membership.ViewChanged:
			d.view = a.View
			if n.onViewChange != nil {
				n.onViewChange(d)
			}
		case membership.Joined:
			d.actions = append(d.actions, a)
			joined = true
		default:
			d.actions = append(d.actions, a)
		}
	}
	if joined {
		n.step(d, membership.Serve{})
	}
}

func (n *network) transmit(d *node, a membership.Send) {
	data, err := proto.Marshal(a.Message)
	assert.NilError(n.t, err)
	assert.Assert(n.t, len(data) <= membership.MaxMessageSize, "message of %d bytes, %v", len(data), a.Message.Kind)
	d.sent += len(data) + datagramOverhead
	n.sentMessages++
	to := n.byAddr[a.To]
	if to == nil || n.rng.Float64() < n.loss || n.blocked != nil && n.blocked(d, to) {
		return
	}
	delay := 300*time.Microsecond + time.Duration(n.rng.Int64N(int64(2*time.Millisecond)))
	n.push(delivery{at: n.now.Add(delay), from: d, to: to, data: data})
	if n.rng.Float64() < n.replayShare {
		replayDelay := time.Duration(n.rng.Int64N(int64(10 * time.Second)))
		n.push(delivery{at: n.now.Add(delay + replayDelay), from: d, to: to, data: data})
	}
}

func (n *network) run(d time.Duration) { n.runUntil(d, func() bool { return false }) }

// runUntil runs until the condition holds, checked every tick, and returns the elapsed time.
func (n *network) runUntil(limit time.Duration, done func() bool) time.Duration {
	start := n.now
	check := start
	for n.now.Sub(start) < limit {
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
	if n.now.Before(d.to.pausedUntil) {
		d.at = d.to.pausedUntil
		n.push(d)
		return
	}
	if d.data == nil {
		n.step(d.to, membership.Tick{})
		n.push(delivery{at: n.now.Add(tickEvery), to: d.to})
		return
	}
	m := new(peerpb.Membership)
	assert.NilError(n.t, proto.Unmarshal(d.data, m))
	d.to.received += len(d.data) + datagramOverhead
	n.step(d.to, membership.Received{From: d.from.member.PeerAddr, Message: m})
}

// skewClocks moves the clock of each daemon forward by up to 10 s.
func (n *network) skewClocks() {
	for _, d := range n.nodes {
		d.clockSkew = time.Duration(n.rng.Int64N(int64(10 * time.Second)))
	}
}

// deadMembersDetected reports whether all running daemons list those that are down as dead or not
// at all.
func (n *network) deadMembersDetected() bool {
	for _, d := range n.nodes {
		if d.down {
			continue
		}
		for _, m := range d.view.Members {
			if m.State != membership.Dead && n.byAddr[m.PeerAddr].down {
				return false
			}
		}
	}
	return true
}

// converged reports whether all running daemons list exactly the running ones as serving.
func (n *network) converged() bool {
	alive := 0
	for _, d := range n.nodes {
		if !d.down {
			alive++
		}
	}
	for _, d := range n.nodes {
		if !d.down && (d.view == nil || n.countServing(d) != alive) {
			return false
		}
	}
	return true
}

// countServing counts the members that a daemon lists as serving. It returns -1 if one of them is
// down or listed with a wrong incarnation.
func (n *network) countServing(d *node) int {
	count := 0
	for _, m := range d.view.Members {
		if m.State != membership.Serving {
			continue
		}
		peer := n.byAddr[m.PeerAddr]
		if peer.down || peer.core.Self().Incarnation != m.Incarnation {
			return -1
		}
		count++
	}
	return count
}

// cluster starts daemons, distributed evenly over data centres, and waits until they converge.
func cluster(t testing.TB, seed uint64, members, dataCentres int) *network {
	n := newNetwork(t, seed)
	for i := range members {
		n.add(i, fmt.Sprintf("dc-%d", i%dataCentres), 1)
	}
	took := n.runUntil(time.Minute, n.converged)
	assert.Assert(t, n.converged(), "%d members in %d data centres did not converge in %v", members, dataCentres, took)
	return n
}
