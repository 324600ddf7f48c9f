package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/owner"
)

// Guards against packets of one service that wait behind a flood of another, and against a flood that
// uses the queue space of other services.
func TestFairQueueTakesTurns(t *testing.T) {
	q := newFairQueue()
	accepted := 0
	for i := range 3 * serviceQueueLimit {
		if q.offer(1, owner.OpenReceived{Service: 1, Flow: ident.FlowID(i)}) {
			accepted++
		}
	}
	assert.Equal(t, accepted, serviceQueueLimit)
	for i := range 3 {
		assert.Assert(t, q.offer(2, owner.OpenReceived{Service: 2, Flow: ident.FlowID(i)}))
	}
	next := map[ident.ServiceID]ident.FlowID{}
	for i := range accepted + 3 {
		ev, ok := q.take()
		assert.Assert(t, ok)
		open := ev.(owner.OpenReceived)
		assert.Equal(t, open.Flow, next[open.Service]) // in order of arrival within a service
		next[open.Service]++
		if i == 5 {
			assert.Equal(t, next[2], ident.FlowID(3))
		}
	}
	_, ok := q.take()
	assert.Assert(t, !ok)
}
