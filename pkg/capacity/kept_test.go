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

// servicesPerCentre is the number of services of a data centre; each has upstreams in one only.
const servicesPerCentre = TargetServices / TargetDataCentres

// localRecord is a record whose service has upstreams only in its own data centre.
func localRecord(i int) *peerpb.RegistrationRecord {
	r := record(i, 1)
	dc := i % TargetDataCentres
	r.Service = uint64(dc*servicesPerCentre + i/TargetDataCentres%servicesPerCentre)
	return r
}

// newKept returns a core of the fleet of the target that was offered n registrations of all data
// centres.
func newKept(v *membership.View, table *ownership.Table, n int) *registration.Core {
	c := registration.New(registration.Config{Self: 1, DataCentre: dataCentre(0)}, rand.New(rand.NewPCG(1, 2)))
	c.Step(start, registration.ViewChanged{View: v, Table: table})
	for i := range n {
		attach(c, localRecord(i))
	}
	return c
}

// Measures what a daemon of a large fleet keeps of the registrations of all data centres.
func TestRegistrationsKept(t *testing.T) {
	skipUnlessMeasuring(t)
	_, v := newMembers(TargetDaemons)
	table := ownership.NewTable(v, nil)
	for _, s := range []series{
		{name: "registrations kept", cost: func(n int) float64 { return float64(len(newKept(v, table, n).Registrations())) }},
		{name: "registration core, live bytes", cost: func(n int) float64 {
			return Live(func() any { return newKept(v, table, n) })
		}},
		{name: "selection table, live bytes", cost: func(n int) float64 {
			c := newKept(v, table, n)
			return Live(func() any { return []any{c, newSelection(c)} })
		}},
		{name: "answer to questions for 50 services, ns", cost: func(n int) float64 {
			c := newKept(v, table, n)
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
