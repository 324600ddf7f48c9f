// Package strictyaml decodes YAML into structs and rejects all keys and values that the struct does not
// describe. It reports all faults of a file at once, each with its file, line and remedy, and records
// the file and line of every value that was set.
//
// Struct tags describe a field: yaml (the key), limit ("min..max", inclusive), default,
// unit, secret ("true" masks the value in output), required ("true") and keys (the kind of
// object that the keys of a map name).
package strictyaml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kind is the kind of a fault.
type Kind int

// Kinds of faults.
const (
	Syntax       Kind = iota + 1 // the file is not YAML or uses an unsupported feature of YAML
	UnknownKey                   // a key without a field
	DuplicateKey                 // a key that occurs twice in one mapping
	BadValue                     // a value of the wrong type or unit
	OutOfRange                   // a value beyond its limits
	Missing                      // a required value is absent
	Conflict                     // two values that exclude each other
	Unreadable                   // a file or folder that cannot be read or is too large
)

// Error is one fault of a file.
type Error struct {
	Kind    Kind
	File    string
	Line    int    // counted from 1; 0 if the fault concerns the whole file
	Path    string // keys from the root to the value, joined by dots; empty for the whole file
	Problem string
	Remedy  string
}

// Error returns "file:line: path: problem: remedy".
func (e *Error) Error() string {
	var b strings.Builder
	if e.File != "" {
		b.WriteString(e.File)
		if e.Line > 0 {
			fmt.Fprintf(&b, ":%d", e.Line)
		}
		b.WriteString(": ")
	}
	if e.Path != "" {
		b.WriteString(e.Path + ": ")
	}
	b.WriteString(e.Problem)
	if e.Remedy != "" {
		b.WriteString(": " + e.Remedy)
	}
	return b.String()
}

// Errors is a list of faults.
type Errors []*Error

// Error returns one line for each fault.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, fault := range e {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err sorts the list by file, line and path and returns it as an error, or nil if it is empty.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	slices.SortStableFunc(e, func(a, b *Error) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), strings.Compare(a.Path, b.Path))
	})
	return e
}

// MaxFaults is the largest number of faults in a list. A file of 1 MiB can have 100,000 faults, whose
// text would be ten times as large as the file.
const MaxFaults = 1000

// Add appends a fault of the value at path, which has the given origin.
func (e *Errors) Add(kind Kind, origin Origin, path, problem, remedy string) {
	e.Append(Errors{{Kind: kind, File: origin.File, Line: origin.Line, Path: path, Problem: problem, Remedy: remedy}})
}

// Append appends faults up to MaxFaults, and one more that reports the excess.
func (e *Errors) Append(faults Errors) {
	for _, fault := range faults {
		if len(*e) > MaxFaults {
			return
		}
		if len(*e) == MaxFaults {
			fault = &Error{Kind: Unreadable, Problem: fmt.Sprintf("there are more than %d errors", MaxFaults), Remedy: "correct those listed and check again"}
		}
		*e = append(*e, fault)
	}
}

// Origin is the file and line that set a value.
type Origin struct {
	File string
	Line int
}

// String returns "file:line", or "default" for a value that no file sets.
func (o Origin) String() string {
	if o.File == "" {
		return "default"
	}
	return fmt.Sprintf("%s:%d", o.File, o.Line)
}

// Origins maps the paths of values and mappings to their origins.
type Origins map[string]Origin

// Nearest returns the origin of the value at path or, if no file set the value, the origin of the
// innermost mapping that contains it.
func (o Origins) Nearest(path string) Origin {
	for path != "" {
		if origin, ok := o[path]; ok {
			return origin
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return o[""]
}

// Join returns the path of a key in the mapping at path.
func Join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
