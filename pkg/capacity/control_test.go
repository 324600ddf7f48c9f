package capacity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/config"
	"rosemarygate/pkg/control/distribution"
	"rosemarygate/pkg/control/folder"
	"rosemarygate/pkg/control/state"
	"rosemarygate/pkg/control/totals"
	"rosemarygate/pkg/ident"
)

var (
	fileSizes  = []int{1000, 6000, 24_000}
	mergeSizes = []int{1000, 4000, 12_000}
)

// replica is a configuration state machine that is fed as a committed log would.
type replica struct {
	t     testing.TB
	m     *state.Machine
	index uint64
}

func fileName(i int) string { return fmt.Sprintf("%05d-service.yaml", i+1) }

func fileData(i, revision int) []byte {
	text := fmt.Sprintf("users: {acme: {services: {s%d: {port: %d, credential: some-credential-%d, classes: {tally: {share: 0.5, priority: 0}, label: {priority: 1}}}}}}\n", i, 1000+i, revision)
	return []byte(text + "# " + strings.Repeat("x", 500-len(text)-2))
}

func newReplica(t testing.TB, files int) *replica {
	r := &replica{t: t, m: state.New(state.Rules{
		Validate:         func([]*folder.File) error { return nil },
		LongestKeepAlive: func([]*folder.File) time.Duration { return 0 },
	})}
	var all []*controlpb.FileChange
	for i := range files {
		all = append(all, &controlpb.FileChange{Name: fileName(i), Data: fileData(i, 0)})
	}
	for part := range slices.Chunk(all, 2000) {
		r.push(part...)
	}
	return r
}

func (r *replica) push(files ...*controlpb.FileChange) *state.View {
	r.index++
	e := &controlpb.Entry{
		ChangeId: fmt.Sprint(r.index), TimeUnixMs: start.UnixMilli() + int64(r.index),
		Body: &controlpb.Entry_Push{Push: &controlpb.Push{BaseVersion: r.m.View().Version, Files: files}},
	}
	data, err := proto.Marshal(e)
	assert.NilError(r.t, err)
	reply, err := r.m.Apply(r.index, data)
	assert.NilError(r.t, err)
	assert.NilError(r.t, state.ReplyError(reply))
	return r.m.View()
}

// change changes the content of one file.
func (r *replica) change() *state.View {
	return r.push(&controlpb.FileChange{Name: fileName(0), Data: fileData(0, int(r.index))})
}

// Measures the configuration at a replica and at a daemon by the files of the folder.
func TestFolder(t *testing.T) {
	skipUnlessMeasuring(t)
	all := []series{
		{name: "state of a replica, live bytes", cost: func(n int) float64 {
			return Live(func() any { return newReplica(t, n) })
		}},
		{name: "replica: one change without validation, ns", cost: func(n int) float64 {
			r := newReplica(t, n)
			return ProcessorTime(50, func(int) { r.change() })
		}},
		{name: "replica: snapshot, ns", cost: func(n int) float64 {
			r := newReplica(t, n)
			return ProcessorTime(3, func(int) { _, _ = r.m.Snapshot() })
		}},
		{name: "replica: snapshot, bytes", cost: func(n int) float64 {
			data, _ := newReplica(t, n).m.Snapshot()
			return float64(len(data))
		}},
		{name: "daemon: copy of the folder, live bytes", cost: func(n int) float64 {
			data, _ := proto.Marshal(distribution.NewUpdate(newReplica(t, n).m.View(), 0))
			return Live(func() any { return []any{data, received(t, data)} })
		}},
		{name: "daemon: one change received and checked, ns", cost: func(n int) float64 {
			r := newReplica(t, n)
			daemon, _ := distribution.NewReceiver(nil)
			_, err := daemon.Receive(distribution.NewUpdate(r.m.View(), 0))
			assert.NilError(t, err)
			var updates []*controlpb.Update
			for range 50 {
				before := r.m.View().Version
				updates = append(updates, distribution.NewUpdate(r.change(), before))
			}
			return ProcessorTime(len(updates), func(i int) { _, _ = daemon.Receive(updates[i]) })
		}},
		{name: "one change to one daemon, bytes", cost: func(n int) float64 {
			r := newReplica(t, n)
			before := r.m.View().Version
			return float64(proto.Size(distribution.NewUpdate(r.change(), before)))
		}},
	}
	for _, s := range all {
		s.sizes, s.target = fileSizes, TargetServices
		s.run(t)
	}
}

func received(t testing.TB, data []byte) *distribution.Receiver {
	daemon, _ := distribution.NewReceiver(nil)
	u := new(controlpb.Update)
	assert.NilError(t, proto.Unmarshal(data, u))
	_, err := daemon.Receive(u)
	assert.NilError(t, err)
	return daemon
}

