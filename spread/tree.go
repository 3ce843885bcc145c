package spread

import (
	"slices"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/rank"
)

const (
	fanOut   = 3 // Children of one node in a tree.
	maxRoots = 2 // Roots in each zone: the processes that poll the key-value service.
)

// tree holds the members of one availability zone in rank order, which is the same at all processes.
//
// There is one spanning tree for each root: in the tree of root i, the member at position p of the order rotated by i
// has the members at positions 3p+1 to 3p+3 as children.
type tree struct {
	members    []bulrushlug.Member   // In rank order; the first maxRoots are the roots.
	self       int                   // Index of this process in members, or -1.
	otherZones [][]bulrushlug.Member // Members of each other zone, in rank order.
}

// newTree builds the trees of the process n in zone z from the VM list l.
func newTree(n, z string, l []bulrushlug.Member) *tree {
	zones := map[string][]bulrushlug.Member{}
	for _, m := range l {
		zones[m.Zone()] = append(zones[m.Zone()], m)
	}
	t := &tree{members: byRank(z, zones[z])}
	t.self = slices.IndexFunc(t.members, func(m bulrushlug.Member) bool { return m.Name() == n })
	names := make([]string, 0, len(zones))
	for k := range zones {
		names = append(names, k)
	}
	slices.Sort(names)
	for _, k := range names {
		if k != z {
			t.otherZones = append(t.otherZones, byRank(k, zones[k]))
		}
	}
	return t
}

// byRank orders the members of zone z by rendezvous hashing, entries first, since agents also send load reports.
func byRank(z string, l []bulrushlug.Member) []bulrushlug.Member {
	m := map[string]bulrushlug.Member{}
	var n []string
	for _, x := range l {
		m[x.Name()] = x
		n = append(n, x.Name())
	}
	var entries, others []bulrushlug.Member
	for _, x := range rank.Order(z, n) {
		if m[x].Role() == bulrushlug.RoleEntry {
			entries = append(entries, m[x])
		} else {
			others = append(others, m[x])
		}
	}
	return append(entries, others...)
}

// isRoot reports whether this process is a root of its zone.
func (t *tree) isRoot() bool { return t.self >= 0 && t.self < maxRoots }

// position returns this process's position in the tree of root i.
func (t *tree) position(i int) int {
	n := len(t.members)
	return (t.self - i + n) % n
}

// parent returns this process's parent in the tree of root i, if it has one.
func (t *tree) parent(i int) (bulrushlug.Member, bool) {
	if t.self < 0 || i >= len(t.members) {
		return bulrushlug.Member{}, false
	}
	p := t.position(i)
	if p == 0 {
		return bulrushlug.Member{}, false
	}
	return t.members[((p-1)/fanOut+i)%len(t.members)], true
}

// children returns this process's children in the tree of root i.
func (t *tree) children(i int) []bulrushlug.Member {
	if t.self < 0 || i >= len(t.members) {
		return nil
	}
	p, n := t.position(i), len(t.members)
	var l []bulrushlug.Member
	for k := fanOut*p + 1; k <= fanOut*p+fanOut && k < n; k++ {
		l = append(l, t.members[(k+i)%n])
	}
	return l
}
