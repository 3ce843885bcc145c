// Package mirror keeps a local replica of the entries of the key-value service under one prefix (list and watch).
package mirror

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
)

const (
	batchTime = 100 * time.Millisecond // Time in which changes are batched before the next watch.
	// watchLagTimeout is how long the watch may lag behind a revision that other processes saw; then the entries are
	// read again.
	watchLagTimeout = 300 * time.Millisecond
	// standbyLagTimeout is the same for processes that rely on the watches of others: it covers the time in which a change
	// passes down their tree, and one request that fails.
	standbyLagTimeout   = 800 * time.Millisecond
	defaultWatchTimeout = 10 * time.Second
	// startDelay is the time from the first read to the first watch, in which this process hears whether others watch: the
	// longest time between reports, and some more.
	startDelay     = 700 * time.Millisecond
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = time.Second     // Maximum back-off in an outage.
	standbyBackoff = 4 * time.Second // Back-off of processes that rely on the watches of others.
	// gracePeriod is how long entries that disappeared in an outage are retained after it: owners of entries with
	// leases write them again within two seconds of its end.
	gracePeriod = 2 * time.Second
	// reportFreshness is the age up to which a report of a process that reaches the service counts as recent. Entries
	// that disappear while reports are recent were removed and are not retained.
	reportFreshness = time.Second
	sweepInterval   = 250 * time.Millisecond // Time between two checks for expired retained entries and for lagging watches.
)

// Mirror is a local replica of the entries under one prefix.
type Mirror struct {
	store         bulrushlug.TxnStore
	prefix        string
	retainMissing bool // Entries that disappear around an outage are retained for gracePeriod.
	logger        log.Logger
	watchTimeout  func() time.Duration       // Timeout of the next watch; zero for no watch.
	onChange      func([]bulrushlug.KVEntry) // Called with all entries after each change, from one goroutine at a time.

	mu             sync.Mutex
	entries        map[string]bulrushlug.KVEntry
	retained       map[string]time.Time // Entries that are gone from the service, and until when they are kept.
	revision       uint64               // Revision up to which entries is complete according to the watch; never falls.
	newest         uint64               // Revision of the newest change seen, or of the list that showed it.
	peerRevision   uint64               // Revision of the newest change that other processes saw.
	peerRevisionAt time.Time            // When peerRevision rose above newest.
	cancelWatch    context.CancelFunc   // Cancels the current watch or, on standby, the wait for snapshots.
	lagTimeout     time.Duration        // How long what cancelWatch cancels may lag behind peerRevision.
	newer          chan struct{}        // Closed when newest rises.
	loaded         bool                 // entries was read at least once.
	downSince      time.Time            // Start of the current outage; zero while the service answers.
	recoveredAt    time.Time            // End of the last outage.
	reportedAt     time.Time            // Last report of a process that reaches the service.
}

// option configures a mirror.
type option func(m *Mirror)

// WithWatchTimeout sets the timeout of each watch to what f returns; every watch is a paid call. While f returns
// zero the mirror does not watch and relies on ApplySnapshot and NotifyRevision.
func WithWatchTimeout(f func() time.Duration) option { return func(m *Mirror) { m.watchTimeout = f } }

// WithGracePeriod retains entries that disappear around an outage until their owners had time to write them again.
func WithGracePeriod() option { return func(m *Mirror) { m.retainMissing = true } }

// New returns a mirror of the entries of t under p, which calls f with all entries after each change.
func New(t bulrushlug.TxnStore, p string, l log.Logger, f func([]bulrushlug.KVEntry), o ...option) *Mirror {
	m := &Mirror{store: t, prefix: p, logger: log.With(l, "mirror", p), onChange: f,
		watchTimeout: func() time.Duration { return defaultWatchTimeout },
		entries:      map[string]bulrushlug.KVEntry{}, retained: map[string]time.Time{}, newer: make(chan struct{})}
	for _, g := range o {
		g(m)
	}
	return m
}

// Run keeps the replica up to date until c ends, with jittered exponential back-off in an outage.
func (m *Mirror) Run(c context.Context) error {
	go m.sweep(c)
	retry := minBackoff
	for c.Err() == nil {
		err := m.listAndWatch(c)
		if c.Err() != nil {
			break
		}
		if bulrushlug.KindOf(err) == bulrushlug.KindHistoryLost {
			continue
		}
		if m.markDown(err) {
			retry = minBackoff
		}
		d := retry/2 + rand.N(retry)
		_ = bulrushlug.Sleep(c, d)
		retry = min(2*retry, maxBackoff)
		if m.watchTimeout() == 0 {
			retry = standbyBackoff
		}
	}
	return nil
}

