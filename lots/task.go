package lots

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// task is the next action that a lot needs.
type task uint8

const (
	taskNone        = task(iota)
	taskDrop        // The lot expired.
	taskReadRecord  // The record may be newer than the state on this disk.
	taskCommit      // Entries have to be synced or replicated, or the replicas verified.
	taskReconfigure // The replicas have to change.
	taskProbe       // The primary may have lost the lot.
	taskSync        // What was read from the disk may not be synced.
)

// schedule starts the next task of lot i unless one is running.
func (k *ReplicaManager) schedule(c context.Context, i string) {
	t := taskNone
	k.withLot(i, func(l *lot) {
		if l.busy {
			return
		}
		if t = k.nextTask(l); t != taskNone {
			l.busy = true
		}
	})
	if t != taskNone {
		go k.runTasks(c, i, t)
	}
}

// runTasks runs the tasks of lot i until none is left or one fails.
func (k *ReplicaManager) runTasks(c context.Context, i string, t task) {
	for t != taskNone && c.Err() == nil {
		err := k.runTask(c, i, t)
		if err != nil && c.Err() == nil {
			_ = k.logger.Log("event", "lotStepFailed", "lot", i, "task", int(t), "err", err)
		}
		done := true
		k.withLot(i, func(l *lot) {
			if err != nil {
				l.taskErr, l.taskErrAt = err, time.Now()
				l.nextTaskAt = time.Now().Add(retryDelay/2 + rand.N(retryDelay))
			}
			t = k.nextTask(l)
			if done = err != nil || t == taskNone; done {
				l.busy = false
			}
		})
		if done {
			return
		}
	}
}

func (k *ReplicaManager) runTask(c context.Context, i string, t task) error {
	switch t {
	case taskDrop:
		return k.expire(c, i)
	case taskReadRecord:
		return k.syncWithRecord(c, i)
	case taskCommit:
		return k.commit(c, i)
	case taskReconfigure:
		return k.reconfigure(c, i)
	case taskProbe:
		return k.probe(c, i)
	case taskSync:
		return k.sync(i)
	}
	return nil
}

// nextTask returns the next task of l; the caller holds the lock of its shard.
func (k *ReplicaManager) nextTask(l *lot) task {
	now := time.Now()
	if len(l.replicas) == 0 || now.Before(l.nextTaskAt) {
		return taskNone
	}
	own := l.isPrimary(k.disk)
	switch {
	case l.unsynced:
		return taskSync
	case l.epochChanged, k.confirmationOverdue(l), l.confirmed && !slices.Contains(l.replicas, k.disk):
		return taskReadRecord
	case k.expired(l):
		return taskDrop
	case !l.confirmed:
		return taskNone
	case own && (l.stale || k.needsNewReplicas(l)), !own && k.shouldTakeOver(l):
		return taskReconfigure
	case own && (len(l.pending) > 0 || l.committed < len(l.entries) || l.recheck || l.failedRun):
		return taskCommit
	case own && !l.finished() && now.Sub(l.verifiedAt) > startStaleness/2:
		return taskCommit
	case !own && k.probeDue(l):
		return taskProbe
	}
	return taskNone
}

// confirmationOverdue reports whether a draft or a reconfiguration should have led to a record by now, or the process
// that runs it is this one, which no longer does, or is unavailable.
func (k *ReplicaManager) confirmationOverdue(l *lot) bool {
	switch {
	case l.confirmed:
		return false
	case l.epoch == firstEpoch:
		return time.Since(l.firstSeen) > draftTimeout
	}
	return l.coordinator == k.disk || time.Now().After(l.promiseDeadline) || l.coordinator != "" && k.unavailable(l.coordinator)
}

// needsNewReplicas reports whether the primary should change the replicas of l: one is unavailable, or one should be replaced
// and there are enough others. While there are not, the replicas that are there go on.
func (k *ReplicaManager) needsNewReplicas(l *lot) bool {
	if len(l.replicas) < k.replicationFactor {
		return true
	}
	replace := k.retiring(k.peers.Self().Name())
	for _, d := range l.replicas[1:] {
		if k.unavailable(d) {
			return true
		}
		p, ok := k.peers.ByDisk(d)
		replace = replace || ok && k.retiring(p.Member().Name()) || l.fails(d)
	}
	return replace && k.canReplace(l)
}

