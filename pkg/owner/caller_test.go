package owner

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "rosemarygate/api/wire/v1"
)

// Guards against a replayed packet with a forged source that sends answers to somebody
// else, and against a caller whose address changed for good and gets no answers.
func TestAnswersFollowAProvedAddress(t *testing.T) {
	b := newBench(t, 10)
	b.up()
	b.open()
	stale := b.token
	other := netip.MustParseAddrPort("127.0.0.1:1000")
	from := func(fr *wirepb.Frame, tok []byte) []Action {
		claims, err := b.core.codec.Verify(testFlow, tok)
		assert.NilError(t, err)
		fr.FlowId = uint64(testFlow)
		return b.step(FrameReceived{Caller: other, Claims: claims, Frame: fr})
	}
	answeredTo := func(id uint64, tok []byte) netip.AddrPort {
		call := executes(from(tally(id), tok))[0]
		out := b.step(ExecuteDone{Upstream: testUpstream, Call: call.Call, Result: Answered, Payload: []byte("x")})
		for _, a := range out {
			if s, ok := a.(SendFrame); ok && s.Frame.GetAnswer() != nil {
				return s.Caller
			}
		}
		return netip.AddrPort{}
	}
	b.now = b.now.Add(time.Second)
	assert.Equal(t, answeredTo(1, stale), testCaller)
	from(&wirepb.Frame{Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}}, stale)
	assert.Equal(t, answeredTo(2, stale), testCaller)
	fresh := b.token
	assert.Equal(t, answeredTo(3, fresh), other)
}
