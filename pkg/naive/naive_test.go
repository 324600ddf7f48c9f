package naive

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarygate/pkg/dispatch"
)

// TestSchedulerAgreesWithBaselineWithoutContention guards against a scheduler that refuses, delays or
// reorders requests although slots are free: it must then act like the baseline dispatcher. The same
// holds for a single class without deadlines at any load.
func TestSchedulerAgreesWithBaselineWithoutContention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		single := rapid.Bool().Draw(t, "single class")
		classes := []dispatch.Class{{Name: "a", Share: 0.5, QueueLimit: 1 << 20}, {Name: "b", Share: 0.5, Priority: 0, QueueLimit: 1 << 20}}
		scheduler := dispatch.NewScheduler(dispatch.Limits{Slots: slots, Classes: classes})
		dispatcher := NewDispatcher(slots, 0)
		now := time.Unix(1000, 0)
		var running []uint64
		lastID := uint64(0)
		compare := func(ours, baseline []dispatch.Request) {
			assert.Equal(t, len(ours), len(baseline))
			for i := range ours {
				assert.Equal(t, ours[i].ID, baseline[i].ID)
				running = append(running, ours[i].ID)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				if !single && len(running) == slots {
					t.Skip("contention")
				}
				lastID++
				r := dispatch.Request{ID: lastID}
				if !single {
					r.Class = rapid.IntRange(0, 1).Draw(t, "class")
				}
				ours, refused := scheduler.Submit(now, r)
				assert.Equal(t, len(refused), 0)
				baseline, ok := dispatcher.Submit(r)
				assert.Assert(t, ok)
				compare(ours, baseline)
			},
			"done": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("nothing runs")
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "running")
				id := running[i]
				running = append(running[:i], running[i+1:]...)
				ours, _ := scheduler.Done(now, id, dispatch.Answered)
				compare(ours, dispatcher.Done(id))
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// TestBaselineRules checks the other baselines, which measurements depend on.
func TestBaselineRules(t *testing.T) {
	d := NewDispatcher(1, 1)
	for id, want := range []bool{true, true, false} {
		_, ok := d.Submit(dispatch.Request{ID: uint64(id)})
		assert.Equal(t, ok, want)
	}
	assert.Assert(t, d.Cancel(1))
	assert.Equal(t, len(d.Done(0)), 0)
	assert.Assert(t, ShouldRetry(2, 3))
	assert.Assert(t, !ShouldRetry(3, 3))
	assert.Assert(t, RandomIndex(rand.New(rand.NewPCG(1, 1)), 3) < 3)
	assert.Assert(t, SpillByThreshold(4, 1, time.Millisecond, time.Millisecond))
	assert.Assert(t, !SpillByThreshold(4, 1, 10*time.Millisecond, time.Millisecond))
}
