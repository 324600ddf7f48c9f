// Package owner is the decision core of the upstreams that a daemon owns: their flows,
// request records, dispatch, feeds and handover.
//
// The core is a deterministic state machine: Step takes the time and one event and
// returns actions. It does no I/O and starts no goroutine, so a test bench can drive it
// directly. One core serves a subset (shard) of a daemon's upstreams.
//
// Invariants:
//   - A non-idempotent request is given to an upstream at most once by a core, and only
//     when its token names this owner incarnation or a predecessor whose records were
//     handed over.
//   - NOT_RUN is sent only for a request that has a record in state not run; no later
//     copy of that request can start it while the record or its tombstone exists.
//   - A request whose record may have been dropped is never started.
package owner

import (
	"time"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/dispatch"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/retry"
	"rosemarygate/pkg/token"
)

const (
	// TickInterval is the period of Tick events.
	TickInterval = 50 * time.Millisecond

	unconfirmedLifetime = 5 * time.Second
	// packetLifetime is the longest time that a datagram may spend on its way.
	packetLifetime    = 30 * time.Second
	maxRecordsPerFlow = 256
	maxDeadline       = 10 * time.Minute
)

// Config is the identity of the core's daemon.
type Config struct {
	Self        ident.DaemonID
	Incarnation ident.Incarnation
	Keys        []token.Key
}

// Service is what the core needs to know of a service's configuration.
type Service struct {
	Classes   []dispatch.Class
	Deadlines []time.Duration // longest deadline of each class, same order as Classes
	FlowIdle  time.Duration
	// DefaultClass is the class of requests that name none or an unknown one; empty when
	// they are refused.
	DefaultClass string
}

func (s *Service) class(name string) (int, bool) {
	fallback := -1
	for i := range s.Classes {
		switch s.Classes[i].Name {
		case name:
			return i, true
		case s.DefaultClass:
			fallback = i
		}
	}
	return fallback, fallback >= 0
}

// Core owns a set of upstreams. It is not safe for concurrent use.
type Core struct {
	cfg       Config
	codec     *token.Codec
	services  Services
	upstreams map[ident.UpstreamID]*upstream
	// ended is the largest incarnation of each upstream whose lease ended.
	ended map[ident.UpstreamID]ident.Incarnation
	calls map[uint64]*record
	// budgets limit the retries of each service to a part of its successes.
	budgets  map[ident.ServiceID]*retry.Budget
	nextCall uint64
	now      time.Time
	// lastIssue is the largest issue time of a token; a new ownership starts after it.
	lastIssue time.Time
	out       []Action
}

// NewCore returns a core without upstreams.
func NewCore(cfg Config) *Core {
	return &Core{
		cfg:       cfg,
		codec:     token.NewCodec(cfg.Keys),
		services:  ServiceMap{},
		upstreams: map[ident.UpstreamID]*upstream{},
		ended:     map[ident.UpstreamID]ident.Incarnation{},
		calls:     map[uint64]*record{},
		budgets:   map[ident.ServiceID]*retry.Budget{},
	}
}

// Step handles one event at the given time and returns the actions in the order in which
// they have to be carried out. The slice is valid until the next Step.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.now = now
	c.out = c.out[:0]
	switch ev := ev.(type) {
	case OpenReceived:
		c.open(ev)
	case FrameReceived:
		c.frame(ev)
	case UpstreamUp:
		c.upstreamUp(ev)
	case UpstreamDown:
		c.upstreamDown(ev)
	case UpstreamLost:
		c.upstreamLost(ev)
	case ExecuteDone:
		c.executeDone(ev)
	case FeedReceived:
		c.feedReceived(ev)
	case FeedsReset:
		c.feedsReset(ev)
	case Tick:
		c.tick()
	case ServicesChanged:
		c.servicesChanged(ev)
	case KeysChanged:
		c.codec = token.NewCodec(ev.Keys)
	case HandoverRequested:
		c.handoverRequested(ev)
	case HandoverEnded:
		c.handoverEnded(ev)
	case HandoverReceived:
		c.handoverReceived(ev)
	case CompletedReceived:
		c.completedReceived(ev)
	}
	return c.out
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

func (c *Core) count(k Counter, s ident.ServiceID, r wirepb.Reason) {
	c.emit(Count{Counter: k, Service: s, Reason: r})
}

func (c *Core) send(f *flow, fr *wirepb.Frame) {
	fr.FlowId = uint64(f.id)
	c.emit(SendFrame{Caller: f.caller, Service: f.up.service, Frame: fr})
}

// Load describes one upstream for reports to other daemons and for status.
type Load struct {
	Service     ident.ServiceID
	Upstream    ident.UpstreamID
	Incarnation ident.Incarnation
	Flows       int
	Running     int
	Queued      int
	Draining    bool
}

// Loads returns the load of every upstream that the core owns now.
func (c *Core) Loads() []Load {
	out := make([]Load, 0, len(c.upstreams))
	for _, u := range ordered(c.upstreams) {
		if u.movedTo != 0 {
			continue
		}
		l := u.sched.Load()
		out = append(out, Load{
			Service: u.service, Upstream: u.id, Incarnation: u.incarnation,
			Flows: u.openFlows(), Running: l.Running, Queued: l.Queued, Draining: u.draining,
		})
	}
	return out
}

// Running returns the number of calls that are in progress.
func (c *Core) Running() int { return len(c.calls) }
