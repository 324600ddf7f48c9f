package forward

import (
	"slices"
	"time"
)

// Outages of a service in a data centre.
//
// When the upstreams of a data centre end together, a daemon would send a flow to each of them before it
// suspects them all, and when they come back cold, flows would reach them before their registrations reach the
// daemon. So handshakes that are unanswered one after the other, at whatever upstream of the data centre, end
// the placement there until a probe is answered. This applies to services whose warm-up is bounded.

const (
	// outageHandshakes is the number of handshakes in a row without an answer that show an outage. With half of
	// the upstreams lost, five unanswered ones in a row are an accident of one in 32. More would come too late:
	// each one also adds to the cost of the data centre, so the daemon turns away before it has seen them.
	outageHandshakes = 5
	// outageProbeInterval is the time between two flows of a service that probe whether its outages have ended.
	// With 69 daemons and 40 upstreams in one data centre an upstream gets two in a second.
	outageProbeInterval = time.Second
	// outageSettleTime is the time from the first answer until flows are placed again: the registration of a
	// process that has just started, which may be cold, takes up to 300 ms to reach a daemon.
	outageSettleTime = 400 * time.Millisecond
)

// servicePlace is a service in one data centre.
type servicePlace struct{ service, dataCentre string }

// outage counts the handshakes of a service in a data centre.
type outage struct {
	unanswered int // in a row
	probedAt   time.Duration
	endsAt     time.Duration // 0 until a probe is answered
	warmAt     time.Duration // when processes that have started before that answer are warm
}

// outageOf returns the outage that the upstreams of a service in a data centre share.
func (c *Core) outageOf(service, dataCentre string) *outage {
	place := servicePlace{service, dataCentre}
	o := c.outages[place]
	if o == nil {
		o = &outage{}
		c.outages[place] = o
	}
	return o
}

// recordUnansweredHandshake counts a handshake that was not answered in time.
func (c *Core) recordUnansweredHandshake(now time.Duration, u *Upstream) {
	if _, bounded := c.warmupOf(u.Service); !bounded || u.outage == nil {
		return
	}
	o := u.outage
	if o.endsAt > 0 {
		if c.hasOutage(now, u) {
			return
		}
		*o = outage{}
	}
	if o.unanswered++; o.unanswered == outageHandshakes {
		o.probedAt = now
		c.outageChanges = append(c.outageChanges, OutageChange{u.Service, u.DataCentre, true})
	}
}

// recordCompletedHandshake ends the outage of an upstream's service in its data centre.
func (c *Core) recordCompletedHandshake(now time.Duration, u *Upstream) {
	o := u.outage
	switch {
	case o == nil:
	case o.unanswered < outageHandshakes:
		*o = outage{}
	case o.endsAt == 0:
		w, _ := c.warmupOf(u.Service)
		o.endsAt, o.warmAt = now+outageSettleTime, now+w.Duration+warmupMargin
		c.outageChanges = append(c.outageChanges, OutageChange{u.Service, u.DataCentre, false})
	}
}

// RecordControlContact records that a control host has sent all registrations that it has so far.
func (c *Core) RecordControlContact(now time.Duration) { c.controlContactAt = now }

// hasOutage reports whether an upstream gets no flow because its service answers no handshakes in its data centre.
func (c *Core) hasOutage(now time.Duration, u *Upstream) bool {
	o := u.outage
	switch {
	case o == nil || o.unanswered < outageHandshakes:
		return false
	case o.endsAt > 0:
		// Without contact to a control host the registrations of new processes cannot have arrived.
		return now < o.endsAt || now < o.warmAt && c.controlContactAt < o.endsAt
	}
	return now-o.probedAt < outageProbeInterval
}

// hasOutageAnywhere reports whether an outage keeps flows from an upstream of a service.
func (c *Core) hasOutageAnywhere(now time.Duration, service string) bool {
	return slices.ContainsFunc(c.placeableByService[service], func(u *Upstream) bool { return c.hasOutage(now, u) })
}

// recordProbe records that an upstream gets a flow. One flow probes for all data centres of its service: when all
// upstreams return cold together, the probes of daemons that do not know it yet must not add up.
func (c *Core) recordProbe(now time.Duration, u *Upstream) {
	if o := u.outage; o == nil || o.unanswered < outageHandshakes {
		return
	}
	for place, o := range c.outages {
		if place.service == u.Service {
			o.probedAt = now
		}
	}
}

// OutageChange says that an outage has begun or ended.
type OutageChange struct {
	Service, DataCentre string
	Begins              bool
}

// TakeOutageChanges returns the changes since the last call.
func (c *Core) TakeOutageChanges() []OutageChange {
	changes := c.outageChanges
	c.outageChanges = nil
	return changes
}
