package owner

import (
	"net/netip"

	peerpb "rosemarygate/api/peer/v1"
	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/token"
)

// Event is one input of the core. The types below are all of them.
type Event interface{ event() }

// OpenReceived is a caller's open, for an upstream picked by an entry daemon.
type OpenReceived struct {
	Caller   netip.AddrPort
	Service  ident.ServiceID
	Flow     ident.FlowID
	Upstream ident.UpstreamID
	Tried    []ident.UpstreamID // upstreams that refused this open
}

// FrameReceived is any other caller frame, with the verified claims of its token. The
// claims' service equals the service of the address that the frame came to.
type FrameReceived struct {
	Caller netip.AddrPort
	Claims token.Claims
	Frame  *wirepb.Frame
	Hops   int // daemons that have passed the frame on
}

// UpstreamUp says that an upstream is connected, or that its limits changed.
type UpstreamUp struct {
	Service     ident.ServiceID
	Upstream    ident.UpstreamID
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentreID
	Slots       int // requests at once
	FlowLimit   int // open flows
	Draining    bool
}

// UpstreamDown says that an incarnation of an upstream is gone for good: its lease ended.
type UpstreamDown struct {
	Upstream    ident.UpstreamID
	Incarnation ident.Incarnation
}

// UpstreamLost says that the connection to an upstream is lost while its lease lives.
// Requests wait until UpstreamUp.
type UpstreamLost struct{ Upstream ident.UpstreamID }

// ExecuteResult says how a call to an upstream ended.
type ExecuteResult uint8

// Results of a call to an upstream.
const (
	Answered  ExecuteResult = iota + 1
	NotBegun                // the upstream said that the request did not begin
	Failed                  // the call ended without an answer; the request may have run
	Cancelled               // the call was cancelled; the request may have run
)

// ExecuteDone ends one Execute action.
type ExecuteDone struct {
	Upstream ident.UpstreamID
	Call     uint64
	Result   ExecuteResult
	Payload  []byte
	Draining bool // with NotBegun: the upstream is draining
}

// FeedReceived is one feed item from an upstream.
type FeedReceived struct {
	Upstream ident.UpstreamID
	Flow     ident.FlowID
	Sequence uint64
	Payload  []byte
	End      bool
}

// FeedsReset says that an upstream's feed stream was opened anew: every feed has to be
// subscribed again.
type FeedsReset struct{ Upstream ident.UpstreamID }

// Tick lets time pass; the runner sends one every TickInterval.
type Tick struct{}

// Services finds the settings of services. It is immutable.
type Services interface {
	// Service returns the settings of a service; nil when there is none.
	Service(ident.ServiceID) *Service
}

// ServiceMap is Services as a map.
type ServiceMap map[ident.ServiceID]*Service

// Service returns the settings of a service; nil when there is none.
func (m ServiceMap) Service(id ident.ServiceID) *Service { return m[id] }

// ServicesChanged replaces the settings of the services.
type ServicesChanged struct {
	Services Services
	// Changed are the services whose settings differ from those before; nil means that any may.
	Changed []ident.ServiceID
}

// KeysChanged replaces the token keys, oldest first.
type KeysChanged struct{ Keys []token.Key }

// HandoverRequested asks for an upstream's flows to be moved to another daemon.
type HandoverRequested struct {
	Upstream    ident.UpstreamID
	To          ident.DaemonID
	Incarnation ident.Incarnation
}

// HandoverEnded says whether the successor has installed the flows.
type HandoverEnded struct {
	Upstream ident.UpstreamID
	To       ident.DaemonID
	OK       bool
}

// HandoverReceived installs flows of a predecessor. Chunks are complete and in order.
type HandoverReceived struct{ Chunks []*peerpb.HandoverChunk }

// CompletedReceived is a request that a predecessor finished after its handover.
type CompletedReceived struct{ Request *peerpb.CompletedRequest }

func (OpenReceived) event()      {}
func (FrameReceived) event()     {}
func (UpstreamUp) event()        {}
func (UpstreamDown) event()      {}
func (UpstreamLost) event()      {}
func (ExecuteDone) event()       {}
func (FeedReceived) event()      {}
func (FeedsReset) event()        {}
func (Tick) event()              {}
func (ServicesChanged) event()   {}
func (KeysChanged) event()       {}
func (HandoverRequested) event() {}
func (HandoverEnded) event()     {}
func (HandoverReceived) event()  {}
func (CompletedReceived) event() {}
