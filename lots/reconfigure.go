package lots

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// reconfigure changes the replicas of lot i in a new epoch (view change): it copies the log to the new replicas
// first, then replaces the record.
func (k *ReplicaManager) reconfigure(c context.Context, i string) error {
	r, n, err := k.readRecord(c, i)
	if err != nil {
		return err
	}
	if n == 0 {
		return k.syncWithRecord(c, i)
	}
	if k.superseded(i, r) {
		return k.adoptRecord(c, i, bulrushlug.LotUpdate{})
	}
	if k.promisePending(i) {
		k.withLot(i, func(l *lot) { l.nextTaskAt = time.Now().Add(retryDelay/2 + rand.N(retryDelay)) })
		return nil
	}
	var failing []string
	k.withLot(i, func(l *lot) { failing = l.failingDisks() })
	u, resumed := k.unfinishedReconfiguration(i, r, failing)
	if !resumed {
		if u, err = k.beginReconfiguration(i, r, k.nextReplicas(r, failing)); err != nil {
			return err
		}
	}
	if err := k.transferLog(c, u, resumed); err != nil {
		return err
	}
	return k.replaceRecord(c, u, n, r)
}

// beginReconfiguration promises a new epoch of lot i with the replicas to, which succeeds the record r, on this disk. It
// returns the update that the other replicas need, without its entries.
func (k *ReplicaManager) beginReconfiguration(i string, r bulrushlug.LotRecord, to []string) (u bulrushlug.LotUpdate, err error) {
	if len(to) < k.replicationFactor {
		return u, bulrushlug.Errorf(bulrushlug.KindUnplaceable, "lot %s: %d of %d disks available", i, len(to), k.replicationFactor)
	}
	k.withLot(i, func(l *lot) {
		u = bulrushlug.NewLotUpdate(i, max(l.epoch, r.Epoch())+1, to, len(l.entries), nil, false)
		// What this disk got with a promise to a reconfiguration that failed may lack published results.
		if e, ok := l.logOf(r); ok && !l.whole {
			u = bulrushlug.NewLotUpdate(i, u.Epoch(), to, 0, e, false)
		}
	})
	u = u.WithSender(k.disk)
	s, err := k.persistParts(u, func(l *lot) bool { return l.epoch < u.Epoch() })
	if err != nil || !s.OK() {
		return u, bulrushlug.Errorf(bulrushlug.KindConflict, "lot %s: cannot promise epoch %d: %v", i, u.Epoch(), err)
	}
	n := u.Offset() + len(u.Entries())
	k.withLot(i, func(l *lot) { l.stale, l.whole = false, l.sameEpoch(u) })
	_ = k.logger.Log("event", "lotClaim", "lot", i, "epoch", u.Epoch(), "entries", n, "disks", strings.Join(to, ","), "after", strings.Join(r.Replicas(), ","))
	return bulrushlug.NewLotUpdate(i, u.Epoch(), to, n, nil, false), nil
}

// unfinishedReconfiguration returns the update of a reconfiguration of lot i that this disk began after the record r, and
// whose replicas are still good, so that what they have need not be sent again.
func (k *ReplicaManager) unfinishedReconfiguration(i string, r bulrushlug.LotRecord, failing []string) (u bulrushlug.LotUpdate, ok bool) {
	k.withLot(i, func(l *lot) {
		if l.confirmed || !l.whole || l.refused || l.epoch <= r.Epoch() {
			return
		}
		ok = true
		u = bulrushlug.NewLotUpdate(i, l.epoch, l.replicas, len(l.entries), nil, false)
	})
	for _, d := range u.Replicas() {
		ok = ok && k.usable(d, failing)
	}
	return u, ok
}

// usable reports whether the disk d may hold a lot: its process is available, its VM is not retiring, and it is not
// failing.
func (k *ReplicaManager) usable(d string, failing []string) bool {
	if d == k.disk {
		return !k.retiring(k.peers.Self().Name())
	}
	p, ok := k.peers.ByDisk(d)
	return ok && !k.unavailable(d) && !k.retiring(p.Member().Name()) && !slices.Contains(failing, d)
}

