package config

import (
	"fmt"
	"strings"

	"rosemarygate/pkg/strictyaml"
)

// ChangeKind is the kind of a change.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	Kind ChangeKind `json:"kind"`
	Path string     `json:"path"`
	// Old and New are the values, with secrets masked. Both are empty for a removed user, service
	// or class.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
	// InterruptsFlows reports whether the change ends open flows, since it removes an address of a
	// service.
	InterruptsFlows bool `json:"interrupts_flows,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	var text string
	switch {
	case c.Kind == Added:
		text = fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.Kind == Removed && c.Old == "":
		text = "- " + c.Path
	case c.Kind == Removed:
		text = fmt.Sprintf("- %s: %s", c.Path, c.Old)
	default:
		text = fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
	}
	if c.InterruptsFlows {
		text += " (ends open flows)"
	}
	return text
}

// Diff returns the changes from a to b in the order of the configuration. Each added or changed
// value is one change, and so is a removed user, service or class as a whole. Version and digest
// are not compared.
func Diff(a, b *Config) []Change {
	before, after := valuesByPath(a), valuesByPath(b)
	var out []Change
	removedPrefix := ""
	strictyaml.Walk(a, "", func(v strictyaml.Value) {
		if removedPrefix != "" && strings.HasPrefix(v.Path, removedPrefix) {
			return
		}
		if _, found := after[v.Path]; !found && isEntry(v) {
			removedPrefix = v.Path + "."
			out = append(out, Change{Kind: Removed, Path: v.Path, InterruptsFlows: endsFlows(v)})
			return
		}
		if v.Leaf {
			out = append(out, compareLeaf(v, after)...)
		}
	})
	strictyaml.Walk(b, "", func(v strictyaml.Value) {
		if _, found := before[v.Path]; !found && v.Leaf {
			out = append(out, Change{Kind: Added, Path: v.Path, New: v.Text()})
		}
	})
	return out
}

func valuesByPath(c *Config) map[string]strictyaml.Value {
	out := map[string]strictyaml.Value{}
	strictyaml.Walk(c, "", func(v strictyaml.Value) { out[v.Path] = v })
	return out
}

func compareLeaf(v strictyaml.Value, after map[string]strictyaml.Value) []Change {
	current, found := after[v.Path]
	switch {
	case !found:
		return []Change{{Kind: Removed, Path: v.Path, Old: v.Text()}}
	case v.Raw.Interface() == current.Raw.Interface():
		return nil
	}
	return []Change{{Kind: Changed, Path: v.Path, Old: v.Text(), New: current.Text(), InterruptsFlows: v.Key == "port"}}
}

// isEntry reports whether the value is a user, a service or a class. They are the elements of the
// maps at depths 0, 2 and 4.
func isEntry(v strictyaml.Value) bool {
	return !v.Leaf && v.Depth%2 == 1 && strings.HasPrefix(v.Path, "users.")
}

// endsFlows reports whether the removal of an entry removes the address of a service.
func endsFlows(v strictyaml.Value) bool {
	switch entry := v.Raw.Interface().(type) {
	case User:
		return len(entry.Services) > 0
	case Service:
		return true
	}
	return false
}