// listAndWatch reads all entries, and then applies changes until an error.
func (m *Mirror) listAndWatch(c context.Context) error {
	l, n, err := m.store.List(c, m.prefix)
	if err != nil {
		return err
	}
	m.markUp()
	first := m.Revision() == 0
	m.replace(l, n, true)
	if first {
		if err := bulrushlug.Sleep(c, startDelay); err != nil {
			return err
		}
	}
	for {
		if m.watchTimeout() == 0 {
			return m.standby(c)
		}
		l, n, err := m.watch(c)
		if err != nil {
			return err
		}
		m.markUp()
		m.apply(l, n)
		if err := bulrushlug.Sleep(c, batchTime); err != nil {
			return err
		}
	}
}

// standby waits while other processes watch and supply snapshots. It ends once this process has to watch or missed
// a change.
func (m *Mirror) standby(c context.Context) error {
	x, stop := context.WithCancel(c)
	defer stop()
	m.setCancel(stop, standbyLagTimeout)
	for m.watchTimeout() == 0 && bulrushlug.Sleep(x, sweepInterval) == nil {
		continue
	}
	return bulrushlug.Errorf(bulrushlug.KindHistoryLost, "entries under %s have to be read again", m.prefix)
}

// watch waits for changes; a watch whose response was lost is repeated once, without delay.
func (m *Mirror) watch(c context.Context) ([]bulrushlug.KVEntry, uint64, error) {
	x, stop := context.WithCancel(c)
	defer stop()
	m.setCancel(stop, watchLagTimeout)
	l, n, err := m.store.Watch(x, m.prefix, m.Revision(), m.watchTimeout())
	if err != nil && x.Err() == nil && bulrushlug.KindOf(err) == bulrushlug.KindUncertain {
		l, n, err = m.store.Watch(x, m.prefix, m.Revision(), m.watchTimeout())
	}
	if err != nil && x.Err() != nil && c.Err() == nil {
		return nil, 0, bulrushlug.Errorf(bulrushlug.KindHistoryLost, "watch of %s missed a change", m.prefix)
	}
	return l, n, err
}

// setCancel sets what ends a wait that lags for d behind what other processes saw.
func (m *Mirror) setCancel(f context.CancelFunc, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelWatch, m.lagTimeout = f, d
}

// raise records a change at revision n; the caller holds the lock.
func (m *Mirror) raise(n uint64) {
	if n <= m.newest {
		return
	}
	m.newest = n
	close(m.newer)
	m.newer = make(chan struct{})
}

// Newer returns a channel that is closed once a change after revision n was seen, or nil if one was seen already.
func (m *Mirror) Newer(n uint64) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.newest > n {
		return nil
	}
	return m.newer
}

// NotifyRevision reports that another process, which reaches the service, saw a change at revision n.
func (m *Mirror) NotifyRevision(n uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportedAt = time.Now()
	if n > m.newest && m.peerRevision <= m.newest {
		m.peerRevisionAt = time.Now()
	}
	m.peerRevision = max(m.peerRevision, n)
}

// NewestRevision returns the revision of the newest change seen.
func (m *Mirror) NewestRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest
}

// Behind reports whether another process, which reaches the service, saw a newer change.
func (m *Mirror) Behind() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peerRevision > m.newest
}

// cancelLaggingWatch cancels the current watch if it did not deliver a change that other processes saw.
func (m *Mirror) cancelLaggingWatch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peerRevision <= m.newest || time.Since(m.peerRevisionAt) < m.lagTimeout || !m.downSince.IsZero() || m.cancelWatch == nil {
		return
	}
	_ = m.logger.Log("event", "changeMissed", "newest", m.newest, "hint", m.peerRevision)
	m.peerRevisionAt = time.Now()
	m.cancelWatch()
}

// markDown records that the service failed; it reports whether the service had answered before.
func (m *Mirror) markDown(err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.downSince.IsZero() {
		return false
	}
	m.downSince = time.Now()
	_ = m.logger.Log("event", "storeLost", "revision", m.revision, "err", err)
	return true
}

func (m *Mirror) markUp() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.downSince.IsZero() {
		return
	}
	_ = m.logger.Log("event", "storeBack", "revision", m.revision, "after", time.Since(m.downSince).Round(time.Millisecond))
	m.downSince, m.recoveredAt = time.Time{}, time.Now()
}

