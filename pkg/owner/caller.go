package owner

import (
	"net/netip"
	"time"

	wirepb "rosemarygate/api/wire/v1"
)

// unvalidatedAddress is the source address of a flow's keep-alive that differs from the flow's
// caller address. It is validated once a frame from it carries a token that was sent to it.
type unvalidatedAddress struct {
	addr          netip.AddrPort
	tokenIssuedAt time.Time // millisecond resolution, like the issue time in tokens
}

// updateCallerAddress changes the caller address of a flow when a frame from the new address
// carries a token that was issued to that address. Until then answers and feed items go to the
// old address: a replayed packet with a forged source address must not redirect them.
func (c *Core) updateCallerAddress(f *flow, ev FrameReceived) {
	if ev.Caller == f.caller {
		return
	}
	if candidate := f.newAddress; candidate != nil && candidate.addr == ev.Caller && !ev.Claims.IssuedAt.Before(candidate.tokenIssuedAt) {
		f.caller, f.newAddress = ev.Caller, nil
		c.count(CallersMoved, f.upstream.service, 0)
		return
	}
	c.count(FramesFromOtherAddress, f.upstream.service, 0)
}

// handleKeepAlive renews the token of a flow. The reply is smaller than the keep-alive, so it
// can be sent to an unvalidated address without amplification.
func (c *Core) handleKeepAlive(f *flow, from netip.AddrPort) {
	if from != f.caller && (f.newAddress == nil || f.newAddress.addr != from) {
		f.newAddress = &unvalidatedAddress{addr: from, tokenIssuedAt: c.now.Truncate(time.Millisecond)}
	}
	fr := &wirepb.Frame{Body: &wirepb.Frame_KeepAliveAck{KeepAliveAck: &wirepb.KeepAliveAck{
		FeedActive: f.feed != nil,
	}}}
	c.addToken(f, fr)
	c.emit(SendFrame{Caller: from, Service: f.upstream.service, Frame: fr})
}
