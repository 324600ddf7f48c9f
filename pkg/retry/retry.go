// Package retry decides whether a request may be sent again. A budget per service keeps
// retries in proportion to successes, so that they cannot multiply the load when every
// upstream sheds requests.
package retry

import (
	"time"

	"rosemarygate/pkg/reason"
)

const (
	// DefaultRatio is the number of retries that one success adds to the budget.
	DefaultRatio = 0.1
	// DefaultMinRate is the number of retries per second that are allowed without any
	// success, so that requests of a service with little traffic can be retried at all.
	DefaultMinRate = 1.0
	// DefaultBurst is the largest number of retries that can accumulate in the budget.
	DefaultBurst = 20.0
	// MinBackoff and MaxBackoff bound the wait before a retry; it doubles with each attempt.
	MinBackoff = 5 * time.Millisecond
	MaxBackoff = 500 * time.Millisecond
)

// Budget is the retry allowance of one service: a token bucket that is filled by successes.
// The zero value is not usable. It is not safe for concurrent use.
type Budget struct {
	ratio    float64
	minRate  float64 // tokens per second
	burst    float64
	tokens   float64
	filledAt time.Time
}

// NewBudget returns a budget that allows ratio retries per success plus minRate retries
// per second, and accumulates at most burst retries. It starts full.
func NewBudget(ratio, minRate, burst float64) *Budget {
	return &Budget{ratio: ratio, minRate: minRate, burst: burst, tokens: burst}
}

// Success adds the retries that one answered request allows.
func (b *Budget) Success() {
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Take takes one retry from the budget and reports whether one was available.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Available returns the number of retries that are currently allowed.
func (b *Budget) Available(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

func (b *Budget) refill(now time.Time) {
	if b.filledAt.IsZero() {
		b.filledAt = now
	}
	elapsedSeconds := now.Sub(b.filledAt).Seconds()
	if elapsedSeconds <= 0 {
		return
	}
	b.filledAt = now
	b.tokens = min(b.burst, b.tokens+b.minRate*elapsedSeconds)
}

// Reason is why a request is or is not retried.
type Reason uint8

// Reasons of a retry decision. ReasonNotRun and ReasonIdempotent allow the retry.
const (
	// ReasonNotRun: the request certainly did not run.
	ReasonNotRun Reason = iota + 1
	// ReasonIdempotent: the request may have run and is idempotent.
	ReasonIdempotent
	// ReasonMayHaveRun: a non-idempotent request may have run.
	ReasonMayHaveRun
	// ReasonAttempts: the request has used all its attempts.
	ReasonAttempts
	// ReasonDeadline: too little time is left for another attempt.
	ReasonDeadline
	// ReasonBudget: the service's retry budget is used up.
	ReasonBudget
	// ReasonInProgress: an attempt is still running; this package never hedges requests.
	ReasonInProgress
)

var reasonTexts = reason.Table[Reason]{
	ReasonNotRun:     {Name: "not_run", Remedy: "none: the request is retried"},
	ReasonIdempotent: {Name: "idempotent", Remedy: "none: the request is retried"},
	ReasonMayHaveRun: {Name: "may_have_run", Remedy: "check at the service whether the request took effect before sending it as a new one"},
	ReasonAttempts:   {Name: "attempts_used", Remedy: "send the request again later as a new one"},
	ReasonDeadline:   {Name: "deadline", Remedy: "allow a longer deadline"},
	ReasonBudget:     {Name: "budget_used", Remedy: "add upstreams, or wait until the service answers again"},
	ReasonInProgress: {Name: "in_progress", Remedy: "wait for the outcome of the running attempt"},
}

// Reasons returns all reasons; each has its own counter.
func Reasons() []Reason { return reasonTexts.All() }

// String returns the name of the reason in counters and logs.
func (r Reason) String() string { return reasonTexts.Name(r) }

// Remedy returns what a caller or operator can do; it is empty for an unknown reason.
func (r Reason) Remedy() string { return reasonTexts.Remedy(r) }

// Attempt describes the last attempt of a request.
type Attempt struct {
	Idempotent       bool
	NotRun           bool          // the owner or the upstream confirmed that it did not run
	InProgress       bool          // still running; the outcome is not known yet
	AttemptsMade     int           // attempts made so far
	MaxAttempts      int           // attempts allowed, the first one included
	Deadline         time.Time     // zero for none
	ExpectedDuration time.Duration // expected duration of one attempt
}

// Decision is the result of Decide.
type Decision struct {
	Retry  bool
	Reason Reason
	Wait   time.Duration // time to wait before the retry
}

// Decide decides whether a request may be sent again. It takes from the budget only if no
// other rule forbids the retry.
func Decide(now time.Time, a Attempt, b *Budget) Decision {
	if a.InProgress {
		return Decision{Reason: ReasonInProgress}
	}
	if !a.NotRun && !a.Idempotent {
		return Decision{Reason: ReasonMayHaveRun}
	}
	if a.AttemptsMade >= a.MaxAttempts {
		return Decision{Reason: ReasonAttempts}
	}
	wait := Backoff(a.AttemptsMade)
	if !a.Deadline.IsZero() && !now.Add(wait+a.ExpectedDuration).Before(a.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	if !b.Take(now) {
		return Decision{Reason: ReasonBudget}
	}
	if a.NotRun {
		return Decision{Retry: true, Reason: ReasonNotRun, Wait: wait}
	}
	return Decision{Retry: true, Reason: ReasonIdempotent, Wait: wait}
}

// Backoff returns the wait before the attempt that follows the given number of attempts.
// Callers add their own jitter.
func Backoff(attempts int) time.Duration {
	shift := min(max(0, attempts-1), 16)
	return min(MinBackoff<<shift, MaxBackoff)
}
