package owner

import (
	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/retry"
)

// maxAttempts bounds the calls to the upstream for one request.
const maxAttempts = 4

func (c *Core) budget(s ident.ServiceID) *retry.Budget {
	b := c.budgets[s]
	if b == nil {
		b = retry.NewBudget(retry.DefaultRatio, retry.DefaultMinRate, retry.DefaultBurst)
		c.budgets[s] = b
	}
	return b
}

// retry plans another attempt of a call that failed, and reports whether it did. A request
// that may have run is repeated only when it is idempotent, and an upstream that drains is
// not asked again.
func (c *Core) retry(r *record, ev ExecuteDone) bool {
	u := r.flow.up
	if c.upstreams[u.id] != u || u.movedTo != 0 || u.frozen || ev.Draining || u.draining {
		return false
	}
	if ev.Result != NotBegun && ev.Result != Failed {
		return false
	}
	d := retry.Decide(c.now, retry.Attempt{
		Idempotent: r.idempotent, NotRun: ev.Result == NotBegun,
		Attempts: r.attempts, MaxAttempts: maxAttempts, Deadline: r.deadline,
	}, c.budget(u.service))
	if !d.Retry {
		if reason, ok := retryRefusals[d.Reason]; ok {
			c.count(RetriesRefused, u.service, reason)
		}
		return false
	}
	r.state, r.retryAt = stateQueued, c.now.Add(d.Wait)
	r.mayHaveRun = r.mayHaveRun || ev.Result == Failed
	u.retries = append(u.retries, r)
	c.count(RequestsRetried, u.service, retryReason(ev.Result))
	return true
}

// retryRefusals are the reasons for which a retry that the request's kind allows is refused.
var retryRefusals = map[retry.Reason]wirepb.Reason{
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

// submitRetries queues the retries that are due.
func (c *Core) submitRetries(u *upstream) {
	waiting := u.retries[:0]
	due := []*record(nil)
	for _, r := range u.retries {
		switch {
		case r.state != stateQueued:
		case c.now.Before(r.retryAt):
			waiting = append(waiting, r)
		default:
			due = append(due, r)
		}
	}
	u.retries = waiting
	for _, r := range due {
		c.queue(r)
	}
}
