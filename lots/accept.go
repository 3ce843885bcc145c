package lots

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// firstEpoch is the epoch in which a lot is accepted.
const firstEpoch = 1

// Submit accepts x: it is synced on all its replicas before its record is written.
//
// Only the primary says that a lot is accepted; KindMisdirected means that another disk may be that.
func (k *ReplicaManager) Submit(c context.Context, x bulrushlug.Lot) error {
	if known, err := k.await(c, x.ID()); known || err != nil {
		return err
	}
	if k.storeLost() {
		return bulrushlug.Errorf(bulrushlug.KindStoreDown, "lot %s: the key-value service does not answer", x.ID())
	}
	r := k.choose([]string{k.disk})
	if len(r) < k.copies || k.retiring(k.peers.Self().Name()) {
		return bulrushlug.Errorf(bulrushlug.KindUnplaceable, "lot %s: %d of %d disks are there", x.ID(), len(r), k.copies)
	}
	u := bulrushlug.NewLotUpdate(x.ID(), firstEpoch, r, 0, []bulrushlug.LotEntry{bulrushlug.NewLotHeadEntry(x)}, false)
	if err := k.place(c, u); err != nil {
		k.withdraw(c, x.ID(), r)
		return bulrushlug.WrapError(bulrushlug.KindMisdirected, "lot "+x.ID(), err)
	}
	if err := k.settle(c, x.ID(), u); err != nil {
		return err
	}
	if known, err := k.await(c, x.ID()); known || err != nil {
		return err
	}
	k.withdraw(c, x.ID(), r)
	return bulrushlug.Errorf(bulrushlug.KindMisdirected, "lot %s was accepted elsewhere", x.ID())
}

// await reports whether lot i is accepted and this disk its primary; it waits while another call is accepting it here.
func (k *ReplicaManager) await(c context.Context, i string) (bool, error) {
	for {
		var accepted, own, safe, young bool
		var change chan struct{}
		if !k.with(i, func(l *lot) {
			accepted, own, safe, change = l.confirmed, l.primary(k.disk), l.committed > 0, l.change
			young = time.Since(l.born) < draftTime
		}) {
			return false, nil
		}
		switch {
		case accepted && !own:
			return false, bulrushlug.Errorf(bulrushlug.KindMisdirected, "lot %s is run elsewhere", i)
		case accepted && safe:
			return true, k.agree(c, i)
		case !own && young:
			return false, bulrushlug.Errorf(bulrushlug.KindMisdirected, "lot %s is being accepted elsewhere", i)
		case !own:
			return false, nil
		}
		select {
		case <-change:
		case <-time.After(retryTime):
		case <-c.Done():
			return false, bulrushlug.WrapError(bulrushlug.KindUncertain, "lot "+i, c.Err())
		}
	}
}

// place writes the step u to this disk and to all other replicas.
func (k *ReplicaManager) place(c context.Context, u bulrushlug.LotUpdate) error {
	return each(u.Replicas(), func(d string) error {
		if d != k.disk {
			return k.sendAll(c, d, u, copyTimeout)
		}
		s, err := k.keepStep(u, func(l *lot) bool { return follows(l, u) })
		if err == nil && !s.OK() {
			err = bulrushlug.Errorf(bulrushlug.KindConflict, "lot %s was accepted meanwhile", u.Lot())
		}
		return err
	})
}

// sendAll sends u to the replica on disk d.
func (k *ReplicaManager) sendAll(c context.Context, d string, u bulrushlug.LotUpdate, wait time.Duration) error {
	s, err := k.send(c, d, u, wait)
	if err == nil && !s.OK() {
		err = bulrushlug.Errorf(bulrushlug.KindConflict, "the replica on disk %s follows epoch %d", d, s.Epoch())
	}
	return err
}

// send sends u to the replica on disk d and returns its state.
func (k *ReplicaManager) send(c context.Context, d string, u bulrushlug.LotUpdate, wait time.Duration) (bulrushlug.LotReplicaState, error) {
	p, ok := k.peers.ByDisk(d)
	if !ok {
		return bulrushlug.LotReplicaState{}, bulrushlug.Errorf(bulrushlug.KindUnplaceable, "disk %s is at no known process", d)
	}
	c, stop := context.WithTimeout(c, wait)
	defer stop()
	return k.remote.Append(c, p.Member().Address(), u)
}

