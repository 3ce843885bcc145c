package lots

import (
	"context"
	"slices"
	"strings"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
)

// record writes the record of lot i for the step u, if its revision is n, and returns it.
//
// It fails with KindConflict on a disk that does not follow u any more: only the claim that placed its copies may
// make them the record.
func (k *ReplicaManager) record(c context.Context, i string, n uint64, u bulrushlug.LotUpdate) (bulrushlug.LotRecord, error) {
	var r bulrushlug.LotRecord
	follows := false
	k.with(i, func(l *lot) {
		if follows = l.same(u); follows {
			r = bulrushlug.NewLotRecord(l.epoch, l.replicas, l.head.Organisation(), l.head.ReceivedAt().Add(k.keep+expireTime))
		}
	})
	if !follows {
		return r, bulrushlug.Errorf(bulrushlug.KindConflict, "lot %s does not follow epoch %d any more", i, u.Epoch())
	}
	b, err := codec.EncodeLotRecord(r)
	if err != nil {
		return r, err
	}
	_, err = k.table.Commit(c, []bulrushlug.Condition{bulrushlug.NewCondition(k.prefix+i, n)}, []bulrushlug.Write{bulrushlug.PutWrite(k.prefix+i, b, 0)})
	return r, err
}

// accepted notes that r, which this disk had when it was written, is the record, and tells the other replicas.
//
// A disk that promised a later epoch while r was written does not follow r any more; it reads the record again.
func (k *ReplicaManager) accepted(i string, r bulrushlug.LotRecord) error {
	var u bulrushlug.LotUpdate
	if !k.with(i, func(l *lot) {
		u = bulrushlug.NewLotUpdate(i, r.Epoch(), r.Replicas(), len(l.entries), nil, true)
	}) {
		return bulrushlug.Errorf(bulrushlug.KindUncertain, "lot %s was dropped", i)
	}
	s, err := k.keepStep(u, func(l *lot) bool { return l.epoch == u.Epoch() && slices.Equal(l.replicas, u.Replicas()) })
	if err != nil || !s.OK() {
		return bulrushlug.Errorf(bulrushlug.KindUncertain, "lot %s: epoch %d is not followed any more: %v", i, u.Epoch(), err)
	}
	k.with(i, func(l *lot) {
		l.committed = len(l.entries)
		l.verified = time.Now()
		l.notify()
	})
	_ = k.logger.Log("event", "lotConfirmed", "lot", i, "epoch", u.Epoch(), "entries", u.Offset(), "disks", strings.Join(u.Replicas(), ","))
	if u.Replicas()[0] == k.disk {
		k.became(i)
	}
	for _, d := range u.Replicas()[1:] {
		go func() {
			if _, err := k.send(context.Background(), d, u, copyTimeout); err != nil {
				_ = k.logger.Log("event", "copyNotConfirmed", "lot", i, "disk", d, "err", err)
			}
		}()
	}
	k.woken()
	return nil
}

// read returns the record of lot i and its revision; the revision is zero if there is none.
func (k *ReplicaManager) read(c context.Context, i string) (bulrushlug.LotRecord, uint64, error) {
	x, err := k.table.Get(c, k.prefix+i)
	if err != nil || x.Revision() == 0 {
		return bulrushlug.LotRecord{}, 0, err
	}
	r, err := codec.DecodeLotRecord(x.Value())
	return r, x.Revision(), err
}

// adopt makes this disk follow the record of lot i; placed is a step of its own whose copies are in place, if there
// is one. The disk gives up that step for the record, but no later one: another disk relies on it.
func (k *ReplicaManager) adopt(c context.Context, i string, placed bulrushlug.LotUpdate) error {
	r, n, err := k.read(c, i)
	if err != nil {
		return err
	}
	if n == 0 {
		return bulrushlug.Errorf(bulrushlug.KindUncertain, "lot %s has no record", i)
	}
	if !slices.Contains(r.Replicas(), k.disk) {
		k.drop(i, "another epoch has other replicas")
		return nil
	}
	if placed.Epoch() == r.Epoch() && slices.Equal(placed.Replicas(), r.Replicas()) {
		return k.accepted(i, r)
	}
	var u bulrushlug.LotUpdate
	k.with(i, func(l *lot) { u = bulrushlug.NewLotUpdate(i, r.Epoch(), r.Replicas(), len(l.entries), nil, true) })
	s, err := k.keepStep(u, func(l *lot) bool { return l.epoch <= u.Epoch() || !l.confirmed && l.same(placed) })
	if err != nil {
		return err
	}
	if !s.OK() {
		return bulrushlug.Errorf(bulrushlug.KindConflict, "lot %s: epoch %d is promised, and the record names epoch %d", i, s.Epoch(), r.Epoch())
	}
	k.with(i, func(l *lot) { l.moved, l.recheck, l.read = false, true, time.Now() })
	return nil
}
