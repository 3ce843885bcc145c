package lots

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// observePrimary notes that the process with disk d has lot l, and reports whether that is the primary; the caller holds the
// lock of its shard.
func (k *ReplicaManager) observePrimary(l *lot, d string) bool {
	if !l.isPrimary(d) {
		return false
	}
	if p, ok := k.peers.ByDisk(d); ok {
		l.primaryBoot, l.probeAt = p.Boot(), time.Time{}
	}
	return true
}

// probeDue reports whether it is time to ask the replicas before this one for the lot l: the process of the primary is alive, but
// has sent nothing since it started or became the primary, or nothing lately although the lot is open; or it is not, and a
// replica before this one has not taken the lot over. The caller holds the lock of the shard.
func (k *ReplicaManager) probeDue(l *lot) bool {
	p, ok := k.peers.ByDisk(l.replicas[0])
	if ok && p.Alive() && p.Boot() == l.primaryBoot && (l.finished() || time.Since(l.heardAt) < silenceTimeout) {
		l.probeAt = time.Time{}
		return false
	}
	if l.probeAt.IsZero() {
		l.probeAt = time.Now().Add(probeDelay + rand.N(probeDelay))
	}
	return time.Now().After(l.probeAt)
}

// probe asks the replicas of lot i before this one for the lot, and takes it over if none of them has it, or can store anything
// while other disks may.
func (k *ReplicaManager) probe(c context.Context, i string) error {
	var epoch uint64
	var before, failing []string
	k.withLot(i, func(l *lot) {
		epoch, before = l.epoch, l.replicas[:max(0, slices.Index(l.replicas, k.disk))]
		l.probeAt = time.Time{}
	})
	for n, d := range before {
		if k.unavailable(d) {
			continue
		}
		s, err := k.verify(c, d, i, epoch)
		if err != nil {
			return err
		}
		if s.Epoch() == 0 {
			continue
		}
		if s.OK() && s.Length() == 0 {
			replaceable := false
			k.withLot(i, func(l *lot) {
				l.condemn(d)
				replaceable = k.canReplace(l)
			})
			if replaceable {
				failing = append(failing, d)
				continue
			}
		}
		k.withLot(i, func(l *lot) {
			if l.epochChanged = l.epochChanged || s.Epoch() != epoch; l.epoch == epoch && n == 0 {
				k.observePrimary(l, d)
			}
		})
		return nil
	}
	_ = k.logger.Log("event", "lotLostByPrimary", "lot", i, "epoch", epoch, "storesNothing", strings.Join(failing, ","))
	return k.reconfigure(c, i)
}

// verify returns the state of the replica of lot i on disk d, which should follow epoch n.
func (k *ReplicaManager) verify(c context.Context, d, i string, n uint64) (bulrushlug.LotReplicaState, error) {
	p, ok := k.peers.ByDisk(d)
	if !ok {
		return bulrushlug.LotReplicaState{}, bulrushlug.Errorf(bulrushlug.KindUnplaceable, "no known process serves disk %s", d)
	}
	c, stop := context.WithTimeout(c, replicaTimeout)
	defer stop()
	return k.remote.Verify(c, p.Member().Address(), i, n)
}
