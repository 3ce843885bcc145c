// Package lots replicates lots to several disks by primary-backup replication and decides which disk runs each
// lot.
//
// Every lot has a log on the disks of its replicas. The first replica is the primary: it runs the items, and
// publishes a result once all replicas have synced it. A placement record in the key-value service holds the epoch
// and the replicas; it is written when a lot is accepted and when its replicas change, never for a result. A lot
// without a record is a draft. A reconfiguration copies the whole log to the new replicas before it replaces the
// record, so every later primary has all published results. A primary answers a caller only after all replicas
// confirmed that they still follow its epoch, so a replaced primary returns no stale results.
//
// A disk never drops acknowledged data on its own guess: it does so once no record can name it any more and the disks that
// the record names have shown that they have the lot (leave), or once the lot has expired and its record is gone (expire).
package lots

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/peers"
)

const (
	shardCount         = 16
	replicaTimeout     = 700 * time.Millisecond // Bounds a call to one replica, and so the delay that a slow replica adds to an acceptance.
	logTransferTimeout = 3 * time.Second        // Bounds the transfer of a whole log to a replica.
	checkInterval      = 150 * time.Millisecond // Interval between checks for pending tasks.
	retryDelay         = 300 * time.Millisecond // Mean delay before the next attempt after a failed task; jittered, as two reconfigurations of a lot can collide.
	// promiseTimeout is how long a replica waits for the reconfiguration to which it promised an epoch before it reads
	// the record. It covers the write of a record while the key-value service is slow.
	promiseTimeout     = time.Second
	recordReadInterval = 2 * time.Second         // Minimum interval between reads of the record by a replica that callers take for the primary.
	startupTime        = 1500 * time.Millisecond // Time after start-up in which no process counts as unavailable, as the first reports are still due.
	// startStaleness is the staleness bound for starting items: the maximum age of the last verification by all
	// replicas.
	startStaleness = time.Second
	// runStaleness is the staleness bound at which running items are stopped. It is longer than a change of the
	// replicas takes, and shorter than the time after which nothing of an ended lot may run.
	runStaleness    = 2 * time.Second
	draftTimeout    = 2 * time.Second  // Age at which the record of an unconfirmed lot is read.
	orphanTimeout   = 10 * time.Second // Age at which the log of a reconfiguration that has not written its record is given up.
	replicaPatience = 3 * time.Second  // Time for which updates to a replica fail, although its process is alive, after which another one takes its place.
	failureLifetime = time.Minute      // Time after the last failure at which such a replica may be chosen again.
	probeDelay      = 2 * time.Second  // Shortest time after which a silent primary is asked for the lot.
	silenceTimeout  = 2 * time.Second  // Time after the last update at which the primary of an open lot counts as silent; it sends two a second.
	noRecordTimeout = 30 * time.Second // Age at which a lot without a record is dropped; late writes land within seconds.
	expiryDelay     = 30 * time.Second // Time after the end of its retention, and after its last result, at which a lot is dropped.
	// promotionReportTime is how long other processes are told that this disk became the primary of a lot: a few
	// reports.
	promotionReportTime = time.Second
)

// MaxPageBytes is the number of bytes of text in one page of results; a response has at most 1 MB.
const MaxPageBytes = 900 << 10

// ReplicaManager manages the replicas of lots on one disk.
type ReplicaManager struct {
	disk              string
	replicationFactor int           // Number of disks that hold acknowledged data.
	retention         time.Duration // Time after its receipt for which a lot can be read at least; one that is open can be read longer.
	log               bulrushlug.LotLog
	remote            bulrushlug.LotReplicaClient
	store             bulrushlug.TxnStore
	prefix            string // Key prefix of the placement records.
	peers             *peers.Membership
	retiring          func(vm string) bool // Reports whether operators are retiring the VM, so that its lots have to move.
	storeLost         func() bool          // Reports whether the key-value service is unreachable.
	logger            log.Logger
	// progress returns the events of a running item after event n of the given text, or all events if the item has
	// another text.
	progress   func(lot string, item uint32, text, n uint64) bulrushlug.LotProgress
	unservedAt time.Time    // Last search for lots for which no primary acts; of the goroutine of Run.
	unserved   atomic.Int64 // Lots that it found.
	onWork     func()       // Called when items may have to be started or stopped.
	started    time.Time
	shards     [shardCount]shard
	roomBytes  int64         // Memory of all lots beyond which no new one is accepted; zero for no bound.
	roomLots   int           // Lots beyond which no new one is accepted; zero for no bound.
	held       atomic.Int64  // Memory of all lots, and of those that are being accepted.
	refused    atomic.Int64  // Lots for which there was no room.
	transfers  chan struct{} // Holds a token for each transfer of a log in parts.
	mu         sync.Mutex
	promoted   map[string]time.Time // When this disk became the primary of a lot; entries expire after promotionReportTime.
}

