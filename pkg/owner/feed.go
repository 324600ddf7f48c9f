package owner

import (
	"time"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/frame"
)

const (
	feedWindow      = 32 // items sent and not acknowledged
	feedResendDelay = 150 * time.Millisecond
	feedResendBatch = 8 // items resent to one caller at a time
	// feedReorderDelay is the least time after which an item that the caller reports missing is
	// resent; until then it may only have been reordered in the network.
	feedReorderDelay = 30 * time.Millisecond
	// maxResendDoublings bounds how often the resend interval doubles for a caller that
	// acknowledges nothing. Without the backoff many slow callers cost as much as a flood.
	maxResendDoublings = 4
)

// feed is the state of a flow's feed. Items acked+1 to sent are in the window.
type feed struct {
	topic  string
	acked  uint64
	sent   uint64
	window []feedItem
	// behind reports that items were skipped, for example because the window was full. They
	// are requested from the upstream again once the caller has acknowledged the window.
	behind bool
	// resendRounds counts the resends of the window since the last acknowledgement.
	resendRounds uint8
}

type feedItem struct {
	sequence uint64
	payload  []byte
	end      bool
	sentAt   time.Time // time of the last transmission
}

func (c *Core) handleSubscribe(f *flow, s *wirepb.Subscribe) {
	if f.feed != nil && f.feed.topic == s.Topic && s.LastSequence >= f.feed.acked && s.LastSequence <= f.feed.sent {
		c.handleFeedAck(f, s.LastSequence)
		c.resendWindow(f, c.now)
		return
	}
	f.feed = &feed{topic: s.Topic, acked: s.LastSequence, sent: s.LastSequence}
	delete(f.upstream.unackedFlows, f.id)
	c.subscribeUpstream(f)
}

func (c *Core) subscribeUpstream(f *flow) {
	f.feed.behind = false
	c.emit(SubscribeFeed{Upstream: f.upstream.id, Flow: f.id, Topic: f.feed.topic, After: f.feed.sent})
}

func (c *Core) endFeed(f *flow) {
	if f.feed == nil {
		return
	}
	f.feed = nil
	delete(f.upstream.unackedFlows, f.id)
	c.emit(SubscribeFeed{Upstream: f.upstream.id, Flow: f.id, Unsubscribe: true})
}

func (c *Core) feedReceived(ev FeedReceived) {
	u := c.upstreams[ev.Upstream]
	if u == nil || u.frozen || u.movedTo != 0 {
		return // the new owner requests the item from the upstream
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
	u.unackedFlows[f.id] = f
	c.count(FeedItems, u.service, 0)
	c.sendFeedItem(f, &fd.window[len(fd.window)-1])
}

func (c *Core) sendFeedItem(f *flow, item *feedItem) {
	item.sentAt = c.now
	c.send(f, &wirepb.Frame{Body: &wirepb.Frame_FeedItem{
		FeedItem: &wirepb.FeedItem{Sequence: item.sequence, Payload: item.payload, End: item.end},
	}})
}

func (c *Core) handleFeedAck(f *flow, sequence uint64) {
	fd := f.feed
	if fd == nil || sequence <= fd.acked || sequence > fd.sent {
		return
	}
	fd.window = fd.window[sequence-fd.acked:]
	fd.acked, fd.resendRounds = sequence, 0
	if len(fd.window) > 0 {
		return
	}
	fd.window = nil
	delete(f.upstream.unackedFlows, f.id)
	if fd.behind {
		c.subscribeUpstream(f)
	}
}

// resendMissing resends the first unacknowledged item when the caller reports that later items
// arrived without it. The caller is receiving, so the resend interval is reset.
func (c *Core) resendMissing(f *flow) {
	fd := f.feed
	if fd == nil || len(fd.window) == 0 {
		return
	}
	fd.resendRounds = 0
	if next := &fd.window[0]; c.now.Sub(next.sentAt) >= feedReorderDelay {
		c.count(FeedResends, f.upstream.service, 0)
		c.sendFeedItem(f, next)
	}
}

// resendWindow resends those of the first feedResendBatch items of the window that were last
// sent at or before a time, and reports whether there were any.
func (c *Core) resendWindow(f *flow, sentBefore time.Time) bool {
	window, resent := f.feed.window, false
	for i := range window[:min(len(window), feedResendBatch)] {
		if window[i].sentAt.After(sentBefore) {
			continue
		}
		c.count(FeedResends, f.upstream.service, 0)
		c.sendFeedItem(f, &window[i])
		resent = true
	}
	return resent
}

func (c *Core) resendFeeds(u *upstream) {
	if u.frozen || u.movedTo != 0 {
		return
	}
	for _, f := range sortedValues(u.unackedFlows) {
		fd := f.feed
		if c.resendWindow(f, c.now.Add(-feedResendDelay<<fd.resendRounds)) && fd.resendRounds < maxResendDoublings {
			fd.resendRounds++
		}
	}
}

func (c *Core) feedsReset(ev FeedsReset) {
	if u := c.upstreams[ev.Upstream]; u != nil && u.movedTo == 0 {
		c.resubscribeAll(u)
	}
}

func (c *Core) resubscribeAll(u *upstream) {
	for _, f := range sortedValues(u.flows) {
		if f.feed != nil {
			c.subscribeUpstream(f)
		}
	}
}
