package forward

import (
	"slices"
	"time"
)

// evacuations are the data centres whose upstreams get no new flows. Open flows stay.
type evacuations struct {
	revision    uint64
	dataCentres map[string]bool
	endedAt     map[string]time.Duration // when this daemon learned of the latest end, by data centre
}

func (e *evacuations) includes(dataCentre string) bool { return e.dataCentres[dataCentre] }

// SetEvacuations replaces the evacuated data centres if the revision is higher than that in effect, and reports
// whether it did. The group of control hosts numbers the revisions.
func (c *Core) SetEvacuations(now time.Duration, revision uint64, dataCentres []string) bool {
	previous := c.evacuations
	if revision <= previous.revision {
		return false
	}
	c.evacuations = evacuations{revision, map[string]bool{}, previous.endedAt}
	for _, name := range dataCentres {
		c.evacuations.dataCentres[name] = true
	}
	for name := range previous.dataCentres {
		if !c.evacuations.includes(name) {
			if c.evacuations.endedAt == nil {
				c.evacuations.endedAt = map[string]time.Duration{}
			}
			c.evacuations.endedAt[name] = now
		}
	}
	return true
}

// EvacuationRevision returns the revision of the evacuations in effect, 0 if none is known.
func (c *Core) EvacuationRevision() uint64 { return c.evacuations.revision }

// EvacuationCount returns the number of evacuated data centres.
func (c *Core) EvacuationCount() int { return len(c.evacuations.dataCentres) }

// evacuationEndedAt returns when this daemon learned that the latest evacuation of a data centre had ended. Its
// upstreams may have become cold during the evacuation.
func (c *Core) evacuationEndedAt(dataCentre string) (time.Duration, bool) {
	at, ended := c.evacuations.endedAt[dataCentre]
	return at, ended && !c.evacuations.includes(dataCentre)
}

// refuseEvacuated refuses a flow at once if all upstreams of its service are in evacuated data centres: neither
// a wait nor another copy can find one.
func (c *Core) refuseEvacuated(f *newFlow) *Action {
	if !c.isEvacuated(f.service) {
		return nil
	}
	if !c.mayBeRefused(f) && c.prepared {
		return &Action{Verdict: Drop, Reason: Evacuated}
	}
	return c.refuse(f, Evacuated)
}

// isEvacuated reports whether a service has upstreams, and all of them are in evacuated data centres.
func (c *Core) isEvacuated(service string) bool {
	upstreams := c.placeableByService[service]
	if len(c.evacuations.dataCentres) == 0 || len(upstreams) == 0 {
		return false
	}
	return !slices.ContainsFunc(upstreams, func(u *Upstream) bool { return !c.evacuations.includes(u.DataCentre) })
}