type shard struct {
	mu   sync.Mutex
	lots map[string]*lot // By identifier.
}

// option configures a manager.
type option func(k *ReplicaManager)

// WithReplicationFactor keeps acknowledged data on n disks; the default is one.
func WithReplicationFactor(n int) option { return func(k *ReplicaManager) { k.replicationFactor = n } }

// WithRetention keeps lots readable for d after their receipt, and while they are open.
func WithRetention(d time.Duration) option { return func(k *ReplicaManager) { k.retention = d } }

// WithRetiring moves lots away from VMs for which f returns true.
func WithRetiring(f func(vm string) bool) option { return func(k *ReplicaManager) { k.retiring = f } }

// WithStoreDown rejects new lots at once while f reports that the key-value service is unreachable.
func WithStoreDown(f func() bool) option { return func(k *ReplicaManager) { k.storeLost = f } }

// WithWorkCallback calls f when items may have to be started or stopped.
func WithWorkCallback(f func()) option { return func(k *ReplicaManager) { k.onWork = f } }

// WithProgress replicates the progress of running items; f returns the events of an item after event n of the given text,
// or all events if the item has another text.
func WithProgress(f func(lot string, item uint32, text, n uint64) bulrushlug.LotProgress) option {
	return func(k *ReplicaManager) { k.progress = f }
}

// New returns the manager of the logs in g, whose placement records are the entries of t under prefix.
func New(g bulrushlug.LotLog, r bulrushlug.LotReplicaClient, t bulrushlug.TxnStore, prefix string, p *peers.Membership, l log.Logger, o ...option) *ReplicaManager {
	k := &ReplicaManager{disk: p.DiskID(), replicationFactor: 1, log: g, remote: r, store: t, prefix: prefix, peers: p, logger: l,
		retiring: func(string) bool { return false }, storeLost: func() bool { return false }, onWork: func() {}, progress: func(string, uint32, uint64, uint64) bulrushlug.LotProgress { return bulrushlug.LotProgress{} }, started: time.Now(), promoted: map[string]time.Time{}, transfers: make(chan struct{}, maxTransfers)}
	for i := range k.shards {
		k.shards[i].lots = map[string]*lot{}
	}
	for _, f := range o {
		f(k)
	}
	return k
}

func (k *ReplicaManager) shard(i string) *shard { return &k.shards[xxhash.Sum64String(i)%shardCount] }

