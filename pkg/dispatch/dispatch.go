// Package dispatch admits, queues and dispatches the requests of one upstream.
//
// A Scheduler never runs more requests than the upstream has slots. A free slot goes to
// the class that is furthest behind its guaranteed share of service time, and otherwise to
// the most urgent class with a queued request. Classes whose requests are much longer than
// those of a more urgent class may not occupy the last slots, because a running request
// cannot be preempted and would delay urgent requests by its whole service time.
//
// The package does no I/O, starts no goroutine and holds no lock; the caller passes the
// current time.
package dispatch

import "time"

// Class is a request class of a service.
type Class struct {
	Name       string  // unique in Limits; queued requests keep their class by name across SetLimits
	Share      float64 // guaranteed share of the slots' service time, 0 to 1; scaled down if the sum exceeds 1
	Priority   int     // order for capacity that is not used by guarantees; 0 is the most urgent
	QueueLimit int     // largest number of queued requests; 0 disables queueing
}

// Limits declares what one upstream can run.
type Limits struct {
	Slots   int // number of requests that the upstream declares it can run at once; less than 1 counts as 1
	Classes []Class
}

// Request is one request for the upstream.
type Request struct {
	ID         uint64    // unique among queued and running requests
	Class      int       // index into Limits.Classes
	Deadline   time.Time // zero for none
	Idempotent bool      // not used by the Scheduler; returned to the caller with the request
}

// Refusal reports a request that ended without running.
type Refusal struct {
	ID     uint64
	Reason Reason
}

// Outcome is how a dispatched request ended.
type Outcome uint8

// Outcomes of dispatched requests.
const (
	// Answered: the upstream completed the request.
	Answered Outcome = iota
	// Failed: the request failed, was cancelled while running, or its outcome is unknown.
	Failed
	// Shed: the upstream rejected the request before running it.
	Shed
)

// Load is a snapshot of a Scheduler.
type Load struct {
	Running int // dispatched requests without an outcome
	Queued  int // requests in all class queues
	Slots   int // effective slots: at least 1, at most the declared slots
}
