package folder

import (
	"fmt"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarygate/api/control/v1"
)

// Guards against a difference that does not lead from the old folder to the new one, and against
// a folder built in steps that differs from one built at once.
func TestDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New(nil, nil, 0)
		versions := []*Folder{f}
		for v := range rapid.IntRange(1, 15).Draw(t, "versions") {
			put, remove := drawChange(t, fmt.Sprint(v))
			f = f.WithChange(uint64(v+1), put, remove)
			versions = append(versions, f)
		}
		from := rapid.IntRange(0, len(versions)-1).Draw(t, "from")
		changed, removed, ok := f.Difference(uint64(from))
		assert.Assert(t, ok)
		var put []*controlpb.File
		for _, file := range changed {
			put = append(put, &controlpb.File{Name: file.Name, Data: file.Data})
		}
		got := versions[from].WithChange(99, put, removed)
		assert.Equal(t, got.Digest(nil), f.Digest(nil))
		rebuilt := New(got.Files(), nil, 0)
		assert.Equal(t, rebuilt.Digest(nil), f.Digest(nil))
		assert.Equal(t, rebuilt.Size(), f.Size())
	})
}

func drawChange(t *rapid.T, data string) (put []*controlpb.File, remove []string) {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"1", "2", "3", "4", "5"}), 1, 3, rapid.ID).Draw(t, "names")
	for _, name := range names {
		if rapid.Bool().Draw(t, "remove") {
			remove = append(remove, name)
			continue
		}
		put = append(put, &controlpb.File{Name: name, Data: []byte(data)})
	}
	return put, remove
}

// Guards against a difference that omits removals which the folder no longer records.
func TestDiscardedRemovals(t *testing.T) {
	f := New(nil, nil, 0)
	for v := range uint64(MaxRemovals + 1) {
		f = f.WithChange(2*v+1, []*controlpb.File{{Name: "a"}}, nil)
		f = f.WithChange(2*v+2, nil, []string{"a"})
	}
	_, _, ok := f.Difference(1)
	assert.Assert(t, !ok)
	_, removed, ok := f.Difference(3)
	assert.Assert(t, ok)
	assert.DeepEqual(t, removed, []string{"a"})
}

// Guards against a comparison that does not lead from one list of files to the other, or that
// reports a file with unchanged content.
func TestCompare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() *Folder {
			f := New(nil, nil, 0)
			for v := range rapid.IntRange(0, 5).Draw(t, "versions") {
				put, remove := drawChange(t, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "data"))
				f = f.WithChange(uint64(v+1), put, remove)
			}
			return f
		}
		a, b := draw(), draw()
		put, removed := Compare(a.Files(), b.Files())
		var files []*controlpb.File
		for _, f := range put {
			old := a.Get(f.Name)
			assert.Assert(t, old == nil || old.Sum != f.Sum)
			files = append(files, &controlpb.File{Name: f.Name, Data: f.Data})
		}
		for _, name := range removed {
			assert.Assert(t, a.Get(name) != nil)
		}
		assert.Equal(t, a.WithChange(9, files, removed).Digest(nil), b.Digest(nil))
	})
}

// Guards against a search by number that misses a file or returns one with another number.
func TestWithNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[0-2]{0,4}([-./:;a_\x{e9}][0-2]?)?`), 1, 40, rapid.ID).Draw(t, "names")
		var files []*File
		for _, name := range names {
			files = append(files, NewFile(name, nil, 1, 1))
		}
		f := New(files, nil, 0)
		number := rapid.Uint64Range(0, 222).Draw(t, "number")
		var want []string
		for _, file := range f.Files() {
			if n, err := strconv.ParseUint(LeadingDigits(file.Name), 10, 64); err == nil && n == number {
				want = append(want, file.Name)
			}
		}
		var got []string
		for _, file := range f.FilesWithNumber(number, 18) {
			got = append(got, file.Name)
		}
		assert.DeepEqual(t, got, want)
	})
}
