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
	// askGap is the least time between two rounds of questions; services that callers ask for
	// meanwhile share a message.
	askGap = 100 * time.Millisecond
	// askAgain is the time between the askRounds questions to all data centres, of which one
	// may be lost.
	askAgain  = 500 * time.Millisecond
	askRounds = 2
	// refreshEvery is how often a data centre that has upstreams of a wanted service is asked
	// for changes; an upstream that leaves is to get no new work after 2 s.
	refreshEvery = time.Second
	// wantedAge is how long a service stays wanted after callers asked for it last.
	wantedAge = 5 * time.Minute
	// maxWanted bounds the wanted services: questions for 512 each second are 10 KB/s.
	maxWanted = 512
	// maxQuestions services of 20 bytes each fit into one message.
	maxQuestions = 50
)

// wanted is a service that callers ask for although no kept upstream serves it well. Its
// upstreams in data centres that are not kept are fetched one service at a time: a whole data
// centre would be 3,930 registrations for one of its 860 services.
type wanted struct {
	service ident.ServiceID
	asked   time.Time // last Asked event
	rounds  int       // questions to all data centres that are left
	nextAll time.Time
	next    time.Time
	have    []ident.UpstreamID // learned from answers; may contain upstreams that are gone
}

func (w *wanted) add(u ident.UpstreamID) {
	if !slices.Contains(w.have, u) {
		w.have = append(w.have, u)
	}
}

// asked notes that callers ask for a service.
func (c *Core) asked(now time.Time, s ident.ServiceID) {
	if c.keepAll {
		return
	}
	w := c.wanted[s]
	if w == nil {
		c.makeRoom()
		w = &wanted{service: s}
		c.wanted[s] = w
		c.wantedList = append(c.wantedList, w)
	}
	w.asked = now
	w.rounds = askRounds
}

// makeRoom ends the want for the service that was asked for the longest time ago.
func (c *Core) makeRoom() {
	if len(c.wantedList) < maxWanted {
		return
	}
	oldest := slices.MinFunc(c.wantedList, func(a, b *wanted) int { return a.asked.Compare(b.asked) })
	c.unwant(oldest)
	c.wantedList = slices.DeleteFunc(c.wantedList, func(w *wanted) bool { return w == oldest })
}

func (c *Core) unwant(w *wanted) {
	delete(c.wanted, w.service)
	for _, u := range w.have {
		if e := c.entries[u]; e != nil && !e.centre.kept {
			c.discard(e)
		}
	}
}

// stepWanted asks other data centres for wanted services.
func (c *Core) stepWanted(now time.Time) {
	if now.Before(c.nextAsk) || len(c.wantedList) == 0 {
		return
	}
	c.nextAsk = now.Add(askGap)
	c.wantedList = slices.DeleteFunc(c.wantedList, func(w *wanted) bool {
		old := now.Sub(w.asked) > wantedAge
		if old {
			c.unwant(w)
		}
		return old
	})
	if c.keepAll {
		return
	}
	for _, dataCentre := range c.table.Serving() {
		if dataCentre != c.cfg.DataCentre {
			c.ask(now, dataCentre)
		}
	}
	for _, w := range c.wantedList {
		if w.askAll(now) {
			w.rounds--
			w.nextAll = now.Add(askAgain)
		}
		if !now.Before(w.next) {
			w.next = now.Add(refreshEvery)
		}
	}
}

// askAll tells whether all data centres are asked in this round.
func (w *wanted) askAll(now time.Time) bool { return w.rounds > 0 && !now.Before(w.nextAll) }

// ask sends the questions that are due to one data centre.
func (c *Core) ask(now time.Time, dataCentre string) {
	u := new(peerpb.RegistrationUpdate)
	for _, w := range c.wantedList {
		all := w.askAll(now)
		if !all && now.Before(w.next) {
			continue
		}
		sum, some := c.sumOf(w, dataCentre)
		if !all && !some {
			continue
		}
		u.Wanted = append(u.Wanted, &peerpb.ServiceSum{Service: uint64(w.service), Sum: sum})
		if len(u.Wanted) == maxQuestions {
			c.sendQuestions(dataCentre, u)
			u = new(peerpb.RegistrationUpdate)
		}
	}
	c.sendQuestions(dataCentre, u)
}

