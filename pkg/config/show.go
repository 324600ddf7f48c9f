package config

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"rosemarygate/pkg/strictyaml"
)

// Setting is one value of a configuration with its path and origin.
type Setting struct {
	Path string `json:"path"`
	// Value is the value as it is written in a file; secrets are masked.
	Value string `json:"value"`
	// Origin is "file:line" or "default".
	Origin string `json:"origin"`
}

// Settings returns all values in the order of the configuration.
func (c *Config) Settings() []Setting {
	var out []Setting
	strictyaml.Walk(c, "", func(v strictyaml.Value) {
		if v.Leaf {
			out = append(out, Setting{Path: v.Path, Value: v.Text(), Origin: c.Origin(v.Path).String()})
		}
	})
	return out
}

// WriteText writes one line for each value: path, value and origin.
func (c *Config) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, s := range c.Settings() {
		fmt.Fprintf(table, "%s\t%s\t%s\n", s.Path, s.Value, s.Origin)
	}
	return errors.WithStack(table.Flush())
}

// WriteJSON writes the digest and the list of values as one JSON object.
func (c *Config) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.WithStack(enc.Encode(struct {
		Digest string    `json:"digest"`
		Values []Setting `json:"values"`
	}{c.Digest, c.Settings()}))
}

// WriteYAML writes the merged configuration as one file, with the origin of each value as a
// comment. Secrets are masked, so the output cannot be loaded without editing.
func (c *Config) WriteYAML(w io.Writer) error {
	enc := yaml.NewEncoder(w)
	enc.SetIndent(2)
	if err := enc.Encode(c.annotatedTree()); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(enc.Close())
}

func (c *Config) annotatedTree() *yaml.Node {
	return c.buildTree(func(v strictyaml.Value) *yaml.Node {
		n := valueNode(v)
		if v.Leaf {
			n.LineComment = c.Origin(v.Path).String()
		}
		return n
	})
}

// buildTree builds a document from the nodes that newNode returns for the values; it leaves out a
// value whose node is nil.
func (c *Config) buildTree(newNode func(strictyaml.Value) *yaml.Node) *yaml.Node {
	root := &yaml.Node{Kind: yaml.MappingNode}
	nodes := map[string]*yaml.Node{"": root}
	strictyaml.Walk(c, "", func(v strictyaml.Value) {
		n := newNode(v)
		if n == nil {
			return
		}
		nodes[v.Path] = n
		parent := nodes[strings.TrimSuffix(strings.TrimSuffix(v.Path, v.Key), ".")]
		if parent.Kind == yaml.MappingNode {
			parent.Content = append(parent.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: v.Key})
		}
		parent.Content = append(parent.Content, n)
	})
	return root
}

func valueNode(v strictyaml.Value) *yaml.Node {
	if !v.Leaf {
		kind := yaml.MappingNode
		if v.Raw.Kind() == reflect.Slice {
			kind = yaml.SequenceNode
		}
		return &yaml.Node{Kind: kind}
	}
	n := &yaml.Node{Kind: yaml.ScalarNode, Value: v.Text()}
	if v.Raw.Kind() == reflect.String {
		n.SetString(v.Text())
	}
	return n
}

// Summary returns the numbers of users, services and classes as text.
func (c *Config) Summary() string {
	services := c.Services()
	classes := 0
	for _, e := range services {
		classes += len(e.Settings.Classes)
	}
	parts := []string{pluralize(len(c.Users), "user"), pluralize(len(services), "service"), pluralize(classes, "class")}
	return strings.Join(parts, ", ")
}

func pluralize(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	if strings.HasSuffix(noun, "s") {
		noun += "e"
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
