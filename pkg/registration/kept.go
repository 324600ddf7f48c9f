package registration

import (
	"time"

	"rosemarygate/pkg/ident"
)

const (
	// defaultKeepAllLimit is the largest number of data centres with which a daemon keeps all
	// registrations. Six data centres of the largest planned size, 3,930 upstreams, have 23,580
	// registrations.
	defaultKeepAllLimit = 6
	// defaultDropAfter is how long registrations are kept after they are no longer needed, so
	// that handovers can finish and an unstable data centre is not fetched again each time it
	// reappears.
	defaultDropAfter = time.Minute
)

// changeKind is the kind of change for which an entry is reported.
type changeKind bool

const (
	altered   changeKind = true  // added, changed or ended
	discarded changeKind = false // no longer kept here
)

// selectKept selects the data centres whose registrations this daemon keeps in the current view.
// In a large fleet these are its own data centre, the near ones, and the one that its data centre
// succeeds: its own data centre takes that one over when no daemon is left there to fetch the
// registrations from, and until then its own flows spill over to that one. Bridges need no others,
// since both sides exchange only what one of them owns and the other keeps.
func (c *Core) selectKept(now time.Time) {
	c.keepAll = c.table.DataCentreCount() <= c.cfg.KeepAllLimit
	for _, centre := range c.centreList {
		switch {
		case c.mustKeep(centre.id):
			centre.kept = true
			centre.unneededSince = time.Time{}
		case centre.empty():
			centre.kept = false
		case centre.kept && centre.unneededSince.IsZero():
			centre.unneededSince = now
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

// mustKeep reports whether the registrations of a data centre have to be kept in the current
// view.
func (c *Core) mustKeep(id ident.DataCentreID) bool {
	if c.keepAll || id == ident.DataCentre(c.cfg.DataCentre) {
		return true
	}
	for _, near := range c.cfg.NearDataCentres {
		if id == ident.DataCentre(near) {
			return true
		}
	}
	return c.table.Successor(id) == c.cfg.DataCentre
}

// KeepsAll reports whether this daemon keeps the registrations of all data centres.
func (c *Core) KeepsAll() bool { return c.keepAll }

// keeps reports whether registrations of a data centre are accepted.
func (c *Core) keeps(id ident.DataCentreID) bool {
	if existing := c.centres[id]; existing != nil {
		return existing.kept
	}
	return c.mustKeep(id)
}

// dropUnneeded drops the registrations of data centres that have not been needed for DropAfter.
func (c *Core) dropUnneeded(now time.Time) {
	for _, centre := range c.centreList {
		if !centre.kept || centre.unneededSince.IsZero() || now.Sub(centre.unneededSince) < c.cfg.DropAfter {
			continue
		}
		centre.kept = false
		centre.unneededSince = time.Time{}
		c.dropCentre(centre)
	}
}

// dropCentre discards the entries of a data centre other than those of wanted services.
func (c *Core) dropCentre(centre *centre) {
	for i := range centre.buckets {
		for _, e := range centre.buckets[i].entries {
			w := c.wanted[e.Service]
			if w == nil || e.state != live {
				c.discard(e)
				continue
			}
			w.addUpstream(e.Upstream)
		}
	}
}

// discard removes an entry that may still be live in its data centre.
func (c *Core) discard(e *entry) {
	c.remove(e)
	c.changed[e.Upstream] = discarded
}
