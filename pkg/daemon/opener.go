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

// opener picks upstreams for new flows and sends the opens to their owners.
type opener struct {
	path *datapath
	// refused counts an open that no upstream took.
	refused func(ident.ServiceID, wirepb.Reason)

	mu     sync.Mutex
	table  *selection.Table
	search search
}

// withTable runs f on the selection table.
func (o *opener) withTable(f func(now time.Time, t *selection.Table)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o.path.clock(), o.table)
}

// open picks an upstream that has not refused the open yet and passes the open to its owner.
// reason is why the last one refused.
func (o *opener) open(r *receiver, caller netip.AddrPort, service ident.ServiceID, flow ident.FlowID, tried []ident.UpstreamID, reason wirepb.Reason) {
	if len(tried) > relay.MaxTried {
		o.refuse(r, caller, service, flow, reason)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.path.clock()
	picked, err := o.table.Pick(now, service, tried)
	if err != nil {
		h := heldOpen{caller: caller, flow: flow, tried: tried, reason: reason}
		if !o.hold(now, service, h) {
			o.refuse(r, caller, service, flow, openReason(err, reason))
		}
		return
	}
	if !o.table.IsLocalOrNear(picked.DataCentre) {
		o.search.begin(now, service) // a better upstream may be in another data centre
	}
	decision := o.path.table.Load().Owner(picked.DataCentre, picked.Upstream)
	switch decision.Verdict {
	case relay.Local:
		o.path.offer(picked.Upstream, service, owner.OpenReceived{
			Caller: caller, Service: service, Flow: flow, Upstream: picked.Upstream, Tried: tried,
		})
	case relay.Forward:
		o.forward(r, decision.Peer, caller, service, flow, picked.Upstream, tried)
	default:
		o.refuse(r, caller, service, flow, reason)
	}
}

// openReason says why an open is refused: what the last upstream said, unless none was asked.
func openReason(err error, last wirepb.Reason) wirepb.Reason {
	var none *selection.Error
	if last == wirepb.Reason_REASON_NO_UPSTREAM && errors.As(err, &none) && none.Reason == selection.ReasonFull {
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
	p.NumTried = copy(p.Tried[:], tried)
	o.path.forward(r, to, p)
}

func (o *opener) refuse(r *receiver, caller netip.AddrPort, service ident.ServiceID, flow ident.FlowID, reason wirepb.Reason) {
	o.refused(service, reason)
	o.path.sendFrame(r, service, caller, &wirepb.Frame{
		FlowId: uint64(flow),
		Body:   &wirepb.Frame_FlowStatus{FlowStatus: &wirepb.FlowStatus{Reason: reason, Gone: true}},
	})
}
