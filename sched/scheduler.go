// Package sched shares the idle capacity among batch jobs.
package sched

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	firstWindow = 8    // Items that run at once before anything is known of the capacity.
	shrink      = 0.75 // Factor of the window when items are refused.
	shrinkPause = 200 * time.Millisecond
)

// Scheduler admits items: first the organisation with the fewest running items, then the job that is due first.
type Scheduler struct {
	limit   func() int // Upper bound of the window.
	mu      sync.Mutex // Guards the fields below.
	window  float64    // Items that may run at once, at least 1.
	running int
	byOrg   map[string]int    // Running items by organisation; no zeros.
	waiting map[string]*queue // Items that wait by organisation; no empty queues.
	shrunk  time.Time         // When the window last shrank.
}

// turn is one item that waits.
type turn struct {
	organisation string
	due          time.Time
	start        chan struct{} // Closed once the item may run.
	place        int           // Place in its queue; -1 once it has left.
}

// queue is a heap of turns, the one that is due first on top.
type queue []*turn

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].due.Before(q[j].due) }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}

// Push adds x, for package heap.
func (q *queue) Push(x any) {
	t := x.(*turn)
	t.place = len(*q)
	*q = append(*q, t)
}

// Pop removes the last turn, for package heap.
func (q *queue) Pop() any {
	o := *q
	t := o[len(o)-1]
	o[len(o)-1] = nil
	*q = o[:len(o)-1]
	t.place = -1
	return t
}

// New returns a scheduler that admit at most as many items as f says.
func New(f func() int) *Scheduler {
	return &Scheduler{limit: f, window: firstWindow, byOrg: map[string]int{}, waiting: map[string]*queue{}}
}

// Acquire waits until an item of organisation o, due at t, may run.
func (l *Scheduler) Acquire(c context.Context, o string, t time.Time) error {
	x := &turn{organisation: o, due: t, start: make(chan struct{})}
	l.mu.Lock()
	l.push(x)
	l.fill()
	l.mu.Unlock()
	select {
	case <-x.start:
		return nil
	case <-c.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if x.place >= 0 {
		l.remove(x)
	} else {
		l.end(o)
	}
	return c.Err()
}

func (l *Scheduler) push(x *turn) {
	q, ok := l.waiting[x.organisation]
	if !ok {
		q = &queue{}
		l.waiting[x.organisation] = q
	}
	heap.Push(q, x)
}

func (l *Scheduler) remove(x *turn) {
	q := l.waiting[x.organisation]
	heap.Remove(q, x.place)
	if q.Len() == 0 {
		delete(l.waiting, x.organisation)
	}
}

// Release notes that an item of o ended; refused says that there was no idle slot for it.
func (l *Scheduler) Release(o string, refused bool) {
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

func (l *Scheduler) end(o string) {
	l.running--
	if l.byOrg[o]--; l.byOrg[o] == 0 {
		delete(l.byOrg, o)
	}
	l.fill()
}

// fill admits those that are next; the caller holds the lock.
func (l *Scheduler) fill() {
	l.window = max(1, min(l.window, float64(l.limit())))
	for len(l.waiting) > 0 && l.running < int(l.window) {
		x := l.next()
		l.remove(x)
		l.running++
		l.byOrg[x.organisation]++
		close(x.start)
	}
}

// next returns the turn that is due first of the organisation with the fewest running items.
func (l *Scheduler) next() *turn {
	var b *turn
	for o, q := range l.waiting {
		x := (*q)[0]
		if b == nil || l.byOrg[o] < l.byOrg[b.organisation] || l.byOrg[o] == l.byOrg[b.organisation] && x.due.Before(b.due) {
			b = x
		}
	}
	return b
}

// IsCapacityError reports whether err means that an item found no idle slot, and may run again unharmed.
func IsCapacityError(err error) bool {
	switch bulrushlug.KindOf(err) {
	case bulrushlug.KindOverloaded, bulrushlug.KindUnplaceable, bulrushlug.KindLeaving, bulrushlug.KindPreempted:
		return true
	}
	return false
}
