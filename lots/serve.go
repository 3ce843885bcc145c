package lots

import (
	"context"
	"slices"
	"strings"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// openLot is a lot with items that have no result.
type openLot struct {
	lot  bulrushlug.Lot
	left []uint32 // Items without a result.
}

// EachRunnable calls f for each lot that this disk may run now, with the items that have no result.
func (k *ReplicaManager) EachRunnable(f func(l bulrushlug.Lot, left []uint32)) {
	k.eachOpen(func(l *lot) bool { return l.runnable(k.disk) }, f)
}

// EachHeld calls f for each lot of which this disk is the primary but that it may not run now, with the items that have no
// result.
func (k *ReplicaManager) EachHeld(f func(l bulrushlug.Lot, left []uint32)) {
	k.eachOpen(func(l *lot) bool { return l.isPrimary(k.disk) && !l.runnable(k.disk) }, f)
}

// EachUnconfirmed calls f for each lot of which this disk is the primary, with the items whose results are not on all replicas
// as far as it knows, so that no caller can read them.
func (k *ReplicaManager) EachUnconfirmed(f func(l bulrushlug.Lot, items []uint32)) {
	var all []openLot
	for i := range k.shards {
		all = append(all, k.shards[i].unconfirmed(k.disk)...)
	}
	for _, o := range all {
		f(o.lot, o.left)
	}
}

func (s *shard) unconfirmed(disk string) (all []openLot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lots {
		if l.head == nil || l.dropped || l.ended || !l.isPrimary(disk) || len(l.pending) == 0 && l.committed >= len(l.entries) {
			continue
		}
		if n := l.unconfirmed(); len(n) > 0 {
			all = append(all, openLot{l.head.WithReceivedAt(l.receivedAt), n})
		}
	}
	return all
}

// LastError returns the last error of a task of lot i and says how long ago it was, or nil if no task failed.
func (k *ReplicaManager) LastError(i string) (err error) {
	k.withLot(i, func(l *lot) { err = l.lastError() })
	return err
}

// IsPrimary reports whether this disk is the primary of lot i as far as it knows.
func (k *ReplicaManager) IsPrimary(i string) bool {
	own := false
	k.withLot(i, func(l *lot) { own = l.isPrimary(k.disk) })
	return own
}

// eachOpen calls f for each lot that has items without a result and meets the condition, under no lock.
func (k *ReplicaManager) eachOpen(condition func(l *lot) bool, f func(l bulrushlug.Lot, left []uint32)) {
	var all []openLot
	for i := range k.shards {
		all = append(all, k.shards[i].open(condition)...)
	}
	for _, o := range all {
		f(o.lot, o.left)
	}
}

func (s *shard) open(condition func(l *lot) bool) (all []openLot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lots {
		if l.head != nil && !l.finished() && condition(l) {
			all = append(all, openLot{l.head.WithReceivedAt(l.receivedAt), l.left()})
		}
	}
	return all
}

// Ownership reports whether running items of lot i may go on, and whether their progress is still of use on this
// disk.
func (k *ReplicaManager) Ownership(i string) (run, keep bool) {
	k.withLot(i, func(l *lot) {
		keep = !l.finished()
		run = keep && l.serving(k.disk) && time.Since(l.verifiedAt) < runStaleness
	})
	return run, keep
}

// HasResult reports whether item n of lot i needs no run: it has a result, or the lot is not on this disk.
func (k *ReplicaManager) HasResult(i string, n uint32) bool {
	has := true
	k.withLot(i, func(l *lot) { has = l.done[n] })
	return has
}

// RecordResult queues the result r of lot i for replication, unless the item already has one or this disk no
// longer serves the lot.
func (k *ReplicaManager) RecordResult(c context.Context, i string, r bulrushlug.LotResult) {
	k.withLot(i, func(l *lot) {
		if l.serving(k.disk) && !l.ended && !l.done[r.Item()] {
			l.pending = append(l.pending, bulrushlug.NewLotResultEntry(r))
			l.done[r.Item()] = true
		}
	})
	k.schedule(c, i)
}

// checkServing fails unless this disk is the primary that may answer q.
func (k *ReplicaManager) checkServing(q bulrushlug.LotQuery) error {
	err := error(bulrushlug.Errorf(bulrushlug.KindMisdirected, "lot %s has no replica on this disk", q.ID()))
	k.withLot(q.ID(), func(l *lot) {
		switch {
		case !l.serving(k.disk):
			l.epochChanged = l.epochChanged || !l.isPrimary(k.disk) && time.Since(l.recordReadAt) > recordReadInterval
			err = bulrushlug.Errorf(bulrushlug.KindMisdirected, "this disk does not serve lot %s", q.ID())
		case l.head.Organisation() != q.Organisation():
			err = bulrushlug.Errorf(bulrushlug.KindNotFound, "lot %s belongs to another organisation", q.ID())
		case q.Host() != "" && !strings.EqualFold(bulrushlug.Hostname(l.head.Host()), q.Host()):
			err = bulrushlug.Errorf(bulrushlug.KindNotFound, "lot %s was submitted to host %s", q.ID(), l.head.Host())
		case l.committed == 0:
			err = bulrushlug.Errorf(bulrushlug.KindStale, "lot %s: the replicas have not reported their entries yet", q.ID())
		default:
			err = nil
		}
	})
	return err
}

// Read returns results of a lot; if there are none yet, it waits for one as long as q allows.
func (k *ReplicaManager) Read(c context.Context, q bulrushlug.LotQuery) (bulrushlug.LotPage, error) {
	until := time.After(q.Wait())
	for {
		if err := k.checkServing(q); err != nil {
			return bulrushlug.LotPage{}, err
		}
		var p bulrushlug.LotPage
		var change chan struct{}
		ended := false
		k.withLot(q.ID(), func(l *lot) { p, change, ended = l.page(q.After(), MaxPageBytes), l.changed, l.ended })
		if len(p.Results()) > 0 || ended || q.Wait() == 0 || q.After() >= p.Total() {
			return p, k.verifyReplicas(c, q.ID())
		}
		select {
		case <-change:
		case <-until:
			return p, k.verifyReplicas(c, q.ID())
		case <-c.Done():
			return bulrushlug.LotPage{}, c.Err()
		}
	}
}

// verifyReplicas fails unless all replicas still follow the epoch of lot i. It keeps a replaced primary from
// returning stale results.
func (k *ReplicaManager) verifyReplicas(c context.Context, i string) error {
	var epoch uint64
	var l []string
	if !k.withLot(i, func(x *lot) { epoch, l = x.epoch, x.replicas }) || len(l) == 0 {
		return bulrushlug.Errorf(bulrushlug.KindMisdirected, "lot %s no longer has a replica on this disk", i)
	}
	err := parallel(l[1:], func(d string) error { return k.verifyReplica(c, d, i, epoch) })
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindStale, "lot "+i, err)
	}
	k.withLot(i, func(x *lot) {
		if x.epoch == epoch {
			x.verifiedAt = time.Now()
		}
	})
	return nil
}

