package agreement_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/storage/faultfs"
)

const (
	faultRounds       = 300 // rounds with faults
	convergenceRounds = 800 // rounds without faults, in which the group must converge
)

func isInjected(err error) bool { return errors.Is(err, faultfs.ErrInjected) }

// client runs one operation at a time and repeats it with the same id until it is answered.
type client struct {
	number             int
	operation          *operation
	sentRound          int
	contactedHosts     []*host
	readContext        uint64
	finishedOperations int
}

func (s *sim) tickClient(c *client, mayStart bool) {
	if c.operation == nil {
		if mayStart && s.rng.IntN(s.meanPause) == 0 {
			s.startOperation(c)
		}
		return
	}
	if len(c.contactedHosts) == 0 || s.round-c.sentRound > s.clientTimeout {
		s.sendOperation(c)
	}
	for _, h := range c.contactedHosts {
		if h.alive() && s.fillResult(c, h) {
			s.historyClock++
			c.operation.returnTime = s.historyClock
			c.operation, c.contactedHosts = nil, nil
			c.finishedOperations++
			return
		}
	}
}

func (s *sim) startOperation(c *client) {
	s.historyClock++
	c.operation = &operation{client: c.number, callTime: s.historyClock}
	if s.rng.IntN(3) > 0 {
		c.operation.id = uint64(c.number+1)<<32 | uint64(c.finishedOperations+1)
	}
	s.checker.history = append(s.checker.history, c.operation)
}

// sendOperation sends a client's operation to a host.
func (s *sim) sendOperation(c *client) {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	if !h.alive() {
		return
	}
	if leader := h.node.Status().Leader; leader != agreement.None && s.rng.IntN(2) == 0 {
		h = s.hosts[leader.ID-1]
	}
	if !h.alive() {
		return
	}
	if c.operation.id == 0 {
		c.readContext = s.rng.Uint64()
		c.contactedHosts = nil
		if h.node.ReadIndex(c.readContext) != nil {
			return
		}
	} else if _, err := h.node.Propose(binary.BigEndian.AppendUint64(nil, c.operation.id)); err != nil {
		return
	}
	c.sentRound = s.round
	c.contactedHosts = append(c.contactedHosts, h)
}

// fillResult sets the operation's result if the host has it, and reports whether it does.
func (s *sim) fillResult(c *client, h *host) bool {
	if c.operation.id != 0 {
		c.operation.position = h.reg.position[c.operation.id]
		s.stats.answered += min(1, c.operation.position)
		return c.operation.position != 0
	}
	index, ok := h.reads[c.readContext]
	if !ok || h.reg.applied < index {
		return false
	}
	c.operation.readDigest = h.reg.digest()
	s.stats.reads++
	return true
}

// injectFaults injects the round's faults, often at the leader or during an election.
func (s *sim) injectFaults() {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	if s.electing() && h.alive() && s.rng.IntN(10) == 0 {
		s.crash(h)
		h.restartRound = s.round
	}
	if leader := s.leader(); leader != nil && s.rng.IntN(3) == 0 {
		h = leader
	}
	switch fault := s.rng.IntN(1000) / s.faultRate; {
	case fault < 10 && h.alive():
		h.fs.FailIn(1 + s.rng.IntN(12))
	case fault < 15 && h.alive():
		s.crash(h)
	case fault < 25:
		s.loseDisk(h)
	case fault < 40:
		s.partition(h)
	case fault < 48:
		h.pausedUntil = s.round + s.rng.IntN(40)
	case fault < 56:
		h.frozenUntil = s.round + s.rng.IntN(40)
	case fault < 64 && h.alive():
		s.jumpClock(h)
	case fault < 72 && h.alive():
		s.makePlannedChange(h)
	}
}

func (s *sim) electing() bool {
	return slices.ContainsFunc(s.hosts, func(h *host) bool {
		return h.alive() && h.node.Status().Role == agreement.Candidate
	})
}

// leader returns a host that is leader, nil if there is none.
func (s *sim) leader() *host {
	for _, h := range s.hosts {
		if h.alive() && h.node.Status().Role == agreement.Leader {
			return h
		}
	}
	return nil
}

// injectSecondFailure makes a host fail, at random, in the round in which a promotion was committed.
func (s *sim) injectSecondFailure(promotionsBefore int) {
	if s.checker.promotions == promotionsBefore || s.rng.IntN(2) == 0 {
		return
	}
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	if s.rng.IntN(2) == 0 {
		s.loseDisk(h)
	} else if h.alive() {
		s.crash(h)
	}
}

// partition silently blocks a host's links to some or all others, in one direction or both.
func (s *sim) partition(h *host) {
	s.stats.partitions++
	until := s.round + 5 + s.rng.IntN(60)
	mode := s.rng.IntN(3)
	if s.rng.IntN(2) == 0 {
		h.pausedUntil = until // its clock stops as well
	}
	all := s.rng.IntN(2) == 0
	for _, other := range s.hosts {
		if other == h || !all && s.rng.IntN(2) == 0 {
			continue
		}
		if mode != 0 {
			s.blockedUntil[[2]ident.DaemonID{h.id, other.id}] = until
		}
		if mode != 1 {
			s.blockedUntil[[2]ident.DaemonID{other.id, h.id}] = until
		}
	}
}

// jumpClock moves a host's clock forward.
func (s *sim) jumpClock(h *host) {
	for range s.rng.IntN(50) {
		h.node.Tick()
	}
}

