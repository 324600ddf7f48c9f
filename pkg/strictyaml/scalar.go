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

// MaxStringLength is the length limit of strings without a limit tag, in characters.
const MaxStringLength = 4096

var (
	durationType   = reflect.TypeFor[time.Duration]()
	textType       = reflect.TypeFor[encoding.TextUnmarshaler]()
	addrType       = reflect.TypeFor[netip.Addr]()
	integerPattern = regexp.MustCompile(`^-?(0|[1-9][0-9]*)$`)
)

// isScalar reports whether a value is represented by a YAML scalar.
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

func (d *decoder) decodeScalar(n *yaml.Node, v reflect.Value, path string, tag reflect.StructTag) {
	if n.Kind != yaml.ScalarNode {
		d.report(BadValue, n.Line, path, "value is not a single value", "write it in one line behind the key")
		return
	}
	problem, remedy := setScalar(v, n)
	if tag.Get("secret") == "true" {
		problem = strings.ReplaceAll(problem, fmt.Sprintf("%q", truncate(n.Value)), "value")
	}
	if problem != "" && remedy != "" {
		d.report(BadValue, n.Line, path, problem, remedy)
		return
	}
	if problem == "" {
		problem = checkLimit(v, tag)
	}
	if problem != "" {
		d.report(OutOfRange, n.Line, path, problem, "the limits are "+effectiveLimitText(v, tag))
	}
}

// setScalar parses a scalar and sets v. The problem is empty if v was set. The remedy is empty if the
// value is out of range for the type of v.
func setScalar(v reflect.Value, n *yaml.Node) (problem, remedy string) {
	text := n.Value
	quoted := fmt.Sprintf("%q", truncate(text))
	if v.Type() == durationType {
		return setDuration(v, text)
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if u.UnmarshalText([]byte(text)) == nil && text != "" {
			return "", ""
		}
		if v.Type() == addrType {
			return quoted + " is not an IP address", "write one such as 127.1.0.1, without a port"
		}
		return quoted + " is not an IP address with a port", "write one such as 127.1.0.1:7000"
	}
	switch v.Kind() {
	case reflect.String:
		return setString(v, n)
	case reflect.Bool:
		if text != "true" && text != "false" {
			return quoted + " is not a truth value", "write true or false"
		}
		v.SetBool(text == "true")
	case reflect.Float64:
		return setFloat(v, text)
	default:
		return setInteger(v, text)
	}
	return "", ""
}

func setString(v reflect.Value, n *yaml.Node) (problem, remedy string) {
	if n.Tag != "!!str" {
		return fmt.Sprintf("%q is not text", truncate(n.Value)), "put the value in quotes"
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
	if integerPattern.MatchString(text) {
		return fmt.Sprintf("duration %q has no unit", truncate(text)), "write the unit, one of ms, s, m and h, such as 30s"
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Sprintf("%q is not a duration", truncate(text)), "write a number with one of the units ms, s, m and h, such as 30s"
	}
	v.SetInt(int64(parsed))
	return "", ""
}

func setFloat(v reflect.Value, text string) (problem, remedy string) {
	const remedyText = "write a number such as 0.25, without a unit"
	if strings.HasSuffix(text, "%") {
		return fmt.Sprintf("%q is a percentage", truncate(text)), "write a part of 1, such as 0.25 for 25%"
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return fmt.Sprintf("%q is not a number", truncate(text)), remedyText
	}
	v.SetFloat(f)
	return "", ""
}

func setInteger(v reflect.Value, text string) (problem, remedy string) {
	if !integerPattern.MatchString(text) {
		return fmt.Sprintf("%q is not a whole number", truncate(text)), "write decimal digits only, without a unit"
	}
	outOfRange := truncate(text) + " is out of range"
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