func (c *Core) sendQuestions(dataCentre string, u *peerpb.RegistrationUpdate) {
	if to, ok := c.table.Member(dataCentre, c.rng.Int()); ok && len(u.Wanted) > 0 {
		c.message(to.ID, u)
	}
}

// sumOf sums up the entries of a wanted service that a data centre keeps, other than kept ones,
// and tells whether there are any.
func (c *Core) sumOf(w *wanted, dataCentre string) (sum uint64, some bool) {
	for _, u := range w.have {
		if e := c.entries[u]; c.fetchedFrom(e, dataCentre) {
			sum ^= e.hash()
			some = true
		}
	}
	return sum, some
}

// fetchedFrom tells whether an entry is there because of answers of the given data centre.
func (c *Core) fetchedFrom(e *entry, dataCentre string) bool {
	return e != nil && e.state == live && !e.centre.kept && c.table.Keeper(e.DataCentre) == dataCentre
}

// answerWanted answers questions of another data centre by the upstreams that this one owns.
func (c *Core) answerWanted(now time.Time, from ident.DaemonID, questions []*peerpb.ServiceSum) {
	if len(questions) == 0 || len(questions) > maxQuestions {
		return
	}
	found := make(map[ident.ServiceID][]*entry, len(questions))
	for _, q := range questions {
		found[ident.ServiceID(q.Service)] = nil
	}
	for _, centre := range c.list {
		if c.table.Keeper(centre.name) == c.cfg.DataCentre {
			centre.collect(found)
		}
	}
	for _, q := range questions {
		c.answerService(now, from, q, found[ident.ServiceID(q.Service)])
	}
}

// collect adds the live entries of the services in found.
func (c *centre) collect(found map[ident.ServiceID][]*entry) {
	for i := range c.buckets {
		for _, e := range c.buckets[i].entries {
			if list, ok := found[e.Service]; ok && e.state == live {
				found[e.Service] = append(list, e)
			}
		}
	}
}

// answerService sends as many entries as fit into one message. Which ones depends on the asking
// daemon, so that the flows of all of them spread over all upstreams.
func (c *Core) answerService(now time.Time, from ident.DaemonID, q *peerpb.ServiceSum, list []*entry) {
	slices.SortFunc(list, func(a, b *entry) int {
		if a.Draining != b.Draining {
			return cmp.Compare(boolRank(a.Draining), boolRank(b.Draining))
		}
		return cmp.Compare(rankFor(from, a.Upstream), rankFor(from, b.Upstream))
	})
	u := &peerpb.RegistrationUpdate{Answered: q.Service}
	room := membership.MaxAttachmentSize - digestEntry
	sum := uint64(0)
	for _, e := range list {
		rec := encodeRecord(now, e)
		if room -= proto.Size(rec) + fieldOverhead; room < 0 {
			break
		}
		u.Records = append(u.Records, rec)
		sum ^= e.hash()
	}
	if sum != q.Sum {
		c.message(from, u)
	}
}

func boolRank(last bool) int {
	if last {
		return 1
	}
	return 0
}

func rankFor(from ident.DaemonID, u ident.UpstreamID) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], uint64(from))
	binary.LittleEndian.PutUint64(b[8:], uint64(u))
	return xxhash.Sum64(b[:])
}

// answered takes in all that another data centre has of a wanted service.
func (c *Core) answered(now time.Time, from ident.DaemonID, u *peerpb.RegistrationUpdate) {
	w := c.wanted[ident.ServiceID(u.Answered)]
	sender, known := c.view.Find(from)
	if w == nil || !known {
		return
	}
	listed := make(map[ident.UpstreamID]bool, len(u.Records))
	for _, rec := range u.Records {
		if rec.Service != u.Answered || c.table.Keeper(rec.DataCentre) != sender.DataCentre {
			continue
		}
		c.merge(now, rec)
		listed[ident.UpstreamID(rec.Upstream)] = true
		if !c.keeps(ident.DataCentre(rec.DataCentre)) {
			w.add(ident.UpstreamID(rec.Upstream))
		}
	}
	w.have = slices.DeleteFunc(w.have, func(u ident.UpstreamID) bool {
		e := c.entries[u]
		if c.fetchedFrom(e, sender.DataCentre) && !listed[u] {
			c.discard(e)
			return true
		}
		return e == nil
	})
}
