package daemon

import (
	"time"

	"rosemarygate/pkg/registration"
)

// Misreport changes the loads that a daemon reports of its upstreams, to the other daemons
// and to its own selection. It may change the slice that it gets. The owner's own counts stay
// right: an upstream's slots and flows are never taken from a report.
type Misreport func(now time.Time, loads []registration.Load) []registration.Load

// WithMisreport makes a daemon report wrong loads; nil leaves them as they are. It is called
// from one goroutine of each daemon.
func WithMisreport(m Misreport) Option {
	return func(d *Daemon) { d.misreport = m }
}

// reportedLoads returns the load reports of the upstreams that this daemon owns.
func (d *Daemon) reportedLoads(now time.Time) []registration.Load {
	loads := d.ownLoads(now)
	if d.misreport == nil {
		return loads
	}
	return d.misreport(now, loads)
}
