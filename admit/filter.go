// Package admit is the admission control of an agent: online requests get the slots of its engine first, batch items
// the idle ones.
package admit

import (
	"context"
	"expvar"
	"slices"
	"sync"

	"bulrushlug.dev/bulrushlug"
)

const (
	maxOnlineQueuePerSlot = 4 // Queued online requests for each slot.
	maxBatchQueuePerSlot  = 1 // Queued batch items for each slot.
)

// Filter queues requests for the slots of one engine, fairly between organisations, and preempts batch items when
// online requests wait.
type Filter struct {
	counts        *expvar.Map
	mu            sync.Mutex // Guards the fields below.
	slots         int        // At least one.
	draining      bool
	runningOnline int           // Running online requests.
	runningBatch  []*ticket     // Running batch items, oldest first.
	queues        []*queue      // Queued online requests by organisation, served round robin from the front; none empty.
	queuedOnline  int           // Queued online requests.
	queuedBatch   []*ticket     // Queued batch items, oldest first.
	idle          chan struct{} // Closed once nothing runs or waits; nil until draining.
}

// queue holds the waiting online requests of one organisation.
type queue struct {
	organisation string
	tickets      []*ticket // Oldest first.
}

// ticket is one request that waits or runs.
type ticket struct {
	admitted  chan error              // Receives nil, or the error with which the request is refused.
	cancel    context.CancelCauseFunc // Cancels the request.
	cancelled bool                    // The request was already cancelled.
}

// New returns a filter for n slots, at least one, that counts in counts.
func New(n int, counts *expvar.Map) *Filter { return &Filter{slots: max(1, n), counts: counts} }

// SetSlots sets the number of slots.
func (f *Filter) SetSlots(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slots = max(1, n)
	f.assignSlots()
}

// Counts returns the slots, the running online requests and batch items, and the queued online requests.
func (f *Filter) Counts() (slots, online, batch, queued int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slots, f.runningOnline, len(f.runningBatch), f.queuedOnline
}

// Pass runs r once it has a slot; it fails with KindOverloaded, KindLeaving or KindPreempted.
func (f *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	c, stop := context.WithCancelCause(c)
	defer stop(nil)
	t := &ticket{admitted: make(chan error, 1), cancel: stop}
	if err := f.enqueue(r, t); err != nil {
		return err
	}
	if err := f.await(c, r, t); err != nil {
		return err
	}
	defer f.release(r, t)
	err := n.Run(c, r, s)
	if x := context.Cause(c); err != nil && x != nil && x != c.Err() {
		return x
	}
	return err
}

// enqueue adds t to its queue, or refuses it.
func (f *Filter) enqueue(r *bulrushlug.Request, t *ticket) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return bulrushlug.Errorf(bulrushlug.KindLeaving, "this agent is shutting down")
	}
	if r.Batch() {
		if len(f.queuedBatch) >= f.slots*maxBatchQueuePerSlot {
			return bulrushlug.Errorf(bulrushlug.KindOverloaded, "no idle slot")
		}
		f.queuedBatch = append(f.queuedBatch, t)
	} else {
		f.pushOnline(r.Organisation(), t)
	}
	f.assignSlots()
	return nil
}

// pushOnline queues t for organisation o; if too many are queued, the longest queue loses its newest one.
func (f *Filter) pushOnline(o string, t *ticket) {
	i := slices.IndexFunc(f.queues, func(q *queue) bool { return q.organisation == o })
	if i < 0 {
		i = len(f.queues)
		f.queues = append(f.queues, &queue{organisation: o})
	}
	f.queues[i].tickets = append(f.queues[i].tickets, t)
	f.queuedOnline++
	if f.queuedOnline > f.slots*maxOnlineQueuePerSlot+f.freeSlots() {
		f.shed()
	}
}

func (f *Filter) freeSlots() int { return max(0, f.slots-f.runningOnline) }

// shed refuses the newest request in the longest queue (load shedding).
func (f *Filter) shed() {
	q := slices.MaxFunc(f.queues, func(a, b *queue) int { return len(a.tickets) - len(b.tickets) })
	t := q.tickets[len(q.tickets)-1]
	f.dequeue(t)
	f.counts.Add("shed", 1)
	t.admitted <- bulrushlug.Errorf(bulrushlug.KindOverloaded, "the request queue of this agent is full")
}

