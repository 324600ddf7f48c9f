// Package brokenfs is a file system with faults that other processes switch on and off through a file.
// Programs that are built with the tag brokendisk use it in the soak test.
package brokenfs

import (
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"rosemarygate/pkg/storage"
)

// Faults that the switch file may contain.
const (
	// Full makes every change fail.
	Full = "full"
	// Stalled blocks every change until the fault ends.
	Stalled = "stalled"
)

// stallPollPeriod is the time between two reads of the switch file while the disk is stalled.
const stallPollPeriod = 20 * time.Millisecond

// SwitchPath returns the path of the switch file of a data folder. It is next to the folder, so that the
// removal of the folder does not end the fault.
func SwitchPath(dataDir string) string { return filepath.Clean(dataDir) + ".fault" }

// ClockPath returns the path of the file with the offset of the process's clock, in milliseconds.
func ClockPath(dataDir string) string { return filepath.Clean(dataDir) + ".clock" }

// FS is a file system with switchable faults. Reads never fail.
type FS struct {
	storage.FS
	switchPath string
}

// New returns a file system that adds the faults of a data folder to inner.
func New(inner storage.FS, dataDir string) *FS { return &FS{inner, SwitchPath(dataDir)} }

// applyFault blocks while the disk is stalled and returns an error while it is full.
func (f *FS) applyFault() error {
	for {
		fault, err := os.ReadFile(f.switchPath)
		switch {
		case err != nil: // without a switch file there is no fault
			return nil
		case string(fault) == Full:
			return errors.WithStack(syscall.ENOSPC)
		case string(fault) != Stalled:
			return nil
		}
		time.Sleep(stallPollPeriod)
	}
}

// MkdirAll implements storage.FS.
func (f *FS) MkdirAll(dir string) error {
	if err := f.applyFault(); err != nil {
		return err
	}
	return f.FS.MkdirAll(dir)
}

// Create implements storage.FS.
func (f *FS) Create(path string) (storage.File, error) { return f.open(path, f.FS.Create) }

// Append implements storage.FS.
func (f *FS) Append(path string) (storage.File, error) { return f.open(path, f.FS.Append) }

func (f *FS) open(path string, open func(string) (storage.File, error)) (storage.File, error) {
	if err := f.applyFault(); err != nil {
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
	if err := f.applyFault(); err != nil {
		return err
	}
	return f.FS.Rename(from, to)
}

// Remove implements storage.FS.
func (f *FS) Remove(path string) error {
	if err := f.applyFault(); err != nil {
		return err
	}
	return f.FS.Remove(path)
}

// SyncDir implements storage.FS.
func (f *FS) SyncDir(dir string) error {
	if err := f.applyFault(); err != nil {
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
	if err := f.fs.applyFault(); err != nil {
		return 0, err
	}
	return f.File.Write(p)
}

// Sync implements storage.File.
func (f *file) Sync() error {
	if err := f.fs.applyFault(); err != nil {
		return err
	}
	return f.File.Sync()
}
