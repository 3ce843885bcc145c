// Package lots keeps lots on several disks and decides which of them runs and lists each lot.
//
// Every lot has a log on the disks of its replicas. The first replica is the primary: it runs the items, and
// lists a result once all replicas have synced it. A record in the key-value service names epoch and replicas;
// it is written when a lot is accepted and when its replicas change, never for a result. Whoever changes the
// replicas first holds the whole log on the new ones, so every later primary has all that was ever listed. A
// primary answers a caller only after all replicas said that they still follow its epoch.
package lots

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/peers"
)

const (
	shardCount  = 16
	copyTimeout = 700 * time.Millisecond // Longest wait for one replica; a slow one holds up an acceptance no longer.
	bulkTimeout = 3 * time.Second        // Longest wait for a replica that takes a whole log.
	lookTime    = 150 * time.Millisecond // Time between looks at what should change.
	retryTime   = 300 * time.Millisecond // Mean time between tries to change the replicas of one lot; random, as two claims may collide.
	// promiseTime is the time for which a disk leaves a lot to the claim to which it promised an epoch: a record is
	// written within it in a slow service.
	promiseTime = time.Second
	misledTime  = 2 * time.Second         // Least time between looks at the record by a replica that callers take for the primary.
	startTime   = 1500 * time.Millisecond // Time after the start in which nobody counts as silent, as reports are still to come.
	// freshTime is the age up to which the agreement of the replicas allows to start items.
	freshTime = time.Second
	// staleTime is the age of the agreement of the replicas at which items that run are ended: longer than a
	// change of the replicas takes, and shorter than the time after which nothing of an ended lot may run.
	staleTime  = 2 * time.Second
	draftTime  = 2 * time.Second  // Age at which the record of a lot that was not confirmed is read.
	doubtTime  = 30 * time.Second // Age at which a lot without a record is dropped; late writes land within seconds.
	expireTime = 30 * time.Second // Time beyond the last read after which a lot is dropped.
	// recentTime is the time for which others are told of a lot whose primary this disk became: a few reports.
	recentTime = time.Second
	pageBytes  = 900 << 10 // Text of one page; an answer has at most 1 MB.
)

// ReplicaManager keeps the lots of one disk.
type ReplicaManager struct {
	disk      string
	copies    int           // Disks that hold what is acknowledged.
	keep      time.Duration // Time after its receipt for which a lot can be read.
	log       bulrushlug.LotLog
	remote    bulrushlug.LotReplicaClient
	table     bulrushlug.TxnStore
	prefix    string // Prefix of the records.
	peers     *peers.Membership
	retiring  func(vm string) bool // Reports whether operators want the VM emptied.
	storeLost func() bool          // Reports whether the key-value service does not answer.
	logger    log.Logger
	// progress returns the events after event n of an item that runs, or nothing.
	progress func(lot string, item uint32, n uint64) []string
	woken    func() // Called when there may be items to run or to stop.
	started  time.Time
	shards   [shardCount]shard
	mu       sync.Mutex
	recent   map[string]time.Time // When this disk became the primary of a lot, for recentTime.
}

type shard struct {
	mu   sync.Mutex
	lots map[string]*lot // By identifier.
}

// option sets one part of a keeper.
type option func(k *ReplicaManager)

// WithReplicationFactor keeps what is acknowledged on n disks.
func WithReplicationFactor(n int) option { return func(k *ReplicaManager) { k.copies = n } }

// WithRetention lets lots be read for d after their receipt.
func WithRetention(d time.Duration) option { return func(k *ReplicaManager) { k.keep = d } }

// WithRetiring moves lots away from VMs for which f returns true.
func WithRetiring(f func(vm string) bool) option { return func(k *ReplicaManager) { k.retiring = f } }

// WithStoreLost refuses lots at once while f reports that the key-value service does not answer.
func WithStoreLost(f func() bool) option { return func(k *ReplicaManager) { k.storeLost = f } }

// WithWorkCallback calls f when there may be items to run or to stop.
func WithWorkCallback(f func()) option { return func(k *ReplicaManager) { k.woken = f } }

// WithProgress tells the replicas how far items are, by what f returns: the events of an item after event n.
func WithProgress(f func(lot string, item uint32, n uint64) []string) option {
	return func(k *ReplicaManager) { k.progress = f }
}

// New returns the keeper of the logs in g, whose records are the entries of t under prefix.
func New(g bulrushlug.LotLog, r bulrushlug.LotReplicaClient, t bulrushlug.TxnStore, prefix string, p *peers.Membership, l log.Logger, o ...option) *ReplicaManager {
	k := &ReplicaManager{disk: p.Disk(), copies: 1, log: g, remote: r, table: t, prefix: prefix, peers: p, logger: l,
		retiring: func(string) bool { return false }, storeLost: func() bool { return false }, woken: func() {}, progress: func(string, uint32, uint64) []string { return nil }, started: time.Now(), recent: map[string]time.Time{}}
	for i := range k.shards {
		k.shards[i].lots = map[string]*lot{}
	}
	for _, f := range o {
		f(k)
	}
	return k
}

func (k *ReplicaManager) shard(i string) *shard { return &k.shards[xxhash.Sum64String(i)%shardCount] }

