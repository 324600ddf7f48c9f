package distribution

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rosemarygate/api/control/v1"
)

// Store keeps the last accepted configuration of a daemon.
type Store interface {
	// Load returns nil if there is no copy.
	Load() (*controlpb.Copy, error)
	// Save returns when the copy is durable.
	Save(*controlpb.Copy) error
	// PreserveCopy preserves the current copy, so that later saves do not replace it, and returns its path.
	PreserveCopy() (string, error)
}

const (
	copyMagic    = "rosemarygate copy 1\n"
	copyFileMode = 0o600 // the copy holds token keys
)

// FileStore stores the copy in one file: a magic line, the SHA-256 of what follows it, and the
// encoded copy.
type FileStore struct{ path string }

// NewFileStore returns a store at the path, whose folder must exist. It removes temporary files of an
// interrupted Save.
func NewFileStore(path string) (*FileStore, error) {
	leftovers, err := filepath.Glob(filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+"*"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	for _, name := range leftovers {
		if err := os.Remove(name); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	return &FileStore{path}, nil
}

// Load reads the copy and verifies its checksum.
func (s *FileStore) Load() (*controlpb.Copy, error) {
	b, err := os.ReadFile(s.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	payload, ok := copyPayload(b)
	if !ok {
		return nil, s.damagedError()
	}
	c := new(controlpb.Copy)
	if proto.Unmarshal(payload, c) != nil {
		return nil, s.damagedError()
	}
	return c, nil
}

// copyPayload returns the encoded copy in the content of a file, and false if the file is damaged.
func copyPayload(b []byte) (payload []byte, ok bool) {
	body, ok := bytes.CutPrefix(b, []byte(copyMagic))
	if !ok || len(body) < sha256.Size {
		return nil, false
	}
	sum := sha256.Sum256(body[sha256.Size:])
	return body[sha256.Size:], bytes.Equal(sum[:], body[:sha256.Size])
}

func (s *FileStore) damagedError() error {
	return errors.Errorf("copy of the configuration %s is damaged: delete it, and the daemon fetches it from a control replica", s.path)
}

// Save replaces the file, and syncs the file and its folder.
func (s *FileStore) Save(c *controlpb.Copy) error {
	payload, err := proto.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode the copy of the configuration")
	}
	dir := filepath.Dir(s.path)
	f, err := renameio.NewPendingFile(s.path, renameio.WithTempDir(dir), renameio.WithStaticPermissions(copyFileMode))
	if err != nil {
		return errors.WithStack(err)
	}
	defer f.Cleanup()
	sum := sha256.Sum256(payload)
	for _, part := range [][]byte{[]byte(copyMagic), sum[:], payload} {
		if _, err := f.Write(part); err != nil {
			return errors.WithStack(err)
		}
	}
	if err := f.CloseAtomicallyReplace(); err != nil {
		return errors.WithStack(err)
	}
	return syncDir(dir)
}

// ReadCopy reads the copy stored by another daemon, for export.
func ReadCopy(path string) (*controlpb.Copy, error) {
	c, err := (&FileStore{path}).Load()
	if err == nil && c == nil {
		err = errors.Errorf("%s does not exist: name the file accepted.copy in a daemon's data folder", path)
	}
	if err != nil {
		return nil, err
	}
	_, err = NewReceiver(c) // verifies the digest
	return c, err
}

// PreserveCopy creates a hard link to the copy; the name of the link contains the version.
func (s *FileStore) PreserveCopy() (string, error) {
	c, err := s.Load()
	if err != nil || c == nil {
		return "", err
	}
	path := fmt.Sprintf("%s.%d", s.path, c.GetVersion())
	if err := os.Link(s.path, path); err != nil && !errors.Is(err, fs.ErrExist) {
		return "", errors.WithStack(err)
	}
	return path, syncDir(filepath.Dir(path))
}

// syncDir makes the renames and links in a folder durable.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return errors.WithStack(err)
	}
	defer d.Close()
	return errors.WithStack(d.Sync())
}
