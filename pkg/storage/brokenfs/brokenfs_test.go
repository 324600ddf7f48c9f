package brokenfs

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"rosemarygate/pkg/storage"
)

// Guards against faults without effect: on a full disk writes and syncs fail, also those of open files,
// and on a stalled disk they complete when the fault ends.
func TestFaults(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	fs := New(storage.OS{}, dir)
	assert.NilError(t, fs.MkdirAll(dir))
	f, err := fs.Create(filepath.Join(dir, "log"))
	assert.NilError(t, err)
	defer f.Close()

	assert.NilError(t, os.WriteFile(SwitchPath(dir), []byte(Full), 0o600))
	_, err = f.Write([]byte("x"))
	assert.Assert(t, errors.Is(err, syscall.ENOSPC), "%v", err)
	assert.Assert(t, errors.Is(f.Sync(), syscall.ENOSPC))
	_, err = fs.ReadDir(dir)
	assert.NilError(t, err)

	const stall = 100 * time.Millisecond
	assert.NilError(t, os.WriteFile(SwitchPath(dir), []byte(Stalled), 0o600))
	begin := time.Now()
	time.AfterFunc(stall, func() { _ = os.Remove(SwitchPath(dir)) }) // if this fails, the test runs into its time limit
	assert.NilError(t, f.Sync())
	assert.Assert(t, time.Since(begin) >= stall)
}