// dequeue removes t from its queue, and reports whether it was there.
func (f *Filter) dequeue(t *ticket) bool {
	if i := slices.Index(f.queuedBatch, t); i >= 0 {
		f.queuedBatch = slices.Delete(f.queuedBatch, i, i+1)
		return true
	}
	for i, q := range f.queues {
		j := slices.Index(q.tickets, t)
		if j < 0 {
			continue
		}
		q.tickets = slices.Delete(q.tickets, j, j+1)
		if len(q.tickets) == 0 {
			f.queues = slices.Delete(f.queues, i, i+1)
		}
		f.queuedOnline--
		return true
	}
	return false
}

// assignSlots gives free slots to online requests, then to batch items; the caller holds the lock.
func (f *Filter) assignSlots() {
	for f.queuedOnline > 0 && f.runningOnline+len(f.runningBatch) < f.slots {
		t := f.popOnline()
		f.runningOnline++
		t.admitted <- nil
	}
	f.preempt()
	for f.queuedOnline == 0 && len(f.queuedBatch) > 0 && f.runningOnline+len(f.runningBatch) < f.slots {
		t := f.queuedBatch[0]
		f.queuedBatch = f.queuedBatch[1:]
		f.runningBatch = append(f.runningBatch, t)
		t.admitted <- nil
	}
}

// popOnline takes the oldest request of the next organisation, which then moves to the end of the round robin.
func (f *Filter) popOnline() *ticket {
	q := f.queues[0]
	t := q.tickets[0]
	q.tickets = q.tickets[1:]
	f.queues = f.queues[1:]
	if len(q.tickets) > 0 {
		f.queues = append(f.queues, q)
	}
	f.queuedOnline--
	return t
}

// preempt cancels the newest running batch items, up to one for each queued online request.
func (f *Filter) preempt() {
	n := 0
	for i := len(f.runningBatch) - 1; i >= 0 && n < f.queuedOnline; i-- {
		n++
		t := f.runningBatch[i]
		if t.cancelled {
			continue
		}
		t.cancelled = true
		f.counts.Add("preempted", 1)
		t.cancel(bulrushlug.Errorf(bulrushlug.KindPreempted, "preempted by an online request"))
	}
}

// await waits until t has a slot, is refused, or c ends.
func (f *Filter) await(c context.Context, r *bulrushlug.Request, t *ticket) error {
	select {
	case err := <-t.admitted:
		return err
	case <-c.Done():
	}
	f.mu.Lock()
	waiting := f.dequeue(t)
	f.mu.Unlock()
	if !waiting {
		if err := <-t.admitted; err != nil {
			return err
		}
		f.release(r, t)
	}
	return bulrushlug.Errorf(bulrushlug.KindOverloaded, "no slot became free in time")
}

// release frees the slot of t.
func (f *Filter) release(r *bulrushlug.Request, t *ticket) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Batch() {
		f.runningBatch = slices.DeleteFunc(f.runningBatch, func(x *ticket) bool { return x == t })
	} else {
		f.runningOnline--
	}
	f.assignSlots()
	f.signalIdle()
}

// Drain refuses new requests, cancels batch items and returns a channel that is closed once nothing runs or waits.
func (f *Filter) Drain() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	f.draining = true
	for _, t := range f.queuedBatch {
		t.admitted <- bulrushlug.Errorf(bulrushlug.KindLeaving, "this agent is shutting down")
	}
	f.queuedBatch = nil
	for _, t := range f.runningBatch {
		if !t.cancelled {
			t.cancelled = true
			t.cancel(bulrushlug.Errorf(bulrushlug.KindPreempted, "this agent is shutting down"))
		}
	}
	f.signalIdle()
	return f.idle
}

// signalIdle closes the idle channel once nothing runs or waits; the caller holds the lock.
func (f *Filter) signalIdle() {
	if !f.draining || f.runningOnline+f.queuedOnline+len(f.runningBatch) > 0 {
		return
	}
	select {
	case <-f.idle:
	default:
		close(f.idle)
	}
}
