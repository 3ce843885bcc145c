// Package mirror keeps a copy of the entries of the key-value service under one prefix.
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
	gatherTime = 100 * time.Millisecond // Time in which changes are gathered before the next watch.
	// hintTime is the time after which a change that others saw, and the own watch did not bring, is read.
	hintTime    = 300 * time.Millisecond
	defaultWait = 10 * time.Second
	firstRetry  = 100 * time.Millisecond
	maxRetry    = time.Second     // Time between calls in an outage.
	restRetry   = 4 * time.Second // The same for processes that rely on others.
	// returnTime is the time for which entries that went missing are kept after an outage: owners of
	// entries with leases are back within two seconds of its end.
	returnTime = 2 * time.Second
	// newsTime is the age up to which a process that reaches the service counts as heard: what it did not tell is not missing.
	newsTime  = time.Second
	sweepTime = 250 * time.Millisecond
)

// Mirror follows the entries under one prefix.
type Mirror struct {
	table  bulrushlug.TxnStore
	prefix string
	keep   bool // Entries that go missing around an outage are kept for returnTime.
	logger log.Logger
	wait   func() time.Duration       // Length of the next watch.
	change func([]bulrushlug.KVEntry) // Called with all entries after each change, from one goroutine at a time.

	mu       sync.Mutex
	items    map[string]bulrushlug.KVEntry
	missing  map[string]bool    // Entries that are gone from the service and kept until their owners had time to come back.
	revision uint64             // Revision up to which items is complete, as far as the watch tells; never falls.
	newest   uint64             // Revision of the newest change that was seen.
	hint     uint64             // Revision of the newest change that others saw.
	hinted   time.Time          // When hint rose above newest.
	stop     context.CancelFunc // Ends the present watch.
	loaded   bool               // items was read at least once.
	down     time.Time          // Start of the present outage; zero while the service answers.
	back     time.Time          // End of the last outage.
	heard    time.Time          // Last time at which a process that reaches the service was heard.
}

// option sets one part of a mirror.
type option func(m *Mirror)

// WithWatchTimeout makes watches as long as f says; a call is paid for each. While f returns zero the mirror makes none
// and relies on Offer and Hint.
func WithWatchTimeout(f func() time.Duration) option { return func(m *Mirror) { m.wait = f } }

// WithGracePeriod keeps entries that go missing around an outage until their owners had time to come back.
func WithGracePeriod() option { return func(m *Mirror) { m.keep = true } }

// New returns a mirror of the entries of t under p, which hands all entries to f after each change.
func New(t bulrushlug.TxnStore, p string, l log.Logger, f func([]bulrushlug.KVEntry), o ...option) *Mirror {
	m := &Mirror{table: t, prefix: p, logger: log.With(l, "mirror", p), change: f,
		wait:  func() time.Duration { return defaultWait },
		items: map[string]bulrushlug.KVEntry{}, missing: map[string]bool{}}
	for _, g := range o {
		g(m)
	}
	return m
}

// Run follows the service until c ends.
func (m *Mirror) Run(c context.Context) error {
	go m.sweep(c)
	retry := firstRetry
	for c.Err() == nil {
		err := m.follow(c)
		if c.Err() != nil {
			break
		}
		if bulrushlug.KindOf(err) == bulrushlug.KindHistoryLost {
			continue
		}
		if m.lost(err) {
			retry = firstRetry
		}
		d := retry/2 + rand.N(retry)
		_ = bulrushlug.Sleep(c, d)
		retry = min(2*retry, maxRetry)
		if m.wait() == 0 {
			retry = restRetry
		}
	}
	return nil
}

// follow reads all entries, and then changes until an error.
func (m *Mirror) follow(c context.Context) error {
	l, n, err := m.table.List(c, m.prefix)
	if err != nil {
		return err
	}
	m.answered()
	m.replace(l, n, true)
	for {
		if m.wait() == 0 {
			return m.rest(c)
		}
		l, n, err := m.watch(c)
		if err != nil {
			return err
		}
		m.answered()
		m.apply(l, n)
		if err := bulrushlug.Sleep(c, gatherTime); err != nil {
			return err
		}
	}
}

// rest waits while others watch and offer what they read; it ends once a watch is wanted or a change was missed.
func (m *Mirror) rest(c context.Context) error {
	x, stop := context.WithCancel(c)
	defer stop()
	m.mu.Lock()
	m.stop = stop
	m.mu.Unlock()
	for m.wait() == 0 && bulrushlug.Sleep(x, sweepTime) == nil {
		continue
	}
	return bulrushlug.Errorf(bulrushlug.KindHistoryLost, "the entries under %s have to be read again", m.prefix)
}

// watch waits for changes; a watch that was cut is made once more at once.
func (m *Mirror) watch(c context.Context) ([]bulrushlug.KVEntry, uint64, error) {
	x, stop := context.WithCancel(c)
	defer stop()
	m.mu.Lock()
	m.stop = stop
	m.mu.Unlock()
	l, n, err := m.table.Watch(x, m.prefix, m.Revision(), m.wait())
	if err != nil && x.Err() == nil && bulrushlug.KindOf(err) == bulrushlug.KindUncertain {
		l, n, err = m.table.Watch(x, m.prefix, m.Revision(), m.wait())
	}
	if err != nil && x.Err() != nil && c.Err() == nil {
		return nil, 0, bulrushlug.Errorf(bulrushlug.KindHistoryLost, "the watch of %s missed a change", m.prefix)
	}
	return l, n, err
}

