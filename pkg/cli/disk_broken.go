//go:build brokendisk

package cli

import (
	"rosemarygate/pkg/storage"
	"rosemarygate/pkg/storage/brokenfs"
)

// dataFS returns a file system whose faults the fault soak test turns on and off.
func dataFS(dir string) storage.FS { return brokenfs.New(storage.OS{}, dir) }
