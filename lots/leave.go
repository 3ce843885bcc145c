package lots

import (
	"context"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
)

// leaveRetryDelay is the delay before the next attempt to leave a lot that its replicas do not all have yet.
const leaveRetryDelay = time.Second

// leave drops lot i, as the record r has other replicas. Acknowledged data is dropped only after all of them have
// shown that they have it, and never if this disk follows an epoch after n, as another disk relies on that. It reports
// whether all replicas have it; if not, the lot is kept, and the record is read again later.
func (k *ReplicaManager) leave(c context.Context, i string, r bulrushlug.LotRecord, n uint64) bool {
	acknowledged := false
	k.withLot(i, func(l *lot) { acknowledged = l.confirmed || len(l.former) > 0 })
	if acknowledged {
		if err := parallel(r.Replicas(), func(d string) error { return k.ensureHeld(c, d, i, r) }); err != nil {
			_ = k.logger.Log("event", "lotKept", "lot", i, "epoch", r.Epoch(), "err", err)
			k.withLot(i, func(l *lot) { l.epochChanged, l.nextTaskAt = true, time.Now().Add(leaveRetryDelay) })
			return false
		}
	}
	k.drop(i, "the record has other replicas", upToEpoch(n))
	return true
}

// ensureHeld fails unless the replica on disk d has lot i in the epoch of the record r or a later one. A disk whose own
// log is that of r's epoch confirms it to the replica, and sends the log if the replica lacks it.
func (k *ReplicaManager) ensureHeld(c context.Context, d, i string, r bulrushlug.LotRecord) error {
	u := bulrushlug.NewLotUpdate(i, r.Epoch(), r.Replicas(), 0, nil, true)
	own := false
	k.withLot(i, func(l *lot) {
		if own = l.sameEpoch(u); own {
			u = bulrushlug.NewLotUpdate(i, r.Epoch(), r.Replicas(), len(l.entries), nil, true)
		}
	})
	if !own {
		s, err := k.verify(c, d, i, r.Epoch())
		if err == nil && s.Epoch() < r.Epoch() {
			err = bulrushlug.Errorf(bulrushlug.KindConflict, "replica on disk %s has epoch %d, not %d", d, s.Epoch(), r.Epoch())
		}
		return err
	}
	s, err := k.send(c, d, u, replicaTimeout)
	if err == nil && !s.OK() && s.Epoch() <= r.Epoch() {
		s, err = k.sendLog(c, d, k.withEntriesFrom(u, 0))
	}
	if err == nil && !s.OK() && s.Epoch() <= r.Epoch() {
		err = bulrushlug.Errorf(bulrushlug.KindConflict, "replica on disk %s has %d entries of epoch %d", d, s.Length(), s.Epoch())
	}
	return err
}

// giveUpPromise drops the log of a reconfiguration that has not replaced the record r, at revision n, for a long time.
// First it writes r again: with another revision, the condition of a write that is still on its way no longer holds.
func (k *ReplicaManager) giveUpPromise(c context.Context, i string, r bulrushlug.LotRecord, n uint64) error {
	epoch, wait := uint64(0), true
	k.withLot(i, func(l *lot) {
		epoch = l.epoch
		wait = !k.confirmationOverdue(l) || time.Since(l.promisedAt) < orphanTimeout && !k.retiring(k.peers.Self().Name())
		if wait {
			l.nextTaskAt = time.Now().Add(draftTimeout)
		}
	})
	if wait {
		return nil
	}
	b, err := codec.EncodeLotRecord(r)
	if err != nil {
		return err
	}
	if _, err := k.store.Commit(c, []bulrushlug.Condition{bulrushlug.NewCondition(k.prefix+i, n)}, []bulrushlug.Write{bulrushlug.PutWrite(k.prefix+i, b, 0)}); err != nil {
		return err
	}
	k.leave(c, i, r, epoch)
	return nil
}
