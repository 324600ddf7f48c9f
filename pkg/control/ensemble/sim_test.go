package ensemble

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/ident"
)

// catchUpRounds is the number of rounds in which a lost host still counts as lost after its return.
const catchUpRounds = 40

// messageHops is the number of consecutive message deliveries in a tick. One delivery takes 20 ms,
// the longest delay between the data centres of a deployment.
const messageHops = 5

// disk is the state that a host has synced.
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
	address           netip.AddrPort
	disk              disk
	node              *agreement.Node // nil while the process is down
	answerTimes       answerTimes
	state             state
	appliedIndex      uint64
	lostUntil         int // round until which the host counts as lost
	downUntil         int
	frozenUntil       int
	disconnectedUntil int
	permanentlyLost   bool
	stopAtRound       int                         // round in which the process is told to stop, 0 if it is not
	killAtRound       int                         // round by which a process that was told to stop is killed
	removed           bool                        // does not start again after the stop
	killed            bool                        // is killed instead of told to stop
	proposals         map[proposalPosition]uint64 // version by position
	expectedReads     map[uint64]uint64           // lowest version that the read may return, by context
	proposedOrders    map[proposalPosition]*simOrder
	bindings          map[uint64]*simOrder         // orders to bind, by read context
	readOrders        map[uint64]map[string]uint64 // acknowledged orders at the start of a read, by context and data centre
	readyReads        []agreement.ReadState
	lastIncarnation   ident.Incarnation
	firstSeeds        []netip.AddrPort // seeds of its first start
	contacts          contacts         // of the process
	notices           notices
}

// proposalPosition identifies an entry: a later leader may put another one at the same index.
type proposalPosition struct{ term, index uint64 }

type sim struct {
	rng   *rand.Rand
	round int
	// nextRemovalRound is the first round in which another host may disappear for good without notice. Before
	// the group has replaced the previous one, the remaining half cannot tell two such hosts from a partition.
	nextRemovalRound int
	rounds           int // of the schedule
	tolerated        int
	hosts            []*simHost
	seeds            []netip.AddrPort
	queue            []agreement.Message
	lastVersion      uint64 // highest submitted version
	acknowledged     uint64 // highest acknowledged version
	incarnationClock uint64 // source of incarnations
	usedIncarnations map[uint64]bool
	violation        string
	history          history
	operators        map[string]*simOperator // by data centre
	lastOrderRound   int                     // no new orders are given from this round on, 0 for no limit
	// bindLate makes hosts bind orders when they are proposed, not when they arrive.
	bindLate bool
	// skipReadConfirmation makes hosts answer reads without confirmation by a majority.
	skipReadConfirmation bool
	// keepFirstSeeds lets each host keep the seeds of its first start; otherwise all hosts have the same ones.
	keepFirstSeeds bool
	// overlapLosses lets one host more be lost than the deployment tolerates, though no more disks.
	overlapLosses bool
	lostDisks     int // since all hosts were back for longer than the recovery takes
	calmSince     int // round from which on no host was lost
	// refoundEmptyDisks disables the rule that a host with an empty disk founds a group only at the
	// first start.
	refoundEmptyDisks bool
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func newSim(seed uint64) *sim {
	rng := rand.New(rand.NewPCG(seed, 9))
	size, tolerated := 3+rng.IntN(4), 1
	if size >= 5 {
		tolerated = 1 + rng.IntN(2)
	}
	return newSimOf(seed, size, tolerated)
}

// newSimOf returns a group of a given size. The first three hosts found it, and the others join.
func newSimOf(seed uint64, size, tolerated int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 10)), tolerated: tolerated, incarnationClock: 1000, usedIncarnations: map[uint64]bool{}, rounds: scheduleRounds,
		operators: map[string]*simOperator{"north": {dataCentre: "north"}, "south": {dataCentre: "south"}},
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

func (s *sim) now() time.Time { return time.Unix(0, 0).Add(time.Duration(s.round) * tickInterval) }

// seedsOf returns the seeds in the settings of a host.
func (s *sim) seedsOf(h *simHost) []netip.AddrPort {
	if s.keepFirstSeeds {
		return h.firstSeeds
	}
	return s.seeds
}

