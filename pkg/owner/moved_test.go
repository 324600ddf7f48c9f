package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that runs at both owners: a shed request that waits for its retry
// is handed over, and the old owner must not submit it as well.
func TestPendingRetryDoesNotRunAfterHandover(t *testing.T) {
	from, to := newBench(t, 10), newBench(t, 11)
	from.connectUpstream()
	from.openFlow()
	runs := executeActions(from.sendFrame(newRequestFrame(1)))
	assert.Equal(t, len(runs), 1)
	from.step(ExecuteDone{Upstream: testUpstream, Call: runs[0].Call, Result: NotBegun})
	assert.Equal(t, len(from.core.upstreams[testUpstream].pendingRetries), 1)
	handOver(t, from, to)
	for range 40 {
		from.now = from.now.Add(TickInterval)
		for _, a := range from.step(Tick{}) {
			_, execute := a.(Execute)
			assert.Assert(t, !execute, "the old owner ran the request")
			_, send := a.(SendFrame)
			assert.Assert(t, !send, "the old owner answered the caller")
		}
	}
	assert.Assert(t, from.now.Sub(testStart) > time.Second)
}

// Guards against a flow that its caller ends although its upstream is live: another upstream,
// which has an unconfirmed open of the same flow, crashes and must not report the flow as gone.
func TestGoneUpstreamDoesNotEndUnconfirmedFlows(t *testing.T) {
	b := newBench(t, 10)
	b.connectUpstream()
	b.step(OpenReceived{Caller: testCaller, Service: testService, Flow: testFlow, Upstream: testUpstream})
	for _, a := range b.step(UpstreamGone{Upstream: testUpstream, Incarnation: 1}) {
		_, send := a.(SendFrame)
		assert.Assert(t, !send, "%v", a)
	}
}
