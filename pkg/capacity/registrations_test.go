package capacity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/ownership"
	"rosemarygate/pkg/registration"
	"rosemarygate/pkg/selection"
)

var upstreamSizes = []int{10_000, 40_000, 110_000}

func record(i int, version uint64) *peerpb.RegistrationRecord {
	name := fmt.Sprintf("upstream-%06d.example", i)
	a, _ := address(i).MarshalBinary()
	return &peerpb.RegistrationRecord{
		Upstream: uint64(ident.Upstream("acme", "ticket", name)), Incarnation: 1, Version: version,
		State: peerpb.RegistrationRecord_STATE_LIVE, Author: memberUpdate(i%1000, 1).Id,
		Service: uint64(i % TargetServices), Name: name, DataCentre: dataCentre(i), Address: a,
		Slots: 3, FlowLimit: 2000, SinceMs: startTime.UnixMilli(),
	}
}

func attach(c *registration.Core, records ...*peerpb.RegistrationRecord) []registration.Action {
	return attachFrom(c, 1, &peerpb.RegistrationUpdate{Records: records})
}

func attachFrom(c *registration.Core, from ident.DaemonID, u *peerpb.RegistrationUpdate) []registration.Action {
	data, _ := proto.Marshal(u)
	return c.Step(startTime, registration.AttachmentReceived{From: from, Data: data})
}

// newRegistrations returns a core with n registrations of all data centres.
func newRegistrations(n int) *registration.Core {
	c := registration.New(registration.Config{Self: 1, DataCentre: dataCentre(0)}, rand.New(rand.NewPCG(1, 2)))
	for i := range n {
		attach(c, record(i, 1))
	}
	return c
}

func candidate(r registration.Registration) selection.Candidate {
	return selection.Candidate{
		Upstream: r.Upstream, Incarnation: r.Incarnation, DataCentre: ident.DataCentre(r.DataCentre),
		FlowLimit: r.FlowLimit, Slots: r.Slots, Since: r.Since,
	}
}

// newSelectionTable returns the selection table of a daemon with the registrations of the core.
func newSelectionTable(c *registration.Core) *selection.Table {
	table := selection.NewTable(ident.DataCentre(dataCentre(0)), rand.New(rand.NewPCG(1, 2)))
	setCandidates(table, c.Registrations())
	return table
}

// setCandidates replaces the candidates of the services of the given registrations.
func setCandidates(table *selection.Table, registrations []registration.Registration) {
	byService := map[ident.ServiceID][]selection.Candidate{}
	for _, r := range registrations {
		byService[r.Service] = append(byService[r.Service], candidate(r))
	}
	for s, list := range byService {
		table.Set(startTime, s, list)
	}
}

// TestRegistrations measures the registrations of all data centres at one daemon.
func TestRegistrations(t *testing.T) {
	skipUnlessMeasuring(t)
	_, v := newMembers(TargetDaemons)
	owners := ownership.NewTable(v, nil)
	all := []series{
		{name: "registration core, live bytes", cost: func(n int) float64 {
			return LiveBytes(func() any { return newRegistrations(n) })
		}},
		{name: "selection table, live bytes", cost: func(n int) float64 {
			c := newRegistrations(n)
			return LiveBytes(func() any { return []any{c, newSelectionTable(c)} })
		}},
		{name: "map of registrations as in the daemon, live bytes", cost: func(n int) float64 {
			c := newRegistrations(n)
			return LiveBytes(func() any {
				byUpstream := map[ident.UpstreamID]registration.Registration{}
				for _, r := range c.Registrations() {
					byUpstream[r.Upstream] = r
				}
				return []any{c, byUpstream}
			})
		}},
		{name: "merge of one changed registration, ns", cost: func(n int) float64 {
			c := newRegistrations(n)
			return ProcessorTime(1000, func(i int) { attach(c, record(i, 2)) })
		}},
		{name: "new candidates of all services, ns", cost: func(n int) float64 {
			c := newRegistrations(n)
			table, list := newSelectionTable(c), c.Registrations()
			return ProcessorTime(3, func(int) { setCandidates(table, list) })
		}},
		{name: "new candidates of one service, ns", cost: func(n int) float64 {
			var ofService []registration.Registration
			for _, r := range newRegistrations(n).Registrations() {
				if r.Service == 1 {
					ofService = append(ofService, r)
				}
			}
			table := newSelectionTable(newRegistrations(n))
			return ProcessorTime(1000, func(int) { setCandidates(table, ofService) })
		}},
		{name: "one registration in a message, bytes", cost: func(n int) float64 {
			return float64(proto.Size(record(n, 1)))
		}},
		{name: "owner lookups of all registrations, ns", cost: func(n int) float64 {
			list := newRegistrations(n).Registrations()
			return ProcessorTime(1, func(int) {
				for _, r := range list {
					owners.Owner(r.DataCentre, r.Upstream)
				}
			})
		}},
		{name: "registration core: tick, ns", cost: func(n int) float64 {
			c := newRegistrations(n)
			return ProcessorTime(10_000, func(int) { c.Step(startTime.Add(time.Millisecond), registration.Tick{}) })
		}},
	}
	for _, s := range all {
		s.sizes, s.target = upstreamSizes, TargetUpstreams
		s.run(t)
	}
}

// TestRegistrationsInView measures the cost of a new view for the registration core, with a change
// in another data centre and with a change in the local one, whose upstreams it checks.
func TestRegistrationsInView(t *testing.T) {
	skipUnlessMeasuring(t)
	viewChangeCost := func(member int) func(int) float64 {
		return func(n int) float64 {
			c := newRegistrations(TargetUpstreams * n / TargetDaemons)
			_, view := newMembers(n)
			changed := &membership.View{Version: 2, Members: append([]membership.Member(nil), view.Members...)}
			for i := range changed.Members {
				if changed.Members[i].ID == ident.DaemonID(memberUpdate(member, 1).Id) {
					changed.Members[i].State = membership.Dead
				}
			}
			c.Step(startTime, registration.ViewChanged{View: view})
			views := []*membership.View{changed, view}
			return ProcessorTime(6, func(i int) { c.Step(startTime, registration.ViewChanged{View: views[i%2]}) })
		}
	}
	for _, s := range []series{
		{name: "registration core: change in another data centre, ns", cost: viewChangeCost(1)},
		{name: "registration core: change in its data centre, ns", cost: viewChangeCost(TargetDataCentres * 5)},
	} {
		s.sizes, s.target = memberSizes, TargetDaemons
		s.run(t)
	}
}
