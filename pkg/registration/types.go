package registration

import (
	"net/netip"
	"time"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/ownership"
)

// Registration is one upstream that may be given new work.
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
	Since       time.Time // clock of the owner that accepted it first
}

// Load is the exact load of an upstream at its owner.
type Load struct {
	Upstream ident.UpstreamID
	Flows    int
	Running  int
	Queued   int
	Healthy  bool
	At       time.Time // this daemon's clock
}

// Reason tells why an announcement or a withdrawal was refused.
type Reason uint8

// Reasons of refusals.
const (
	NotOwner   Reason = iota + 1 // pass it to Answer.Owner
	Superseded                   // a larger incarnation of the upstream is registered
	Withdrawn                    // this incarnation was withdrawn
	NoOwner                      // no serving daemon is known
	Malformed                    // empty name, data centre or address, or a string over 200 bytes
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

// Announced is an upstream's announcement or renewal. The core answers with an Answer.
type Announced struct{ Registration Registration }

// Withdraw ends an upstream's lease at once. The core answers with an Answer.
type Withdraw struct {
	Upstream    ident.UpstreamID
	DataCentre  string
	Incarnation ident.Incarnation
}

// ViewChanged carries a new view of the membership core, with its ownership table if the runner
// has built it.
type ViewChanged struct {
	View  *membership.View
	Table *ownership.Table
}

// Attached carries the attachment of a membership message.
type Attached struct {
	From ident.DaemonID
	Data []byte
}

// LoadReport is the load of an upstream that this daemon owns.
type LoadReport struct{ Load Load }

// Asked says that callers ask for a service that the upstreams known here do not serve, or not
// well. Its upstreams are fetched from the data centres whose registrations are not kept.
type Asked struct{ Service ident.ServiceID }

// Tick lets time pass; the runner delivers one at least every 100 ms.
type Tick struct{}

func (Announced) event()   {}
func (Withdraw) event()    {}
func (ViewChanged) event() {}
func (Attached) event()    {}
func (LoadReport) event()  {}
func (Asked) event()       {}
func (Tick) event()        {}

// Action is an output of the core.
type Action interface{ action() }

// Answer is the result of an Announced or Withdraw event. Refused is zero when it was accepted.
type Answer struct {
	Refused Reason
	Owner   membership.Member // owner of the upstream, unless NoOwner or Malformed
	Lease   time.Duration
	Renew   time.Duration
}

// Changed lists the registrations that were added or changed, the upstreams that are gone, and
// those whose registrations are no longer kept here although they may live.
type Changed struct {
	Set       []Registration
	Removed   []ident.UpstreamID
	Discarded []ident.UpstreamID
}

// Loaded carries load reports of other owners.
type Loaded struct{ Loads []Load }

// Message asks the runner to give the membership core a Carry event with the same fields.
type Message struct {
	To   ident.DaemonID
	Data []byte
}

// Spread asks the runner to give the membership core a Spread event.
type Spread struct{}

func (Answer) action()  {}
func (Changed) action() {}
func (Loaded) action()  {}
func (Message) action() {}
func (Spread) action()  {}
