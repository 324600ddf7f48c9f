// Package faultfs is an in-memory file system for tests. It distinguishes written from synced data, and
// can simulate crashes that lose unsynced data, the loss of the disk, and the failure of any write, sync
// or other change.
package faultfs

import (
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"rosemarygate/pkg/storage"
)

// ErrInjected is the error of an injected failure. After it every change fails until Restart or Crash.
var ErrInjected = errors.New("injected file system failure: call Restart or Crash")

const sectorSize = 512 // bytes that a crash keeps or loses together

// inode is the content of a file. Files only grow.
type inode struct {
	data       []byte
	synced     int  // number of durable bytes at the start of data
	syncFailed bool // a sync failed: later syncs report success but make nothing durable
}

// FS is an in-memory file system. It is not safe for concurrent use.
type FS struct {
	rng              *rand.Rand
	live             map[string]*inode         // files by name as the running process sees them
	durable          map[string]*inode         // files by name that survive a crash
	unsyncedNames    []func(map[string]*inode) // changes of names since the last SyncDir
	changesToFailure int                       // changes up to the injected failure, 0 for none
	failed           bool
	epoch            int // number of restarts; files that were opened before the last one are closed
	changes          int

	// IgnoreFileSync makes Sync of files opened with Append a no-op. Tests use it to show that their
	// checks detect data that a missing sync loses.
	IgnoreFileSync bool
}

// New returns an empty file system.
func New(rng *rand.Rand) *FS {
	return &FS{rng: rng, live: map[string]*inode{}, durable: map[string]*inode{}}
}

// FailIn makes the n-th change from now and all later ones fail. A failing write may write a part of
// its data.
func (f *FS) FailIn(n int) { f.changesToFailure = n }

// Changes returns the number of changes so far, from which tests choose the change that fails.
func (f *FS) Changes() int { return f.changes }

// Size returns the size of all files in bytes.
func (f *FS) Size() int {
	total := 0
	for _, n := range f.live {
		total += len(n.data)
	}
	return total
}

// Restart simulates a process restart without power loss: all written data stays readable.
func (f *FS) Restart() {
	f.changesToFailure, f.failed = 0, false
	f.epoch++
}

// Crash simulates a power loss: a random part of the unsynced data is lost.
func (f *FS) Crash() {
	f.Restart()
	f.crashNames()
	for _, name := range sortedNames(f.durable) {
		f.crashData(f.durable[name])
	}
	f.live = clone(f.durable)
}

// crashNames keeps a random prefix of the unsynced changes of names.
func (f *FS) crashNames() {
	keep := f.rng.IntN(len(f.unsyncedNames) + 1)
	for _, change := range f.unsyncedNames[:keep] {
		change(f.durable)
	}
	f.unsyncedNames = nil
}

// crashData keeps a random prefix of the unsynced bytes and sometimes zeroes one sector of it.
func (f *FS) crashData(n *inode) {
	unsynced := len(n.data) - n.synced
	if unsynced == 0 {
		return
	}
	n.data = slices.Clone(n.data[:n.synced+f.rng.IntN(unsynced+1)])
	if len(n.data) > n.synced && f.rng.IntN(2) == 0 {
		f.zeroSector(n)
	}
	n.synced = len(n.data)
}

func (f *FS) zeroSector(n *inode) {
	at := n.synced + f.rng.IntN(len(n.data)-n.synced)
	from := max(n.synced, at/sectorSize*sectorSize)
	to := min(len(n.data), (at/sectorSize+1)*sectorSize)
	clear(n.data[from:to])
}

// LoseDisk simulates a restart with an empty disk.
func (f *FS) LoseDisk() {
	f.Restart()
	f.live, f.durable, f.unsyncedNames = map[string]*inode{}, map[string]*inode{}, nil
}

// Corrupt inverts one byte of a file, synced or not. It reports false if the file has no such offset.
func (f *FS) Corrupt(path string, offset int) bool {
	n := f.live[path]
	if n == nil || offset >= len(n.data) {
		return false
	}
	n.data[offset] ^= 0xff
	return true
}

