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

// Folded is the result of a fold.
type Folded struct {
	Folder *Folder
	// Removed are the files that are in no folder any more; the last file of each service has the
	// values of those before it.
	Removed []string
	// Services is the number of services that were folded.
	Services int
	// More tells that the limit left services for another fold.
	More bool
}

// Fold makes one file of the files of each service, under the name of the last of them. Files that
// also name something else stay, and only files after them are folded. The changed files and the
// names of the removed ones take up to limit bytes, so that one push can hold them. The error is that
// of Merge, or tells that the result would differ; it equals the folder in all values.
func (f *Folder) Fold(limit int) (*Folded, error) {
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

func (f *Folder) fold(limit int) (*Folded, error) {
	all := map[string][]byte{}
	for _, file := range f.files {
		all[file.Name] = file.Data
	}
	out := &Folded{}
	for _, run := range f.runs() {
		data, err := foldRun(run)
		if err != nil {
			return nil, err
		}
		last := len(run) - 1
		size := len(run[last].Name) + len(data)
		for _, file := range run[:last] {
			size += len(file.Name)
		}
		if out.More = size > limit || len(data) > MaxFileBytes; out.More {
			break
		}
		limit -= size
		all[run[last].Name] = data
		for _, file := range run[:last] {
			delete(all, file.Name)
			out.Removed = append(out.Removed, file.Name)
		}
		out.Services++
	}
	var files []File
	for _, name := range slices.Sorted(maps.Keys(all)) {
		files = append(files, File{Name: name, Data: all[name]})
	}
	var err error
	out.Folder, err = FromFiles(files)
	return out, err
}

// runs returns, for each service, its files after the last one that also decides on something else,
// where there are several. A run that removes something an earlier file declares cannot be one file.
func (f *Folder) runs() [][]File {
	x := NewIncremental(NewCache(0))
	put := x.describe(f.files)
	for _, file := range put {
		x.putIn(file)
	}
	var out [][]File
	for _, user := range slices.Sorted(maps.Keys(x.users)) {
		u := x.users[user]
		for _, name := range slices.Sorted(maps.Keys(u.services)) {
			if run := u.run(u.services[name]); len(run) > 1 {
				out = append(out, run)
			}
		}
	}
	return out
}

func (u *userState) run(s *serviceState) []File {
	files := slices.Clone(s.files)
	files = append(files, u.removals()...)
	slices.SortFunc(files, compareFiles)
	files = slices.Compact(files)
	first := len(files)
	for first > 0 && files[first-1].own() {
		first--
	}
	var out []File
	for _, file := range files[first:] {
		if first > 0 && removesAny(decode(File{file.name, file.data})) {
			return nil
		}
		out = append(out, File{Name: file.name, Data: file.data})
	}
	return out
}

// own reports whether the file names one service and nothing else.
func (f *file) own() bool {
	return !f.keys && len(f.users) == 1 && !f.users[0].settings && len(f.users[0].services) == 1
}

func removesAny(d *decoded) bool {
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

// foldRun returns the values that the files of one service set, as one file.
func foldRun(run []File) ([]byte, error) {
	m := newMerger()
	for _, file := range run {
		m.file(decode(file))
	}
	root := m.into.treeOf(func(v strictyaml.Value) *yaml.Node {
		if _, given := m.into.origins[v.Path]; v.Leaf && !given {
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