// canReplace reports whether enough disks are available besides those that fail for l or whose VM is retiring.
func (k *ReplicaManager) canReplace(l *lot) bool {
	n := 0
	if !k.retiring(k.peers.Self().Name()) {
		n++
	}
	for _, p := range k.peers.LiveDataPeers() {
		if !l.fails(p.DiskID()) && !k.retiring(p.Member().Name()) {
			n++
		}
	}
	return n >= k.replicationFactor
}

// shouldTakeOver reports whether this replica should take over l: all replicas before it are unavailable.
func (k *ReplicaManager) shouldTakeOver(l *lot) bool {
	for _, d := range l.replicas {
		if d == k.disk {
			return true
		}
		if !k.unavailable(d) {
			return false
		}
	}
	return false
}

// unavailable reports whether the process with disk d is leaving, unknown or not alive by the failure detector.
func (k *ReplicaManager) unavailable(d string) bool {
	p, ok := k.peers.ByDisk(d)
	if ok && p.Member().Leaving() && p.Alive() {
		return true
	}
	return (!ok || !p.Alive()) && time.Since(k.started) > startupTime
}

// syncWithRecord reads the record of lot i and makes this disk follow it. A lot that stays without a record is
// dropped.
func (k *ReplicaManager) syncWithRecord(c context.Context, i string) error {
	r, n, err := k.readRecord(c, i)
	if err != nil {
		return err
	}
	if n != 0 {
		return k.followRecord(c, i, r, n)
	}
	var old, confirmed bool
	k.withLot(i, func(l *lot) {
		old, confirmed = time.Since(l.firstSeen) > noRecordTimeout, l.confirmed
		l.nextTaskAt = time.Now().Add(draftTimeout)
	})
	if old || confirmed {
		k.drop(i, "no record found", func(l *lot) bool { return l.confirmed == confirmed })
	}
	return nil
}

// followRecord makes this disk follow the record r, at revision n. If it promised a later epoch to an unfinished
// reconfiguration, it starts one itself, or gives that one up in the end if r has other replicas.
func (k *ReplicaManager) followRecord(c context.Context, i string, r bulrushlug.LotRecord, n uint64) error {
	later := false
	k.withLot(i, func(l *lot) { later = l.epoch > r.Epoch() && !l.confirmed })
	if !later {
		return k.adoptRecord(c, i, bulrushlug.LotUpdate{})
	}
	if !slices.Contains(r.Replicas(), k.disk) {
		return k.giveUpPromise(c, i, r, n)
	}
	return k.reconfigure(c, i)
}

// commit syncs the pending entries on this disk, sends all replicas the entries that they lack, and advances the
// commit index.
func (k *ReplicaManager) commit(c context.Context, i string) error {
	if err := k.syncPending(i); err != nil {
		return err
	}
	var u bulrushlug.LotUpdate
	k.withLot(i, func(l *lot) {
		l.failedRun = false
		e := l.entries[min(max(l.committed, 1), len(l.entries)):]
		u = bulrushlug.NewLotUpdate(i, l.epoch, l.replicas, max(l.committed, 1), slices.Clone(e[:partLength(e)]), true)
		u = u.WithProgressWanted(l.committed == 0)
	})
	b := k.boots(u.Replicas()[1:])
	k.withLot(i, func(l *lot) {
		if !slices.Equal(l.ackedBoots, b) {
			clear(l.acked)
		}
		l.ackedBoots = b
	})
	u = u.WithProgress(k.unsentProgress(i))
	n := u.Offset() + len(u.Entries())
	err := parallel(u.Replicas()[1:], func(d string) error {
		err := k.catchUp(c, d, u)
		k.withLot(i, func(l *lot) { l.recordAttempt(d, err) })
		return err
	})
	if err != nil {
		return err
	}
	k.withLot(i, func(l *lot) {
		if l.epoch == u.Epoch() && slices.Equal(l.replicas, u.Replicas()) {
			l.committed = max(l.committed, min(n, len(l.entries)))
			l.verifiedAt = time.Now()
			l.recheck = false
			for _, p := range u.Progress() {
				l.acked[p.Item()] = position{p.Text(), p.Last(), p.Failures()}
			}
			l.notify()
		}
	})
	k.onWork()
	return nil
}

