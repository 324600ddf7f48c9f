package registration

import (
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
)

// attached takes in the attachment of a membership message. Malformed ones are ignored.
func (c *Core) attached(now time.Time, ev Attached) {
	u := new(peerpb.RegistrationUpdate)
	if proto.Unmarshal(ev.Data, u) != nil {
		return
	}
	if u.Answered != 0 {
		c.answered(now, ev.From, u)
		return
	}
	// What a bulk answer of a peer of the data centre brings, others fetch the same way.
	bulk := len(u.Digests) > 0 && c.local(ev.From)
	fresh := false
	for _, rec := range u.Records {
		if !c.keeps(ident.DataCentre(rec.DataCentre)) {
			continue
		}
		if e := c.merge(now, rec); e != nil {
			fresh = true
			c.pass(e, bulk)
		}
	}
	if fresh && bulk {
		c.advanceSync(now)
	}
	c.receiveLoads(now, u.Loads)
	c.answerDigests(now, ev.From, u)
	c.answerWanted(now, ev.From, u.Wanted)
}

// pass hands on what is new; the end of a registration at once.
func (c *Core) pass(e *entry, bulk bool) {
	if bulk {
		return
	}
	c.enqueue(e)
	if e.DataCentre == c.cfg.DataCentre && (e.state != live || e.Draining) {
		c.urgent = true
	}
}

func (c *Core) local(id ident.DaemonID) bool {
	m, ok := c.view.Find(id)
	return ok && m.DataCentre == c.cfg.DataCentre
}

// merge takes in a record and returns the entry when it changed. Within one incarnation,
// draining and withdrawn are final; otherwise the larger version counts.
func (c *Core) merge(now time.Time, rec *peerpb.RegistrationRecord) *entry {
	next, complete := decodeRecord(now, rec)
	if next.state < live || next.state > withdrawn || now.Sub(next.endedAt) > tombstoneAge && next.state != live {
		return nil
	}
	e := c.entries[next.Upstream]
	switch {
	case e == nil && !complete && next.state == live:
		return nil
	case e == nil || next.Incarnation > e.Incarnation:
		return c.mergeNew(now, e, next, complete)
	case next.Incarnation < e.Incarnation || e.state == withdrawn:
		return nil
	case next.state == withdrawn:
		return c.mergeEnd(e, next)
	case next.state == expired:
		return c.mergeExpired(e, next)
	}
	return c.mergeLive(now, e, next, complete)
}

func (c *Core) mergeNew(now time.Time, e *entry, next entry, complete bool) *entry {
	if next.DataCentre == "" || len(next.DataCentre) > maxString || next.state == live && !complete {
		return nil
	}
	if e != nil && e.DataCentre != next.DataCentre {
		return nil
	}
	if next.Incarnation < c.floors[next.Upstream].incarnation {
		return nil
	}
	e = c.replace(e, next)
	if owner, ok := c.table.Owner(e.DataCentre, e.Upstream); ok && owner.ID == c.cfg.Self {
		c.take(now, e)
	}
	return e
}

// mergeEnd turns an entry into the tombstone that was received, but keeps its description.
func (c *Core) mergeEnd(e *entry, next entry) *entry {
	ended := *e
	ended.state = next.state
	ended.version = max(e.version, next.version)
	ended.author = next.author
	ended.endedAt = next.endedAt
	return c.replace(e, ended)
}

// mergeExpired accepts the end of a lease from the owner only. An owner whose own lease runs
// states its registration again with a larger version.
func (c *Core) mergeExpired(e *entry, next entry) *entry {
	if next.version < e.version || e.state == expired && next.version == e.version {
		return nil
	}
	owner, ok := c.table.Owner(e.DataCentre, e.Upstream)
	if !ok {
		return nil
	}
	if owner.ID == c.cfg.Self && e.state == live {
		again := *e
		again.version = next.version + 1
		again.author = c.cfg.Self
		again.Draining = e.Draining || next.Draining
		e = c.replace(e, again)
		c.enqueue(e)
		return e
	}
	if owner.ID != next.author {
		return nil
	}
	return c.mergeEnd(e, next)
}

func (c *Core) mergeLive(now time.Time, e *entry, next entry, complete bool) *entry {
	draining := e.Draining || next.Draining
	newer := next.version > e.version
	if next.version == e.version && e.state == live {
		newer = next.author > e.author
	}
	if !newer || !complete {
		next = *e
	}
	next.DataCentre = e.DataCentre
	next.Draining = draining
	if next.state == e.state && next.version == e.version && next.author == e.author && next.Registration == e.Registration {
		return nil
	}
	revived := e.state != live
	e = c.replace(e, next)
	if e.owned && revived {
		c.take(now, e)
	}
	return e
}

func decodeRecord(now time.Time, rec *peerpb.RegistrationRecord) (entry, bool) {
	e := entry{
		Registration: Registration{
			Service:     ident.ServiceID(rec.Service),
			Upstream:    ident.UpstreamID(rec.Upstream),
			Name:        rec.Name,
			DataCentre:  rec.DataCentre,
			Incarnation: ident.Incarnation(rec.Incarnation),
			Slots:       int(rec.Slots),
			FlowLimit:   int(rec.FlowLimit),
			Draining:    rec.Draining,
			Since:       time.UnixMilli(rec.SinceMs),
		},
		state:   state(rec.State),
		version: rec.Version,
		author:  ident.DaemonID(rec.Author),
		endedAt: now.Add(-time.Duration(rec.EndedMs) * time.Millisecond),
	}
	var address netip.AddrPort
	if address.UnmarshalBinary(rec.Address) != nil {
		return e, false
	}
	e.Addr = address
	return e, wellFormed(e.Registration)
}

// encodeRecord encodes an entry. The description of a tombstone is left out; its data centre
// stays so that daemons that do not know the registration can keep the tombstone.
func encodeRecord(now time.Time, e *entry) *peerpb.RegistrationRecord {
	rec := &peerpb.RegistrationRecord{
		Upstream:    uint64(e.Upstream),
		Incarnation: uint64(e.Incarnation),
		Version:     e.version,
		State:       peerpb.RegistrationRecord_State(e.state),
		Author:      uint64(e.author),
		DataCentre:  e.DataCentre,
	}
	if e.state != live {
		rec.EndedMs = uint32(min(now.Sub(e.endedAt).Milliseconds(), math.MaxUint32))
		return rec
	}
	address, err := e.Addr.MarshalBinary()
	if err != nil {
		return rec
	}
	rec.Address = address
	rec.Service = uint64(e.Service)
	rec.Name = e.Name
	rec.Slots = uint32(e.Slots)
	rec.FlowLimit = uint32(e.FlowLimit)
	rec.Draining = e.Draining
	rec.SinceMs = e.Since.UnixMilli()
	return rec
}
