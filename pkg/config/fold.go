package config

import (
	"bytes"
	"maps"
	"reflect"
	"slices"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"rosemarygate/pkg/strictyaml"
)

// FoldResult is the result of a fold.
type FoldResult struct {
	Folder *Folder
	// RemovedFiles are the names of the files that are no longer needed: the last file of each service
	// has their values.
	RemovedFiles []string
	// FoldedServices is the number of services that were folded.
	FoldedServices int
	// ServicesLeft reports whether the limit left services for another fold.
	ServicesLeft bool
}

// Fold replaces the files of each service by one file under the name of the last of them. Files
// that also set something else stay, and only files after them are folded. The changed files and
// the names of the removed ones take up to limit bytes, so that they fit into one push. The
// result merges to the same values as the folder. Fold returns the error of Merge, or an error
// when the values would differ.
func (f *Folder) Fold(limit int) (*FoldResult, error) {
	before, err := f.Merge()
	if err != nil {
		return nil, err
	}
	out, err := f.fold(limit)
	if err != nil {
		return nil, err
	}
	after, err := out.Folder.Merge()
	if err != nil {
		return nil, errors.Wrap(err, "the folded files do not merge: nothing was written, report this as a fault of rosemarygate")
	}
	if !reflect.DeepEqual(before.Users, after.Users) || !reflect.DeepEqual(before.TokenKeys, after.TokenKeys) {
		return nil, errors.New("the folded files merge to other values: nothing was written, report this as a fault of rosemarygate")
	}
	return out, nil
}

func (f *Folder) fold(limit int) (*FoldResult, error) {
	contents := map[string][]byte{}
	for _, file := range f.files {
		contents[file.Name] = file.Data
	}
	out := &FoldResult{}
	for _, run := range f.foldableRuns() {
		data, err := foldRun(run)
		if err != nil {
			return nil, err
		}
		last := len(run) - 1
		size := len(run[last].Name) + len(data)
		for _, file := range run[:last] {
			size += len(file.Name)
		}
		if out.ServicesLeft = size > limit || len(data) > MaxFileBytes; out.ServicesLeft {
			break
		}
		limit -= size
		contents[run[last].Name] = data
		for _, file := range run[:last] {
			delete(contents, file.Name)
			out.RemovedFiles = append(out.RemovedFiles, file.Name)
		}
		out.FoldedServices++
	}
	var files []File
	for _, name := range slices.Sorted(maps.Keys(contents)) {
		files = append(files, File{Name: name, Data: contents[name]})
	}
	var err error
	out.Folder, err = FromFiles(files)
	return out, err
}

// foldableRuns returns the consecutive files of each service that can be replaced by one, where
// there are several.
func (f *Folder) foldableRuns() [][]File {
	x := NewIncrementalMerger(NewDecodeCache(0))
	indexed := x.indexFiles(f.files)
	for _, file := range indexed {
		x.indexFile(file)
	}
	var out [][]File
	for _, user := range slices.Sorted(maps.Keys(x.users)) {
		u := x.users[user]
		for _, name := range slices.Sorted(maps.Keys(u.services)) {
			if run := u.foldableRun(u.services[name]); len(run) > 1 {
				out = append(out, run)
			}
		}
	}
	return out
}

// foldableRun returns the files of a service after the last one that also sets something else. It
// returns none when one of them removes something that an earlier file declares: a single file
// cannot express that.
func (u *userState) foldableRun(s *serviceState) []File {
	files := slices.Clone(s.files)
	files = append(files, u.removalFiles()...)
	slices.SortFunc(files, compareFiles)
	files = slices.Compact(files)
	first := len(files)
	for first > 0 && files[first-1].namesOnlyOneService() {
		first--
	}
	var out []File
	for _, file := range files[first:] {
		if first > 0 && hasRemovals(decodeFile(File{file.name, file.data})) {
			return nil
		}
		out = append(out, File{Name: file.name, Data: file.data})
	}
	return out
}

// namesOnlyOneService reports whether the file names one service and nothing else.
func (f *file) namesOnlyOneService() bool {
	return !f.hasTokenKeys && len(f.users) == 1 && !f.users[0].hasSettings && len(f.users[0].services) == 1
}

func hasRemovals(d *decodedFile) bool {
	for _, u := range d.config.Users {
		for _, s := range u.Services {
			if s.Remove {
				return true
			}
			for _, c := range s.Classes {
				if c.Remove {
					return true
				}
			}
		}
	}
	return false
}

// foldRun returns one file with the values that the files of one service set.
func foldRun(run []File) ([]byte, error) {
	m := newMerger()
	for _, file := range run {
		m.mergeFile(decodeFile(file))
	}
	root := m.result.buildTree(func(v strictyaml.Value) *yaml.Node {
		if _, given := m.result.origins[v.Path]; v.Leaf && !given {
			return nil
		}
		v.Secret = false
		return valueNode(v)
	})
	var b bytes.Buffer
	enc := yaml.NewEncoder(&b)
	enc.SetIndent(2)
	if err := enc.Encode(root); err != nil {
		return nil, errors.WithStack(err)
	}
	return b.Bytes(), errors.WithStack(enc.Close())
}
