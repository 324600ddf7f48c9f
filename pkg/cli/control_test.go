package cli

import (
	"context"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/daemon"
	"rosemarygate/pkg/settings"
)

// startReplica runs a daemon that is the only control replica and returns its address.
func startReplica(t *testing.T) string {
	host := netip.AddrFrom4([4]byte{127, byte(16 + rand.IntN(200)), byte(rand.IntN(256)), 1})
	s := &settings.Daemon{
		Name: "only", DataCentre: "a", Host: host, DataDir: t.TempDir(),
		Ports: settings.Ports{Peer: 7900, GRPC: 7901, HTTP: 7902},
	}
	address := s.Address(7901)
	s.Control = settings.Control{Replica: true, Replicas: []settings.Replica{{Name: "only", Address: address}}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := daemon.New(s, nil, log)
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- d.Run(context.Background()) }()
	t.Cleanup(func() {
		d.Kill()
		<-done
	})
	for start := time.Now(); d.ControlReplica().Status().Version == 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Since(start) < 10*time.Second)
	}
	return address.String()
}

// Guards against a push that changes other files than the operator's, against an accepted folder that
// is not returned byte for byte, and against refusals without a remedy or without exit code 1.
func TestPushShowAndHistory(t *testing.T) {
	replica := startReplica(t)
	control := func(args ...string) (string, string, int) { return run(append(args, "--replica", replica)...) }
	dir := t.TempDir()
	write := func(dir, name, text string) {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	text := "# first\nusers: {acme: {services: {label: {port: 7001, credential: secret-1, classes: {sheet: {priority: 0}}}}}}\n\n"
	write(dir, "10-acme.yaml", text)
	out, stderr, code := control("config", "push", dir, "--operator", "asha", "--summary", "first folder")
	assert.Equal(t, code, ExitOK, stderr)
	assert.Assert(t, strings.Contains(out, "change accepted: version "), out)
	assert.Assert(t, strings.Contains(out, "in force on 1 of 1 daemons"), out)
	out, _, code = control("config", "push", dir)
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.HasPrefix(out, "nothing to push"), out)

	fetched := filepath.Join(t.TempDir(), "fetched")
	_, stderr, code = control("config", "show", "--accepted", "--out", fetched)
	assert.Equal(t, code, ExitOK, stderr)
	got, err := os.ReadFile(filepath.Join(fetched, "10-acme.yaml"))
	assert.NilError(t, err)
	assert.Equal(t, string(got), text)
	_, stderr, code = control("config", "show", "--accepted", "--out", fetched)
	assert.Equal(t, code, ExitUsage)
	assert.Assert(t, strings.Contains(stderr, "name a new folder"), stderr)

	write(dir, "20-more.yaml", "users: {acme: {services: {label: {slots: 2}}}}")
	_, stderr, code = control("config", "push", dir)
	assert.Equal(t, code, ExitOK, stderr)
	write(fetched, "20-other.yaml", "users: {acme: {services: {label: {slots: 3}}}}")
	_, stderr, code = control("config", "push", fetched)
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(stderr, "use the next free number 21"), stderr)
	assert.NilError(t, os.Rename(filepath.Join(fetched, "20-other.yaml"), filepath.Join(fetched, "21-other.yaml")))
	write(fetched, "21-other.yaml", "users: {acme: {services: {label: {slots: 0}}}}")
	_, stderr, code = control("config", "push", fetched)
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(stderr, "is not valid"), stderr)

	assert.NilError(t, os.Remove(filepath.Join(dir, "20-more.yaml")))
	_, stderr, code = control("config", "push", dir, "--remove", "20-more.yaml")
	assert.Equal(t, code, ExitOK, stderr)
	out, _, code = control("config", "history", "--limit", "9")
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, strings.Count(out, "\n"), 5, out) // a heading, three pushes and the first key
	assert.Assert(t, strings.Contains(out, "asha"), out)
	out, _, code = control("config", "show", "--accepted")
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(out, "10-acme.yaml:2"), out)
}

// Guards against a CSV export with a line that is not a record, and against incomplete totals that
// cannot be distinguished from complete ones.
func TestIncompleteTotalsArePrintedOutsideCSV(t *testing.T) {
	for format, inOutput := range map[string]bool{"text": true, "csv": false} {
		var out, stderr strings.Builder
		cmd := newTotals()
		cmd.SetOut(&out)
		cmd.SetErr(&stderr)
		assert.NilError(t, printTotals(cmd, &controlpb.TotalsReply{MissingReplicas: []string{"host-2", "host-5"}}, format))
		const line = "totals may be incomplete: no answer from host-2, host-5;"
		assert.Equal(t, strings.Contains(out.String(), line), inOutput)
		assert.Equal(t, strings.Contains(stderr.String(), line), !inOutput)
		assert.Equal(t, strings.Count(out.String(), "\n") == 1, !inOutput)
	}
}

// Guards against changed exit codes and messages of commands, which scripts depend on.
func TestExitCodesOfControlCommands(t *testing.T) {
	replica := startReplica(t)
	for _, c := range []struct {
		args []string
		code int
		err  string
	}{
		{[]string{"totals", "--day", "2026-05-04", "--format", "csv", "--replica", replica}, 0, ""},
		{[]string{"totals", "--day", "May", "--replica", replica}, 2, "write it as"},
		{[]string{"totals", "--day", "2026-05-04"}, 2, `required flag(s) "replica" not set`},
		{[]string{"keys", "rotate", "--replica", replica}, 1, "rotate again after"},
		{[]string{"replicas", "replace", "x", "--by", "y", "--address", "127.0.0.1:1", "--replica", replica}, 1, "x is not a replica"},
		{[]string{"replicas", "replace", "x", "--by", "y", "--address", "z", "--replica", replica}, 2, "is not IP:port"},
		{[]string{"config", "history", "--replica", "127.0.0.1:1"}, 1, "cannot be reached"},
		{[]string{"config", "history", "--replica", replica, "--tls-key", "x"}, 2, "TLS is incomplete"},
		{[]string{"config", "show", "--accepted"}, 2, "replica"},
		{[]string{"config", "push", "absent", "--replica", replica}, 2, "folder cannot be read"},
	} {
		_, stderr, code := run(c.args...)
		assert.Equal(t, code, c.code, "%v: %s", c.args, stderr)
		assert.Assert(t, strings.Contains(stderr, c.err), "%v: %s", c.args, stderr)
	}
}
