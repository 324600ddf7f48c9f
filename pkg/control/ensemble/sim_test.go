package ensemble

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/ident"
)

// catchUpRounds is the time after its return in which a lost host still counts as lost.
const catchUpRounds = 40

// hops is the number of messages that may follow each other in a tick, so that one takes 20 ms: the
// longest delay between the data centres of a deployment.
const hops = 5

// disk is what a host has synced.
type disk struct {
	state agreement.State
	empty bool
}

func (d *disk) save(rd *agreement.Ready) {
	st := &d.state
	if rd.Snapshot != nil {
		st.Snapshot, st.Entries = *rd.Snapshot, nil
	}
	if len(rd.Entries) > 0 {
		keep := rd.Entries[0].Index - st.Snapshot.Index - 1
		st.Entries = append(slices.Clone(st.Entries[:keep]), rd.Entries...)
	}
	if rd.HardState != nil {
		st.HardState = *rd.HardState
	}
	d.empty = false
}

type simHost struct {
	address  netip.AddrPort
	disk     disk
	node     *agreement.Node // nil while the process is down
	answered answered
	version  uint64
	applied  uint64
	lostTo   int // until this round the host counts as lost
	downTo   int
	frozenTo int
	cutTo    int
	gone     bool
	acks     map[proposal]uint64 // version
	reads    map[uint64]uint64   // context: version that the read must return
	ready    []agreement.ReadState
	used     ident.Incarnation
}

// proposal names an entry: a later leader may put another one at its index.
type proposal struct{ term, index uint64 }

type sim struct {
	rng       *rand.Rand
	round     int
	rounds    int // of the schedule
	tolerated int
	hosts     []*simHost
	seeds     []netip.AddrPort
	queue     []agreement.Message
	next      uint64 // version
	accepted  uint64 // highest acknowledged version
	clock     uint64 // of incarnations
	used      map[uint64]bool
	violation string
	history   history
	// staleReads switches off the confirmation of reads.
	staleReads bool
	// refounds switches off the rule that an empty disk founds a group only at the first start.
	refounds bool
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func newSim(seed uint64) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 9)), clock: 1000, used: map[uint64]bool{}, rounds: scheduleSize}
	size := 3 + s.rng.IntN(4)
	s.tolerated = 1
	if size >= 5 {
		s.tolerated = 1 + s.rng.IntN(2)
	}
	for i := range 3 {
		s.seeds = append(s.seeds, address(i+1))
	}
	for i := range size {
		h := &simHost{address: address(i + 1), disk: disk{empty: true}}
		s.hosts = append(s.hosts, h)
		s.start(h, true)
	}
	return s
}

func (s *sim) at() time.Time { return time.Unix(0, 0).Add(time.Duration(s.round) * tick) }

func (s *sim) start(h *simHost, first bool) {
	g := &Group{cfg: Config{Self: h.address, Found: first || s.refounds, Seeds: func() []netip.AddrPort { return s.seeds }}, self: MemberID(h.address), lastSelf: h.used}
	if s.refounds {
		g.lastSelf = 0
	}
	if h.disk.empty {
		self, founding := g.identity()
		if founding != nil {
			h.disk.state = *founding
		} else {
			self.Incarnation = s.incarnation()
			h.disk.state = agreement.State{Self: self}
		}
		h.used = self.Incarnation
		h.disk.empty = false
	}
	cfg := agreement.Config{ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, ManualRepair: true, RetainEntries: 4}
	node, err := agreement.New(cfg, h.disk.state, rand.New(rand.NewPCG(s.rng.Uint64(), 1)))
	if err != nil {
		s.fail("host %s does not start: %v", h.address, err)
		return
	}
	h.node, h.answered, h.acks, h.reads, h.ready = node, answered{}, map[proposal]uint64{}, map[uint64]uint64{}, nil
	h.version, h.applied = 0, h.disk.state.Snapshot.Index
	if h.applied > 0 {
		h.apply(s, h.disk.state.Snapshot.Data)
	}
	s.process(h)
}

// incarnation returns one from a clock that is sometimes set back, but never one that was used.
func (s *sim) incarnation() ident.Incarnation {
	s.clock += 100
	at := s.clock
	if s.rng.IntN(4) == 0 {
		at -= uint64(s.rng.IntN(500))
	}
	for s.used[at] {
		at++
	}
	s.used[at] = true
	return ident.Incarnation(at)
}

func (s *sim) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("round %d: ", s.round) + fmt.Sprintf(format, args...)
	}
}

func (h *simHost) apply(s *sim, data []byte) {
	d, err := unmarshal(data)
	if err != nil {
		s.fail("entry cannot be read: %v", err)
	}
	h.version = max(h.version, d.Version)
}

