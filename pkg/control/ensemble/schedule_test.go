package ensemble

import (
	"flag"
	"net/netip"
	"testing"
	"time"

	"rosemarygate/pkg/ident"
)

var (
	schedules = flag.Int("schedules", 150, "random fault schedules of TestRandomSchedules")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first schedule")
)

// scheduleSize is the length of a schedule in rounds of one tick.
const scheduleSize = 900

func (s *sim) lost() int {
	n := 0
	for _, h := range s.hosts {
		if h.gone && s.round < h.lostTo || !h.gone && s.round < max(h.lostTo, h.downTo, h.frozenTo, h.cutTo)+catchUpRounds {
			n++
		}
	}
	return n
}

// fault begins one fault if the deployment bears one more lost host, or kills all processes, whose
// disks stay.
func (s *sim) fault() {
	if s.rng.IntN(25) > 0 {
		return
	}
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	span := s.round + 5 + s.rng.IntN(60)
	if s.rng.IntN(12) == 0 && s.lost() == 0 {
		for _, h := range s.hosts {
			if h.node != nil {
				h.node, h.downTo = nil, span-s.rng.IntN(5)
			}
		}
		return
	}
	if h.gone || s.lost() >= s.tolerated || s.round < 100 {
		return
	}
	switch s.rng.IntN(6) {
	case 0:
		h.frozenTo = span
	case 1:
		h.cutTo = span
	case 2, 3:
		h.node, h.downTo = nil, span
	case 4: // the disk is lost
		h.node, h.downTo, h.disk = nil, span, disk{empty: true}
	case 5: // gone for good; a successor comes at another address
		h.node, h.gone, h.lostTo = nil, true, span+catchUpRounds
		next := &simHost{address: address(len(s.hosts) + 1), disk: disk{empty: true}, downTo: span - 4}
		s.hosts = append(s.hosts, next)
		// The seeds are hosts that serve; they may be other ones than before.
		s.seeds = nil
		for _, h := range s.hosts {
			if !h.gone && len(s.seeds) < 3 {
				s.seeds = append(s.seeds, h.address)
			}
		}
	}
}

func (s *sim) restart() {
	for _, h := range s.hosts {
		if h.node == nil && !h.gone && s.round >= h.downTo {
			s.start(h, false)
		}
	}
}

func (s *sim) run() string {
	for ; s.round < s.rounds && s.violation == ""; s.round++ {
		s.restart()
		s.fault()
		s.deliver()
		s.tick()
		s.clients()
	}
	s.settle()
	return s.violation
}

// settle ends every fault; the group must then accept and read.
func (s *sim) settle() {
	for _, h := range s.hosts {
		h.downTo, h.frozenTo, h.cutTo = 0, 0, 0
	}
	before := s.accepted
	for end := s.round + 200; s.round < end && s.violation == ""; s.round++ {
		s.restart()
		s.deliver()
		s.tick()
		s.clients()
	}
	if s.violation == "" && s.accepted <= before {
		s.fail("nothing is accepted 20 s after the last fault")
	}
}

// Guards against acknowledged documents that are lost, reads of an older version, and groups that do
// not recover, under random losses of disks, hosts, connections and processes within the tolerance.
func TestRandomSchedules(t *testing.T) {
	for i := range *schedules {
		seed := *firstSeed + uint64(i)
		if v := newSim(seed).run(); v != "" {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
}

// Shows that the schedules find what the rule on founding prevents: hosts whose disks were lost found
// a second group.
func TestSchedulesFindSecondGroup(t *testing.T) {
	for seed := uint64(1); seed <= 300; seed++ {
		s := newSim(seed)
		s.refounds = true
		if s.run() != "" {
			return
		}
	}
	t.Error("no schedule found a violation although empty disks found groups")
}

// Guards against a host that cannot join for as long as its clock was set back: the group knows an
// incarnation of its that is 10 minutes ahead.
func TestClockSetBackDelaysJoinBriefly(t *testing.T) {
	g := &Group{cfg: Config{Self: address(1), Seeds: func() []netip.AddrPort { return []netip.AddrPort{address(1)} }}, self: MemberID(address(1))}
	known := ident.Incarnation(time.Now().Add(10 * time.Minute).UnixNano())
	for refused := 0; ; refused++ {
		self, founding := g.identity()
		if founding != nil || refused > 10 {
			t.Fatalf("not later than the known incarnation after %d refusals", refused)
		}
		if self.Incarnation > known {
			return
		}
		g.lastSelf = self.Incarnation
		g.chooseLater()
	}
}
