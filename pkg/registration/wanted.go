package registration

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
)

const (
	// minQueryGap is the least time between two rounds of queries; services that callers request
	// meanwhile share a message.
	minQueryGap = 100 * time.Millisecond
	// queryRetryDelay is the time between the queryRounds queries to all data centres. There is
	// more than one round because a message may be lost.
	queryRetryDelay = 500 * time.Millisecond
	queryRounds     = 2
	// refreshEvery is how often a data centre that has upstreams of a wanted service is queried
	// for changes; an upstream that leaves must get no new work after 2 s.
	refreshEvery = time.Second
	// wantedTimeout is how long a service stays wanted after the last request of a caller.
	wantedTimeout = 5 * time.Minute
	// maxWantedServices bounds the wanted services: queries for 512 each second are 10 KB/s.
	maxWantedServices = 512
	// maxQueriesPerMessage queries of 20 bytes each fit into one message.
	maxQueriesPerMessage = 50
)

// wantedService is a service that callers request although no kept upstream serves it well. Its
// upstreams in data centres that are not kept are fetched for this service only: a whole data
// centre would be 3,930 registrations for one of its 860 services.
type wantedService struct {
	service       ident.ServiceID
	lastRequested time.Time // when callers requested it last
	rounds        int       // remaining rounds of queries to all data centres
	nextRound     time.Time
	nextRefresh   time.Time
	upstreams     []ident.UpstreamID // listed in answers; may contain upstreams that are gone
}

func (w *wantedService) addUpstream(u ident.UpstreamID) {
	if !slices.Contains(w.upstreams, u) {
		w.upstreams = append(w.upstreams, u)
	}
}

// serviceRequested records that callers request a service.
func (c *Core) serviceRequested(now time.Time, s ident.ServiceID) {
	if c.keepAll {
		return
	}
	w := c.wanted[s]
	if w == nil {
		c.evictOldestWanted()
		w = &wantedService{service: s}
		c.wanted[s] = w
		c.wantedList = append(c.wantedList, w)
	}
	w.lastRequested = now
	w.rounds = queryRounds
}

// evictOldestWanted makes room for another wanted service by dropping the least recently
// requested one.
func (c *Core) evictOldestWanted() {
	if len(c.wantedList) < maxWantedServices {
		return
	}
	oldest := slices.MinFunc(c.wantedList, func(a, b *wantedService) int { return a.lastRequested.Compare(b.lastRequested) })
	c.dropWanted(oldest)
	c.wantedList = slices.DeleteFunc(c.wantedList, func(w *wantedService) bool { return w == oldest })
}

func (c *Core) dropWanted(w *wantedService) {
	delete(c.wanted, w.service)
	for _, u := range w.upstreams {
		if e := c.entries[u]; e != nil && !e.centre.kept {
			c.discard(e)
		}
	}
}

// stepWanted queries other data centres for wanted services.
func (c *Core) stepWanted(now time.Time) {
	if now.Before(c.nextQuery) || len(c.wantedList) == 0 {
		return
	}
	c.nextQuery = now.Add(minQueryGap)
	c.wantedList = slices.DeleteFunc(c.wantedList, func(w *wantedService) bool {
		timedOut := now.Sub(w.lastRequested) > wantedTimeout
		if timedOut {
			c.dropWanted(w)
		}
		return timedOut
	})
	if c.keepAll {
		return
	}
	for _, dataCentre := range c.table.ServingDataCentres() {
		if dataCentre != c.cfg.DataCentre {
			c.sendQueries(now, dataCentre)
		}
	}
	for _, w := range c.wantedList {
		if w.roundDue(now) {
			w.rounds--
			w.nextRound = now.Add(queryRetryDelay)
		}
		if !now.Before(w.nextRefresh) {
			w.nextRefresh = now.Add(refreshEvery)
		}
	}
}

// roundDue reports whether a round of queries to all data centres is due.
func (w *wantedService) roundDue(now time.Time) bool { return w.rounds > 0 && !now.Before(w.nextRound) }

// sendQueries sends the queries that are due to one data centre.
func (c *Core) sendQueries(now time.Time, dataCentre string) {
	u := new(peerpb.RegistrationUpdate)
	for _, w := range c.wantedList {
		fullRound := w.roundDue(now)
		if !fullRound && now.Before(w.nextRefresh) {
			continue
		}
		checksum, found := c.checksumOf(w, dataCentre)
		if !fullRound && !found {
			continue
		}
		u.Wanted = append(u.Wanted, &peerpb.ServiceSum{Service: uint64(w.service), Sum: checksum})
		if len(u.Wanted) == maxQueriesPerMessage {
			c.sendToMember(dataCentre, u)
			u = new(peerpb.RegistrationUpdate)
		}
	}
	c.sendToMember(dataCentre, u)
}

