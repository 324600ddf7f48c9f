package dispatch

import "fmt"

// Reason tells why a request was refused. A refused request did not run.
type Reason uint8

// Reasons of refusals.
const (
	// ReasonQueueFull: the queue of the request's class is at its limit.
	ReasonQueueFull Reason = iota + 1
	// ReasonDeadline: the estimated end lies after the request's deadline.
	ReasonDeadline
	// ReasonExpired: the deadline passed while the request was queued.
	ReasonExpired
	// ReasonDraining: the upstream accepts no new requests.
	ReasonDraining
	// ReasonUnknownClass: the request's class does not exist.
	ReasonUnknownClass
	// ReasonDuplicate: a request with the same identifier is queued or running. Only this
	// submission is refused; it tells nothing about the first one, which may run.
	ReasonDuplicate
	// ReasonClassRemoved: new limits removed the class of a queued request.
	ReasonClassRemoved
)

type reasonText struct{ name, remedy string }

var reasonTexts = [...]reasonText{
	ReasonQueueFull:    {"queue_full", "retry on another upstream, raise queue_limit of the class or add upstreams"},
	ReasonDeadline:     {"deadline_cannot_be_met", "retry on another upstream or allow a longer deadline"},
	ReasonExpired:      {"deadline_passed_in_queue", "allow a longer deadline or add upstreams"},
	ReasonDraining:     {"draining", "open a flow on another upstream"},
	ReasonUnknownClass: {"unknown_class", "use a class that the service's configuration declares"},
	ReasonDuplicate:    {"duplicate", "wait for the outcome of the first request or use a new request id"},
	ReasonClassRemoved: {"class_removed", "use a class that the service's configuration declares"},
}

// Reasons returns every reason, for registering one counter each.
func Reasons() []Reason {
	out := make([]Reason, 0, len(reasonTexts)-1)
	for r := ReasonQueueFull; int(r) < len(reasonTexts); r++ {
		out = append(out, r)
	}
	return out
}

// String returns the name of the reason as counters and logs show it.
func (r Reason) String() string {
	if r == 0 || int(r) >= len(reasonTexts) {
		return fmt.Sprintf("reason_%d", uint8(r))
	}
	return reasonTexts[r].name
}

// Remedy tells a caller or operator what to do about the refusal; it is empty for an unknown reason.
func (r Reason) Remedy() string {
	if int(r) >= len(reasonTexts) {
		return ""
	}
	return reasonTexts[r].remedy
}
