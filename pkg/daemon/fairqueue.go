package daemon

import (
	"sync"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/owner"
)

const (
	// packetQueueSize is the number of callers' packets that may wait at one owner core. Each of n
	// services with waiting packets may use a share of 1/n, but no more than serviceQueueLimit and no
	// less than minServiceQueueLimit.
	packetQueueSize      = 8192
	serviceQueueLimit    = 2048
	minServiceQueueLimit = 16
)

// fairQueue holds the callers' packets of one owner core in a FIFO queue for each service and serves
// these round robin, so that a flood of one service neither fills the queue nor delays the others.
type fairQueue struct {
	wake chan struct{} // capacity 1; holds a value while packets may wait

	mu         sync.Mutex
	services   map[ident.ServiceID]*serviceFIFO
	active     []*serviceFIFO // queues with packets, in round-robin order
	nextActive int
}

type serviceFIFO struct {
	service ident.ServiceID
	events  []owner.Event
	head    int
}

func newFairQueue() *fairQueue {
	return &fairQueue{wake: make(chan struct{}, 1), services: map[ident.ServiceID]*serviceFIFO{}}
}

// offer adds a packet. It returns false when the service's share is used up.
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

// share returns the number of packets that may wait for one service. The caller holds q.mu.
func (q *fairQueue) share() int {
	return max(minServiceQueueLimit, min(serviceQueueLimit, packetQueueSize/len(q.active)))
}

func (q *fairQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take removes the next packet in round-robin order.
func (q *fairQueue) take() (owner.Event, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.active) == 0 {
		return nil, false
	}
	q.nextActive %= len(q.active)
	f := q.active[q.nextActive]
	ev := f.pop()
	if f.head < len(f.events) {
		q.nextActive++
	} else {
		delete(q.services, f.service)
		q.active = append(q.active[:q.nextActive], q.active[q.nextActive+1:]...)
	}
	if len(q.active) > 0 {
		q.signal()
	}
	return ev, true
}

// pop removes the first event. It reuses the space of removed events once serviceQueueLimit of them
// have been removed.
func (f *serviceFIFO) pop() owner.Event {
	ev := f.events[f.head]
	f.events[f.head] = nil
	f.head++
	if f.head >= serviceQueueLimit {
		f.events = append(f.events[:0], f.events[f.head:]...)
		f.head = 0
	}
	return ev
}
