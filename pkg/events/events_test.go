package events

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var updateCatalogue = flag.Bool("update-events", false, "rewrite docs/EVENTS.md")

const cataloguePath = "../../docs/EVENTS.md"

func renderCatalogue() string {
	var b strings.Builder
	b.WriteString(`# Log events

Every log line carries the number of its event in the field ` + "`event`" + `. Numbers 1000 to 1999 are events of the daemon's lifecycle, 2000 to 2999 of the data path, 3000 to 3999 of membership and registration, 4000 to 4999 of configuration and agreement, 5000 to 5999 of storage. Numbers are never reused. This page is checked against the code; after a change run ` + "`go test ./pkg/events -update-events`" + `.

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

// Guards against a page that differs from the events that daemons log.
func TestCatalogueMatchesCode(t *testing.T) {
	if *updateCatalogue {
		assert.NilError(t, os.WriteFile(cataloguePath, []byte(renderCatalogue()), 0o644))
	}
	got, err := os.ReadFile(cataloguePath)
	assert.NilError(t, err)
	assert.Equal(t, string(got), renderCatalogue())
}

// Guards against two events with the same number.
func TestNumbersAreUnique(t *testing.T) {
	messages := map[int]string{}
	for _, e := range All() {
		assert.Equal(t, messages[e.Number], "", "number %d", e.Number)
		messages[e.Number] = e.Message
	}
}
