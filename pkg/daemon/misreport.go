package daemon

import (
	"time"

	"rosemarygate/pkg/registration"
)

// Misreport replaces the loads of its upstreams that a daemon reports to the other daemons and to its
// own selection. It may modify the slice. The owner's own counts of slots and flows stay correct:
// they are never taken from a report.
type Misreport func(now time.Time, loads []registration.Load) []registration.Load

// WithMisreport makes a daemon report wrong loads; nil leaves them unchanged. Each daemon calls m from
// one goroutine.
func WithMisreport(m Misreport) Option {
	return func(d *Daemon) { d.misreport = m }
}

// reportedLoads returns the load reports of this daemon's upstreams, misreported if configured.
func (d *Daemon) reportedLoads(now time.Time) []registration.Load {
	loads := d.ownLoads(now)
	if d.misreport == nil {
		return loads
	}
	return d.misreport(now, loads)
}
