package lots

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// task is what a lot needs next.
type task uint8

const (
	taskNone   = task(iota)
	taskDrop   // The lot expired.
	taskRead   // The record says more than this disk.
	taskCommit // Entries are to be kept or copied.
	taskClaim  // The replicas have to change.
)

// look starts what lot i needs, unless that is under way.
func (k *ReplicaManager) look(c context.Context, i string) {
	t := taskNone
	k.with(i, func(l *lot) {
		if l.driven {
			return
		}
		if t = k.needs(l); t != taskNone {
			l.driven = true
		}
	})
	if t != taskNone {
		go k.drive(c, i, t)
	}
}

// drive does what lot i needs until nothing is left or something failed.
func (k *ReplicaManager) drive(c context.Context, i string, t task) {
	for t != taskNone && c.Err() == nil {
		err := k.do(c, i, t)
		if err != nil && c.Err() == nil {
			_ = k.logger.Log("event", "lotStepFailed", "lot", i, "task", int(t), "err", err)
		}
		done := true
		k.with(i, func(l *lot) {
			if err != nil {
				l.next = time.Now().Add(retryTime/2 + rand.N(retryTime))
			}
			t = k.needs(l)
			if done = err != nil || t == taskNone; done {
				l.driven = false
			}
		})
		if done {
			return
		}
	}
}

func (k *ReplicaManager) do(c context.Context, i string, t task) error {
	switch t {
	case taskDrop:
		return k.expire(c, i)
	case taskRead:
		return k.reread(c, i)
	case taskCommit:
		return k.commit(c, i)
	case taskClaim:
		return k.claim(c, i)
	}
	return nil
}

// needs returns what l needs now; the caller holds the lock.
func (k *ReplicaManager) needs(l *lot) task {
	now := time.Now()
	if len(l.replicas) == 0 || now.Before(l.next) {
		return taskNone
	}
	own := l.primary(k.disk)
	switch {
	case l.head != nil && now.After(l.head.ReceivedAt().Add(k.keep+expireTime)):
		return taskDrop
	case l.moved, k.unsettled(l):
		return taskRead
	case !l.confirmed:
		return taskNone
	case own && (l.stale || k.weak(l)), !own && k.lost(l):
		return taskClaim
	case own && (len(l.pending) > 0 || l.committed < len(l.entries) || l.recheck):
		return taskCommit
	case own && !l.finished() && now.Sub(l.verified) > freshTime/2:
		return taskCommit
	}
	return taskNone
}

// unsettled reports whether a draft or a claim should have led to a record by now, or its disk is silent.
func (k *ReplicaManager) unsettled(l *lot) bool {
	switch {
	case l.confirmed:
		return false
	case l.epoch == firstEpoch:
		return time.Since(l.born) > draftTime
	}
	return l.primary(k.disk) || time.Now().After(l.settled) || k.silent(l.replicas[0])
}

// weak reports whether the primary should change the replicas of l.
func (k *ReplicaManager) weak(l *lot) bool {
	if k.retiring(k.peers.Self().Name()) || len(l.replicas) < k.copies {
		return true
	}
	for _, d := range l.replicas[1:] {
		p, ok := k.peers.ByDisk(d)
		if k.silent(d) || ok && k.retiring(p.Member().Name()) {
			return true
		}
	}
	return false
}

// lost reports whether this replica should take l over: the replicas before it are silent.
func (k *ReplicaManager) lost(l *lot) bool {
	for _, d := range l.replicas {
		if d == k.disk {
			return true
		}
		if !k.silent(d) {
			return false
		}
	}
	return false
}

// silent reports whether the process with disk d does not serve it.
func (k *ReplicaManager) silent(d string) bool {
	p, ok := k.peers.ByDisk(d)
	if ok && p.Member().Leaving() && p.Alive() {
		return true
	}
	return (!ok || !p.Alive()) && time.Since(k.started) > startTime
}

// reread makes this disk follow the record of lot i.
func (k *ReplicaManager) reread(c context.Context, i string) error {
	r, n, err := k.read(c, i)
	if err != nil {
		return err
	}
	if n != 0 {
		return k.follow(c, i, r)
	}
	var old, confirmed bool
	k.with(i, func(l *lot) {
		old, confirmed = time.Since(l.born) > doubtTime, l.confirmed
		l.next = time.Now().Add(draftTime)
	})
	if old || confirmed {
		k.drop(i, "it has no record")
	}
	return nil
}

// follow makes this disk follow the record r, unless it promised a later epoch to a claim that is not settled.
func (k *ReplicaManager) follow(c context.Context, i string, r bulrushlug.LotRecord) error {
	later := false
	k.with(i, func(l *lot) { later = l.epoch > r.Epoch() && !l.confirmed })
	if !later {
		return k.adopt(c, i, bulrushlug.LotUpdate{})
	}
	if !slices.Contains(r.Replicas(), k.disk) {
		k.drop(i, "a claim was not settled and the record has other replicas")
		return nil
	}
	return k.claim(c, i)
}

