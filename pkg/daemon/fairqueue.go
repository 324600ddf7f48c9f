package daemon

import (
	"sync"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/owner"
)

const (
	// packetQueue is the room for callers' packets at one owner core. Each of n services that
	// have packets waiting may use a share of 1/n, but not more than serviceQueue.
	packetQueue     = 8192
	serviceQueue    = 2048
	minServiceQueue = 16
)

// fairQueue holds the callers' packets of one owner core by service and hands them out in
// turn, so that a flood of one service neither fills the queue nor delays the others.
type fairQueue struct {
	wake chan struct{} // capacity 1; holds a value while packets may wait

	mu       sync.Mutex
	services map[ident.ServiceID]*serviceFIFO
	active   []*serviceFIFO // those with packets, in turn
	next     int
}

type serviceFIFO struct {
	service ident.ServiceID
	events  []owner.Event
	head    int
}

func newFairQueue() *fairQueue {
	return &fairQueue{wake: make(chan struct{}, 1), services: map[ident.ServiceID]*serviceFIFO{}}
}

// offer adds a packet unless the service's share is used up.
func (q *fairQueue) offer(service ident.ServiceID, ev owner.Event) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.services[service]
	if f == nil {
		f = &serviceFIFO{service: service}
		q.services[service] = f
		q.active = append(q.active, f)
	}
	if len(f.events)-f.head >= q.share() {
		return false
	}
	f.events = append(f.events, ev)
	q.signal()
	return true
}

// share is the number of packets that one service may have waiting; q.mu is held.
func (q *fairQueue) share() int {
	return max(minServiceQueue, min(serviceQueue, packetQueue/len(q.active)))
}

func (q *fairQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take returns the next packet of the service whose turn it is.
func (q *fairQueue) take() (owner.Event, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.active) == 0 {
		return nil, false
	}
	q.next %= len(q.active)
	f := q.active[q.next]
	ev := f.pop()
	if f.head < len(f.events) {
		q.next++
	} else {
		delete(q.services, f.service)
		q.active = append(q.active[:q.next], q.active[q.next+1:]...)
	}
	if len(q.active) > 0 {
		q.signal()
	}
	return ev, true
}

// pop returns the first event. The space of taken events is used again from time to time.
func (f *serviceFIFO) pop() owner.Event {
	ev := f.events[f.head]
	f.events[f.head] = nil
	f.head++
	if f.head >= serviceQueue {
		f.events = append(f.events[:0], f.events[f.head:]...)
		f.head = 0
	}
	return ev
}