// replace installs the entries l, read at revision n, unless they are older; own says that this process read them.
// A snapshot of another process contains the entries that it retains, with the time for which it does.
func (m *Mirror) replace(l []bulrushlug.KVEntry, n uint64, own bool) {
	m.mu.Lock()
	if m.loaded && n < m.revision {
		m.mu.Unlock()
		return
	}
	old := m.entries
	m.entries = map[string]bulrushlug.KVEntry{}
	clear(m.retained)
	for _, i := range l {
		m.entries[i.Key()] = i.WithRetention(0)
		m.raise(i.Revision())
		if d := i.Retention(); d > 0 {
			m.retained[i.Key()] = time.Now().Add(min(d, gracePeriod))
		}
	}
	for k, i := range old {
		if _, ok := m.entries[k]; ok || !own {
			continue
		}
		m.raise(n) // A list doesn't tell the revision of a removal; processes that don't read need to hear of it.
		if m.inGracePeriod() && time.Since(m.reportedAt) > reportFreshness {
			m.retain(k, i)
		}
	}
	m.revision, m.loaded = n, true
	m.raise(min(m.peerRevision, n))
	m.publish()
}

// apply applies the changes in l, which lead to revision n, except those that the entries include already: a snapshot of
// another process may have come during the watch.
func (m *Mirror) apply(l []bulrushlug.KVEntry, n uint64) {
	m.mu.Lock()
	for _, i := range l {
		m.raise(i.Revision())
		if i.Revision() <= m.revision {
			continue
		}
		delete(m.retained, i.Key())
		if i.Value() == nil {
			delete(m.entries, i.Key())
			continue
		}
		m.entries[i.Key()] = i
	}
	m.revision = max(m.revision, n)
	if len(l) == 0 {
		m.mu.Unlock()
		return
	}
	m.publish()
}

// inGracePeriod reports whether entries that disappeared in an outage may still come back; the caller holds the
// lock.
func (m *Mirror) inGracePeriod() bool {
	return m.retainMissing && time.Since(m.recoveredAt) < gracePeriod
}

// retain keeps entry i although it is gone from the service; the caller holds the lock.
func (m *Mirror) retain(k string, i bulrushlug.KVEntry) {
	if i.Key() == "" {
		return
	}
	m.entries[k] = i
	m.retained[k] = m.recoveredAt.Add(gracePeriod)
}

// publish calls onChange with all entries and releases the lock.
func (m *Mirror) publish() {
	l := m.sorted()
	defer m.mu.Unlock()
	m.onChange(l)
}

func (m *Mirror) sorted() []bulrushlug.KVEntry {
	return slices.SortedFunc(maps.Values(m.entries), func(a, b bulrushlug.KVEntry) int { return cmp.Compare(a.Key(), b.Key()) })
}

// sweep removes retained entries once their time is over, and cancels watches that miss changes.
func (m *Mirror) sweep(c context.Context) {
	for bulrushlug.Sleep(c, sweepInterval) == nil {
		m.dropRetained()
		m.cancelLaggingWatch()
	}
}

func (m *Mirror) dropRetained() {
	m.mu.Lock()
	dropped := false
	for k, t := range m.retained {
		if time.Now().Before(t) {
			continue
		}
		delete(m.entries, k)
		delete(m.retained, k)
		dropped = true
	}
	if !dropped {
		m.mu.Unlock()
		return
	}
	m.publish()
}

// ApplySnapshot installs the entries l that another process, which reaches the service, read at revision n, if
// they are newer.
func (m *Mirror) ApplySnapshot(l []bulrushlug.KVEntry, n uint64) {
	m.mu.Lock()
	newer := !m.loaded || n > m.revision
	m.mu.Unlock()
	if newer {
		m.replace(l, n, false)
	}
}

// Entries returns all entries in key order.
func (m *Mirror) Entries() []bulrushlug.KVEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sorted()
}

// Snapshot returns all entries in key order and the revision up to which they are complete, for ApplySnapshot of another
// process.
func (m *Mirror) Snapshot() ([]bulrushlug.KVEntry, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.sorted()
	for i, e := range l {
		if t, ok := m.retained[e.Key()]; ok {
			l[i] = e.WithRetention(max(time.Millisecond, time.Until(t)))
		}
	}
	return l, m.revision
}

// Revision returns the revision up to which the entries are complete; zero before the first read.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// OutageDuration returns how long the service has been unreachable; zero while it answers.
func (m *Mirror) OutageDuration() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.downSince.IsZero() {
		return 0
	}
	return time.Since(m.downSince)
}
