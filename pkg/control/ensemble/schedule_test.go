package ensemble

import (
	"flag"
	"net/netip"
	"slices"
	"testing"
	"time"

	"rosemarygate/pkg/ident"
)

var (
	schedules = flag.Int("schedules", 150, "random fault schedules of TestRandomSchedules")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first schedule")
)

// scheduleRounds is the length of a schedule in rounds of one tick.
const scheduleRounds = 900

func (s *sim) lostHosts() int {
	count := 0
	for _, h := range s.hosts {
		stopping := h.isStopping(s.round) && h.node != nil
		if stopping || h.permanentlyLost && s.round < h.lostUntil || !h.permanentlyLost && s.round < max(h.lostUntil, h.downUntil, h.frozenUntil, h.disconnectedUntil)+catchUpRounds {
			count++
		}
	}
	return count
}

// injectFault starts one fault if the deployment tolerates one more lost host, or kills all processes
// without losing their disks.
func (s *sim) injectFault() {
	if s.rng.IntN(25) > 0 {
		return
	}
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	endRound := s.round + 5 + s.rng.IntN(60)
	if s.rng.IntN(12) == 0 && s.lostHosts() == 0 {
		for _, h := range s.hosts {
			if h.node != nil {
				h.node, h.downUntil = nil, endRound-s.rng.IntN(5)
			}
		}
		return
	}
	kind := s.rng.IntN(9)
	if h.permanentlyLost || h.stopAtRound > 0 || s.round < 100 || s.lostHosts() >= s.toleratedFor(kind) {
		return
	}
	switch kind {
	case 0:
		h.frozenUntil = endRound
	case 1:
		h.disconnectedUntil = endRound
	case 2, 3:
		h.node, h.downUntil = nil, endRound
	case 4: // the disk is lost
		h.node, h.downUntil, h.disk = nil, endRound, disk{empty: true}
		s.lostDisks++
	case 5: // the host is permanently lost; a successor starts at another address
		if s.round < s.nextRemovalRound {
			return
		}
		h.node, h.permanentlyLost, h.lostUntil = nil, true, endRound+catchUpRounds
		s.lostDisks++
		s.addHost(endRound - 4)
	case 6: // a planned restart
		h.stopAtRound, h.lostUntil = s.round, s.round+graceRounds+5
	case 7: // a planned replacement: the successor has caught up when the host is told to stop
		s.addHost(s.round)
		h.stopAtRound, h.removed = s.round+catchUpRounds+s.rng.IntN(60), true
	case 8: // the same, but the host is killed for good
		if s.round < s.nextRemovalRound {
			return
		}
		s.addHost(s.round)
		h.stopAtRound, h.removed, h.killed = s.round+catchUpRounds+s.rng.IntN(60), true, true
		s.lostDisks++
	}
}

// toleratedFor returns the number of lost hosts at which no fault of a kind is added.
func (s *sim) toleratedFor(kind int) int {
	losesDisk := kind == 4 || kind == 5 || kind == 8
	switch {
	case s.overlapLosses && losesDisk && s.lostDisks >= s.tolerated:
		return 0
	case !s.overlapLosses || kind > 4:
		return s.tolerated
	}
	return s.tolerated + 1
}

// recordLosses counts the lost disks anew once no host was lost, or about to be killed, for longer than the
// recovery takes.
func (s *sim) recordLosses() {
	pending := slices.ContainsFunc(s.hosts, func(h *simHost) bool { return h.stopAtRound > 0 })
	if pending || s.lostHosts() > 0 {
		s.calmSince = s.round
	}
	if s.round-s.calmSince > recoveryRounds {
		s.lostDisks = 0
	}
}

// recoveryRounds is the time after the return of all hosts in which service may be suspended.
const recoveryRounds = 150

// addHost adds a host with an empty disk that starts in a round.
func (s *sim) addHost(startRound int) *simHost {
	h := &simHost{address: address(len(s.hosts) + 1), disk: disk{empty: true}, downUntil: startRound}
	s.hosts = append(s.hosts, h)
	s.selectSeeds()
	return h
}

