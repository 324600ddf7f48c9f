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

// replica applies entries to a configuration state machine as a committed log does.
type replica struct {
	t       testing.TB
	machine *state.Machine
	index   uint64
}

func fileName(i int) string { return fmt.Sprintf("%05d-service.yaml", i+1) }

func fileData(i, revision int) []byte {
	text := fmt.Sprintf("users: {acme: {services: {s%d: {port: %d, credential: some-credential-%d, classes: {tally: {share: 0.5, priority: 0}, label: {priority: 1}}}}}}\n", i, 1000+i, revision)
	return []byte(text + "# " + strings.Repeat("x", 500-len(text)-2))
}

func newReplica(t testing.TB, files int) *replica {
	r := &replica{t: t, machine: state.New(state.Rules{
		Validate:         func([]*folder.File) error { return nil },
		LongestKeepAlive: func([]*folder.File) time.Duration { return 0 },
	})}
	var changes []*controlpb.FileChange
	for i := range files {
		changes = append(changes, &controlpb.FileChange{Name: fileName(i), Data: fileData(i, 0)})
	}
	for chunk := range slices.Chunk(changes, 2000) {
		r.push(chunk...)
	}
	return r
}

func (r *replica) push(files ...*controlpb.FileChange) *state.View {
	r.index++
	entry := &controlpb.Entry{
		ChangeId: fmt.Sprint(r.index), TimeUnixMs: startTime.UnixMilli() + int64(r.index),
		Body: &controlpb.Entry_Push{Push: &controlpb.Push{BaseVersion: r.machine.View().Version, Files: files}},
	}
	data, err := proto.Marshal(entry)
	assert.NilError(r.t, err)
	reply, err := r.machine.Apply(r.index, data)
	assert.NilError(r.t, err)
	assert.NilError(r.t, state.ReplyError(reply))
	return r.machine.View()
}

// changeFile pushes new content of one file.
func (r *replica) changeFile() *state.View {
	return r.push(&controlpb.FileChange{Name: fileName(0), Data: fileData(0, int(r.index))})
}

// TestFolder measures the cost of the configuration at a replica and at a daemon by the number of
// files in the folder.
func TestFolder(t *testing.T) {
	skipUnlessMeasuring(t)
	all := []series{
		{name: "state of a replica, live bytes", cost: func(n int) float64 {
			return LiveBytes(func() any { return newReplica(t, n) })
		}},
		{name: "replica: one change without validation, ns", cost: func(n int) float64 {
			r := newReplica(t, n)
			return ProcessorTime(50, func(int) { r.changeFile() })
		}},
		{name: "replica: snapshot, ns", cost: func(n int) float64 {
			r := newReplica(t, n)
			return ProcessorTime(3, func(int) { _, _ = r.machine.Snapshot() })
		}},
		{name: "replica: snapshot, bytes", cost: func(n int) float64 {
			data, _ := newReplica(t, n).machine.Snapshot()
			return float64(len(data))
		}},
		{name: "daemon: copy of the folder, live bytes", cost: func(n int) float64 {
			data, _ := proto.Marshal(distribution.NewUpdate(newReplica(t, n).machine.View(), 0))
			return LiveBytes(func() any { return []any{data, receiverWithUpdate(t, data)} })
		}},
		{name: "daemon: one change received and checked, ns", cost: func(n int) float64 {
			r := newReplica(t, n)
			daemon, _ := distribution.NewReceiver(nil)
			_, err := daemon.Receive(distribution.NewUpdate(r.machine.View(), 0))
			assert.NilError(t, err)
			var updates []*controlpb.Update
			for range 50 {
				before := r.machine.View().Version
				updates = append(updates, distribution.NewUpdate(r.changeFile(), before))
			}
			return ProcessorTime(len(updates), func(i int) { _, _ = daemon.Receive(updates[i]) })
		}},
		{name: "one change to one daemon, bytes", cost: func(n int) float64 {
			r := newReplica(t, n)
			before := r.machine.View().Version
			return float64(proto.Size(distribution.NewUpdate(r.changeFile(), before)))
		}},
	}
	for _, s := range all {
		s.sizes, s.target = fileSizes, TargetServices
		s.run(t)
	}
}

