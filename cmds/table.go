package cmds

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// table aligns the columns that f writes, which end with tabs.
func table(o io.Writer, f func(w io.Writer)) error {
	w := tabwriter.NewWriter(o, 0, 0, 2, ' ', 0)
	f(w)
	return w.Flush()
}

// row writes one line of a table.
func row(w io.Writer, c ...any) {
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

// labels returns m in the order of names.
func labels(m map[string]string) string {
	var l []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		l = append(l, k+"="+m[k])
	}
	return strings.Join(l, ",")
}
