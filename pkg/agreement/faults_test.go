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
	seedsEnv     = "AGREEMENT_SEEDS" // number of schedules
	firstEnv     = "AGREEMENT_FIRST" // first seed; with AGREEMENT_SEEDS=1 it repeats one schedule
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
// that does not recover, under random faults. The long run is
//
//	AGREEMENT_SEEDS=100000 go test -run TestRandomFaults -timeout 60m ./pkg/agreement
//
// and one schedule is repeated with AGREEMENT_SEEDS=1 AGREEMENT_FIRST=seed.
func TestRandomFaults(t *testing.T) {
	seeds := envNumber(t, seedsEnv, defaultSeeds)
	first := envNumber(t, firstEnv, 1)
	var mu sync.Mutex
	var total stats
	t.Run("shards", func(t *testing.T) {
		for shard := range uint64(shards) {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				for seed := first + shard; seed < first+seeds; seed += shards {
					v, st := runSchedule(seed, switches{})
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
			"the schedules are too weak: %+v", total)
	}
}

func (s *stats) add(o stats) {
	s.crashes += o.crashes
	s.lostDisks += o.lostDisks
	s.partitions += o.partitions
	s.answered += o.answered
	s.reads += o.reads
	s.promotions += o.promotions
	s.removals += o.removals
	s.readded += o.readded
	s.terms += o.terms
}

// findViolation returns the first seed whose schedule breaks one of the kinds.
func findViolation(t *testing.T, off switches, kinds ...violationKind) {
	t.Helper()
	for seed := uint64(1); seed <= defaultSeeds; seed++ {
		v, _ := runSchedule(seed, off)
		for _, kind := range kinds {
			if v != nil && v.kind == kind {
				t.Logf("seed %d: %s: %s", seed, v.kind, v.detail)
				return
			}
		}
	}
	t.Fatalf("no schedule found %v with %+v", kinds, off)
}

// Guards against a checker that cannot see what a missing sync loses.
func TestCheckerFindsMissingSync(t *testing.T) {
	t.Parallel()
	findViolation(t, switches{noSync: true}, lostChange, diverged, twoLeaders, nonLinear)
}

// Guards against a checker that cannot see an empty disk that votes and counts as before.
func TestCheckerFindsMissingLearnerRule(t *testing.T) {
	t.Parallel()
	findViolation(t, switches{noLearnerRule: true}, lostChange, diverged, twoLeaders, nonLinear)
}

// disrupted isolates a follower for long, lets it return, and reports whether that forced the leader out.
func disrupted(seed uint64, off switches) bool {
	s := newSim(seed, off)
	s.loss = 0
	for range 60 {
		s.step(false)
	}
	before := s.hosts[0].node.Status()
	isolated := s.hosts[int(before.Leader.ID)%len(s.hosts)]
	for _, o := range s.hosts {
		s.blocked[[2]ident.DaemonID{o.id, isolated.id}] = s.round + 100
		s.blocked[[2]ident.DaemonID{isolated.id, o.id}] = s.round + 100
	}
	for range 160 {
		s.step(false)
	}
	leader := s.hosts[before.Leader.ID-1].node.Status()
	return leader.Role != agreement.Leader || leader.Term != before.Term
}

// Guards against a replica that forces the leader out when it returns from isolation, and against
// a check that would not see it.
func TestPreVotePreventsDisruption(t *testing.T) {
	const seeds = 200
	with, without := 0, 0
	for seed := range uint64(seeds) {
		if disrupted(seed, switches{}) {
			with++
		}
		if disrupted(seed, switches{noPreVote: true}) {
			without++
		}
	}
	t.Logf("leaders forced out in %d schedules: %d with pre-vote, %d without", seeds, with, without)
	assert.Equal(t, with, 0)
	assert.Assert(t, without > seeds/2)
}
