package spread

import (
	"slices"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/rank"
)

const (
	fanOut   = 3 // Children of one process in one tree.
	rootsMax = 2 // Processes of each zone that ask the key-value service.
)

// tree is the membership of one availability zone, in an order that all processes work out alike.
//
// There is one spanning tree for each root. In the tree of root i, the member at place p of the order
// rotated by i has the members at places 3p+1 to 3p+3 as children.
type tree struct {
	members []bulrushlug.Member   // In the order of ranks; the first ones are the roots.
	self    int                   // Place of the process in members, or -1.
	others  [][]bulrushlug.Member // Members of each other zone, in their order of ranks.
}

// newTree works out the trees for the process n in zone z from a list of VMs.
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
			t.others = append(t.others, byRank(k, zones[k]))
		}
	}
	return t
}

// byRank returns the members of zone z in their order: entries first, since agents send load reports besides.
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

// isRoot reports whether the process asks the key-value service.
func (t *tree) isRoot() bool { return t.self >= 0 && t.self < rootsMax }

// place returns the process's place in the tree of root i.
func (t *tree) place(i int) int {
	n := len(t.members)
	return (t.self - i + n) % n
}

// parent returns the member above the process in the tree of root i.
func (t *tree) parent(i int) (bulrushlug.Member, bool) {
	if t.self < 0 || i >= len(t.members) {
		return bulrushlug.Member{}, false
	}
	p := t.place(i)
	if p == 0 {
		return bulrushlug.Member{}, false
	}
	return t.members[((p-1)/fanOut+i)%len(t.members)], true
}

// children returns the members below the process in the tree of root i.
func (t *tree) children(i int) []bulrushlug.Member {
	if t.self < 0 || i >= len(t.members) {
		return nil
	}
	p, n := t.place(i), len(t.members)
	var l []bulrushlug.Member
	for k := fanOut*p + 1; k <= fanOut*p+fanOut && k < n; k++ {
		l = append(l, t.members[(k+i)%n])
	}
	return l
}
