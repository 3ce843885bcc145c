// Package admit gives the slots of an engine to online requests first and to batch items where slots are idle.
package admit

import (
	"context"
	"expvar"
	"slices"
	"sync"

	"bulrushlug.dev/bulrushlug"
)

const (
	queuePerSlot = 4 // Online requests that wait, for each slot.
	batchPerSlot = 1 // Batch items that wait, for each slot.
)

// Filter admits requests to one engine.
type Filter struct {
	counts  *expvar.Map
	mu      sync.Mutex // Guards the fields below.
	slots   int        // At least one.
	leaving bool
	online  int           // Online requests that run.
	running []*ticket     // Batch items that run, oldest first.
	queues  []*queue      // Online requests that wait, by organisation; none is empty. The first is served next.
	queued  int           // Online requests that wait.
	batch   []*ticket     // Batch items that wait, oldest first.
	idle    chan struct{} // Closed once nothing runs; nil while the agent is not leaving.
}

type queue struct {
	organisation string
	tickets      []*ticket // Oldest first.
}

type ticket struct {
	admitted chan error              // Receives nil, or why the request is refused.
	stop     context.CancelCauseFunc // Ends the request.
	stopped  bool                    // The request was told to end.
}

// New returns a filter for n slots.
func New(n int, counts *expvar.Map) *Filter { return &Filter{slots: max(1, n), counts: counts} }

// SetSlots sets the number of slots.
func (f *Filter) SetSlots(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slots = max(1, n)
	f.fill()
}

// Counts returns the slots, the online requests and batch items that run, and the online requests that wait.
func (f *Filter) Counts() (slots, online, batch, queued int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slots, f.online, len(f.running), f.queued
}

// Pass runs r once it has a slot.
func (f *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	c, stop := context.WithCancelCause(c)
	defer stop(nil)
	t := &ticket{admitted: make(chan error, 1), stop: stop}
	if err := f.enter(r, t); err != nil {
		return err
	}
	if err := f.await(c, r, t); err != nil {
		return err
	}
	defer f.leave(r, t)
	err := n.Run(c, r, s)
	if x := context.Cause(c); err != nil && x != nil && x != c.Err() {
		return x
	}
	return err
}

// enter puts t in its queue, or refuses it.
func (f *Filter) enter(r *bulrushlug.Request, t *ticket) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaving {
		return bulrushlug.Errorf(bulrushlug.KindLeaving, "this agent is leaving")
	}
	if r.Batch() {
		if len(f.batch) >= f.slots*batchPerSlot {
			return bulrushlug.Errorf(bulrushlug.KindOverloaded, "no idle slot")
		}
		f.batch = append(f.batch, t)
	} else {
		f.push(r.Organisation(), t)
	}
	f.fill()
	return nil
}

// push queues t for organisation o; where the queue is full, the organisation that waits with most loses one.
func (f *Filter) push(o string, t *ticket) {
	i := slices.IndexFunc(f.queues, func(q *queue) bool { return q.organisation == o })
	if i < 0 {
		i = len(f.queues)
		f.queues = append(f.queues, &queue{organisation: o})
	}
	f.queues[i].tickets = append(f.queues[i].tickets, t)
	f.queued++
	if f.queued > f.slots*queuePerSlot+f.free() {
		f.shed()
	}
}

func (f *Filter) free() int { return max(0, f.slots-f.online) }

// shed refuses the newest request of the longest queue.
func (f *Filter) shed() {
	q := slices.MaxFunc(f.queues, func(a, b *queue) int { return len(a.tickets) - len(b.tickets) })
	t := q.tickets[len(q.tickets)-1]
	f.drop(t)
	f.counts.Add("shed", 1)
	t.admitted <- bulrushlug.Errorf(bulrushlug.KindOverloaded, "too many requests wait here")
}

// drop takes t out of its queue, and reports whether it was there.
func (f *Filter) drop(t *ticket) bool {
	if i := slices.Index(f.batch, t); i >= 0 {
		f.batch = slices.Delete(f.batch, i, i+1)
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
		f.queued--
		return true
	}
	return false
}

// fill gives out slots; the caller holds the lock.
func (f *Filter) fill() {
	for f.queued > 0 && f.online+len(f.running) < f.slots {
		t := f.pop()
		f.online++
		t.admitted <- nil
	}
	f.preempt()
	for f.queued == 0 && len(f.batch) > 0 && f.online+len(f.running) < f.slots {
		t := f.batch[0]
		f.batch = f.batch[1:]
		f.running = append(f.running, t)
		t.admitted <- nil
	}
}

// pop takes the oldest request of the next organisation, which then goes to the end of the turn.
func (f *Filter) pop() *ticket {
	q := f.queues[0]
	t := q.tickets[0]
	q.tickets = q.tickets[1:]
	f.queues = f.queues[1:]
	if len(q.tickets) > 0 {
		f.queues = append(f.queues, q)
	}
	f.queued--
	return t
}

// preempt ends as many batch items, newest first, as online requests wait.
func (f *Filter) preempt() {
	n := 0
	for i := len(f.running) - 1; i >= 0 && n < f.queued; i-- {
		n++
		t := f.running[i]
		if t.stopped {
			continue
		}
		t.stopped = true
		f.counts.Add("preempted", 1)
		t.stop(bulrushlug.Errorf(bulrushlug.KindPreempted, "an online request needs the slot"))
	}
}

// await waits for a slot.
func (f *Filter) await(c context.Context, r *bulrushlug.Request, t *ticket) error {
	select {
	case err := <-t.admitted:
		return err
	case <-c.Done():
	}
	f.mu.Lock()
	waiting := f.drop(t)
	f.mu.Unlock()
	if !waiting {
		if err := <-t.admitted; err != nil {
			return err
		}
		f.leave(r, t)
	}
	return bulrushlug.Errorf(bulrushlug.KindOverloaded, "no slot came free in time")
}

// leave gives the slot of t back.
func (f *Filter) leave(r *bulrushlug.Request, t *ticket) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Batch() {
		f.running = slices.DeleteFunc(f.running, func(x *ticket) bool { return x == t })
	} else {
		f.online--
	}
	f.fill()
	f.signal()
}

// Drain refuses all that comes from now on, ends batch items and returns a channel that is closed once nothing runs.
func (f *Filter) Drain() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	f.leaving = true
	for _, t := range f.batch {
		t.admitted <- bulrushlug.Errorf(bulrushlug.KindLeaving, "this agent is leaving")
	}
	f.batch = nil
	for _, t := range f.running {
		if !t.stopped {
			t.stopped = true
			t.stop(bulrushlug.Errorf(bulrushlug.KindPreempted, "this agent is leaving"))
		}
	}
	f.signal()
	return f.idle
}

// signal closes the idle channel once nothing runs or waits.
func (f *Filter) signal() {
	if !f.leaving || f.online+f.queued+len(f.running) > 0 {
		return
	}
	select {
	case <-f.idle:
	default:
		close(f.idle)
	}
}
