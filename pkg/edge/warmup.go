package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"rosemarygate/pkg/events"
	"rosemarygate/pkg/forward"
)

// countColdPlacement counts a flow that is placed on a cold upstream. The caller holds the lock.
func (d *Daemon) countColdPlacement(now time.Duration, a forward.Action) {
	if placed := a.Reason == forward.Placed || a.Reason == forward.PlacedAgain; placed && d.core.IsCold(now, a.Upstream) {
		d.coldPlacements.Inc()
	}
}

// logColdServices logs what the daemon begins or ends to do for services because of cold upstreams.
func (d *Daemon) logColdServices(changes []forward.ColdServiceChange) {
	for _, change := range changes {
		event := events.ServiceWarm
		switch {
		case change.Refuses:
			event = events.ColdUpstreamsRefused
		case change.UsesBudget:
			event = events.ColdUpstreamsUsed
		}
		event.Log(d.log, logrus.Fields{
			"service": change.Service, "cold": change.Counts.Cold, "sponsored": change.Counts.Sponsored, "flows_per_second": change.Budget,
		})
	}
}

// logOutages logs the beginning and the end of outages.
func (d *Daemon) logOutages(changes []forward.OutageChange) {
	for _, change := range changes {
		event := events.OutageEnded
		if change.Begins {
			event = events.OutageDetected
		}
		event.Log(d.log, logrus.Fields{"service": change.Service, "upstream_data_centre": change.DataCentre})
	}
}
