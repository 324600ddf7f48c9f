package membership_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/membership"
)

// Guards against a crash that stays unnoticed for longer than 2 s by any member.
func TestDeadMemberIsDetectedWithinTwoSeconds(t *testing.T) {
	for _, c := range []struct{ members, dataCentres, kills int }{{2, 1, 1}, {7, 1, 3}, {7, 4, 3}, {40, 1, 10}, {100, 1, 10}} {
		t.Run(fmt.Sprintf("%d members in %d", c.members, c.dataCentres), func(t *testing.T) {
			var worst time.Duration
			for seed := range uint64(5) {
				n := cluster(t, seed, c.members, c.dataCentres)
				for k := range c.kills {
					n.run(3 * time.Second)
					n.nodes[1+k].down = true
					took := n.until(5*time.Second, n.dead)
					worst = max(worst, took)
				}
			}
			t.Logf("slowest detection by all members: %v", worst)
			assert.Assert(t, worst < 2*time.Second)
		})
	}
}

// Guards against false deaths, each of which moves ownership.
func TestNoFalseDeathAtFivePercentLoss(t *testing.T) {
	for _, c := range []struct {
		members, dataCentres int
		seeds                uint64
	}{{7, 1, 4}, {7, 3, 4}, {40, 1, 3}} {
		t.Run(fmt.Sprintf("%d members in %d", c.members, c.dataCentres), func(t *testing.T) {
			suspicions := 0
			for seed := range c.seeds {
				n := cluster(t, seed, c.members, c.dataCentres)
				n.loss = 0.05
				n.onView = func(d *node) {
					suspicions += count(d, membership.Suspect)
					assert.Equal(t, 0, count(d, membership.Dead), "%s at %v", d.member.Name, n.now)
				}
				n.run(10 * time.Minute)
			}
			t.Logf("views with a suspect, over members: %d", suspicions)
		})
	}
}

func count(d *node, s membership.State) int {
	c := 0
	for _, m := range d.view.Members {
		if m.State == s {
			c++
		}
	}
	return c
}