// boots returns the starts of the processes with the disks in l, zero for those that are not known.
func (k *ReplicaManager) boots(l []string) (b []uint64) {
	for _, d := range l {
		p, _ := k.peers.ByDisk(d)
		b = append(b, p.Boot())
	}
	return b
}

// unsentProgress returns the progress of the items of lot i that the replicas have not acknowledged, or part of it.
func (k *ReplicaManager) unsentProgress(i string) (p []bulrushlug.LotProgress) {
	acked, failures := map[uint32]position{}, map[uint32]int{}
	k.withLot(i, func(l *lot) {
		if l.head == nil {
			return
		}
		for n := range uint32(len(l.head.Items())) {
			if !l.done[n] {
				acked[n], failures[n] = l.acked[n], l.failures[n]
			}
		}
	})
	size := 0
	for n, a := range acked {
		x := k.progress(i, n, a.text, a.last)
		if x.Text() == 0 {
			x = bulrushlug.NewLotProgress(n, 0, 1, nil)
		}
		x = x.WithFailures(failures[n])
		if a.text != 0 && x.Text() != 0 && x.Text() != a.text {
			x = x.Replacing(a.text)
		}
		if len(x.Data()) == 0 && x.Replaces() == 0 && x.Failures() <= a.failures {
			continue
		}
		for _, d := range x.Data() {
			size += entryBytes + len(d)
		}
		if p = append(p, x); size > maxPartBytes {
			break
		}
	}
	return p
}

// syncPending writes the first part of the pending entries of lot i, and its failed runs, to the log on this disk.
func (k *ReplicaManager) syncPending(i string) error {
	var u bulrushlug.LotUpdate
	k.withLot(i, func(l *lot) {
		u = bulrushlug.NewLotUpdate(i, l.epoch, l.replicas, len(l.entries), slices.Clone(l.pending[:partLength(l.pending)]), true)
		u = u.WithProgress(l.unstoredFailures(l.failures))
	})
	if len(u.Entries()) == 0 && len(u.Progress()) == 0 {
		return nil
	}
	s, err := k.persist(u, func(l *lot) bool { return l.epoch == u.Epoch() && l.confirmed && l.isPrimary(k.disk) })
	if err != nil {
		return err
	}
	if !s.OK() {
		return bulrushlug.Errorf(bulrushlug.KindConflict, "epoch %d of lot %s has ended", u.Epoch(), i)
	}
	return nil
}

// catchUp brings the replica on disk d up to u, and sends all entries that the replica lacks.
func (k *ReplicaManager) catchUp(c context.Context, d string, u bulrushlug.LotUpdate) error {
	s, err := k.send(c, d, u, replicaTimeout)
	if err != nil {
		return err
	}
	if !s.OK() && k.needsCatchUp(u, s) {
		s, err = k.sendLog(c, d, k.withEntriesFrom(u, s.Length()))
	}
	if err != nil {
		return err
	}
	if !s.OK() {
		k.withLot(u.Lot(), func(l *lot) { l.epochChanged = l.epochChanged || l.epoch == u.Epoch() })
		return bulrushlug.Errorf(bulrushlug.KindConflict, "replica on disk %s follows epoch %d, not %d", d, s.Epoch(), u.Epoch())
	}
	return nil
}

// needsCatchUp reports whether a replica in state s lacks entries before u. A replica without the lot may have
// been told to forget it, so that case counts only if the record was read recently.
func (k *ReplicaManager) needsCatchUp(u bulrushlug.LotUpdate, s bulrushlug.LotReplicaState) bool {
	read := false
	k.withLot(u.Lot(), func(l *lot) { read = l.epoch == u.Epoch() && time.Since(l.recordReadAt) < startStaleness })
	return s.Epoch() == u.Epoch() && s.Length() < u.Offset() || s.Epoch() == 0 && read
}

// withEntriesFrom returns u with all entries from position n on.
func (k *ReplicaManager) withEntriesFrom(u bulrushlug.LotUpdate, n int) bulrushlug.LotUpdate {
	var e []bulrushlug.LotEntry
	end := u.Offset() + len(u.Entries())
	k.withLot(u.Lot(), func(l *lot) { e = slices.Clone(l.entries[min(n, len(l.entries)):min(end, len(l.entries))]) })
	return bulrushlug.NewLotUpdate(u.Lot(), u.Epoch(), u.Replicas(), n, e, u.Confirmed()).WithProgress(u.Progress()).WithProgressWanted(u.WantsProgress())
}
