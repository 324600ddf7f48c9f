package capacity

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/forward"
	"rosemarygate/pkg/routing"
)

// platformRegistration returns the registration of an upstream on the users' platform, with names
// of the usual length.
func platformRegistration(i int) directory.Registration {
	return directory.Registration{
		Incarnation: directory.Incarnation{Key: directory.Key(i + 1), StartUnixMs: 1_790_000_000_000 + int64(i)}, Name: fmt.Sprintf("i-%010x", i),
		Service: fmt.Sprintf("service-%04d", i%860), Address: netip.AddrPortFrom(routing.AddressFromNumber(uint32(10<<24+i)), 8080),
		DataCentre: "ahmedabad", Slots: 2, Sequence: 7, State: directory.Ready,
	}
}

func platformDirectory(n int) *directory.Directory {
	d := directory.New(directory.Config{SilentAfter: 3 * time.Second, RetainFor: time.Minute})
	for i := range n {
		d.Announce(platformRegistration(i))
	}
	return d
}

func platformCore(n int) *forward.Core {
	c := forward.New(forward.Config{DataCentre: "ahmedabad"}, rand.New(rand.NewPCG(1, 2)))
	for _, r := range platformDirectory(n).Changes(0) {
		c.SetUpstream(r)
	}
	return c
}

func platformTable(version uint64, n int) *routing.Table {
	t := &routing.Table{Version: version, FlowIdle: 15 * time.Second}
	for i := range n {
		t.Routes = append(t.Routes, routing.Route{
			Name: fmt.Sprintf("r-%07x", i), Address: netip.AddrPortFrom(routing.AddressFromNumber(uint32(198<<24+18<<16+i)), 443),
			Timeout: time.Second, Split: []routing.Share{{Service: fmt.Sprintf("service-%04d", i%860), Weight: 1}},
		})
	}
	return t
}

// newCoreWithFlows returns a core that has received a packet of each of n flows.
func newCoreWithFlows(n int) *forward.Core {
	c := platformCore(150)
	cookie := platformRegistration(0).Cookie()
	for i := range n {
		caller := netip.AddrPortFrom(routing.AddressFromNumber(uint32(100<<24+i)), 40000)
		c.HandlePacket(0, &forward.Packet{Caller: caller, Dest: netip.MustParseAddrPort("198.18.0.1:443"), Flags: forward.ACK, Length: 1, Cookie: cookie})
	}
	return c
}

// TestPlatform measures the state and the updates of entry daemons and control hosts on the users'
// platform by the number of upstreams, routes and flows of a data centre.
func TestPlatform(t *testing.T) {
	skipUnlessMeasuring(t)
	upstreams, routes, flows := []int{500, 2000, 8000}, []int{250, 1000, 4000}, []int{2000, 8000, 32000}
	const upstreamsPerDataCentre, routesPerDataCentre, flowsPerDaemon = TargetUpstreams / TargetDataCentres, TargetServices / TargetDataCentres, 7200
	for _, s := range []series{
		{name: "directory, live bytes by upstreams", sizes: upstreams, target: upstreamsPerDataCentre, cost: func(n int) float64 {
			return LiveBytes(func() any { return platformDirectory(n) })
		}},
		{name: "packet core, live bytes by upstreams", sizes: upstreams, target: upstreamsPerDataCentre, cost: func(n int) float64 {
			return LiveBytes(func() any { return platformCore(n) })
		}},
		{name: "first update, bytes by upstreams", sizes: upstreams, target: upstreamsPerDataCentre, cost: func(n int) float64 {
			u := &entrypb.Update{}
			for _, r := range platformDirectory(n).Changes(0) {
				u.Registrations = append(u.Registrations, r.Proto(0))
			}
			return float64(proto.Size(u))
		}},
		{name: "routing table, live bytes by routes", sizes: routes, target: routesPerDataCentre, cost: func(n int) float64 {
			return LiveBytes(func() any { return routing.NewIndex(platformTable(1, n)) })
		}},
		{name: "whole table, bytes by routes", sizes: routes, target: routesPerDataCentre, cost: func(n int) float64 {
			return float64(proto.Size(platformTable(1, n).Proto()))
		}},
		{name: "difference of one route, bytes by routes", sizes: routes, target: routesPerDataCentre, cost: func(n int) float64 {
			return float64(proto.Size(platformTable(2, n+1).Difference(platformTable(1, n))))
		}},
		{name: "applying a difference and indexing, ns by routes", sizes: routes, target: routesPerDataCentre, cost: func(n int) float64 {
			base, next := platformTable(1, n), platformTable(2, n+1).Difference(platformTable(1, n))
			return ProcessorTime(20, func(int) {
				table, err := routing.Apply(base, next)
				if err != nil {
					t.Fatal(err)
				}
				routing.NewIndex(table)
			})
		}},
		{name: "flow table, live bytes by flows", sizes: flows, target: flowsPerDaemon, cost: func(n int) float64 {
			return LiveBytes(func() any { return newCoreWithFlows(n) })
		}},
	} {
		s.run(t)
	}
}