func (c *Core) sendToMember(dataCentre string, u *peerpb.RegistrationUpdate) {
	if to, ok := c.table.ServingMember(dataCentre, c.rng.Int()); ok && len(u.Wanted) > 0 {
		c.sendUpdate(to.ID, u)
	}
}

// checksumOf returns the checksum of the entries of a wanted service that were fetched from a
// data centre, and whether there are any.
func (c *Core) checksumOf(w *wantedService, dataCentre string) (checksum uint64, found bool) {
	for _, u := range w.upstreams {
		if e := c.entries[u]; c.fetchedFrom(e, dataCentre) {
			checksum ^= e.hash()
			found = true
		}
	}
	return checksum, found
}

// fetchedFrom reports whether an entry is stored because of answers of the given data centre.
func (c *Core) fetchedFrom(e *entry, dataCentre string) bool {
	return e != nil && e.state == live && !e.centre.kept && c.table.OwnerDataCentre(e.DataCentre) == dataCentre
}

// answerQueries answers queries of another data centre with the upstreams that this data centre
// owns.
func (c *Core) answerQueries(now time.Time, from ident.DaemonID, queries []*peerpb.ServiceSum) {
	if len(queries) == 0 || len(queries) > maxQueriesPerMessage {
		return
	}
	found := make(map[ident.ServiceID][]*entry, len(queries))
	for _, q := range queries {
		found[ident.ServiceID(q.Service)] = nil
	}
	for _, centre := range c.centreList {
		if c.table.OwnerDataCentre(centre.name) == c.cfg.DataCentre {
			centre.collectByService(found)
		}
	}
	for _, q := range queries {
		c.answerService(now, from, q, found[ident.ServiceID(q.Service)])
	}
}

// collectByService adds the live entries of the services in found to their lists.
func (c *centre) collectByService(found map[ident.ServiceID][]*entry) {
	for i := range c.buckets {
		for _, e := range c.buckets[i].entries {
			if list, ok := found[e.Service]; ok && e.state == live {
				found[e.Service] = append(list, e)
			}
		}
	}
}

// answerService sends as many entries as fit into one message. Their order depends on the
// querying daemon, so that the flows of all daemons spread over all upstreams.
func (c *Core) answerService(now time.Time, from ident.DaemonID, q *peerpb.ServiceSum, list []*entry) {
	slices.SortFunc(list, func(a, b *entry) int {
		if a.Draining != b.Draining {
			return cmp.Compare(drainingRank(a.Draining), drainingRank(b.Draining))
		}
		return cmp.Compare(rankFor(from, a.Upstream), rankFor(from, b.Upstream))
	})
	u := &peerpb.RegistrationUpdate{Answered: q.Service}
	remaining := membership.MaxAttachmentSize - maxDigestSize
	checksum := uint64(0)
	for _, e := range list {
		rec := encodeRecord(now, e)
		if remaining -= proto.Size(rec) + fieldOverhead; remaining < 0 {
			break
		}
		u.Records = append(u.Records, rec)
		checksum ^= e.hash()
	}
	if checksum != q.Sum {
		c.sendUpdate(from, u)
	}
}

func drainingRank(draining bool) int {
	if draining {
		return 1
	}
	return 0
}

// rankFor returns a pseudorandom rank of an upstream for a querying daemon.
func rankFor(from ident.DaemonID, u ident.UpstreamID) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], uint64(from))
	binary.LittleEndian.PutUint64(b[8:], uint64(u))
	return xxhash.Sum64(b[:])
}

// mergeAnswer merges the answer of another data centre about a wanted service and discards its
// upstreams that are no longer listed.
func (c *Core) mergeAnswer(now time.Time, from ident.DaemonID, u *peerpb.RegistrationUpdate) {
	w := c.wanted[ident.ServiceID(u.Answered)]
	sender, known := c.view.Find(from)
	if w == nil || !known {
		return
	}
	listed := make(map[ident.UpstreamID]bool, len(u.Records))
	for _, rec := range u.Records {
		if rec.Service != u.Answered || c.table.OwnerDataCentre(rec.DataCentre) != sender.DataCentre {
			continue
		}
		c.merge(now, rec)
		listed[ident.UpstreamID(rec.Upstream)] = true
		if !c.keeps(ident.DataCentre(rec.DataCentre)) {
			w.addUpstream(ident.UpstreamID(rec.Upstream))
		}
	}
	w.upstreams = slices.DeleteFunc(w.upstreams, func(u ident.UpstreamID) bool {
		e := c.entries[u]
		if c.fetchedFrom(e, sender.DataCentre) && !listed[u] {
			c.discard(e)
			return true
		}
		return e == nil
	})
}
