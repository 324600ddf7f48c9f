package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"rosemarygate/pkg/strictyaml"
)

// Limits of a folder.
const (
	MaxFiles       = 100_000 // one for each of 24,000 services and 44,000 changes a day
	MaxFileBytes   = strictyaml.MaxFileBytes
	MaxFolderBytes = 64 << 20
	MaxFileNumber  = 999_999_999
)

var fileNamePattern = regexp.MustCompile(`^([0-9]{1,9})-[a-z0-9][a-z0-9._-]{0,99}\.yaml$`)

// File is one file of a folder.
type File struct {
	Name string // number, dash, name and ".yaml", without a path
	Data []byte
}

// Number returns the number at the start of the file's name, or false when the name is not valid.
func (f File) Number() (int, bool) {
	m := fileNamePattern.FindStringSubmatch(f.Name)
	if m == nil {
		return 0, false
	}
	n, err := strconv.Atoi(m[1])
	return n, err == nil
}

// Folder is a set of configuration files in the order of their numbers. It is immutable.
type Folder struct {
	files  []File
	digest string
}

// Load reads the files of a folder. It ignores names that begin with a dot and names that end
// neither in .yaml nor in .yml, so that notes and editor files may be in the folder. The error
// lists every invalid file.
func Load(dir string) (*Folder, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, unreadableError(dir, "folder cannot be read: "+cause(err), "name an existing folder of configuration files")
	}
	var files []File
	var errs strictyaml.Errors
	total := int64(0)
	for _, e := range entries {
		if !isYAML(e.Name()) {
			continue
		}
		if len(files) > MaxFiles || total > MaxFolderBytes {
			break // checkSize reports it
		}
		data, err := readFile(filepath.Join(dir, e.Name()))
		if err != nil {
			errs.Add(strictyaml.Unreadable, strictyaml.Origin{File: e.Name()}, "", "file cannot be read: "+cause(err), "make it a readable regular file or rename it")
			continue
		}
		total += int64(len(data))
		files = append(files, File{Name: e.Name(), Data: data})
	}
	folder, faults := buildFolder(files)
	errs.Append(faults)
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return folder, nil
}

// LoadConfig reads and merges a folder.
func LoadConfig(dir string) (*Config, error) {
	f, err := Load(dir)
	if err != nil {
		return nil, err
	}
	return f.Merge()
}

// FromFiles returns the folder of the given files, in any order. The error lists all invalid
// names, equal numbers and sizes beyond the limits.
func FromFiles(files []File) (*Folder, error) {
	folder, errs := buildFolder(files)
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return folder, nil
}

// Files returns the files in the order of their numbers. The caller must not change their data.
func (f *Folder) Files() []File { return slices.Clone(f.files) }

// Digest returns a SHA-256 hash of the names and contents, in hexadecimal.
func (f *Folder) Digest() string { return f.digest }

// NextNumber returns the highest number of the folder plus 1.
func (f *Folder) NextNumber() int { return nextNumber(f.files) }

func buildFolder(files []File) (*Folder, strictyaml.Errors) {
	var errs strictyaml.Errors
	var valid []File
	checkSize(&errs, files) // first, since the list of faults is limited in length
	for _, f := range files {
		if checkFile(&errs, f) {
			valid = append(valid, f)
		}
	}
	slices.SortStableFunc(valid, func(a, b File) int {
		x, _ := a.Number()
		y, _ := b.Number()
		return cmp.Or(cmp.Compare(x, y), strings.Compare(a.Name, b.Name))
	})
	checkNumbers(&errs, valid)
	return &Folder{files: valid, digest: digest(valid)}, errs
}

func checkFile(errs *strictyaml.Errors, f File) bool {
	origin := strictyaml.Origin{File: f.Name}
	if _, ok := f.Number(); !ok {
		errs.Add(strictyaml.BadValue, origin, "", "file name is not valid",
			"name it with a number, a dash, a name of lower-case letters, digits, dots, dashes and underscores, and .yaml, such as 10-label.yaml")
		return false
	}
	if len(f.Data) > MaxFileBytes {
		errs.Add(strictyaml.Unreadable, origin, "", fmt.Sprintf("file is larger than %d bytes", MaxFileBytes), "split it into several files")
		return false
	}
	return true
}

func checkNumbers(errs *strictyaml.Errors, sorted []File) {
	next := nextNumber(sorted)
	for i := 1; i < len(sorted); i++ {
		a, _ := sorted[i-1].Number()
		b, _ := sorted[i].Number()
		if a != b {
			continue
		}
		errs.Add(strictyaml.Conflict, strictyaml.Origin{File: sorted[i].Name}, "",
			fmt.Sprintf("number %d is already used by %s", b, sorted[i-1].Name),
			fmt.Sprintf("rename this file to the next free number, %02d", next))
		next++
	}
}

func checkSize(errs *strictyaml.Errors, files []File) {
	total := 0
	for _, f := range files {
		total += len(f.Data)
	}
	origin := strictyaml.Origin{}
	if len(files) > MaxFiles {
		errs.Add(strictyaml.Unreadable, origin, "", fmt.Sprintf("folder has more than %d files", MaxFiles), "merge old files into one")
	}
	if total > MaxFolderBytes {
		errs.Add(strictyaml.Unreadable, origin, "", fmt.Sprintf("folder has more than %d bytes", MaxFolderBytes), "merge old files into one")
	}
}

func nextNumber(files []File) int {
	highest := 0
	for _, f := range files {
		if n, ok := f.Number(); ok && n > highest {
			highest = n
		}
	}
	return highest + 1
}

// digest hashes the length of each name and content before its bytes, so that different folders
// never hash the same bytes.
func digest(files []File) string {
	h := sha256.New()
	var length [8]byte
	for _, f := range files {
		for _, part := range [][]byte{[]byte(f.Name), f.Data} {
			binary.BigEndian.PutUint64(length[:], uint64(len(part)))
			h.Write(length[:])
			h.Write(part)
		}
	}
	return hex.EncodeToString(h.Sum(nil))
}

func isYAML(name string) bool {
	if strings.HasPrefix(name, ".") {
		return false
	}
	return strings.HasSuffix(name, ".yaml") || strings.HasSuffix(name, ".yml")
}

// readFile reads at most one byte over the size limit, so that a large file does not fill the
// memory.
func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("it is not a regular file")
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
}

// cause returns the reason of a file error without the path, which the fault contains already.
func cause(err error) string {
	if p, ok := err.(*os.PathError); ok {
		return p.Err.Error()
	}
	return err.Error()
}

func unreadableError(path, problem, remedy string) error {
	var errs strictyaml.Errors
	errs.Add(strictyaml.Unreadable, strictyaml.Origin{File: path}, "", problem, remedy)
	return errs
}