// selectSeeds makes the first hosts that are not gone for good the seeds, so they may differ from the
// earlier ones.
func (s *sim) selectSeeds() {
	s.seeds = nil
	for _, h := range s.hosts {
		if !h.permanentlyLost && !h.removed && len(s.seeds) < 3 {
			s.seeds = append(s.seeds, h.address)
		}
	}
}

// delayStops postpones a planned stop while as many hosts are lost as the deployment tolerates.
func (s *sim) delayStops() {
	for _, h := range s.hosts {
		if h.stopAtRound == s.round && s.lostHosts() > s.tolerated {
			h.stopAtRound++
		}
	}
}

func (s *sim) restartHosts() {
	for _, h := range s.hosts {
		if h.node == nil && !h.permanentlyLost && s.round >= h.downUntil {
			h.contacts = nil
			s.start(h, false)
		}
	}
}

func (s *sim) run() string {
	for ; s.round < s.rounds && s.violation == ""; s.round++ {
		s.restartHosts()
		s.delayStops()
		s.recordLosses()
		s.injectFault()
		s.deliver()
		s.tickHosts()
		s.runClients()
	}
	s.settle()
	return s.violation
}

// commitRounds is the end of a schedule without clients; it covers five heartbeats, some of which may be lost.
const commitRounds = 10

// settle ends all faults; the group then has to acknowledge documents and serve reads.
func (s *sim) settle() {
	for _, h := range s.hosts {
		h.downUntil, h.frozenUntil, h.disconnectedUntil = 0, 0, 0
	}
	acknowledgedBefore := s.acknowledged
	end := s.round + 200
	s.lastOrderRound = end - quietRounds
	for ; s.round < end && s.violation == ""; s.round++ {
		s.restartHosts()
		s.deliver()
		s.tickHosts()
		s.runClients()
	}
	// Copies of orders may be proposed until the last round. A commit reaches the followers with the next heartbeat.
	for end := s.round + commitRounds; s.round < end && s.violation == ""; s.round++ {
		s.deliver()
		s.tickHosts()
	}
	if s.violation == "" {
		s.checkOrdersInForce()
	}
	if s.violation == "" && s.acknowledged <= acknowledgedBefore {
		s.fail("no document is acknowledged within 20 s after the last fault")
	}
}

// Guards against lost acknowledged documents and orders, reads of an older version and groups that do not
// recover, under random losses of disks, hosts, connections and processes within the tolerance.
func TestRandomSchedules(t *testing.T) {
	for i := range *schedules {
		seed := *firstSeed + uint64(i)
		if v := newSim(seed).run(); v != "" {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
}

// Checks that the schedules detect the fault which the founding rule prevents: hosts that have lost
// their disks found a second group.
func TestSchedulesFindSecondGroup(t *testing.T) {
	for seed := uint64(1); seed <= 300; seed++ {
		s := newSim(seed)
		s.refoundEmptyDisks = true
		if s.run() != "" {
			return
		}
	}
	t.Error("no schedule found a violation although empty disks found groups")
}

// Guards against a host that cannot join the group for as long as its clock was set back: here the
// group has stored an incarnation of the host that is 10 minutes ahead.
func TestClockSetBackDelaysJoinBriefly(t *testing.T) {
	g := &Group{cfg: Config{PeerAddress: address(1), Seeds: func() []netip.AddrPort { return []netip.AddrPort{address(1)} }}, selfID: MemberID(address(1))}
	stored := ident.Incarnation(time.Now().Add(10 * time.Minute).UnixNano())
	for refusals := 0; ; refusals++ {
		self, founding := g.initialIdentity()
		if founding != nil || refusals > 10 {
			t.Fatalf("incarnation is not later than the stored one after %d refusals", refusals)
		}
		if self.Incarnation > stored {
			return
		}
		g.lastIncarnation = self.Incarnation
		g.raiseIncarnation()
	}
}
