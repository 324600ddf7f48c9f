package registration

import (
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
)

// receiveAttachment processes the attachment of a membership message. Malformed ones are ignored.
func (c *Core) receiveAttachment(now time.Time, ev AttachmentReceived) {
	u := new(peerpb.RegistrationUpdate)
	if proto.Unmarshal(ev.Data, u) != nil {
		return
	}
	if u.Answered != 0 {
		c.mergeAnswer(now, ev.From, u)
		return
	}
	// Records of a bulk answer from this data centre are not forwarded, because other daemons
	// fetch them the same way.
	bulk := len(u.Digests) > 0 && c.isLocalMember(ev.From)
	changed := false
	for _, rec := range u.Records {
		if !c.keeps(ident.DataCentre(rec.DataCentre)) {
			continue
		}
		if e := c.merge(now, rec); e != nil {
			changed = true
			c.forward(e, bulk)
		}
	}
	if changed && bulk {
		c.advanceSync(now)
	}
	c.receiveLoads(now, u.Loads)
	c.answerDigests(now, ev.From, u)
	c.answerQueries(now, ev.From, u.Wanted)
}

// forward queues a changed entry for dissemination, unless it came in a bulk answer. Ended and
// draining registrations of this data centre are sent immediately.
func (c *Core) forward(e *entry, bulk bool) {
	if bulk {
		return
	}
	c.enqueue(e)
	if e.DataCentre == c.cfg.DataCentre && (e.state != live || e.Draining) {
		c.urgent = true
	}
}

func (c *Core) isLocalMember(id ident.DaemonID) bool {
	m, ok := c.view.Find(id)
	return ok && m.DataCentre == c.cfg.DataCentre
}

// merge applies a record and returns the entry if it changed. Within one incarnation, draining
// and withdrawn are final; otherwise the larger version prevails.
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
		return c.applyTombstone(e, next)
	case next.state == expired:
		return c.mergeExpired(e, next)
	}
	return c.mergeLive(now, e, next, complete)
}

// mergeNew adds the registration of an unknown upstream or of a larger incarnation.
func (c *Core) mergeNew(now time.Time, e *entry, next entry, complete bool) *entry {
	if next.DataCentre == "" || len(next.DataCentre) > maxNameLength || next.state == live && !complete {
		return nil
	}
	if e != nil && e.DataCentre != next.DataCentre {
		return nil
	}
	if next.Incarnation < c.incarnationFloors[next.Upstream].incarnation {
		return nil
	}
	e = c.replace(e, next)
	if owner, ok := c.table.Owner(e.DataCentre, e.Upstream); ok && owner.ID == c.cfg.Self {
		c.startLease(now, e)
	}
	return e
}

// applyTombstone turns an entry into the received tombstone but keeps its description.
func (c *Core) applyTombstone(e *entry, next entry) *entry {
	tombstone := *e
	tombstone.state = next.state
	tombstone.version = max(e.version, next.version)
	tombstone.author = next.author
	tombstone.endedAt = next.endedAt
	return c.replace(e, tombstone)
}

// mergeExpired accepts the end of a lease only from the owner. If this daemon is the owner and
// the lease is still running, it reasserts the registration with a larger version.
func (c *Core) mergeExpired(e *entry, next entry) *entry {
	if next.version < e.version || e.state == expired && next.version == e.version {
		return nil
	}
	owner, ok := c.table.Owner(e.DataCentre, e.Upstream)
	if !ok {
		return nil
	}
	if owner.ID == c.cfg.Self && e.state == live {
		reasserted := *e
		reasserted.version = next.version + 1
		reasserted.author = c.cfg.Self
		reasserted.Draining = e.Draining || next.Draining
		e = c.replace(e, reasserted)
		c.enqueue(e)
		return e
	}
	if owner.ID != next.author {
		return nil
	}
	return c.applyTombstone(e, next)
}

// mergeLive applies a live record of the incarnation that is registered.
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
		c.startLease(now, e)
	}
	return e
}

// decodeRecord decodes an entry and reports whether its description is complete and well-formed.
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

// encodeRecord encodes an entry. A tombstone is sent without its description but with its data
// centre, so that daemons without the registration can store it.
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
