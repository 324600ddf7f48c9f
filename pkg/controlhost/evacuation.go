package controlhost

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/control/ensemble"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/routing"
	"rosemarygate/pkg/wallclock"
)

// ErrUnknownDataCentre rejects an order for a data centre that is not part of the deployment.
var ErrUnknownDataCentre = errors.New("the settings of this control host list no such data centre: correct the name")

// InvalidOrderError rejects an order because of its form.
type InvalidOrderError struct{ Problem string }

// Error says what is wrong with the order.
func (e *InvalidOrderError) Error() string { return "order for an evacuation: " + e.Problem }

// OrderEvacuation begins or ends the evacuation of a data centre. It returns when a majority of the control hosts
// has stored the order. The error is ensemble.ErrOvertaken if another order was applied since this one was
// sent, and ensemble.ErrNoMajority if the outcome is unknown.
func (h *Host) OrderEvacuation(ctx context.Context, dataCentre string, begin bool) error {
	started := time.Now()
	defer h.observe("order_evacuation", started)
	timeoutCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := h.submitEvacuation(timeoutCtx, dataCentre, begin)
	h.logEvacuationOrder(dataCentre, begin, started, err)
	return err
}

func (h *Host) submitEvacuation(ctx context.Context, dataCentre string, begin bool) error {
	if !slices.Contains(h.cfg.DataCentres, dataCentre) {
		return ErrUnknownDataCentre
	}
	if h.oldReleases.Load() > 0 {
		return ensemble.ErrOldRelease
	}
	err := h.group.SubmitOrder(ctx, &entrypb.EvacuationOrder{
		DataCentre: dataCentre, Begin: begin, OrderedUnixMs: wallclock.Now().UnixMilli(), OrderedAt: h.cfg.Name,
	}, sentAfter(ctx))
	answerNow(ctx)
	return err
}

// RefuseEvacuationOrder records that an order was refused because of its form.
func (h *Host) RefuseEvacuationOrder(dataCentre string, begin bool, err error) {
	h.logEvacuationOrder(dataCentre, begin, time.Now(), err)
}

func orderName(begin bool) string {
	if begin {
		return "begin"
	}
	return "end"
}

func orderOutcome(err error) string {
	var invalid *InvalidOrderError
	switch {
	case err == nil:
		return "acknowledged"
	case errors.As(err, &invalid):
		return "invalid"
	case errors.Is(err, ErrUnknownDataCentre):
		return "unknown_data_centre"
	case errors.Is(err, ensemble.ErrOvertaken):
		return "overtaken"
	case errors.Is(err, ensemble.ErrOldRelease):
		return "old_release"
	}
	return "no_majority"
}

func (h *Host) logEvacuationOrder(dataCentre string, begin bool, started time.Time, err error) {
	h.count("evacuation_orders", "order", orderName(begin), "outcome", orderOutcome(err))
	fields := logrus.Fields{
		"order": orderName(begin), "data_centre": cutText(dataCentre), "outcome": orderOutcome(err),
		"revision": h.group.Evacuations().GetRevision(), "took_ms": time.Since(started).Milliseconds(),
	}
	if err != nil {
		fields["error"] = cutText(err.Error())
	}
	h.logCall(events.EvacuationOrderAnswered, fields)
}

// logEvacuations logs what has changed between two states of the evacuations, and the services that are left
// without upstreams for new flows.
func (h *Host) logEvacuations(previous, current *entrypb.Evacuations) {
	for _, e := range current.GetDataCentres() {
		if e.GetRevision() <= previous.GetRevision() {
			continue
		}
		event := events.EvacuationEnded
		if e.GetInForce() {
			event = events.EvacuationBegan
		}
		event.Log(h.log, logrus.Fields{
			"data_centre": e.GetDataCentre(), "revision": e.GetRevision(), "ordered_at": e.GetOrderedAt(),
			"ordered_time": time.UnixMilli(e.GetOrderedUnixMs()).UTC().Format(time.RFC3339Nano),
		})
	}
	h.mu.Lock()
	registrations := h.directory.Changes(0)
	h.mu.Unlock()
	for _, service := range servicesWithoutUpstreams(h.table.Load(), registrations, current) {
		events.ServiceEvacuated.Log(h.log, logrus.Fields{"service": service, "revision": current.GetRevision()})
	}
}

// servicesWithoutUpstreams returns the services of a table whose upstreams are all in evacuated data centres.
func servicesWithoutUpstreams(t *routing.Table, registrations []directory.Registration, e *entrypb.Evacuations) []string {
	evacuated := map[string]bool{}
	for _, d := range e.GetDataCentres() {
		evacuated[d.GetDataCentre()] = d.GetInForce()
	}
	upstreams, available := map[string]bool{}, map[string]bool{}
	for _, r := range registrations {
		if r.State == directory.Ready {
			upstreams[r.Service] = true
			available[r.Service] = available[r.Service] || !evacuated[r.DataCentre]
		}
	}
	var services []string
	for _, s := range t.Services {
		if upstreams[s] && !available[s] {
			services = append(services, s)
		}
	}
	return services
}

// evacuationsInForce returns the number of evacuated data centres.
func evacuationsInForce(e *entrypb.Evacuations) int {
	n := 0
	for _, d := range e.GetDataCentres() {
		if d.GetInForce() {
			n++
		}
	}
	return n
}
