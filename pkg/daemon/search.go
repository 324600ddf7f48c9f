package daemon

import (
	"net/netip"
	"time"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/ident"
)

const (
	// searchTime is how long opens wait for upstreams of other data centres. They are asked
	// twice, 500 ms apart, since a question or an answer can be lost.
	searchTime = time.Second
	// searchAgain is the time from one search for a service to the next.
	searchAgain = 10 * time.Second
	// maxHeld bounds the opens that wait, of all services.
	maxHeld = 256
)

// search looks in other data centres for upstreams of services that the kept registrations do
// not serve, while opens wait. It is guarded by the opener's lock.
type search struct {
	// ask asks for a service without blocking. It returns false when all registrations are
	// kept, or when the question cannot be queued.
	ask   func(ident.ServiceID) bool
	begun map[ident.ServiceID]time.Time
	held  map[ident.ServiceID][]heldOpen
	count int // held opens
}

// heldOpen is an open that waits for candidates.
type heldOpen struct {
	caller netip.AddrPort
	flow   ident.FlowID
	tried  []ident.UpstreamID
	reason wirepb.Reason
}

func newSearch() search {
	return search{
		ask:   func(ident.ServiceID) bool { return false },
		begun: map[ident.ServiceID]time.Time{}, held: map[ident.ServiceID][]heldOpen{},
	}
}

// begin starts a search unless there was one lately, and tells whether one is in progress.
func (s *search) begin(now time.Time, service ident.ServiceID) bool {
	begun, ok := s.begun[service]
	if !ok || now.Sub(begun) >= searchAgain {
		if !s.ask(service) {
			return false
		}
		begun = now
		s.begun[service] = now
	}
	return now.Sub(begun) < searchTime
}

// hold keeps an open while a search for its service is in progress.
func (o *opener) hold(now time.Time, service ident.ServiceID, h heldOpen) bool {
	s := &o.search
	if !s.begin(now, service) || s.count >= maxHeld {
		return false
	}
	if len(s.held[service]) == 0 {
		time.AfterFunc(searchTime, func() { o.resume(service) })
	}
	s.held[service] = append(s.held[service], h)
	s.count++
	return true
}

// resume handles the held opens of a service again.
func (o *opener) resume(service ident.ServiceID) {
	o.mu.Lock()
	list := o.search.held[service]
	delete(o.search.held, service)
	o.search.count -= len(list)
	o.mu.Unlock()
	if len(list) == 0 {
		return
	}
	r := o.path.receivers.Get().(*receiver)
	defer o.path.receivers.Put(r)
	for _, h := range list {
		o.open(r, h.caller, service, h.flow, h.tried, h.reason)
	}
	r.out.flush()
}
