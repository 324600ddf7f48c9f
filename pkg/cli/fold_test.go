package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a fold that changes the operator's folder or the merged configuration, or that leaves
// a partial folder behind, and against a push of the folded folder that keeps the folded files.
func TestFoldAndPush(t *testing.T) {
	replica := startReplica(t)
	dir, parent := t.TempDir(), t.TempDir()
	folded := filepath.Join(parent, "folded")
	for name, text := range map[string]string{
		"10-label.yaml": "users: {acme: {services: {label: {port: 7001, credential: secret-1, classes: {sheet: {priority: 0, share: 0.5}}}}}}",
		"20-label.yaml": "users: {acme: {services: {label: {slots: 2, flow_idle: 90s}}}}",
		"30-other.yaml": "users: {acme: {time_zone: Asia/Kolkata, services: {other: {port: 7002, credential: \"12345678\", classes: {a: {priority: 3}}}}}}",
		"40-label.yaml": "users: {acme: {services: {label: {slots: 3}}}}",
	} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	push := func(dir string) string {
		out, stderr, code := run("config", "push", dir, "--replica", replica)
		assert.Equal(t, code, ExitOK, stderr)
		return out
	}
	push(dir)
	before, err := os.ReadDir(dir)
	assert.NilError(t, err)
	out, stderr, code := run("config", "fold", dir, folded)
	assert.Equal(t, code, ExitOK, stderr)
	assert.Assert(t, strings.Contains(out, "3 files of 1 services became 1; 2 files in all"), out)
	after, err := os.ReadDir(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(after), len(before))
	out, stderr, code = run("config", "diff", dir, folded)
	assert.Equal(t, code, ExitOK, out+stderr)
	push(folded)
	fetched := filepath.Join(parent, "fetched")
	_, stderr, code = run("config", "show", "--accepted", "--out", fetched, "--replica", replica)
	assert.Equal(t, code, ExitOK, stderr)
	names, err := filepath.Glob(filepath.Join(fetched, "*.yaml"))
	assert.NilError(t, err)
	assert.DeepEqual(t, names, []string{filepath.Join(fetched, "30-other.yaml"), filepath.Join(fetched, "40-label.yaml")})
	assert.Assert(t, strings.HasPrefix(push(folded), "nothing to push"))

	_, stderr, code = run("config", "fold", dir, folded)
	assert.Equal(t, code, ExitUsage)
	assert.Assert(t, strings.Contains(stderr, "name a new folder"), stderr)
	_, stderr, code = run("config", "fold", dir, filepath.Join(parent, "absent", "folder"))
	assert.Equal(t, code, ExitFailure, stderr)
	_, _, code = run("config", "fold", invalidFolder(t), filepath.Join(parent, "new"))
	assert.Equal(t, code, ExitUsage)
	entries, err := os.ReadDir(parent)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 2)
}
