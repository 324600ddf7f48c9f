//go:build brokendisk

package cli

import (
	"os"
	"strconv"
	"time"

	"rosemarygate/pkg/storage"
	"rosemarygate/pkg/storage/brokenfs"
	"rosemarygate/pkg/wallclock"
)

// dataFS returns a file system whose faults the fault soak test turns on and off. The test sets the clock of
// the process, too.
func dataFS(dir string) storage.FS {
	wallclock.SetOffset(func() time.Duration {
		content, err := os.ReadFile(brokenfs.ClockPath(dir))
		if err != nil { // without the file the clock is right
			return 0
		}
		ms, err := strconv.ParseInt(string(content), 10, 64)
		if err != nil { // the file is being written
			return 0
		}
		return time.Duration(ms) * time.Millisecond
	})
	return brokenfs.New(storage.OS{}, dir)
}
