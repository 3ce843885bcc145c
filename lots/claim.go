package lots

import (
	"context"
	"slices"
	"strings"

	"bulrushlug.dev/bulrushlug"
)

// claim changes the replicas of lot i: the log goes to the new ones first, then the record is replaced.
func (k *ReplicaManager) claim(c context.Context, i string) error {
	r, n, err := k.read(c, i)
	if err != nil {
		return err
	}
	if n == 0 {
		return k.reread(c, i)
	}
	if k.superseded(i, r) {
		return k.adopt(c, i, bulrushlug.LotUpdate{})
	}
	if k.promised(i) {
		return nil
	}
	to := k.successors(r)
	if len(to) < k.copies {
		return bulrushlug.Errorf(bulrushlug.KindUnplaceable, "lot %s: %d of %d disks are there", i, len(to), k.copies)
	}
	var u bulrushlug.LotUpdate
	k.with(i, func(l *lot) {
		u = bulrushlug.NewLotUpdate(i, max(l.epoch, r.Epoch())+1, to, len(l.entries), nil, false)
	})
	s, err := k.keepStep(u, func(l *lot) bool { return l.epoch < u.Epoch() })
	if err != nil || !s.OK() {
		return bulrushlug.Errorf(bulrushlug.KindConflict, "lot %s: epoch %d can't be promised: %v", i, u.Epoch(), err)
	}
	k.with(i, func(l *lot) { l.stale = false })
	_ = k.logger.Log("event", "lotClaim", "lot", i, "epoch", u.Epoch(), "entries", u.Offset(), "disks", strings.Join(to, ","), "after", strings.Join(r.Replicas(), ","))
	err = each(to, func(d string) error {
		if d == k.disk {
			return nil
		}
		return k.sendAll(c, d, k.rest(u, 0), bulkTimeout)
	})
	if err != nil {
		return err
	}
	return k.replace(c, u, n, r)
}

// promised reports whether this disk promised lot i to a claim that may still be settled.
func (k *ReplicaManager) promised(i string) bool {
	p := false
	k.with(i, func(l *lot) { p = !l.confirmed && !k.unsettled(l) })
	return p
}

// superseded reports whether the record r has an epoch that this disk does not know.
func (k *ReplicaManager) superseded(i string, r bulrushlug.LotRecord) bool {
	x := !slices.Contains(r.Replicas(), k.disk)
	k.with(i, func(l *lot) { x = x || r.Epoch() > l.epoch })
	return x
}

// successors returns the replicas that follow those of r: the ones that are left, this one first, and new ones.
func (k *ReplicaManager) successors(r bulrushlug.LotRecord) []string {
	var l []string
	if !k.retiring(k.peers.Self().Name()) {
		l = append(l, k.disk)
	}
	for _, d := range r.Replicas() {
		p, ok := k.peers.ByDisk(d)
		if d != k.disk && ok && !k.silent(d) && !k.retiring(p.Member().Name()) {
			l = append(l, d)
		}
	}
	return k.choose(l[:min(len(l), k.copies)])
}

// replace writes the record of the claim u, whose copies are in place; r is the record before, of revision n.
func (k *ReplicaManager) replace(c context.Context, u bulrushlug.LotUpdate, n uint64, r bulrushlug.LotRecord) error {
	for {
		now, err := k.record(c, u.Lot(), n, u)
		switch kind := bulrushlug.KindOf(err); {
		case err == nil:
			return k.replaced(c, u.Lot(), r, now)
		case kind == bulrushlug.KindConflict:
			return k.adopt(c, u.Lot(), u)
		case kind != bulrushlug.KindUncertain:
			return err
		}
		if e := bulrushlug.Sleep(c, retryTime/3); e != nil {
			return err
		}
	}
}

// replaced ends a claim that made the record now: the new replicas are told, and those that are left out forget the lot.
func (k *ReplicaManager) replaced(c context.Context, i string, old, now bulrushlug.LotRecord) error {
	err := k.accepted(i, now)
	if !slices.Contains(now.Replicas(), k.disk) {
		u := bulrushlug.NewLotUpdate(i, now.Epoch(), now.Replicas(), 0, nil, true)
		k.with(i, func(l *lot) { u = bulrushlug.NewLotUpdate(i, now.Epoch(), now.Replicas(), len(l.entries), nil, true) })
		err = each(now.Replicas(), func(d string) error { return k.sendAll(c, d, u, copyTimeout) })
		k.drop(i, "it was handed over")
	}
	var out []string
	for _, d := range old.Replicas() {
		if !slices.Contains(now.Replicas(), d) {
			out = append(out, d)
		}
	}
	k.forget(c, i, now.Epoch()-1, out)
	return err
}
