package lots

import (
	"context"
	"slices"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// expired reports whether l is to be dropped: its retention has ended and none of its items is left to run. A lot that is
// open is kept, with its results, however long that takes. The replicas leave the primary time to drop the lot first.
func (k *ReplicaManager) expired(l *lot) bool {
	if l.head == nil || l.finishedAt.IsZero() || !l.finished() {
		return false
	}
	d := expiryDelay
	if !l.isPrimary(k.disk) {
		d = 2 * expiryDelay
	} else if len(l.pending) > 0 || l.committed < len(l.entries) {
		return false
	}
	return time.Since(l.finishedAt) > d && time.Since(l.receivedAt) > k.retention+d
}

// expire drops lot i. The primary deletes its record first, unless that names another epoch by now; the other replicas
// drop the lot only once there is no record.
func (k *ReplicaManager) expire(c context.Context, i string) error {
	r, n, err := k.readRecord(c, i)
	if err != nil {
		return err
	}
	own, current := false, false
	var epoch uint64
	k.withLot(i, func(l *lot) {
		epoch = l.epoch
		current = l.confirmed && r.Epoch() == l.epoch && slices.Equal(r.Replicas(), l.replicas)
		own = l.isPrimary(k.disk)
	})
	switch {
	case n == 0:
	case !current:
		k.withLot(i, func(l *lot) {
			l.epochChanged = true
			l.nextTaskAt = time.Now().Add(draftTimeout)
		})
		return nil
	case !own:
		k.withLot(i, func(l *lot) { l.nextTaskAt = time.Now().Add(expiryDelay) })
		return nil
	default:
		if _, err := k.store.Commit(c, []bulrushlug.Condition{bulrushlug.NewCondition(k.prefix+i, n)}, []bulrushlug.Write{bulrushlug.RemoveWrite(k.prefix + i)}); err != nil {
			return err
		}
		k.forget(c, i, epoch, r.Replicas())
	}
	k.drop(i, "lot expired", upToEpoch(epoch))
	return nil
}
