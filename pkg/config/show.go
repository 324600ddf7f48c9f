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

// Setting is one value of a configuration with the place that set it.
type Setting struct {
	Path string `json:"path"`
	// Value is the value as a file would have it; secrets are masked.
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

// WriteYAML writes the merged configuration in the form of one file, with the origin of
// each value as a comment. Secrets are masked, so the output cannot be loaded as it is.
func (c *Config) WriteYAML(w io.Writer) error {
	enc := yaml.NewEncoder(w)
	enc.SetIndent(2)
	if err := enc.Encode(c.tree()); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(enc.Close())
}

func (c *Config) tree() *yaml.Node {
	return c.treeOf(func(v strictyaml.Value) *yaml.Node {
		n := valueNode(v)
		if v.Leaf {
			n.LineComment = c.Origin(v.Path).String()
		}
		return n
	})
}

// treeOf builds a document of the nodes of the values, without those that are nil.
func (c *Config) treeOf(node func(strictyaml.Value) *yaml.Node) *yaml.Node {
	root := &yaml.Node{Kind: yaml.MappingNode}
	nodes := map[string]*yaml.Node{"": root}
	strictyaml.Walk(c, "", func(v strictyaml.Value) {
		n := node(v)
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

// Summary returns the sizes of the configuration in words.
func (c *Config) Summary() string {
	services := c.Services()
	classes := 0
	for _, e := range services {
		classes += len(e.Settings.Classes)
	}
	parts := []string{count(len(c.Users), "user"), count(len(services), "service"), count(classes, "class")}
	return strings.Join(parts, ", ")
}

func count(n int, what string) string {
	if n == 1 {
		return "1 " + what
	}
	if strings.HasSuffix(what, "s") {
		what += "e"
	}
	return fmt.Sprintf("%d %ss", n, what)
}
