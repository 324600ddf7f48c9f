// Package client is the caller's library: flows, feeds and requests over datagrams, with
// typed outcomes.
//
// A Client talks to one service. Open returns a Flow; Flow.Do runs one request and
// Flow.Subscribe follows the flow's feed. Every datagram may reach any daemon.
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
	defaultKeepAlive   = time.Second
	defaultFlowTimeout = 30 * time.Second
	firstResend        = 100 * time.Millisecond
	maxResend          = time.Second
	unconfirmedResend  = 200 * time.Millisecond
)

// Config configures a client. The zero value of each field selects its default.
type Config struct {
	// KeepAlive is the time between two keep-alives of a flow; default 1 s.
	KeepAlive time.Duration
	// FlowTimeout is how long a flow lives without a reply; default 30 s.
	FlowTimeout time.Duration
}

// Client sends the flows of one service over one transport.
type Client struct {
	cfg       Config
	transport Transport
	closed    atomic.Bool
	done      chan struct{}
	wheel     wheel

	mu    sync.Mutex
	flows map[uint64]*Flow
	// budgets are by request class, so that retries of a class that floods leave those of the
	// others their own.
	budgets map[string]*retry.Budget
}

// New returns a client over the transport and takes ownership of it.
func New(t Transport, cfg Config) *Client {
	if cfg.KeepAlive == 0 {
		cfg.KeepAlive = defaultKeepAlive
	}
	if cfg.FlowTimeout == 0 {
		cfg.FlowTimeout = defaultFlowTimeout
	}
	c := &Client{
		budgets: map[string]*retry.Budget{},
		cfg:     cfg, transport: t, flows: map[uint64]*Flow{}, done: make(chan struct{})}
	go c.receive()
	go c.wheel.run(c.done)
	return c
}

// Close closes the transport. Flows that were not closed expire at the service.
func (c *Client) Close() error {
	c.closed.Store(true)
	err := c.transport.Close()
	<-c.done
	c.mu.Lock()
	flows := c.flows
	c.flows = map[uint64]*Flow{}
	c.mu.Unlock()
	for _, f := range flows {
		f.fail(&FlowError{Reason: wirepb.Reason_REASON_CANCELLED})
	}
	return err
}

// Open opens a flow. It repeats the open until a reply arrives or ctx ends. The error is
// a *FlowError when the service refused.
func (c *Client) Open(ctx context.Context) (*Flow, error) {
	f := c.newFlow()
	wait := firstResend
	for {
		f.send(&wirepb.Frame{Body: &wirepb.Frame_Open{Open: &wirepb.Open{}}})
		select {
		case <-f.opened:
			f.keepAlive()
			return f, nil
		case <-f.gone:
			return nil, f.Err()
		case <-ctx.Done():
			c.forget(f)
			return nil, errors.Wrap(ctx.Err(), "open got no reply: check that a daemon and an upstream of the service are up")
		case <-time.After(jitter(wait)):
			wait = min(wait*2, maxResend)
		}
	}
}

func (c *Client) newFlow() *Flow {
	f := &Flow{
		client: c, id: rand.Uint64(),
		opened: make(chan struct{}), gone: make(chan struct{}),
		requests: map[uint64]*pending{}, lastReply: time.Now(),
	}
	c.mu.Lock()
	c.flows[f.id] = f
	c.mu.Unlock()
	return f
}

// takeRetry uses one retry of a class's budget and reports whether it had one.
func (c *Client) takeRetry(class string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget(class).Take(time.Now())
}

// succeeded lets an answered request pay for retries of its class.
func (c *Client) succeeded(class string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget(class).Success()
}

// budget returns the retry budget of a class; c.mu is held.
func (c *Client) budget(class string) *retry.Budget {
	b := c.budgets[class]
	if b == nil {
		b = retry.NewBudget(retry.DefaultRatio, retry.DefaultMinRate, retry.DefaultBurst)
		c.budgets[class] = b
	}
	return b
}

func (c *Client) forget(f *Flow) {
	c.mu.Lock()
	delete(c.flows, f.id)
	c.mu.Unlock()
}

func (c *Client) receive() {
	defer close(c.done)
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
			f.handle(fr)
		}
	}
}

// jitter spreads resends over half to one and a half of d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
