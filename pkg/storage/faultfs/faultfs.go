// Package faultfs is an in-memory file system for tests. It keeps what was written apart from what
// was synced, can lose everything unsynced at a crash, can lose the whole disk, and can fail at any
// write, sync or other change.
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

const sector = 512 // bytes that survive or are lost together

// inode is a file's contents; the first synced bytes of it are durable. Files only grow.
type inode struct {
	data   []byte
	synced int
	lost   bool // a sync failed: later ones report success without making the data durable
}

// FS is a file system in memory. It is not safe for concurrent use.
type FS struct {
	rng     *rand.Rand
	live    map[string]*inode // names as the running process sees them
	durable map[string]*inode // names that survive a crash
	pending []func(map[string]*inode)
	failIn  int // changes until the injected failure, 0 for none
	failed  bool
	epoch   int // counts restarts; files opened before are unusable
	changes int

	// IgnoreFileSync makes Sync of files opened with Append a no-op. Tests use it to show that
	// their checks find what a missing sync loses.
	IgnoreFileSync bool
}

// New returns an empty file system.
func New(rng *rand.Rand) *FS {
	return &FS{rng: rng, live: map[string]*inode{}, durable: map[string]*inode{}}
}

// FailIn makes the n-th change from now fail, and all later ones; a failing write may leave a part.
func (f *FS) FailIn(n int) { f.failIn = n }

// Changes returns the number of changes made so far, which tests use to choose failures.
func (f *FS) Changes() int { return f.changes }

// Size returns the bytes of all files.
func (f *FS) Size() int {
	total := 0
	for _, n := range f.live {
		total += len(n.data)
	}
	return total
}

// Restart is the end of the process without loss of power: everything written stays readable.
func (f *FS) Restart() {
	f.failIn, f.failed = 0, false
	f.epoch++
}

// Crash is a loss of power: a random part of what was not synced is lost.
func (f *FS) Crash() {
	f.Restart()
	f.crashNames()
	for _, name := range sortedNames(f.durable) {
		f.crashData(f.durable[name])
	}
	f.live = clone(f.durable)
}

// crashNames keeps a random prefix of the name changes that were not synced.
func (f *FS) crashNames() {
	keep := f.rng.IntN(len(f.pending) + 1)
	for _, change := range f.pending[:keep] {
		change(f.durable)
	}
	f.pending = nil
}

// crashData keeps a random prefix of unsynced bytes and sometimes loses a sector of it.
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
	from := max(n.synced, at/sector*sector)
	to := min(len(n.data), (at/sector+1)*sector)
	clear(n.data[from:to])
}

// LoseDisk removes everything.
func (f *FS) LoseDisk() {
	f.Restart()
	f.live, f.durable, f.pending = map[string]*inode{}, map[string]*inode{}, nil
}

// Corrupt inverts one byte of a file, synced or not. It reports whether the file has that offset.
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

// change counts a change and decides whether it fails.
func (f *FS) change() error {
	if f.failed {
		return ErrInjected
	}
	f.changes++
	if f.failIn > 0 {
		f.failIn--
		f.failed = f.failIn == 0
	}
	if f.failed {
		return ErrInjected
	}
	return nil
}

// rename applies a name change to the live names and remembers it for the next SyncDir.
func (f *FS) rename(apply func(map[string]*inode)) {
	apply(f.live)
	f.pending = append(f.pending, apply)
}

// MkdirAll implements storage.FS; directories need no creation.
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
	if err := f.change(); err != nil {
		return nil, err
	}
	n := &inode{}
	f.rename(func(m map[string]*inode) { m[path] = n })
	return &file{fs: f, node: n, epoch: f.epoch}, nil
}

// Append implements storage.FS.
func (f *FS) Append(path string) (storage.File, error) {
	n := f.live[path]
	if n == nil {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return &file{fs: f, node: n, epoch: f.epoch, ignoreSync: f.IgnoreFileSync}, nil
}

// Rename implements storage.FS.
func (f *FS) Rename(from, to string) error {
	if err := f.change(); err != nil {
		return err
	}
	n := f.live[from]
	if n == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	f.rename(func(m map[string]*inode) {
		delete(m, from)
		m[to] = n
	})
	return nil
}

// Remove implements storage.FS.
func (f *FS) Remove(path string) error {
	if err := f.change(); err != nil {
		return err
	}
	f.rename(func(m map[string]*inode) { delete(m, path) })
	return nil
}

// SyncDir implements storage.FS.
func (f *FS) SyncDir(string) error {
	if err := f.change(); err != nil {
		return err
	}
	for _, apply := range f.pending {
		apply(f.durable)
	}
	f.pending = nil
	return nil
}

type file struct {
	fs         *FS
	node       *inode
	epoch      int
	ignoreSync bool
}

func (h *file) change() error {
	if h.epoch != h.fs.epoch {
		return fs.ErrClosed
	}
	return h.fs.change()
}

// Write implements storage.File. A failing write leaves a random part.
func (h *file) Write(p []byte) (int, error) {
	if err := h.change(); err != nil {
		if h.epoch == h.fs.epoch {
			p = p[:h.fs.rng.IntN(len(p)+1)]
			h.node.data = append(h.node.data, p...)
		}
		return 0, err
	}
	h.node.data = append(h.node.data, p...)
	return len(p), nil
}

// Sync implements storage.File.
func (h *file) Sync() error {
	if err := h.change(); err != nil {
		h.node.lost = true
		return err
	}
	if !h.ignoreSync && !h.node.lost {
		h.node.synced = len(h.node.data)
	}
	return nil
}

// Close implements storage.File.
func (h *file) Close() error { return nil }
