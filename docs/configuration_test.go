package docs_test

import (
	"encoding"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/config"
	"rosemarygate/pkg/settings"
	"rosemarygate/pkg/strictyaml"
)

// ownDefaults are defaults that depend on another value, so no tag holds them.
var ownDefaults = map[string]string{
	"users.USER.services.SERVICE.classes.CLASS.queue_limit": "`queue_limit` of the service",
}

// rows returns the beginning of the table row of each key that a file may have.
func rows(t reflect.Type, path string) []string {
	var out []string
	for _, f := range strictyaml.Fields(t) {
		at := strictyaml.Join(path, f.Key)
		inner := f.Type
		switch inner.Kind() {
		case reflect.Map:
			at += "." + strings.ToUpper(f.Tag.Get("keys"))
			inner = inner.Elem().Elem()
		case reflect.Slice:
			at += "[]"
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct && !reflect.PointerTo(inner).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
			out = append(out, rows(inner, at)...)
			continue
		}
		out = append(out, fmt.Sprintf("| `%s` | %s | %s | %s |", at, kind(inner), initial(f, at), limit(f)))
	}
	return out
}

func kind(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return "duration"
	case t.String() == "netip.Addr":
		return "IP address"
	case t.String() == "netip.AddrPort":
		return "IP:port"
	case t.Kind() == reflect.String:
		return "text"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Float64:
		return "number"
	}
	return "whole number"
}

func initial(f strictyaml.Field, path string) string {
	switch {
	case f.Required:
		return "required"
	case f.Default != "":
		return "`" + f.Default + "`"
	case ownDefaults[path] != "":
		return ownDefaults[path]
	}
	return "none"
}

func limit(f strictyaml.Field) string {
	if text := strictyaml.LimitText(f.Tag); text != "" {
		return text
	}
	return "-"
}

// The page and the code must name the same keys, defaults and limits: an operator has
// nothing else to go by.
func TestConfigurationPageMatchesCode(t *testing.T) {
	page, err := os.ReadFile("CONFIGURATION.md")
	assert.NilError(t, err)
	want := append(rows(reflect.TypeFor[settings.Daemon](), ""), rows(reflect.TypeFor[config.Config](), "")...)
	keys := map[string]bool{}
	for _, row := range want {
		keys[strings.Split(row, "`")[1]] = true
		described := regexp.MustCompile("(?m)^" + regexp.QuoteMeta(row) + ` \S.* \|$`)
		assert.Check(t, described.Match(page), "CONFIGURATION.md has no row that begins with\n%s", row)
	}
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		assert.Check(t, keys[m[1]], "CONFIGURATION.md describes the key %s, which the code does not have", m[1])
	}
}

func TestConfigurationPageNamesSizeLimits(t *testing.T) {
	page, err := os.ReadFile("CONFIGURATION.md")
	assert.NilError(t, err)
	for name, value := range map[string]int{
		"files in a folder":                config.MaxFiles,
		"bytes in a file":                  config.MaxFileBytes,
		"bytes in a folder":                config.MaxFolderBytes,
		"number of a file":                 config.MaxNumber,
		"services":                         config.MaxServices,
		"classes in a service":             config.MaxClasses,
		"token keys":                       config.MaxKeys,
		"control replicas":                 settings.MaxReplicas,
		"bytes in the cluster key, least":  settings.MinClusterKeyBytes,
		"bytes in the cluster key, most":   settings.MaxClusterKeyBytes,
		"errors that are listed":           strictyaml.MaxFaults,
		"elements in a list":               strictyaml.MaxElements,
		"characters in text without limit": strictyaml.MaxStringLength,
	} {
		assert.Check(t, strings.Contains(string(page), fmt.Sprintf("| %s | %d |\n", name, value)), "CONFIGURATION.md has no limit %q of %d", name, value)
	}
}
