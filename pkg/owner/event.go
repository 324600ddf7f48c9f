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

// OpenReceived is a caller's open frame, with the upstream that the entry daemon picked.
type OpenReceived struct {
	Caller   netip.AddrPort
	Service  ident.ServiceID
	Flow     ident.FlowID
	Upstream ident.UpstreamID
	Tried    []ident.UpstreamID // upstreams that refused this open
}

// FrameReceived is any other caller frame, with the verified claims of its token. The service
// in the claims equals the service of the frame's destination address.
type FrameReceived struct {
	Caller netip.AddrPort
	Claims token.Claims
	Frame  *wirepb.Frame
	Hops   int // daemons that have forwarded the frame
}

// UpstreamUp reports that an upstream is connected or that its limits have changed.
type UpstreamUp struct {
	Service     ident.ServiceID
	Upstream    ident.UpstreamID
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentreID
	Slots       int // limit of concurrent requests
	FlowLimit   int // limit of open flows
	Draining    bool
}

// UpstreamGone reports that the lease of an upstream's incarnation has ended. The incarnation
// does not return.
type UpstreamGone struct {
	Upstream    ident.UpstreamID
	Incarnation ident.Incarnation
}

// UpstreamDisconnected reports that the connection to an upstream is lost while its lease is still
// valid. Requests are held until UpstreamUp or until reconnectTimeout has passed.
type UpstreamDisconnected struct{ Upstream ident.UpstreamID }

// ExecuteResult is the result of a call to an upstream.
type ExecuteResult uint8

// Results of a call to an upstream.
const (
	Answered  ExecuteResult = iota + 1
	NotBegun                // the upstream reported that it did not start the request
	Failed                  // the call ended without an answer; the request may have run
	Cancelled               // the call was cancelled; the request may have run
)

// ExecuteDone reports the end of the call that an Execute action started.
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

// FeedsReset reports that an upstream's feed stream was reopened and that every feed has to be
// subscribed again.
type FeedsReset struct{ Upstream ident.UpstreamID }

// Tick triggers the work that depends on time; the runner sends one every TickInterval.
type Tick struct{}

// Services looks up the settings of services. It is immutable.
type Services interface {
	// Service returns the settings of a service; nil when there is none.
	Service(ident.ServiceID) *Service
}

// ServiceMap implements Services as a map.
type ServiceMap map[ident.ServiceID]*Service

// Service returns the settings of a service; nil when there is none.
func (m ServiceMap) Service(id ident.ServiceID) *Service { return m[id] }

// ServicesChanged replaces the settings of the services.
type ServicesChanged struct {
	Services Services
	// Changed lists the services whose settings differ from the previous ones; nil means that
	// any may differ.
	Changed []ident.ServiceID
}

// KeysChanged replaces the token keys. Keys are ordered from oldest to newest.
type KeysChanged struct{ Keys []token.Key }

// HandoverRequested requests the handover of an upstream's flows to another daemon.
type HandoverRequested struct {
	Upstream    ident.UpstreamID
	To          ident.DaemonID
	Incarnation ident.Incarnation
}

// HandoverEnded reports whether the successor has installed the flows.
type HandoverEnded struct {
	Upstream ident.UpstreamID
	To       ident.DaemonID
	OK       bool
}

// HandoverReceived carries the flows of a predecessor. Chunks are complete and in order.
type HandoverReceived struct{ Chunks []*peerpb.HandoverChunk }

// CompletedReceived carries the result of a request that ended at a predecessor after the
// handover began.
type CompletedReceived struct{ Request *peerpb.CompletedRequest }

func (OpenReceived) event()         {}
func (FrameReceived) event()        {}
func (UpstreamUp) event()           {}
func (UpstreamGone) event()         {}
func (UpstreamDisconnected) event() {}
func (ExecuteDone) event()          {}
func (FeedReceived) event()         {}
func (FeedsReset) event()           {}
func (Tick) event()                 {}
func (ServicesChanged) event()      {}
func (KeysChanged) event()          {}
func (HandoverRequested) event()    {}
func (HandoverEnded) event()        {}
func (HandoverReceived) event()     {}
func (CompletedReceived) event()    {}
