package registration

import (
	"net/netip"
	"time"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/ownership"
)

// Registration is one registered upstream that can be given new work.
type Registration struct {
	Service     ident.ServiceID
	Upstream    ident.UpstreamID
	Name        string
	DataCentre  string
	Incarnation ident.Incarnation
	Addr        netip.AddrPort
	Slots       int
	FlowLimit   int
	Draining    bool      // takes no new flows
	Since       time.Time // when it was first accepted, by the clock of the owner at that time
}

// Load is the exact load of an upstream, as its owner reports it.
type Load struct {
	Upstream ident.UpstreamID
	Flows    int
	Running  int
	Queued   int
	Healthy  bool
	At       time.Time // time of the report, by this daemon's clock
}

// Reason is the reason why an announcement or a withdrawal was refused.
type Reason uint8

// Reasons of refusals.
const (
	NotOwner   Reason = iota + 1 // another daemon is responsible: Answer.Owner
	Superseded                   // a larger incarnation of the upstream is registered
	Withdrawn                    // this incarnation was withdrawn
	NoOwner                      // there is no serving daemon in the view
	Malformed                    // empty name, data centre or address, or a name over 200 bytes
)

var reasonNames = [...]string{"", "not owner", "superseded by a larger incarnation", "withdrawn", "no owner", "malformed"}

// String returns the reason as logs show it.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}

// Event is an input of the core.
type Event interface{ event() }

// Announced is an announcement or renewal by an upstream. The core responds with an Answer.
type Announced struct{ Registration Registration }

// Withdraw ends the lease of an upstream immediately. The core responds with an Answer.
type Withdraw struct {
	Upstream    ident.UpstreamID
	DataCentre  string
	Incarnation ident.Incarnation
}

// ViewChanged carries a new view of the membership core, and its ownership table if the runner
// has already built it.
type ViewChanged struct {
	View  *membership.View
	Table *ownership.Table
}

// AttachmentReceived carries the attachment of a membership message.
type AttachmentReceived struct {
	From ident.DaemonID
	Data []byte
}

// LoadReport carries the load of an upstream that this daemon owns.
type LoadReport struct{ Load Load }

// ServiceRequested reports that callers request a service that the upstreams known to this daemon
// do not serve, or not well. Its upstreams are fetched from the data centres whose registrations
// are not kept.
type ServiceRequested struct{ Service ident.ServiceID }

// Tick advances the time; the runner delivers one at least every 100 ms.
type Tick struct{}

func (Announced) event()          {}
func (Withdraw) event()           {}
func (ViewChanged) event()        {}
func (AttachmentReceived) event() {}
func (LoadReport) event()         {}
func (ServiceRequested) event()   {}
func (Tick) event()               {}

// Action is an output of the core.
type Action interface{ action() }

// Answer is the result of an Announced or Withdraw event. Refusal is zero if the event was
// accepted.
type Answer struct {
	Refusal       Reason
	Owner         membership.Member // owner of the upstream; not set with NoOwner and Malformed
	LeaseDuration time.Duration
	RenewInterval time.Duration
}

// RegistrationsChanged lists the registrations that were added or changed, the upstreams whose
// registrations ended, and those whose registrations are no longer kept here although they may
// still be live.
type RegistrationsChanged struct {
	Updated   []Registration
	Removed   []ident.UpstreamID
	Discarded []ident.UpstreamID
}

// LoadsReceived carries loads that other owners reported.
type LoadsReceived struct{ Loads []Load }

// SendAttachment instructs the runner to have the membership core send an attachment to one member.
type SendAttachment struct {
	To   ident.DaemonID
	Data []byte
}

// SpreadNow instructs the runner to have the membership core send pending changes immediately.
type SpreadNow struct{}

func (Answer) action()               {}
func (RegistrationsChanged) action() {}
func (LoadsReceived) action()        {}
func (SendAttachment) action()       {}
func (SpreadNow) action()            {}
