package edge

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/events"
)

// setEvacuations passes evacuations of a control host to the core, and reports whether they are newer than those
// in effect. Two watched hosts may disagree; the higher revision is in force. The caller holds the lock.
func (d *Daemon) setEvacuations(now time.Duration, e *entrypb.Evacuations) bool {
	var names []string
	for _, dataCentre := range e.GetDataCentres() {
		if dataCentre.GetInForce() {
			names = append(names, dataCentre.GetDataCentre())
		}
	}
	return d.core.SetEvacuations(now, e.GetRevision(), names)
}

// logEvacuations writes a line for each data centre that an order was given for since the daemon's previous
// revision.
func (d *Daemon) logEvacuations(host netip.AddrPort, e *entrypb.Evacuations) {
	for _, dataCentre := range e.GetDataCentres() {
		if dataCentre.GetRevision() <= d.loggedEvacuations {
			continue
		}
		event := events.EvacuationEnded
		if dataCentre.GetInForce() {
			event = events.EvacuationBegan
		}
		event.Log(d.log, logrus.Fields{
			"data_centre": dataCentre.GetDataCentre(), "revision": dataCentre.GetRevision(), "ordered_at": dataCentre.GetOrderedAt(),
			"ordered_time": time.UnixMilli(dataCentre.GetOrderedUnixMs()).UTC().Format(time.RFC3339Nano), "host": host,
		})
	}
	d.loggedEvacuations = e.GetRevision()
}
