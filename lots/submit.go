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

// Submit accepts x: the lot is synced on all its replicas before its placement record is written.
//
// Only the primary acknowledges a lot; KindMisdirected means that another disk may be its primary. Once the lot may be
// accepted, no error promises that it does not run.
func (k *ReplicaManager) Submit(c context.Context, x bulrushlug.Lot) error {
	if accepted, err := k.awaitAccepted(c, x); accepted || err != nil {
		return err
	}
	if k.storeLost() {
		return bulrushlug.Errorf(bulrushlug.KindStoreDown, "lot %s: key-value service unreachable", x.ID())
	}
	r := k.selectReplicas([]string{k.disk}, nil)
	if len(r) < k.replicationFactor || k.retiring(k.peers.Self().Name()) {
		return bulrushlug.Errorf(bulrushlug.KindUnplaceable, "lot %s: %d of %d disks available", x.ID(), len(r), k.replicationFactor)
	}
	u := bulrushlug.NewLotUpdate(x.ID(), firstEpoch, r, 0, []bulrushlug.LotEntry{bulrushlug.NewLotHeadEntry(x)}, false)
	release, err := k.claim(x.ID(), u.Entries())
	if err != nil {
		return err
	}
	defer release()
	if err := k.replicate(c, u); err != nil {
		k.withdraw(c, x.ID(), r)
		if hasKind(err, bulrushlug.KindConflict) {
			return bulrushlug.WrapError(bulrushlug.KindMisdirected, "lot "+x.ID(), err)
		}
		return bulrushlug.WrapError(bulrushlug.KindUnplaceable, "lot "+x.ID(), err)
	}
	if err := k.createRecord(c, x.ID(), u); err != nil {
		return err
	}
	if accepted, err := k.awaitAccepted(c, x); accepted || err != nil {
		return err
	}
	k.withdraw(c, x.ID(), r)
	return bulrushlug.Errorf(bulrushlug.KindMisdirected, "lot %s was accepted by another primary", x.ID())
}

// awaitAccepted reports whether x is accepted with this disk as its primary. It waits while another call on
// this disk is accepting the lot, and fails with KindConflict if another organisation has a lot of that identifier.
func (k *ReplicaManager) awaitAccepted(c context.Context, x bulrushlug.Lot) (bool, error) {
	i := x.ID()
	for {
		var accepted, primary, committed, recent, taken bool
		var change chan struct{}
		if !k.withLot(i, func(l *lot) {
			accepted, primary, committed, change = l.confirmed, l.isPrimary(k.disk), l.committed > 0, l.changed
			recent = time.Since(l.firstSeen) < draftTimeout
			taken = l.head != nil && l.head.Organisation() != x.Organisation()
		}) {
			return false, nil
		}
		switch {
		case accepted && !primary:
			return false, bulrushlug.Errorf(bulrushlug.KindMisdirected, "lot %s has another primary", i)
		case accepted && taken:
			return false, bulrushlug.Errorf(bulrushlug.KindConflict, "another organisation has a lot with the identifier %s", i)
		case accepted && committed:
			return true, k.verifyAccepted(c, i)
		case !primary && recent:
			return false, bulrushlug.Errorf(bulrushlug.KindMisdirected, "lot %s is being accepted by another primary", i)
		case !primary:
			return false, nil
		}
		select {
		case <-change:
		case <-time.After(retryDelay):
		case <-c.Done():
			return false, bulrushlug.WrapError(bulrushlug.KindUncertain, "lot "+i, c.Err())
		}
	}
}

// verifyAccepted verifies the replicas of the accepted lot i.
func (k *ReplicaManager) verifyAccepted(c context.Context, i string) error {
	err := k.verifyReplicas(c, i)
	if err == nil || bulrushlug.KindOf(err) == bulrushlug.KindMisdirected {
		return err
	}
	return bulrushlug.WrapError(bulrushlug.KindUncertain, "accepted", err)
}

// replicate writes u to this disk and, in parallel, to all other replicas.
func (k *ReplicaManager) replicate(c context.Context, u bulrushlug.LotUpdate) error {
	return parallel(u.Replicas(), func(d string) error {
		if d != k.disk {
			return k.replicateTo(c, d, u)
		}
		s, err := k.persist(u, func(l *lot) bool { return follows(l, u) })
		if err == nil && !s.OK() {
			err = bulrushlug.Errorf(bulrushlug.KindConflict, "lot %s was accepted concurrently", u.Lot())
		}
		return err
	})
}

// replicateTo sends u to the replica on disk d; it fails with KindConflict if the replica follows another epoch.
func (k *ReplicaManager) replicateTo(c context.Context, d string, u bulrushlug.LotUpdate) error {
	s, err := k.send(c, d, u, replicaTimeout)
	if err == nil && !s.OK() {
		err = bulrushlug.Errorf(bulrushlug.KindConflict, "replica on disk %s follows epoch %d", d, s.Epoch())
	}
	return err
}