func (s *sim) start(h *simHost, firstStart bool) {
	if h.firstSeeds == nil {
		h.firstSeeds = slices.Clone(s.seeds)
	}
	g := &Group{cfg: Config{PeerAddress: h.address, MayFound: firstStart || s.refoundEmptyDisks, Seeds: func() []netip.AddrPort { return s.seedsOf(h) }}, selfID: MemberID(h.address), lastIncarnation: h.lastIncarnation}
	if s.refoundEmptyDisks {
		g.lastIncarnation = 0
	}
	if h.disk.empty {
		self, founding := g.initialIdentity()
		if founding != nil {
			h.disk.state = *founding
		} else {
			self.Incarnation = s.newIncarnation()
			h.disk.state = agreement.State{Self: self}
		}
		h.lastIncarnation = self.Incarnation
		h.disk.empty = false
	}
	cfg := agreement.Config{ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, ManualMembership: true, RetainEntries: 4}
	node, err := agreement.New(cfg, h.disk.state, rand.New(rand.NewPCG(s.rng.Uint64(), 1)))
	if err != nil {
		s.fail("host %s does not start: %v", h.address, err)
		return
	}
	h.notices = notices{}
	h.node, h.answerTimes, h.proposals, h.expectedReads, h.readyReads = node, answerTimes{}, map[proposalPosition]uint64{}, map[uint64]uint64{}, nil
	h.proposedOrders, h.bindings, h.readOrders = map[proposalPosition]*simOrder{}, map[uint64]*simOrder{}, map[uint64]map[string]uint64{}
	h.state, h.appliedIndex = newState(), h.disk.state.Snapshot.Index
	if h.appliedIndex > 0 {
		h.restore(s, &h.disk.state.Snapshot)
	}
	s.processReady(h)
}

// newIncarnation returns an unused incarnation from a clock that is sometimes set back.
func (s *sim) newIncarnation() ident.Incarnation {
	s.incarnationClock += 100
	value := s.incarnationClock
	if s.rng.IntN(4) == 0 {
		value -= uint64(s.rng.IntN(500))
	}
	for s.usedIncarnations[value] {
		value++
	}
	s.usedIncarnations[value] = true
	return ident.Incarnation(value)
}

func (s *sim) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("round %d: ", s.round) + fmt.Sprintf(format, args...)
	}
}

func (h *simHost) restore(s *sim, snapshot *agreement.Snapshot) {
	var err error
	if h.state, err = restoreState(snapshot); err != nil {
		s.fail("snapshot cannot be read: %v", err)
	}
}

func (s *sim) processReady(h *simHost) {
	for h.node != nil && h.node.HasReady() {
		rd := h.node.Ready()
		h.disk.save(&rd)
		s.queue = append(s.queue, rd.Messages...)
		if rd.Snapshot != nil {
			h.appliedIndex = rd.Snapshot.Index
			h.restore(s, rd.Snapshot)
		}
		for _, e := range rd.Committed {
			h.appliedIndex = e.Index
			rejected, err := h.state.applyEntry(&e)
			if err != nil {
				s.fail("entry cannot be read: %v", err)
			}
			if o := h.proposedOrders[proposalPosition{e.Term, e.Index}]; o != nil && rejected == nil {
				s.replyToOrder(o)
			}
			if v, ok := h.proposals[proposalPosition{e.Term, e.Index}]; ok {
				s.acknowledged = max(s.acknowledged, v)
				s.history.recordAck(v)
			}
		}
		h.readyReads = append(h.readyReads, rd.Reads...)
		h.node.Advance(rd)
	}
	for _, r := range h.readyReads {
		s.finishOrderRead(h, r)
		if minVersion, ok := h.expectedReads[r.Context]; ok && r.Index <= h.appliedIndex {
			delete(h.expectedReads, r.Context)
			s.history.recordReadResult(r.Context, h.state.document.Version)
			if h.state.document.Version < minVersion {
				s.fail("host %s read version %d although %d was acknowledged", h.address, h.state.document.Version, minVersion)
			}
		}
	}
	h.readyReads = slices.DeleteFunc(h.readyReads, func(r agreement.ReadState) bool { return r.Index <= h.appliedIndex })
}

func (s *sim) host(id ident.DaemonID) *simHost {
	for _, h := range s.hosts {
		if MemberID(h.address) == id {
			return h
		}
	}
	return nil
}

// isRunning reports whether a host takes part in this round.
func (s *sim) isRunning(h *simHost) bool { return h.node != nil && s.round >= h.frozenUntil }

func (s *sim) deliver() {
	for range messageHops {
		s.deliverOnce()
	}
}

func (s *sim) deliverOnce() {
	batch := s.queue
	s.queue = nil
	s.rng.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
	for _, m := range batch {
		from, to := s.host(m.From.ID), s.host(m.To.ID)
		if to == nil || !s.isRunning(to) || s.round < to.disconnectedUntil || from != nil && s.round < from.disconnectedUntil || s.rng.IntN(100) == 0 {
			continue
		}
		if st := to.node.Status(); isFromContact(&st, &m) {
			to.contacts.add(MemberAddress(m.From.ID))
		}
		if m.Kind == agreement.MsgJoin {
			s.handleJoin(to, m)
		} else if err := to.node.Step(m); err == agreement.ErrDiverged {
			s.fail("host %s: %v", to.address, err)
		}
		s.processReady(to)
	}
}

