package selection

import (
	"fmt"
	"slices"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/reason"
)

// Reason is the reason why no upstream was selected.
type Reason uint8

// Reasons of a failed Pick.
const (
	// ReasonNoUpstream means that the service has no upstream that accepts new flows.
	ReasonNoUpstream Reason = iota + 1
	// ReasonFull means that every upstream is at its flow limit.
	ReasonFull
	// ReasonAllTried means that every upstream below its flow limit was already tried for this
	// flow.
	ReasonAllTried
)

var reasonTexts = reason.Table[Reason]{
	ReasonNoUpstream: {Name: "no_upstream", Remedy: "start an upstream of the service, or check that its announcements are accepted"},
	ReasonFull:       {Name: "flow_limit", Remedy: "raise flow_limit of the service or add upstreams"},
	ReasonAllTried:   {Name: "all_tried", Remedy: "open the flow again later or add upstreams"},
}

// Reasons returns every reason, so that a counter can be registered for each.
func Reasons() []Reason { return reasonTexts.All() }

// String returns the name of the reason as used in counters and logs.
func (r Reason) String() string { return reasonTexts.Name(r) }

// Remedy returns advice for a caller or operator; it is empty for an unknown reason.
func (r Reason) Remedy() string { return reasonTexts.Remedy(r) }

// Error is returned by Table.Pick.
type Error struct{ Reason Reason }

// Error returns the reason and its remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("no upstream selected (%s): %s", e.Reason, e.Reason.Remedy())
}

// The errors are shared so that a refused flow allocates nothing.
var (
	errNoUpstream = &Error{ReasonNoUpstream}
	errFull       = &Error{ReasonFull}
	errAllTried   = &Error{ReasonAllTried}
)

func (p *pool) pickError(tried []ident.UpstreamID) error {
	accepting := false
	for i := range p.upstreams {
		u := &p.upstreams[i]
		if u.Draining {
			continue
		}
		accepting = true
		if slices.Contains(tried, u.Upstream) {
			return errAllTried
		}
	}
	if accepting {
		return errFull
	}
	return errNoUpstream
}
