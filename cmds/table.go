package cmds

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// writeTable aligns the tab-separated columns that f writes.
func writeTable(o io.Writer, f func(w io.Writer)) error {
	w := tabwriter.NewWriter(o, 0, 0, 2, ' ', 0)
	f(w)
	return w.Flush()
}

// writeRow writes one tab-separated line, with a dash for each empty cell.
func writeRow(w io.Writer, c ...any) {
	var l []string
	for _, x := range c {
		s := fmt.Sprint(x)
		if s == "" {
			s = "-"
		}
		l = append(l, s)
	}
	_, _ = fmt.Fprintln(w, strings.Join(l, "\t"))
}

// formatLabels returns m as name=value pairs, sorted by name.
func formatLabels(m map[string]string) string {
	var l []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		l = append(l, k+"="+m[k])
	}
	return strings.Join(l, ",")
}
