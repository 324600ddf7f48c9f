package agreement_test

import (
	"encoding/binary"
	"math/rand/v2"

	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/storage"
	"rosemarygate/pkg/storage/faultfs"
)

const (
	testGroup    = 77
	compactEvery = 12 // entries
	dataDir      = "/data"
)

// switches turn protections off, to show that the checks find what they prevent.
type switches struct{ noSync, noLearnerRule, noPreVote bool }

type host struct {
	id        ident.DaemonID
	fs        *faultfs.FS
	store     *storage.Store
	node      *agreement.Node
	self      agreement.Replica
	next      ident.Incarnation // for an empty folder
	reg       *register
	reads     map[uint64]uint64 // released reads by context: index
	snapIndex uint64
	restartAt int
	pausedTo  int  // no ticks before this round
	frozenTo  int  // the process does nothing before this round
	removed   bool // the operator proposed to remove it
	keeps     bool // it keeps its files after the removal and is added again later
	gone      bool // the removal of a host that keeps its files is committed
}

func (h *host) alive() bool { return h.node != nil }

type packet struct {
	at int
	m  agreement.Message
}

// sim runs one group on a simulated network in rounds of one tick.
type sim struct {
	rng     *rand.Rand
	off     switches
	cfg     agreement.Config
	hosts   []*host
	queue   []packet
	round   int
	clock   int64
	blocked map[[2]ident.DaemonID]int // until round
	loss    float64
	rate    int // faults in a thousand rounds are scaled by this

	patience int // rounds after which a client tries another host
	pause    int // mean rounds between a client's operations
	check    *checker
	clients  []*client
	stats    stats
}

type stats struct {
	crashes, lostDisks, partitions, answered, reads, promotions, removals, readded, terms int
}

func newSim(seed uint64, off switches) *sim {
	rng := rand.New(rand.NewPCG(seed, 0x5eed))
	s := &sim{rng: rng, off: off, blocked: map[[2]ident.DaemonID]int{}, check: newChecker(), loss: rng.Float64() * 0.1}
	size := 3 + 2*rng.IntN(2)
	var members []agreement.Member
	for i := range size {
		id := ident.DaemonID(i + 1)
		s.cfg.Peers = append(s.cfg.Peers, id)
		self := agreement.Replica{ID: id, Incarnation: 1}
		members = append(members, agreement.Member{Replica: self, Voter: true})
		s.hosts = append(s.hosts, &host{id: id, next: 1, fs: faultfs.New(rng)})
	}
	if off.noPreVote {
		s.cfg = s.cfg.WithoutPreVote()
	}
	s.cfg.ElectionTicks = []int{4, 6, 10}[rng.IntN(3)]
	s.rate = 1 + rng.IntN(4)
	s.patience = 5 + rng.IntN(30)
	s.pause = 2 + rng.IntN(12)
	s.cfg.RetainEntries = uint64(1 + rng.IntN(10))
	s.cfg.MaxInflightBytes = 200
	s.cfg.MaxMessageBytes = 100
	if rng.IntN(4) == 0 {
		members = members[:1] // the others join as learners
	}
	founders := agreement.NewMembership(members...)
	s.check.committed = confIndex{1, founders}
	for i, h := range s.hosts {
		var founding *agreement.State
		if i < len(members) {
			st := agreement.FoundingState(members[i].Replica, testGroup, founders)
			founding = &st
		}
		s.open(h, founding)
		h.fs.IgnoreFileSync = off.noSync
	}
	for i := range 4 {
		s.clients = append(s.clients, &client{number: i})
	}
	return s
}

// open starts a host's process from its disk.
func (s *sim) open(h *host, founding *agreement.State) {
	self := agreement.Replica{ID: h.id, Incarnation: h.next}
	store, st, err := storage.Open(h.fs, dataDir, storage.Options{Self: self, SegmentBytes: 400, Founding: founding})
	if err != nil {
		s.openFailed(h, err)
		return
	}
	rng := rand.New(rand.NewPCG(s.rng.Uint64(), 1))
	node, err := agreement.New(s.cfg, st, rng)
	if err != nil {
		s.check.fail(brokenReplay, "%s: %v", st.Self, err)
		return
	}
	h.store, h.node, h.self = store, node, st.Self
	h.reads = map[uint64]uint64{}
	h.reg = newRegister()
	s.restore(h, st.Snapshot)
}

func (s *sim) openFailed(h *host, err error) {
	if isInjected(err) {
		s.crash(h)
		return
	}
	s.check.fail(unreadable, "host %d: %v", h.id, err)
}

func (s *sim) restore(h *host, snap agreement.Snapshot) {
	h.reg = newRegister()
	for data := snap.Data; len(data) > 0; data = data[8:] {
		h.reg.append(binary.BigEndian.Uint64(data))
	}
	h.reg.applied, h.snapIndex = snap.Index, snap.Index
	s.check.observeState(h.self, h.reg)
}

