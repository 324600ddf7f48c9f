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

// disabledProtections selects protections to disable, to show that the checks detect what they prevent.
type disabledProtections struct{ noSync, noLearnerRule, noPreVote bool }

type host struct {
	id               ident.DaemonID
	fs               *faultfs.FS
	store            *storage.Store
	node             *agreement.Node
	self             agreement.Replica
	nextIncarnation  ident.Incarnation // used if the folder is empty
	reg              *register
	reads            map[uint64]uint64 // indices of released reads by context
	snapshotIndex    uint64
	restartRound     int
	pausedUntil      int  // no ticks before this round
	frozenUntil      int  // the process does nothing before this round
	removalProposed  bool // the operator has proposed its removal
	keepsFiles       bool // keeps its files after the removal and is added again later
	removalCommitted bool // the removal is committed; only for a host that keeps its files
}

func (h *host) alive() bool { return h.node != nil }

type packet struct {
	deliveryRound int
	message       agreement.Message
}

// sim runs one group on a simulated network in rounds of one tick.
type sim struct {
	rng          *rand.Rand
	disabled     disabledProtections
	cfg          agreement.Config
	hosts        []*host
	queue        []packet
	round        int
	historyClock int64
	blockedUntil map[[2]ident.DaemonID]int // round until which messages from one host to another are blocked
	lossRate     float64
	faultRate    int // factor on the probability of faults

	clientTimeout int // rounds after which a client sends its operation to another host
	meanPause     int // mean rounds between a client's operations
	checker       *checker
	clients       []*client
	stats         stats
}

type stats struct {
	crashes, lostDisks, partitions, answered, reads, promotions, removals, readded, terms int
}

func newSim(seed uint64, disabled disabledProtections) *sim {
	rng := rand.New(rand.NewPCG(seed, 0x5eed))
	s := &sim{rng: rng, disabled: disabled, blockedUntil: map[[2]ident.DaemonID]int{}, checker: newChecker(), lossRate: rng.Float64() * 0.1}
	size := 3 + 2*rng.IntN(2)
	var members []agreement.Member
	for i := range size {
		id := ident.DaemonID(i + 1)
		s.cfg.Peers = append(s.cfg.Peers, id)
		self := agreement.Replica{ID: id, Incarnation: 1}
		members = append(members, agreement.Member{Replica: self, Voter: true})
		s.hosts = append(s.hosts, &host{id: id, nextIncarnation: 1, fs: faultfs.New(rng)})
	}
	if disabled.noPreVote {
		s.cfg = s.cfg.WithoutPreVote()
	}
	s.cfg.ElectionTicks = []int{4, 6, 10}[rng.IntN(3)]
	s.faultRate = 1 + rng.IntN(4)
	s.clientTimeout = 5 + rng.IntN(30)
	s.meanPause = 2 + rng.IntN(12)
	s.cfg.RetainEntries = uint64(1 + rng.IntN(10))
	s.cfg.MaxInflightBytes = 200
	s.cfg.MaxMessageBytes = 100
	if rng.IntN(4) == 0 {
		members = members[:1] // the others join as learners
	}
	foundingMembers := agreement.NewMembership(members...)
	s.checker.committedMembership = indexedMembership{1, foundingMembers}
	for i, h := range s.hosts {
		var foundingState *agreement.State
		if i < len(members) {
			st := agreement.FoundingState(members[i].Replica, testGroup, foundingMembers)
			foundingState = &st
		}
		s.open(h, foundingState)
		h.fs.IgnoreFileSync = disabled.noSync
	}
	for i := range 4 {
		s.clients = append(s.clients, &client{number: i})
	}
	return s
}

// open starts a host's process from its disk.
func (s *sim) open(h *host, foundingState *agreement.State) {
	self := agreement.Replica{ID: h.id, Incarnation: h.nextIncarnation}
	store, st, err := storage.Open(h.fs, dataDir, storage.Options{Self: self, SegmentBytes: 400, FoundingState: foundingState})
	if err != nil {
		s.handleOpenError(h, err)
		return
	}
	rng := rand.New(rand.NewPCG(s.rng.Uint64(), 1))
	node, err := agreement.New(s.cfg, st, rng)
	if err != nil {
		s.checker.fail(stateRefused, "%s: %v", st.Self, err)
		return
	}
	h.store, h.node, h.self = store, node, st.Self
	h.reads = map[uint64]uint64{}
	h.reg = newRegister()
	s.restore(h, st.Snapshot)
}

