package replica

import (
	"maps"
	"math"
	"os"
	"slices"
	"strings"

	"github.com/google/renameio/v2"
	"github.com/pkg/errors"

	"rosemarygate/pkg/control/totals"
)

// restoredFile is the file that lists the replicas from which all days were restored.
const restoredFile = "restored"

// copiesField marks a line of a replica that also returns the counters it received itself, because this
// replica holds copies of them.
const copiesField = "copies"

// restoreTracker decides which days a replica requests from the others: after a start the days since
// its newest file, which a crash may have left incomplete, and all days if its disk was lost or the
// replicas have changed.
type restoreTracker struct {
	path          string
	newestFile    totals.Day
	completeLines []string // lines of restoredFile, sorted
	returnedBy    map[string]returnedDays
}

// returnedDays records the days that another replica returned since this one started: those since from.
type returnedDays struct {
	from totals.Day
	line string
}

func loadRestoreTracker(path string, files []totals.Day) (restoreTracker, error) {
	s := restoreTracker{path: path, newestFile: math.MinInt32, returnedBy: map[string]returnedDays{}}
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return s, errors.Wrap(err, "totals cannot be read: check the data folder")
	}
	if len(data) > 0 && len(files) > 0 {
		s.completeLines = strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
		s.newestFile = files[len(files)-1]
	}
	return s, nil
}

// restoreLine returns the line of a replica in restoredFile: its name, its data centre, and whether this
// replica holds copies for it.
func restoreLine(replica totals.Replica, copies bool) string {
	line := replica.Name + "\t" + replica.DataCentre
	if copies {
		line += "\t" + copiesField
	}
	return line
}

// dataCentre returns the data centre of a replica in restoredFile, empty if it is not listed. The file
// is used because a replica that is down when this one starts is not in the member list.
func (s *restoreTracker) dataCentre(name string) string {
	for _, line := range s.completeLines {
		if fields := strings.Split(line, "\t"); fields[0] == name && len(fields) > 1 {
			return fields[1]
		}
	}
	return ""
}

// firstDayToReturn returns the first day that a replica has to return, and false if it has returned all of
// them. The lines are those of all other replicas, by name.
func (s *restoreTracker) firstDayToReturn(name string, expectedLines map[string]string) (totals.Day, bool) {
	first := totals.Day(math.MinInt32)
	if slices.Equal(s.completeLines, slices.Sorted(maps.Values(expectedLines))) {
		first = totals.FirstIncompleteDay(s.newestFile)
	}
	last, ok := s.returnedBy[name]
	return first, !ok || last.from > first || last.line != expectedLines[name]
}

// setReturned records that a replica returned all days since from. It reports whether all replicas
// have now returned all days; the caller then has to call writeComplete.
func (s *restoreTracker) setReturned(name string, from totals.Day, expectedLines map[string]string) bool {
	s.returnedBy[name] = returnedDays{from, expectedLines[name]}
	for other, line := range expectedLines {
		if last, ok := s.returnedBy[other]; !ok || last.from != math.MinInt32 || last.line != line {
			return false
		}
	}
	return true
}

// writeComplete writes restoredFile.
func (s *restoreTracker) writeComplete(expectedLines map[string]string) error {
	s.completeLines = slices.Sorted(maps.Values(expectedLines))
	return errors.WithStack(renameio.WriteFile(s.path, []byte(strings.Join(s.completeLines, "\n")+"\n"), filePermission))
}
