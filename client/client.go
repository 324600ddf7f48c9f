// Package client is the library for callers: flows, feeds and requests over datagrams,
// with typed outcomes.
//
// A Client talks to one service. Open returns a Flow; Flow.Do runs one request and
// Flow.Subscribe receives the flow's feed. Any daemon accepts any datagram.
package client

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/retry"
)

const (
	defaultKeepAliveInterval = time.Second
	defaultFlowTimeout       = 30 * time.Second
	firstResendDelay         = 100 * time.Millisecond
	maxResendDelay           = time.Second
	unconfirmedResendDelay   = 200 * time.Millisecond
)

// Config configures a client. The zero value of each field selects its default.
type Config struct {
	// KeepAlive is the interval between the keep-alives of a flow; default 1 s.
	KeepAlive time.Duration
	// FlowTimeout is the time without a reply after which a flow ends; default 30 s.
	FlowTimeout time.Duration
}

// Client manages the flows to one service over one transport.
type Client struct {
	cfg         Config
	transport   Transport
	closed      atomic.Bool
	receiveDone chan struct{}
	wheel       timerWheel

	mu    sync.Mutex
	flows map[uint64]*Flow
	// retryBudgets are by request class, so that the retries of an overloaded class do not use up
	// those of the other classes.
	retryBudgets map[string]*retry.Budget
}

// New returns a client over the transport and takes ownership of it.
func New(transport Transport, cfg Config) *Client {
	if cfg.KeepAlive == 0 {
		cfg.KeepAlive = defaultKeepAliveInterval
	}
	if cfg.FlowTimeout == 0 {
		cfg.FlowTimeout = defaultFlowTimeout
	}
	c := &Client{
		retryBudgets: map[string]*retry.Budget{},
		cfg:          cfg, transport: transport, flows: map[uint64]*Flow{}, receiveDone: make(chan struct{})}
	go c.receive()
	go c.wheel.run(c.receiveDone)
	return c
}

// Close closes the transport and ends all flows. The service removes them when they expire.
func (c *Client) Close() error {
	c.closed.Store(true)
	err := c.transport.Close()
	<-c.receiveDone
	c.mu.Lock()
	flows := c.flows
	c.flows = map[uint64]*Flow{}
	c.mu.Unlock()
	for _, f := range flows {
		f.end(&FlowError{Reason: wirepb.Reason_REASON_CANCELLED})
	}
	return err
}

// Open opens a flow. It resends the open until a reply arrives or ctx ends. The error is a *FlowError
// when the service refused the flow.
func (c *Client) Open(ctx context.Context) (*Flow, error) {
	f := c.newFlow()
	wait := firstResendDelay
	for {
		f.send(&wirepb.Frame{Body: &wirepb.Frame_Open{Open: &wirepb.Open{}}})
		select {
		case <-f.opened:
			f.sendKeepAliveIfDue()
			return f, nil
		case <-f.gone:
			return nil, f.Err()
		case <-ctx.Done():
			c.removeFlow(f)
			return nil, errors.Wrap(ctx.Err(), "open got no reply: check that a daemon and an upstream of the service are up")
		case <-time.After(jitter(wait)):
			wait = min(wait*2, maxResendDelay)
		}
	}
}

func (c *Client) newFlow() *Flow {
	f := &Flow{
		client: c, id: rand.Uint64(),
		opened: make(chan struct{}), gone: make(chan struct{}),
		requests: map[uint64]*pendingRequest{}, lastReply: time.Now(),
	}
	c.mu.Lock()
	c.flows[f.id] = f
	c.mu.Unlock()
	return f
}

// takeRetry takes one retry from the budget of a class and reports whether one was available.
func (c *Client) takeRetry(class string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retryBudget(class).Take(time.Now())
}

// recordSuccess adds an answered request to the retry budget of its class.
func (c *Client) recordSuccess(class string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retryBudget(class).Success()
}

// retryBudget returns the retry budget of a class; the caller holds c.mu.
func (c *Client) retryBudget(class string) *retry.Budget {
	b := c.retryBudgets[class]
	if b == nil {
		b = retry.NewBudget(retry.DefaultRatio, retry.DefaultMinRate, retry.DefaultBurst)
		c.retryBudgets[class] = b
	}
	return b
}

func (c *Client) removeFlow(f *Flow) {
	c.mu.Lock()
	delete(c.flows, f.id)
	c.mu.Unlock()
}

func (c *Client) receive() {
	defer close(c.receiveDone)
	buf := make([]byte, 2*frame.MaxSize)
	for {
		n, err := c.transport.Receive(buf)
		if err != nil {
			if c.closed.Load() || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		fr, err := frame.Decode(buf[:n])
		if err != nil {
			continue
		}
		c.mu.Lock()
		f := c.flows[fr.FlowId]
		c.mu.Unlock()
		if f != nil {
			f.handleFrame(fr)
		}
	}
}

// jitter returns a random delay between half and one and a half times d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