// crash ends a host's process, with or without loss of power.
func (s *sim) crash(h *host) {
	s.stats.crashes++
	h.node, h.store = nil, nil
	if s.rng.IntN(10) < 7 {
		h.fs.Crash()
	} else {
		h.fs.Restart()
	}
	h.restartAt = s.round + s.rng.IntN(3)
	if s.rng.IntN(2) == 0 {
		h.restartAt += s.rng.IntN(40)
	}
}

// mayLose reports whether the group may lose a host's disk: without it, a majority of the voters
// of any membership in effect still has its disk. Otherwise accepted changes can be lost rightly.
// A learner counts as if it were promoted at this moment, when the loss is not yet detected.
func (s *sim) mayLose(h *host) bool {
	for _, c := range s.check.memberships() {
		if !s.majorityWithout(h, c.membership, agreement.None) {
			return false
		}
		for _, m := range c.membership {
			if !m.Voter && !s.majorityWithout(h, c.membership, m.Replica) {
				return false
			}
		}
	}
	return true
}

// majorityWithout reports whether a majority of the voters and one more replica have their disks,
// apart from h. A host that is neither does not matter.
func (s *sim) majorityWithout(h *host, members agreement.Membership, more agreement.Replica) bool {
	voters, intact, concerned := 0, 0, false
	for _, m := range members {
		if !m.Voter && m.Replica != more {
			continue
		}
		voters++
		concerned = concerned || m.Replica == h.self
		if o := s.hosts[m.Replica.ID-1]; o != h && o.self == m.Replica {
			intact++
		}
	}
	return !concerned || intact > voters/2
}

func (s *sim) loseDisk(h *host) {
	if !s.mayLose(h) {
		return
	}
	s.crash(h)
	s.stats.lostDisks++
	h.fs.LoseDisk()
	if !s.off.noLearnerRule {
		h.next++
	}
	h.self = agreement.None
}

// send puts a message on the network, which may lose, duplicate and delay it.
func (s *sim) send(m agreement.Message) {
	if s.blocked[[2]ident.DaemonID{m.From.ID, m.To.ID}] > s.round || s.rng.Float64() < s.loss {
		return
	}
	copies := 1
	if s.rng.Float64() < s.loss/2 {
		copies = 2
	}
	for range copies {
		delay := s.rng.IntN(3)
		if s.rng.IntN(100) == 0 {
			delay = s.rng.IntN(60)
		}
		s.queue = append(s.queue, packet{s.round + delay, m})
	}
}

func (s *sim) deliver() {
	due := s.queue
	s.queue = nil
	s.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, p := range due {
		h := s.hosts[p.m.To.ID-1]
		if p.at > s.round || s.round < h.frozenTo {
			s.queue = append(s.queue, p)
			continue
		}
		if !h.alive() || s.blocked[[2]ident.DaemonID{p.m.From.ID, p.m.To.ID}] > s.round {
			continue
		}
		if err := h.node.Step(p.m); err == agreement.ErrDiverged {
			s.check.fail(diverged, "%s: %v", h.self, err)
		}
	}
}

// pump performs a host's ready work as a runner does.
func (s *sim) pump(h *host) {
	for h.alive() && h.node.HasReady() {
		rd := h.node.Ready()
		if err := s.persist(h, rd); err != nil {
			s.crash(h)
			return
		}
		for _, m := range rd.Messages {
			s.send(m)
		}
		s.apply(h, rd)
		h.node.Advance(rd)
		st := h.node.Status()
		if st.Role == agreement.Leader {
			s.check.observeLeader(st.Term, h.self)
		}
		if err := s.compact(h); err != nil {
			s.crash(h)
			return
		}
	}
}

func (s *sim) persist(h *host, rd agreement.Ready) error {
	for _, e := range rd.Entries {
		if e.Kind == agreement.EntryMembership {
			s.check.proposed = append(s.check.proposed, confIndex{e.Index, e.Membership})
		}
	}
	if rd.Snapshot != nil {
		if err := h.store.SaveSnapshot(*rd.Snapshot, nil); err != nil {
			return err
		}
	}
	return h.store.Save(rd.HardState, rd.Entries)
}

func (s *sim) apply(h *host, rd agreement.Ready) {
	if rd.Snapshot != nil {
		s.restore(h, *rd.Snapshot)
	}
	for _, e := range rd.Committed {
		if e.Index != h.reg.applied+1 {
			s.check.fail(diverged, "%s applies %d after %d", h.self, e.Index, h.reg.applied)
		}
		s.check.observeCommitted(h.self, e)
		if e.Kind == agreement.EntryData {
			h.reg.append(binary.BigEndian.Uint64(e.Data))
		}
		h.reg.applied = e.Index
		s.check.observeState(h.self, h.reg)
	}
	for _, r := range rd.Reads {
		h.reads[r.Context] = r.Index
	}
}

func (s *sim) compact(h *host) error {
	if h.reg.applied < h.snapIndex+compactEvery {
		return nil
	}
	snap, err := h.node.Compact(h.reg.applied, h.reg.encode())
	if err != nil {
		s.check.fail(brokenReplay, "compact at %d: %v", h.reg.applied, err)
		return err
	}
	h.snapIndex = snap.Index
	return h.store.SaveSnapshot(snap, h.node.EntriesAfter(snap.Index))
}
