package slots

import (
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// Reservation holds one slot of a backend server until Release.
type Reservation struct {
	shard   *shard
	entry   *entry
	backend bulrushlug.Backend
	batch   bool
	began   time.Time
	idle    bool // The server had an idle slot when it was chosen for an online request.
	metrics metrics
	first   bool // The first event was recorded; guarded by the shard's lock, as failed and success.
	failed  bool // A failure was recorded.
	success bool // The response was complete, so that its connection can be used again.
	once    sync.Once
}

// reserve counts one more request at the server of c, which f selected.
func (t *Table) reserve(c candidate, f filter, batch bool) *Reservation {
	if f.leaving {
		t.lastResorts.Add(1)
	}
	var l *Reservation
	if c.places > 0 {
		l = c.shard.reserveOnline(c.id, c.places)
	} else {
		l = c.shard.reserve(c.id, batch)
	}
	if l != nil {
		l.idle, l.metrics = c.idle, t.metrics
	}
	return l
}

// reserve counts one more request at server id, and returns nil if the server is gone or the gate no longer admits it.
func (s *shard) reserve(id string, batch bool) *Reservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.take(id, batch)
}

// reserveOnline is reserve for an online request; it returns nil too if others have taken the last of n places.
func (s *shard) reserveOnline(id string, n int) *Reservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[id]; !ok || e.online+s.totals[id].online >= n {
		return nil
	}
	return s.take(id, false)
}

// take is reserve for callers that hold the lock.
func (s *shard) take(id string, batch bool) *Reservation {
	e, ok := s.entries[id]
	if !ok || !s.gate.Admit(e.backend, time.Now()) {
		return nil
	}
	if batch {
		e.batch++
		e.started = time.Now()
	} else {
		e.online++
		e.idle = max(0, e.idle-1)
	}
	return &Reservation{shard: s, entry: e, backend: e.backend, batch: batch, began: time.Now()}
}

// Backend returns the backend server.
func (l *Reservation) Backend() bulrushlug.Backend { return l.backend }

// Load returns the online requests and batch items at the server as this process knows them, and the age of the oldest
// report that they are from.
func (l *Reservation) Load() (online, batch int, age time.Duration) {
	now := time.Now()
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	online, batch = l.shard.totalLoad(l.entry, now)
	for _, r := range l.shard.remote {
		if _, ok := r.loads[l.backend.ID()]; ok {
			age = max(age, now.Sub(r.at))
		}
	}
	return online, batch, age
}

// Release frees the slot; further calls do nothing.
func (l *Reservation) Release() {
	l.once.Do(l.release)
}

// release frees the slot.
func (l *Reservation) release() {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	if l.batch {
		l.entry.batch--
	} else {
		l.entry.online--
		l.keepConnection()
	}
}

// keepConnection counts the connection of a complete response as idle; the caller holds the lock.
func (l *Reservation) keepConnection() {
	if !l.success {
		return
	}
	now := time.Now()
	if !l.entry.connected(now) {
		l.entry.idle = 0
	}
	l.entry.idle++
	l.entry.idleUntil = now.Add(reuseTime)
}

// RecordFirst records that the first event of the response came, or all of a response without events; further calls do
// nothing.
func (l *Reservation) RecordFirst() {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	l.recordFirst()
}

// recordFirst is RecordFirst for callers that hold the lock.
func (l *Reservation) recordFirst() {
	if l.batch || l.first || l.failed {
		return
	}
	l.first = true
	now := time.Now()
	d := now.Sub(l.began)
	l.metrics.observeFirst(l.idle, d)
	l.entry.answers.add(bulrushlug.NewAnswers(1, uint32(min(d, maxFirst).Milliseconds()), 0), now)
}

// RecordRefusal records that the server refused the request because it was full.
func (l *Reservation) RecordRefusal() { l.metrics.counts.Add("chosenFull", 1) }

// RecordFailure makes Table.AcquireOnline and Table.AcquireBatch avoid the server for an exponentially growing back-off.
func (l *Reservation) RecordFailure() {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	e := l.entry
	if !l.failed {
		l.failed = true
		e.answers.add(bulrushlug.NewAnswers(0, 0, 1), time.Now())
	}
	e.backoff = min(max(initialBackoff, 2*e.backoff), maxBackoff)
	e.backoffUntil = time.Now().Add(e.backoff)
}

// RecordUnreachable records a failure of which it is known that no connection could be made.
func (l *Reservation) RecordUnreachable() {
	l.RecordFailure()
	l.shard.gate.Suspect(l.backend)
}

// RecordSuccess ends the back-off of the server and adds interval, the seconds between two events of the response, to its
// moving average; zero means that the interval is unknown.
func (l *Reservation) RecordSuccess(interval float64) {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	l.success = true
	l.recordFirst()
	l.entry.backoff = 0
	l.entry.backoffUntil = time.Time{}
	switch {
	case interval <= 0:
	case l.entry.eventInterval == 0:
		l.entry.eventInterval = interval
	default:
		l.entry.eventInterval += intervalWeight * (interval - l.entry.eventInterval)
	}
}
