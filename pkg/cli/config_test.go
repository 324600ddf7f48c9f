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
	guild = "../../examples/guild/config"
	karri = "../../examples/karri-bend/config"
)

// run executes a command line and returns its output and exit code.
func run(args ...string) (stdout, stderr string, code int) {
	var out, errOut bytes.Buffer
	root := newRoot()
	root.SetOut(&out)
	code = execute(root, args, &errOut)
	return out.String(), errOut.String(), code
}

func faulty(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	text := "users: {acme: {services: {label: {port: 1, credential: c, slots: 0, classes: {a: {priority: 0}}}}}}"
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "10-a.yaml"), []byte(text), 0o600))
	return dir
}

// Scripts decide by the exit code: a negative result must differ from a wrong call.
func TestConfigExitCodes(t *testing.T) {
	bad := faulty(t)
	for _, c := range []struct {
		args []string
		code int
		err  string
	}{
		{[]string{"config", "check", guild}, 0, ""},
		{[]string{"config", "check", bad}, 1, "has 2 errors:\n  10-a.yaml:1: "},
		{[]string{"config", "check", "absent"}, 2, "absent: folder cannot be read"},
		{[]string{"config", "check"}, 2, `see "rosemarygate config check --help"`},
		{[]string{"config", "show", "--format", "text", karri}, 0, ""},
		{[]string{"config", "show", "--format", "xml", karri}, 2, `format "xml" is unknown: use one of text, yaml, json`},
		{[]string{"config", "show", "--form", karri}, 2, "unknown flag"},
		{[]string{"config", "show", bad}, 2, "has 2 errors"},
		{[]string{"config", "diff", guild, guild}, 0, ""},
		{[]string{"config", "diff", guild, karri}, 1, ""},
		{[]string{"config", "diff", guild, bad}, 2, "has 2 errors"},
		{[]string{"config", "diff", "--format", "yaml", guild, karri}, 2, "use one of text, json"},
		{[]string{"config", "chek", guild}, 2, "unknown command"},
		{[]string{"nothing"}, 2, "unknown command"},
	} {
		_, stderr, code := run(c.args...)
		assert.Equal(t, code, c.code, "%v: %s", c.args, stderr)
		assert.Assert(t, strings.Contains(stderr, c.err), "%v: %s", c.args, stderr)
		assert.Assert(t, c.err != "" || stderr == "", "%v: %s", c.args, stderr)
	}
}

// Show has to name the file and line of each value in every format.
func TestConfigShowNamesOrigins(t *testing.T) {
	text, _, _ := run("config", "show", guild)
	assert.Assert(t, strings.Contains(text, "users.guild.services.archive.port "))
	assert.Assert(t, strings.Contains(text, " 30-archive.yaml:5\n"))
	yaml, _, _ := run("config", "show", "--format", "yaml", guild)
	assert.Assert(t, strings.Contains(yaml, "port: 7002 # 30-archive.yaml:5\n"))
	out, _, _ := run("config", "show", "--format", "json", guild)
	var shown struct{ Values []config.Setting }
	assert.NilError(t, json.Unmarshal([]byte(out), &shown))
	assert.Equal(t, shown.Values[0], config.Setting{Path: "users.guild.time_zone", Value: "Asia/Kolkata", Origin: "10-user.yaml:3"})
}

// A reader of the JSON must get a list also when nothing differs.
func TestConfigDiffFormats(t *testing.T) {
	out, _, _ := run("config", "diff", "--format", "json", guild, guild)
	assert.Equal(t, out, "[]\n")
	out, _, _ = run("config", "diff", "--format", "json", guild, karri)
	var changes []config.Change
	assert.NilError(t, json.Unmarshal([]byte(out), &changes))
	assert.Equal(t, changes[0], config.Change{Kind: config.Removed, Path: "users.guild", Interrupts: true})
	out, _, _ = run("config", "diff", guild, karri)
	assert.Assert(t, strings.HasPrefix(out, "- users.guild (ends open flows)\n+ users.karri-bend.time_zone: Australia/Perth\n"), out)
}

// A command without an example or a help text leaves its operator to guess.
func TestEveryConfigCommandHasHelp(t *testing.T) {
	for _, c := range newConfig().Commands() {
		assert.Assert(t, c.Short != "" && c.Long != "" && c.Example != "", c.Name())
	}
	out, _, code := run("config", "diff", "--help")
	assert.Equal(t, code, 0)
	assert.Assert(t, strings.Contains(out, "Examples:"))
}

func TestCompletion(t *testing.T) {
	for _, shell := range []string{"bash", "zsh", "fish", "powershell"} {
		out, stderr, code := run("completion", shell)
		assert.Equal(t, code, 0, stderr)
		assert.Assert(t, strings.Contains(out, "rosemarygate"), shell)
	}
	out, _, _ := run(cobra.ShellCompRequestCmd, "config", "show", "--format", "")
	assert.Assert(t, strings.HasPrefix(out, "text\nyaml\njson\n"), out)
}
