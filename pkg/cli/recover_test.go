package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/control/distribution"
	"rosemarygate/pkg/control/folder"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/storage"
)

// stoppedReplica writes the settings and the data folder of one of three replicas and returns the
// paths of the settings and of the folder with its log.
func stoppedReplica(t *testing.T) (settingsFile, wal string) {
	dir := t.TempDir()
	text := "name: r1\ndata_centre: a\nhost: 127.9.8.1\ndata_dir: data\ncontrol:\n  replica: true\n  replicas:\n"
	var members []agreement.Member
	for i := range 3 {
		name := fmt.Sprintf("r%d", i+1)
		text += fmt.Sprintf("    - {name: %s, address: \"127.9.8.%d:7901\"}\n", name, i+1)
		r := agreement.Replica{ID: ident.Daemon(name), Incarnation: 1}
		members = append(members, agreement.Member{Replica: r, Voter: true})
	}
	settingsFile = filepath.Join(dir, "r1.yaml")
	assert.NilError(t, os.WriteFile(settingsFile, []byte(text), 0o600))
	wal = filepath.Join(dir, "data", "agreement")
	assert.NilError(t, os.MkdirAll(wal, 0o700))
	founding := agreement.FoundingState(members[0].Replica, 5, agreement.NewMembership(members...))
	s, _, err := storage.Open(storage.OS{}, wal, storage.Options{Self: members[0].Replica, FoundingState: &founding})
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	return settingsFile, wal
}

// Guards against a recovery without confirmation, one that does not print its consequences, one that
// creates another group when it is repeated, and one of a folder without state.
func TestRecoverCommand(t *testing.T) {
	file, wal := stoppedReplica(t)
	before, err := storage.Load(storage.OS{}, wal)
	assert.NilError(t, err)
	out, stderr, code := run("replicas", "recover", "--settings", file)
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(out, "index 1 in term 1; the group has 3 voters"), out)
	assert.Assert(t, strings.Contains(out, "are lost"), out)
	assert.Assert(t, strings.Contains(stderr, "--yes"), stderr)
	after, err := storage.Load(storage.OS{}, wal)
	assert.NilError(t, err)
	assert.DeepEqual(t, before, after)

	out, stderr, code = run("replicas", "recover", "--settings", file, "--yes", "--operator", "asha")
	assert.Equal(t, code, ExitOK, stderr)
	assert.Assert(t, strings.Contains(out, "versions go on above 1000000000"), out)
	recovered, err := storage.Load(storage.OS{}, wal)
	assert.NilError(t, err)
	assert.Assert(t, recovered.HardState.Group != before.HardState.Group)
	out, stderr, code = run("replicas", "recover", "--settings", file, "--yes")
	assert.Equal(t, code, ExitOK, stderr)
	assert.Assert(t, strings.Contains(out, "nothing to do"), out)
	assert.Assert(t, strings.Contains(out, "by asha"), out)

	assert.NilError(t, os.RemoveAll(wal))
	_, stderr, code = run("replicas", "recover", "--settings", file, "--yes")
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(stderr, "still has its disk"), stderr)
}

// Guards against an exported folder that differs from the daemon's copy, and against missing or
// contradictory arguments of "replace".
func TestExportAndReplaceArguments(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "accepted.copy")
	store, err := distribution.NewFileStore(path)
	assert.NilError(t, err)
	files := []*controlpb.File{{Name: "10-acme.yaml", Data: []byte("users: {}\n")}}
	digest := folder.New(nil, nil, 0).WithChange(7, files, nil).Digest(nil)
	assert.NilError(t, store.Save(&controlpb.Copy{Version: 7, Digest: digest[:], Files: files}))
	out, stderr, code := run("config", "export", path, "--out", filepath.Join(dir, "out"))
	assert.Equal(t, code, ExitOK, stderr)
	assert.Assert(t, strings.HasPrefix(out, "version 7: 1 files"), out)
	data, err := os.ReadFile(filepath.Join(dir, "out", "10-acme.yaml"))
	assert.NilError(t, err)
	assert.Equal(t, string(data), "users: {}\n")
	_, stderr, code = run("config", "export", filepath.Join(dir, "absent"), "--out", filepath.Join(dir, "new"))
	assert.Equal(t, code, ExitUsage)
	assert.Assert(t, strings.Contains(stderr, "accepted.copy"), stderr)

	for _, flags := range [][]string{{}, {"--by", "b"}, {"--by", "b", "--address", "127.0.0.1:1", "--cancel"}} {
		args := append([]string{"replicas", "replace", "a", "--replica", "127.0.0.1:1"}, flags...)
		_, _, code := run(args...)
		assert.Equal(t, code, ExitUsage, "%v", flags)
	}
}
