package ensemble

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/agreement"
)

// A seed loss schedule: hosts keep the seeds of their first start, some seeds are replaced by plan, and later
// hosts lose their disks. After each step every host has to become a member again.
type seedLossSchedule struct {
	size, tolerated int
	replaced        int   // seeds that leave by plan, one after the other
	down            int   // index of a host that is down without losing its disk when the disks are lost, -1 for none
	victims         []int // indices of the hosts that lose their disks at once
	downRounds      int   // for which the victims are down
	delay           int   // rounds between the last replacement and the loss
}

func (l seedLossSchedule) String() string {
	return fmt.Sprintf("%d hosts, %d tolerated, %d seeds replaced, disks of %v lost %d rounds later for %d rounds, %d down",
		l.size, l.tolerated, l.replaced, l.victims, l.delay, l.downRounds, l.down)
}

// rejoinRounds returns the time after its return in which a host with an empty disk has to be a voter again: it
// counts as lost until then, so the deployment tolerates no further loss before. It is 4 s for deployments that
// tolerate one lost disk and 6 s for the larger ones.
func (s *sim) rejoinRounds() int {
	if s.tolerated == 1 {
		return 40
	}
	return 60
}

func (s *sim) advanceBy(rounds int) {
	for end := s.round + rounds; s.round < end && s.violation == ""; {
		s.advance()
	}
}

// checkMembers fails if a host that runs is not a voter of the group, as its leader has it.
func (s *sim) checkMembers() {
	if s.violation != "" {
		return
	}
	leader := s.leader()
	if leader == nil {
		s.fail("there is no leader")
		return
	}
	members := leader.node.Status().Membership
	for _, h := range s.hosts {
		if h.permanentlyLost {
			continue
		}
		if st := h.node.Status(); !members.Contains(st.Self) || !members.IsVoter(st.Self) && members.Voters() < maxVoters {
			s.fail("host %s stays outside the group", h.address)
		}
	}
}

// runSeedLoss plays a schedule and returns the violation, empty if there is none.
func runSeedLoss(seed uint64, l seedLossSchedule) string {
	s := newSimOf(seed, l.size, l.tolerated)
	s.keepFirstSeeds = true
	s.advanceBy(60)
	for i := range l.replaced {
		s.addHost(s.round)
		s.advanceBy(catchUpRounds + 20)
		h := s.hosts[i]
		h.stopAtRound, h.removed = s.round, true
		for !h.permanentlyLost && s.violation == "" {
			s.advanceBy(1)
		}
		s.selectSeeds()
	}
	s.advanceBy(l.delay)
	end := s.round + l.downRounds
	if l.down >= 0 {
		// The host returns last: the group has removed it by then.
		h := s.hosts[l.down]
		h.node, h.downUntil = nil, end
		s.advanceBy(l.downRounds - 2)
		end = s.round + 20
	}
	for _, v := range l.victims {
		h := s.hosts[v]
		h.node, h.disk, h.downUntil = nil, disk{empty: true}, end
	}
	s.advanceBy(end - s.round + s.rejoinRounds())
	s.checkMembers()
	// The group tolerates the next loss.
	for i, h := range s.hosts {
		if i >= l.replaced && i < l.replaced+l.tolerated {
			h.node, h.disk, h.downUntil = nil, disk{empty: true}, s.round+10
		}
	}
	s.advanceBy(10 + s.rejoinRounds())
	s.checkMembers()
	s.settle()
	return s.violation
}

// Guards against hosts that stay outside the group for good because the seeds of their settings are gone, or have
// lost their logs as well. The next loss within the tolerance then made an acknowledged document unreadable.
func TestHostsWithoutLogFindGroup(t *testing.T) {
	for size := 3; size <= 6; size++ {
		for tolerated := 1; tolerated <= (size-1)/2; tolerated++ {
			t.Run(fmt.Sprintf("%d hosts, %d tolerated", size, tolerated), func(t *testing.T) {
				t.Parallel()
				played, delays := 0, []int{0, 10, 150}
				for replaced := 0; replaced <= 3; replaced++ {
					for _, downRounds := range []int{5, 35, 100} {
						for first := range size + replaced {
							for second := replaced; second <= first; second++ {
								victims := []int{second, first}
								if first == second {
									victims = victims[:1]
								}
								if len(victims) > tolerated {
									continue
								}
								l := seedLossSchedule{size: size, tolerated: tolerated, replaced: replaced, down: -1, victims: victims, downRounds: downRounds, delay: delays[played%len(delays)]}
								if v := runSeedLoss(uint64(1+first), l); v != "" {
									t.Errorf("seed %d: %s: %s", 1+first, l, v)
								}
								played++
							}
						}
					}
				}
				t.Logf("%d schedules", played)
			})
		}
	}
}

