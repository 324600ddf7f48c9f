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

// Guards against opens that are refused, or that wait without a limit, while other data centres are
// queried for upstreams, and against a query for each open.
func TestOpenWaitsForDistantUpstreams(t *testing.T) {
	d := newTestDatapath(t)
	now := time.Unix(1000, 0)
	d.clock = func() time.Time { return now }
	d.receivers.New = func() any { return d.newReceiver() }
	refused, queries := 0, 0
	d.opener.countRefused = func(ident.ServiceID, wirepb.Reason) { refused++ }
	open := func(flow ident.FlowID) {
		d.opener.open(d.newReceiver(), netip.MustParseAddrPort("127.0.0.1:9"), testService, flow, nil, wirepb.Reason_REASON_NO_UPSTREAM)
	}
	open(1)
	assert.Equal(t, 1, refused, "all registrations are kept here, so the open must not wait")

	d.opener.search.queryService = func(ident.ServiceID) bool { queries++; return true }
	open(2)
	open(3)
	assert.Equal(t, 1, refused)
	assert.Equal(t, 1, queries)
	now = now.Add(searchTimeout)
	d.opener.resumeHeldOpens(testService)
	assert.Equal(t, 3, refused)

	now = now.Add(searchInterval)
	open(4)
	d.opener.table.Set(now, testService, []selection.Candidate{{Upstream: ownedBy(1).Upstream, DataCentre: ident.DataCentre("dc"), Slots: 1}})
	d.opener.resumeHeldOpens(testService)
	assert.Equal(t, 2, queries)
	assert.Equal(t, 3, refused)
	ev, ok := d.takeQueued()
	assert.Assert(t, ok)
	assert.Equal(t, ev.(owner.OpenReceived).Flow, ident.FlowID(4))
	assert.Equal(t, 0, d.opener.search.heldCount)
}
