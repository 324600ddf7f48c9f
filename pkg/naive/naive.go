// Package naive implements the baselines for comparisons in tests and measurements: random
// selection of upstreams, first-come, first-served dispatch by daemons that share no state,
// immediate retries, and spill-over by a threshold on the difference of queue lengths.
package naive

import (
	"math/rand/v2"
	"time"

	"rosemarygate/pkg/dispatch"
)

// Dispatcher starts the requests of one daemon in order of arrival. It limits only its own requests
// to the slots and ignores those of other daemons, so that several daemons together overload the
// upstream. It ignores classes and deadlines.
type Dispatcher struct {
	slots      int
	queueLimit int // queued requests; 0 for no limit
	queue      []dispatch.Request
	running    map[uint64]bool
}

// NewDispatcher returns a dispatcher that runs up to slots requests at once and queues at most
// queueLimit requests, or any number when queueLimit is 0.
func NewDispatcher(slots, queueLimit int) *Dispatcher {
	return &Dispatcher{slots: slots, queueLimit: queueLimit, running: make(map[uint64]bool)}
}

// Submit queues a request and returns the requests to run now. It reports false when the queue is
// full.
func (d *Dispatcher) Submit(r dispatch.Request) ([]dispatch.Request, bool) {
	if d.queueLimit > 0 && len(d.queue) >= d.queueLimit && len(d.running) >= d.slots {
		return nil, false
	}
	d.queue = append(d.queue, r)
	return d.startQueued(), true
}

// Done ends a running request and returns the requests to run now.
func (d *Dispatcher) Done(id uint64) []dispatch.Request {
	if !d.running[id] {
		return nil
	}
	delete(d.running, id)
	return d.startQueued()
}

// Cancel removes a queued request and reports whether it was queued.
func (d *Dispatcher) Cancel(id uint64) bool {
	for i, r := range d.queue {
		if r.ID == id {
			d.queue = append(d.queue[:i], d.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Load returns the numbers of running and queued requests.
func (d *Dispatcher) Load() (running, queued int) { return len(d.running), len(d.queue) }

func (d *Dispatcher) startQueued() []dispatch.Request {
	var started []dispatch.Request
	for len(d.queue) > 0 && len(d.running) < d.slots {
		r := d.queue[0]
		d.queue = d.queue[1:]
		d.running[r.ID] = true
		started = append(started, r)
	}
	return started
}

// RandomIndex returns a random index below n.
func RandomIndex(rng *rand.Rand, n int) int { return rng.IntN(n) }

// ShouldRetry reports whether another attempt is allowed; there is no delay or budget.
func ShouldRetry(attempts, maxAttempts int) bool { return attempts < maxAttempts }

// SpillByThreshold reports whether to send a request to another data centre: when the local queue per
// slot exceeds the remote one by a threshold that grows with the network delay. Such a request loses
// the delay and gains the service time of the requests that it no longer waits for.
func SpillByThreshold(localQueue, remoteQueue float64, delay, serviceTime time.Duration) bool {
	if serviceTime <= 0 {
		return false
	}
	return localQueue-remoteQueue > 1+float64(delay)/float64(serviceTime)
}
