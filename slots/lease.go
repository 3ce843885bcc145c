package slots

import (
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// Reservation is the right to one request at a backend server, until Release.
type Reservation struct {
	shard   *shard
	entry   *entry
	backend bulrushlug.Backend
	batch   bool
	once    sync.Once
}

// Backend returns the server.
func (l *Reservation) Backend() bulrushlug.Backend { return l.backend }

// Release ends the request.
func (l *Reservation) Release() {
	l.once.Do(func() {
		l.shard.mu.Lock()
		defer l.shard.mu.Unlock()
		if l.batch {
			l.entry.batch--
		} else {
			l.entry.online--
		}
	})
}

// RecordFailure passes the server over for a while, twice as long after each failure.
func (l *Reservation) RecordFailure() {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	e := l.entry
	e.penalty = min(max(firstPenalty, 2*e.penalty), maxPenalty)
	e.until = time.Now().Add(e.penalty)
}

// RecordSuccess notes an answer with so many seconds between its events; zero if they are unknown.
func (l *Reservation) RecordSuccess(pace float64) {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	l.entry.penalty = 0
	l.entry.until = time.Time{}
	switch {
	case pace <= 0:
	case l.entry.pace == 0:
		l.entry.pace = pace
	default:
		l.entry.pace += paceWeight * (pace - l.entry.pace)
	}
}