// Measures the merge of the whole folder, which follows each change at a daemon and validates
// it at a replica.
func TestMerge(t *testing.T) {
	skipUnlessMeasuring(t)
	merge := func(n int) *config.Folder {
		var files []config.File
		for i := range n {
			files = append(files, config.File{Name: fileName(i), Data: fileData(i, 0)})
		}
		f, err := config.FromFiles(files)
		assert.NilError(t, err)
		return f
	}
	for _, s := range []series{
		{name: "merge of a folder, ns", cost: func(n int) float64 {
			f := merge(n)
			return ProcessorTime(1, func(int) { _, _ = f.Merge() })
		}},
		{name: "merged configuration, live bytes", cost: func(n int) float64 {
			f := merge(n)
			return Live(func() any {
				cfg, err := f.Merge()
				assert.NilError(t, err)
				return []any{f, cfg}
			})
		}},
	} {
		s.sizes, s.target = mergeSizes, TargetServices
		s.run(t)
	}
}

// Measures the state of a replica by accepted changes.
func TestHistory(t *testing.T) {
	skipUnlessMeasuring(t)
	after := func(n int) *replica {
		r := newReplica(t, 100)
		for range n {
			r.change()
		}
		return r
	}
	live := func(n int) float64 { return Live(func() any { return after(n) }) }
	snapshot := func(n int) float64 {
		data, _ := after(n).m.Snapshot()
		return float64(len(data))
	}
	// The state keeps the last 10,000 changes and the last 65,536 replies.
	few, many := []int{2000, 5000, 10_000}, []int{12_000, 18_000, 24_000}
	for _, s := range []series{
		{name: "up to 10,000 changes, live bytes of the state", sizes: few, target: 10_000, cost: live},
		{name: "more changes, live bytes of the state", sizes: many, target: 65_536, cost: live},
		{name: "up to 10,000 changes, bytes of the snapshot", sizes: few, target: 10_000, cost: snapshot},
		{name: "more changes, bytes of the snapshot", sizes: many, target: 65_536, cost: snapshot},
	} {
		s.run(t)
	}
}

// Measures the fan-out of one change by a replica to the daemons that watch it.
func TestFanOut(t *testing.T) {
	skipUnlessMeasuring(t)
	subscribed := func(n int) (*replica, *distribution.Publisher) {
		r := newReplica(t, 1000)
		p := distribution.NewPublisher(r.m.View())
		for i := range n {
			name := fmt.Sprintf("host-%05d", i)
			p.Subscribe(start, 1, &controlpb.WatchRequest{Daemon: name})
			p.Acknowledge(start, name, r.m.View().Version)
		}
		return r, p
	}
	for _, s := range []series{
		{name: "fan-out of one change with acknowledgements, ns", cost: func(n int) float64 {
			r, p := subscribed(n)
			return ProcessorTime(50, func(int) {
				v := r.change()
				for _, send := range p.SetView(start, v) {
					_, _ = proto.Marshal(send.Update) // today once for each daemon
					p.Acknowledge(start, send.Daemon, v.Version)
				}
			})
		}},
		{name: "publisher, live bytes", cost: func(n int) float64 {
			return Live(func() any { r, p := subscribed(n); return []any{r, p} })
		}},
	} {
		s.sizes, s.target = localSizes, TargetPerCentre
		s.run(t)
	}
}

func counts(n int) totals.Counts {
	c := totals.Counts{}
	for i := range n {
		c[totals.Key{User: "acme", Service: fmt.Sprint("service-", i), Kind: 1}] = 100_000
	}
	return c
}

