package agreement

import (
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/ident"
)

// Guards against two quorums, each with its own knowledge of lost copies, that decide without a common voter.
// Where each has a voter that the other one knows to be lost, they cannot both have been formed.
func TestQuorumsIntersect(t *testing.T) {
	for n := 1; n <= 7; n++ {
		var members []Member
		for i := range n {
			members = append(members, Member{Replica{ident.DaemonID(i + 1), 1}, true})
		}
		m := NewMembership(members...)
		set := func(bits int) (out []Replica) {
			for i := range n {
				if bits&(1<<i) != 0 {
					out = append(out, members[i].Replica)
				}
			}
			return out
		}
		type quorum struct{ voters, lost int }
		var quorums []quorum
		for lost := range 1 << n {
			for voters := range 1 << n {
				knows := set(lost)
				agrees := func(r Replica) statement { return statement{voters&(1<<(r.ID-1)) != 0, knows} }
				if m.agreesWithout(knows, agrees) {
					quorums = append(quorums, quorum{voters, lost})
				}
			}
		}
		for _, a := range quorums {
			for _, b := range quorums {
				impossible := a.voters&b.lost != 0 && b.voters&a.lost != 0
				if !impossible && a.voters&b.voters == 0 {
					t.Fatalf("%d voters: %07b without %07b and %07b without %07b", n, a.voters, a.lost, b.voters, b.lost)
				}
			}
		}
	}
}

// Guards against a quorum without lost copies whose voters did not know of the loss.
func TestUnstatedLossDoesNotCount(t *testing.T) {
	var members []Member
	for i := range 4 {
		members = append(members, Member{Replica{ident.DaemonID(i + 1), 1}, true})
	}
	m, lost := NewMembership(members...), []Replica{members[1].Replica}
	for _, c := range []struct {
		name    string
		knows   []Replica
		decided bool
	}{{"stated", lost, true}, {"not stated", nil, false}, {"another loss stated", []Replica{members[0].Replica}, false}} {
		agrees := func(r Replica) statement { return statement{r.ID >= 3, c.knows} }
		assert.Equal(t, m.agreesWithout(lost, agrees), c.decided, c.name)
		assert.Assert(t, !m.agreesWithout(nil, agrees), c.name)
	}
}
