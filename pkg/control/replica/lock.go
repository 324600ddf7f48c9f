package replica

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const lockFile = "agreement.lock"

// lockFolder locks the replica's files below a data folder against other processes. The lock lasts
// until the returned file is closed or the process ends.
func lockFolder(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, filePermission)
	if err != nil {
		return nil, errors.Wrap(err, "data folder cannot be locked: check data_dir")
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, errors.Errorf("data folder %s is in use by a running replica: stop that process first", dir)
		}
		return nil, errors.Wrapf(err, "data folder %s cannot be locked: check its file system", dir)
	}
	return f, nil
}
