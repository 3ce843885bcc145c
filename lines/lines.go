// Package lines bounds the log lines of one kind, so that a fault that repeats does not fill the log.
package lines

import (
	"sync"
	"time"
)

// Limiter allows a number of lines each second.
type Limiter struct {
	most    int // Lines a second.
	mu      sync.Mutex
	second  time.Time // Begin of the current second.
	lines   int       // Lines in the current second, at most most.
	omitted int       // Lines that were not allowed since the last one that was.
}

// New returns a limiter that allows n lines a second.
func New(n int) *Limiter { return &Limiter{most: n} }

// Take reports whether a line may be written, and the number of lines that were not since the last one that was.
func (l *Limiter) Take() (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.second) >= time.Second {
		l.second, l.lines = now, 0
	}
	if l.lines == l.most {
		l.omitted++
		return 0, false
	}
	l.lines++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}
