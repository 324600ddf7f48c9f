package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// MaxFileBytes is the largest file that Decode accepts.
const MaxFileBytes = 1 << 20

// MaxElements bounds a list.
const MaxElements = 1024

// namePattern is that of a DNS label, so that a name fits in paths, metrics and certificates.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const nameRemedy = "use 1 to 63 lower-case letters, digits and dashes, with no dash at either end"

// ValidName reports whether a name is a DNS label in lower case.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// CheckName reports a name that ValidName refuses.
func CheckName(errs *Errors, at Origin, path, what, name string) {
	if !ValidName(name) {
		errs.Add(BadValue, at, path, fmt.Sprintf("%s name %q is not valid", what, clip(name)), nameRemedy)
	}
}

// Decode sets the fields of the struct that into points to from a YAML file. It returns
// the origin of each value that the file sets and all faults of the file. The contents of
// into are not to be used when there are faults.
func Decode(file string, data []byte, into any) (Origins, Errors) {
	d := &decoder{file: file, origins: Origins{}}
	root := d.parse(data)
	if root != nil {
		d.value(root, reflect.ValueOf(into).Elem(), "", "")
	}
	return d.origins, d.errs
}

type decoder struct {
	file    string
	origins Origins
	errs    Errors
}

func (d *decoder) fault(kind Kind, line int, path, problem, remedy string) {
	d.errs.Add(kind, Origin{File: d.file, Line: line}, path, problem, remedy)
}

func (d *decoder) parse(data []byte) *yaml.Node {
	if len(data) > MaxFileBytes {
		d.fault(Unreadable, 0, "", fmt.Sprintf("file has %d bytes, more than %d", len(data), MaxFileBytes), "split it into several files")
		return nil
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	err := dec.Decode(&doc)
	if errors.Is(err, io.EOF) {
		d.fault(Missing, 0, "", "file sets no value", "add a key or delete the file")
		return nil
	}
	if err != nil {
		d.syntax(err)
		return nil
	}
	var next yaml.Node
	if err := dec.Decode(&next); err == nil {
		d.fault(Syntax, next.Line, "", "file has a second document", "put it into a file of its own")
	} else if !errors.Is(err, io.EOF) {
		d.syntax(err)
	}
	return doc.Content[0]
}

var linePattern = regexp.MustCompile(`line (\d+): *`)

// syntax takes the line number out of the parser's message.
func (d *decoder) syntax(err error) {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	line := 0
	if m := linePattern.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = strings.Replace(text, m[0], "", 1)
	}
	d.fault(Syntax, line, "", "file is not valid YAML: "+text, "correct this line or the line before it")
}

func (d *decoder) value(n *yaml.Node, v reflect.Value, path string, tag reflect.StructTag) {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		d.fault(Syntax, n.Line, path, "anchors and aliases are not accepted", "write the value out")
		return
	}
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		d.fault(BadValue, n.Line, path, "value is empty", "give a value or delete the key")
		return
	}
	if n.Style&yaml.TaggedStyle != 0 {
		d.fault(Syntax, n.Line, path, "explicit type "+clip(n.Tag)+" is not accepted", "delete it")
		return
	}
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			v.Set(reflect.New(v.Type().Elem()))
		}
		v = v.Elem()
	}
	switch {
	case isScalar(v):
		d.scalar(n, v, path, tag)
	case v.Kind() == reflect.Struct:
		d.structure(n, v, path)
	case v.Kind() == reflect.Map:
		d.mapping(n, v, path, tag)
	case v.Kind() == reflect.Slice:
		d.list(n, v, path, tag)
	}
}

// pairs calls visit for each key of a mapping that occurs for the first time.
func (d *decoder) pairs(n *yaml.Node, path string, visit func(key, value *yaml.Node)) {
	if n.Kind != yaml.MappingNode {
		d.fault(BadValue, n.Line, path, "value is not a mapping", "write keys and values, indented below the key")
		return
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		if key.Kind != yaml.ScalarNode || key.Anchor != "" || key.Tag == "!!merge" {
			d.fault(Syntax, key.Line, path, "key is not a plain word", "write the key out")
			continue
		}
		if line, ok := seen[key.Value]; ok {
			problem := fmt.Sprintf("key was already given in line %d", line)
			d.fault(DuplicateKey, key.Line, Join(path, clip(key.Value)), problem, "delete one of the two")
			continue
		}
		seen[key.Value] = key.Line
		visit(key, n.Content[i+1])
	}
}

func (d *decoder) structure(n *yaml.Node, v reflect.Value, path string) {
	d.enter(n, path)
	fields := Fields(v.Type())
	d.pairs(n, path, func(key, value *yaml.Node) {
		f, ok := find(fields, key.Value)
		if !ok {
			problem := fmt.Sprintf("key %q is unknown", clip(key.Value))
			d.fault(UnknownKey, key.Line, path, problem, "the keys here are "+keyList(fields))
			return
		}
		at := Join(path, key.Value)
		// A faulty value is recorded too, so that it is not also reported as missing.
		d.origins[at] = Origin{File: d.file, Line: key.Line}
		d.value(value, v.FieldByIndex(f.Index), at, f.Tag)
	})
}

// enter records where a mapping begins, so that a missing key can name a line.
func (d *decoder) enter(n *yaml.Node, path string) {
	if _, ok := d.origins[path]; !ok {
		d.origins[path] = Origin{File: d.file, Line: n.Line}
	}
}

func (d *decoder) mapping(n *yaml.Node, v reflect.Value, path string, tag reflect.StructTag) {
	if v.IsNil() {
		v.Set(reflect.MakeMap(v.Type()))
	}
	what := tag.Get("keys")
	d.pairs(n, path, func(key, value *yaml.Node) {
		if !ValidName(key.Value) {
			d.fault(BadValue, key.Line, path, fmt.Sprintf("%s name %q is not valid", what, clip(key.Value)), nameRemedy)
			return
		}
		at := Join(path, key.Value)
		d.origins[at] = Origin{File: d.file, Line: key.Line}
		element := reflect.New(v.Type().Elem()).Elem()
		d.value(value, element, at, "")
		if element.Kind() == reflect.Pointer && element.IsNil() {
			return
		}
		v.SetMapIndex(reflect.ValueOf(key.Value), element)
	})
}

func (d *decoder) list(n *yaml.Node, v reflect.Value, path string, tag reflect.StructTag) {
	if n.Kind != yaml.SequenceNode {
		d.fault(BadValue, n.Line, path, "value is not a list", "write one element in each line, each after a dash")
		return
	}
	if len(n.Content) > MaxElements {
		d.fault(OutOfRange, n.Line, path, fmt.Sprintf("list has %d elements", len(n.Content)), fmt.Sprintf("give at most %d", MaxElements))
		return
	}
	out := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, element := range n.Content {
		at := fmt.Sprintf("%s[%d]", path, i)
		d.origins[at] = Origin{File: d.file, Line: element.Line}
		d.value(element, out.Index(i), at, tag)
	}
	v.Set(out)
}

func keyList(fields []Field) string {
	keys := make([]string, len(fields))
	for i, f := range fields {
		keys[i] = f.Key
	}
	sort.Strings(keys)
	return strings.Join(keys, ", ")
}

// clip shortens text that comes from a file before it enters a message.
func clip(s string) string {
	const most = 80 // bytes
	if len(s) <= most {
		return s
	}
	return strings.ToValidUTF8(s[:most], "") + "..."
}
