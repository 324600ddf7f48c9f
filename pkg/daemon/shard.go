package daemon

import (
	"context"
	"time"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/owner"
)

const (
	shardCount = 4
	shardQueue = 1024 // events other than callers' packets
)

// envelope is one event for a shard; done, when set, is closed after the event's actions.
type envelope struct {
	event   owner.Event
	done    chan struct{}
	inspect func(*owner.Core)
}

// shard runs one owner core in one goroutine.
type shard struct {
	core    *owner.Core
	events  chan envelope
	packets *fairQueue // of callers
	clock   func() time.Time
	recv    *receiver // collects what the core sends
	do      func(*receiver, owner.Action)
}

func (s *shard) run(ctx context.Context) error {
	ticker := time.NewTicker(owner.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.step(owner.Tick{})
		case e := <-s.events:
			s.handleQueued(e)
		case <-s.packets.wake:
			s.handlePackets()
		}
		s.recv.out.flush()
	}
}

// handleQueued handles an event and those queued behind it, up to a batch, so that their
// replies share system calls.
func (s *shard) handleQueued(e envelope) {
	for range sendBatch {
		s.handle(e)
		select {
		case e = <-s.events:
		default:
			return
		}
	}
	s.handle(e)
}

// handlePackets handles a batch of callers' packets; the queue signals again when more wait.
// Other events go first, so that a flood of packets delays neither answers nor control.
func (s *shard) handlePackets() {
	for range sendBatch {
		if len(s.events) > 0 {
			s.handleQueued(<-s.events)
		}
		ev, ok := s.packets.take()
		if !ok {
			return
		}
		s.step(ev)
	}
}

func (s *shard) handle(e envelope) {
	if e.inspect != nil {
		e.inspect(s.core)
	} else {
		s.step(e.event)
	}
	if e.done != nil {
		s.recv.out.flush()
		close(e.done)
	}
}

func (s *shard) step(ev owner.Event) {
	for _, a := range s.core.Step(s.clock(), ev) {
		s.do(s.recv, a)
	}
}

// shards spreads the upstreams over the shards.
type shards struct {
	all []*shard
	// stopped is closed when the shards no longer take events.
	stopped <-chan struct{}
}

func (s *shards) of(u ident.UpstreamID) *shard {
	return s.all[uint64(u)%uint64(len(s.all))]
}

// post delivers an event that must not be lost.
func (s *shards) post(u ident.UpstreamID, ev owner.Event) {
	select {
	case s.of(u).events <- envelope{event: ev}:
	case <-s.stopped:
	}
}

// postWait delivers an event and waits until its actions have been carried out.
func (s *shards) postWait(u ident.UpstreamID, ev owner.Event) {
	done := make(chan struct{})
	select {
	case s.of(u).events <- envelope{event: ev, done: done}:
	case <-s.stopped:
		return
	}
	select {
	case <-done:
	case <-s.stopped:
	}
}

// offer delivers a caller's packet unless its service's share of the shard's queue is used up.
func (s *shards) offer(u ident.UpstreamID, service ident.ServiceID, ev owner.Event) bool {
	return s.of(u).packets.offer(service, ev)
}

// broadcast delivers an event to every shard.
func (s *shards) broadcast(ev owner.Event) {
	for _, sh := range s.all {
		select {
		case sh.events <- envelope{event: ev}:
		case <-s.stopped:
		}
	}
}

// inspect runs f on every core, each in its own goroutine's turn.
func (s *shards) inspect(f func(*owner.Core)) {
	for _, sh := range s.all {
		done := make(chan struct{})
		select {
		case sh.events <- envelope{inspect: f, done: done}:
			select {
			case <-done:
			case <-s.stopped:
			}
		case <-s.stopped:
		}
	}
}

// loads returns the load of every upstream that the shards own.
func (s *shards) loads() []owner.Load {
	var out []owner.Load
	s.inspect(func(c *owner.Core) { out = append(out, c.Loads()...) })
	return out
}