func (s *sim) handleJoin(h *simHost, m agreement.Message) {
	_ = h.node.Step(m)
	st := h.node.Status()
	forwarded, add := decideJoin(&st, m)
	if forwarded != nil {
		s.queue = append(s.queue, *forwarded)
	}
	if add {
		_, _ = h.node.ProposeChange(agreement.Change{Kind: agreement.AddLearner, Replica: m.From}) // the host asks again after an error
	}
}

// tickHosts advances the running hosts by one tick.
func (s *sim) tickHosts() {
	for _, h := range s.hosts {
		if !s.isRunning(h) {
			continue
		}
		h.node.Tick()
		if h.isStopping(s.round) && s.stop(h) {
			continue
		}
		if members := h.node.Members(); members != nil {
			if change, ok := nextChange(h.answerTimes.views(s.now(), members), s.tolerated); ok {
				_, _ = h.node.ProposeChange(change)
			}
		} else {
			clear(h.answerTimes)
		}
		st := h.node.Status()
		if asksToJoin(&st) && s.round%3 == 0 {
			for _, a := range slices.Concat(s.seedsOf(h), h.contacts) {
				s.queue = append(s.queue, agreement.Message{Kind: agreement.MsgJoin, From: st.Self, To: agreement.Replica{ID: MemberID(a)}})
			}
		}
		if st.Role == agreement.Leader {
			if r, ok := h.notices.next(s.now(), st.Membership, h.state.removed, s.seedsOf(h)); ok {
				h.node.NotifyRemoved(r)
			}
		} else {
			clear(h.notices)
		}
		s.processReady(h)
		if st.Removed || st.Superseded {
			for _, m := range st.Membership {
				h.contacts.add(MemberAddress(m.Replica.ID))
			}
			h.node, h.disk = nil, disk{empty: true}
			s.start(h, false)
		}
	}
}

// isStopping reports whether the process was told to stop.
func (h *simHost) isStopping(round int) bool { return h.stopAtRound > 0 && round >= h.stopAtRound }

// graceRounds is the time after which a process that was told to stop is killed.
const graceRounds = 45

// replacementRounds is the time in which the group replaces a host that was killed: an election, the silence,
// and the two changes.
const replacementRounds = 60

// stop takes the steps of a planned stop: the host transfers its leadership and leaves the group. It
// reports whether the process has ended.
func (s *sim) stop(h *simHost) bool {
	if h.killAtRound == 0 {
		h.killAtRound = s.round + graceRounds
	}
	st := h.node.Status()
	switch {
	case h.killed || st.Removed || !canLeave(st.Membership, st.Self, s.tolerated) || s.round >= h.killAtRound:
		h.node, h.stopAtRound, h.killAtRound = nil, 0, 0
		if h.killed {
			s.nextRemovalRound = s.round + replacementRounds
		}
		if h.removed {
			h.permanentlyLost = true
		} else {
			h.downUntil = s.round + 5
		}
		return true
	case st.Role == agreement.Leader:
		for _, m := range h.node.Members() {
			if m.Voter && m.CaughtUp && h.node.TransferLeadership(m.Replica) == nil {
				break
			}
		}
	default:
		_ = h.node.RequestLeave() // repeated if there is no leader yet
	}
	return false
}

// runClients submits a document, orders and reads, each at a random host.
func (s *sim) runClients() {
	s.runOperators()
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	if !s.isRunning(h) {
		return
	}
	if h.node.Status().Membership.Voters() >= minVotersFor(s.tolerated) {
		s.lastVersion++
		data, err := proto.Marshal(&entrypb.ProposeRequest{Version: s.lastVersion})
		if err != nil {
			s.fail("%v", err)
		}
		if index, err := h.node.Propose(data); err == nil {
			h.proposals[proposalPosition{h.node.Status().Term, index}] = s.lastVersion
			s.history.recordSubmission(s.lastVersion)
		}
	}
	reader := s.hosts[s.rng.IntN(len(s.hosts))]
	if s.isRunning(reader) {
		context := s.rng.Uint64()
		s.history.recordRead(context)
		if s.skipReadConfirmation {
			s.history.recordReadResult(context, reader.state.document.Version)
		} else if reader.node.ReadIndex(context) == nil {
			reader.expectedReads[context] = s.acknowledged
			reader.readOrders[context] = s.acknowledgedOrders()
		}
		s.processReady(reader)
	}
	s.processReady(h)
	if s.rng.IntN(20) == 0 && h.node.Status().Applied > h.disk.state.Snapshot.Index+8 {
		s.compact(h)
	}
}

func (s *sim) compact(h *simHost) {
	data, err := h.state.marshal()
	if err != nil {
		s.fail("%v", err)
		return
	}
	if snap, err := h.node.Compact(h.appliedIndex, data); err == nil {
		h.disk.state.Snapshot, h.disk.state.Entries = snap, slices.Clone(h.node.EntriesAfter(snap.Index))
	}
}