// withLot calls f with lot i under the lock of its shard; it returns false if there is no such lot.
func (k *ReplicaManager) withLot(i string, f func(l *lot)) bool {
	s := k.shard(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.lots[i]
	if ok = ok && !l.dropped; ok {
		f(l)
	}
	return ok
}

// getLot returns lot i. If there is none, it creates the lot if create is true, and returns nil otherwise.
func (k *ReplicaManager) getLot(i string, create bool) *lot {
	s := k.shard(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.lots[i]
	if !ok && create {
		l = newLot(i)
		s.lots[i] = l
	}
	return l
}

// lotIDs returns the identifiers of all lots on this disk.
func (k *ReplicaManager) lotIDs() (l []string) {
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.Lock()
		for id := range s.lots {
			l = append(l, id)
		}
		s.mu.Unlock()
	}
	return l
}

// Load rebuilds the lots from the logs on the disk, and makes what it has found durable: a process that was killed may have
// written what it did not sync, which a loss of power takes away.
func (k *ReplicaManager) Load() error {
	err := k.log.Load(func(u bulrushlug.LotUpdate) {
		l := k.getLot(u.Lot(), true)
		k.withLot(u.Lot(), func(*lot) {
			k.applyUpdate(l, u)
			l.storeFailures(u.Progress())
			l.unsynced = true
		})
	})
	if err != nil {
		return err
	}
	for _, i := range k.lotIDs() {
		if err := k.sync(i); err != nil {
			_ = k.logger.Log("event", "lotNotSynced", "lot", i, "err", err)
		}
	}
	return nil
}

// sync appends a record that changes nothing to the log of lot i, as a sync covers all that was written before.
func (k *ReplicaManager) sync(i string) error {
	l := k.getLot(i, false)
	if l == nil {
		return nil
	}
	if err := l.beginWrite(); err != nil {
		return err
	}
	defer l.endWrite()
	var u bulrushlug.LotUpdate
	needed := false
	k.withLot(i, func(x *lot) {
		needed = x == l && l.unsynced
		u = bulrushlug.NewLotUpdate(i, l.epoch, l.replicas, len(l.entries), nil, l.confirmed)
	})
	if !needed {
		return nil
	}
	return k.appendLog(l, u)
}

// appendLog writes u to the log of l, for which the caller has begun a write.
func (k *ReplicaManager) appendLog(l *lot, u bulrushlug.LotUpdate) error {
	k.withLot(u.Lot(), func(*lot) { l.writingSince = time.Now() })
	err := k.log.Append(u)
	k.withLot(u.Lot(), func(*lot) {
		l.writingSince = time.Time{}
		l.recordAttempt(k.disk, err)
		l.unsynced = l.unsynced && err != nil
	})
	return err
}

// Run checks all lots for pending tasks until c ends.
func (k *ReplicaManager) Run(c context.Context) error {
	for bulrushlug.Sleep(c, checkInterval) == nil {
		k.logUnserved(time.Now())
		for _, i := range k.lotIDs() {
			k.schedule(c, i)
		}
	}
	return nil
}

// persist writes u to the log and applies it if accept allows it, and returns the state of the replica. Of the progress, only
// failed runs are written, as they bound how often an item may run.
func (k *ReplicaManager) persist(u bulrushlug.LotUpdate, accept func(l *lot) bool) (bulrushlug.LotReplicaState, error) {
	l := k.getLot(u.Lot(), u.Offset() == 0 && len(u.Entries()) > 0)
	if l == nil {
		return bulrushlug.LotReplicaState{}, nil
	}
	if err := l.beginWrite(); err != nil {
		return bulrushlug.LotReplicaState{}, err
	}
	defer l.endWrite()
	var s bulrushlug.LotReplicaState
	ok, duplicate := false, false
	var failures []bulrushlug.LotProgress
	k.withLot(u.Lot(), func(x *lot) {
		failures = l.unstoredFailures(failuresIn(u.Progress()))
		ok, duplicate = x == l && accept(l), l.contains(u) && !l.unsynced && len(failures) == 0
		if !l.isReplacedBy(u) {
			u = u.WithReceivedAt(earlier(l.receivedAt, u.ReceivedAt()))
		}
		s = bulrushlug.NewLotReplicaState(ok && duplicate, l.epoch, len(l.entries))
	})
	if !ok || duplicate || u.Offset() > s.Length() {
		return s, nil
	}
	if err := k.appendLog(l, u.WithProgress(failures).WithProgressWanted(false)); err != nil {
		return s, err
	}
	k.withLot(u.Lot(), func(*lot) {
		k.applyUpdate(l, u)
		l.storeFailures(failures)
		s = bulrushlug.NewLotReplicaState(true, l.epoch, len(l.entries))
	})
	return s, nil
}

// earlier returns the earlier one of a and b that is not zero.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Append applies an update that the primary of a lot sent.
func (k *ReplicaManager) Append(u bulrushlug.LotUpdate) (bulrushlug.LotReplicaState, error) {
	if k.retiring(k.peers.Self().Name()) && k.getLot(u.Lot(), false) == nil {
		return bulrushlug.LotReplicaState{}, nil
	}
	if u.Epoch() == firstEpoch && u.Offset() == 0 && !u.Confirmed() && k.getLot(u.Lot(), false) == nil {
		release, err := k.claim(u.Lot(), u.Entries())
		if err != nil {
			return bulrushlug.LotReplicaState{}, err
		}
		defer release()
	}
	contiguous := true
	s, err := k.persist(u, func(l *lot) bool {
		if !follows(l, u) {
			return false
		}
		contiguous = u.Offset() == 0 || l.sameEpoch(u) && !l.stale
		return contiguous
	})
	if !contiguous {
		return bulrushlug.NewLotReplicaState(false, u.Epoch(), 0), nil
	}
	if err == nil && s.OK() {
		k.withLot(u.Lot(), func(l *lot) {
			if k.observePrimary(l, u.Sender()) {
				l.heardAt = time.Now()
			}
			l.observeReceipt(u.ReceivedAt())
			l.addProgress(u.Progress())
			s = s.WithReceivedAt(l.receivedAt)
			if u.WantsProgress() {
				s = s.WithProgress(l.knownProgress())
			}
		})
		k.onWork()
	}
	return s, err
}

// Progress returns the events of an item that an earlier primary replicated, from the first one on.
func (k *ReplicaManager) Progress(i string, item uint32) (d []string) {
	k.withLot(i, func(l *lot) { d = slices.Clone(l.progress[item].events) })
	return d
}

// Failures returns the failed runs of an item under all primaries, as far as this disk knows.
func (k *ReplicaManager) Failures(i string, item uint32) (n int) {
	k.withLot(i, func(l *lot) { n = l.failures[item] })
	return n
}

// RecordFailures has the replicas told at once that servers have failed n runs of an item.
func (k *ReplicaManager) RecordFailures(c context.Context, i string, item uint32, n int) {
	k.withLot(i, func(l *lot) {
		l.countFailures(item, n)
		l.failedRun = true
	})
	k.schedule(c, i)
}

// ReplicatedFailures returns the failed runs of an item of which all replicas know.
func (k *ReplicaManager) ReplicatedFailures(i string, item uint32) (n int) {
	k.withLot(i, func(l *lot) { n = l.acked[item].failures })
	return n
}

// follows reports whether l may take the update u of another primary. An epoch is promised to one reconfiguration
// only, and a draft does not replace that of another primary which may still be accepting the lot.
func follows(l *lot, u bulrushlug.LotUpdate) bool {
	switch {
	case u.Epoch() != l.epoch:
		return u.Epoch() > l.epoch
	case u.Confirmed() || slices.Equal(u.Replicas(), l.replicas):
		return true
	case l.confirmed, l.epoch > firstEpoch:
		return false
	}
	return l.isPrimary(u.Replicas()[0]) || time.Since(l.firstSeen) > draftTimeout
}

// Verify reports whether the replica of lot i on this disk follows epoch n. One that can't store anything follows its epoch
// and answers for what it has, but its length is zero.
func (k *ReplicaManager) Verify(i string, n uint64) bulrushlug.LotReplicaState {
	var s bulrushlug.LotReplicaState
	k.withLot(i, func(l *lot) {
		length := len(l.entries)
		if l.unsynced || l.storesNothing(k.disk) {
			length = 0
		}
		s = bulrushlug.NewLotReplicaState(l.epoch == n, l.epoch, length)
	})
	return s
}

// Forget removes the replica of lot i, unless it follows an epoch after n.
func (k *ReplicaManager) Forget(i string, n uint64) {
	k.drop(i, "forgotten", upToEpoch(n))
}

// Withdraw removes the replica of lot i if it is an unconfirmed draft of the primary on disk d.
func (k *ReplicaManager) Withdraw(i, d string) {
	k.drop(i, "withdrawn", func(l *lot) bool { return l.epoch == firstEpoch && !l.confirmed && l.isPrimary(d) })
}

// drop removes the replica of lot i from this disk if the condition f still holds. The lot counts as absent from then on,
// but its place is taken until the log is removed, so that no new log of the lot goes with it.
func (k *ReplicaManager) drop(i, reason string, f func(l *lot) bool) {
	l := k.getLot(i, false)
	if l == nil {
		return
	}
	if err := l.beginWrite(); err != nil {
		_ = k.logger.Log("event", "lotNotDropped", "lot", i, "err", err)
		return
	}
	defer l.endWrite()
	s := k.shard(i)
	s.mu.Lock()
	ok := s.lots[i] == l && f(l)
	l.dropped = l.dropped || ok
	s.mu.Unlock()
	if !ok {
		return
	}
	if err := k.log.Drop(i); err != nil {
		_ = k.logger.Log("event", "lotNotDropped", "lot", i, "err", err)
	}
	s.mu.Lock()
	delete(s.lots, i)
	k.held.Add(-int64(l.size))
	s.mu.Unlock()
	_ = k.logger.Log("event", "lotDropped", "lot", i, "reason", reason, "epoch", l.epoch)
	k.onWork()
}

// upToEpoch is a condition of drop: the replica follows epoch n or an earlier one.
func upToEpoch(n uint64) func(l *lot) bool { return func(l *lot) bool { return l.epoch <= n } }

// markPromoted records that this disk became the primary of lot i.
func (k *ReplicaManager) markPromoted(i string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.promoted[i] = time.Now()
}

// RecentlyPromoted returns the lots whose primary this disk became within promotionReportTime.
func (k *ReplicaManager) RecentlyPromoted() (l []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, t := range k.promoted {
		if time.Since(t) > promotionReportTime {
			delete(k.promoted, i)
			continue
		}
		l = append(l, i)
	}
	return l
}

// LotCount returns the number of lots on this disk.
func (k *ReplicaManager) LotCount() (n int) {
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.Lock()
		n += len(s.lots)
		s.mu.Unlock()
	}
	return n
}