// each calls f for every element of l at the same time and returns all errors.
func each(l []string, f func(d string) error) error {
	e := make([]error, len(l))
	var w sync.WaitGroup
	for i, d := range l {
		w.Go(func() { e[i] = f(d) })
	}
	w.Wait()
	return errors.Join(e...)
}

// withdraw removes the copies of a draft of this disk from the disks l.
func (k *ReplicaManager) withdraw(c context.Context, i string, l []string) {
	k.onOthers(c, i, l, func(c context.Context, a string) error { return k.remote.Withdraw(c, a, i, k.disk) })
	k.Withdraw(i, k.disk)
}

// forget asks the replicas on the disks l to drop their copies of lot i.
func (k *ReplicaManager) forget(c context.Context, i string, n uint64, l []string) {
	k.onOthers(c, i, l, func(c context.Context, a string) error { return k.remote.Forget(c, a, i, n) })
}

// onOthers calls f with the address of each other process that has one of the disks l, and does not wait.
func (k *ReplicaManager) onOthers(c context.Context, i string, l []string, f func(c context.Context, address string) error) {
	for _, d := range l {
		p, ok := k.peers.ByDisk(d)
		if d == k.disk || !ok {
			continue
		}
		go func() {
			x, stop := context.WithTimeout(context.WithoutCancel(c), copyTimeout)
			defer stop()
			if err := f(x, p.Member().Address()); err != nil {
				_ = k.logger.Log("event", "copyNotForgotten", "lot", i, "vm", p.Member().Name(), "err", err)
			}
		}()
	}
}

// choose adds disks to those in l until there are enough copies, in zones that have none first.
func (k *ReplicaManager) choose(l []string) []string {
	zones := map[string]bool{}
	for _, d := range l {
		if p, ok := k.peers.ByDisk(d); ok {
			zones[p.Member().Zone()] = true
		}
	}
	if slices.Contains(l, k.disk) {
		zones[k.peers.Self().Zone()] = true
	}
	free := k.peers.LiveDataPeers()
	for i := range free {
		j := int(time.Now().UnixNano()>>10) % (len(free) - i)
		free[i], free[i+j] = free[i+j], free[i]
	}
	for _, other := range []bool{true, false} {
		for _, p := range free {
			z := p.Member().Zone()
			if len(l) < k.copies && !slices.Contains(l, p.Disk()) && !k.retiring(p.Member().Name()) && zones[z] != other {
				l = append(l, p.Disk())
				zones[z] = true
			}
		}
	}
	return l
}

// settle makes the record of a lot whose copies are in place by the step u.
func (k *ReplicaManager) settle(c context.Context, i string, u bulrushlug.LotUpdate) error {
	for {
		r, err := k.record(c, i, 0, u)
		switch kind := bulrushlug.KindOf(err); {
		case err == nil:
			return k.accepted(i, r)
		case kind == bulrushlug.KindConflict:
			return k.adopt(c, i, u)
		case kind == bulrushlug.KindStoreDown || kind == bulrushlug.KindRateLimited:
			if e := bulrushlug.Sleep(c, retryTime); e != nil {
				return k.giveUp(c, i, err)
			}
		default:
			k.with(i, func(l *lot) { l.doubt = true })
			if e := bulrushlug.Sleep(c, retryTime/3); e != nil {
				return bulrushlug.WrapError(bulrushlug.KindUncertain, "lot "+i, err)
			}
		}
	}
}

// giveUp refuses a lot of which no record can have been written; after a lost answer that is not sure.
func (k *ReplicaManager) giveUp(c context.Context, i string, err error) error {
	var r []string
	doubt := true
	k.with(i, func(l *lot) { r, doubt = l.replicas, l.doubt || l.confirmed })
	if doubt {
		return bulrushlug.WrapError(bulrushlug.KindUncertain, "lot "+i, err)
	}
	k.withdraw(c, i, r)
	return bulrushlug.WrapError(bulrushlug.KindStoreDown, "lot "+i, err)
}
