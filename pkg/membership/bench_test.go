package membership_test

import (
	"fmt"
	"testing"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/membership"
)

// Measures a tick at which nothing is due; the runner delivers 50 ticks per second.
func BenchmarkTick(b *testing.B) {
	for _, members := range []int{7, 300} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			n := cluster(b, 1, members, 1)
			core := n.nodes[0].core
			b.ReportAllocs()
			for b.Loop() {
				core.Step(n.now, membership.Tick{})
			}
		})
	}
}

// Measures a received probe and its acknowledgement.
func BenchmarkProbe(b *testing.B) {
	for _, members := range []int{7, 300} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			n := cluster(b, 1, members, 1)
			d, from := n.nodes[0], n.nodes[1].member
			m := &peerpb.Membership{Kind: peerpb.Membership_KIND_PROBE, Sequence: 1, From: uint64(from.ID)}
			b.ReportAllocs()
			for b.Loop() {
				d.core.Step(n.now, membership.Received{From: from.PeerAddr, Message: m})
			}
		})
	}
}

// Measures a change of one member, which causes a new view.
func BenchmarkViewChange(b *testing.B) {
	for _, members := range []int{7, 300} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			n := cluster(b, 1, members, 1)
			d, from := n.nodes[0], n.nodes[1].member
			u := &peerpb.Member{
				Id: uint64(from.ID), Name: from.Name, DataCentre: from.DataCentre, Incarnation: 2,
				State: peerpb.MemberState_MEMBER_STATE_SERVING,
			}
			u.PeerAddress, _ = from.PeerAddr.MarshalBinary()
			u.GrpcAddress, _ = from.GRPCAddr.MarshalBinary()
			m := &peerpb.Membership{Kind: peerpb.Membership_KIND_GOSSIP, From: uint64(from.ID), Updates: []*peerpb.Member{u}}
			b.ReportAllocs()
			for b.Loop() {
				u.Revision++
				d.core.Step(n.now, membership.Received{From: from.PeerAddr, Message: m})
			}
		})
	}
}
