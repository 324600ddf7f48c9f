package owner

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "rosemarygate/api/wire/v1"
)

// Guards against a replayed packet with a forged source address that redirects answers, and
// against a caller that gets no answers after its address has changed.
func TestAnswersGoToValidatedAddress(t *testing.T) {
	b := newBench(t, 10)
	b.connectUpstream()
	b.openFlow()
	oldToken := b.token
	newAddress := netip.MustParseAddrPort("127.0.0.1:1000")
	sendFromNewAddress := func(fr *wirepb.Frame, tok []byte) []Action {
		claims, err := b.core.codec.Verify(testFlow, tok)
		assert.NilError(t, err)
		fr.FlowId = uint64(testFlow)
		return b.step(FrameReceived{Caller: newAddress, Claims: claims, Frame: fr})
	}
	answerAddress := func(id uint64, tok []byte) netip.AddrPort {
		call := executeActions(sendFromNewAddress(newRequestFrame(id), tok))[0]
		out := b.step(ExecuteDone{Upstream: testUpstream, Call: call.Call, Result: Answered, Payload: []byte("x")})
		for _, a := range out {
			if s, ok := a.(SendFrame); ok && s.Frame.GetAnswer() != nil {
				return s.Caller
			}
		}
		return netip.AddrPort{}
	}
	b.now = b.now.Add(time.Second)
	assert.Equal(t, answerAddress(1, oldToken), testCaller)
	sendFromNewAddress(&wirepb.Frame{Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}}, oldToken)
	assert.Equal(t, answerAddress(2, oldToken), testCaller)
	newToken := b.token
	assert.Equal(t, answerAddress(3, newToken), newAddress)
}
