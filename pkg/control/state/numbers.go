package state

import (
	"fmt"
	"strconv"

	"rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/folder"
)

// maxNumberDigits keeps file numbers within 64 bits.
const maxNumberDigits = 18

// checkFileNumbers refuses a new file whose number is that of another file in the folder.
func checkFileNumbers(next, current *folder.Folder, put []*controlpb.File) *controlpb.Reply {
	for _, f := range put {
		n, ok := fileNumber(f.GetName())
		if !ok || current.Get(f.GetName()) != nil {
			continue
		}
		for _, holder := range next.FilesWithNumber(n, maxNumberDigits) {
			if holder.Name != f.GetName() {
				return numberTakenReply(next, f.GetName(), holder.Name)
			}
		}
	}
	return nil
}

func numberTakenReply(f *folder.Folder, name, holder string) *controlpb.Reply {
	return refusedReply(&controlpb.Refusal{
		Kind:           controlpb.Refusal_KIND_NUMBER_TAKEN,
		File:           name,
		Holder:         holder,
		NextFreeNumber: nextFreeNumber(f, name),
	})
}

// nextFreeNumber returns the smallest unused number above that of the named file, padded to the
// same width. With it the file keeps its place in the merge order as far as possible.
func nextFreeNumber(f *folder.Folder, name string) string {
	used := make(map[uint64]bool)
	for _, file := range f.Files() {
		if n, ok := fileNumber(file.Name); ok {
			used[n] = true
		}
	}
	n, ok := fileNumber(name)
	if !ok {
		return ""
	}
	for n++; used[n]; n++ {
	}
	return fmt.Sprintf("%0*d", len(folder.LeadingDigits(name)), n)
}

func fileNumber(name string) (uint64, bool) {
	digits := folder.LeadingDigits(name)
	if digits == "" || len(digits) > maxNumberDigits {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil
}
