//go:build !brokendisk

package cli

import "rosemarygate/pkg/storage"

// dataFS returns the file system of a control host's data folder.
func dataFS(string) storage.FS { return storage.OS{} }
