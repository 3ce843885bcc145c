// Package rank orders names by highest random weight, so that few places change when members come and go.
package rank

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Order returns the names in l in their order for key k.
func Order(k string, l []string) []string {
	m := slices.Clone(l)
	slices.SortFunc(m, func(a, b string) int {
		if n := cmp.Compare(weight(k, b), weight(k, a)); n != 0 {
			return n
		}
		return strings.Compare(a, b)
	})
	return m
}

// First returns the first name for key k that f accepts, or nothing.
func First(k string, l []string, f func(n string) bool) string {
	best, high := "", uint64(0)
	for _, n := range l {
		w := weight(k, n)
		if (best == "" || w > high || w == high && n < best) && f(n) {
			best, high = n, w
		}
	}
	return best
}

func weight(k, n string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(k)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(n)
	return d.Sum64()
}