func (k *ReplicaManager) verifyReplica(c context.Context, d, i string, epoch uint64) error {
	s, err := k.verify(c, d, i, epoch)
	if err != nil || s.OK() {
		return err
	}
	k.withLot(i, func(l *lot) { l.epochChanged = l.epochChanged || l.epoch == epoch })
	return bulrushlug.Errorf(bulrushlug.KindConflict, "replica on disk %s follows epoch %d, not %d", d, s.Epoch(), epoch)
}

// Body returns the body of an item that has no result yet.
func (k *ReplicaManager) Body(c context.Context, q bulrushlug.LotQuery) ([]byte, error) {
	if err := k.checkServing(q); err != nil {
		return nil, err
	}
	var b []byte
	found := false
	k.withLot(q.ID(), func(l *lot) {
		n := slices.IndexFunc(l.head.Items(), func(x bulrushlug.LotItem) bool { return x.ID() == q.Item() })
		if n >= 0 && !l.ended {
			b, found = l.head.Items()[n].Body(), true
		}
	})
	if found {
		return b, nil
	}
	if err := k.verifyReplicas(c, q.ID()); err != nil {
		return nil, err
	}
	return nil, bulrushlug.Errorf(bulrushlug.KindNotFound, "lot %s has no unfinished item %s", q.ID(), q.Item())
}

// End ends a lot; it returns once all replicas have synced the end.
func (k *ReplicaManager) End(c context.Context, q bulrushlug.LotQuery) error {
	for {
		if err := k.checkServing(q); err != nil {
			return err
		}
		var change chan struct{}
		replicated := false
		k.withLot(q.ID(), func(l *lot) {
			if !l.ended {
				l.pending = append(l.pending, bulrushlug.NewLotEndEntry())
				l.ended = true
			}
			n := slices.IndexFunc(l.entries, bulrushlug.LotEntry.Ended)
			replicated, change = n >= 0 && n < l.committed, l.changed
		})
		k.onWork()
		if replicated {
			return k.verifyReplicas(c, q.ID())
		}
		k.schedule(context.WithoutCancel(c), q.ID())
		select {
		case <-change:
		case <-time.After(checkInterval):
		case <-c.Done():
			return bulrushlug.WrapError(bulrushlug.KindUncertain, "lot "+q.ID(), c.Err())
		}
	}
}
