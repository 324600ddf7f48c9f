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

// dependentDefaults holds the defaults that depend on another key and therefore have no tag.
var dependentDefaults = map[string]string{
	"users.USER.services.SERVICE.classes.CLASS.queue_limit": "`queue_limit` of the service",
}

// tableRows returns the expected first four cells of the table row of each key of a file.
func tableRows(structType reflect.Type, path string) []string {
	var out []string
	for _, f := range strictyaml.Fields(structType) {
		keyPath := strictyaml.Join(path, f.Key)
		valueType := f.Type
		switch valueType.Kind() {
		case reflect.Map:
			keyPath += "." + strings.ToUpper(f.Tag.Get("keys"))
			valueType = valueType.Elem().Elem()
		case reflect.Slice:
			keyPath += "[]"
			valueType = valueType.Elem()
		}
		if valueType.Kind() == reflect.Struct && !reflect.PointerTo(valueType).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
			out = append(out, tableRows(valueType, keyPath)...)
			continue
		}
		out = append(out, fmt.Sprintf("| `%s` | %s | %s | %s |", keyPath, typeText(valueType), defaultText(f, keyPath), limitText(f)))
	}
	return out
}

func typeText(t reflect.Type) string {
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

func defaultText(f strictyaml.Field, keyPath string) string {
	switch {
	case f.Required:
		return "required"
	case f.Default != "":
		return "`" + f.Default + "`"
	case dependentDefaults[keyPath] != "":
		return dependentDefaults[keyPath]
	}
	return "none"
}

func limitText(f strictyaml.Field) string {
	if text := strictyaml.LimitText(f.Tag); text != "" {
		return text
	}
	return "-"
}

// TestConfigurationPageMatchesCode checks that the page and the code have the same keys, types,
// defaults and limits, since the page is the only reference for operators.
func TestConfigurationPageMatchesCode(t *testing.T) {
	page, err := os.ReadFile("CONFIGURATION.md")
	assert.NilError(t, err)
	wantRows := append(tableRows(reflect.TypeFor[settings.Daemon](), ""), tableRows(reflect.TypeFor[config.Config](), "")...)
	keys := map[string]bool{}
	for _, row := range wantRows {
		keys[strings.Split(row, "`")[1]] = true
		wholeRow := regexp.MustCompile("(?m)^" + regexp.QuoteMeta(row) + ` \S.* \|$`)
		assert.Check(t, wholeRow.Match(page), "CONFIGURATION.md has no row that begins with\n%s", row)
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
		"number of a file":                 config.MaxFileNumber,
		"services":                         config.MaxServices,
		"classes in a service":             config.MaxClasses,
		"token keys":                       config.MaxTokenKeys,
		"control replicas":                 settings.MaxReplicas,
		"bytes in the cluster key, least":  settings.MinClusterKeyBytes,
		"bytes in the cluster key, most":   settings.MaxClusterKeyBytes,
		"errors that are listed":           strictyaml.MaxFaults,
		"elements in a list":               strictyaml.MaxListElements,
		"characters in text without limit": strictyaml.MaxStringLength,
	} {
		assert.Check(t, strings.Contains(string(page), fmt.Sprintf("| %s | %d |\n", name, value)), "CONFIGURATION.md has no limit %q of %d", name, value)
	}
}
