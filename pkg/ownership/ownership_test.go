package ownership_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/ownership"
)

func view(members int, dataCentre string) *membership.View {
	v := &membership.View{}
	for i := range members {
		name := fmt.Sprintf("%s-host-%d", dataCentre, i)
		v.Members = append(v.Members, membership.Member{
			ID: ident.Daemon(name), Name: name, DataCentre: dataCentre, State: membership.Serving,
		})
	}
	return v
}

func upstream(i int) ident.UpstreamID {
	return ident.Upstream("user/service", "a", fmt.Sprintf("upstream-%d", i))
}

// Guards against members that own far more than their part.
func TestBalance(t *testing.T) {
	const upstreams = 70_000
	table := ownership.NewTable(view(7, "a"), nil)
	owned := make(map[ident.DaemonID]int)
	for i := range upstreams {
		m, ok := table.Owner("a", upstream(i))
		assert.Assert(t, ok)
		owned[m.ID]++
	}
	assert.Equal(t, 7, len(owned))
	for id, n := range owned {
		assert.Assert(t, n > 9_500 && n < 10_500, "%v owns %d of %d", id, n, upstreams)
	}
}

// Guards against upstreams that move although neither their old nor their new owner changed,
// for every state in which a member owns nothing.
func TestOnlyUpstreamsOfTheChangedMemberMove(t *testing.T) {
	full := view(7, "a")
	before := ownership.NewTable(full, nil)
	for _, s := range []membership.State{membership.Joining, membership.Leaving, membership.Dead} {
		changed := &membership.View{Members: append([]membership.Member(nil), full.Members...)}
		changed.Members[3].State = s
		after := ownership.NewTable(changed, nil)
		for i := range 1000 {
			was, _ := before.Owner("a", upstream(i))
			is, _ := after.Owner("a", upstream(i))
			if was.ID == full.Members[3].ID {
				assert.Assert(t, is.ID != was.ID)
			} else {
				assert.Equal(t, was.ID, is.ID)
			}
		}
	}
}

// Guards against ownership that moves on a suspicion that is refuted later.
func TestSuspectKeepsItsUpstreams(t *testing.T) {
	v := view(3, "a")
	before := ownership.NewTable(v, nil)
	v.Members[1].State = membership.Suspect
	for i := range 100 {
		was, _ := before.Owner("a", upstream(i))
		is, _ := ownership.Owner(v, "a", upstream(i))
		assert.Equal(t, was.ID, is.ID)
	}
}

// Guards against upstreams without an owner while any data centre serves.
func TestNearestDataCentreTakesOver(t *testing.T) {
	v := view(2, "a")
	v.Members[0].State = membership.Dead
	v.Members[1].State = membership.Leaving
	v.Members = append(v.Members, append(view(2, "b").Members, view(2, "c").Members...)...)
	for near, order := range map[string]ownership.Order{"b": {"a": {"b", "c"}}, "c": {"a": {"d", "c", "b"}}} {
		m, ok := ownership.NewTable(v, order).Owner("a", upstream(1))
		assert.Assert(t, ok)
		assert.Equal(t, near, m.DataCentre)
	}
	first, ok := ownership.Owner(v, "a", upstream(1))
	assert.Assert(t, ok)
	v.Members[2], v.Members[5] = v.Members[5], v.Members[2]
	again, _ := ownership.Owner(v, "a", upstream(1))
	assert.Equal(t, first.ID, again.ID)
	_, ok = ownership.Owner(&membership.View{}, "a", upstream(1))
	assert.Assert(t, !ok)
}

// Guards against data centres that prepare for more takeovers than one, and against a successor
// that changes when the data centre that it would take over dies.
func TestEachDataCentreSucceedsOneOther(t *testing.T) {
	var v membership.View
	for i := range 28 {
		v.Members = append(v.Members, view(2, fmt.Sprintf("dc-%d", i)).Members...)
	}
	all := ownership.NewTable(&v, nil)
	successors := make(map[string]bool)
	for _, name := range all.Serving() {
		next := all.Successor(ident.DataCentre(name))
		assert.Assert(t, next != name && !successors[next], "%s follows %s", next, name)
		successors[next] = true
		for i := range v.Members {
			v.Members[i].State = membership.Serving
			if v.Members[i].DataCentre == name {
				v.Members[i].State = membership.Dead
			}
		}
		without := ownership.NewTable(&v, nil)
		assert.Equal(t, next, without.Keeper(name))
		assert.Equal(t, 28, without.DataCentres())
	}
	assert.Equal(t, 28, len(successors))
}

func BenchmarkOwner(b *testing.B) {
	for _, members := range []int{7, 640} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			table := ownership.NewTable(view(members, "a"), nil)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.Owner("a", ident.UpstreamID(i))
			}
		})
	}
}
