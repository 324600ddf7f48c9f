package strictyaml

import (
	"encoding"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode"

	"go.yaml.in/yaml/v3"
)

// MaxStringLength bounds a string whose field has no limit of its own, in characters.
const MaxStringLength = 4096

var (
	durationType = reflect.TypeFor[time.Duration]()
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
	addrType     = reflect.TypeFor[netip.Addr]()
	wholePattern = regexp.MustCompile(`^-?(0|[1-9][0-9]*)$`)
)

// isScalar reports whether a value is written as one YAML scalar.
func isScalar(v reflect.Value) bool {
	if v.CanAddr() && v.Addr().Type().Implements(textType) {
		return true
	}
	switch v.Kind() {
	case reflect.Struct, reflect.Map, reflect.Slice, reflect.Pointer:
		return false
	}
	return true
}

func (d *decoder) scalar(n *yaml.Node, v reflect.Value, path string, tag reflect.StructTag) {
	if n.Kind != yaml.ScalarNode {
		d.fault(BadValue, n.Line, path, "value is not a single value", "write it in one line behind the key")
		return
	}
	problem, remedy := set(v, n)
	if tag.Get("secret") == "true" {
		problem = strings.ReplaceAll(problem, fmt.Sprintf("%q", clip(n.Value)), "value")
	}
	if problem != "" && remedy != "" {
		d.fault(BadValue, n.Line, path, problem, remedy)
		return
	}
	if problem == "" {
		problem = checkLimit(v, tag)
	}
	if problem != "" {
		d.fault(OutOfRange, n.Line, path, problem, "the limits are "+limitText(v, tag))
	}
}

// set parses a scalar. A problem is empty when the value was set; a remedy is empty when
// the value does not fit the type of the field.
func set(v reflect.Value, n *yaml.Node) (problem, remedy string) {
	text := n.Value
	shown := fmt.Sprintf("%q", clip(text))
	if v.Type() == durationType {
		return setDuration(v, text)
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if u.UnmarshalText([]byte(text)) == nil && text != "" {
			return "", ""
		}
		if v.Type() == addrType {
			return shown + " is not an IP address", "write one such as 127.1.0.1, without a port"
		}
		return shown + " is not an IP address with a port", "write one such as 127.1.0.1:7000"
	}
	switch v.Kind() {
	case reflect.String:
		return setString(v, n)
	case reflect.Bool:
		if text != "true" && text != "false" {
			return shown + " is not a truth value", "write true or false"
		}
		v.SetBool(text == "true")
	case reflect.Float64:
		return setFloat(v, text)
	default:
		return setWhole(v, text)
	}
	return "", ""
}

func setString(v reflect.Value, n *yaml.Node) (problem, remedy string) {
	if n.Tag != "!!str" {
		return fmt.Sprintf("%q is not text", clip(n.Value)), "put the value in quotes"
	}
	for _, r := range n.Value {
		if unicode.IsControl(r) || r == unicode.ReplacementChar {
			return "text has a control character", "write it as one line of plain text"
		}
	}
	v.SetString(n.Value)
	return "", ""
}

func setDuration(v reflect.Value, text string) (problem, remedy string) {
	if wholePattern.MatchString(text) {
		return fmt.Sprintf("duration %q has no unit", clip(text)), "write the unit, one of ms, s, m and h, such as 30s"
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Sprintf("%q is not a duration", clip(text)), "write a number with one of the units ms, s, m and h, such as 30s"
	}
	v.SetInt(int64(parsed))
	return "", ""
}

func setFloat(v reflect.Value, text string) (problem, remedy string) {
	const remedyText = "write a number such as 0.25, without a unit"
	if strings.HasSuffix(text, "%") {
		return fmt.Sprintf("%q is a percentage", clip(text)), "write a part of 1, such as 0.25 for 25%"
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return fmt.Sprintf("%q is not a number", clip(text)), remedyText
	}
	v.SetFloat(f)
	return "", ""
}

func setWhole(v reflect.Value, text string) (problem, remedy string) {
	if !wholePattern.MatchString(text) {
		return fmt.Sprintf("%q is not a whole number", clip(text)), "write decimal digits only, without a unit"
	}
	outOfRange := clip(text) + " is out of range"
	if v.CanUint() {
		u, err := strconv.ParseUint(text, 10, v.Type().Bits())
		if err != nil {
			return outOfRange, ""
		}
		v.SetUint(u)
		return "", ""
	}
	i, err := strconv.ParseInt(text, 10, v.Type().Bits())
	if err != nil {
		return outOfRange, ""
	}
	v.SetInt(i)
	return "", ""
}
