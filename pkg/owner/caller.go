package owner

import (
	"net/netip"
	"time"

	wirepb "rosemarygate/api/wire/v1"
)

// callerMove is an address from which a flow's keep-alive came and that has not proved yet
// that it receives what is sent to it.
type callerMove struct {
	addr netip.AddrPort
	at   time.Time // when its token was issued, millisecond resolution
}

// checkCaller moves a flow to another caller address when the frame carries a token that
// was issued to that address. Until then answers and feed items go to the old one, because
// a replayed packet with a forged source would otherwise send them to somebody else.
func (c *Core) checkCaller(f *flow, ev FrameReceived) {
	if ev.Caller == f.caller {
		return
	}
	if m := f.move; m != nil && m.addr == ev.Caller && !ev.Claims.IssuedAt.Before(m.at) {
		f.caller, f.move = ev.Caller, nil
		c.count(CallersMoved, f.up.service, 0)
		return
	}
	c.count(FramesElsewhere, f.up.service, 0)
}

// keepAlive renews the token of a flow. The reply is smaller than the keep-alive, so it may
// go to an address that is not proved.
func (c *Core) keepAlive(f *flow, from netip.AddrPort) {
	if from != f.caller && (f.move == nil || f.move.addr != from) {
		f.move = &callerMove{addr: from, at: c.now.Truncate(time.Millisecond)}
	}
	fr := &wirepb.Frame{Body: &wirepb.Frame_KeepAliveAck{KeepAliveAck: &wirepb.KeepAliveAck{
		FeedActive: f.feed != nil,
	}}}
	c.sign(f, fr)
	c.emit(SendFrame{Caller: from, Service: f.up.service, Frame: fr})
}
