package owner

import (
	"testing"

	"gotest.tools/v3/assert"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/ident"
)

// Guards against closed flows that fill an upstream: they are kept for their request records
// for more than 30 s, and callers that come and go used up the flow limit that way.
func TestClosedFlowsDoNotCountAgainstTheFlowLimit(t *testing.T) {
	b := newBench(t, 10)
	b.step(UpstreamUp{Service: testService, Upstream: testUpstream, Incarnation: 1, Slots: 1, FlowLimit: 1})
	b.open()
	b.frame(tally(1))
	b.frame(&wirepb.Frame{Body: &wirepb.Frame_Close{Close: &wirepb.Close{}}})
	assert.Equal(t, b.core.Loads()[0].Flows, 0)
	for n := range ident.FlowID(2) {
		actions := b.step(OpenReceived{Caller: testCaller, Service: testService, Flow: testFlow + 1 + n, Upstream: testUpstream})
		_, passed := actions[0].(PassOpen)
		assert.Equal(t, passed, n > 0, "%v", actions)
	}
}
