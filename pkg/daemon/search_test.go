package daemon

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/selection"
)

// Guards against opens that are refused, or that wait for ever, while the upstreams of a distant
// service are fetched, and against a question for each open.
func TestOpenWaitsForDistantUpstreams(t *testing.T) {
	d := newTestPath(t)
	now := time.Unix(1000, 0)
	d.clock = func() time.Time { return now }
	d.receivers.New = func() any { return d.newReceiver() }
	refused, asked := 0, 0
	d.opener.refused = func(ident.ServiceID, wirepb.Reason) { refused++ }
	open := func(flow ident.FlowID) {
		d.opener.open(d.newReceiver(), netip.MustParseAddrPort("127.0.0.1:9"), testService, flow, nil, wirepb.Reason_REASON_NO_UPSTREAM)
	}
	open(1)
	assert.Equal(t, 1, refused, "all registrations are kept, so there is nothing to wait for")

	d.opener.search.ask = func(ident.ServiceID) bool { asked++; return true }
	open(2)
	open(3)
	assert.Equal(t, 1, refused)
	assert.Equal(t, 1, asked)
	now = now.Add(searchTime)
	d.opener.resume(testService)
	assert.Equal(t, 3, refused)

	now = now.Add(searchAgain)
	open(4)
	d.opener.table.Set(now, testService, []selection.Candidate{{Upstream: ownedBy(1).Upstream, DataCentre: ident.DataCentre("dc"), Slots: 1}})
	d.opener.resume(testService)
	assert.Equal(t, 2, asked)
	assert.Equal(t, 3, refused)
	ev, ok := d.queued()
	assert.Assert(t, ok)
	assert.Equal(t, ev.(owner.OpenReceived).Flow, ident.FlowID(4))
	assert.Equal(t, 0, d.opener.search.count)
}
