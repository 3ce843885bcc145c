package lots

import (
	"context"
	"slices"
	"strings"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
)

// writeRecord writes the placement record of lot i for the update u by compare-and-swap on revision n, and returns
// it.
//
// It fails with KindConflict if this disk no longer follows u: only the reconfiguration that placed the replicas
// may record them.
func (k *ReplicaManager) writeRecord(c context.Context, i string, n uint64, u bulrushlug.LotUpdate) (bulrushlug.LotRecord, error) {
	var r bulrushlug.LotRecord
	follows := false
	k.withLot(i, func(l *lot) {
		if follows = l.sameEpoch(u); follows {
			r = bulrushlug.NewLotRecord(l.epoch, l.replicas, l.head.Organisation())
		}
	})
	if !follows {
		return r, bulrushlug.Errorf(bulrushlug.KindConflict, "lot %s no longer follows epoch %d", i, u.Epoch())
	}
	b, err := codec.EncodeLotRecord(r)
	if err != nil {
		return r, err
	}
	_, err = k.store.Commit(c, []bulrushlug.Condition{bulrushlug.NewCondition(k.prefix+i, n)}, []bulrushlug.Write{bulrushlug.PutWrite(k.prefix+i, b, 0)})
	return r, err
}

// confirm marks lot i as confirmed by the record r, which this disk followed when r was written, and notifies the
// other replicas.
//
// A disk that promised a later epoch while r was being written no longer follows r; it fails with KindUncertain,
// and the record is read again.
func (k *ReplicaManager) confirm(i string, r bulrushlug.LotRecord) error {
	var u bulrushlug.LotUpdate
	if !k.withLot(i, func(l *lot) {
		u = bulrushlug.NewLotUpdate(i, r.Epoch(), r.Replicas(), len(l.entries), nil, true)
	}) {
		return bulrushlug.Errorf(bulrushlug.KindUncertain, "lot %s was dropped", i)
	}
	s, err := k.persist(u, func(l *lot) bool { return l.epoch == u.Epoch() && slices.Equal(l.replicas, u.Replicas()) })
	if err != nil || !s.OK() {
		return bulrushlug.Errorf(bulrushlug.KindUncertain, "lot %s no longer follows epoch %d: %v", i, u.Epoch(), err)
	}
	k.withLot(i, func(l *lot) {
		l.committed = len(l.entries)
		l.verifiedAt = time.Now()
		l.notify()
	})
	_ = k.logger.Log("event", "lotConfirmed", "lot", i, "epoch", u.Epoch(), "entries", u.Offset(), "disks", strings.Join(u.Replicas(), ","))
	if u.Replicas()[0] == k.disk {
		k.markPromoted(i)
	}
	for _, d := range u.Replicas()[1:] {
		go func() {
			if _, err := k.send(context.Background(), d, u, replicaTimeout); err != nil {
				_ = k.logger.Log("event", "copyNotConfirmed", "lot", i, "disk", d, "err", err)
			}
		}()
	}
	k.onWork()
	return nil
}

// readRecord returns the placement record of lot i and its revision; the revision is zero if there is none.
func (k *ReplicaManager) readRecord(c context.Context, i string) (bulrushlug.LotRecord, uint64, error) {
	x, err := k.store.Get(c, k.prefix+i)
	if err != nil || x.Revision() == 0 {
		return bulrushlug.LotRecord{}, 0, err
	}
	r, err := codec.DecodeLotRecord(x.Value())
	return r, x.Revision(), err
}

// adoptRecord makes this disk follow the record of lot i; placed is this disk's own update whose replicas are in
// place, or the zero value. The disk gives up placed in favour of the record, but never a later promise, as
// another disk relies on it.
func (k *ReplicaManager) adoptRecord(c context.Context, i string, placed bulrushlug.LotUpdate) error {
	r, n, err := k.readRecord(c, i)
	if err != nil {
		return err
	}
	if n == 0 {
		return bulrushlug.Errorf(bulrushlug.KindUncertain, "lot %s has no record", i)
	}
	if !slices.Contains(r.Replicas(), k.disk) {
		k.leave(c, i, r, max(r.Epoch(), placed.Epoch()))
		return nil
	}
	if placed.Epoch() == r.Epoch() && slices.Equal(placed.Replicas(), r.Replicas()) {
		return k.confirm(i, r)
	}
	var u bulrushlug.LotUpdate
	k.withLot(i, func(l *lot) { u = bulrushlug.NewLotUpdate(i, r.Epoch(), r.Replicas(), len(l.entries), nil, true) })
	s, err := k.persist(u, func(l *lot) bool { return l.epoch <= u.Epoch() || !l.confirmed && l.sameEpoch(placed) })
	if err != nil {
		return err
	}
	if !s.OK() {
		return bulrushlug.Errorf(bulrushlug.KindConflict, "lot %s: epoch %d is promised, but the record has epoch %d", i, s.Epoch(), r.Epoch())
	}
	k.withLot(i, func(l *lot) { l.epochChanged, l.recheck, l.recordReadAt = false, true, time.Now() })
	return nil
}
