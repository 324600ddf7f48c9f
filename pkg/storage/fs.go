package storage

import (
	"io"
	"os"
	"path/filepath"
)

// FS is the part of a file system that this package uses. The contents of a file are durable after
// Sync, and the creation, renaming and removal of files after SyncDir.
type FS interface {
	MkdirAll(dir string) error
	// ReadDir returns the names of the files in dir.
	ReadDir(dir string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create opens an empty file, replacing an existing one.
	Create(path string) (File, error)
	// Append opens an existing file for appending.
	Append(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error
}

// File is a file open for writing.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// OS is the operating system's file system.
type OS struct{}

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// ReadDir implements FS.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// ReadFile implements FS.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FS.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append implements FS.
func (OS) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	if err := d.Sync(); err != nil {
		d.Close()
		return err
	}
	return d.Close()
}

// WriteAtomic creates or replaces a file atomically: after a crash the file is either unchanged or
// complete.
func WriteAtomic(fs FS, path string, contents []byte) error {
	tmp := path + tmpSuffix
	f, err := fs.Create(tmp)
	if err != nil {
		return err
	}
	if err := writeAndSync(f, contents); err != nil {
		return err
	}
	if err := fs.Rename(tmp, path); err != nil {
		return err
	}
	return fs.SyncDir(filepath.Dir(path))
}

func writeAndSync(f File, contents []byte) error {
	if _, err := f.Write(contents); err != nil {
		f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