// Measures daily totals at a daemon and at a replica by the counters of a daemon, and the book of
// one day, its file and a query of it by daemons with 30 counters each.
func TestTotals(t *testing.T) {
	skipUnlessMeasuring(t)
	report := func(daemon, counters int) *controlpb.ReportRequest {
		a := totals.NewAccumulator(fmt.Sprintf("host-%05d", daemon), 1<<40)
		for k := range counts(counters) {
			a.Add(start, k, 100_000)
		}
		return a.Report(1)
	}
	book := func(daemons int) *totals.Book {
		b := totals.NewBook("host", 62)
		for i := range daemons {
			b.Report(start, report(i, 30))
		}
		return b
	}
	byCounters := []series{
		{name: "report, bytes, by counters that changed", cost: func(n int) float64 { return float64(proto.Size(report(1, n))) }},
		{name: "replica: merge of a report, ns, by counters", cost: func(n int) float64 {
			b, r := totals.NewBook("host", 62), report(1, n)
			return ProcessorTime(50, func(int) { b.Report(start, r) })
		}},
		{name: "daemon: counters of a day, live bytes", cost: func(n int) float64 {
			c := counts(n)
			return Live(func() any {
				a := totals.NewAccumulator("host", 1)
				for k := range c {
					a.Add(start, k, 1)
				}
				return []any{a, c}
			})
		}},
	}
	for _, s := range byCounters {
		s.sizes, s.target = []int{30, 300, 3000}, 30
		s.run(t)
	}
	byDaemons := []series{
		{name: "replica: book of a day, live bytes, by daemons", cost: func(n int) float64 { return Live(func() any { return book(n) }) }},
		{name: "replica: file of a day, bytes", cost: func(n int) float64 { return float64(proto.Size(book(n).Day(totals.DayOf(start)))) }},
		{name: "replica: its part of a query of a day, ns", cost: func(n int) float64 {
			b := book(n)
			return ProcessorTime(5, func(int) { b.Choose(b.Day(totals.DayOf(start)), totals.Query{}) })
		}},
		{name: "replica: sum of a day over the answers of 3 replicas, ns", cost: func(n int) float64 {
			t := book(n).Day(totals.DayOf(start))
			return ProcessorTime(5, func(int) { totals.Combine(totals.DayOf(start), []*controlpb.DayTotals{t, t, t}) })
		}},
	}
	for _, s := range byDaemons {
		s.sizes, s.target = localSizes, TargetPerCentre
		s.run(t)
	}
}

// group is a set of replicas whose messages arrive at once and whose storage is instant.
type group struct {
	nodes []*agreement.Node
	sent  int
	bytes int
}

func newGroup(t testing.TB, voters, size int) *group {
	var members []agreement.Member
	for i := range size {
		r := agreement.Replica{ID: ident.DaemonID(i + 1), Incarnation: 1}
		members = append(members, agreement.Member{Replica: r, Voter: i < voters})
	}
	g := &group{}
	for i, m := range members {
		st := agreement.FoundingState(m.Replica, 1, agreement.NewMembership(members...))
		n, err := agreement.New(agreement.Config{RetainEntries: 1000}, st, rand.New(rand.NewPCG(uint64(i), 7)))
		assert.NilError(t, err)
		g.nodes = append(g.nodes, n)
	}
	for range 200 {
		g.tick()
	}
	return g
}

func (g *group) tick() {
	for _, n := range g.nodes {
		n.Tick()
	}
	g.settle()
}

func (g *group) settle() {
	for busy := true; busy; {
		busy = false
		for _, n := range g.nodes {
			if n.HasReady() {
				busy = true
				rd := n.Ready()
				n.Advance(rd)
				g.deliver(rd.Messages)
			}
		}
	}
}

func (g *group) deliver(messages []agreement.Message) {
	for _, m := range messages {
		g.sent++
		g.bytes += proto.Size(agreement.MessageProto(&m))
		_ = g.nodes[m.To.ID-1].Step(m)
	}
}

func (g *group) leader() *agreement.Node {
	for _, n := range g.nodes {
		if n.Status().Role == agreement.Leader {
			return n
		}
	}
	return nil
}

// Measures what one change costs the group, with 5 voters and learners for the rest, and what it
// costs while idle.
func TestAgreement(t *testing.T) {
	skipUnlessMeasuring(t)
	data := make([]byte, 600)
	perChange := func(of func(g *group) int) func(int) float64 {
		return func(n int) float64 {
			g := newGroup(t, 5, n)
			leader := g.leader()
			before := of(g)
			const changes = 100
			for range changes {
				_, err := leader.Propose(data)
				assert.NilError(t, err)
				g.settle()
			}
			return float64(of(g)-before) / changes
		}
	}
	all := []series{
		{name: "group: messages of one change", cost: perChange(func(g *group) int { return g.sent })},
		{name: "group: bytes of one change of 600 bytes", cost: perChange(func(g *group) int { return g.bytes })},
		{name: "group: one change, ns, all replicas together", cost: func(n int) float64 {
			g := newGroup(t, 5, n)
			leader := g.leader()
			return ProcessorTime(200, func(int) { _, _ = leader.Propose(data); g.settle() })
		}},
		{name: "group: bytes of a tick while idle", cost: func(n int) float64 {
			g := newGroup(t, 5, n)
			before := g.bytes
			for range 100 {
				g.tick()
			}
			return float64(g.bytes-before) / 100
		}},
	}
	for _, s := range all {
		s.sizes, s.target = []int{5, 15, 55}, 55
		s.run(t)
	}
}
