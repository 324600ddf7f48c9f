// Package folder holds the accepted configuration as an immutable folder of files, with the
// versions at which they changed, so that a difference between two versions is cheap to find.
package folder

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"rosemarygate/api/control/v1"
)

// MaxRemoved is the number of removed files that a folder remembers. A difference from a
// version before the oldest of them cannot be computed.
const MaxRemoved = 4096

// Sum is a SHA-256.
type Sum = [sha256.Size]byte

// File is one file of the folder. It is immutable.
type File struct {
	Name    string
	Data    []byte
	Sum     Sum    // of Data
	Created uint64 // version that added the file
	Changed uint64 // version that last changed the file
}

// NewFile returns a file; it keeps data.
func NewFile(name string, data []byte, created, changed uint64) *File {
	return &File{Name: name, Data: data, Sum: sha256.Sum256(data), Created: created, Changed: changed}
}

// Removed is a file that a version removed.
type Removed struct {
	Name    string
	Version uint64
}

// Folder is a set of files. It is immutable.
type Folder struct {
	files   []*File   // by name
	removed []Removed // by version; may hold files that were added again
	horizon uint64    // removals up to this version are not in removed
	size    int       // bytes of all names and contents
}

// New returns a folder of the files. Removals up to the version horizon are unknown.
func New(files []*File, removed []Removed, horizon uint64) *Folder {
	f := &Folder{files: slices.Clone(files), removed: removed, horizon: horizon}
	sortFiles(f.files)
	for _, file := range f.files {
		f.size += file.bytes()
	}
	return f
}

func sortFiles(files []*File) {
	slices.SortFunc(files, func(a, b *File) int { return strings.Compare(a.Name, b.Name) })
}

// bytes returns the size of the name and the content.
func (f *File) bytes() int { return len(f.Name) + len(f.Data) }

// Files returns the files by name. The caller must not change the slice.
func (f *Folder) Files() []*File { return f.files }

// Removed returns the remembered removals, oldest first. The caller must not change the slice.
func (f *Folder) Removed() []Removed { return f.removed }

// Horizon returns the version up to which removals are unknown.
func (f *Folder) Horizon() uint64 { return f.horizon }

// Size returns the bytes of all names and contents.
func (f *Folder) Size() int { return f.size }

// Get returns the named file, or nil.
func (f *Folder) Get(name string) *File {
	i, ok := f.find(name)
	if !ok {
		return nil
	}
	return f.files[i]
}

func (f *Folder) find(name string) (int, bool) {
	return slices.BinarySearchFunc(f.files, name, func(file *File, name string) int {
		return strings.Compare(file.Name, name)
	})
}

// RemovedAfter reports whether a version after the given one removed the file.
func (f *Folder) RemovedAfter(name string, version uint64) bool {
	for i := len(f.removed) - 1; i >= 0 && f.removed[i].Version > version; i-- {
		if f.removed[i].Name == name {
			return true
		}
	}
	return false
}

// With returns the folder after a version that puts and removes files. Files that are put
// get the version as their changed version. Each name occurs once.
func (f *Folder) With(version uint64, put []*controlpb.File, remove []string) *Folder {
	next := &Folder{horizon: f.horizon, size: f.size, removed: slices.Clone(f.removed)}
	dropped := slices.Clone(remove)
	for _, name := range remove {
		if f.Get(name) != nil {
			next.removed = append(next.removed, Removed{name, version})
		}
	}
	added := make([]*File, 0, len(put))
	for _, p := range put {
		created := version
		if old := f.Get(p.GetName()); old != nil {
			created = old.Created
		}
		file := NewFile(p.GetName(), p.GetData(), created, version)
		added = append(added, file)
		next.size += file.bytes()
		dropped = append(dropped, p.GetName())
	}
	next.merge(f, dropped, added)
	for len(next.removed) > MaxRemoved {
		next.horizon = next.removed[0].Version
		next.removed = next.removed[1:]
	}
	return next
}

// merge sets the files to the old ones without the dropped, and the added ones. It copies the
// ranges between them, so that a change of one file looks at few of the others.
func (f *Folder) merge(old *Folder, dropped []string, added []*File) {
	sortFiles(added)
	slices.Sort(dropped)
	f.files = make([]*File, 0, len(old.files)+len(added))
	done := 0 // old files that are copied or dropped
	for _, name := range slices.Compact(dropped) {
		i, present := old.find(name)
		f.files = append(f.files, old.files[done:i]...)
		done = i
		if present {
			f.size -= old.files[i].bytes()
			done++
		}
		if len(added) > 0 && added[0].Name == name {
			f.files = append(f.files, added[0])
			added = added[1:]
		}
	}
	f.files = append(f.files, old.files[done:]...)
}

// WithNumber returns the files whose names begin with the number, also with leading zeros up to the
// given number of digits, by name.
func (f *Folder) WithNumber(number uint64, digits int) []*File {
	var out []*File
	for width := digits; width >= len(strconv.FormatUint(number, 10)); width-- {
		prefix := fmt.Sprintf("%0*d", width, number)
		// Names in which a digit follows have another number. They lie between the two ranges.
		out = append(out, f.between(prefix, prefix+"0")...)
		for _, file := range f.between(prefix+":", "") {
			if !strings.HasPrefix(file.Name, prefix) {
				break
			}
			out = append(out, file)
		}
	}
	sortFiles(out)
	return out
}

// between returns the files from one name up to another, which is left out; empty for the end.
func (f *Folder) between(from, to string) []*File {
	i, _ := f.find(from)
	if to == "" {
		return f.files[i:]
	}
	j, _ := f.find(to)
	return f.files[i:j]
}

// Difference returns the files changed and the names removed after a version. It reports
// false when the removals since then are not all remembered.
func (f *Folder) Difference(from uint64) (changed []*File, removed []string, ok bool) {
	if from < f.horizon {
		return nil, nil, false
	}
	for _, file := range f.files {
		if file.Changed > from {
			changed = append(changed, file)
		}
	}
	for i := len(f.removed) - 1; i >= 0 && f.removed[i].Version > from; i-- {
		if name := f.removed[i].Name; f.Get(name) == nil {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return changed, slices.Compact(removed), true
}

// Digest returns the digest of the files and of the token keys.
func (f *Folder) Digest(keys []*controlpb.TokenKey) Sum {
	h := sha256.New()
	var b []byte
	for _, file := range f.files {
		b = appendString(b[:0], file.Name)
		h.Write(append(b, file.Sum[:]...))
	}
	for _, k := range keys {
		b = binary.BigEndian.AppendUint32(b[:0], k.GetId())
		b = binary.BigEndian.AppendUint64(b, uint64(k.GetSignsFromUnixMs()))
		h.Write(appendString(b, string(k.GetSecret())))
	}
	return Sum(h.Sum(nil))
}

func appendString(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
	return append(b, s...)
}

// Number returns the leading digits of a file name; empty if there are none.
func Number(name string) string {
	i := strings.IndexFunc(name, func(r rune) bool { return r < '0' || r > '9' })
	if i < 0 {
		return name
	}
	return name[:i]
}
