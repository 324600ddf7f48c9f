package agreement_test

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/ident"
)

const (
	defaultSeeds = 2000
	shards       = 16
	seedsEnv     = "AGREEMENT_SEEDS" // number of schedules to run
	firstSeedEnv = "AGREEMENT_FIRST" // first seed; with AGREEMENT_SEEDS=1 it repeats one schedule
)

func envNumber(t *testing.T, name string, def uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return def
	}
	n, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err, name)
	return n
}

// Guards against lost, reverted or diverging changes, two leaders in a term, stale reads and a group
// that does not recover under random faults. The long run is
//
//	AGREEMENT_SEEDS=100000 go test -run TestRandomFaults -timeout 60m ./pkg/agreement
//
// AGREEMENT_SEEDS=1 AGREEMENT_FIRST=seed repeats one schedule.
func TestRandomFaults(t *testing.T) {
	seeds := envNumber(t, seedsEnv, defaultSeeds)
	first := envNumber(t, firstSeedEnv, 1)
	var mu sync.Mutex
	var total stats
	t.Run("shards", func(t *testing.T) {
		for shard := range uint64(shards) {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				for seed := first + shard; seed < first+seeds; seed += shards {
					v, st := runSchedule(seed, disabledProtections{})
					if v != nil {
						t.Errorf("seed %d: %s: %s", seed, v.kind, v.detail)
					}
					mu.Lock()
					total.add(st)
					mu.Unlock()
				}
			})
		}
	})
	t.Logf("%d schedules: %+v", seeds, total)
	if seeds >= defaultSeeds {
		assert.Assert(t, total.lostDisks > 1000 && total.promotions > 1000 && total.answered > 20000 && total.reads > 10000 && total.readded > 50,
			"too few faults or operations in the schedules: %+v", total)
	}
}

func (s *stats) add(other stats) {
	s.crashes += other.crashes
	s.lostDisks += other.lostDisks
	s.partitions += other.partitions
	s.answered += other.answered
	s.reads += other.reads
	s.promotions += other.promotions
	s.removals += other.removals
	s.readded += other.readded
	s.terms += other.terms
}

// findViolation fails the test unless the schedule of some seed finds a violation of one of the kinds.
func findViolation(t *testing.T, disabled disabledProtections, kinds ...violationKind) {
	t.Helper()
	for seed := uint64(1); seed <= defaultSeeds; seed++ {
		v, _ := runSchedule(seed, disabled)
		for _, kind := range kinds {
			if v != nil && v.kind == kind {
				t.Logf("seed %d: %s: %s", seed, v.kind, v.detail)
				return
			}
		}
	}
	t.Fatalf("no schedule found any of %v with %+v", kinds, disabled)
}

// Guards against a checker that does not detect losses caused by a missing sync.
func TestCheckerFindsMissingSync(t *testing.T) {
	t.Parallel()
	findViolation(t, disabledProtections{noSync: true}, lostChange, diverged, twoLeaders, notLinearizable)
}

// Guards against a checker that does not detect a replica that votes and counts as before after its
// disk was lost.
func TestCheckerFindsMissingLearnerRule(t *testing.T) {
	t.Parallel()
	findViolation(t, disabledProtections{noLearnerRule: true}, lostChange, diverged, twoLeaders, notLinearizable)
}

// returnDisruptsLeader isolates a follower for 100 rounds, reconnects it, and reports whether that
// forced the leader out.
func returnDisruptsLeader(seed uint64, disabled disabledProtections) bool {
	s := newSim(seed, disabled)
	s.lossRate = 0
	for range 60 {
		s.step(false)
	}
	before := s.hosts[0].node.Status()
	isolated := s.hosts[int(before.Leader.ID)%len(s.hosts)]
	for _, other := range s.hosts {
		s.blockedUntil[[2]ident.DaemonID{other.id, isolated.id}] = s.round + 100
		s.blockedUntil[[2]ident.DaemonID{isolated.id, other.id}] = s.round + 100
	}
	for range 160 {
		s.step(false)
	}
	leader := s.hosts[before.Leader.ID-1].node.Status()
	return leader.Role != agreement.Leader || leader.Term != before.Term
}

// Guards against a replica that forces the leader out when it returns from isolation. The runs without
// pre-vote show that the test detects this.
func TestPreVotePreventsDisruption(t *testing.T) {
	const seeds = 200
	disruptedWithPreVote, disruptedWithoutPreVote := 0, 0
	for seed := range uint64(seeds) {
		if returnDisruptsLeader(seed, disabledProtections{}) {
			disruptedWithPreVote++
		}
		if returnDisruptsLeader(seed, disabledProtections{noPreVote: true}) {
			disruptedWithoutPreVote++
		}
	}
	t.Logf("leaders forced out in %d schedules: %d with pre-vote, %d without", seeds, disruptedWithPreVote, disruptedWithoutPreVote)
	assert.Equal(t, disruptedWithPreVote, 0)
	assert.Assert(t, disruptedWithoutPreVote > seeds/2)
}
