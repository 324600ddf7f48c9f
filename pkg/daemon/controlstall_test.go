package daemon_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/storage"
)

// stallingDisk is a file system on which Sync blocks while it is stalled.
type stallingDisk struct {
	storage.OS
	stalled sync.RWMutex // write-locked while stalled
}

type stallingFile struct {
	storage.File
	disk *stallingDisk
}

func (d *stallingDisk) Create(path string) (storage.File, error) { return d.wrap(d.OS.Create(path)) }

func (d *stallingDisk) Append(path string) (storage.File, error) { return d.wrap(d.OS.Append(path)) }

func (d *stallingDisk) wrap(f storage.File, err error) (storage.File, error) {
	return &stallingFile{f, d}, err
}

func (f *stallingFile) Sync() error {
	f.disk.stalled.RLock()
	defer f.disk.stalled.RUnlock()
	return f.File.Sync()
}

// Guards against a leader with a stalled disk that prevents the majority from accepting changes or its
// daemons from receiving them, and against one that does not catch up after the stall.
func TestStalledDisk(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, "a", "b", "c", "a", "b", "c")
	disks := make([]*stallingDisk, len(f.disks))
	for i := range f.disks {
		disks[i] = new(stallingDisk)
		f.disks[i] = disks[i]
	}
	f.startAll()
	version := f.mustPush(0, pushRequest("first", 0, "10-acme.yaml", serviceFile(1), 0))
	f.waitFor("the first version everywhere", f.allInForce(version))
	stalled := f.leader()
	disks[stalled].stalled.Lock()
	end := sync.OnceFunc(disks[stalled].stalled.Unlock)
	t.Cleanup(end)

	begin := time.Now()
	version = f.mustPush((stalled+1)%3, pushRequest("second", version, "10-acme.yaml", serviceFile(2), 0))
	t.Logf("accepted %s after the stall began", time.Since(begin))
	f.waitFor("the second version everywhere", f.allInForce(version))
	took := time.Since(begin)
	t.Logf("in force everywhere %s after the stall began", took)
	assert.Assert(t, took < 9*time.Second)
	_, err := f.push(stalled, pushRequest("refused", version, "10-acme.yaml", serviceFile(3), 0))
	assert.Equal(t, refusalKind(t, err), controlpb.Refusal_KIND_NO_MAJORITY)

	end()
	f.waitFor("the current version at the replica after the stall", func() bool {
		st := f.daemons[stalled].ControlReplica().Status()
		return st.Role == agreement.Follower && st.Version == version
	})
}