// send sends u to the replica on disk d, adopts the progress that it returns, and returns the state of the replica.
func (k *ReplicaManager) send(c context.Context, d string, u bulrushlug.LotUpdate, wait time.Duration) (bulrushlug.LotReplicaState, error) {
	p, ok := k.peers.ByDisk(d)
	if !ok {
		return bulrushlug.LotReplicaState{}, bulrushlug.Errorf(bulrushlug.KindUnplaceable, "no known process serves disk %s", d)
	}
	c, stop := context.WithTimeout(c, wait)
	defer stop()
	s, err := k.remote.Append(c, p.Member().Address(), u.WithSender(k.disk).WithReceivedAt(k.receivedAt(u.Lot())))
	if err == nil && s.OK() {
		k.withLot(u.Lot(), func(l *lot) {
			l.recoverProgress(s.Progress())
			l.observeReceipt(s.ReceivedAt())
		})
	}
	return s, err
}

// receivedAt returns when lot i was received, or a later time; zero if unknown.
func (k *ReplicaManager) receivedAt(i string) (t time.Time) {
	k.withLot(i, func(l *lot) { t = l.receivedAt })
	return t
}

// parallel calls f for all elements of l concurrently and returns the joined errors.
func parallel(l []string, f func(d string) error) error {
	e := make([]error, len(l))
	var w sync.WaitGroup
	for i, d := range l {
		w.Go(func() { e[i] = f(d) })
	}
	w.Wait()
	return errors.Join(e...)
}

// hasKind reports whether one of the errors that err joins is of kind n.
func hasKind(err error, n bulrushlug.Kind) bool {
	j, ok := err.(interface{ Unwrap() []error })
	return ok && slices.ContainsFunc(j.Unwrap(), func(e error) bool { return bulrushlug.KindOf(e) == n })
}

// withdraw removes an unconfirmed draft of this disk from this disk and from the disks l.
func (k *ReplicaManager) withdraw(c context.Context, i string, l []string) {
	k.notifyDisks(c, i, l, func(c context.Context, a string) error { return k.remote.Withdraw(c, a, i, k.disk) })
	k.Withdraw(i, k.disk)
}

// forget asks the replicas on the disks l to drop lot i, unless they follow an epoch after n.
func (k *ReplicaManager) forget(c context.Context, i string, n uint64, l []string) {
	k.notifyDisks(c, i, l, func(c context.Context, a string) error { return k.remote.Forget(c, a, i, n) })
}

// notifyDisks calls f with the address of each other process that has one of the disks l, without waiting for the
// results.
func (k *ReplicaManager) notifyDisks(c context.Context, i string, l []string, f func(c context.Context, address string) error) {
	for _, d := range l {
		p, ok := k.peers.ByDisk(d)
		if d == k.disk || !ok {
			continue
		}
		go func() {
			x, stop := context.WithTimeout(context.WithoutCancel(c), replicaTimeout)
			defer stop()
			if err := f(x, p.Member().Address()); err != nil {
				_ = k.logger.Log("event", "copyNotForgotten", "lot", i, "vm", p.Member().Name(), "err", err)
			}
		}()
	}
}

// selectReplicas adds disks to l up to the replication factor, preferring zones without a replica (zone
// anti-affinity), and none of skip.
func (k *ReplicaManager) selectReplicas(l, skip []string) []string {
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
	for _, used := range []bool{true, false} {
		for _, p := range free {
			z := p.Member().Zone()
			if len(l) < k.replicationFactor && !slices.Contains(l, p.DiskID()) && !slices.Contains(skip, p.DiskID()) && !k.retiring(p.Member().Name()) && zones[z] != used {
				l = append(l, p.DiskID())
				zones[z] = true
			}
		}
	}
	return l
}

// createRecord writes the first placement record of a lot whose replicas hold u. It retries until the outcome is
// known or c ends.
func (k *ReplicaManager) createRecord(c context.Context, i string, u bulrushlug.LotUpdate) error {
	for {
		r, err := k.writeRecord(c, i, 0, u)
		switch kind := bulrushlug.KindOf(err); {
		case err == nil:
			return k.confirm(i, r)
		case kind == bulrushlug.KindConflict:
			if err := k.adoptRecord(c, i, u); err != nil {
				return bulrushlug.WrapError(bulrushlug.KindUncertain, "lot "+i, err)
			}
			return nil
		case kind == bulrushlug.KindStoreDown || kind == bulrushlug.KindRateLimited:
			if e := bulrushlug.Sleep(c, retryDelay); e != nil {
				return k.abortSubmit(c, i, err)
			}
		default:
			k.withLot(i, func(l *lot) { l.maybeRecorded = true })
			if e := bulrushlug.Sleep(c, retryDelay/3); e != nil {
				return bulrushlug.WrapError(bulrushlug.KindUncertain, "lot "+i, err)
			}
		}
	}
}

// abortSubmit rejects a lot whose placement record was never written. After an unanswered write the outcome is
// unknown, so it keeps the lot and returns KindUncertain.
func (k *ReplicaManager) abortSubmit(c context.Context, i string, err error) error {
	var r []string
	uncertain := true
	k.withLot(i, func(l *lot) { r, uncertain = l.replicas, l.maybeRecorded || l.confirmed })
	if uncertain {
		return bulrushlug.WrapError(bulrushlug.KindUncertain, "lot "+i, err)
	}
	k.withdraw(c, i, r)
	return bulrushlug.WrapError(bulrushlug.KindStoreDown, "lot "+i, err)
}
