package daemon

import (
	"net/netip"
	"time"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/ident"
)

const (
	// searchTimeout is how long opens wait for the upstreams of other data centres. The data centres
	// are queried twice, 500 ms apart, since a query or a reply can be lost.
	searchTimeout = time.Second
	// searchInterval is the least time between the starts of two searches for a service.
	searchInterval = 10 * time.Second
	// maxHeldOpens is the limit of waiting opens, of all services together.
	maxHeldOpens = 256
)

// search queries other data centres for upstreams of services that have no usable upstream among the
// registrations kept here, while opens wait. The opener's lock guards it.
type search struct {
	// queryService queries other data centres for a service without blocking. It returns false when
	// all registrations are kept here, or when the query cannot be queued.
	queryService func(ident.ServiceID) bool
	startedAt    map[ident.ServiceID]time.Time
	heldOpens    map[ident.ServiceID][]heldOpen
	heldCount    int // held opens of all services
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
		queryService: func(ident.ServiceID) bool { return false },
		startedAt:    map[ident.ServiceID]time.Time{}, heldOpens: map[ident.ServiceID][]heldOpen{},
	}
}

// start starts a search unless one was started within searchInterval, and reports whether one is in
// progress.
func (s *search) start(now time.Time, service ident.ServiceID) bool {
	startedAt, ok := s.startedAt[service]
	if !ok || now.Sub(startedAt) >= searchInterval {
		if !s.queryService(service) {
			return false
		}
		startedAt = now
		s.startedAt[service] = now
	}
	return now.Sub(startedAt) < searchTimeout
}

// holdOpen keeps an open while a search for its service is in progress. It returns false when there is
// no search or no room for the open.
func (o *opener) holdOpen(now time.Time, service ident.ServiceID, h heldOpen) bool {
	s := &o.search
	if !s.start(now, service) || s.heldCount >= maxHeldOpens {
		return false
	}
	if len(s.heldOpens[service]) == 0 {
		time.AfterFunc(searchTimeout, func() { o.resumeHeldOpens(service) })
	}
	s.heldOpens[service] = append(s.heldOpens[service], h)
	s.heldCount++
	return true
}

// resumeHeldOpens retries the held opens of a service.
func (o *opener) resumeHeldOpens(service ident.ServiceID) {
	o.mu.Lock()
	list := o.search.heldOpens[service]
	delete(o.search.heldOpens, service)
	o.search.heldCount -= len(list)
	o.mu.Unlock()
	if len(list) == 0 {
		return
	}
	r := o.datapath.receivers.Get().(*receiver)
	defer o.datapath.receivers.Put(r)
	for _, h := range list {
		o.open(r, h.caller, service, h.flow, h.tried, h.reason)
	}
	r.outbox.flush()
}
