package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "rosemarygate/api/wire/v1"
)

// Guards against a lost item that stays lost while newer ones keep coming: each new item
// once put the resend off, so that a feed stood still until its window was full.
func TestLostFeedItemIsResentWhileOthersCome(t *testing.T) {
	b := newBench(t, 10)
	b.up()
	b.open()
	b.frame(&wirepb.Frame{Body: &wirepb.Frame_Subscribe{Subscribe: &wirepb.Subscribe{Topic: "press"}}})
	begin := b.now
	for n := uint64(1); n <= 3; n++ {
		b.step(FeedReceived{Upstream: testUpstream, Flow: testFlow, Sequence: n, Payload: []byte("ticket")})
		for range 2 {
			b.now = b.now.Add(TickInterval)
			for _, a := range b.step(Tick{}) {
				if s, ok := a.(SendFrame); ok && s.Frame.GetFeedItem().GetSequence() == 1 {
					assert.Assert(t, b.now.Sub(begin) < feedResendAfter+2*TickInterval)
					return
				}
			}
		}
	}
	assert.Assert(t, false, "item 1 was not sent again within %s", b.now.Sub(begin).Round(time.Millisecond))
}

// Guards against a feed that stalls for most of a second when an item is lost twice, because
// resends back off although the caller takes items.
func TestMissingItemIsSentAgainSoon(t *testing.T) {
	b := newBench(t, 10)
	b.up()
	b.open()
	b.frame(&wirepb.Frame{Body: &wirepb.Frame_Subscribe{Subscribe: &wirepb.Subscribe{Topic: "press"}}})
	for seq := uint64(1); seq <= 3; seq++ {
		b.step(FeedReceived{Upstream: testUpstream, Flow: testFlow, Sequence: seq})
	}
	missing := func() int {
		return items(b.frame(&wirepb.Frame{Body: &wirepb.Frame_FeedAck{
			FeedAck: &wirepb.FeedAck{MissingNext: true},
		}}))
	}
	assert.Equal(t, missing(), 0, "an item that was only overtaken is not repeated")
	b.now = b.now.Add(feedReorderDelay)
	assert.Equal(t, missing(), 1)
	b.now = b.now.Add(feedReorderDelay)
	assert.Equal(t, missing(), 1, "the repetition was lost as well")
}

// items counts the feed items sent.
func items(actions []Action) int {
	n := 0
	for _, a := range actions {
		if s, ok := a.(SendFrame); ok && s.Frame.GetFeedItem() != nil {
			n++
		}
	}
	return n
}
