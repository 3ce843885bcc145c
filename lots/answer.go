package lots

import (
	"context"
	"slices"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// Open is a lot that this disk runs.
type open struct {
	lot  bulrushlug.Lot
	left []uint32 // Items without a result.
}

// EachRunnable calls f for each lot that this disk may run now, with the items that have no result.
func (k *ReplicaManager) EachRunnable(f func(l bulrushlug.Lot, left []uint32)) {
	var all []open
	for i := range k.shards {
		all = append(all, k.shards[i].open(k.disk)...)
	}
	for _, o := range all {
		f(o.lot, o.left)
	}
}

func (s *shard) open(disk string) (all []open) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lots {
		if !l.serving(disk) || l.finished() || time.Since(l.verified) > freshTime {
			continue
		}
		o := open{lot: *l.head}
		for n := range uint32(len(l.head.Items())) {
			if !l.done[n] {
				o.left = append(o.left, n)
			}
		}
		all = append(all, o)
	}
	return all
}

// Ownership reports whether items of lot i that run may go on, and whether their progress is still of use here.
func (k *ReplicaManager) Ownership(i string) (run, keep bool) {
	k.with(i, func(l *lot) {
		keep = !l.finished()
		run = keep && l.serving(k.disk) && time.Since(l.verified) < staleTime
	})
	return run, keep
}

// RecordResult lists the result r of lot i, unless the item has one or the lot has moved or ended.
func (k *ReplicaManager) RecordResult(c context.Context, i string, r bulrushlug.LotResult) {
	k.with(i, func(l *lot) {
		if l.serving(k.disk) && !l.ended && !l.done[r.Item()] {
			l.pending = append(l.pending, bulrushlug.NewLotResultEntry(r))
			l.done[r.Item()] = true
		}
	})
	k.look(c, i)
}

// find checks that q names a lot that this disk answers for.
func (k *ReplicaManager) find(q bulrushlug.LotQuery) error {
	err := error(bulrushlug.Errorf(bulrushlug.KindMisdirected, "lot %s is not here", q.ID()))
	k.with(q.ID(), func(l *lot) {
		switch {
		case !l.serving(k.disk):
			l.moved = l.moved || !l.primary(k.disk) && time.Since(l.read) > misledTime
			err = bulrushlug.Errorf(bulrushlug.KindMisdirected, "lot %s is run elsewhere", q.ID())
		case l.head.Organisation() != q.Organisation():
			err = bulrushlug.Errorf(bulrushlug.KindNotFound, "lot %s belongs to another organisation", q.ID())
		case l.committed == 0:
			err = bulrushlug.Errorf(bulrushlug.KindStale, "lot %s: the replicas have not said yet what they have", q.ID())
		default:
			err = nil
		}
	})
	return err
}

// Read returns results of a lot, once there are some or the time to wait is over.
func (k *ReplicaManager) Read(c context.Context, q bulrushlug.LotQuery) (bulrushlug.LotPage, error) {
	until := time.After(q.Wait())
	for {
		if err := k.find(q); err != nil {
			return bulrushlug.LotPage{}, err
		}
		var p bulrushlug.LotPage
		var change chan struct{}
		whole := false
		k.with(q.ID(), func(l *lot) { p, change, whole = l.page(q.After(), pageBytes), l.change, l.ended })
		if len(p.Results()) > 0 || whole || q.Wait() == 0 || q.After() >= p.Total() {
			return p, k.agree(c, q.ID())
		}
		select {
		case <-change:
		case <-until:
			return p, k.agree(c, q.ID())
		case <-c.Done():
			return bulrushlug.LotPage{}, c.Err()
		}
	}
}

// agree fails unless all replicas still follow the epoch of lot i.
func (k *ReplicaManager) agree(c context.Context, i string) error {
	var epoch uint64
	var l []string
	if !k.with(i, func(x *lot) { epoch, l = x.epoch, x.replicas }) || len(l) == 0 {
		return bulrushlug.Errorf(bulrushlug.KindMisdirected, "lot %s is not here any more", i)
	}
	err := each(l[1:], func(d string) error { return k.verify(c, d, i, epoch) })
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindStale, "lot "+i, err)
	}
	k.with(i, func(x *lot) {
		if x.epoch == epoch {
			x.verified = time.Now()
		}
	})
	return nil
}

func (k *ReplicaManager) verify(c context.Context, d, i string, epoch uint64) error {
	p, ok := k.peers.ByDisk(d)
	if !ok {
		return bulrushlug.Errorf(bulrushlug.KindUnplaceable, "disk %s is at no known process", d)
	}
	c, stop := context.WithTimeout(c, copyTimeout)
	defer stop()
	s, err := k.remote.Verify(c, p.Member().Address(), i, epoch)
	if err != nil || s.OK() {
		return err
	}
	k.with(i, func(l *lot) { l.moved = l.moved || l.epoch == epoch })
	return bulrushlug.Errorf(bulrushlug.KindConflict, "the replica on disk %s follows epoch %d, not %d", d, s.Epoch(), epoch)
}

// Body returns the body of an item that has no result yet.
func (k *ReplicaManager) Body(c context.Context, q bulrushlug.LotQuery) ([]byte, error) {
	if err := k.find(q); err != nil {
		return nil, err
	}
	var b []byte
	found := false
	k.with(q.ID(), func(l *lot) {
		n := slices.IndexFunc(l.head.Items(), func(x bulrushlug.LotItem) bool { return x.ID() == q.Item() })
		if n >= 0 && !l.ended {
			b, found = l.head.Items()[n].Body(), true
		}
	})
	if found {
		return b, nil
	}
	if err := k.agree(c, q.ID()); err != nil {
		return nil, err
	}
	return nil, bulrushlug.Errorf(bulrushlug.KindNotFound, "lot %s has no open item %s", q.ID(), q.Item())
}

// End ends a lot; it returns once all replicas know.
func (k *ReplicaManager) End(c context.Context, q bulrushlug.LotQuery) error {
	for {
		if err := k.find(q); err != nil {
			return err
		}
		var change chan struct{}
		known := false
		k.with(q.ID(), func(l *lot) {
			if !l.ended {
				l.pending = append(l.pending, bulrushlug.NewLotEndEntry())
				l.ended = true
			}
			n := slices.IndexFunc(l.entries, bulrushlug.LotEntry.Ended)
			known, change = n >= 0 && n < l.committed, l.change
		})
		k.woken()
		if known {
			return k.agree(c, q.ID())
		}
		k.look(context.WithoutCancel(c), q.ID())
		select {
		case <-change:
		case <-time.After(lookTime):
		case <-c.Done():
			return bulrushlug.WrapError(bulrushlug.KindUncertain, "lot "+q.ID(), c.Err())
		}
	}
}
