package strictyaml

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"
)

// Mask replaces secrets in output. It is shorter than any valid secret, so that masked output is not
// accepted as configuration.
const Mask = "******"

// Value is a scalar, list or mapping of a struct.
type Value struct {
	Path   string
	Key    string // last part of the path
	Depth  int    // 0 for the keys of the root
	Leaf   bool   // a scalar; false for a mapping or a list
	Secret bool
	Raw    reflect.Value
}

// Text returns the value as it is written in a file, or Mask for a secret.
func (v Value) Text() string {
	if v.Secret {
		return Mask
	}
	if d, ok := v.Raw.Interface().(time.Duration); ok {
		return durationText(d)
	}
	return fmt.Sprint(v.Raw.Interface())
}

// durationText returns a duration without trailing zero units, which Duration.String includes as in
// 1h0m0s.
func durationText(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// Walk visits the values of the struct that v points to: fields in the order of their declaration, maps
// in the order of their keys, and each mapping and list before its contents. Empty strings, lists and
// maps and the value false are skipped.
func Walk(v any, path string, visit func(Value)) {
	walkStruct(reflect.ValueOf(v).Elem(), path, 0, visit)
}

func walkStruct(v reflect.Value, path string, depth int, visit func(Value)) {
	for _, f := range Fields(v.Type()) {
		walkValue(v.FieldByIndex(f.Index), Join(path, f.Key), f.Key, depth, f.Secret, visit)
	}
}

func walkValue(v reflect.Value, path, key string, depth int, secret bool, visit func(Value)) {
	if v.Kind() == reflect.Pointer {
		v = v.Elem()
	}
	scalar := isScalar(v)
	if isAbsent(v, scalar) {
		return
	}
	visit(Value{Path: path, Key: key, Depth: depth, Leaf: scalar, Secret: secret, Raw: v})
	if scalar {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		walkStruct(v, path, depth+1, visit)
	case reflect.Map:
		for _, k := range sortedKeys(v) {
			walkValue(v.MapIndex(k), Join(path, k.String()), k.String(), depth+1, false, visit)
		}
	case reflect.Slice:
		for i := range v.Len() {
			element := fmt.Sprintf("[%d]", i)
			walkValue(v.Index(i), path+element, element, depth+1, secret, visit)
		}
	}
}

func isAbsent(v reflect.Value, scalar bool) bool {
	switch v.Kind() {
	case reflect.Map, reflect.Slice:
		return v.Len() == 0
	case reflect.String, reflect.Bool:
		return v.IsZero()
	}
	return !scalar && !v.IsValid()
}

func sortedKeys(m reflect.Value) []reflect.Value {
	keys := m.MapKeys()
	sort.Slice(keys, func(i, j int) bool { return keys[i].String() < keys[j].String() })
	return keys
}

// RemoveAll removes the origins of path and of all values below it. v points to the struct at path.
func (o Origins) RemoveAll(v any, path string) {
	Walk(v, path, func(value Value) { delete(o, value.Path) })
	delete(o, path)
}

// Require reports the required fields of a struct that have their zero value and no origin. A zero value
// that a file sets is not missing.
func Require(errs *Errors, v any, path string, origins Origins) {
	s := reflect.ValueOf(v).Elem()
	for _, f := range Fields(s.Type()) {
		fieldPath := Join(path, f.Key)
		field := s.FieldByIndex(f.Index)
		if field.Kind() == reflect.Struct && !isScalar(field) {
			Require(errs, field.Addr().Interface(), fieldPath, origins)
			continue
		}
		if _, isSet := origins[fieldPath]; isSet || !f.Required || !isUnset(field) {
			continue
		}
		errs.Add(Missing, origins.Nearest(fieldPath), fieldPath, "value is missing", "add the key "+f.Key)
	}
}

func isUnset(v reflect.Value) bool {
	if v.Kind() == reflect.Map {
		return v.Len() == 0
	}
	return v.IsZero()
}
