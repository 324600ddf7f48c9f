package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "rosemarygate/api/wire/v1"
)

// Guards against a lost item that is not resent while newer items arrive. When each new item
// postpones the resend, the feed stalls until its window is full.
func TestLostFeedItemIsResentWhileOthersArrive(t *testing.T) {
	b := newBench(t, 10)
	b.connectUpstream()
	b.openFlow()
	b.sendFrame(&wirepb.Frame{Body: &wirepb.Frame_Subscribe{Subscribe: &wirepb.Subscribe{Topic: "press"}}})
	begin := b.now
	for n := uint64(1); n <= 3; n++ {
		b.step(FeedReceived{Upstream: testUpstream, Flow: testFlow, Sequence: n, Payload: []byte("ticket")})
		for range 2 {
			b.now = b.now.Add(TickInterval)
			for _, a := range b.step(Tick{}) {
				if s, ok := a.(SendFrame); ok && s.Frame.GetFeedItem().GetSequence() == 1 {
					assert.Assert(t, b.now.Sub(begin) < feedResendDelay+2*TickInterval)
					return
				}
			}
		}
	}
	assert.Assert(t, false, "item 1 was not resent within %s", b.now.Sub(begin).Round(time.Millisecond))
}

// Guards against a feed that stalls for most of a second when an item is lost twice, because
// the resend interval grows although the caller is receiving items.
func TestMissingItemIsResentWithoutBackoff(t *testing.T) {
	b := newBench(t, 10)
	b.connectUpstream()
	b.openFlow()
	b.sendFrame(&wirepb.Frame{Body: &wirepb.Frame_Subscribe{Subscribe: &wirepb.Subscribe{Topic: "press"}}})
	for seq := uint64(1); seq <= 3; seq++ {
		b.step(FeedReceived{Upstream: testUpstream, Flow: testFlow, Sequence: seq})
	}
	reportMissing := func() int {
		return countFeedItems(b.sendFrame(&wirepb.Frame{Body: &wirepb.Frame_FeedAck{
			FeedAck: &wirepb.FeedAck{MissingNext: true},
		}}))
	}
	assert.Equal(t, reportMissing(), 0, "an item that may only be reordered was resent")
	b.now = b.now.Add(feedReorderDelay)
	assert.Equal(t, reportMissing(), 1)
	b.now = b.now.Add(feedReorderDelay)
	assert.Equal(t, reportMissing(), 1, "an item whose resend was lost was not resent")
}

// countFeedItems counts the feed items sent.
func countFeedItems(actions []Action) int {
	n := 0
	for _, a := range actions {
		if s, ok := a.(SendFrame); ok && s.Frame.GetFeedItem() != nil {
			n++
		}
	}
	return n
}
