package owner

import (
	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/retry"
)

// maxAttempts is the maximum number of calls to the upstream for one request.
const maxAttempts = 4

func (c *Core) retryBudget(s ident.ServiceID) *retry.Budget {
	b := c.retryBudgets[s]
	if b == nil {
		b = retry.NewBudget(retry.DefaultRatio, retry.DefaultMinRate, retry.DefaultBurst)
		c.retryBudgets[s] = b
	}
	return b
}

// scheduleRetry schedules another attempt after a failed call, and reports whether it did. A
// request that may have run is retried only when it is idempotent. A draining upstream gets no
// retries.
func (c *Core) scheduleRetry(r *record, ev ExecuteDone) bool {
	u := r.flow.upstream
	if c.upstreams[u.id] != u || u.movedTo != 0 || u.frozen || ev.Draining || u.draining {
		return false
	}
	if ev.Result != NotBegun && ev.Result != Failed {
		return false
	}
	d := retry.Decide(c.now, retry.Attempt{
		Idempotent: r.idempotent, NotRun: ev.Result == NotBegun,
		AttemptsMade: r.attempts, MaxAttempts: maxAttempts, Deadline: r.deadline,
	}, c.retryBudget(u.service))
	if !d.Retry {
		if reason, ok := retryRefusalReasons[d.Reason]; ok {
			c.count(RetriesRefused, u.service, reason)
		}
		return false
	}
	r.state, r.retryAt = stateQueued, c.now.Add(d.Wait)
	r.mayHaveRun = r.mayHaveRun || ev.Result == Failed
	u.pendingRetries = append(u.pendingRetries, r)
	c.count(RequestsRetried, u.service, retryReason(ev.Result))
	return true
}

// retryRefusalReasons maps the reasons for refusing a retry of a request that may be retried to
// those of the wire protocol.
var retryRefusalReasons = map[retry.Reason]wirepb.Reason{
	retry.ReasonAttempts: wirepb.Reason_REASON_LIMIT,
	retry.ReasonDeadline: wirepb.Reason_REASON_DEADLINE,
	retry.ReasonBudget:   wirepb.Reason_REASON_RETRY_BUDGET,
}

func retryReason(r ExecuteResult) wirepb.Reason {
	if r == NotBegun {
		return wirepb.Reason_REASON_UPSTREAM_SHED
	}
	return wirepb.Reason_REASON_UPSTREAM_GONE
}

// submitRetries enqueues the retries that are due.
func (c *Core) submitRetries(u *upstream) {
	waiting := u.pendingRetries[:0]
	dueRetries := []*record(nil)
	for _, r := range u.pendingRetries {
		switch {
		case r.state != stateQueued:
		case c.now.Before(r.retryAt):
			waiting = append(waiting, r)
		default:
			dueRetries = append(dueRetries, r)
		}
	}
	u.pendingRetries = waiting
	for _, r := range dueRetries {
		c.enqueue(r)
	}
}
