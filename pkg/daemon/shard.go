package daemon

import (
	"context"
	"time"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/owner"
)

const (
	shardCount     = 4
	shardQueueSize = 1024 // events other than callers' packets
)

// queuedEvent is one event for a shard, or a function that inspects its core. done, when set, is
// closed after the event has been handled.
type queuedEvent struct {
	event   owner.Event
	done    chan struct{}
	inspect func(*owner.Core)
}

// shard runs one owner core in one goroutine.
type shard struct {
	core     *owner.Core
	events   chan queuedEvent
	packets  *fairQueue // packets of callers
	clock    func() time.Time
	receiver *receiver // collects what the core sends
	perform  func(*receiver, owner.Action)
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
		s.receiver.outbox.flush()
	}
}

// handleQueued handles an event and up to a batch of those queued behind it, so that their replies
// share system calls.
func (s *shard) handleQueued(e queuedEvent) {
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

// handlePackets handles a batch of callers' packets; the queue signals again when more are waiting.
// Other events are handled first, so that a flood of packets delays neither answers nor control
// events.
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

func (s *shard) handle(e queuedEvent) {
	if e.inspect != nil {
		e.inspect(s.core)
	} else {
		s.step(e.event)
	}
	if e.done != nil {
		s.receiver.outbox.flush()
		close(e.done)
	}
}

func (s *shard) step(ev owner.Event) {
	for _, a := range s.core.Step(s.clock(), ev) {
		s.perform(s.receiver, a)
	}
}

// shards distributes the upstreams over the shards.
type shards struct {
	all []*shard
	// stopped is closed when the shards no longer handle events.
	stopped <-chan struct{}
}

func (s *shards) shardOf(u ident.UpstreamID) *shard {
	return s.all[uint64(u)%uint64(len(s.all))]
}

// post queues an event that must not be lost; it blocks while the queue is full.
func (s *shards) post(u ident.UpstreamID, ev owner.Event) {
	select {
	case s.shardOf(u).events <- queuedEvent{event: ev}:
	case <-s.stopped:
	}
}

// postWait queues an event and waits until its actions have been performed.
func (s *shards) postWait(u ident.UpstreamID, ev owner.Event) {
	done := make(chan struct{})
	select {
	case s.shardOf(u).events <- queuedEvent{event: ev, done: done}:
	case <-s.stopped:
		return
	}
	select {
	case <-done:
	case <-s.stopped:
	}
}

// offer queues a caller's packet. It returns false when the service's share of the shard's packet
// queue is used up.
func (s *shards) offer(u ident.UpstreamID, service ident.ServiceID, ev owner.Event) bool {
	return s.shardOf(u).packets.offer(service, ev)
}

// broadcast queues an event at every shard.
func (s *shards) broadcast(ev owner.Event) {
	for _, sh := range s.all {
		select {
		case sh.events <- queuedEvent{event: ev}:
		case <-s.stopped:
		}
	}
}

// inspect runs f on one core after another, each in the goroutine of its shard.
func (s *shards) inspect(f func(*owner.Core)) {
	for _, sh := range s.all {
		done := make(chan struct{})
		select {
		case sh.events <- queuedEvent{inspect: f, done: done}:
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
