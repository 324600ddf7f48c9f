package dispatch

import "rosemarygate/pkg/reason"

// Reason is why a request was refused. A refused request did not run.
type Reason uint8

// Reasons of refusals.
const (
	// ReasonQueueFull: the queue of the request's class is at its limit.
	ReasonQueueFull Reason = iota + 1
	// ReasonDeadline: the estimated end of the request is after its deadline.
	ReasonDeadline
	// ReasonExpired: the deadline passed while the request was queued.
	ReasonExpired
	// ReasonDraining: the upstream accepts no new requests.
	ReasonDraining
	// ReasonUnknownClass: the request's class does not exist.
	ReasonUnknownClass
	// ReasonDuplicate: a request with the same ID is queued or running. Only this
	// submission is refused; the first one is not affected and may run.
	ReasonDuplicate
	// ReasonClassRemoved: new limits removed the class of a queued request.
	ReasonClassRemoved
)

var reasonTexts = reason.Table[Reason]{
	ReasonQueueFull:    {Name: "queue_full", Remedy: "retry on another upstream, raise queue_limit of the class or add upstreams"},
	ReasonDeadline:     {Name: "deadline_cannot_be_met", Remedy: "retry on another upstream or allow a longer deadline"},
	ReasonExpired:      {Name: "deadline_passed_in_queue", Remedy: "allow a longer deadline or add upstreams"},
	ReasonDraining:     {Name: "draining", Remedy: "open a flow on another upstream"},
	ReasonUnknownClass: {Name: "unknown_class", Remedy: "use a class that the service's configuration declares"},
	ReasonDuplicate:    {Name: "duplicate", Remedy: "wait for the outcome of the first request or use a new request id"},
	ReasonClassRemoved: {Name: "class_removed", Remedy: "use a class that the service's configuration declares"},
}

// Reasons returns all reasons; each has its own counter.
func Reasons() []Reason { return reasonTexts.All() }

// String returns the name of the reason in counters and logs.
func (r Reason) String() string { return reasonTexts.Name(r) }

// Remedy returns what a caller or operator can do about the refusal; it is empty for an unknown reason.
func (r Reason) Remedy() string { return reasonTexts.Remedy(r) }
