package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const edgeLog = `   8.100 edge-1 {"daemon":"edge-1","event":2007,"flow":"100.64.0.7:40001>198.18.0.1:443","level":"info","msg":"flow placed on an upstream","reason":"placed","time":"2026-05-01T15:36:41.100Z","upstream":"i-aa","version":13}
goroutine 1 [running]:
{"daemon":"edge-1","event":2007,"flow":"100.64.0.8:40001>198.18.0.1:443","msg":"flow placed on an upstream","reason":"placed","time":"2026-05-01T15:36:41.200Z","upstream":"i-bb"}
{"daemon":"edge-1","event":3009,"msg":"registration of an upstream changed at an entry daemon","time":"2026-05-01T15:36:43.000Z","upstream":"i-aa","state":"gone"}
{"daemon":"edge-1","event":2008,"flow":"100.64.0.7:40001>198.18.0.1:443","msg":"packet of a flow refused or dropped","reason":"upstream_gone","time":"2026-05-01T15:36:43.500Z"}
`

const controlLog = `{"daemon":"control-1","event":3005,"msg":"announcement","time":"2026-05-01T15:36:42.900Z","upstream":"i-cc","state":"ready"}
{"daemon":"control-1","event":3003,"msg":"upstream left","time":"2026-05-01T15:36:42.990Z","upstream":"i-aa"}
{"daemon":"control-1","event":3003,"msg":"upstream left","time":"2026-05-01T15:46:42.990Z","upstream":"i-aa"}
`

// Guards against a timeline that lacks the reason why a flow was reset, or that contains other flows.
func TestTimelineOfFlow(t *testing.T) {
	dir := t.TempDir()
	edge, control := filepath.Join(dir, "edge.log"), filepath.Join(dir, "control.log")
	assert.NilError(t, os.WriteFile(edge, []byte(edgeLog), 0o600))
	assert.NilError(t, os.WriteFile(control, []byte(controlLog), 0o600))
	for _, caller := range []string{"100.64.0.7:40001", "100.64.0.7"} {
		root := newRoot()
		var out bytes.Buffer
		root.SetOut(&out)
		assert.Equal(t, execute(root, []string{"logs", "flow", caller, control, edge}, os.Stderr), ExitOK)
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		assert.Equal(t, len(lines), 4, out.String())
		for i, want := range []string{"reason=placed upstream=i-aa", "upstream left: upstream=i-aa", "state=gone", "reason=upstream_gone"} {
			assert.Assert(t, strings.Contains(lines[i], want), lines[i])
		}
	}
	var errOut bytes.Buffer
	assert.Equal(t, execute(newRoot(), []string{"logs", "flow", "100.64.0.9", edge}, &errOut), ExitFailure)
	assert.Assert(t, strings.Contains(errOut.String(), "name the logs of every entry daemon"))
}
