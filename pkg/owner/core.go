// Package owner manages the upstreams that a daemon owns: their flows, request records,
// dispatch, feeds and handover.
//
// Core is a deterministic state machine: Step takes the time and one event and returns
// actions. It does no I/O and starts no goroutine, so tests can drive it directly. One core
// serves a subset (shard) of a daemon's upstreams.
//
// Invariants:
//   - A core starts a non-idempotent request at an upstream at most once, and only when the
//     request's token names this owner incarnation or a predecessor whose records were
//     handed over.
//   - NOT_RUN is sent only for a request whose record is in state not run. A later copy of
//     that request cannot start it while the record or its tombstone exists.
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
	// packetLifetime is the longest time that a datagram may spend in the network.
	packetLifetime    = 30 * time.Second
	maxRecordsPerFlow = 256
	maxDeadline       = 10 * time.Minute
)

// Config holds the identity of the core's daemon and the token keys.
type Config struct {
	Self        ident.DaemonID
	Incarnation ident.Incarnation
	Keys        []token.Key
}

// Service holds the settings of a service that the core uses.
type Service struct {
	Classes   []dispatch.Class
	Deadlines []time.Duration // longest deadline of each class, same order as Classes
	FlowIdle  time.Duration
	// DefaultClass is the class of requests that name no class or an unknown one. Such
	// requests are refused when it is empty.
	DefaultClass string
}

func (s *Service) classIndex(name string) (int, bool) {
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
	// endedIncarnations holds, per upstream, the largest incarnation whose lease has ended.
	endedIncarnations map[ident.UpstreamID]ident.Incarnation
	calls             map[uint64]*record
	// retryBudgets limit the retries of each service to a fraction of its successes.
	retryBudgets map[ident.ServiceID]*retry.Budget
	lastCallID   uint64
	now          time.Time
	// lastIssuedAt is the latest issue time of any token; a new ownership starts after it.
	lastIssuedAt time.Time
	actions      []Action
}

// NewCore returns a core without upstreams.
func NewCore(cfg Config) *Core {
	return &Core{
		cfg:               cfg,
		codec:             token.NewCodec(cfg.Keys),
		services:          ServiceMap{},
		upstreams:         map[ident.UpstreamID]*upstream{},
		endedIncarnations: map[ident.UpstreamID]ident.Incarnation{},
		calls:             map[uint64]*record{},
		retryBudgets:      map[ident.ServiceID]*retry.Budget{},
	}
}

// Step handles one event at the given time and returns the resulting actions, to be carried
// out in order. The slice is valid until the next Step.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.now = now
	c.actions = c.actions[:0]
	switch ev := ev.(type) {
	case OpenReceived:
		c.openReceived(ev)
	case FrameReceived:
		c.frameReceived(ev)
	case UpstreamUp:
		c.upstreamUp(ev)
	case UpstreamGone:
		c.upstreamGone(ev)
	case UpstreamDisconnected:
		c.upstreamDisconnected(ev)
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
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) count(k Counter, s ident.ServiceID, r wirepb.Reason) {
	c.emit(Count{Counter: k, Service: s, Reason: r})
}

func (c *Core) send(f *flow, fr *wirepb.Frame) {
	fr.FlowId = uint64(f.id)
	c.emit(SendFrame{Caller: f.caller, Service: f.upstream.service, Frame: fr})
}

// Load is the load of one upstream, for load reports to other daemons and for status output.
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
	for _, u := range sortedValues(c.upstreams) {
		if u.movedTo != 0 {
			continue
		}
		l := u.scheduler.Load()
		out = append(out, Load{
			Service: u.service, Upstream: u.id, Incarnation: u.incarnation,
			Flows: u.openFlows(), Running: l.Running, Queued: l.Queued, Draining: u.draining,
		})
	}
	return out
}

// RunningCalls returns the number of calls that are in progress.
func (c *Core) RunningCalls() int { return len(c.calls) }
