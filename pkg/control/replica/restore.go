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

// restoredFile lists the other replicas from which all days were restored.
const restoredFile = "restored"

const copiesMark = "copies"

// restores decides which totals a replica asks the others for: after a start the days since its
// newest file, which a crash can have cut short, and all days when its disk was lost or the
// replicas have changed.
type restores struct {
	path     string
	newest   totals.Day
	complete []string // lines of the file
	done     map[string]restored
}

// restored is what another replica returned since this one started.
type restored struct {
	from totals.Day
	line string
}

func loadRestores(path string, files []totals.Day) (restores, error) {
	s := restores{path: path, newest: math.MinInt32, done: map[string]restored{}}
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return s, errors.Wrap(err, "totals cannot be read: check the data folder")
	}
	if len(data) > 0 && len(files) > 0 {
		s.complete = strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
		s.newest = files[len(files)-1]
	}
	return s, nil
}

// restoreLine describes what a replica owes this one.
func restoreLine(p totals.Place, copies bool) string {
	line := p.Name + "\t" + p.DataCentre
	if copies {
		line += "\t" + copiesMark
	}
	return line
}

// dataCentre returns the data centre of a replica by the file, empty if it is not listed. A
// replica that is down when this one starts is not in the member list.
func (s *restores) dataCentre(name string) string {
	for _, line := range s.complete {
		if fields := strings.Split(line, "\t"); fields[0] == name && len(fields) > 1 {
			return fields[1]
		}
	}
	return ""
}

// from returns the first day that a replica has to return, and whether it has to at all. The
// lines are those of all other replicas.
func (s *restores) from(name string, lines map[string]string) (totals.Day, bool) {
	first := totals.Day(math.MinInt32)
	if slices.Equal(s.complete, slices.Sorted(maps.Values(lines))) {
		first = totals.FirstIncomplete(s.newest)
	}
	done, ok := s.done[name]
	return first, !ok || done.from > first || done.line != lines[name]
}

// returned records what a replica returned. It reports whether all replicas have now returned
// all days, which has to be written.
func (s *restores) returned(name string, from totals.Day, lines map[string]string) bool {
	s.done[name] = restored{from, lines[name]}
	for other, line := range lines {
		if done, ok := s.done[other]; !ok || done.from != math.MinInt32 || done.line != line {
			return false
		}
	}
	return true
}

func (s *restores) write(lines map[string]string) error {
	s.complete = slices.Sorted(maps.Values(lines))
	return errors.WithStack(renameio.WriteFile(s.path, []byte(strings.Join(s.complete, "\n")+"\n"), filePermission))
}
