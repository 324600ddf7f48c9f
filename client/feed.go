package client

import (
	"sync"
	"time"

	wirepb "rosemarygate/api/wire/v1"
)

const (
	feedQueue     = 256 // items waiting for the reader
	feedReordered = 64  // items ahead of the next one
)

// Item is one item of a feed.
type Item struct {
	Sequence uint64
	Payload  []byte
}

// Feed delivers a flow's feed in order, each item once.
type Feed struct {
	flow  *Flow
	topic string
	items chan Item

	mu    sync.Mutex
	last  uint64 // last sequence delivered
	ahead map[uint64]*wirepb.FeedItem
	ended bool
	// active says that the owner serves the feed; until then the subscription is repeated.
	active    bool
	repeating bool // a repetition is planned
}

// Subscribe starts the flow's feed after the given sequence; 0 starts at the beginning.
func (f *Flow) Subscribe(topic string, after uint64) *Feed {
	feed := &Feed{flow: f, topic: topic, last: after, items: make(chan Item, feedQueue), ahead: map[uint64]*wirepb.FeedItem{}}
	f.mu.Lock()
	f.feed = feed
	f.mu.Unlock()
	feed.subscribe()
	return feed
}

// Items returns the channel of items. It is closed when the upstream ends the feed; when
// the flow ends, Flow.Gone is closed instead.
func (d *Feed) Items() <-chan Item { return d.items }

// Last returns the last sequence delivered; a new flow resumes after it.
func (d *Feed) Last() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last
}

// subscribe asks the owner for the feed until it is active: a lost subscription would
// otherwise be noticed only by the next keep-alive.
func (d *Feed) subscribe() {
	d.mu.Lock()
	d.active = false
	plan := !d.repeating
	d.repeating = true
	d.mu.Unlock()
	d.sendSubscribe()
	if plan {
		time.AfterFunc(jitter(unconfirmedResend), d.repeat)
	}
}

func (d *Feed) repeat() {
	d.mu.Lock()
	done := d.active || d.ended || d.flow.Err() != nil
	d.repeating = !done
	d.mu.Unlock()
	if done {
		return
	}
	d.sendSubscribe()
	d.flow.send(&wirepb.Frame{Token: d.flow.currentToken(), Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})
	time.AfterFunc(jitter(unconfirmedResend), d.repeat)
}

func (d *Feed) confirm() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active = true
}

func (d *Feed) sendSubscribe() {
	d.flow.send(&wirepb.Frame{Token: d.flow.currentToken(), Body: &wirepb.Frame_Subscribe{
		Subscribe: &wirepb.Subscribe{Topic: d.topic, LastSequence: d.Last()},
	}})
}

func (f *Flow) handleFeedItem(item *wirepb.FeedItem) {
	f.mu.Lock()
	feed := f.feed
	f.mu.Unlock()
	if feed == nil {
		return
	}
	feed.confirm()
	last := feed.accept(item)
	f.send(&wirepb.Frame{Token: f.currentToken(), Body: &wirepb.Frame_FeedAck{FeedAck: &wirepb.FeedAck{Sequence: last}}})
}

// accept takes an item and returns the last sequence delivered. When the reader is slow,
// items are not taken and the owner resends them.
func (d *Feed) accept(item *wirepb.FeedItem) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended || item.Sequence <= d.last {
		return d.last
	}
	if len(d.ahead) < feedReordered {
		d.ahead[item.Sequence] = item
	} else if item.Sequence != d.last+1 {
		return d.last
	}
	for next := item; ; {
		next = d.nextItem(next)
		if next == nil || len(d.items) == cap(d.items) {
			return d.last
		}
		delete(d.ahead, next.Sequence)
		d.last = next.Sequence
		d.items <- Item{Sequence: next.Sequence, Payload: next.Payload}
		if next.End {
			d.ended = true
			close(d.items)
			return d.last
		}
	}
}

// nextItem returns the item after the last one delivered, if it has arrived.
func (d *Feed) nextItem(arrived *wirepb.FeedItem) *wirepb.FeedItem {
	if arrived.Sequence == d.last+1 {
		return arrived
	}
	return d.ahead[d.last+1]
}
