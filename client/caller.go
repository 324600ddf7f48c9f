package client

import (
	"context"
	"sync"
	"time"

	wirepb "rosemarygate/api/wire/v1"
)

// Caller runs requests on a flow of its own. It opens the flow when it is needed and moves
// to another upstream when the present one refuses work that did not run.
type Caller struct {
	client *Client

	mu   sync.Mutex
	flow *Flow
	// users are the requests in progress on each flow, also on flows that were left.
	users map[*Flow]int
}

// NewCaller returns a caller without a flow.
func (c *Client) NewCaller() *Caller { return &Caller{client: c, users: map[*Flow]int{}} }

const (
	elsewhereWait    = 20 * time.Millisecond
	elsewhereMaxWait = 500 * time.Millisecond
	// deadlineAttempts spreads the attempts of a request that queues are too long for over
	// its time. Attempts 20 ms apart used up the retry budget while the queue stayed.
	deadlineAttempts = 16
)

// timeLeft returns the time until the deadline of ctx, 0 without one.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline)
}

// Attempt is one try of a request on one flow.
type Attempt struct {
	Flow   uint64
	Result Result
}

// Do runs one request until it has an outcome other than one that another attempt may
// better, or ctx ends. It returns every attempt, the last one being the result. A request
// that may have run is sent again only when it is idempotent, as a new request. Attempts
// after the first are paid for by the retry budget that the client has for the class.
func (c *Caller) Do(ctx context.Context, q Request) ([]Attempt, error) {
	var attempts []Attempt
	wait := elsewhereWait
	for {
		f, err := c.open(ctx)
		if err != nil {
			return attempts, err
		}
		r, err := f.Do(ctx, q)
		if err != nil {
			c.leave(f)
		}
		again := err == nil && c.tryAgain(f, q, r) && c.client.takeRetry(q.Class)
		if again && r.Reason == wirepb.Reason_REASON_DEADLINE {
			c.leave(f)
			wait = max(wait, timeLeft(ctx)/deadlineAttempts)
		}
		c.release(f)
		if err != nil {
			if ctx.Err() != nil {
				return attempts, err
			}
			continue
		}
		attempts = append(attempts, Attempt{Flow: f.id, Result: r})
		if r.Outcome == Answered {
			c.client.succeeded(q.Class)
		}
		if !again {
			return attempts, nil
		}
		select {
		case <-time.After(jitter(wait)):
			wait = max(wait, min(2*wait, elsewhereMaxWait))
		case <-ctx.Done():
			return attempts, nil
		}
	}
}

// tryAgain reports whether another attempt is allowed and may help, and leaves the flow
// when its upstream does not take work for now.
func (c *Caller) tryAgain(f *Flow, q Request, r Result) bool {
	if r.Outcome == Answered || r.Outcome != NotRun && !q.Idempotent {
		return false
	}
	switch r.Reason {
	case wirepb.Reason_REASON_OWNER_GONE, wirepb.Reason_REASON_RECORD_EXPIRED:
		return r.Outcome != NotRun
	case wirepb.Reason_REASON_UPSTREAM_DRAINING, wirepb.Reason_REASON_UPSTREAM_GONE:
		c.leave(f)
		return true
	case wirepb.Reason_REASON_UPSTREAM_SHED, wirepb.Reason_REASON_QUEUE_FULL:
		return true
	case wirepb.Reason_REASON_DEADLINE:
		// The queue would have taken too long; another one may be shorter.
		return r.Outcome == NotRun
	default:
		return false
	}
}

// Open opens the caller's flow unless it has one. Do opens it as well; Open is for callers
// that hold a flow before their first request.
func (c *Caller) Open(ctx context.Context) error {
	f, err := c.open(ctx)
	if err != nil {
		return err
	}
	c.release(f)
	return nil
}

// FlowID returns the identifier of the flow that the next request uses, 0 when there is none.
func (c *Caller) FlowID() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flow == nil {
		return 0
	}
	return c.flow.id
}

func (c *Caller) open(ctx context.Context) (*Flow, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flow != nil && c.flow.Err() == nil {
		c.users[c.flow]++
		return c.flow, nil
	}
	f, err := c.client.Open(ctx)
	if err != nil {
		return nil, err
	}
	c.flow = f
	c.users[f]++
	return f, nil
}

// leave makes the next request open a flow at another upstream. The flow is closed when
// its other requests have ended: closing it would leave their outcomes unknown.
func (c *Caller) leave(f *Flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flow == f {
		c.flow = nil
	}
}

// release ends one request's use of a flow, and closes a flow that was left.
func (c *Caller) release(f *Flow) {
	c.mu.Lock()
	c.users[f]--
	unused := c.users[f] == 0
	if unused {
		delete(c.users, f)
	}
	left := c.flow != f
	c.mu.Unlock()
	if unused && left {
		f.Close()
	}
}

// Close closes the caller's flow once its requests have ended.
func (c *Caller) Close() {
	c.mu.Lock()
	f := c.flow
	c.flow = nil
	busy := c.users[f] > 0
	c.mu.Unlock()
	if f != nil && !busy {
		f.Close()
	}
}