// commit keeps what is pending and copies to all replicas what they lack.
func (k *ReplicaManager) commit(c context.Context, i string) error {
	if err := k.keepPending(i); err != nil {
		return err
	}
	var u bulrushlug.LotUpdate
	k.with(i, func(l *lot) {
		u = bulrushlug.NewLotUpdate(i, l.epoch, l.replicas, max(l.committed, 1), slices.Clone(l.entries[min(max(l.committed, 1), len(l.entries)):]), true)
	})
	u = u.WithProgress(k.untold(i))
	n := u.Offset() + len(u.Entries())
	if err := each(u.Replicas()[1:], func(d string) error { return k.copyTo(c, d, u) }); err != nil {
		return err
	}
	k.with(i, func(l *lot) {
		if l.epoch == u.Epoch() && slices.Equal(l.replicas, u.Replicas()) {
			l.committed = max(l.committed, min(n, len(l.entries)))
			l.verified = time.Now()
			l.recheck = false
			for _, p := range u.Progress() {
				l.told[p.Item()] = p.Last()
			}
			l.notify()
		}
	})
	k.woken()
	return nil
}

// untold returns how far the items of lot i are beyond what the replicas know.
func (k *ReplicaManager) untold(i string) (p []bulrushlug.LotProgress) {
	told := map[uint32]uint64{}
	k.with(i, func(l *lot) {
		if l.head == nil {
			return
		}
		for n := range uint32(len(l.head.Items())) {
			if !l.done[n] {
				told[n] = l.told[n]
			}
		}
	})
	for n, last := range told {
		if d := k.progress(i, n, last); len(d) > 0 {
			p = append(p, bulrushlug.NewLotProgress(n, last+1, d))
		}
	}
	return p
}

// keepPending writes the pending entries of lot i to this disk.
func (k *ReplicaManager) keepPending(i string) error {
	var u bulrushlug.LotUpdate
	k.with(i, func(l *lot) {
		u = bulrushlug.NewLotUpdate(i, l.epoch, l.replicas, len(l.entries), slices.Clone(l.pending), true)
	})
	if len(u.Entries()) == 0 {
		return nil
	}
	s, err := k.keepStep(u, func(l *lot) bool { return l.epoch == u.Epoch() && l.confirmed && l.primary(k.disk) })
	if err != nil {
		return err
	}
	if !s.OK() {
		return bulrushlug.Errorf(bulrushlug.KindConflict, "epoch %d of lot %s is over", u.Epoch(), i)
	}
	k.with(i, func(l *lot) {
		l.pending = l.pending[min(len(u.Entries()), len(l.pending)):]
		l.index()
	})
	return nil
}

// copyTo brings the replica on disk d up to u; it sends all that the replica lacks.
func (k *ReplicaManager) copyTo(c context.Context, d string, u bulrushlug.LotUpdate) error {
	s, err := k.send(c, d, u, copyTimeout)
	if err != nil {
		return err
	}
	if !s.OK() && k.lacks(u, s) {
		s, err = k.send(c, d, k.rest(u, s.Length()), bulkTimeout)
	}
	if err != nil {
		return err
	}
	if !s.OK() {
		k.with(u.Lot(), func(l *lot) { l.moved = l.moved || l.epoch == u.Epoch() })
		return bulrushlug.Errorf(bulrushlug.KindConflict, "the replica on disk %s follows epoch %d, not %d", d, s.Epoch(), u.Epoch())
	}
	return nil
}

// lacks reports whether a replica in state s lost entries before u; one that has none at all may have been
// told to forget the lot, so that counts only if the record was just read.
func (k *ReplicaManager) lacks(u bulrushlug.LotUpdate, s bulrushlug.LotReplicaState) bool {
	read := false
	k.with(u.Lot(), func(l *lot) { read = l.epoch == u.Epoch() && time.Since(l.read) < freshTime })
	return s.Epoch() == u.Epoch() && s.Length() < u.Offset() || s.Epoch() == 0 && read
}

// rest returns u with all entries from position n on.
func (k *ReplicaManager) rest(u bulrushlug.LotUpdate, n int) bulrushlug.LotUpdate {
	var e []bulrushlug.LotEntry
	end := u.Offset() + len(u.Entries())
	k.with(u.Lot(), func(l *lot) { e = slices.Clone(l.entries[min(n, len(l.entries)):min(end, len(l.entries))]) })
	return bulrushlug.NewLotUpdate(u.Lot(), u.Epoch(), u.Replicas(), n, e, u.Confirmed()).WithProgress(u.Progress())
}

// expire removes lot i everywhere.
func (k *ReplicaManager) expire(c context.Context, i string) error {
	own := false
	k.with(i, func(l *lot) { own = l.confirmed && l.primary(k.disk) })
	if own {
		if _, err := k.table.Commit(c, nil, []bulrushlug.Write{bulrushlug.RemoveWrite(k.prefix + i)}); err != nil {
			return err
		}
	}
	k.drop(i, "it expired")
	return nil
}
