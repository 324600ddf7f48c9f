// Package naive holds the baselines that tests and measurements compare with: random
// choice of upstreams, first come first served dispatch by daemons that share no state,
// immediate retries, and spill-over by a threshold on the difference of queue lengths.
package naive

import (
	"math/rand/v2"
	"time"

	"rosemarygate/pkg/dispatch"
)

// Dispatcher passes the requests of one daemon on in order of arrival. It limits only
// its own requests to the slots and knows nothing of other daemons, so several daemons
// together overrun the upstream. It looks at neither class nor deadline.
type Dispatcher struct {
	slots   int
	limit   int // queued requests; 0 for no limit
	queue   []dispatch.Request
	running map[uint64]bool
}

// NewDispatcher returns a dispatcher that runs slots requests at once and queues at most
// limit requests, or any number when limit is 0.
func NewDispatcher(slots, limit int) *Dispatcher {
	return &Dispatcher{slots: slots, limit: limit, running: make(map[uint64]bool)}
}

// Submit queues a request and returns what to run now. It reports false when the queue is full.
func (d *Dispatcher) Submit(r dispatch.Request) ([]dispatch.Request, bool) {
	if d.limit > 0 && len(d.queue) >= d.limit && len(d.running) >= d.slots {
		return nil, false
	}
	d.queue = append(d.queue, r)
	return d.fill(), true
}

// Done ends a running request and returns what to run now.
func (d *Dispatcher) Done(id uint64) []dispatch.Request {
	if !d.running[id] {
		return nil
	}
	delete(d.running, id)
	return d.fill()
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

func (d *Dispatcher) fill() []dispatch.Request {
	var run []dispatch.Request
	for len(d.queue) > 0 && len(d.running) < d.slots {
		r := d.queue[0]
		d.queue = d.queue[1:]
		d.running[r.ID] = true
		run = append(run, r)
	}
	return run
}

// Choose returns a random index below n.
func Choose(rng *rand.Rand, n int) int { return rng.IntN(n) }

// Retry allows every retry at once until the attempts are used.
func Retry(attempts, maxAttempts int) bool { return attempts < maxAttempts }

// SpillByThreshold reports whether to leave the local data centre under a threshold rule:
// the queue per slot there exceeds that elsewhere by a threshold that grows with the
// network delay. A request that goes elsewhere loses the delay and gains the service time
// of the requests it no longer waits for.
func SpillByThreshold(local, remote float64, delay, service time.Duration) bool {
	if service <= 0 {
		return false
	}
	return local-remote > 1+float64(delay)/float64(service)
}
