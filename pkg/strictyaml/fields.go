package strictyaml

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"go.yaml.in/yaml/v3"
)

// Field is a struct field that a file can set.
type Field struct {
	Key      string
	Index    []int
	Type     reflect.Type
	Tag      reflect.StructTag
	Required bool
	Default  string // empty if the field has none
	Secret   bool
}

// fieldCache maps struct types to their fields. Without it, parsing the tags again for each of 10,000
// files takes a fifth of the time of a merge.
var fieldCache sync.Map

// Fields returns the fields of a struct type that have a YAML key, in the order of their declaration.
// The returned slice must not be modified.
func Fields(t reflect.Type) []Field {
	if cached, ok := fieldCache.Load(t); ok {
		return cached.([]Field)
	}
	var out []Field
	for i := range t.NumField() {
		f := t.Field(i)
		key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if key == "" || key == "-" || !f.IsExported() {
			continue
		}
		out = append(out, Field{
			Key: key, Index: f.Index, Type: f.Type, Tag: f.Tag,
			Required: f.Tag.Get("required") == "true",
			Default:  f.Tag.Get("default"),
			Secret:   f.Tag.Get("secret") == "true",
		})
	}
	fieldCache.Store(t, out)
	return out
}

func findField(fields []Field, key string) (Field, bool) {
	for _, f := range fields {
		if f.Key == key {
			return f, true
		}
	}
	return Field{}, false
}

// LimitText returns the limits of a field with the unit as text for messages, or an empty string if the
// field has none.
func LimitText(tag reflect.StructTag) string {
	low, high, ok := strings.Cut(tag.Get("limit"), "..")
	if !ok {
		return ""
	}
	text := low + " to " + high
	if unit := tag.Get("unit"); unit != "" {
		text += " " + unit
	}
	return text
}

// effectiveLimitText is like LimitText, but returns the limits of the type for a field without limits.
func effectiveLimitText(v reflect.Value, tag reflect.StructTag) string {
	switch text := LimitText(tag); {
	case text != "":
		return text
	case v.Kind() == reflect.String:
		return fmt.Sprintf("1 to %d characters", MaxStringLength)
	case v.CanUint():
		return fmt.Sprintf("0 to %d", uint64(math.MaxUint64)>>(64-v.Type().Bits()))
	}
	return fmt.Sprintf("%d to %d", int64(math.MinInt64)>>(64-v.Type().Bits()), int64(math.MaxInt64)>>(64-v.Type().Bits()))
}

// checkLimit returns the problem of a value that is outside of the limits of its field, or an empty
// string. The limits of a string apply to its length in characters.
func checkLimit(v reflect.Value, tag reflect.StructTag) string {
	low, high, ok := strings.Cut(tag.Get("limit"), "..")
	if v.Kind() == reflect.String {
		return checkLength(v.String(), low, high, ok)
	}
	if !ok {
		return ""
	}
	value := numericValue(v)
	if value < parseBound(v, low) || value > parseBound(v, high) {
		return fmt.Sprintf("%v is out of range", v.Interface())
	}
	return ""
}

func checkLength(s, low, high string, limited bool) string {
	shortest, longest := 1, MaxStringLength
	if limited {
		shortest, _ = strconv.Atoi(low)
		longest, _ = strconv.Atoi(high)
	}
	if n := utf8.RuneCountInString(s); n < shortest || n > longest {
		return fmt.Sprintf("length %d is out of range", n)
	}
	return ""
}

func numericValue(v reflect.Value) float64 {
	switch {
	case v.CanInt():
		return float64(v.Int())
	case v.CanUint():
		return float64(v.Uint())
	case v.CanFloat():
		return v.Float()
	}
	return math.NaN()
}

func parseBound(v reflect.Value, text string) float64 {
	if v.Type() == durationType {
		d, _ := time.ParseDuration(text)
		return float64(d)
	}
	f, _ := strconv.ParseFloat(text, 64)
	return f
}

// SetDefaults sets the fields of a struct, and of nested structs, that have a default and that no file
// set.
func SetDefaults(target any, path string, origins Origins) {
	v := reflect.ValueOf(target).Elem()
	for _, f := range Fields(v.Type()) {
		fieldPath := Join(path, f.Key)
		field := v.FieldByIndex(f.Index)
		if field.Kind() == reflect.Struct && !isScalar(field) {
			SetDefaults(field.Addr().Interface(), fieldPath, origins)
			continue
		}
		if _, isSet := origins[fieldPath]; isSet || f.Default == "" {
			continue
		}
		setScalar(field, &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: f.Default})
	}
}

// Overlay copies the scalars and lists of the struct src that have an origin to dst, with their origins.
// It does not copy maps.
func Overlay(dst, src any, path string, dstOrigins, srcOrigins Origins) {
	dstValue, srcValue := reflect.ValueOf(dst).Elem(), reflect.ValueOf(src).Elem()
	for _, f := range Fields(srcValue.Type()) {
		fieldPath := Join(path, f.Key)
		origin, isSet := srcOrigins[fieldPath]
		field := srcValue.FieldByIndex(f.Index)
		if !isSet || field.Kind() == reflect.Map {
			continue
		}
		dstValue.FieldByIndex(f.Index).Set(field)
		dstOrigins[fieldPath] = origin
	}
}
