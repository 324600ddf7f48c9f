package agreement_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/ident"
)

// memGroup is a group whose messages arrive at once and whose storage is instant.
type memGroup struct {
	nodes   []*agreement.Node
	sent    []agreement.Message // all messages since the last clear, if record is set
	record  bool
	cut     map[ident.DaemonID]bool
	applied []uint64
	reads   []agreement.ReadState
}

func newMemGroup(tb testing.TB, cfg agreement.Config, voters, size int) *memGroup {
	tb.Helper()
	var members []agreement.Member
	for i := range size {
		r := agreement.Replica{ID: ident.DaemonID(i + 1), Incarnation: 1}
		members = append(members, agreement.Member{Replica: r, Voter: i < voters})
	}
	g := &memGroup{cut: map[ident.DaemonID]bool{}, applied: make([]uint64, size)}
	for i, m := range members {
		st := agreement.FoundingState(m.Replica, testGroup, agreement.NewMembership(members...))
		n, err := agreement.New(cfg, st, rand.New(rand.NewPCG(uint64(i), 7)))
		assert.NilError(tb, err)
		g.nodes = append(g.nodes, n)
	}
	return g
}

// settle exchanges messages until nothing is left to do.
func (g *memGroup) settle() {
	for busy := true; busy; {
		busy = false
		for i, n := range g.nodes {
			if n.HasReady() {
				g.process(i, n)
				busy = true
			}
		}
	}
}

func (g *memGroup) process(i int, n *agreement.Node) {
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
		if g.record {
			g.sent = append(g.sent, m)
		}
		if !g.cut[m.From.ID] && !g.cut[m.To.ID] && int(m.To.ID) <= len(g.nodes) {
			_ = g.nodes[m.To.ID-1].Step(m)
		}
	}
}

// ticks passes n ticks on every node.
func (g *memGroup) ticks(n int) {
	for range n {
		for _, node := range g.nodes {
			node.Tick()
		}
		g.settle()
	}
}

// leader returns the leader that the nodes which are not cut off have elected.
func (g *memGroup) leader() *agreement.Node {
	for _, n := range g.nodes {
		if st := n.Status(); st.Role == agreement.Leader && !g.cut[st.Self.ID] {
			return n
		}
	}
	return nil
}

func BenchmarkProposeToCommit(b *testing.B) {
	g := newMemGroup(b, agreement.Config{RetainEntries: 1000}, 3, 3)
	g.ticks(50)
	leader := g.leader()
	data := make([]byte, 200)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := leader.Propose(data); err != nil {
			b.Fatal(err)
		}
		g.settle()
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
