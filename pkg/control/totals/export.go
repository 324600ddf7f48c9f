package totals

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"rosemarygate/api/control/v1"
)

// Row is one line of an export.
type Row struct {
	Day   Day
	Key   Key
	Count uint64
}

// columns are the columns of both exports. New columns are always appended at the end.
var columns = []string{"day", "user", "service", "counter", "reason", "count"}

func countsOfDay(days map[Day]Counts, day Day) Counts {
	if days[day] == nil {
		days[day] = Counts{}
	}
	return days[day]
}

// Rows returns the lines of an export, sorted by day, user, service, counter and reason.
func Rows(days []*controlpb.DayCounters) []Row {
	byDay := map[Day]Counts{}
	for _, d := range days {
		countsOfDay(byDay, Day(d.GetDay())).keepMax(decode(d.GetServices()))
	}
	var out []Row
	for _, day := range slices.Sorted(maps.Keys(byDay)) {
		for _, k := range byDay[day].sortedKeys() {
			out = append(out, Row{day, k, byDay[day][k]})
		}
	}
	return out
}

// WriteCSV writes the rows as CSV for a spreadsheet, with a header and the line ends of RFC 4180.
func WriteCSV(w io.Writer, rows []Row) error {
	out := csv.NewWriter(w)
	out.UseCRLF = true
	if err := out.Write(columns); err != nil {
		return errors.WithStack(err)
	}
	for _, r := range rows {
		cells := r.cells()
		for i := range cells {
			cells[i] = escapeFormula(cells[i])
		}
		if err := out.Write(cells); err != nil {
			return errors.WithStack(err)
		}
	}
	out.Flush()
	return errors.WithStack(out.Error())
}

// IncompleteNotice returns the line that names the replicas that did not answer. It is empty if all
// answered.
func IncompleteNotice(missing []string) string {
	if len(missing) == 0 {
		return ""
	}
	return fmt.Sprintf("totals may be incomplete: no answer from %s; repeat the command when they run again", strings.Join(missing, ", "))
}

// WriteText writes the rows as an aligned table and names the replicas that did not answer.
func WriteText(w io.Writer, rows []Row, missing []string) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, strings.Join(columns, "\t"))
	for _, r := range rows {
		cells := r.cells()
		for i := range cells {
			cells[i] = strconv.Quote(cells[i])
			cells[i] = cells[i][1 : len(cells[i])-1] // prevents control characters on the terminal
		}
		fmt.Fprintln(out, strings.Join(cells, "\t"))
	}
	if line := IncompleteNotice(missing); line != "" {
		fmt.Fprintln(out, line)
	}
	return errors.WithStack(out.Flush())
}

func (r Row) cells() []string {
	return []string{
		r.Day.String(),
		r.Key.User,
		r.Key.Service,
		kindName(r.Key.Kind),
		r.Key.Reason,
		strconv.FormatUint(r.Count, 10),
	}
}

func kindName(k controlpb.Counter_Kind) string {
	return strings.ToLower(strings.TrimPrefix(k.String(), "KIND_"))
}

// formulaPrefixes are the first characters of a cell that a spreadsheet may interpret as a
// formula, with the full-width forms that some spreadsheets convert.
const formulaPrefixes = "=+-@\t\r\n＝＋－＠"

// escapeFormula makes a spreadsheet show a cell as text instead of running it as a formula.
func escapeFormula(cell string) string {
	first := strings.TrimLeft(cell, " ")
	if first != "" && strings.ContainsRune(formulaPrefixes, []rune(first)[0]) {
		return "'" + cell
	}
	return cell
}