// Guards against the same when the losses overlap beyond the tolerance, though no more disks are lost than it
// allows: one host is down and removed when the others lose their disks.
func TestHostsWithoutLogFindGroupBesideRemovedHost(t *testing.T) {
	for _, replaced := range []int{0, 1, 2} {
		for down := range 3 {
			for first := range 3 + replaced {
				for second := range first {
					if down < replaced || second < replaced || first == down || second == down {
						continue
					}
					l := seedLossSchedule{size: 6, tolerated: 2, replaced: replaced, down: down, victims: []int{second, first}, downRounds: 35}
					if v := runSeedLoss(uint64(1+first), l); v != "" {
						t.Errorf("seed %d: %s: %s", 1+first, l, v)
					}
				}
			}
		}
	}
}

// Guards against the same under random losses: hosts keep the seeds of their first start, and losses overlap beyond
// the tolerance. At the end every host has to be a member.
func TestRandomSchedulesWithOldSeeds(t *testing.T) {
	for i := range *schedules {
		seed := *firstSeed + uint64(i)
		s := newSim(seed)
		s.keepFirstSeeds, s.overlapLosses = true, true
		s.run()
		s.checkMembers()
		if s.violation != "" {
			t.Errorf("seed %d: %s", seed, s.violation)
		}
	}
}

// Guards against a host whose log is older than the removal of all hosts that it knows: it was cut off while they
// were replaced one by one, so its vote requests reach nobody who could tell it that it was removed.
func TestHostCutOffDuringAllReplacementsFindsGroup(t *testing.T) {
	for size := 3; size <= 4; size++ {
		for absent := range size {
			s := newSimOf(uint64(1+absent), size, 1)
			s.keepFirstSeeds = true
			s.advanceBy(60)
			s.hosts[absent].disconnectedUntil = 1 << 30
			s.advanceBy(60)
			for i := range size {
				if i == absent {
					continue
				}
				s.addHost(s.round)
				s.advanceBy(catchUpRounds + 20)
				s.hosts[i].stopAtRound, s.hosts[i].removed = s.round, true
				for !s.hosts[i].permanentlyLost && s.violation == "" {
					s.advanceBy(1)
				}
				s.selectSeeds()
			}
			s.hosts[absent].disconnectedUntil = s.round
			s.advanceBy(s.rejoinRounds())
			s.checkMembers()
			s.settle()
			assert.Equal(t, s.violation, "", "%d hosts, %d absent", size, absent)
		}
	}
}

// Guards against the loss of the addresses of removed hosts when all other hosts restart, or when a snapshot
// replaces the log, before a removed host returns with an empty disk.
func TestRemovedHostsAreKnownAfterRestart(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		s := newSimOf(1, 4, 1)
		s.keepFirstSeeds = true
		s.advanceBy(60)
		for i := range 3 {
			s.addHost(s.round)
			s.advanceBy(catchUpRounds + 20)
			s.hosts[i].stopAtRound, s.hosts[i].removed = s.round, true
			for !s.hosts[i].permanentlyLost && s.violation == "" {
				s.advanceBy(1)
			}
			s.selectSeeds()
		}
		removed := s.hosts[3]
		removed.node, removed.disk, removed.downUntil = nil, disk{empty: true}, 1<<30
		s.advanceBy(60)
		assert.Assert(t, !s.leader().node.Status().Membership.Contains(agreement.Replica{ID: MemberID(removed.address), Incarnation: removed.lastIncarnation}))
		for _, h := range s.hosts[4:] {
			if compacted {
				s.compact(h)
			}
			h.node, h.downUntil = nil, s.round+5
		}
		s.advanceBy(30)
		removed.downUntil = s.round
		s.advanceBy(s.rejoinRounds())
		s.checkMembers()
		assert.Equal(t, s.violation, "", "compacted %t", compacted)
	}
}
