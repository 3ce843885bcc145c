// Package rank implements rendezvous hashing (highest random weight): when a name is added or removed, only the keys of
// that name move.
package rank

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Order returns the names in l, sorted by their weight for key k, highest first.
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

// Parent returns the position of the parent of position i in a tree over a list, whose first n positions are the roots
// and in which every position has up to fanout children; it is negative for a root.
func Parent(i, n, fanout int) int {
	if i < n {
		return -1
	}
	return (i - n) / fanout
}

// First returns the highest-ranked name for key k that f accepts, or an empty string.
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

// weight returns the pseudorandom weight of name n for key k.
func weight(k, n string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(k)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(n)
	return d.Sum64()
}
