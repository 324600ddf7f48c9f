package events

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var update = flag.Bool("update-events", false, "rewrite docs/EVENTS.md")

const catalogue = "../../docs/EVENTS.md"

func render() string {
	var b strings.Builder
	b.WriteString(`# Log events

Every log line carries the number of its event in the field ` + "`event`" + `. Numbers 1000 to 1999 are the daemon's life, 2000 to 2999 the data path, 3000 to 3999 membership and registration, 4000 to 4999 configuration and agreement, 5000 to 5999 storage. Numbers are never reused. This page is checked against the code; after a change run ` + "`go test ./pkg/events -update-events`" + `.

| number | level | message | what to do |
| --- | --- | --- | --- |
`)
	for _, e := range All() {
		action := e.Action
		if action == "" {
			action = "nothing"
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Message, action)
	}
	return b.String()
}

// Guards against a catalogue that differs from what daemons log.
func TestCatalogueMatchesCode(t *testing.T) {
	if *update {
		assert.NilError(t, os.WriteFile(catalogue, []byte(render()), 0o644))
	}
	got, err := os.ReadFile(catalogue)
	assert.NilError(t, err)
	assert.Equal(t, string(got), render())
}

// Guards against two events with one number.
func TestNumbersAreUnique(t *testing.T) {
	seen := map[int]string{}
	for _, e := range All() {
		assert.Equal(t, seen[e.Number], "", "number %d", e.Number)
		seen[e.Number] = e.Message
	}
}
