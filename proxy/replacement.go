package proxy

import (
	"context"
	"maps"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/slots"
)

// replacement looks for a place at another server while the server of an attempt does not answer.
type replacement struct {
	mu    sync.Mutex
	timer *time.Timer
	ended bool // The attempt has ended.
	place *place
}

// place is a slot that was taken for a request.
type place struct {
	slot *slots.Reservation
	vms  []string // VMs of the processes that run batch items at its server.
}

// seekReplacement takes a place at a server other than that of l after responseTimeout, or a multiple of it if none has
// capacity, and then calls stop.
func (a *exchange) seekReplacement(l *slots.Reservation, stop func()) *replacement {
	skip := maps.Clone(a.skip)
	skip[l.Backend().ID()] = true
	r := &replacement{}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timer = time.AfterFunc(responseTimeout, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.ended {
			return
		}
		l, vms := a.table.AcquireOnline(a.service, skip)
		if l == nil {
			r.timer.Reset(responseTimeout)
			return
		}
		r.place = &place{slot: l, vms: vms}
		stop()
	})
	return r
}

// end ends the search and returns the place that was taken, or nil.
func (r *replacement) end() *place {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.timer.Stop()
	return r.place
}

// acquire returns the place that was taken for the next attempt, or takes one; it fails if no server has capacity or c has ended.
func (a *exchange) acquire(c context.Context) (*place, error) {
	if p := a.next; p != nil {
		a.next = nil
		return p, nil
	}
	if err := c.Err(); err != nil {
		return nil, err
	}
	l, vms := a.table.AcquireOnline(a.service, a.skip)
	if l == nil {
		return nil, bulrushlug.Errorf(bulrushlug.KindOverloaded, "no server of service %s has capacity: %d available, %d tried", a.service, a.table.Available(a.service), len(a.skip)).WithRetryAfter(retryAfter)
	}
	return &place{slot: l, vms: vms}, nil
}

// releaseNext frees a place that no attempt used.
func (a *exchange) releaseNext() {
	if a.next != nil {
		a.next.slot.Release()
	}
}
