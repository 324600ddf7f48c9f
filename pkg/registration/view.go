package registration

import (
	"time"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/ownership"
)

// centre holds the registrations of one data centre and their checksums.
type centre struct {
	id       ident.DataCentreID
	name     string
	checksum uint64 // XOR of the hashes of all live entries
	buckets  [bucketCount]bucket

	kept          bool      // this daemon stores its registrations
	unneededSince time.Time // since when it is kept although not needed; zero while it is needed

	ownersSignature uint64 // signature of the set of members that own its upstreams
	nextDigest      time.Time
	nextLoads       time.Time
}

// bucket holds the registrations whose identifiers begin with the same bits.
type bucket struct {
	checksum uint32 // XOR of the hashes of its live entries, lower half
	entries  map[ident.UpstreamID]*entry
}

func (c *centre) add(e *entry, u ident.UpstreamID) {
	b := &c.buckets[u>>bucketShift]
	if b.entries == nil {
		b.entries = make(map[ident.UpstreamID]*entry)
	}
	b.entries[u] = e
}

func (c *Core) findOrAddCentre(name string) *centre {
	id := ident.DataCentre(name)
	if existing := c.centres[id]; existing != nil {
		return existing
	}
	added := &centre{id: id, name: name, kept: c.mustKeep(id)}
	c.centres[id] = added
	c.centreList = append(c.centreList, added)
	return added
}

// viewChanged starts leases for the upstreams that this daemon owns in the new view and ends its
// ownership of the others.
func (c *Core) viewChanged(now time.Time, ev ViewChanged) {
	v := ev.View
	c.view = v
	c.table = ev.Table
	if c.table == nil {
		c.table = ownership.NewTable(v, c.cfg.Order)
	}
	c.selectKept(now)
	c.peers = c.peers[:0]
	for _, m := range v.Members {
		if m.DataCentre == c.cfg.DataCentre && m.ID != c.cfg.Self && m.State == membership.Serving {
			c.peers = append(c.peers, m)
		}
	}
	_, hasOwner := c.table.Owner(c.cfg.DataCentre, 0)
	switch {
	case hasOwner:
		c.orphanedSince = time.Time{}
	case c.orphanedSince.IsZero():
		c.orphanedSince = now
	}
	for _, centre := range c.centreList {
		c.reassign(now, centre)
	}
}

// reassign updates the ownership of the entries of a data centre when the set of their owners has
// changed.
func (c *Core) reassign(now time.Time, centre *centre) {
	signature, isOwner := c.table.OwnerSet(centre.name, c.cfg.Self)
	if signature == centre.ownersSignature {
		return
	}
	centre.ownersSignature = signature
	for i := range centre.buckets {
		for _, e := range centre.buckets[i].entries {
			if isOwner || e.owned {
				c.updateOwnership(now, e)
			}
		}
	}
}

// updateOwnership starts or ends this daemon's ownership of an entry.
func (c *Core) updateOwnership(now time.Time, e *entry) {
	owner, ok := c.table.Owner(e.DataCentre, e.Upstream)
	isOwner := ok && owner.ID == c.cfg.Self
	switch {
	case isOwner && !e.owned:
		c.startLease(now, e)
		if e.state == expired {
			next := *e
			next.version++
			next.author = c.cfg.Self
			c.enqueue(c.replace(e, next))
		}
	case !isOwner && e.owned:
		e.owned = false
		delete(c.owned, e.Upstream)
		// An expired state counts only while its author is the owner: a daemon that was
		// partitioned, and therefore owned all upstreams, must not end the leases of the other
		// daemons.
		if e.state == expired && e.author == c.cfg.Self {
			c.removeWithFloor(now, e)
		}
	}
}
