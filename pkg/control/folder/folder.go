// Package folder holds the accepted configuration as an immutable folder of files, with the
// versions at which they changed, so that the difference between two versions is cheap to compute.
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

// MaxRemovals is the number of removals that a folder records. A difference from a version before
// the oldest recorded removal cannot be computed.
const MaxRemovals = 4096

// Sum is a SHA-256 hash.
type Sum = [sha256.Size]byte

// File is one file of the folder. It is immutable.
type File struct {
	Name           string
	Data           []byte
	Sum            Sum    // of Data
	CreatedVersion uint64 // version that added the file
	ChangedVersion uint64 // version that last changed the file
}

// NewFile returns a file that takes over data without a copy.
func NewFile(name string, data []byte, created, changed uint64) *File {
	return &File{Name: name, Data: data, Sum: sha256.Sum256(data), CreatedVersion: created, ChangedVersion: changed}
}

// Removal records that a version removed a file.
type Removal struct {
	Name    string
	Version uint64
}

// Folder is a set of files. It is immutable.
type Folder struct {
	files      []*File   // by name
	removals   []Removal // by version; may contain files that were added again
	horizon    uint64    // removals up to this version are not recorded
	totalBytes int       // of all names and contents
}

// New returns a folder of the files. Removals up to the version horizon are not recorded.
func New(files []*File, removals []Removal, horizon uint64) *Folder {
	f := &Folder{files: slices.Clone(files), removals: removals, horizon: horizon}
	sortFiles(f.files)
	for _, file := range f.files {
		f.totalBytes += file.size()
	}
	return f
}

func sortFiles(files []*File) {
	slices.SortFunc(files, func(a, b *File) int { return strings.Compare(a.Name, b.Name) })
}

// size returns the size of the name and the content in bytes.
func (f *File) size() int { return len(f.Name) + len(f.Data) }

// Files returns the files sorted by name. The caller must not change the slice.
func (f *Folder) Files() []*File { return f.files }

// Removals returns the recorded removals, oldest first. The caller must not change the slice.
func (f *Folder) Removals() []Removal { return f.removals }

// RemovalHorizon returns the version up to which removals are not recorded.
func (f *Folder) RemovalHorizon() uint64 { return f.horizon }

// Size returns the size of all names and contents in bytes.
func (f *Folder) Size() int { return f.totalBytes }

// Get returns the file of a name, or nil.
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

// RemovedAfter reports whether a removal of the file is recorded after the given version.
func (f *Folder) RemovedAfter(name string, version uint64) bool {
	for i := len(f.removals) - 1; i >= 0 && f.removals[i].Version > version; i-- {
		if f.removals[i].Name == name {
			return true
		}
	}
	return false
}

// WithChange returns the folder after a version that adds or replaces the files in put and removes the
// files named in remove. The version becomes the changed version of the files in put. No name may
// occur twice.
func (f *Folder) WithChange(version uint64, put []*controlpb.File, remove []string) *Folder {
	next := &Folder{horizon: f.horizon, totalBytes: f.totalBytes, removals: slices.Clone(f.removals)}
	dropped := slices.Clone(remove)
	for _, name := range remove {
		if f.Get(name) != nil {
			next.removals = append(next.removals, Removal{name, version})
		}
	}
	added := make([]*File, 0, len(put))
	for _, p := range put {
		created := version
		if old := f.Get(p.GetName()); old != nil {
			created = old.CreatedVersion
		}
		file := NewFile(p.GetName(), p.GetData(), created, version)
		added = append(added, file)
		next.totalBytes += file.size()
		dropped = append(dropped, p.GetName())
	}
	next.merge(f, dropped, added)
	for len(next.removals) > MaxRemovals {
		next.horizon = next.removals[0].Version
		next.removals = next.removals[1:]
	}
	return next
}

// merge sets the files to those of old without the dropped names, and the added files. It copies
// the ranges between them, so that a change of one file does not compare all the others.
func (f *Folder) merge(old *Folder, dropped []string, added []*File) {
	sortFiles(added)
	slices.Sort(dropped)
	f.files = make([]*File, 0, len(old.files)+len(added))
	nextOld := 0 // old files that are copied or dropped
	for _, name := range slices.Compact(dropped) {
		i, present := old.find(name)
		f.files = append(f.files, old.files[nextOld:i]...)
		nextOld = i
		if present {
			f.totalBytes -= old.files[i].size()
			nextOld++
		}
		if len(added) > 0 && added[0].Name == name {
			f.files = append(f.files, added[0])
			added = added[1:]
		}
	}
	f.files = append(f.files, old.files[nextOld:]...)
}

// FilesWithNumber returns the files whose names begin with the number, sorted by name. It includes
// numbers with leading zeros up to the given number of digits.
func (f *Folder) FilesWithNumber(number uint64, digits int) []*File {
	var out []*File
	for width := digits; width >= len(strconv.FormatUint(number, 10)); width-- {
		prefix := fmt.Sprintf("%0*d", width, number)
		// Names with a digit after the prefix have another number. They sort between the two ranges.
		out = append(out, f.filesBetween(prefix, prefix+"0")...)
		for _, file := range f.filesBetween(prefix+":", "") {
			if !strings.HasPrefix(file.Name, prefix) {
				break
			}
			out = append(out, file)
		}
	}
	sortFiles(out)
	return out
}

// filesBetween returns the files from one name up to another, which is excluded. An empty name
// stands for the end.
func (f *Folder) filesBetween(from, to string) []*File {
	i, _ := f.find(from)
	if to == "" {
		return f.files[i:]
	}
	j, _ := f.find(to)
	return f.files[i:j]
}

// Difference returns the files changed and the names removed after a version. It returns false
// when not all removals since then are recorded.
func (f *Folder) Difference(from uint64) (changed []*File, removed []string, ok bool) {
	if from < f.horizon {
		return nil, nil, false
	}
	for _, file := range f.files {
		if file.ChangedVersion > from {
			changed = append(changed, file)
		}
	}
	for i := len(f.removals) - 1; i >= 0 && f.removals[i].Version > from; i-- {
		if name := f.removals[i].Name; f.Get(name) == nil {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return changed, slices.Compact(removed), true
}

// Digest returns the hash of the files and the token keys.
func (f *Folder) Digest(keys []*controlpb.TokenKey) Sum {
	h := sha256.New()
	var b []byte
	for _, file := range f.files {
		b = appendLengthPrefixed(b[:0], file.Name)
		h.Write(append(b, file.Sum[:]...))
	}
	for _, k := range keys {
		b = binary.BigEndian.AppendUint32(b[:0], k.GetId())
		b = binary.BigEndian.AppendUint64(b, uint64(k.GetSignsFromUnixMs()))
		h.Write(appendLengthPrefixed(b, string(k.GetSecret())))
	}
	return Sum(h.Sum(nil))
}

func appendLengthPrefixed(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
	return append(b, s...)
}

// LeadingDigits returns the digits at the start of a file name, which may be none.
func LeadingDigits(name string) string {
	i := strings.IndexFunc(name, func(r rune) bool { return r < '0' || r > '9' })
	if i < 0 {
		return name
	}
	return name[:i]
}
