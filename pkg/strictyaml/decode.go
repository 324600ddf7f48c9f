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

// MaxFileBytes is the size of the largest file that Decode accepts.
const MaxFileBytes = 1 << 20

// MaxListElements is the largest number of elements in a list.
const MaxListElements = 1024

// namePattern matches lower-case DNS labels, which are valid in paths, metrics and certificates.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const nameRemedy = "use 1 to 63 lower-case letters, digits and dashes, with no dash at either end"

// ValidName reports whether a name is a lower-case DNS label.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// CheckName adds a fault if a name is not valid.
func CheckName(errs *Errors, origin Origin, path, kind, name string) {
	if !ValidName(name) {
		errs.Add(BadValue, origin, path, fmt.Sprintf("%s name %q is not valid", kind, truncate(name)), nameRemedy)
	}
}

// Decode sets the fields of the struct that target points to from a YAML file. It returns the origin of
// each value that the file sets, and all faults of the file. If there are faults, the contents of target
// must not be used.
func Decode(file string, data []byte, target any) (Origins, Errors) {
	d := &decoder{file: file, origins: Origins{}}
	root := d.parse(data)
	if root != nil {
		d.decodeValue(root, reflect.ValueOf(target).Elem(), "", "")
	}
	return d.origins, d.errs
}

type decoder struct {
	file    string
	origins Origins
	errs    Errors
}

func (d *decoder) report(kind Kind, line int, path, problem, remedy string) {
	d.errs.Add(kind, Origin{File: d.file, Line: line}, path, problem, remedy)
}

func (d *decoder) parse(data []byte) *yaml.Node {
	if len(data) > MaxFileBytes {
		d.report(Unreadable, 0, "", fmt.Sprintf("file has %d bytes, more than %d", len(data), MaxFileBytes), "split it into several files")
		return nil
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	err := dec.Decode(&doc)
	if errors.Is(err, io.EOF) {
		d.report(Missing, 0, "", "file sets no value", "add a key or delete the file")
		return nil
	}
	if err != nil {
		d.reportSyntax(err)
		return nil
	}
	var next yaml.Node
	if err := dec.Decode(&next); err == nil {
		d.report(Syntax, next.Line, "", "file has a second document", "put it into a file of its own")
	} else if !errors.Is(err, io.EOF) {
		d.reportSyntax(err)
	}
	return doc.Content[0]
}

var linePattern = regexp.MustCompile(`line (\d+): *`)

// reportSyntax reports an error of the YAML parser and extracts the line number from its message.
func (d *decoder) reportSyntax(err error) {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	line := 0
	if m := linePattern.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = strings.Replace(text, m[0], "", 1)
	}
	d.report(Syntax, line, "", "file is not valid YAML: "+text, "correct this line or the line before it")
}

func (d *decoder) decodeValue(n *yaml.Node, v reflect.Value, path string, tag reflect.StructTag) {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		d.report(Syntax, n.Line, path, "anchors and aliases are not accepted", "write the value out")
		return
	}
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		d.report(BadValue, n.Line, path, "value is empty", "give a value or delete the key")
		return
	}
	if n.Style&yaml.TaggedStyle != 0 {
		d.report(Syntax, n.Line, path, "explicit type "+truncate(n.Tag)+" is not accepted", "delete it")
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
		d.decodeScalar(n, v, path, tag)
	case v.Kind() == reflect.Struct:
		d.decodeStruct(n, v, path)
	case v.Kind() == reflect.Map:
		d.decodeMap(n, v, path, tag)
	case v.Kind() == reflect.Slice:
		d.decodeList(n, v, path, tag)
	}
}

// visitPairs calls visit for each key of a mapping and its value. Duplicate keys are reported instead.
func (d *decoder) visitPairs(n *yaml.Node, path string, visit func(key, value *yaml.Node)) {
	if n.Kind != yaml.MappingNode {
		d.report(BadValue, n.Line, path, "value is not a mapping", "write keys and values, indented below the key")
		return
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		if key.Kind != yaml.ScalarNode || key.Anchor != "" || key.Tag == "!!merge" {
			d.report(Syntax, key.Line, path, "key is not a plain word", "write the key out")
			continue
		}
		if line, ok := seen[key.Value]; ok {
			problem := fmt.Sprintf("key was already given in line %d", line)
			d.report(DuplicateKey, key.Line, Join(path, truncate(key.Value)), problem, "delete one of the two")
			continue
		}
		seen[key.Value] = key.Line
		visit(key, n.Content[i+1])
	}
}

func (d *decoder) decodeStruct(n *yaml.Node, v reflect.Value, path string) {
	d.recordOrigin(n, path)
	fields := Fields(v.Type())
	d.visitPairs(n, path, func(key, value *yaml.Node) {
		f, ok := findField(fields, key.Value)
		if !ok {
			problem := fmt.Sprintf("key %q is unknown", truncate(key.Value))
			d.report(UnknownKey, key.Line, path, problem, "the keys here are "+keyList(fields))
			return
		}
		fieldPath := Join(path, key.Value)
		// The origin of a faulty value is recorded too, so that the value is not also reported as missing.
		d.origins[fieldPath] = Origin{File: d.file, Line: key.Line}
		d.decodeValue(value, v.FieldByIndex(f.Index), fieldPath, f.Tag)
	})
}

// recordOrigin records the line at which a mapping begins, for the reports of missing keys.
func (d *decoder) recordOrigin(n *yaml.Node, path string) {
	if _, ok := d.origins[path]; !ok {
		d.origins[path] = Origin{File: d.file, Line: n.Line}
	}
}

func (d *decoder) decodeMap(n *yaml.Node, v reflect.Value, path string, tag reflect.StructTag) {
	if v.IsNil() {
		v.Set(reflect.MakeMap(v.Type()))
	}
	kind := tag.Get("keys")
	d.visitPairs(n, path, func(key, value *yaml.Node) {
		if !ValidName(key.Value) {
			d.report(BadValue, key.Line, path, fmt.Sprintf("%s name %q is not valid", kind, truncate(key.Value)), nameRemedy)
			return
		}
		elementPath := Join(path, key.Value)
		d.origins[elementPath] = Origin{File: d.file, Line: key.Line}
		element := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(value, element, elementPath, "")
		if element.Kind() == reflect.Pointer && element.IsNil() {
			return
		}
		v.SetMapIndex(reflect.ValueOf(key.Value), element)
	})
}

func (d *decoder) decodeList(n *yaml.Node, v reflect.Value, path string, tag reflect.StructTag) {
	if n.Kind != yaml.SequenceNode {
		d.report(BadValue, n.Line, path, "value is not a list", "write one element in each line, each after a dash")
		return
	}
	if len(n.Content) > MaxListElements {
		d.report(OutOfRange, n.Line, path, fmt.Sprintf("list has %d elements", len(n.Content)), fmt.Sprintf("give at most %d", MaxListElements))
		return
	}
	out := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, element := range n.Content {
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		d.origins[elementPath] = Origin{File: d.file, Line: element.Line}
		d.decodeValue(element, out.Index(i), elementPath, tag)
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

// truncate limits the length of text from a file that is quoted in a message.
func truncate(s string) string {
	const maxBytes = 80
	if len(s) <= maxBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxBytes], "") + "..."
}
