package capacity

import (
	"math/rand/v2"
	"testing"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/ownership"
	"rosemarygate/pkg/registration"
)

// servicesPerDataCentre is the number of services that have upstreams only in one data centre.
const servicesPerDataCentre = TargetServices / TargetDataCentres

// localRecord returns a record of a service that has upstreams in one data centre only.
func localRecord(i int) *peerpb.RegistrationRecord {
	r := record(i, 1)
	dc := i % TargetDataCentres
	r.Service = uint64(dc*servicesPerDataCentre + i/TargetDataCentres%servicesPerDataCentre)
	return r
}

// newRegistrationsWithView returns a core with the given view that has received n registrations of
// all data centres.
func newRegistrationsWithView(view *membership.View, table *ownership.Table, n int) *registration.Core {
	c := registration.New(registration.Config{Self: 1, DataCentre: dataCentre(0)}, rand.New(rand.NewPCG(1, 2)))
	c.Step(startTime, registration.ViewChanged{View: view, Table: table})
	for i := range n {
		attach(c, localRecord(i))
	}
	return c
}

// TestRegistrationsKept measures the registrations that a daemon keeps of those of all data centres
// in a fleet of the target size.
func TestRegistrationsKept(t *testing.T) {
	skipUnlessMeasuring(t)
	_, view := newMembers(TargetDaemons)
	table := ownership.NewTable(view, nil)
	for _, s := range []series{
		{name: "registrations kept", cost: func(n int) float64 { return float64(len(newRegistrationsWithView(view, table, n).Registrations())) }},
		{name: "registration core, live bytes", cost: func(n int) float64 {
			return LiveBytes(func() any { return newRegistrationsWithView(view, table, n) })
		}},
		{name: "selection table, live bytes", cost: func(n int) float64 {
			c := newRegistrationsWithView(view, table, n)
			return LiveBytes(func() any { return []any{c, newSelectionTable(c)} })
		}},
		{name: "answer to questions for 50 services, ns", cost: func(n int) float64 {
			c := newRegistrationsWithView(view, table, n)
			u := &peerpb.RegistrationUpdate{}
			for i := range 50 {
				u.Wanted = append(u.Wanted, &peerpb.ServiceSum{Service: uint64(i)})
			}
			from := ident.DaemonID(memberUpdate(1, 1).Id)
			return ProcessorTime(100, func(int) { attachFrom(c, from, u) })
		}},
	} {
		s.sizes, s.target = upstreamSizes, TargetUpstreams
		s.run(t)
	}
}
