package totals

import (
	"slices"
	"unique"
)

// packedCounter is a counter whose key is shared by all daemons that count it. It takes 16 bytes,
// an eighth of an entry of Counts.
type packedCounter struct {
	key   unique.Handle[Key]
	value uint64
}

// packedCounts are counters sorted by key.
type packedCounts []packedCounter

func pack(counts Counts) packedCounts {
	out := make(packedCounts, 0, len(counts))
	for _, k := range counts.sortedKeys() {
		out = append(out, packedCounter{unique.Make(k), counts[k]})
	}
	return out
}

// keepMax returns the counters with each value raised to that of other if it is lower, and
// whether any changed.
func (p packedCounts) keepMax(other packedCounts) (packedCounts, bool) {
	out := make(packedCounts, 0, max(len(p), len(other)))
	changed := false
	for i, j := 0, 0; i < len(p) || j < len(other); {
		switch order := compareAt(p, i, other, j); {
		case order < 0:
			out = append(out, p[i])
			i++
		case order > 0:
			out = append(out, other[j])
			j++
			changed = true
		default:
			raised := p[i]
			raised.value = max(p[i].value, other[j].value)
			changed = changed || raised != p[i]
			out = append(out, raised)
			i++
			j++
		}
	}
	if !changed {
		return p, false
	}
	return slices.Clip(out), true
}

// compareAt compares the keys at two positions. The end of a list sorts after every key.
func compareAt(p packedCounts, i int, other packedCounts, j int) int {
	switch {
	case i == len(p):
		return 1
	case j == len(other):
		return -1
	case p[i].key == other[j].key:
		return 0
	}
	return compareKeys(p[i].key.Value(), other[j].key.Value())
}

// withKeysOf returns the counters whose keys are also in other.
func (p packedCounts) withKeysOf(other packedCounts) packedCounts {
	return slices.DeleteFunc(slices.Clone(p), func(c packedCounter) bool {
		_, found := slices.BinarySearchFunc(other, c.key, func(o packedCounter, key unique.Handle[Key]) int {
			return compareKeys(o.key.Value(), key.Value())
		})
		return !found
	})
}
