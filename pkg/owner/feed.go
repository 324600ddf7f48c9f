package owner

import (
	"time"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/frame"
)

const (
	feedWindow      = 32 // items sent and not acknowledged
	feedResendAfter = 150 * time.Millisecond
	feedResendBatch = 8 // items resent to one caller at a time
	// feedMaxBackoff is how often the time between two resends doubles for a caller that
	// acknowledges nothing; without it many slow callers cost as much as a flood.
	feedMaxBackoff = 4
)

// feed is the state of a flow's feed. Items acked+1 to sent are in the window.
type feed struct {
	topic  string
	acked  uint64
	sent   uint64
	window []feedItem
	// behind says that items were left out because the window was full; they are fetched
	// from the upstream again once the caller has caught up.
	behind bool
	// resends counts the rounds of resends since the last acknowledgement.
	resends uint8
}

type feedItem struct {
	sequence uint64
	payload  []byte
	end      bool
	sentAt   time.Time // last time
}

func (c *Core) subscribe(f *flow, s *wirepb.Subscribe) {
	if f.feed != nil && f.feed.topic == s.Topic && s.LastSequence >= f.feed.acked && s.LastSequence <= f.feed.sent {
		c.feedAck(f, s.LastSequence)
		c.resendWindow(f, c.now)
		return
	}
	f.feed = &feed{topic: s.Topic, acked: s.LastSequence, sent: s.LastSequence}
	delete(f.up.unacked, f.id)
	c.subscribeUpstream(f)
}

func (c *Core) subscribeUpstream(f *flow) {
	f.feed.behind = false
	c.emit(SubscribeFeed{Upstream: f.up.id, Flow: f.id, Topic: f.feed.topic, After: f.feed.sent})
}

func (c *Core) endFeed(f *flow) {
	if f.feed == nil {
		return
	}
	f.feed = nil
	delete(f.up.unacked, f.id)
	c.emit(SubscribeFeed{Upstream: f.up.id, Flow: f.id, Unsubscribe: true})
}

func (c *Core) feedReceived(ev FeedReceived) {
	u := c.upstreams[ev.Upstream]
	if u == nil || u.frozen || u.movedTo != 0 {
		return // the new owner fetches the item
	}
	f := u.flows[ev.Flow]
	if f == nil || f.feed == nil {
		c.emit(SubscribeFeed{Upstream: ev.Upstream, Flow: ev.Flow, Unsubscribe: true})
		return
	}
	if len(ev.Payload) > frame.MaxPartSize {
		c.breakFlow(f, wirepb.Reason_REASON_LIMIT)
		return
	}
	fd := f.feed
	if ev.Sequence != fd.sent+1 {
		fd.behind = fd.behind || ev.Sequence > fd.sent+1
		return
	}
	if len(fd.window) >= feedWindow {
		fd.behind = true
		return
	}
	fd.window = append(fd.window, feedItem{sequence: ev.Sequence, payload: ev.Payload, end: ev.End})
	fd.sent = ev.Sequence
	u.unacked[f.id] = f
	c.count(FeedItems, u.service, 0)
	c.sendItem(f, &fd.window[len(fd.window)-1])
}

func (c *Core) sendItem(f *flow, item *feedItem) {
	item.sentAt = c.now
	c.send(f, &wirepb.Frame{Body: &wirepb.Frame_FeedItem{
		FeedItem: &wirepb.FeedItem{Sequence: item.sequence, Payload: item.payload, End: item.end},
	}})
}

func (c *Core) feedAck(f *flow, sequence uint64) {
	fd := f.feed
	if fd == nil || sequence <= fd.acked || sequence > fd.sent {
		return
	}
	fd.window = fd.window[sequence-fd.acked:]
	fd.acked, fd.resends = sequence, 0
	if len(fd.window) > 0 {
		return
	}
	fd.window = nil
	delete(f.up.unacked, f.id)
	if fd.behind {
		c.subscribeUpstream(f)
	}
}

// resendWindow sends the first items of the window again that were sent before a time, and
// reports whether there were any.
func (c *Core) resendWindow(f *flow, before time.Time) bool {
	window, any := f.feed.window, false
	for i := range window[:min(len(window), feedResendBatch)] {
		if window[i].sentAt.After(before) {
			continue
		}
		c.count(FeedResends, f.up.service, 0)
		c.sendItem(f, &window[i])
		any = true
	}
	return any
}

func (c *Core) resendFeeds(u *upstream) {
	if u.frozen {
		return
	}
	for _, f := range ordered(u.unacked) {
		fd := f.feed
		if c.resendWindow(f, c.now.Add(-feedResendAfter<<fd.resends)) && fd.resends < feedMaxBackoff {
			fd.resends++
		}
	}
}

func (c *Core) feedsReset(ev FeedsReset) {
	if u := c.upstreams[ev.Upstream]; u != nil && u.movedTo == 0 {
		c.resubscribeAll(u)
	}
}

func (c *Core) resubscribeAll(u *upstream) {
	for _, f := range ordered(u.flows) {
		if f.feed != nil {
			c.subscribeUpstream(f)
		}
	}
}
