package capacity

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/ownership"
	"rosemarygate/pkg/relay"
	"rosemarygate/pkg/token"
)

var (
	startTime       = time.Unix(1_800_000_000, 0)
	memberSizes     = []int{1000, 4500, 18_000}
	dataCentreSizes = []int{80, 320, 640}
)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7001)
}

func dataCentre(i int) string {
	i %= TargetDataCentres
	return fmt.Sprintf("region-%d-dc-%d", i%10, i)
}

func memberUpdate(i int, revision uint32) *peerpb.Member {
	name := fmt.Sprintf("host-%05d.example", i)
	a, _ := address(i).MarshalBinary()
	return &peerpb.Member{
		Id: uint64(ident.Daemon(name)), Name: name, DataCentre: dataCentre(i), Incarnation: 1, Revision: revision,
		State: peerpb.MemberState_MEMBER_STATE_SERVING, PeerAddress: a, GrpcAddress: a,
	}
}

// newMembers returns a core with n serving members, and its view.
func newMembers(n int) (*membership.Core, *membership.View) {
	self := membership.Member{
		ID: ident.Daemon("self"), Name: "self", DataCentre: dataCentre(0), Incarnation: 1,
		PeerAddr: address(1 << 20), GRPCAddr: address(1 << 20),
	}
	c := membership.New(membership.Config{}, self, rand.New(rand.NewPCG(1, 2)))
	const pageSize = 200
	for i := 0; i < n; i += pageSize {
		m := &peerpb.Membership{Kind: peerpb.Membership_KIND_SYNC, From: memberUpdate(0, 1).Id}
		for j := i; j < min(i+pageSize, n); j++ {
			m.Updates = append(m.Updates, memberUpdate(j, 1))
		}
		c.Step(startTime, membership.Received{From: address(0), Message: m})
	}
	return c, c.View()
}

// changeMember returns a function that applies a change of one member in another data centre.
func changeMember(c *membership.Core) func(int) {
	revision := uint32(1)
	return func(int) {
		revision++
		m := &peerpb.Membership{Kind: peerpb.Membership_KIND_GOSSIP, From: memberUpdate(0, 1).Id}
		m.Updates = []*peerpb.Member{memberUpdate(1, revision)}
		c.Step(startTime, membership.Received{From: address(0), Message: m})
	}
}

// TestMembers measures the member list and the cost of a change of one member for each consumer of
// the view.
func TestMembers(t *testing.T) {
	skipUnlessMeasuring(t)
	const calls = 30
	perView := func(f func(v *membership.View, owners *ownership.Table)) func(int) float64 {
		return func(n int) float64 {
			_, v := newMembers(n)
			owners := ownership.NewTable(v, nil)
			return ProcessorTime(calls, func(int) { f(v, owners) })
		}
	}
	newRelay := func(v *membership.View, owners *ownership.Table) { relay.NewTable(v.Members[0], v, owners) }
	all := []series{
		{name: "member list and view, live bytes", cost: func(n int) float64 {
			return LiveBytes(func() any { c, _ := newMembers(n); return c })
		}},
		{name: "membership: one change, ns", cost: func(n int) float64 {
			c, _ := newMembers(n)
			return ProcessorTime(calls, changeMember(c))
		}},
		{name: "membership: one change, bytes allocated", cost: func(n int) float64 {
			c, _ := newMembers(n)
			return AllocatedBytes(calls, changeMember(c))
		}},
		{name: "ownership table, ns", cost: perView(func(v *membership.View, _ *ownership.Table) { ownership.NewTable(v, nil) })},
		{name: "ownership table, live bytes", cost: func(n int) float64 {
			_, v := newMembers(n)
			return LiveBytes(func() any { return []any{v, ownership.NewTable(v, nil)} })
		}},
		{name: "ownership table, bytes allocated", cost: func(n int) float64 {
			_, v := newMembers(n)
			return AllocatedBytes(calls, func(int) { ownership.NewTable(v, nil) })
		}},
		{name: "relay table, ns", cost: perView(newRelay)},
		{name: "relay table, live bytes", cost: func(n int) float64 {
			_, v := newMembers(n)
			owners := ownership.NewTable(v, nil)
			return LiveBytes(func() any { return []any{v, owners, relay.NewTable(v.Members[0], v, owners)} })
		}},
	}
	all = append(all, series{name: "relay table: route of a packet, ns", cost: func(n int) float64 {
		_, v := newMembers(n)
		table := relay.NewTable(v.Members[0], v, ownership.NewTable(v, nil))
		return ProcessorTime(200_000, func(i int) {
			m := &v.Members[i*7919%len(v.Members)]
			table.Route(&token.Claims{Owner: m.ID, OwnerIncarnation: m.Incarnation})
		})
	}})
	all = append(all, series{name: "comparison of two views for the log, ns", cost: perView(func(v *membership.View, _ *ownership.Table) {
		for _, m := range v.Members {
			v.Find(m.ID)
		}
	})})
	all = append(all, series{name: "one member in a message, bytes", cost: func(n int) float64 {
		return float64(proto.Size(memberUpdate(n, 1)))
	}})
	for _, s := range all {
		s.sizes, s.target = memberSizes, TargetDaemons
		s.run(t)
	}
}

// TestOwnerLookup measures the lookup of an owner. A reconciliation of all registrations consists of
// such lookups.
func TestOwnerLookup(t *testing.T) {
	skipUnlessMeasuring(t)
	s := series{name: "owner lookup, ns, by daemons of a data centre", sizes: dataCentreSizes, target: TargetDaemonsPerDataCentre}
	s.cost = func(n int) float64 {
		_, v := newMembers(n * TargetDataCentres)
		table := ownership.NewTable(v, nil)
		name := dataCentre(1)
		return ProcessorTime(100_000, func(i int) { table.Owner(name, ident.UpstreamID(i)) })
	}
	s.run(t)
}