// with calls f with lot i under its lock; it reports false if there is no such lot.
func (k *ReplicaManager) with(i string, f func(l *lot)) bool {
	s := k.shard(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.lots[i]
	if ok {
		f(l)
	}
	return ok
}

// get returns lot i, and makes it if it is new and create is true.
func (k *ReplicaManager) get(i string, create bool) *lot {
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

// all returns the identifiers of all lots.
func (k *ReplicaManager) all() (l []string) {
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

// Load reads what the disk has.
func (k *ReplicaManager) Load() error {
	return k.log.Load(func(u bulrushlug.LotUpdate) {
		l := k.get(u.Lot(), true)
		k.with(u.Lot(), func(*lot) { l.take(u) })
	})
}

// Run looks after the lots until c ends.
func (k *ReplicaManager) Run(c context.Context) error {
	for bulrushlug.Sleep(c, lookTime) == nil {
		for _, i := range k.all() {
			k.look(c, i)
		}
	}
	return nil
}

// keepStep writes the step u to the log and takes it, if accept allows it.
func (k *ReplicaManager) keepStep(u bulrushlug.LotUpdate, accept func(l *lot) bool) (bulrushlug.LotReplicaState, error) {
	l := k.get(u.Lot(), u.Offset() == 0 && len(u.Entries()) > 0)
	if l == nil {
		return bulrushlug.LotReplicaState{}, nil
	}
	l.write.Lock()
	defer l.write.Unlock()
	var s bulrushlug.LotReplicaState
	ok, has := false, false
	k.with(u.Lot(), func(x *lot) {
		ok, has = x == l && accept(l), l.has(u)
		s = bulrushlug.NewLotReplicaState(ok && has, l.epoch, len(l.entries))
	})
	if !ok || has || u.Offset() > s.Length() {
		return s, nil
	}
	if err := k.log.Append(u); err != nil {
		return s, err
	}
	k.with(u.Lot(), func(*lot) {
		l.take(u)
		s = bulrushlug.NewLotReplicaState(true, l.epoch, len(l.entries))
	})
	return s, nil
}

// Append takes a step that the primary of a lot sent.
func (k *ReplicaManager) Append(u bulrushlug.LotUpdate) (bulrushlug.LotReplicaState, error) {
	if k.retiring(k.peers.Self().Name()) && k.get(u.Lot(), false) == nil {
		return bulrushlug.LotReplicaState{}, nil
	}
	whole := true
	s, err := k.keepStep(u, func(l *lot) bool {
		if !follows(l, u) {
			return false
		}
		whole = u.Offset() == 0 || l.same(u) && !l.stale
		return whole
	})
	if !whole {
		return bulrushlug.NewLotReplicaState(false, u.Epoch(), 0), nil
	}
	if err == nil && s.OK() {
		k.with(u.Lot(), func(l *lot) { l.learn(u.Progress()) })
		k.woken()
	}
	return s, err
}

// Progress returns the data of the events of an item that an earlier primary had, from the first one on.
func (k *ReplicaManager) Progress(i string, item uint32) (d []string) {
	k.with(i, func(l *lot) { d = slices.Clone(l.progress[item]) })
	return d
}

// follows reports whether l may take the step u of another primary; an epoch is promised to one claim only, and a
// draft does not replace that of another primary which may still be accepting the lot.
func follows(l *lot, u bulrushlug.LotUpdate) bool {
	switch {
	case u.Epoch() != l.epoch:
		return u.Epoch() > l.epoch
	case u.Confirmed() || slices.Equal(u.Replicas(), l.replicas):
		return true
	case l.confirmed, l.epoch > firstEpoch:
		return false
	}
	return l.primary(u.Replicas()[0]) || time.Since(l.born) > draftTime
}

// Verify reports whether lot i follows epoch n here.
func (k *ReplicaManager) Verify(i string, n uint64) bulrushlug.LotReplicaState {
	var s bulrushlug.LotReplicaState
	k.with(i, func(l *lot) { s = bulrushlug.NewLotReplicaState(l.epoch == n, l.epoch, len(l.entries)) })
	return s
}

// Forget removes lot i, unless it follows an epoch after n.
func (k *ReplicaManager) Forget(i string, n uint64) {
	drop := false
	k.with(i, func(l *lot) { drop = l.epoch <= n })
	if drop {
		k.drop(i, "forgotten")
	}
}

// Withdraw removes lot i if it was never confirmed and came from the primary on disk d.
func (k *ReplicaManager) Withdraw(i, d string) {
	drop := false
	k.with(i, func(l *lot) { drop = !l.confirmed && l.primary(d) })
	if drop {
		k.drop(i, "withdrawn")
	}
}

// drop removes lot i from this disk.
func (k *ReplicaManager) drop(i, reason string) {
	s := k.shard(i)
	s.mu.Lock()
	l := s.lots[i]
	delete(s.lots, i)
	s.mu.Unlock()
	if l == nil {
		return
	}
	l.write.Lock()
	defer l.write.Unlock()
	if err := k.log.Drop(i); err != nil {
		_ = k.logger.Log("event", "lotNotDropped", "lot", i, "err", err)
	}
	_ = k.logger.Log("event", "lotDropped", "lot", i, "reason", reason, "epoch", l.epoch)
	k.woken()
}

// became notes that this disk is the primary of lot i now.
func (k *ReplicaManager) became(i string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recent[i] = time.Now()
}

// RecentlyPromoted returns the lots whose primary this disk lately became.
func (k *ReplicaManager) RecentlyPromoted() (l []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, t := range k.recent {
		if time.Since(t) > recentTime {
			delete(k.recent, i)
			continue
		}
		l = append(l, i)
	}
	return l
}

// Count returns the number of lots on this disk.
func (k *ReplicaManager) Count() int { return len(k.all()) }
