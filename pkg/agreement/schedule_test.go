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
	faultRounds = 300 // rounds with faults
	healRounds  = 800 // rounds without faults, in which the group must converge
)

func isInjected(err error) bool { return errors.Is(err, faultfs.ErrInjected) }

// client runs one operation at a time and repeats it under the same id until it is answered.
type client struct {
	number   int
	op       *operation
	sent     int
	asked    []*host
	context  uint64
	finished int
}

func (s *sim) tickClient(c *client, start bool) {
	if c.op == nil {
		if start && s.rng.IntN(s.pause) == 0 {
			s.startOperation(c)
		}
		return
	}
	if len(c.asked) == 0 || s.round-c.sent > s.patience {
		s.ask(c)
	}
	for _, h := range c.asked {
		if h.alive() && s.answered(c, h) {
			s.clock++
			c.op.ret = s.clock
			c.op, c.asked = nil, nil
			c.finished++
			return
		}
	}
}

func (s *sim) startOperation(c *client) {
	s.clock++
	c.op = &operation{client: c.number, call: s.clock}
	if s.rng.IntN(3) > 0 {
		c.op.id = uint64(c.number+1)<<32 | uint64(c.finished+1)
	}
	s.check.history = append(s.check.history, c.op)
}

// ask sends a client's operation to a host.
func (s *sim) ask(c *client) {
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
	if c.op.id == 0 {
		c.context = s.rng.Uint64()
		c.asked = nil
		if h.node.ReadIndex(c.context) != nil {
			return
		}
	} else if _, err := h.node.Propose(binary.BigEndian.AppendUint64(nil, c.op.id)); err != nil {
		return
	}
	c.sent = s.round
	c.asked = append(c.asked, h)
}

// answered fills in the result if a host has it.
func (s *sim) answered(c *client, h *host) bool {
	if c.op.id != 0 {
		c.op.pos = h.reg.position[c.op.id]
		s.stats.answered += min(1, c.op.pos)
		return c.op.pos != 0
	}
	index, ok := h.reads[c.context]
	if !ok || h.reg.applied < index {
		return false
	}
	c.op.seen = h.reg.digest()
	s.stats.reads++
	return true
}

// injectFaults starts the round's faults, often at the leader or during an election.
func (s *sim) injectFaults() {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	if s.electing() && h.alive() && s.rng.IntN(10) == 0 {
		s.crash(h)
		h.restartAt = s.round
	}
	if leader := s.leader(); leader != nil && s.rng.IntN(3) == 0 {
		h = leader
	}
	switch k := s.rng.IntN(1000) / s.rate; {
	case k < 10 && h.alive():
		h.fs.FailIn(1 + s.rng.IntN(12))
	case k < 15 && h.alive():
		s.crash(h)
	case k < 25:
		s.loseDisk(h)
	case k < 40:
		s.partition(h)
	case k < 48:
		h.pausedTo = s.round + s.rng.IntN(40)
	case k < 56:
		h.frozenTo = s.round + s.rng.IntN(40)
	case k < 64 && h.alive():
		s.jump(h)
	case k < 72 && h.alive():
		s.planned(h)
	}
}

func (s *sim) electing() bool {
	return slices.ContainsFunc(s.hosts, func(h *host) bool {
		return h.alive() && h.node.Status().Role == agreement.Candidate
	})
}

// leader returns a host that leads, if there is one.
func (s *sim) leader() *host {
	for _, h := range s.hosts {
		if h.alive() && h.node.Status().Role == agreement.Leader {
			return h
		}
	}
	return nil
}

// secondFailure hits another host in the round after a learner was promoted.
func (s *sim) secondFailure(promoted int) {
	if s.check.promoted == promoted || s.rng.IntN(2) == 0 {
		return
	}
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	if s.rng.IntN(2) == 0 {
		s.loseDisk(h)
	} else if h.alive() {
		s.crash(h)
	}
}

// partition silently blocks a host's links to some others, one way or both ways.
func (s *sim) partition(h *host) {
	s.stats.partitions++
	until := s.round + 5 + s.rng.IntN(60)
	mode := s.rng.IntN(3)
	if s.rng.IntN(2) == 0 {
		h.pausedTo = until // its clock stands still as well
	}
	all := s.rng.IntN(2) == 0
	for _, o := range s.hosts {
		if o == h || !all && s.rng.IntN(2) == 0 {
			continue
		}
		if mode != 0 {
			s.blocked[[2]ident.DaemonID{h.id, o.id}] = until
		}
		if mode != 1 {
			s.blocked[[2]ident.DaemonID{o.id, h.id}] = until
		}
	}
}

// jump moves a host's clock forward.
func (s *sim) jump(h *host) {
	for range s.rng.IntN(50) {
		h.node.Tick()
	}
}