func (s *sim) handleOpenError(h *host, err error) {
	if isInjected(err) {
		s.crash(h)
		return
	}
	s.checker.fail(unreadableFolder, "host %d: %v", h.id, err)
}

func (s *sim) restore(h *host, snap agreement.Snapshot) {
	h.reg = newRegister()
	for data := snap.Data; len(data) > 0; data = data[8:] {
		h.reg.append(binary.BigEndian.Uint64(data))
	}
	h.reg.applied, h.snapshotIndex = snap.Index, snap.Index
	s.checker.observeState(h.self, h.reg)
}

// crash ends a host's process, with or without a power failure.
func (s *sim) crash(h *host) {
	s.stats.crashes++
	h.node, h.store = nil, nil
	if s.rng.IntN(10) < 7 {
		h.fs.Crash()
	} else {
		h.fs.Restart()
	}
	h.restartRound = s.round + s.rng.IntN(3)
	if s.rng.IntN(2) == 0 {
		h.restartRound += s.rng.IntN(40)
	}
}

// canLoseDisk reports whether the group may lose a host's disk: without it, a majority of the voters
// of any membership in effect still has its disk. Otherwise the loss of accepted changes is permitted.
// Each learner also counts as a voter, since it may be promoted before the loss is detected.
func (s *sim) canLoseDisk(h *host) bool {
	for _, c := range s.checker.possibleMemberships() {
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

// majorityWithout reports whether, without h, a majority of the voters and extraVoter still have their
// disks. It is true if h itself is neither a voter nor extraVoter.
func (s *sim) majorityWithout(h *host, members agreement.Membership, extraVoter agreement.Replica) bool {
	voters, intact, hostCounts := 0, 0, false
	for _, m := range members {
		if !m.Voter && m.Replica != extraVoter {
			continue
		}
		voters++
		hostCounts = hostCounts || m.Replica == h.self
		if o := s.hosts[m.Replica.ID-1]; o != h && o.self == m.Replica {
			intact++
		}
	}
	return !hostCounts || intact > voters/2
}

func (s *sim) loseDisk(h *host) {
	if !s.canLoseDisk(h) {
		return
	}
	s.crash(h)
	s.stats.lostDisks++
	h.fs.LoseDisk()
	if !s.disabled.noLearnerRule {
		h.nextIncarnation++
	}
	h.self = agreement.None
}

// send puts a message on the network, which may lose, duplicate and delay it.
func (s *sim) send(m agreement.Message) {
	if s.blockedUntil[[2]ident.DaemonID{m.From.ID, m.To.ID}] > s.round || s.rng.Float64() < s.lossRate {
		return
	}
	copies := 1
	if s.rng.Float64() < s.lossRate/2 {
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
		h := s.hosts[p.message.To.ID-1]
		if p.deliveryRound > s.round || s.round < h.frozenUntil {
			s.queue = append(s.queue, p)
			continue
		}
		if !h.alive() || s.blockedUntil[[2]ident.DaemonID{p.message.From.ID, p.message.To.ID}] > s.round {
			continue
		}
		if err := h.node.Step(p.message); err == agreement.ErrDiverged {
			s.checker.fail(diverged, "%s: %v", h.self, err)
		}
	}
}

// processReady performs a host's ready work as the package documentation requires.
func (s *sim) processReady(h *host) {
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
			s.checker.observeLeader(st.Term, h.self)
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
			s.checker.proposedMemberships = append(s.checker.proposedMemberships, indexedMembership{e.Index, e.Membership})
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
			s.checker.fail(diverged, "%s applies %d after %d", h.self, e.Index, h.reg.applied)
		}
		s.checker.observeCommitted(h.self, e)
		if e.Kind == agreement.EntryData {
			h.reg.append(binary.BigEndian.Uint64(e.Data))
		}
		h.reg.applied = e.Index
		s.checker.observeState(h.self, h.reg)
	}
	for _, r := range rd.Reads {
		h.reads[r.Context] = r.Index
	}
}

func (s *sim) compact(h *host) error {
	if h.reg.applied < h.snapshotIndex+compactEvery {
		return nil
	}
	snap, err := h.node.Compact(h.reg.applied, h.reg.encode())
	if err != nil {
		s.checker.fail(stateRefused, "compact at %d: %v", h.reg.applied, err)
		return err
	}
	h.snapshotIndex = snap.Index
	return h.store.SaveSnapshot(snap, h.node.EntriesAfter(snap.Index))
}
