// Package strictyaml decodes YAML into structs and refuses everything that the struct
// does not describe. It reports all errors of a file at once, each with its file, line
// and remedy, and records the file and line of every value that was set.
//
// Struct tags describe a field: yaml (the key), limit ("min..max", inclusive), default,
// unit, secret ("true" masks the value in output), required ("true") and keys (what the
// keys of a map name).
package strictyaml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kind tells apart the errors of a file.
type Kind int

// Kinds of errors.
const (
	Syntax       Kind = iota + 1 // the file is not YAML, or uses a part of YAML that is not accepted
	UnknownKey                   // a key that no field has
	DuplicateKey                 // a key twice in one mapping
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
	Line    int    // 1 is the first; 0 when the error concerns the whole file
	Path    string // keys that lead to the value, joined by dots; empty for the whole file
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
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, sorted by file, line and path, or nil when it is empty.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	slices.SortStableFunc(e, func(a, b *Error) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), strings.Compare(a.Path, b.Path))
	})
	return e
}

// MaxFaults bounds a list of faults. A file of 1 MiB can hold 100,000 faults, whose text
// would be ten times as large as the file.
const MaxFaults = 1000

// Add appends a fault of the value at path, which was set at the given origin.
func (e *Errors) Add(kind Kind, at Origin, path, problem, remedy string) {
	e.Append(Errors{{Kind: kind, File: at.File, Line: at.Line, Path: path, Problem: problem, Remedy: remedy}})
}

// Append appends faults up to MaxFaults and then one that says that there are more.
func (e *Errors) Append(more Errors) {
	for _, one := range more {
		if len(*e) > MaxFaults {
			return
		}
		if len(*e) == MaxFaults {
			one = &Error{Kind: Unreadable, Problem: fmt.Sprintf("there are more than %d errors", MaxFaults), Remedy: "correct those listed and check again"}
		}
		*e = append(*e, one)
	}
}

// Origin is the place where a value was set.
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

// Origins maps the path of each value and mapping to the place where it was set.
type Origins map[string]Origin

// Nearest returns the origin of the value at path or, when no file set it, that of the
// innermost mapping around it.
func (o Origins) Nearest(path string) Origin {
	for path != "" {
		if at, ok := o[path]; ok {
			return at
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return o[""]
}

// Join returns the path of a key below a path.
func Join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
