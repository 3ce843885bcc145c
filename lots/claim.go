package lots

import (
	"context"
	"slices"

	"bulrushlug.dev/bulrushlug"
)

// claim changes the replicas of lot i: the log goes to the new ones first, then the record is replaced.
func (k *Keeper) claim(c context.Context, i string) error {
	r, n, err := k.read(c, i)
	if err != nil {
		return err
	}
	if n == 0 {
		return k.reread(c, i)
	}
	if k.superseded(i, r) {
		return k.adopt(c, i, false)
	}
	to := k.successors(r)
	if len(to) < k.copies {
		return bulrushlug.NewFault(bulrushlug.KindUnplaceable, "lot %s: %d of %d disks are there", i, len(to), k.copies)
	}
	var u bulrushlug.LotUpdate
	k.with(i, func(l *lot) {
		u = bulrushlug.NewLotUpdate(i, max(l.epoch, r.Epoch())+1, to, len(l.entries), nil, false)
	})
	s, err := k.keepStep(u, func(l *lot) bool { return l.epoch < u.Epoch() })
	if err != nil || !s.OK() {
		return bulrushlug.NewFault(bulrushlug.KindConflict, "lot %s: epoch %d can't be promised: %v", i, u.Epoch(), err)
	}
	k.with(i, func(l *lot) { l.stale = false })
	err = each(to, func(d string) error {
		if d == k.disk {
			return nil
		}
		return k.sendAll(c, d, k.rest(u, 0), bulkTimeout)
	})
	if err != nil {
		return err
	}
	return k.replace(c, i, n, r)
}

// superseded reports whether the record r has an epoch that this disk does not know.
func (k *Keeper) superseded(i string, r bulrushlug.LotRecord) bool {
	x := !slices.Contains(r.Replicas(), k.disk)
	k.with(i, func(l *lot) { x = x || r.Epoch() > l.epoch })
	return x
}

// successors returns the replicas that follow those of r: the ones that are left, this one first, and new ones.
func (k *Keeper) successors(r bulrushlug.LotRecord) []string {
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

// replace writes the record of a claim whose copies are in place; r is the record before.
func (k *Keeper) replace(c context.Context, i string, n uint64, r bulrushlug.LotRecord) error {
	err := k.record(c, i, n)
	switch bulrushlug.KindOf(err) {
	case bulrushlug.KindConflict:
		if err != nil {
			return k.adopt(c, i, true)
		}
	case bulrushlug.KindUncertain:
		if e := bulrushlug.Wait(c, retryTime/3); e != nil {
			return err
		}
		return k.replace(c, i, n, r)
	}
	if err != nil {
		return err
	}
	return k.replaced(c, i, r)
}

// replaced ends a claim: the new replicas are told, and those that are left out forget the lot.
func (k *Keeper) replaced(c context.Context, i string, old bulrushlug.LotRecord) error {
	var now []string
	var epoch uint64
	k.with(i, func(l *lot) { now, epoch = slices.Clone(l.replicas), l.epoch })
	err := k.accepted(i)
	if !slices.Contains(now, k.disk) {
		err = each(now, func(d string) error { return k.sendConfirmation(c, d, i) })
		k.drop(i, "it was handed over")
	}
	var out []string
	for _, d := range old.Replicas() {
		if !slices.Contains(now, d) {
			out = append(out, d)
		}
	}
	k.forget(c, i, epoch-1, out)
	return err
}

// sendConfirmation tells the replica on disk d that the record names its epoch.
func (k *Keeper) sendConfirmation(c context.Context, d, i string) error {
	var u bulrushlug.LotUpdate
	k.with(i, func(l *lot) { u = bulrushlug.NewLotUpdate(i, l.epoch, l.replicas, len(l.entries), nil, true) })
	return k.sendAll(c, d, u, copyTimeout)
}
