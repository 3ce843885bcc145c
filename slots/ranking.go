package slots

import (
	"maps"
	"slices"

	"bulrushlug.dev/bulrushlug/rank"
)

// ranking orders the processes that run batch items at each server by rendezvous hashing, so that all of them agree on
// the order without exchanging messages.
type ranking struct {
	self    string
	all     []string            // All processes that run batch items, sorted.
	version uint64              // Version of the list of servers.
	order   map[string][]string // Processes by server, in their order.
}

// ranking returns the order of the processes, computed again if a process or a server came or went.
func (t *Table) ranking() *ranking {
	all := append(t.batchVMs(), t.self)
	slices.Sort(all)
	all = slices.Compact(all)
	v := t.version.Load()
	if o := t.ranks.Load(); o != nil && o.version == v && slices.Equal(o.all, all) {
		return o
	}
	o := &ranking{self: t.self, all: all, version: v, order: map[string][]string{}}
	for _, id := range t.servers() {
		o.order[id] = rank.Order(id, all)
	}
	t.ranks.Store(o)
	return o
}

// servers returns the identifiers of all servers.
func (t *Table) servers() (l []string) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		l = slices.AppendSeq(l, maps.Keys(s.entries))
		s.mu.Unlock()
	}
	return l
}

// isFirst reports whether this process ranks first at server id.
func (o *ranking) isFirst(id string) bool {
	l := o.order[id]
	return len(l) > 0 && l[0] == o.self
}

// predecessors returns the processes that rank before this one at server id.
func (o *ranking) predecessors(id string) []string {
	l := o.order[id]
	return l[:max(0, slices.Index(l, o.self))]
}
