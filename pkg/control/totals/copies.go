package totals

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// CopyCount is the number of other replicas that hold copies of the counters that daemons
// reported to a replica. Two replicas can lose their disks at the same time without a loss of
// counters.
const CopyCount = 2

// Replica is the name of a replica and its data centre, which is empty if it is unknown.
type Replica struct {
	Name       string
	DataCentre string
}

// Holders returns the replicas that hold copies of the counters reported to a replica: one in its
// data centre, one in another, then any. Rendezvous hashing spreads the copies, and a replica
// that joins or leaves moves only its own copies.
func Holders(self Replica, others []Replica) []string {
	ranked := slices.Clone(others)
	slices.SortFunc(ranked, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(score(self, b), score(self, a)), cmp.Compare(a.Name, b.Name))
	})
	sameCentre := slices.IndexFunc(ranked, func(r Replica) bool { return r.DataCentre == self.DataCentre })
	otherCentre := slices.IndexFunc(ranked, func(r Replica) bool { return r.DataCentre != self.DataCentre })
	var out []string
	for _, i := range []int{sameCentre, otherCentre} {
		if i >= 0 {
			out = append(out, ranked[i].Name)
		}
	}
	for _, r := range ranked {
		if !slices.Contains(out, r.Name) {
			out = append(out, r.Name)
		}
	}
	return out[:min(CopyCount, len(out))]
}

func score(self, other Replica) uint64 { return xxhash.Sum64String(self.Name + "\x00" + other.Name) }
