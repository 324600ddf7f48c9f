package client

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are bound to the token of a crashed owner, and against requests that
// are delayed although the owner replies.
func TestRequestsWaitForSilentOwner(t *testing.T) {
	start := time.Unix(1000, 0)
	var liveness ownerLiveness
	liveness.recordSent(start)
	assert.Assert(t, !liveness.isSilent(start.Add(ownerReplyTimeout)), "one lost datagram delays no request")
	assert.Assert(t, liveness.isSilent(start.Add(ownerReplyTimeout+time.Millisecond)))
	responsive := liveness.untilResponsive()
	liveness.recordReply(false)
	<-responsive
	assert.Assert(t, !liveness.isSilent(start.Add(time.Hour)))

	liveness.tokenStale = true
	liveness.recordReply(false)
	assert.Assert(t, liveness.isSilent(start), "a reply without a token does not renew a stale one")
	liveness.recordReply(true)
	assert.Assert(t, !liveness.isSilent(start))
}
