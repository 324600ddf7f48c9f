package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/ident"
)

// Guards against closed flows that use up the flow limit of an upstream. Closed flows are kept
// for more than 30 s for their request records, so short-lived callers would exhaust it.
func TestClosedFlowsDoNotCountAgainstTheFlowLimit(t *testing.T) {
	b := newBench(t, 10)
	b.step(UpstreamUp{Service: testService, Upstream: testUpstream, Incarnation: 1, Slots: 1, FlowLimit: 1})
	b.openFlow()
	b.sendFrame(newRequestFrame(1))
	b.sendFrame(&wirepb.Frame{Body: &wirepb.Frame_Close{Close: &wirepb.Close{}}})
	assert.Equal(t, b.core.Loads()[0].Flows, 0)
	for n := range ident.FlowID(2) {
		actions := b.step(OpenReceived{Caller: testCaller, Service: testService, Flow: testFlow + 1 + n, Upstream: testUpstream})
		_, passed := actions[0].(PassOpen)
		assert.Equal(t, passed, n > 0, "%v", actions)
	}
}

// Guards against a lowered slot limit when an upstream refuses a request because it is still
// ending a call that failed here shortly before. A lowered limit takes 512 answers to rise.
func TestRefusalAfterFailedCallKeepsSlotLimit(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, 2 * abortedCallGrace} {
		b := newBench(t, 10)
		b.step(UpstreamUp{Service: testService, Upstream: testUpstream, Incarnation: 1, Slots: 2, FlowLimit: 10})
		b.openFlow()
		b.sendFrame(newRequestFrame(1))
		second := executeActions(b.sendFrame(newRequestFrame(2)))[0]
		b.step(ExecuteDone{Upstream: testUpstream, Call: second.Call, Result: Failed})
		third := executeActions(b.sendFrame(newRequestFrame(3)))[0]
		b.now = b.now.Add(delay)
		b.step(ExecuteDone{Upstream: testUpstream, Call: third.Call, Result: NotBegun})
		running := len(executeActions(b.sendFrame(newRequestFrame(4))))
		assert.Equal(t, running == 1, delay < abortedCallGrace, "%d requests run", running)
	}
}

// Guards against requests that are held for a crashed upstream until no time is left for
// another upstream. Held requests run when the upstream reconnects within the timeout.
func TestHeldRequestsAreRefusedAfterReconnectTimeout(t *testing.T) {
	b := newBench(t, 10)
	b.step(UpstreamUp{Service: testService, Upstream: testUpstream, Incarnation: 1, Slots: 1, FlowLimit: 10})
	b.openFlow()
	b.step(UpstreamDisconnected{Upstream: testUpstream})
	assert.Equal(t, len(executeActions(b.sendFrame(newRequestFrame(1)))), 0)
	b.now = b.now.Add(reconnectTimeout / 2)
	assert.Equal(t, len(outcomes(b.step(Tick{}))), 0)
	b.now = b.now.Add(reconnectTimeout / 2)
	refused := outcomes(b.step(Tick{}))
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].Outcome, wirepb.Outcome_OUTCOME_NOT_RUN)
	assert.Equal(t, refused[0].Reason, wirepb.Reason_REASON_UPSTREAM_GONE)
	b.sendFrame(newRequestFrame(2))
	up := b.step(UpstreamUp{Service: testService, Upstream: testUpstream, Incarnation: 1, Slots: 1, FlowLimit: 10})
	assert.Equal(t, len(executeActions(up)), 1)
}
