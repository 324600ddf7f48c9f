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

var updatePage = flag.Bool("update-refusals", false, "rewrite docs/operators/refusals.md")

const page = "../../docs/operators/refusals.md"

func renderPage() string {
	var b strings.Builder
	b.WriteString(`# Refusals and their remedies

Counters with a label ` + "`reason`" + `, log lines and the client library use the names below. "Not run" is reported only if the request certainly did not run; "unknown" means that it may have run. A test compares this page with the code; after a change of the texts run ` + "`go test ./pkg/refusal -update-refusals`" + `.

| reason | meaning | remedy |
| --- | --- | --- |
`)
	for _, r := range All() {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", Name(r), Meaning(r), Remedy(r))
	}
	return b.String()
}

// Guards against a page that differs from the texts that callers and operators get.
func TestPageMatchesCode(t *testing.T) {
	if *updatePage {
		assert.NilError(t, os.WriteFile(page, []byte(renderPage()), 0o644))
	}
	got, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Equal(t, string(got), renderPage())
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
