package ownership_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/ownership"
)

func newView(members int, dataCentre string) *membership.View {
	v := &membership.View{}
	for i := range members {
		name := fmt.Sprintf("%s-host-%d", dataCentre, i)
		v.Members = append(v.Members, membership.Member{
			ID: ident.Daemon(name), Name: name, DataCentre: dataCentre, State: membership.Serving,
		})
	}
	return v
}

func upstreamID(i int) ident.UpstreamID {
	return ident.Upstream("user/service", "a", fmt.Sprintf("upstream-%d", i))
}

// Guards against members that own far more upstreams than their share.
func TestBalance(t *testing.T) {
	const upstreams = 70_000
	table := ownership.NewTable(newView(7, "a"), nil)
	owned := make(map[ident.DaemonID]int)
	for i := range upstreams {
		m, ok := table.Owner("a", upstreamID(i))
		assert.Assert(t, ok)
		owned[m.ID]++
	}
	assert.Equal(t, 7, len(owned))
	for id, n := range owned {
		assert.Assert(t, n > 9_500 && n < 10_500, "%v owns %d of %d", id, n, upstreams)
	}
}

// Guards against moving upstreams whose old and new owner did not change, for every state in
// which a member owns nothing.
func TestOnlyUpstreamsOfTheChangedMemberMove(t *testing.T) {
	full := newView(7, "a")
	before := ownership.NewTable(full, nil)
	for _, s := range []membership.State{membership.Joining, membership.Leaving, membership.Dead} {
		changed := &membership.View{Members: append([]membership.Member(nil), full.Members...)}
		changed.Members[3].State = s
		after := ownership.NewTable(changed, nil)
		for i := range 1000 {
			oldOwner, _ := before.Owner("a", upstreamID(i))
			newOwner, _ := after.Owner("a", upstreamID(i))
			if oldOwner.ID == full.Members[3].ID {
				assert.Assert(t, newOwner.ID != oldOwner.ID)
			} else {
				assert.Equal(t, oldOwner.ID, newOwner.ID)
			}
		}
	}
}

// Guards against ownership that moves because of a suspicion, which may be refuted later.
func TestSuspectKeepsItsUpstreams(t *testing.T) {
	v := newView(3, "a")
	before := ownership.NewTable(v, nil)
	v.Members[1].State = membership.Suspect
	for i := range 100 {
		oldOwner, _ := before.Owner("a", upstreamID(i))
		newOwner, _ := ownership.Owner(v, "a", upstreamID(i))
		assert.Equal(t, oldOwner.ID, newOwner.ID)
	}
}

// Guards against upstreams without an owner while any data centre has a serving member.
func TestNearestDataCentreTakesOver(t *testing.T) {
	v := newView(2, "a")
	v.Members[0].State = membership.Dead
	v.Members[1].State = membership.Leaving
	v.Members = append(v.Members, append(newView(2, "b").Members, newView(2, "c").Members...)...)
	for successor, order := range map[string]ownership.Order{"b": {"a": {"b", "c"}}, "c": {"a": {"d", "c", "b"}}} {
		m, ok := ownership.NewTable(v, order).Owner("a", upstreamID(1))
		assert.Assert(t, ok)
		assert.Equal(t, successor, m.DataCentre)
	}
	first, ok := ownership.Owner(v, "a", upstreamID(1))
	assert.Assert(t, ok)
	v.Members[2], v.Members[5] = v.Members[5], v.Members[2]
	reordered, _ := ownership.Owner(v, "a", upstreamID(1))
	assert.Equal(t, first.ID, reordered.ID)
	_, ok = ownership.Owner(&membership.View{}, "a", upstreamID(1))
	assert.Assert(t, !ok)
}

// Guards against data centres that have to prepare for more than one takeover, and against a
// successor that changes when the data centre that it takes over fails.
func TestEachDataCentreSucceedsOneOther(t *testing.T) {
	var v membership.View
	for i := range 28 {
		v.Members = append(v.Members, newView(2, fmt.Sprintf("dc-%d", i)).Members...)
	}
	all := ownership.NewTable(&v, nil)
	successors := make(map[string]bool)
	for _, name := range all.ServingDataCentres() {
		successor := all.Successor(ident.DataCentre(name))
		assert.Assert(t, successor != name && !successors[successor], "%s succeeds %s", successor, name)
		successors[successor] = true
		for i := range v.Members {
			v.Members[i].State = membership.Serving
			if v.Members[i].DataCentre == name {
				v.Members[i].State = membership.Dead
			}
		}
		without := ownership.NewTable(&v, nil)
		assert.Equal(t, successor, without.OwnerDataCentre(name))
		assert.Equal(t, 28, without.DataCentreCount())
	}
	assert.Equal(t, 28, len(successors))
}

func BenchmarkOwner(b *testing.B) {
	for _, members := range []int{7, 640} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			table := ownership.NewTable(newView(members, "a"), nil)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.Owner("a", ident.UpstreamID(i))
			}
		})
	}
}
