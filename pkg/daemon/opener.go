package daemon

import (
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/relay"
	"rosemarygate/pkg/selection"
)

// opener picks upstreams for new flows and forwards the opens to the upstreams' owners.
type opener struct {
	datapath *datapath
	// countRefused counts an open that no upstream accepted.
	countRefused func(ident.ServiceID, wirepb.Reason)

	mu     sync.Mutex
	table  *selection.Table
	search search
}

// withTable runs f on the selection table, under the opener's lock.
func (o *opener) withTable(f func(now time.Time, t *selection.Table)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o.datapath.clock(), o.table)
}

// open picks an upstream that has not refused the open yet and passes the open to the upstream's
// owner. tried are the upstreams that refused it, and reason is the reason of the last refusal.
func (o *opener) open(r *receiver, caller netip.AddrPort, service ident.ServiceID, flow ident.FlowID, tried []ident.UpstreamID, reason wirepb.Reason) {
	if len(tried) > relay.MaxTriedUpstreams {
		o.refuse(r, caller, service, flow, reason)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.datapath.clock()
	picked, err := o.table.Pick(now, service, tried)
	if err != nil {
		h := heldOpen{caller: caller, flow: flow, tried: tried, reason: reason}
		if !o.holdOpen(now, service, h) {
			o.refuse(r, caller, service, flow, refusalReason(err, reason))
		}
		return
	}
	if !o.table.IsLocalOrNear(picked.DataCentre) {
		o.search.start(now, service) // another data centre may have a better upstream
	}
	decision := o.datapath.table.Load().RouteToOwner(picked.DataCentre, picked.Upstream)
	switch decision.Verdict {
	case relay.Local:
		o.datapath.offer(picked.Upstream, service, owner.OpenReceived{
			Caller: caller, Service: service, Flow: flow, Upstream: picked.Upstream, Tried: tried,
		})
	case relay.Forward:
		o.forward(r, decision.Peer, caller, service, flow, picked.Upstream, tried)
	default:
		o.refuse(r, caller, service, flow, reason)
	}
}

// refusalReason returns the reason why an open is refused: that of the last upstream, or FLOWS_FULL
// when none was tried and all are full.
func refusalReason(err error, last wirepb.Reason) wirepb.Reason {
	var selectionErr *selection.Error
	if last == wirepb.Reason_REASON_NO_UPSTREAM && errors.As(err, &selectionErr) && selectionErr.Reason == selection.ReasonFull {
		return wirepb.Reason_REASON_FLOWS_FULL
	}
	return last
}

func (o *opener) forward(r *receiver, to, caller netip.AddrPort, service ident.ServiceID, flow ident.FlowID, u ident.UpstreamID, tried []ident.UpstreamID) {
	b, err := frame.Encode(nil, &wirepb.Frame{FlowId: uint64(flow), Body: &wirepb.Frame_Open{Open: &wirepb.Open{}}})
	if err != nil {
		return
	}
	p := &relay.Packet{Caller: caller, Service: service, Frame: b, Hops: 1, Upstream: u}
	p.NumTriedUpstreams = copy(p.TriedUpstreams[:], tried)
	o.datapath.forward(r, to, p)
}

func (o *opener) refuse(r *receiver, caller netip.AddrPort, service ident.ServiceID, flow ident.FlowID, reason wirepb.Reason) {
	o.countRefused(service, reason)
	o.datapath.sendFrame(r, service, caller, &wirepb.Frame{
		FlowId: uint64(flow),
		Body:   &wirepb.Frame_FlowStatus{FlowStatus: &wirepb.FlowStatus{Reason: reason, Gone: true}},
	})
}
