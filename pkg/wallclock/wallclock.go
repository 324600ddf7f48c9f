// Package wallclock is the time of day of this process. Code that compares it with times from other
// processes uses this package, so that tests can make the clock jump; durations are measured with time.Now.
package wallclock

import (
	"sync/atomic"
	"time"
)

var offset atomic.Pointer[func() time.Duration]

// Now returns the time of day.
func Now() time.Time {
	now := time.Now()
	if f := offset.Load(); f != nil {
		// The result has no monotonic reading, as after a step of the system's clock.
		return now.Round(0).Add((*f)())
	}
	return now
}

// SetOffset makes the clock differ from that of the system. It is for tests.
func SetOffset(f func() time.Duration) { offset.Store(&f) }