func (s *sim) process(h *simHost) {
	for h.node != nil && h.node.HasReady() {
		rd := h.node.Ready()
		h.disk.save(&rd)
		s.queue = append(s.queue, rd.Messages...)
		if rd.Snapshot != nil {
			h.version, h.applied = 0, rd.Snapshot.Index
			h.apply(s, rd.Snapshot.Data)
		}
		for _, e := range rd.Committed {
			h.applied = e.Index
			if e.Kind == agreement.EntryData {
				h.apply(s, e.Data)
			}
			if v, ok := h.acks[proposal{e.Term, e.Index}]; ok {
				s.accepted = max(s.accepted, v)
				s.history.submitted(v)
			}
		}
		h.ready = append(h.ready, rd.Reads...)
		h.node.Advance(rd)
	}
	for _, r := range h.ready {
		if want, ok := h.reads[r.Context]; ok && r.Index <= h.applied {
			delete(h.reads, r.Context)
			s.history.answered(r.Context, h.version)
			if h.version < want {
				s.fail("host %s read version %d, %d was acknowledged", h.address, h.version, want)
			}
		}
	}
	h.ready = slices.DeleteFunc(h.ready, func(r agreement.ReadState) bool { return r.Index <= h.applied })
}

func (s *sim) host(id ident.DaemonID) *simHost {
	for _, h := range s.hosts {
		if MemberID(h.address) == id {
			return h
		}
	}
	return nil
}

// runs reports whether a host takes part in this round.
func (s *sim) runs(h *simHost) bool { return h.node != nil && s.round >= h.frozenTo }

func (s *sim) deliver() {
	for range hops {
		s.deliverOnce()
	}
}

func (s *sim) deliverOnce() {
	batch := s.queue
	s.queue = nil
	s.rng.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
	for _, m := range batch {
		from, to := s.host(m.From.ID), s.host(m.To.ID)
		if to == nil || !s.runs(to) || s.round < to.cutTo || from != nil && s.round < from.cutTo || s.rng.IntN(100) == 0 {
			continue
		}
		if m.Kind == agreement.MsgJoin {
			s.join(to, m)
		} else if err := to.node.Step(m); err == agreement.ErrDiverged {
			s.fail("host %s: %v", to.address, err)
		}
		s.process(to)
	}
}

func (s *sim) join(h *simHost, m agreement.Message) {
	st := h.node.Status()
	passOn, add := decideJoin(&st, m)
	if passOn != nil {
		s.queue = append(s.queue, *passOn)
	}
	if add {
		_, _ = h.node.ProposeChange(agreement.Change{Kind: agreement.AddLearner, Replica: m.From}) // asked again if refused
	}
}

// tick lets the hosts work for one tick.
func (s *sim) tick() {
	for _, h := range s.hosts {
		if !s.runs(h) {
			continue
		}
		h.node.Tick()
		if members := h.node.Members(); members != nil {
			if change, ok := nextChange(h.answered.views(s.at(), members), s.tolerated); ok {
				_, _ = h.node.ProposeChange(change)
			}
		} else {
			clear(h.answered)
		}
		st := h.node.Status()
		if !st.Membership.Contains(st.Self) && s.round%3 == 0 {
			for _, a := range s.seeds {
				s.queue = append(s.queue, agreement.Message{Kind: agreement.MsgJoin, From: st.Self, To: agreement.Replica{ID: MemberID(a)}})
			}
		}
		s.process(h)
		if st.Removed || st.Superseded {
			h.node, h.disk = nil, disk{empty: true}
			s.start(h, false)
		}
	}
}

// clients submit a document and read at random hosts.
func (s *sim) clients() {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	if !s.runs(h) {
		return
	}
	if h.node.Status().Membership.Voters() >= votersFor(s.tolerated) {
		s.next++
		data, err := marshal(Document{Version: s.next})
		if err != nil {
			s.fail("%v", err)
		}
		if index, err := h.node.Propose(data); err == nil {
			h.acks[proposal{h.node.Status().Term, index}] = s.next
			s.history.submit(s.next)
		}
	}
	reader := s.hosts[s.rng.IntN(len(s.hosts))]
	if s.runs(reader) {
		context := s.rng.Uint64()
		s.history.ask(context)
		if s.staleReads {
			s.history.answered(context, reader.version)
		} else if reader.node.ReadIndex(context) == nil {
			reader.reads[context] = s.accepted
		}
		s.process(reader)
	}
	s.process(h)
	if s.rng.IntN(20) == 0 && h.node.Status().Applied > h.disk.state.Snapshot.Index+8 {
		s.compact(h)
	}
}

func (s *sim) compact(h *simHost) {
	data, err := marshal(Document{Version: h.version})
	if err != nil {
		s.fail("%v", err)
		return
	}
	if snap, err := h.node.Compact(h.applied, data); err == nil {
		h.disk.state.Snapshot, h.disk.state.Entries = snap, slices.Clone(h.node.EntriesAfter(snap.Index))
	}
}