func clone(m map[string]*inode) map[string]*inode {
	out := make(map[string]*inode, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

func sortedNames(m map[string]*inode) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// countChange counts a change and returns ErrInjected if it fails.
func (f *FS) countChange() error {
	if f.failed {
		return ErrInjected
	}
	f.changes++
	if f.changesToFailure > 0 {
		f.changesToFailure--
		f.failed = f.changesToFailure == 0
	}
	if f.failed {
		return ErrInjected
	}
	return nil
}

// changeNames applies a change of names to the live files and keeps it for the next SyncDir.
func (f *FS) changeNames(apply func(map[string]*inode)) {
	apply(f.live)
	f.unsyncedNames = append(f.unsyncedNames, apply)
}

// MkdirAll implements storage.FS. It does nothing, since directories exist implicitly.
func (f *FS) MkdirAll(string) error { return nil }

// ReadDir implements storage.FS.
func (f *FS) ReadDir(dir string) ([]string, error) {
	var names []string
	for _, path := range sortedNames(f.live) {
		if filepath.Dir(path) == filepath.Clean(dir) {
			names = append(names, strings.TrimPrefix(path, filepath.Clean(dir)+"/"))
		}
	}
	return names, nil
}

// ReadFile implements storage.FS.
func (f *FS) ReadFile(path string) ([]byte, error) {
	n := f.live[path]
	if n == nil {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return slices.Clone(n.data), nil
}

// Create implements storage.FS.
func (f *FS) Create(path string) (storage.File, error) {
	if err := f.countChange(); err != nil {
		return nil, err
	}
	n := &inode{}
	f.changeNames(func(m map[string]*inode) { m[path] = n })
	return &file{fs: f, inode: n, epoch: f.epoch}, nil
}

// Append implements storage.FS.
func (f *FS) Append(path string) (storage.File, error) {
	n := f.live[path]
	if n == nil {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return &file{fs: f, inode: n, epoch: f.epoch, ignoreSync: f.IgnoreFileSync}, nil
}

// Rename implements storage.FS.
func (f *FS) Rename(from, to string) error {
	if err := f.countChange(); err != nil {
		return err
	}
	n := f.live[from]
	if n == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	f.changeNames(func(m map[string]*inode) {
		delete(m, from)
		m[to] = n
	})
	return nil
}

// Remove implements storage.FS.
func (f *FS) Remove(path string) error {
	if err := f.countChange(); err != nil {
		return err
	}
	f.changeNames(func(m map[string]*inode) { delete(m, path) })
	return nil
}

// SyncDir implements storage.FS.
func (f *FS) SyncDir(string) error {
	if err := f.countChange(); err != nil {
		return err
	}
	for _, apply := range f.unsyncedNames {
		apply(f.durable)
	}
	f.unsyncedNames = nil
	return nil
}

type file struct {
	fs         *FS
	inode      *inode
	epoch      int
	ignoreSync bool
}

func (h *file) countChange() error {
	if h.epoch != h.fs.epoch {
		return fs.ErrClosed
	}
	return h.fs.countChange()
}

// Write implements storage.File. A failing write writes a random part of p.
func (h *file) Write(p []byte) (int, error) {
	if err := h.countChange(); err != nil {
		if h.epoch == h.fs.epoch {
			p = p[:h.fs.rng.IntN(len(p)+1)]
			h.inode.data = append(h.inode.data, p...)
		}
		return 0, err
	}
	h.inode.data = append(h.inode.data, p...)
	return len(p), nil
}

// Sync implements storage.File.
func (h *file) Sync() error {
	if err := h.countChange(); err != nil {
		h.inode.syncFailed = true
		return err
	}
	if !h.ignoreSync && !h.inode.syncFailed {
		h.inode.synced = len(h.inode.data)
	}
	return nil
}

// Close implements storage.File.
func (h *file) Close() error { return nil }