// planned makes a planned change: a leadership transfer or the replacement of a member.
func (s *sim) planned(h *host) {
	target := s.hosts[s.rng.IntN(len(s.hosts))]
	if s.rng.IntN(3) > 0 {
		_ = h.node.TransferLeadership(target.self)
		return
	}
	if !s.othersIntact(target) {
		return
	}
	index, err := h.node.ProposeChange(agreement.Change{Kind: agreement.Remove, Replica: target.self})
	if err == nil {
		target.removed, target.gone = true, false
		target.keeps = s.rng.IntN(2) == 0
		s.check.proposed = append(s.check.proposed, confIndex{index, h.node.Status().Membership})
	}
}

// othersIntact reports whether the disks of all voters but one are intact, without which an operator
// must not remove that one: the group could lose its majority to a failure not yet detected.
func (s *sim) othersIntact(target *host) bool {
	for _, c := range s.check.memberships() {
		for _, m := range c.membership {
			if m.Voter && m.Replica.ID != target.id && s.hosts[m.Replica.ID-1].self != m.Replica {
				return false
			}
		}
	}
	return true
}

// readdRemoved adds a host whose removal was committed again, with its files, when it has learned
// that it was removed. The learner of a replacement that was cancelled and started again is one.
func (s *sim) readdRemoved(h *host) {
	_, member := s.check.committed.membership.Find(h.id)
	if h.gone && member {
		h.removed, h.gone = false, false
		s.stats.readded++
	}
	if !h.removed || !h.keeps || member {
		return
	}
	h.gone = true
	if leader := s.leader(); leader != nil && h.alive() && h.node.Status().Removed {
		index, err := leader.node.ProposeChange(agreement.Change{Kind: agreement.AddLearner, Replica: h.self})
		if err == nil {
			s.check.proposed = append(s.check.proposed, confIndex{index, leader.node.Status().Membership})
		}
	}
}

// replaceRemoved empties the folder of a host whose removal was committed; it then joins again.
func (s *sim) replaceRemoved(h *host) {
	_, member := s.check.committed.membership.Find(h.id)
	if !h.removed || h.keeps || member || !s.mayLose(h) {
		return
	}
	h.removed = false
	s.stats.removals++
	s.crash(h)
	h.fs.LoseDisk()
	h.next++
	h.self = agreement.None
}

// step runs one round.
func (s *sim) step(faults bool) {
	s.round++
	promoted := s.check.promoted
	if faults {
		s.injectFaults()
	}
	for _, h := range s.hosts {
		s.replaceRemoved(h)
		s.readdRemoved(h)
		if !h.alive() && s.round >= h.restartAt {
			s.open(h, nil)
		}
	}
	s.deliver()
	for _, h := range s.hosts {
		if h.alive() && s.round >= h.pausedTo && s.round >= h.frozenTo {
			h.node.Tick()
		}
	}
	for _, c := range s.clients {
		s.tickClient(c, faults)
	}
	for _, h := range s.hosts {
		slow := faults && s.rng.IntN(10) == 0
		if !slow && s.round >= h.frozenTo {
			s.pump(h)
		}
	}
	if faults {
		s.secondFailure(promoted)
	}
}

func (s *sim) heal() {
	clear(s.blocked)
	s.loss = 0
	for _, h := range s.hosts {
		if h.alive() {
			h.fs.Restart()
			s.crash(h)
		}
		h.restartAt, h.pausedTo, h.frozenTo = s.round, 0, 0
	}
}

// converged reports whether every host is a voter again and has applied everything.
func (s *sim) converged() bool {
	for _, c := range s.clients {
		if c.op != nil {
			return false
		}
	}
	for _, h := range s.hosts {
		if !h.alive() || !s.check.committed.membership.IsVoter(h.self) || h.reg.applied != s.hosts[0].reg.applied {
			return false
		}
	}
	return s.hosts[0].node.Status().Commit == s.hosts[0].reg.applied
}

// runSchedule runs the schedule of a seed and returns the first violation, nil if there is none.
func runSchedule(seed uint64, off switches) (found *violation, st stats) {
	s := newSim(seed, off)
	defer func() {
		if p := recover(); p != nil {
			found = &violation{panicked, fmt.Sprint(p)}
		}
	}()
	for s.round < faultRounds && s.check.found == nil {
		s.step(true)
	}
	s.heal()
	for s.check.found == nil && !s.converged() {
		if s.step(false); s.round > faultRounds+healRounds {
			s.check.fail(noProgress, "%s", s.describe())
		}
	}
	s.finish()
	return s.check.found, s.stats
}

func (s *sim) finish() {
	s.stats.terms = len(s.check.leaders)
	s.stats.promotions = s.check.promoted
	if s.check.found != nil {
		return
	}
	for _, h := range s.hosts {
		s.check.checkFinal(h.self, h.reg)
	}
	s.check.checkHistory()
}

func (s *sim) describe() string {
	out := fmt.Sprintf("committed membership %v", s.check.committed)
	for _, h := range s.hosts {
		if h.alive() {
			out += fmt.Sprintf("\n  %+v", h.node.Status())
		}
	}
	return out
}
