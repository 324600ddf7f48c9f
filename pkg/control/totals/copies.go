package totals

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Copies is the number of other replicas that hold the counters which a replica took from
// daemons. Two replicas can lose their disks at the same time without a loss.
const Copies = 2

// Place is a replica and its data centre, empty if that is not known.
type Place struct {
	Name       string
	DataCentre string
}

// Holders returns the replicas that hold copies of the counters which a replica took: one of
// its data centre, one of another, then any. Hashing spreads the copies, and a replica that
// joins or leaves moves only those that it holds.
func Holders(self Place, others []Place) []string {
	ranked := slices.Clone(others)
	slices.SortFunc(ranked, func(a, b Place) int {
		return cmp.Or(cmp.Compare(rank(self, b), rank(self, a)), cmp.Compare(a.Name, b.Name))
	})
	near := slices.IndexFunc(ranked, func(p Place) bool { return p.DataCentre == self.DataCentre })
	far := slices.IndexFunc(ranked, func(p Place) bool { return p.DataCentre != self.DataCentre })
	var out []string
	for _, i := range []int{near, far} {
		if i >= 0 {
			out = append(out, ranked[i].Name)
		}
	}
	for _, p := range ranked {
		if !slices.Contains(out, p.Name) {
			out = append(out, p.Name)
		}
	}
	return out[:min(Copies, len(out))]
}

func rank(self, other Place) uint64 { return xxhash.Sum64String(self.Name + "\x00" + other.Name) }
