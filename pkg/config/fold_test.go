package config

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a fold that loses or changes a value, exceeds the size limit of a push, or
// leaves several files of a service although they contain nothing else.
func TestFoldKeepsValues(t *testing.T) {
	folded := 0
	rapid.Check(t, func(t *rapid.T) {
		x := NewIncrementalMerger(NewDecodeCache(1 << 20))
		for n := range rapid.IntRange(1, 12).Draw(t, "files") {
			text := randomFile(t)
			if rapid.IntRange(0, 3).Draw(t, "one service") > 0 {
				text = "users: {a: {services: {s: " + randomService(t) + "}}}"
			}
			_, _ = x.Apply([]File{{fmt.Sprintf("%d-f.yaml", n+1), []byte(text)}}, nil) // faulty files are left out
		}
		f, errs := buildFolder(x.filesAfter(nil, nil))
		before, err := f.Merge()
		if errs != nil || err != nil {
			return
		}
		limit := rapid.SampledFrom([]int{0, 200, 1 << 20}).Draw(t, "limit")
		out, err := f.Fold(limit)
		assert.NilError(t, err)
		after, err := out.Folder.Merge()
		assert.NilError(t, err)
		assert.Equal(t, len(Diff(before, after)), 0)
		assert.Equal(t, len(out.Folder.Files())+len(out.RemovedFiles), len(f.Files()))
		size, oldContents := 0, map[string]string{}
		for _, file := range f.Files() {
			oldContents[file.Name] = string(file.Data)
		}
		for _, file := range out.Folder.Files() {
			if oldContents[file.Name] != string(file.Data) {
				size += len(file.Name) + len(file.Data)
			}
		}
		for _, name := range out.RemovedFiles {
			size += len(name)
		}
		assert.Assert(t, size <= limit)
		folded += out.FoldedServices
		if !out.ServicesLeft {
			assert.Equal(t, len(out.Folder.foldableRuns()), 0)
		}
	})
	assert.Assert(t, folded > 20, "only %d services were folded", folded)
}
