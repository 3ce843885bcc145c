package slots

import (
	"math/rand/v2"
	"slices"
	"time"

	"bulrushlug.dev/bulrushlug/rank"
)

// order tells which process comes first with its batch items at each server.
type order struct {
	self string
	all  []string // All processes that run batch items.
}

func (t *Table) order() order { return order{self: t.self, all: append(t.rivals(), t.self)} }

// first reports whether this process comes before all others at server id.
func (o order) first(id string) bool {
	return rank.First(id, o.all, func(string) bool { return true }) == o.self
}

// before returns the processes that come before this one at server id.
func (o order) before(id string) []string {
	l := rank.Order(id, o.all)
	return l[:slices.Index(l, o.self)]
}

// AcquireBatch picks a server of service v with a slot that online requests leave idle, or returns nil.
//
// At each server one process comes first, so that processes rarely start items for the same slot.
func (t *Table) AcquireBatch(v string) *Reservation {
	now := time.Now()
	o := t.order()
	var best choice
	free, all := 0, 0
	for i := range t.shards {
		c, ok, f, n := t.shards[i].idle(v, o, now)
		free += f
		all += n
		if ok && c.better(best) {
			best = c
		}
	}
	if best.shard == nil || float64(free-1) < batchReserve*float64(all) {
		return nil
	}
	return best.shard.take(best.id, true)
}

// idle returns the best server of the shard, how many slots of service v are idle in it, and how many there are.
func (s *shard) idle(v string, o order, now time.Time) (best choice, ok bool, free, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		if !e.usable(v, nil, now, true) {
			continue
		}
		online, batch := s.load(e, now)
		n := max(0, int(e.backend.Slots())-online-batch)
		all += int(e.backend.Slots())
		free += n
		first := o.first(id)
		if n == 0 || !first && now.Sub(e.started) < startPause {
			continue
		}
		c := choice{shard: s, id: id, later: !first, score: -float64(n) - jitter*rand.Float64()}
		if c.better(best) {
			best, ok = c, true
		}
	}
	return best, ok, free, all
}

// Preemptions returns how many own batch items at each server have to make room for online requests.
//
// Processes make room in an order that all of them know, so that no two end items for the same request.
func (t *Table) Preemptions() map[string]int {
	m := map[string]int{}
	o := t.order()
	for i := range t.shards {
		t.shards[i].excess(o, m)
	}
	return m
}

func (s *shard) excess(o order, m map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, e := range s.entries {
		if e.batch == 0 {
			continue
		}
		online, _ := s.load(e, now)
		room := int(e.backend.Slots()) - online - s.before(o, id, now)
		if n := e.batch - max(0, room); n > 0 {
			m[id] = n
		}
	}
}

// before returns the batch items at server id of the processes that come before this one.
func (s *shard) before(o order, id string, now time.Time) (n int) {
	for _, vm := range o.before(id) {
		if r, ok := s.remote[vm][id]; ok && now.Sub(r.at) < remoteTimeout {
			n += r.batch
		}
	}
	return n
}
