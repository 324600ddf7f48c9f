package owner

import (
	"testing"
	"time"

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

// Guards the slots of an upstream that still ends a call which ran out of time here: its
// refusal of the next one must not lower the limit, which takes 512 answers to rise again.
func TestRefusalRightAfterATimeoutKeepsTheSlots(t *testing.T) {
	for _, after := range []time.Duration{time.Millisecond, 2 * slotSettles} {
		b := newBench(t, 10)
		b.step(UpstreamUp{Service: testService, Upstream: testUpstream, Incarnation: 1, Slots: 2, FlowLimit: 10})
		b.open()
		b.frame(tally(1))
		second := executes(b.frame(tally(2)))[0]
		b.step(ExecuteDone{Upstream: testUpstream, Call: second.Call, Result: Failed})
		third := executes(b.frame(tally(3)))[0]
		b.now = b.now.Add(after)
		b.step(ExecuteDone{Upstream: testUpstream, Call: third.Call, Result: NotBegun})
		running := len(executes(b.frame(tally(4))))
		assert.Equal(t, running == 1, after < slotSettles, "%d requests run", running)
	}
}

// Guards against requests that wait for a crashed upstream until they have no time left for
// another one. A connection that comes back soon runs them.
func TestRequestsDoNotWaitLongForAConnection(t *testing.T) {
	b := newBench(t, 10)
	b.step(UpstreamUp{Service: testService, Upstream: testUpstream, Incarnation: 1, Slots: 1, FlowLimit: 10})
	b.open()
	b.step(UpstreamLost{Upstream: testUpstream})
	assert.Equal(t, len(executes(b.frame(tally(1)))), 0)
	b.now = b.now.Add(reconnectTime / 2)
	assert.Equal(t, len(outcomes(b.step(Tick{}))), 0)
	b.now = b.now.Add(reconnectTime / 2)
	refused := outcomes(b.step(Tick{}))
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].Outcome, wirepb.Outcome_OUTCOME_NOT_RUN)
	assert.Equal(t, refused[0].Reason, wirepb.Reason_REASON_UPSTREAM_GONE)
	b.frame(tally(2))
	up := b.step(UpstreamUp{Service: testService, Upstream: testUpstream, Incarnation: 1, Slots: 1, FlowLimit: 10})
	assert.Equal(t, len(executes(up)), 1)
}