// NotifyRevision says that another process, which reaches the service, saw a change at revision n.
func (m *Mirror) NotifyRevision(n uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard = time.Now()
	if n > m.newest && m.hint <= m.newest {
		m.hinted = time.Now()
	}
	m.hint = max(m.hint, n)
}

// NewestRevision returns the revision of the newest change that was seen.
func (m *Mirror) NewestRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest
}

// missed ends the present watch if it did not bring a change that others saw.
func (m *Mirror) missed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hint <= m.newest || time.Since(m.hinted) < hintTime || !m.down.IsZero() || m.stop == nil {
		return
	}
	_ = m.logger.Log("event", "changeMissed", "newest", m.newest, "hint", m.hint)
	m.hinted = time.Now()
	m.stop()
}

// lost notes that the service failed; it reports whether it had answered before.
func (m *Mirror) lost(err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.down.IsZero() {
		return false
	}
	m.down = time.Now()
	_ = m.logger.Log("event", "storeLost", "revision", m.revision, "err", err)
	return true
}

func (m *Mirror) answered() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down.IsZero() {
		return
	}
	_ = m.logger.Log("event", "storeBack", "revision", m.revision, "after", time.Since(m.down).Round(time.Millisecond))
	m.down, m.back = time.Time{}, time.Now()
}

// replace makes l, read at revision n, the entries; own says that this process read them, and not another one that
// reaches the service and keeps what may come back by itself.
func (m *Mirror) replace(l []bulrushlug.KVEntry, n uint64, own bool) {
	m.mu.Lock()
	if m.loaded && n < m.revision {
		m.mu.Unlock()
		return
	}
	old := m.items
	m.items = map[string]bulrushlug.KVEntry{}
	if !own {
		clear(m.missing)
	}
	for _, i := range l {
		m.items[i.Key()] = i
		m.newest = max(m.newest, i.Revision())
		delete(m.missing, i.Key())
	}
	for k, i := range old {
		if _, ok := m.items[k]; !ok && own && m.holds() && time.Since(m.heard) > newsTime {
			m.hold(k, i)
		}
	}
	m.revision, m.loaded = n, true
	m.newest = max(m.newest, min(m.hint, n))
	m.publish()
}

// apply takes over the changes in l, which lead to revision n.
func (m *Mirror) apply(l []bulrushlug.KVEntry, n uint64) {
	m.mu.Lock()
	for _, i := range l {
		m.newest = max(m.newest, i.Revision())
		delete(m.missing, i.Key())
		if i.Value() == nil {
			delete(m.items, i.Key())
			continue
		}
		m.items[i.Key()] = i
	}
	m.revision = max(m.revision, n)
	if len(l) == 0 {
		m.mu.Unlock()
		return
	}
	m.publish()
}

// holds reports whether entries that went missing in an outage may still come back; the caller holds the lock.
func (m *Mirror) holds() bool {
	return m.keep && time.Since(m.back) < returnTime
}

// hold keeps entry i although it is gone from the service; the caller holds the lock.
func (m *Mirror) hold(k string, i bulrushlug.KVEntry) {
	if i.Key() == "" {
		return
	}
	m.items[k] = i
	m.missing[k] = true
}

// publish hands all entries on and releases the lock.
func (m *Mirror) publish() {
	l := m.sorted()
	defer m.mu.Unlock()
	m.change(l)
}

func (m *Mirror) sorted() []bulrushlug.KVEntry {
	return slices.SortedFunc(maps.Values(m.items), func(a, b bulrushlug.KVEntry) int { return cmp.Compare(a.Key(), b.Key()) })
}

// sweep drops entries that did not come back, and ends watches that miss changes.
func (m *Mirror) sweep(c context.Context) {
	for bulrushlug.Sleep(c, sweepTime) == nil {
		m.drop()
		m.missed()
	}
}

func (m *Mirror) drop() {
	m.mu.Lock()
	if len(m.missing) == 0 || m.holds() {
		m.mu.Unlock()
		return
	}
	for k := range m.missing {
		delete(m.items, k)
	}
	clear(m.missing)
	m.publish()
}

// ApplySnapshot takes over entries that another process, which reaches the service, read at revision n, if they are newer.
func (m *Mirror) ApplySnapshot(l []bulrushlug.KVEntry, n uint64) {
	m.mu.Lock()
	newer := !m.loaded || n > m.revision
	m.mu.Unlock()
	if newer {
		m.replace(l, n, false)
	}
}

// Items returns all entries in the order of keys.
func (m *Mirror) Items() []bulrushlug.KVEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sorted()
}

// Revision returns the revision up to which the entries are complete; zero before the first read.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// OutageDuration returns how long the service has not answered; zero while it does.
func (m *Mirror) OutageDuration() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down.IsZero() {
		return 0
	}
	return time.Since(m.down)
}
