package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	"rosemarygate/pkg/config"
)

const (
	guildFolder = "../../examples/guild/config"
	karriFolder = "../../examples/karri-bend/config"
)

// run executes a command line and returns its output and exit code.
func run(args ...string) (stdout, stderr string, code int) {
	var out, errOut bytes.Buffer
	root := newRoot()
	root.SetOut(&out)
	code = execute(root, args, &errOut)
	return out.String(), errOut.String(), code
}

// invalidFolder returns a configuration folder whose file has two errors.
func invalidFolder(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	text := "users: {acme: {services: {label: {port: 1, credential: c, slots: 0, classes: {a: {priority: 0}}}}}}"
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "10-a.yaml"), []byte(text), 0o600))
	return dir
}

// Guards against a negative result that has the exit code of wrong arguments: scripts depend on it.
func TestConfigExitCodes(t *testing.T) {
	invalid := invalidFolder(t)
	for _, c := range []struct {
		args []string
		code int
		err  string
	}{
		{[]string{"config", "check", guildFolder}, 0, ""},
		{[]string{"config", "check", invalid}, 1, "has 2 errors:\n  10-a.yaml:1: "},
		{[]string{"config", "check", "absent"}, 2, "absent: folder cannot be read"},
		{[]string{"config", "check"}, 2, `see "rosemarygate config check --help"`},
		{[]string{"config", "show", "--format", "text", karriFolder}, 0, ""},
		{[]string{"config", "show", "--format", "xml", karriFolder}, 2, `format "xml" is unknown: use one of text, yaml, json`},
		{[]string{"config", "show", "--form", karriFolder}, 2, "unknown flag"},
		{[]string{"config", "show", invalid}, 2, "has 2 errors"},
		{[]string{"config", "diff", guildFolder, guildFolder}, 0, ""},
		{[]string{"config", "diff", guildFolder, karriFolder}, 1, ""},
		{[]string{"config", "diff", guildFolder, invalid}, 2, "has 2 errors"},
		{[]string{"config", "diff", "--format", "yaml", guildFolder, karriFolder}, 2, "use one of text, json"},
		{[]string{"config", "chek", guildFolder}, 2, "unknown command"},
		{[]string{"nothing"}, 2, "unknown command"},
	} {
		_, stderr, code := run(c.args...)
		assert.Equal(t, code, c.code, "%v: %s", c.args, stderr)
		assert.Assert(t, strings.Contains(stderr, c.err), "%v: %s", c.args, stderr)
		assert.Assert(t, c.err != "" || stderr == "", "%v: %s", c.args, stderr)
	}
}

// Guards against an output format that lacks the file and line of a value.
func TestConfigShowPrintsOrigins(t *testing.T) {
	text, _, _ := run("config", "show", guildFolder)
	assert.Assert(t, strings.Contains(text, "users.guild.services.archive.port "))
	assert.Assert(t, strings.Contains(text, " 30-archive.yaml:5\n"))
	yaml, _, _ := run("config", "show", "--format", "yaml", guildFolder)
	assert.Assert(t, strings.Contains(yaml, "port: 7002 # 30-archive.yaml:5\n"))
	out, _, _ := run("config", "show", "--format", "json", guildFolder)
	var shown struct{ Values []config.Setting }
	assert.NilError(t, json.Unmarshal([]byte(out), &shown))
	assert.Equal(t, shown.Values[0], config.Setting{Path: "users.guild.time_zone", Value: "Asia/Kolkata", Origin: "10-user.yaml:3"})
}

// Guards against JSON that is not a list when nothing differs.
func TestConfigDiffFormats(t *testing.T) {
	out, _, _ := run("config", "diff", "--format", "json", guildFolder, guildFolder)
	assert.Equal(t, out, "[]\n")
	out, _, _ = run("config", "diff", "--format", "json", guildFolder, karriFolder)
	var changes []config.Change
	assert.NilError(t, json.Unmarshal([]byte(out), &changes))
	assert.Equal(t, changes[0], config.Change{Kind: config.Removed, Path: "users.guild", InterruptsFlows: true})
	out, _, _ = run("config", "diff", guildFolder, karriFolder)
	assert.Assert(t, strings.HasPrefix(out, "- users.guild (ends open flows)\n+ users.karri-bend.time_zone: Australia/Perth\n"), out)
}

// Guards against a command without a help text or an example.
func TestEveryConfigCommandHasHelp(t *testing.T) {
	for _, c := range newConfig().Commands() {
		assert.Assert(t, c.Short != "" && c.Long != "" && c.Example != "", c.Name())
	}
	out, _, code := run("config", "diff", "--help")
	assert.Equal(t, code, 0)
	assert.Assert(t, strings.Contains(out, "Examples:"))
}

func TestCompletionOfShellsAndFormats(t *testing.T) {
	for _, shell := range []string{"bash", "zsh", "fish", "powershell"} {
		out, stderr, code := run("completion", shell)
		assert.Equal(t, code, 0, stderr)
		assert.Assert(t, strings.Contains(out, "rosemarygate"), shell)
	}
	out, _, _ := run(cobra.ShellCompRequestCmd, "config", "show", "--format", "")
	assert.Assert(t, strings.HasPrefix(out, "text\nyaml\njson\n"), out)
}
