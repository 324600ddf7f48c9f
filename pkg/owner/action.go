package owner

import (
	"net/netip"
	"time"

	peerpb "rosemarygate/api/peer/v1"
	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/ident"
)

// Action is one output of the core. The types below are all of them.
type Action interface{ action() }

// SendFrame sends a frame to a caller from the service's address.
type SendFrame struct {
	Caller  netip.AddrPort
	Service ident.ServiceID
	Frame   *wirepb.Frame
}

// Execute starts one call to an upstream; exactly one ExecuteDone follows.
type Execute struct {
	Upstream   ident.UpstreamID
	Call       uint64
	Service    ident.ServiceID
	Flow       ident.FlowID
	Request    ident.RequestID
	Class      string
	Idempotent bool
	Deadline   time.Time
	Payload    []byte
}

// CancelExecute cancels a call; its ExecuteDone still follows.
type CancelExecute struct {
	Upstream ident.UpstreamID
	Call     uint64
}

// SubscribeFeed starts or ends a feed on the upstream's feed stream.
type SubscribeFeed struct {
	Upstream    ident.UpstreamID
	Flow        ident.FlowID
	Topic       string
	After       uint64 // last sequence already received
	Unsubscribe bool
}

// PassOpen returns a refused open to the runner, which picks another upstream.
type PassOpen struct {
	Caller  netip.AddrPort
	Service ident.ServiceID
	Flow    ident.FlowID
	Tried   []ident.UpstreamID
	Reason  wirepb.Reason
}

// ForwardFrame forwards a frame to the daemon that owns the upstream. To is 0 when the core
// has no entry for the upstream; the runner then looks the owner up in its member list.
type ForwardFrame struct {
	To    ident.DaemonID
	Event FrameReceived
}

// SendHandover sends an upstream's flows to its new owner; one HandoverEnded follows.
type SendHandover struct {
	Upstream ident.UpstreamID
	To       ident.DaemonID
	Chunks   []*peerpb.HandoverChunk
}

// SendCompleted reports to the new owner the result of a request that was running when the
// handover began.
type SendCompleted struct {
	To      ident.DaemonID
	Request *peerpb.CompletedRequest
}

// ReleaseUpstream reports that the core holds no state of the upstream any more after a
// handover.
type ReleaseUpstream struct{ Upstream ident.UpstreamID }

// Counter names one of the core's counters.
type Counter uint8

// Counters of the core. Each is kept per service; those marked (reason) also per reason.
const (
	FlowsOpened Counter = iota + 1
	FlowsAdopted
	FlowsConfirmed
	FlowsClosed
	FlowsExpired
	FlowsBroken     // (reason)
	OpensRefused    // (reason)
	RequestsStarted // calls started
	RequestsOK      // answered
	RequestsNotRun  // (reason)
	RequestsUnknown // (reason)
	RequestsRetried // (reason)
	FeedItems
	FeedResends
	RequestsRepeated       // copies received of requests that have a record
	FramesFromOtherAddress // frames from an address other than the flow's
	CallersMoved           // flows whose caller address changed
	RetriesRefused         // (reason)
)

// Count adds one to a counter.
type Count struct {
	Counter Counter
	Service ident.ServiceID
	Reason  wirepb.Reason
}

// ObserveCall reports the outcome and duration of a call to the selection of upstreams.
type ObserveCall struct {
	Service  ident.ServiceID
	Upstream ident.UpstreamID
	OK       bool
	Duration time.Duration
}

func (SendFrame) action()       {}
func (Execute) action()         {}
func (CancelExecute) action()   {}
func (SubscribeFeed) action()   {}
func (PassOpen) action()        {}
func (ForwardFrame) action()    {}
func (SendHandover) action()    {}
func (SendCompleted) action()   {}
func (ReleaseUpstream) action() {}
func (Count) action()           {}
func (ObserveCall) action()     {}
