package agreement_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/ident"
)

// memGroup is a group without network and storage: messages are delivered immediately, in order, and
// nothing is saved.
type memGroup struct {
	nodes        []*agreement.Node
	sent         []agreement.Message // all messages, while recordSent is set
	recordSent   bool
	disconnected map[ident.DaemonID]bool
	isLost       func(agreement.Message) bool // nil if no message is lost
	applied      []uint64
	reads        []agreement.ReadState
}

func newMemGroup(tb testing.TB, cfg agreement.Config, voters, size int) *memGroup {
	tb.Helper()
	var members []agreement.Member
	for i := range size {
		r := agreement.Replica{ID: ident.DaemonID(i + 1), Incarnation: 1}
		members = append(members, agreement.Member{Replica: r, Voter: i < voters})
	}
	g := &memGroup{disconnected: map[ident.DaemonID]bool{}, applied: make([]uint64, size)}
	for i, m := range members {
		st := agreement.FoundingState(m.Replica, testGroup, agreement.NewMembership(members...))
		n, err := agreement.New(cfg, st, rand.New(rand.NewPCG(uint64(i), 7)))
		assert.NilError(tb, err)
		g.nodes = append(g.nodes, n)
	}
	return g
}

// exchangeMessages processes ready work and delivers messages until no node has work left.
func (g *memGroup) exchangeMessages() {
	for progressed := true; progressed; {
		progressed = false
		for i, n := range g.nodes {
			if n.HasReady() {
				g.processReady(i, n)
				progressed = true
			}
		}
	}
}

func (g *memGroup) processReady(i int, n *agreement.Node) {
	rd := n.Ready()
	n.Advance(rd)
	for _, e := range rd.Committed {
		g.applied[i] = e.Index
	}
	g.reads = append(g.reads, rd.Reads...)
	if rd.Snapshot != nil {
		g.applied[i] = rd.Snapshot.Index
	}
	for _, m := range rd.Messages {
		if g.recordSent {
			g.sent = append(g.sent, m)
		}
		if !g.disconnected[m.From.ID] && !g.disconnected[m.To.ID] && int(m.To.ID) <= len(g.nodes) && (g.isLost == nil || !g.isLost(m)) {
			_ = g.nodes[m.To.ID-1].Step(m)
		}
	}
}

// tickAll ticks every node n times and exchanges messages after each tick.
func (g *memGroup) tickAll(n int) {
	for range n {
		for _, node := range g.nodes {
			node.Tick()
		}
		g.exchangeMessages()
	}
}

// leader returns a leader that is not disconnected, nil if there is none.
func (g *memGroup) leader() *agreement.Node {
	for _, n := range g.nodes {
		if st := n.Status(); st.Role == agreement.Leader && !g.disconnected[st.Self.ID] {
			return n
		}
	}
	return nil
}

func BenchmarkProposeToCommit(b *testing.B) {
	g := newMemGroup(b, agreement.Config{RetainEntries: 1000}, 3, 3)
	g.tickAll(50)
	leader := g.leader()
	data := make([]byte, 200)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := leader.Propose(data); err != nil {
			b.Fatal(err)
		}
		g.exchangeMessages()
		if i%10_000 == 9_999 {
			g.compactAll(b)
		}
	}
}

func (g *memGroup) compactAll(tb testing.TB) {
	for _, n := range g.nodes {
		_, err := n.Compact(n.Status().Applied, nil)
		assert.NilError(tb, err)
	}
}
