package client

import (
	"context"
	"sync"
	"time"

	wirepb "rosemarygate/api/wire/v1"
)

// Caller runs requests on a flow that it opens when needed. It changes to another upstream when the
// current one refuses requests that did not run.
type Caller struct {
	client *Client

	mu   sync.Mutex
	flow *Flow
	// requestsInProgress counts the requests on each flow, including abandoned flows.
	requestsInProgress map[*Flow]int
}

// NewCaller returns a caller without a flow.
func (c *Client) NewCaller() *Caller { return &Caller{client: c, requestsInProgress: map[*Flow]int{}} }

const (
	firstRetryWait = 20 * time.Millisecond
	maxRetryWait   = 500 * time.Millisecond
	// attemptsUntilDeadline spreads the attempts of a request over the time until its deadline, when
	// queues are too long for it. Attempts 20 ms apart used up the retry budget while the queue was
	// still too long.
	attemptsUntilDeadline = 16
)

// timeLeft returns the time until the deadline of ctx, or 0 when ctx has none.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline)
}

// Attempt is one attempt of a request on one flow.
type Attempt struct {
	Flow   uint64
	Result Result
}

// Do runs one request until it has a final outcome, no further attempt is allowed, or ctx ends. It
// returns every attempt; the last one is the result. A request that may have run is sent again only
// when it is idempotent, as a new request. Each attempt after the first uses the retry budget that
// the client has for the class.
func (c *Caller) Do(ctx context.Context, request Request) ([]Attempt, error) {
	var attempts []Attempt
	wait := firstRetryWait
	for {
		f, err := c.acquireFlow(ctx)
		if err != nil {
			return attempts, err
		}
		result, err := f.Do(ctx, request)
		if err != nil {
			c.abandonFlow(f)
		}
		retry := err == nil && c.shouldRetry(f, request, result) && c.client.takeRetry(request.Class)
		if retry && result.Reason == wirepb.Reason_REASON_DEADLINE {
			c.abandonFlow(f)
			wait = max(wait, timeLeft(ctx)/attemptsUntilDeadline)
		}
		c.releaseFlow(f)
		if err != nil {
			if ctx.Err() != nil {
				return attempts, err
			}
			continue
		}
		attempts = append(attempts, Attempt{Flow: f.id, Result: result})
		if result.Outcome == Answered {
			c.client.recordSuccess(request.Class)
		}
		if !retry {
			return attempts, nil
		}
		select {
		case <-time.After(jitter(wait)):
			wait = max(wait, min(2*wait, maxRetryWait))
		case <-ctx.Done():
			return attempts, nil
		}
	}
}

// shouldRetry reports whether another attempt is allowed and may succeed. It abandons the flow when
// its upstream is draining or gone.
func (c *Caller) shouldRetry(f *Flow, request Request, result Result) bool {
	if result.Outcome == Answered || result.Outcome != NotRun && !request.Idempotent {
		return false
	}
	switch result.Reason {
	case wirepb.Reason_REASON_OWNER_GONE, wirepb.Reason_REASON_RECORD_EXPIRED:
		return result.Outcome != NotRun
	case wirepb.Reason_REASON_UPSTREAM_DRAINING, wirepb.Reason_REASON_UPSTREAM_GONE:
		c.abandonFlow(f)
		return true
	case wirepb.Reason_REASON_UPSTREAM_SHED, wirepb.Reason_REASON_QUEUE_FULL:
		return true
	case wirepb.Reason_REASON_DEADLINE:
		// The wait in the queue would exceed the deadline; the queue of another upstream may be shorter.
		return result.Outcome == NotRun
	default:
		return false
	}
}

// Open opens the caller's flow unless it has one. Do opens it as well; Open is for callers that need
// a flow before their first request.
func (c *Caller) Open(ctx context.Context) error {
	f, err := c.acquireFlow(ctx)
	if err != nil {
		return err
	}
	c.releaseFlow(f)
	return nil
}

// FlowID returns the identifier of the flow that the next request uses, or 0 when there is none.
func (c *Caller) FlowID() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flow == nil {
		return 0
	}
	return c.flow.id
}

func (c *Caller) acquireFlow(ctx context.Context) (*Flow, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flow != nil && c.flow.Err() == nil {
		c.requestsInProgress[c.flow]++
		return c.flow, nil
	}
	f, err := c.client.Open(ctx)
	if err != nil {
		return nil, err
	}
	c.flow = f
	c.requestsInProgress[f]++
	return f, nil
}

// abandonFlow makes the next request open another flow. The abandoned flow is closed when its other
// requests have ended, because closing it earlier would make their outcomes unknown.
func (c *Caller) abandonFlow(f *Flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flow == f {
		c.flow = nil
	}
}

// releaseFlow ends one request's use of a flow, and closes an abandoned flow that has no more
// requests.
func (c *Caller) releaseFlow(f *Flow) {
	c.mu.Lock()
	c.requestsInProgress[f]--
	unused := c.requestsInProgress[f] == 0
	if unused {
		delete(c.requestsInProgress, f)
	}
	abandoned := c.flow != f
	c.mu.Unlock()
	if unused && abandoned {
		f.Close()
	}
}

// Close closes the caller's flow once its requests have ended.
func (c *Caller) Close() {
	c.mu.Lock()
	f := c.flow
	c.flow = nil
	inUse := c.requestsInProgress[f] > 0
	c.mu.Unlock()
	if f != nil && !inUse {
		f.Close()
	}
}
