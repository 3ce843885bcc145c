// Package lane shares the idle capacity among batch jobs.
package lane

import (
	"context"
	"slices"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	firstWindow = 8    // Items that run at once before anything is known of the capacity.
	shrink      = 0.75 // Factor of the window when items are refused.
	shrinkPause = 200 * time.Millisecond
)

// Lanes admits items: first the organisation with the fewest running items, then the job that is due first.
type Lanes struct {
	limit   func() int // Upper bound of the window.
	mu      sync.Mutex // Guards the fields below.
	window  float64    // Items that may run at once, at least 1.
	running int
	byOrg   map[string]int // Running items by organisation; no zeros.
	waiting []*turn
	shrunk  time.Time // When the window last shrank.
}

type turn struct {
	organisation string
	due          time.Time
	start        chan struct{}
}

// New returns lanes that admit at most as many items as f says.
func New(f func() int) *Lanes {
	return &Lanes{limit: f, window: firstWindow, byOrg: map[string]int{}}
}

// Enter waits until an item of organisation o, due at t, may run.
func (l *Lanes) Enter(c context.Context, o string, t time.Time) error {
	x := &turn{organisation: o, due: t, start: make(chan struct{})}
	l.mu.Lock()
	l.waiting = append(l.waiting, x)
	l.fill()
	l.mu.Unlock()
	select {
	case <-x.start:
		return nil
	case <-c.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.waiting, x); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	} else {
		l.end(o)
	}
	return c.Err()
}

// Leave notes that an item of o ended; refused says that there was no idle slot for it.
func (l *Lanes) Leave(o string, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !refused:
		l.window += 1 / l.window
	case time.Since(l.shrunk) > shrinkPause:
		l.window = max(1, l.window*shrink)
		l.shrunk = time.Now()
	}
	l.end(o)
}

func (l *Lanes) end(o string) {
	l.running--
	if l.byOrg[o]--; l.byOrg[o] == 0 {
		delete(l.byOrg, o)
	}
	l.fill()
}

// fill admits those that are next; the caller holds the lock.
func (l *Lanes) fill() {
	n := l.limit()
	l.window = max(1, min(l.window, float64(n)))
	for len(l.waiting) > 0 && l.running < int(l.window) {
		i := l.next()
		x := l.waiting[i]
		l.waiting = slices.Delete(l.waiting, i, i+1)
		l.running++
		l.byOrg[x.organisation]++
		close(x.start)
	}
}

func (l *Lanes) next() int {
	b := 0
	for i, x := range l.waiting {
		y := l.waiting[b]
		n, m := l.byOrg[x.organisation], l.byOrg[y.organisation]
		if n < m || n == m && x.due.Before(y.due) {
			b = i
		}
	}
	return b
}

// Counts returns the items that run and those that wait.
func (l *Lanes) Counts() (running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, len(l.waiting)
}

// Refused reports whether err means that an item found no idle slot, and may run again unharmed.
func Refused(err error) bool {
	switch bulrushlug.KindOf(err) {
	case bulrushlug.KindOverloaded, bulrushlug.KindUnplaceable, bulrushlug.KindLeaving, bulrushlug.KindPreempted:
		return true
	}
	return false
}
