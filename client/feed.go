package client

import (
	"sync"
	"time"

	wirepb "rosemarygate/api/wire/v1"
)

const (
	feedQueueSize     = 256 // delivered items that the application has not read
	reorderBufferSize = 64  // items that arrived before an earlier one
)

// Item is one item of a feed.
type Item struct {
	Sequence uint64
	Payload  []byte
}

// Feed delivers the items of a flow's feed in order, each once.
type Feed struct {
	flow  *Flow
	topic string
	items chan Item

	mu            sync.Mutex
	lastDelivered uint64 // sequence of the last item delivered
	outOfOrder    map[uint64]*wirepb.FeedItem
	ended         bool
	// active reports that the owner serves the feed; until then the subscription is resent.
	active          bool
	resendScheduled bool // a timer for the next resend is set
}

// Subscribe starts the flow's feed after the given sequence; 0 starts at the beginning.
func (f *Flow) Subscribe(topic string, after uint64) *Feed {
	feed := &Feed{flow: f, topic: topic, lastDelivered: after, items: make(chan Item, feedQueueSize), outOfOrder: map[uint64]*wirepb.FeedItem{}}
	f.mu.Lock()
	f.feed = feed
	f.mu.Unlock()
	feed.subscribe()
	return feed
}

// Items returns the channel of items. It is closed when the upstream ends the feed. When the flow
// ends, only the channel of Flow.Gone is closed.
func (feed *Feed) Items() <-chan Item { return feed.items }

// Last returns the sequence of the last item delivered. A subscription on a new flow resumes after
// it.
func (feed *Feed) Last() uint64 {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	return feed.lastDelivered
}

// subscribe sends the subscription, and resends it until the feed is active. Otherwise the loss of a
// subscription would be noticed only with the next keep-alive.
func (feed *Feed) subscribe() {
	feed.mu.Lock()
	feed.active = false
	schedule := !feed.resendScheduled
	feed.resendScheduled = true
	feed.mu.Unlock()
	feed.sendSubscribe()
	if schedule {
		time.AfterFunc(jitter(unconfirmedResendDelay), feed.resendSubscription)
	}
}

func (feed *Feed) resendSubscription() {
	feed.mu.Lock()
	done := feed.active || feed.ended || feed.flow.Err() != nil
	feed.resendScheduled = !done
	feed.mu.Unlock()
	if done {
		return
	}
	feed.sendSubscribe()
	feed.flow.send(&wirepb.Frame{Token: feed.flow.currentToken(), Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})
	time.AfterFunc(jitter(unconfirmedResendDelay), feed.resendSubscription)
}

func (feed *Feed) setActive() {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	feed.active = true
}

func (feed *Feed) sendSubscribe() {
	feed.flow.send(&wirepb.Frame{Token: feed.flow.currentToken(), Body: &wirepb.Frame_Subscribe{
		Subscribe: &wirepb.Subscribe{Topic: feed.topic, LastSequence: feed.Last()},
	}})
}

func (f *Flow) handleFeedItem(item *wirepb.FeedItem) {
	f.mu.Lock()
	feed := f.feed
	f.mu.Unlock()
	if feed == nil {
		return
	}
	feed.setActive()
	last := feed.accept(item)
	f.send(&wirepb.Frame{Token: f.currentToken(), Body: &wirepb.Frame_FeedAck{
		FeedAck: &wirepb.FeedAck{Sequence: last, MissingNext: feed.isNextMissing()},
	}})
}

// isNextMissing reports whether later items have arrived but the next one has not.
func (feed *Feed) isNextMissing() bool {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	return len(feed.outOfOrder) > 0 && feed.outOfOrder[feed.lastDelivered+1] == nil
}

// accept delivers an item, or buffers one that arrived out of order, and returns the last sequence
// delivered. When the application reads slowly, items are dropped and the owner resends them.
func (feed *Feed) accept(item *wirepb.FeedItem) uint64 {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	if feed.ended || item.Sequence <= feed.lastDelivered {
		return feed.lastDelivered
	}
	if len(feed.outOfOrder) < reorderBufferSize {
		feed.outOfOrder[item.Sequence] = item
	} else if item.Sequence != feed.lastDelivered+1 {
		return feed.lastDelivered
	}
	for next := item; ; {
		next = feed.nextItem(next)
		if next == nil || len(feed.items) == cap(feed.items) {
			return feed.lastDelivered
		}
		delete(feed.outOfOrder, next.Sequence)
		feed.lastDelivered = next.Sequence
		feed.items <- Item{Sequence: next.Sequence, Payload: next.Payload}
		if next.End {
			feed.ended = true
			close(feed.items)
			return feed.lastDelivered
		}
	}
}

// nextItem returns the item after the last one delivered, or nil when it has not arrived.
func (feed *Feed) nextItem(arrived *wirepb.FeedItem) *wirepb.FeedItem {
	if arrived.Sequence == feed.lastDelivered+1 {
		return arrived
	}
	return feed.outOfOrder[feed.lastDelivered+1]
}