// makePlannedChange starts a leadership transfer or the removal of a member.
func (s *sim) makePlannedChange(h *host) {
	target := s.hosts[s.rng.IntN(len(s.hosts))]
	if s.rng.IntN(3) > 0 {
		_ = h.node.TransferLeadership(target.self)
		return
	}
	if !s.otherVotersIntact(target) {
		return
	}
	index, err := h.node.ProposeChange(agreement.Change{Kind: agreement.Remove, Replica: target.self})
	if err == nil {
		target.removalProposed, target.removalCommitted = true, false
		target.keepsFiles = s.rng.IntN(2) == 0
		s.checker.proposedMemberships = append(s.checker.proposedMemberships, indexedMembership{index, h.node.Status().Membership})
	}
}

// otherVotersIntact reports whether the disks of all voters except the target are intact. Otherwise an
// operator must not remove the target: an undetected failure could cost the group its majority.
func (s *sim) otherVotersIntact(target *host) bool {
	for _, c := range s.checker.possibleMemberships() {
		for _, m := range c.membership {
			if m.Voter && m.Replica.ID != target.id && s.hosts[m.Replica.ID-1].self != m.Replica {
				return false
			}
		}
	}
	return true
}

// readdRemoved adds a removed host again, with its files, once its removal is committed and it was
// notified. This happens to the learner of a replacement that was cancelled and started again.
func (s *sim) readdRemoved(h *host) {
	_, member := s.checker.committedMembership.membership.Find(h.id)
	if h.removalCommitted && member {
		h.removalProposed, h.removalCommitted = false, false
		s.stats.readded++
	}
	if !h.removalProposed || !h.keepsFiles || member {
		return
	}
	h.removalCommitted = true
	if leader := s.leader(); leader != nil && h.alive() && h.node.Status().Removed {
		index, err := leader.node.ProposeChange(agreement.Change{Kind: agreement.AddLearner, Replica: h.self})
		if err == nil {
			s.checker.proposedMemberships = append(s.checker.proposedMemberships, indexedMembership{index, leader.node.Status().Membership})
		}
	}
}

// replaceRemoved empties the folder of a host whose removal is committed; it then joins again.
func (s *sim) replaceRemoved(h *host) {
	_, member := s.checker.committedMembership.membership.Find(h.id)
	if !h.removalProposed || h.keepsFiles || member || !s.canLoseDisk(h) {
		return
	}
	h.removalProposed = false
	s.stats.removals++
	s.crash(h)
	h.fs.LoseDisk()
	h.nextIncarnation++
	h.self = agreement.None
}

// step runs one round, with or without faults.
func (s *sim) step(faults bool) {
	s.round++
	promotionsBefore := s.checker.promotions
	if faults {
		s.injectFaults()
	}
	for _, h := range s.hosts {
		s.replaceRemoved(h)
		s.readdRemoved(h)
		if !h.alive() && s.round >= h.restartRound {
			s.open(h, nil)
		}
	}
	s.deliver()
	for _, h := range s.hosts {
		if h.alive() && s.round >= h.pausedUntil && s.round >= h.frozenUntil {
			h.node.Tick()
		}
	}
	for _, c := range s.clients {
		s.tickClient(c, faults)
	}
	for _, h := range s.hosts {
		slow := faults && s.rng.IntN(10) == 0
		if !slow && s.round >= h.frozenUntil {
			s.processReady(h)
		}
	}
	if faults {
		s.injectSecondFailure(promotionsBefore)
	}
}

func (s *sim) endFaults() {
	clear(s.blockedUntil)
	s.lossRate = 0
	for _, h := range s.hosts {
		if h.alive() {
			h.fs.Restart()
			s.crash(h)
		}
		h.restartRound, h.pausedUntil, h.frozenUntil = s.round, 0, 0
	}
}

// converged reports whether every operation is answered, every host is a voter and all have applied
// the same entries.
func (s *sim) converged() bool {
	for _, c := range s.clients {
		if c.operation != nil {
			return false
		}
	}
	for _, h := range s.hosts {
		if !h.alive() || !s.checker.committedMembership.membership.IsVoter(h.self) || h.reg.applied != s.hosts[0].reg.applied {
			return false
		}
	}
	return s.hosts[0].node.Status().Commit == s.hosts[0].reg.applied
}

// runSchedule runs the schedule of a seed and returns the first violation, or nil, and statistics.
func runSchedule(seed uint64, disabled disabledProtections) (found *violation, st stats) {
	s := newSim(seed, disabled)
	defer func() {
		if p := recover(); p != nil {
			found = &violation{panicked, fmt.Sprint(p)}
		}
	}()
	for s.round < faultRounds && s.checker.violation == nil {
		s.step(true)
	}
	s.endFaults()
	for s.checker.violation == nil && !s.converged() {
		if s.step(false); s.round > faultRounds+convergenceRounds {
			s.checker.fail(noProgress, "%s", s.describe())
		}
	}
	s.finish()
	return s.checker.violation, s.stats
}

func (s *sim) finish() {
	s.stats.terms = len(s.checker.leaders)
	s.stats.promotions = s.checker.promotions
	if s.checker.violation != nil {
		return
	}
	for _, h := range s.hosts {
		s.checker.checkFinal(h.self, h.reg)
	}
	s.checker.checkHistory()
}

func (s *sim) describe() string {
	out := fmt.Sprintf("committed membership %v", s.checker.committedMembership)
	for _, h := range s.hosts {
		if h.alive() {
			out += fmt.Sprintf("\n  %+v", h.node.Status())
		}
	}
	return out
}
