package forward

import (
	"net/netip"
	"time"

	"rosemarygate/pkg/routing"
)

const (
	// overloadedUpstreams is the part of the upstreams that have to reject requests for the service to
	// count as overloaded: a few upstreams that fail leave room at the others.
	overloadedUpstreams = 1.0 / 3
	// answerLifetime is how long an upstream counts as one that answers.
	answerLifetime = 2 * time.Second
	// countPeriod is how often upstreams are counted.
	countPeriod = 50 * time.Millisecond
	// rejectionBackoff is how long a rejection speaks against new flows on the upstream. It doubles with
	// each further one up to maxRejections, and answers take it back one by one: an upstream that fails
	// part of its requests is tried again, but seldom.
	rejectionBackoff = time.Second
	maxRejections    = 4
)

// Overload is a change of what a daemon believes of a service's load.
type Overload struct {
	Service string
	// Refusing says that new flows of the service are refused from now on, or no longer.
	Refusing bool
	// RejectedShare of recent answers that were rejections.
	RejectedShare float64
}

// TakeOverloads returns the services whose new flows are refused since the last call, or no longer.
func (c *Core) TakeOverloads() []Overload {
	out := c.overloads
	c.overloads = nil
	return out
}

// learnAnswer takes the first acknowledged part of an answer and the time since its request.
func (c *Core) learnAnswer(now time.Duration, dest netip.AddrPort, u *Upstream, bytes uint32, took time.Duration) {
	route, a := c.profiles[dest], c.admissions[u.Service]
	if route == nil || a == nil {
		return // the table no longer has the route or the service
	}
	rejected := route.rejection(bytes)
	a.answer(now, rejected)
	u.learnRejection(now, rejected)
	if !rejected {
		u.slowness.answer(now, route.ratio(took))
	}
	c.noteOverload(now, u.Service, a)
}

// learnRequest takes a request that begins on a flow.
func (c *Core) learnRequest(now time.Duration, dest netip.AddrPort, u *Upstream) {
	a := c.admissions[u.Service]
	if a == nil {
		return // there is no table yet, or it does not use the service
	}
	if route := c.routes.Route(dest); route != nil {
		a.request(now, route.Priority)
	}
}

// learnRejection takes whether an answer of the upstream was a rejection.
func (u *Upstream) learnRejection(now time.Duration, rejected bool) {
	if !rejected {
		u.rejections = max(u.rejections-1, 0)
		return
	}
	u.rejections = min(u.rejections+1, maxRejections)
	u.rejectedUntil = now + rejectionBackoff<<(u.rejections-1)
}

// isOverloaded reports whether the service rejects so many requests that new flows may be refused.
func (c *Core) isOverloaded(now time.Duration, service string, a *admission) bool {
	share := a.rejectedShare(now)
	if a.refusing {
		return share >= relievedBelow
	}
	if share <= refuseFrom || !a.isRepeated(now) {
		return false
	}
	if now-a.counted >= countPeriod {
		a.counted, a.widespread = now, c.isWidespread(now, service)
	}
	return a.widespread
}

// isWidespread reports whether enough of the upstreams that answer reject requests.
func (c *Core) isWidespread(now time.Duration, service string) bool {
	answering, rejecting := 0, 0
	for _, u := range c.services[service] {
		if now-u.slowness.at < answerLifetime || now < u.rejectedUntil {
			answering++
		}
		if now < u.rejectedUntil {
			rejecting++
		}
	}
	return rejecting > 0 && float64(rejecting) >= overloadedUpstreams*float64(answering)
}

func (c *Core) noteOverload(now time.Duration, service string, a *admission) {
	refusing := c.isOverloaded(now, service, a)
	if refusing == a.refusing {
		return
	}
	a.refusing = refusing
	c.overloads = append(c.overloads, Overload{service, refusing, a.rejectedShare(now)})
}

// admit decides whether a new flow may be placed on a service, and returns the share of rejections
// that the decision rests on.
func (c *Core) admit(now time.Duration, service string, priority uint8) (ok bool, share float64) {
	a := c.admissions[service]
	if a == nil {
		return true, 0
	}
	refuse := a.flow(now, priority)
	c.noteOverload(now, service, a)
	return !a.refusing || refuse == 0 || c.rng.Float64() >= refuse, a.rejectedShare(now)
}

// followTable keeps what was learnt of the routes and services that a new table still has.
func (c *Core) followTable(t *routing.Table) {
	profiles, admissions := make(map[netip.AddrPort]*answerProfile, len(t.Routes)), map[string]*admission{}
	for _, r := range t.Routes {
		if profiles[r.Address] = c.profiles[r.Address]; profiles[r.Address] == nil {
			profiles[r.Address] = &answerProfile{}
		}
		for _, s := range r.Split {
			if admissions[s.Service] = c.admissions[s.Service]; admissions[s.Service] == nil {
				admissions[s.Service] = newAdmission()
			}
		}
	}
	c.profiles, c.admissions = profiles, admissions
}
