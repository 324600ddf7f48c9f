package registration

import (
	"time"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/ownership"
)

// centre holds the registrations of one data centre and their sums.
type centre struct {
	id      ident.DataCentreID
	name    string
	sum     uint64 // of live entries
	buckets [bucketCount]bucket

	kept       bool
	spareSince time.Time // since when it is kept without need; zero while it is needed

	owners     uint64 // signature of the members that own its upstreams
	nextDigest time.Time
	nextLoads  time.Time
}

// bucket holds the registrations whose identifiers begin with the same bits.
type bucket struct {
	sum     uint32 // of live entries
	entries map[ident.UpstreamID]*entry
}

func (c *centre) add(e *entry, u ident.UpstreamID) {
	b := &c.buckets[u>>bucketShift]
	if b.entries == nil {
		b.entries = make(map[ident.UpstreamID]*entry)
	}
	b.entries[u] = e
}

func (c *Core) centreOf(name string) *centre {
	id := ident.DataCentre(name)
	if known := c.centres[id]; known != nil {
		return known
	}
	fresh := &centre{id: id, name: name, kept: c.needs(id)}
	c.centres[id] = fresh
	c.list = append(c.list, fresh)
	return fresh
}

// viewChanged takes over what this daemon owns in the new view and gives up the rest.
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
	_, some := c.table.Owner(c.cfg.DataCentre, 0)
	switch {
	case some:
		c.orphaned = time.Time{}
	case c.orphaned.IsZero():
		c.orphaned = now
	}
	for _, centre := range c.list {
		c.reassign(now, centre)
	}
}

// reassign visits the entries of a data centre when the set of their owners changed.
func (c *Core) reassign(now time.Time, centre *centre) {
	signature, member := c.table.Owners(centre.name, c.cfg.Self)
	if signature == centre.owners {
		return
	}
	centre.owners = signature
	for i := range centre.buckets {
		for _, e := range centre.buckets[i].entries {
			if member || e.owned {
				c.settle(now, e)
			}
		}
	}
}

// settle starts or ends this daemon's ownership of an entry.
func (c *Core) settle(now time.Time, e *entry) {
	owner, ok := c.table.Owner(e.DataCentre, e.Upstream)
	mine := ok && owner.ID == c.cfg.Self
	switch {
	case mine && !e.owned:
		c.take(now, e)
		if e.state == expired {
			next := *e
			next.version++
			next.author = c.cfg.Self
			c.enqueue(c.replace(e, next))
		}
	case !mine && e.owned:
		e.owned = false
		delete(c.owned, e.Upstream)
		// The end of a lease counts only while its author is the owner; a daemon that was
		// cut off and owned everything must not end the leases of the others.
		if e.state == expired && e.author == c.cfg.Self {
			c.forget(now, e)
		}
	}
}
