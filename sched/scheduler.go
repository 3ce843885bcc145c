// Package sched schedules the items of batch jobs fairly over the capacity that online requests leave.
package sched

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	initialWindow    = 8                      // Concurrency window in items, before the capacity is known.
	decreaseFactor   = 0.75                   // Factor by which the window shrinks when an item finds no capacity.
	decreaseInterval = 200 * time.Millisecond // Least time between two decreases of the window.
)

// Scheduler admits items by organisation with the fewest running items, then by earliest due time.
//
// Its window of concurrent items adapts to the capacity by additive increase and multiplicative decrease (AIMD).
type Scheduler struct {
	limit        func() int // Upper bound of the window, in items.
	mu           sync.Mutex // Guards the fields below.
	window       float64    // Items that may run at once; at least 1.
	running      int
	byOrg        map[string]int    // Running items by organisation; no zeros.
	waiting      map[string]*queue // Waiting items by organisation; no empty queues.
	lastDecrease time.Time         // Time of the last decrease of the window.
}

// waiter is an item that waits for admission.
type waiter struct {
	organisation string
	due          time.Time
	admitted     chan struct{} // Closed once the item is admitted.
	index        int           // Index in its queue; -1 once it is removed.
}

// queue is a heap of waiters, the one with the earliest due time on top.
type queue []*waiter

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].due.Before(q[j].due) }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	t := x.(*waiter)
	t.index = len(*q)
	*q = append(*q, t)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	o := *q
	t := o[len(o)-1]
	o[len(o)-1] = nil
	*q = o[:len(o)-1]
	t.index = -1
	return t
}

// New returns a scheduler that runs at most f() items at once.
func New(f func() int) *Scheduler {
	return &Scheduler{limit: f, window: initialWindow, byOrg: map[string]int{}, waiting: map[string]*queue{}}
}

// Acquire waits until an item of organisation o, due at t, is admitted; it returns the error of c if that ends first.
func (l *Scheduler) Acquire(c context.Context, o string, t time.Time) error {
	x := &waiter{organisation: o, due: t, admitted: make(chan struct{})}
	l.mu.Lock()
	l.push(x)
	l.admit()
	l.mu.Unlock()
	select {
	case <-x.admitted:
		return nil
	case <-c.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if x.index >= 0 {
		l.remove(x)
	} else {
		l.release(o)
	}
	return c.Err()
}

func (l *Scheduler) push(x *waiter) {
	q, ok := l.waiting[x.organisation]
	if !ok {
		q = &queue{}
		l.waiting[x.organisation] = q
	}
	heap.Push(q, x)
}

func (l *Scheduler) remove(x *waiter) {
	q := l.waiting[x.organisation]
	heap.Remove(q, x.index)
	if q.Len() == 0 {
		delete(l.waiting, x.organisation)
	}
}

// Release ends an item of o and adapts the window; refused says that the item found no capacity.
func (l *Scheduler) Release(o string, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !refused:
		l.window += 1 / l.window
	case time.Since(l.lastDecrease) > decreaseInterval:
		l.window = max(1, l.window*decreaseFactor)
		l.lastDecrease = time.Now()
	}
	l.release(o)
}

func (l *Scheduler) release(o string) {
	l.running--
	if l.byOrg[o]--; l.byOrg[o] == 0 {
		delete(l.byOrg, o)
	}
	l.admit()
}

// admit admits waiters while the window has room; the caller holds the lock.
func (l *Scheduler) admit() {
	l.window = max(1, min(l.window, float64(l.limit())))
	for len(l.waiting) > 0 && l.running < int(l.window) {
		x := l.next()
		l.remove(x)
		l.running++
		l.byOrg[x.organisation]++
		close(x.admitted)
	}
}

// next returns the waiter with the earliest due time of the organisation with the fewest running items.
func (l *Scheduler) next() *waiter {
	var b *waiter
	for o, q := range l.waiting {
		x := (*q)[0]
		if b == nil || l.byOrg[o] < l.byOrg[b.organisation] || l.byOrg[o] == l.byOrg[b.organisation] && x.due.Before(b.due) {
			b = x
		}
	}
	return b
}

// IsCapacityError reports whether err means that an item found no capacity or was preempted, so that it may be retried.
func IsCapacityError(err error) bool {
	switch bulrushlug.KindOf(err) {
	case bulrushlug.KindOverloaded, bulrushlug.KindUnplaceable, bulrushlug.KindLeaving, bulrushlug.KindPreempted:
		return true
	}
	return false
}