// transferLog makes all replicas of u have the whole log; after an earlier attempt in this epoch, resumed, it sends what they
// lack. One that refuses it follows another epoch, so the next attempt needs a later one.
func (k *ReplicaManager) transferLog(c context.Context, u bulrushlug.LotUpdate, resumed bool) error {
	return parallel(u.Replicas(), func(d string) error {
		if d == k.disk {
			return nil
		}
		from := 0
		if resumed {
			if s, err := k.verify(c, d, u.Lot(), u.Epoch()); err == nil && s.OK() {
				from = s.Length()
			}
		}
		s, err := k.sendLog(c, d, k.withEntriesFrom(u.WithProgressWanted(true), from))
		if err == nil && !s.OK() {
			k.withLot(u.Lot(), func(l *lot) { l.refused = l.refused || l.sameEpoch(u) })
			err = bulrushlug.Errorf(bulrushlug.KindConflict, "replica on disk %s follows epoch %d", d, s.Epoch())
		}
		return err
	})
}

// promisePending reports whether this disk promised an epoch of lot i to a reconfiguration that may still
// complete.
func (k *ReplicaManager) promisePending(i string) bool {
	p := false
	k.withLot(i, func(l *lot) { p = !l.confirmed && !k.confirmationOverdue(l) })
	return p
}

// superseded reports whether the record r leaves out this disk or has an epoch that this disk does not know.
func (k *ReplicaManager) superseded(i string, r bulrushlug.LotRecord) bool {
	x := !slices.Contains(r.Replicas(), k.disk)
	k.withLot(i, func(l *lot) { x = x || r.Epoch() > l.epoch })
	return x
}

// nextReplicas returns the replicas that succeed those of r: this disk first unless its VM is retiring, then the
// available ones of r, then new ones. Failing ones are a last resort: a disk that failed may be well again, and nothing else
// would show it.
func (k *ReplicaManager) nextReplicas(r bulrushlug.LotRecord, failing []string) []string {
	var l []string
	if k.usable(k.disk, failing) {
		l = append(l, k.disk)
	}
	for _, d := range r.Replicas() {
		if d != k.disk && k.usable(d, failing) {
			l = append(l, d)
		}
	}
	l = k.selectReplicas(l[:min(len(l), k.replicationFactor)], failing)
	if len(l) < k.replicationFactor {
		l = k.selectReplicas(l, nil)
	}
	return l
}

// replaceRecord writes the record of the reconfiguration u, whose replicas hold the log; r is the previous record,
// at revision n.
func (k *ReplicaManager) replaceRecord(c context.Context, u bulrushlug.LotUpdate, n uint64, r bulrushlug.LotRecord) error {
	for {
		now, err := k.writeRecord(c, u.Lot(), n, u)
		switch kind := bulrushlug.KindOf(err); {
		case err == nil:
			return k.finishReconfiguration(c, u.Lot(), r, now)
		case kind == bulrushlug.KindConflict:
			return k.adoptRecord(c, u.Lot(), u)
		case kind != bulrushlug.KindUncertain:
			return err
		}
		if e := bulrushlug.Sleep(c, retryDelay/3); e != nil {
			return err
		}
	}
}

// finishReconfiguration completes a reconfiguration that wrote the record now: the new replicas learn that it is
// confirmed, and the removed ones forget the lot once that is done.
func (k *ReplicaManager) finishReconfiguration(c context.Context, i string, old, now bulrushlug.LotRecord) error {
	if err := k.confirm(i, now); err != nil {
		return err
	}
	if !slices.Contains(now.Replicas(), k.disk) && !k.leave(c, i, now, now.Epoch()) {
		return nil
	}
	var out []string
	for _, d := range old.Replicas() {
		if !slices.Contains(now.Replicas(), d) {
			out = append(out, d)
		}
	}
	k.forget(c, i, now.Epoch()-1, out)
	return nil
}
