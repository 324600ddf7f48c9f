package refusal

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	wirepb "rosemarygate/api/wire/v1"
)

var update = flag.Bool("update-refusals", false, "rewrite docs/operators/refusals.md")

const page = "../../docs/operators/refusals.md"

func render() string {
	var b strings.Builder
	b.WriteString(`# Refusals and their remedies

Counters with a label ` + "`reason`" + `, log lines and the client library use the names below. "Not run" is said only when the request certainly did not run; "unknown" says that it may have run. This page is checked against the code; after a change run ` + "`go test ./pkg/refusal -update-refusals`" + `.

| reason | meaning | remedy |
| --- | --- | --- |
`)
	for _, r := range All() {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", Name(r), Meaning(r), Remedy(r))
	}
	return b.String()
}

// Guards against a page that differs from what callers and operators are told.
func TestPageMatchesCode(t *testing.T) {
	if *update {
		assert.NilError(t, os.WriteFile(page, []byte(render()), 0o644))
	}
	got, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Equal(t, string(got), render())
}

// Guards against a reason of the protocol without a remedy.
func TestEveryReasonHasARemedy(t *testing.T) {
	for number := range wirepb.Reason_name {
		r := wirepb.Reason(number)
		if r == wirepb.Reason_REASON_UNSPECIFIED {
			continue
		}
		assert.Assert(t, Meaning(r) != "" && Remedy(r) != "", Name(r))
	}
}
