package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that runs at both owners: a shed request that waited for its
// next attempt was handed over, and the old owner submitted it as well.
func TestWaitingRetryDoesNotRunAfterHandover(t *testing.T) {
	from, to := newBench(t, 10), newBench(t, 11)
	from.up()
	from.open()
	runs := executes(from.frame(tally(1)))
	assert.Equal(t, len(runs), 1)
	from.step(ExecuteDone{Upstream: testUpstream, Call: runs[0].Call, Result: NotBegun})
	assert.Equal(t, len(from.core.upstreams[testUpstream].retries), 1)
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

// Guards against a live flow that its caller ends because an unused open of the same flow
// was left at an upstream that crashed.
func TestLostUpstreamDoesNotEndUnconfirmedFlows(t *testing.T) {
	b := newBench(t, 10)
	b.up()
	b.step(OpenReceived{Caller: testCaller, Service: testService, Flow: testFlow, Upstream: testUpstream})
	for _, a := range b.step(UpstreamDown{Upstream: testUpstream, Incarnation: 1}) {
		_, send := a.(SendFrame)
		assert.Assert(t, !send, "%v", a)
	}
}
