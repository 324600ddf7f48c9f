package registration

import (
	"time"

	"rosemarygate/pkg/ident"
)

const (
	// defaultKeepAll is the number of data centres up to which a daemon keeps all registrations.
	// Six data centres of the largest size planned for, 3,930 upstreams, are 23,580 registrations.
	defaultKeepAll = 6
	// defaultDropAfter is how long registrations are kept after they are no longer needed, so that
	// handovers end and a data centre that comes and goes is not fetched each time.
	defaultDropAfter = time.Minute
)

// change tells why an entry is reported.
type change bool

const (
	altered   change = true  // added, changed or ended
	discarded change = false // no longer kept here
)

// selectKept decides for the current view which data centres' registrations this daemon keeps.
// A daemon of a large fleet keeps those of its own data centre, of the near ones, and of the one
// that its data centre succeeds: it takes over when no daemon there is left to ask, and until
// then it spills over to it. Bridges need no others, since both sides exchange only what one of
// them owns and the other keeps.
func (c *Core) selectKept(now time.Time) {
	c.keepAll = c.table.DataCentres() <= c.cfg.KeepAll
	for _, centre := range c.list {
		switch {
		case c.needs(centre.id):
			centre.kept = true
			centre.spareSince = time.Time{}
		case centre.empty():
			centre.kept = false
		case centre.kept && centre.spareSince.IsZero():
			centre.spareSince = now
		}
	}
}

func (c *centre) empty() bool {
	for i := range c.buckets {
		if len(c.buckets[i].entries) > 0 {
			return false
		}
	}
	return true
}

// needs tells whether the current view demands that the registrations of a data centre are kept.
func (c *Core) needs(id ident.DataCentreID) bool {
	if c.keepAll || id == ident.DataCentre(c.cfg.DataCentre) {
		return true
	}
	for _, near := range c.cfg.Near {
		if id == ident.DataCentre(near) {
			return true
		}
	}
	return c.table.Successor(id) == c.cfg.DataCentre
}

// KeepsAll tells whether this daemon keeps the registrations of all data centres.
func (c *Core) KeepsAll() bool { return c.keepAll }

// keeps tells whether registrations of a data centre are taken in.
func (c *Core) keeps(id ident.DataCentreID) bool {
	if known := c.centres[id]; known != nil {
		return known.kept
	}
	return c.needs(id)
}

// dropSpare drops the registrations of data centres that have not been needed for a while.
func (c *Core) dropSpare(now time.Time) {
	for _, centre := range c.list {
		if !centre.kept || centre.spareSince.IsZero() || now.Sub(centre.spareSince) < c.cfg.DropAfter {
			continue
		}
		centre.kept = false
		centre.spareSince = time.Time{}
		c.dropCentre(centre)
	}
}

func (c *Core) dropCentre(centre *centre) {
	for i := range centre.buckets {
		for _, e := range centre.buckets[i].entries {
			w := c.wanted[e.Service]
			if w == nil || e.state != live {
				c.discard(e)
				continue
			}
			w.add(e.Upstream)
		}
	}
}

// discard removes an entry that may live on in its data centre.
func (c *Core) discard(e *entry) {
	c.remove(e)
	c.changed[e.Upstream] = discarded
}
