package cli

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
)

// printTable writes names and values in two columns, sorted by name.
func printTable(w io.Writer, values map[string]any) error {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	sort.Strings(names)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, name := range names {
		fmt.Fprintf(table, "%s\t%v\n", name, values[name])
	}
	return table.Flush()
}
