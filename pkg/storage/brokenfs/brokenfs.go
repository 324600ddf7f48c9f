// Package brokenfs is a file system whose faults are switched from outside the process, through a
// file: the fault soak builds the programs with it (build tag brokendisk).
package brokenfs

import (
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"rosemarygate/pkg/storage"
)

// Faults that the switch may name.
const (
	// Full refuses every change.
	Full = "full"
	// Stalled answers no change until the fault ends.
	Stalled = "stalled"
)

// stallPoll is how often a stalled disk looks at the switch.
const stallPoll = 20 * time.Millisecond

// SwitchPath returns the path of the switch for a data folder: beside it, so that losing the folder
// does not end the fault.
func SwitchPath(dataDir string) string { return filepath.Clean(dataDir) + ".fault" }

// FS is a file system with a switch. Reading always works.
type FS struct {
	storage.FS
	path string
}

// New returns the file system of a data folder.
func New(inner storage.FS, dataDir string) *FS { return &FS{inner, SwitchPath(dataDir)} }

// change waits while the disk stalls, and returns an error while it is full.
func (f *FS) change() error {
	for {
		fault, err := os.ReadFile(f.path)
		switch {
		case err != nil: // no fault is switched on
			return nil
		case string(fault) == Full:
			return errors.WithStack(syscall.ENOSPC)
		case string(fault) != Stalled:
			return nil
		}
		time.Sleep(stallPoll)
	}
}

// MkdirAll implements storage.FS.
func (f *FS) MkdirAll(dir string) error {
	if err := f.change(); err != nil {
		return err
	}
	return f.FS.MkdirAll(dir)
}

// Create implements storage.FS.
func (f *FS) Create(path string) (storage.File, error) { return f.open(path, f.FS.Create) }

// Append implements storage.FS.
func (f *FS) Append(path string) (storage.File, error) { return f.open(path, f.FS.Append) }

func (f *FS) open(path string, open func(string) (storage.File, error)) (storage.File, error) {
	if err := f.change(); err != nil {
		return nil, err
	}
	inner, err := open(path)
	if err != nil {
		return nil, err
	}
	return &file{inner, f}, nil
}

// Rename implements storage.FS.
func (f *FS) Rename(from, to string) error {
	if err := f.change(); err != nil {
		return err
	}
	return f.FS.Rename(from, to)
}

// Remove implements storage.FS.
func (f *FS) Remove(path string) error {
	if err := f.change(); err != nil {
		return err
	}
	return f.FS.Remove(path)
}

// SyncDir implements storage.FS.
func (f *FS) SyncDir(dir string) error {
	if err := f.change(); err != nil {
		return err
	}
	return f.FS.SyncDir(dir)
}

type file struct {
	storage.File
	fs *FS
}

// Write implements storage.File.
func (f *file) Write(p []byte) (int, error) {
	if err := f.fs.change(); err != nil {
		return 0, err
	}
	return f.File.Write(p)
}

// Sync implements storage.File.
func (f *file) Sync() error {
	if err := f.fs.change(); err != nil {
		return err
	}
	return f.File.Sync()
}
