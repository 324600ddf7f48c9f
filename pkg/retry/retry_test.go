package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// TestBudgetBoundsAmplification guards against retries that multiply the load when every
// upstream sheds requests: their number is bounded by the burst plus the allowed ratio of
// successes plus the minimum rate.
func TestBudgetBoundsAmplification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(DefaultRatio, DefaultMinRate, DefaultBurst)
		now := start
		b.Available(now)
		taken, successes := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"success": func(*rapid.T) { b.Success(); successes++ },
			"take": func(*rapid.T) {
				if b.Take(now) {
					taken++
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				most := DefaultBurst + DefaultRatio*float64(successes) + DefaultMinRate*now.Sub(start).Seconds()
				if float64(taken) > most+1e-6 {
					t.Fatalf("%d retries, at most %.2f allowed", taken, most)
				}
			},
		})
	})
}

// TestDecide guards the rule that a request which may have run and is not idempotent is never
// sent again, and the reason of each decision.
func TestDecide(t *testing.T) {
	base := Attempt{Idempotent: true, NotRun: true, AttemptsMade: 1, MaxAttempts: 3, Deadline: start.Add(time.Second), ExpectedDuration: time.Millisecond}
	for _, test := range []struct {
		name   string
		change func(*Attempt)
		retry  bool
		reason Reason
	}{
		{"not run", func(*Attempt) {}, true, ReasonNotRun},
		{"non-idempotent not run", func(a *Attempt) { a.Idempotent = false }, true, ReasonNotRun},
		{"idempotent may have run", func(a *Attempt) { a.NotRun = false }, true, ReasonIdempotent},
		{"may have run", func(a *Attempt) { a.NotRun, a.Idempotent = false, false }, false, ReasonMayHaveRun},
		{"running", func(a *Attempt) { a.InProgress = true }, false, ReasonInProgress},
		{"attempts", func(a *Attempt) { a.AttemptsMade = 3 }, false, ReasonAttempts},
		{"deadline", func(a *Attempt) { a.ExpectedDuration = time.Second }, false, ReasonDeadline},
	} {
		a := base
		test.change(&a)
		d := Decide(start, a, NewBudget(DefaultRatio, DefaultMinRate, DefaultBurst))
		assert.Equal(t, d.Retry, test.retry, test.name)
		assert.Equal(t, d.Reason, test.reason, test.name)
	}
	empty := NewBudget(0, 0, 0)
	assert.Equal(t, Decide(start, base, empty).Reason, ReasonBudget)
	for _, r := range Reasons() {
		assert.Assert(t, r.Remedy() != "", "reason %v", r)
	}
	assert.Equal(t, Backoff(1), MinBackoff)
	assert.Equal(t, Backoff(100), MaxBackoff)
}
