package slots

import (
	"math/rand/v2"
	"time"
)

// AcquireBatch reserves a slot for a batch item at a server of service v, or returns nil.
//
// Only slots that online requests leave idle are taken, and none of the reserve, which is never the only slot; cold servers,
// at which few items may start, have a part of it. A server that ranks another process first is used only if there is no
// other, so that processes rarely start items in the same slot.
//
// Servers in back-off are used only if there is no other, by one item of this process at a time, initialBackoff after the
// one before and the last failure. Leaving servers are a last resort, used only if the service has no other server.
func (t *Table) AcquireBatch(v string) *Reservation {
	f := filter{service: v, now: time.Now(), gate: t.gate, closed: true}
	o := t.ranking()
	best, free, all := t.bestIdle(f, o)
	if all == 0 {
		// Nothing else would show that a server is well again before its back-off ends.
		f.leaving = !t.staying(v)
		f.backoff = !f.leaving
		best, free, all = t.bestIdle(f, o)
	}
	if best.shard == nil || float64(free-1) < min(batchReserve*float64(all), float64(all-1)) {
		return nil
	}
	return t.reserve(best, f, true)
}

// bestIdle returns the best server with an idle slot, and counts the idle and all slots of the servers that f selects.
func (t *Table) bestIdle(f filter, o *ranking) (best candidate, free, all int) {
	for i := range t.shards {
		c, ok, m, n := t.shards[i].bestIdle(f, o)
		free += m
		all += n
		if ok && c.better(best) {
			best = c
		}
	}
	return best, free, all
}

// bestIdle returns the best server of the shard with an idle slot, and counts the idle and all slots of the servers that
// f selects.
func (s *shard) bestIdle(f filter, o *ranking) (best candidate, ok bool, free, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		if !f.selects(e, s.leaving[id]) {
			continue
		}
		online, batch := s.totalLoad(e, f.now)
		n := max(0, int(e.backend.Slots())-online-batch)
		all += int(e.backend.Slots())
		free += n
		if n == 0 || !e.open(f.now) || !f.gate.Open(e.backend, f.now) {
			continue
		}
		first := o.isFirst(id)
		c := candidate{shard: s, id: id, fallback: !first, score: -float64(n) - jitter*rand.Float64()}
		if c.better(best) && (first || f.now.Sub(e.started) >= startInterval) {
			best, ok = c, true
		}
	}
	return best, ok, free, all
}

// open reports whether a batch item may be started at the server: it is not in back-off, or the item is a trial.
func (e *entry) open(now time.Time) bool {
	failed := e.backoffUntil.Add(-e.backoff)
	return !now.Before(e.backoffUntil) || e.batch == 0 && min(now.Sub(failed), now.Sub(e.started)) >= initialBackoff
}

// Preemptions returns the number of this process's batch items to preempt at each server, by identifier.
//
// Processes preempt in the order of their rank, so that no two of them end items for the same online request.
func (t *Table) Preemptions() map[string]int {
	m := map[string]int{}
	o := t.ranking()
	for i := range t.shards {
		t.shards[i].preemptions(o, m)
	}
	return m
}

func (s *shard) preemptions(o *ranking, m map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, e := range s.entries {
		if e.batch == 0 {
			continue
		}
		online, _ := s.totalLoad(e, now)
		room := int(e.backend.Slots()) - online - s.batchOfPredecessors(o, id)
		if n := e.batch - max(0, room); n > 0 {
			m[id] = n
		}
	}
}

// batchOfPredecessors counts the batch items at server id of the processes that rank before this one; the caller has
// removed expired reports.
func (s *shard) batchOfPredecessors(o *ranking, id string) (n int) {
	for _, vm := range o.predecessors(id) {
		n += s.remote[vm].loads[id].batch
	}
	return n
}
