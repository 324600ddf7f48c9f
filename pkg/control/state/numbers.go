package state

import (
	"fmt"
	"strconv"

	"rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/folder"
)

// maxNumberDigits keeps file numbers within 64 bits.
const maxNumberDigits = 18

// checkNumbers refuses a file that is new in the folder and has the number of another file.
func checkNumbers(next, current *folder.Folder, put []*controlpb.File) *controlpb.Reply {
	for _, f := range put {
		n, ok := number(f.GetName())
		if !ok || current.Get(f.GetName()) != nil {
			continue
		}
		for _, holder := range next.WithNumber(n, maxNumberDigits) {
			if holder.Name != f.GetName() {
				return numberTaken(next, f.GetName(), holder.Name)
			}
		}
	}
	return nil
}

func numberTaken(f *folder.Folder, name, holder string) *controlpb.Reply {
	return refuse(&controlpb.Refusal{
		Kind:           controlpb.Refusal_KIND_NUMBER_TAKEN,
		File:           name,
		Holder:         holder,
		NextFreeNumber: nextFree(f, name),
	})
}

// nextFree returns the smallest number above the file's own that no file has, with the
// width of the file's number: it keeps the file's place in the order of the merge.
func nextFree(f *folder.Folder, name string) string {
	used := make(map[uint64]bool)
	for _, file := range f.Files() {
		if n, ok := number(file.Name); ok {
			used[n] = true
		}
	}
	n, ok := number(name)
	if !ok {
		return ""
	}
	for n++; used[n]; n++ {
	}
	return fmt.Sprintf("%0*d", len(folder.Number(name)), n)
}

func number(name string) (uint64, bool) {
	digits := folder.Number(name)
	if digits == "" || len(digits) > maxNumberDigits {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil
}
