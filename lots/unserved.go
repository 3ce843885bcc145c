package lots

import (
	"cmp"
	"slices"
	"time"
)

const (
	searchInterval   = time.Second     // Time between two searches for lots for which no primary acts.
	unservedAfter    = 5 * time.Second // Time without an update by the primary after which none acts, and the time between two lines on a lot.
	maxUnservedLines = 10              // Lines a second on such lots.
)

// unservedLot is a lot with open items whose primary, another disk, has sent no update for long.
type unservedLot struct {
	id        string
	replicas  []string
	epoch     uint64
	confirmed bool
	items     int // Items without a result on this disk.
	since     time.Time
	err       error
}

// Unserved returns the number of lots with open items on this disk for which no primary acts as far as it knows.
func (k *ReplicaManager) Unserved() int64 { return k.unserved.Load() }

// logUnserved counts the lots with open items for which no primary acts, once a searchInterval, and writes lines on those
// that are due for one, the ones without a primary for longest first.
func (k *ReplicaManager) logUnserved(now time.Time) {
	if now.Sub(k.unservedAt) < searchInterval {
		return
	}
	k.unservedAt = now
	all := 0
	var due []unservedLot
	for i := range k.shards {
		n, l := k.shards[i].unserved(k.disk, now)
		all += n
		due = append(due, l...)
	}
	k.unserved.Store(int64(all))
	slices.SortFunc(due, func(a, b unservedLot) int { return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.id, b.id)) })
	omitted := max(0, len(due)-maxUnservedLines)
	for _, u := range due[:len(due)-omitted] {
		k.withLot(u.id, func(l *lot) { l.unservedLogged = now })
		p, known := k.peers.ByDisk(u.replicas[0])
		_ = k.logger.Log("event", "lotUnserved", "lot", u.id, "items", u.items, "for", now.Sub(u.since), "primary", u.replicas[0], "vm", p.Member().Name(),
			"known", known, "alive", known && p.Alive(), "leaving", p.Member().Leaving(), "epoch", u.epoch, "confirmed", u.confirmed, "replica", slices.Index(u.replicas, k.disk), "omitted", omitted, "err", u.err)
	}
}

// unserved counts the lots with open items whose primary is another disk that has sent no update for long, and returns those
// that are due for a line.
func (s *shard) unserved(disk string, now time.Time) (all int, due []unservedLot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lots {
		if l.head == nil || l.dropped || l.isPrimary(disk) || len(l.replicas) == 0 || l.finished() {
			continue
		}
		t := slices.MaxFunc([]time.Time{l.firstSeen, l.promisedAt, l.heardAt}, time.Time.Compare)
		if now.Sub(t) < unservedAfter {
			continue
		}
		all++
		if now.Sub(l.unservedLogged) >= unservedAfter {
			due = append(due, unservedLot{l.id, l.replicas, l.epoch, l.confirmed, len(l.head.Items()) - len(l.done), t, l.lastError()})
		}
	}
	return all, due
}