// receiverWithUpdate returns a receiver that has applied an encoded update.
func receiverWithUpdate(t testing.TB, data []byte) *distribution.Receiver {
	daemon, _ := distribution.NewReceiver(nil)
	u := new(controlpb.Update)
	assert.NilError(t, proto.Unmarshal(data, u))
	_, err := daemon.Receive(u)
	assert.NilError(t, err)
	return daemon
}

// TestMerge measures the merge of the whole folder, which a daemon does after each change and a
// replica does to validate a change.
func TestMerge(t *testing.T) {
	skipUnlessMeasuring(t)
	newFolder := func(n int) *config.Folder {
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
			f := newFolder(n)
			return ProcessorTime(1, func(int) { _, _ = f.Merge() })
		}},
		{name: "merged configuration, live bytes", cost: func(n int) float64 {
			f := newFolder(n)
			return LiveBytes(func() any {
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

// TestHistory measures the state of a replica by the number of accepted changes.
func TestHistory(t *testing.T) {
	skipUnlessMeasuring(t)
	replicaAfter := func(n int) *replica {
		r := newReplica(t, 100)
		for range n {
			r.changeFile()
		}
		return r
	}
	liveBytes := func(n int) float64 { return LiveBytes(func() any { return replicaAfter(n) }) }
	snapshot := func(n int) float64 {
		data, _ := replicaAfter(n).machine.Snapshot()
		return float64(len(data))
	}
	// The state keeps the last 10,000 changes and the last 65,536 replies.
	few, many := []int{2000, 5000, 10_000}, []int{12_000, 18_000, 24_000}
	for _, s := range []series{
		{name: "up to 10,000 changes, live bytes of the state", sizes: few, target: 10_000, cost: liveBytes},
		{name: "more changes, live bytes of the state", sizes: many, target: 65_536, cost: liveBytes},
		{name: "up to 10,000 changes, bytes of the snapshot", sizes: few, target: 10_000, cost: snapshot},
		{name: "more changes, bytes of the snapshot", sizes: many, target: 65_536, cost: snapshot},
	} {
		s.run(t)
	}
}

// TestFanOut measures the fan-out of one change from a replica to its subscribed daemons.
func TestFanOut(t *testing.T) {
	skipUnlessMeasuring(t)
	subscribed := func(n int) (*replica, *distribution.Publisher) {
		r := newReplica(t, 1000)
		p := distribution.NewPublisher(r.machine.View())
		for i := range n {
			name := fmt.Sprintf("host-%05d", i)
			p.Subscribe(startTime, 1, &controlpb.WatchRequest{Daemon: name})
			p.Acknowledge(startTime, name, r.machine.View().Version)
		}
		return r, p
	}
	for _, s := range []series{
		{name: "fan-out of one change with acknowledgements, ns", cost: func(n int) float64 {
			r, p := subscribed(n)
			return ProcessorTime(50, func(int) {
				v := r.changeFile()
				for _, send := range p.SetView(startTime, v) {
					_, _ = proto.Marshal(send.Update) // the update is marshalled for each daemon
					p.Acknowledge(startTime, send.Daemon, v.Version)
				}
			})
		}},
		{name: "publisher, live bytes", cost: func(n int) float64 {
			return LiveBytes(func() any { r, p := subscribed(n); return []any{r, p} })
		}},
	} {
		s.sizes, s.target = dataCentreSizes, TargetDaemonsPerDataCentre
		s.run(t)
	}
}

func counterValues(n int) totals.Counts {
	c := totals.Counts{}
	for i := range n {
		c[totals.Key{User: "acme", Service: fmt.Sprint("service-", i), Kind: 1}] = 100_000
	}
	return c
}

// TestTotals measures daily totals at a daemon and at a replica by the number of counters of a
// daemon. It measures the book of one day, its file and a query of it by the number of daemons with
// 30 counters each.
func TestTotals(t *testing.T) {
	skipUnlessMeasuring(t)
	newReport := func(daemon, counters int) *controlpb.ReportRequest {
		a := totals.NewAccumulator(fmt.Sprintf("host-%05d", daemon), 1<<40)
		for k := range counterValues(counters) {
			a.Add(startTime, k, 100_000)
		}
		return a.Report(1)
	}
	newBook := func(daemons int) *totals.Book {
		b := totals.NewBook("host", 62)
		for i := range daemons {
			b.Report(startTime, newReport(i, 30))
		}
		return b
	}
	byCounters := []series{
		{name: "report, bytes, by counters that changed", cost: func(n int) float64 { return float64(proto.Size(newReport(1, n))) }},
		{name: "replica: merge of a report, ns, by counters", cost: func(n int) float64 {
			b, r := totals.NewBook("host", 62), newReport(1, n)
			return ProcessorTime(50, func(int) { b.Report(startTime, r) })
		}},
		{name: "daemon: counters of a day, live bytes", cost: func(n int) float64 {
			c := counterValues(n)
			return LiveBytes(func() any {
				a := totals.NewAccumulator("host", 1)
				for k := range c {
					a.Add(startTime, k, 1)
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
		{name: "replica: book of a day, live bytes, by daemons", cost: func(n int) float64 { return LiveBytes(func() any { return newBook(n) }) }},
		{name: "replica: file of a day, bytes", cost: func(n int) float64 { return float64(proto.Size(newBook(n).EncodeDay(totals.DayOf(startTime)))) }},
		{name: "replica: its part of a query of a day, ns", cost: func(n int) float64 {
			b := newBook(n)
			return ProcessorTime(5, func(int) { b.Select(b.EncodeDay(totals.DayOf(startTime)), totals.Query{}) })
		}},
		{name: "replica: sum of a day over the answers of 3 replicas, ns", cost: func(n int) float64 {
			t := newBook(n).EncodeDay(totals.DayOf(startTime))
			return ProcessorTime(5, func(int) { totals.Combine(totals.DayOf(startTime), []*controlpb.DayTotals{t, t, t}) })
		}},
	}
	for _, s := range byDaemons {
		s.sizes, s.target = dataCentreSizes, TargetDaemonsPerDataCentre
		s.run(t)
	}
}

// group is a set of replicas with immediate message delivery and storage.
type group struct {
	nodes        []*agreement.Node
	sentMessages int
	sentBytes    int
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
	g.deliverPending()
}

// deliverPending processes replicas until none has work or messages left.
func (g *group) deliverPending() {
	for progressed := true; progressed; {
		progressed = false
		for _, n := range g.nodes {
			if n.HasReady() {
				progressed = true
				rd := n.Ready()
				n.Advance(rd)
				g.deliver(rd.Messages)
			}
		}
	}
}

func (g *group) deliver(messages []agreement.Message) {
	for _, m := range messages {
		g.sentMessages++
		g.sentBytes += proto.Size(agreement.MessageProto(&m))
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

// TestAgreement measures the cost of one change and of an idle tick for a group of 5 voters and
// otherwise learners.
func TestAgreement(t *testing.T) {
	skipUnlessMeasuring(t)
	data := make([]byte, 600)
	perChange := func(counter func(g *group) int) func(int) float64 {
		return func(n int) float64 {
			g := newGroup(t, 5, n)
			leader := g.leader()
			before := counter(g)
			const changes = 100
			for range changes {
				_, err := leader.Propose(data)
				assert.NilError(t, err)
				g.deliverPending()
			}
			return float64(counter(g)-before) / changes
		}
	}
	all := []series{
		{name: "group: messages of one change", cost: perChange(func(g *group) int { return g.sentMessages })},
		{name: "group: bytes of one change of 600 bytes", cost: perChange(func(g *group) int { return g.sentBytes })},
		{name: "group: one change, ns, all replicas together", cost: func(n int) float64 {
			g := newGroup(t, 5, n)
			leader := g.leader()
			return ProcessorTime(200, func(int) { _, _ = leader.Propose(data); g.deliverPending() })
		}},
		{name: "group: bytes of a tick while idle", cost: func(n int) float64 {
			g := newGroup(t, 5, n)
			before := g.sentBytes
			for range 100 {
				g.tick()
			}
			return float64(g.sentBytes-before) / 100
		}},
	}
	for _, s := range all {
		s.sizes, s.target = []int{5, 15, 55}, 55
		s.run(t)
	}
}
