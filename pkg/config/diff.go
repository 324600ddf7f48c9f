package config

import (
	"fmt"
	"strings"

	"rosemarygate/pkg/strictyaml"
)

// ChangeKind tells what happened to a value.
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
	// Old and New are the values; secrets are masked, and a removed user, service or
	// class has neither.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
	// Interrupts tells that open flows end with the change: an address of a service goes.
	Interrupts bool `json:"interrupts_flows,omitempty"`
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
	if c.Interrupts {
		text += " (ends open flows)"
	}
	return text
}

// Diff returns what changes from a to b, in the order of the configuration: an added or
// changed value by itself, a removed user, service or class as one change. Version and
// digest are not compared.
func Diff(a, b *Config) []Change {
	before, after := values(a), values(b)
	var out []Change
	gone := ""
	strictyaml.Walk(a, "", func(v strictyaml.Value) {
		if gone != "" && strings.HasPrefix(v.Path, gone) {
			return
		}
		if _, kept := after[v.Path]; !kept && isEntry(v) {
			gone = v.Path + "."
			out = append(out, Change{Kind: Removed, Path: v.Path, Interrupts: endsFlows(v)})
			return
		}
		if v.Leaf {
			out = append(out, compare(v, after)...)
		}
	})
	strictyaml.Walk(b, "", func(v strictyaml.Value) {
		if _, known := before[v.Path]; !known && v.Leaf {
			out = append(out, Change{Kind: Added, Path: v.Path, New: v.Text()})
		}
	})
	return out
}

func values(c *Config) map[string]strictyaml.Value {
	out := map[string]strictyaml.Value{}
	strictyaml.Walk(c, "", func(v strictyaml.Value) { out[v.Path] = v })
	return out
}

func compare(v strictyaml.Value, after map[string]strictyaml.Value) []Change {
	now, kept := after[v.Path]
	switch {
	case !kept:
		return []Change{{Kind: Removed, Path: v.Path, Old: v.Text()}}
	case v.Raw.Interface() == now.Raw.Interface():
		return nil
	}
	return []Change{{Kind: Changed, Path: v.Path, Old: v.Text(), New: now.Text(), Interrupts: v.Key == "port"}}
}

// isEntry reports whether the value is a user, a service or a class. They are the
// elements of the maps at depth 0, 2 and 4.
func isEntry(v strictyaml.Value) bool {
	return !v.Leaf && v.Depth%2 == 1 && strings.HasPrefix(v.Path, "users.")
}

// endsFlows reports whether the removal of an entry takes away the address of a service.
func endsFlows(v strictyaml.Value) bool {
	switch entry := v.Raw.Interface().(type) {
	case User:
		return len(entry.Services) > 0
	case Service:
		return true
	}
	return false
}
